#ifndef KUMQUATVALVE_PROCESS_ENTRY_NODE_H_
#define KUMQUATVALVE_PROCESS_ENTRY_NODE_H_

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "kumquatvalve/connection/entry_router.h"
#include "kumquatvalve/process/address_history_codec.h"
#include "kumquatvalve/process/decision_log.h"
#include "kumquatvalve/process/exception_guard.h"
#include "kumquatvalve/process/node_metrics.h"
#include "kumquatvalve/process/packet_format.h"
#include "kumquatvalve/process/traffic_loop.h"
#include "kumquatvalve/version/node_settings.h"

namespace kumquatvalve::process {

/// Carries out the decisions of an entry instance's router: sends packets on
/// its sockets, counts them, logs decisions and passes requests to the threads
/// that call the store. Used by the traffic thread only.
template <PacketFormat F>
class EntryOutput {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// Work that the traffic thread hands to the threads that call the store.
  /// The functions must not block.
  struct Requests {
    /// The process was paused, so state from the store may be outdated.
    std::function<void()> on_pause;
    /// Lists the upstream records in the store again at once.
    std::function<void()> refresh_records;
    /// Makes a new call in place of the one that waits for changes of the
    /// upstream records.
    std::function<void()> renew_record_watch;
    /// Lists the routes in the store again at once.
    std::function<void()> refresh_routes;
    /// Asks the other entry instances for their records, once; the answer is
    /// `PublishPeersAsked`.
    std::function<void()> ask_peers;
    /// Removes the record of a sidecar whose machine is presumed dead.
    std::function<void(const version::UpstreamRecord&)> remove_record;
  };

  EntryOutput(const version::NodeSettings& settings, const Logger* logger,
              Requests requests)
      : caller_port_(settings.packets.port),
        requests_(std::move(requests)),
        log_(logger),
        metrics_(&log_),
        to_callers_(&caller_socket_, &counters_),
        to_sidecars_(&hop_socket_, &counters_) {}

  /// Binds the sockets.
  /// @return false and `kSocketError` when an endpoint cannot be bound.
  bool Open(const version::NodeSettings& settings, request::Failure* failure) {
    return caller_socket_.Open(settings.packets, false, failure) &&
           hop_socket_.Open(settings.hops, false, failure);
  }

  /// Sets the time that decisions are logged with.
  void SetTime(TimePoint now) { now_ = now; }

  /// Sends the packets that were collected since the last call.
  void Flush() {
    to_sidecars_.Flush();
    to_callers_.Flush();
  }

  /// Sends a hop message, with a packet behind it, to a sidecar.
  void Send(const request::Endpoint& to, const request::HopMessage& message,
            std::span<const std::byte> packet) {
    to_sidecars_.Send(request::EncodeHopMessage(message).span(), packet, to);
    counters_.Count(PacketEvent::kForwarded);
  }
  /// Answers a caller's packet with a reset.
  void Reset(const request::ParsedPacket& packet) {
    const auto reset = F::BuildReset(packet);
    to_callers_.Send({}, reset, {packet.flow.caller.address, caller_port_});
    counters_.Count(PacketEvent::kAnswered);
  }
  /// @return nothing for a malformed packet.
  std::optional<request::ParsedPacket> Parse(
      std::span<const std::byte> packet) {
    request::Failure failure;
    return F::Parse(packet, &failure);
  }
  void RefreshRecords() { requests_.refresh_records(); }
  void RenewRecordWatch() { requests_.renew_record_watch(); }
  void RefreshRoutes() { requests_.refresh_routes(); }
  void AskPeers() { requests_.ask_peers(); }
  void RemoveRecord(const version::UpstreamRecord& record) {
    requests_.remove_record(record);
  }
  /// Called when a pause of the process was detected.
  void Paused() { requests_.on_pause(); }
  /// Logs and counts a decision of the router.
  void RecordDecision(const connection::EntryDecision& decision) {
    log_.LogEntryDecision(decision, now_);
    if (decision.zone_evacuated) {
      metrics_.OnEvacuationRefusal();
    }
    if (decision.verdict == connection::EntryVerdict::kPlaced) {
      metrics_.OnPlacement(decision.expected_wait, decision.report_age);
    }
    if (decision.verdict == connection::EntryVerdict::kPlaced ||
        decision.verdict == connection::EntryVerdict::kPlacedAgain) {
      metrics_.OnSubset(decision.subset_use);
    }
  }

  const UdpSocket& caller_socket() const { return caller_socket_; }
  const UdpSocket& hop_socket() const { return hop_socket_; }
  TrafficCounters& counters() { return counters_; }
  const TrafficCounters& counters() const { return counters_; }
  NodeMetrics& metrics() { return metrics_; }

 private:
  uint16_t caller_port_;
  Requests requests_;
  DecisionLog log_;
  NodeMetrics metrics_;
  UdpSocket caller_socket_;
  UdpSocket hop_socket_;
  TrafficCounters counters_;
  BatchSender to_callers_;
  BatchSender to_sidecars_;
  TimePoint now_;
};

/// The data path of an entry instance that is controlled through the store. One
/// thread runs `Run`: it receives packets and hop messages and passes them to
/// the router. All other functions are thread-safe unless stated otherwise.
template <PacketFormat F>
class EntryNode {
 public:
  using Clock = std::chrono::steady_clock;

  using Requests = typename EntryOutput<F>::Requests;

  /// `logger` must outlive the node.
  EntryNode(const version::NodeSettings& settings, const Logger* logger,
            Requests requests)
      : settings_(settings),
        output_(settings, logger, std::move(requests)),
        guard_("traffic", logger,
               [this] { output_.metrics().OnUnexpectedError(); }),
        router_({settings.availability_zone, kMaxFlows, RandomSeed(settings),
                 settings.evacuation_apply_limit.has_value()},
                &output_) {}

  /// Binds the sockets; to be called before `Run`.
  /// @return false and `kSocketError` when an endpoint cannot be bound.
  bool Open(request::Failure* failure) {
    return output_.Open(settings_, failure);
  }

  /// Hands new routes to the traffic thread.
  void PublishRoutes(std::shared_ptr<const version::RouteMap> routes) {
    has_routes_ = true;
    routes_.Put(std::move(routes));
  }
  /// Hands a full set of upstream records to the traffic thread.
  /// @param complete_at the records include every change that the store had
  ///   accepted by this time.
  void PublishUpstreams(std::vector<version::UpstreamRecord> records,
                        Clock::time_point complete_at) {
    has_upstreams_ = true;
    upstreams_.Put({std::move(records), complete_at});
  }

  /// Hands the evacuated zones to the traffic thread.
  /// @param change difference from the zones that were published before.
  void PublishEvacuatedZones(connection::EvacuatedZones zones,
                             const connection::EvacuationChange& change) {
    output_.metrics().OnEvacuationChange(change, zones.size());
    has_evacuated_zones_ = true;
    evacuated_zones_.Put(std::move(zones));
  }

  /// Sets whether the store responded to the last call for upstream records.
  void PublishStoreState(bool answers) { store_answers_ = answers; }
  bool store_answers() const { return store_answers_; }

  /// Sets the highest era of the store that a response had.
  void PublishStoreEra(uint64_t era) {
    store_era_ = era;
    output_.metrics().SetStoreEra(era);
  }

  /// Sets whether the other entry instances have been asked for their records;
  /// see `EntryRouter::SetPeersAsked`. To be called after the records that they
  /// sent were published.
  void PublishPeersAsked(bool asked) { peers_asked_ = asked; }

  /// Hands over what other entry instances know about earlier services of
  /// addresses.
  void PublishAddressHistories(
      std::vector<connection::AddressHistoryReport> reports) {
    address_histories_.Put(std::move(reports));
  }

  /// The published routes include every version that the store had accepted by
  /// `complete_at`. To be called after these routes were published.
  void PublishRoutesComplete(Clock::time_point complete_at) {
    routes_complete_at_.Put(complete_at);
  }

  /// Whether the instance can route packets: it has routes and upstream
  /// records, knows the evacuated zones if it has to, and is not stopping.
  bool Ready() const {
    return has_routes_ && has_upstreams_ &&
           (has_evacuated_zones_ || !settings_.evacuation_apply_limit) &&
           !stopping_;
  }

  /// Makes the instance not ready and lets `Run` return once the fabric's
  /// routers send it no more packets, or the stop timeout is almost over.
  void Stop() { stopping_ = true; }

  /// Forwards packets. Returns after `Stop`, when callers' packets have ceased.
  void Run() {
    last_caller_packet_at_ = Clock::now();
    next_tick_at_ = last_caller_packet_at_;
    while (!stopped_) {
      guard_.Run([this] { RunOnce(); });
    }
  }

  const TrafficCounters& counters() const { return output_.counters(); }
  NodeMetrics& metrics() { return output_.metrics(); }

  /// Returns the routes and upstreams in force as a JSON object, "{}" when the
  /// traffic thread does not respond in time.
  std::string Status() { return status_request_.Query(); }

  /// Returns what this instance knows about earlier services of addresses, as
  /// the JSON of `EncodeAddressHistory`; "{}" when the traffic thread does not
  /// respond in time.
  std::string AddressHistory() { return history_request_.Query(); }

 private:
  using Router = connection::EntryRouter<EntryOutput<F>>;
  using Milliseconds = std::chrono::milliseconds;

  struct Upstreams {
    std::vector<version::UpstreamRecord> records;
    Clock::time_point complete_at;
  };

  // Bits that `WaitReadable` returns, in the order of its handles.
  static constexpr uint32_t kCallersReadable = 1U << 0;
  static constexpr uint32_t kHopsReadable = 1U << 1;

  // 100,000 flows take about 20 MB.
  static constexpr size_t kMaxFlows = 100000;
  // A stopping instance ends when no caller's packet arrived for this time.
  static constexpr Milliseconds kStopQuietPeriod{150};
  // The fabric's routers probe the instances twice a second and stop sending to
  // one after two failed probes.
  static constexpr Milliseconds kRouterFailoverTime{1500};
  // Part of the stop timeout that is reserved for ending the process.
  static constexpr Milliseconds kExitMargin{1000};

  static uint64_t RandomSeed(const version::NodeSettings& settings) {
    return request::ServiceTagOf(settings.instance.text()).value | 1;
  }

  // Waits for packets and does all work that is due; sets `stopped_` when
  // `Run` has to return.
  void RunOnce() {
    const std::array<int, 2> handles = {output_.caller_socket().handle(),
                                        output_.hop_socket().handle()};
    const uint32_t readable = WaitReadable(handles, Router::kTick);
    now_ = Clock::now();
    output_.SetTime(now_);
    if (stopping_) {
      stop_at_ = stop_at_.value_or(now_ + settings_.stop_timeout - kExitMargin);
      stopped_ = now_ >= *stop_at_;
    }
    ApplyPublishedUpdates();
    const size_t n = (readable & kHopsReadable) != 0 ? ReceiveHopMessages() : 0;
    if ((readable & kCallersReadable) != 0 && ReceiveCallerPackets() != 0) {
      last_caller_packet_at_ = now_;
    }
    if (now_ >= next_tick_at_) {
      next_tick_at_ = now_ + Router::kTick;
      router_.OnTick(now_);
      PublishGauges();
    }
    status_request_.Serve([this] { return StatusJson(); });
    history_request_.Serve([this] {
      return EncodeAddressHistory(router_.address_history().Report(now_));
    });
    output_.Flush();
    if (pause_detector_.CheckForPause(now_, std::chrono::system_clock::now())) {
      output_.Paused();
    }
    const bool routers_have_left =
        stop_at_ && now_ - last_caller_packet_at_ >= kStopQuietPeriod &&
        n == 0 &&
        now_ >= *stop_at_ - settings_.stop_timeout + kExitMargin +
                    kRouterFailoverTime;
    stopped_ = stopped_ || routers_have_left;
  }

  void PublishGauges() {
    output_.metrics().SetFlows(router_.flows());
    output_.metrics().SetUpstreams(router_.upstreams().views().size());
    if (router_.routes() != nullptr) {
      output_.metrics().SetRouteRevision(router_.routes()->revision.value);
    }
  }

  // Called by the traffic thread only.
  std::string StatusJson() const {
    nlohmann::ordered_json status;
    status["role"] = "entry";
    status["instance"] = settings_.instance.text();
    status["ready"] = Ready();
    status["store_answers"] = store_answers_.load();
    status["store_era"] = store_era_.load();
    status["flows"] = router_.flows();
    if (router_.routes() != nullptr) {
      status["route_revision"] = router_.routes()->revision.value;
      status["route_era"] = router_.routes()->revision.era;
      status["route_version"] = router_.routes()->version;
      status["routes"] = router_.routes()->routes.size();
    }
    if (settings_.evacuation_apply_limit) {
      status["evacuated_zones"] = EvacuatedZonesJson();
    }
    status["upstreams"] = nlohmann::ordered_json::array();
    for (const auto& [sidecar, view] : router_.upstreams().views()) {
      status["upstreams"].push_back(
          {{"sidecar", request::ToString(sidecar)},
           {"upstream", view.record().instance},
           {"service", view.record().service.text()},
           {"zone", view.record().zone.text()},
           {"may_take", view.AcceptsNewFlows(now_, false) &&
                            !router_.upstreams().IsEvacuated(view)},
           {"draining", view.record().draining || view.load().draining},
           {"in_progress", view.load().in_progress},
           {"slots", view.record().slots},
           {"service_time_us", view.load().service_time_us},
           {"report_age_ms", view.ReportAge(now_).count()}});
      if (const auto allowance = view.load().warm_up_allowance) {
        status["upstreams"].back()["warm_up_allowance"] = *allowance;
      }
    }
    return status.dump();
  }

  nlohmann::ordered_json EvacuatedZonesJson() const {
    auto zones = nlohmann::ordered_json::array();
    for (const auto& [zone, since] : router_.upstreams().evacuated_zones()) {
      const auto age = std::chrono::duration_cast<Milliseconds>(now_ - since);
      zones.push_back({{"zone", zone.text()}, {"age_ms", age.count()}});
    }
    return zones;
  }

  void ApplyPublishedUpdates() {
    router_.SetPeersAsked(peers_asked_);
    // Taken before the routes, which were published first.
    const auto routes_complete_at = routes_complete_at_.Take();
    if (auto routes = routes_.Take()) {
      router_.OnRoutes(std::move(*routes), now_);
    }
    if (routes_complete_at) {
      router_.OnRoutesComplete(*routes_complete_at, now_);
    }
    if (const auto reports = address_histories_.Take()) {
      for (const connection::AddressHistoryReport& it : *reports) {
        router_.OnAddressHistory(it, now_);
      }
    }
    if (auto zones = evacuated_zones_.Take()) {
      router_.OnEvacuatedZones(std::move(*zones));
    }
    if (const auto it = upstreams_.Take()) {
      router_.OnUpstreamRecords(it->records, it->complete_at, now_);
    }
  }

  // Returns the number of datagrams received.
  size_t ReceiveHopMessages() {
    const size_t n = receive_batch_.Receive(output_.hop_socket());
    for (size_t i = 0; i < n; ++i) {
      request::Failure failure;
      std::span<const std::byte> packet;
      const auto message = request::DecodeHopMessage(receive_batch_.Packet(i),
                                                     &packet, &failure);
      if (!message) {
        output_.counters().Drop(request::ResultCode::kBadForwardHeader);
        continue;
      }
      router_.OnHopMessage(request::FromSocketAddress(receive_batch_.From(i)),
                           *message, packet, now_);
    }
    return n;
  }

  // Returns the number of packets received.
  size_t ReceiveCallerPackets() {
    const size_t n = receive_batch_.Receive(output_.caller_socket());
    output_.counters().Count(PacketEvent::kReceived, n);
    for (size_t i = 0; i < n; ++i) {
      request::Failure failure;
      const auto packet = F::Parse(receive_batch_.Packet(i), &failure);
      if (!packet) {
        output_.counters().Drop(failure.code);
        continue;
      }
      router_.OnCallerPacket(*packet, now_);
    }
    return n;
  }

  version::NodeSettings settings_;
  EntryOutput<F> output_;
  ReceiveBatch receive_batch_;
  StatusRequest status_request_;
  StatusRequest history_request_;
  PauseDetector pause_detector_;
  Mailbox<std::shared_ptr<const version::RouteMap>> routes_;
  Mailbox<Clock::time_point> routes_complete_at_;
  Mailbox<std::vector<connection::AddressHistoryReport>> address_histories_;
  Mailbox<Upstreams> upstreams_;
  Mailbox<connection::EvacuatedZones> evacuated_zones_;
  std::atomic<bool> has_routes_{false};
  std::atomic<bool> has_upstreams_{false};
  std::atomic<bool> has_evacuated_zones_{false};
  std::atomic<bool> store_answers_{true};
  std::atomic<uint64_t> store_era_{0};
  std::atomic<bool> peers_asked_{true};
  std::atomic<bool> stopping_{false};
  Clock::time_point now_;
  Clock::time_point last_caller_packet_at_;
  Clock::time_point next_tick_at_;
  /// When `Run` returns at the latest; empty before `Stop`.
  std::optional<Clock::time_point> stop_at_;
  bool stopped_ = false;
  ExceptionGuard guard_;
  Router router_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_ENTRY_NODE_H_
