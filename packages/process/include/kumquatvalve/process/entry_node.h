#ifndef KUMQUATVALVE_PROCESS_ENTRY_NODE_H_
#define KUMQUATVALVE_PROCESS_ENTRY_NODE_H_

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "kumquatvalve/connection/entry_router.h"
#include "kumquatvalve/process/decision_log.h"
#include "kumquatvalve/process/node_metrics.h"
#include "kumquatvalve/process/packet_format.h"
#include "kumquatvalve/process/traffic_loop.h"
#include "kumquatvalve/version/node_settings.h"

namespace kumquatvalve::process {

/// What an entry instance's router lets happen, on its sockets.
template <PacketFormat F>
class EntryOutput {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// What the traffic thread asks of the threads that talk to the store.
  struct Requests {
    /// The process did not run for a while.
    std::function<void()> on_pause;
    /// The upstream records have to be read again at once.
    std::function<void()> refresh_records;
    /// A machine is gone; its record is to be removed.
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

  bool Open(const version::NodeSettings& settings, request::Failure* failure) {
    return caller_socket_.Open(settings.packets, false, failure) &&
           hop_socket_.Open(settings.hops, false, failure);
  }

  void SetTime(TimePoint now) { now_ = now; }

  void Flush() {
    to_sidecars_.Flush();
    to_callers_.Flush();
  }

  void Send(const request::Endpoint& to, const request::HopMessage& message,
            std::span<const std::byte> packet) {
    to_sidecars_.Send(request::EncodeHopMessage(message).span(), packet, to);
    counters_.Count(PacketEvent::kForwarded);
  }
  void Reset(const request::ParsedPacket& packet) {
    const auto reset = F::BuildReset(packet);
    to_callers_.Send({}, reset, {packet.flow.caller.address, caller_port_});
    counters_.Count(PacketEvent::kAnswered);
  }
  std::optional<request::ParsedPacket> Parse(
      std::span<const std::byte> packet) {
    request::Failure failure;
    return F::Parse(packet, &failure);
  }
  void RefreshRecords() { requests_.refresh_records(); }
  void RemoveRecord(const version::UpstreamRecord& record) {
    requests_.remove_record(record);
  }
  void Paused() { requests_.on_pause(); }
  void RecordDecision(const connection::EntryDecision& decision) {
    log_.OnEntryDecision(decision, now_);
    if (decision.verdict == connection::EntryVerdict::kPlaced) {
      metrics_.OnPlacement(decision.expected_wait, decision.report_age);
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

/// The traffic of an entry instance that is controlled through the store: one
/// thread takes packets and messages and lets the router decide.
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
        router_({settings.availability_zone, kMaxFlows, SeedOf(settings)},
                &output_) {}

  bool Open(request::Failure* failure) {
    return output_.Open(settings_, failure);
  }

  void PublishRoutes(std::shared_ptr<const version::RouteMap> routes) {
    has_routes_ = true;
    routes_.Put(std::move(routes));
  }
  /// @param complete_at the records hold every change that the store had taken
  ///   at this time.
  void PublishUpstreams(std::vector<version::UpstreamRecord> records,
                        Clock::time_point complete_at) {
    has_upstreams_ = true;
    upstreams_.Put({std::move(records), complete_at});
  }

  /// Whether the store answered the last call about upstream records.
  void PublishStoreState(bool answers) { store_answers_ = answers; }
  bool store_answers() const { return store_answers_; }

  /// Whether the routes are known to be the newest.
  void PublishRoutesState(bool current) { routes_current_ = current; }

  /// Whether packets can be routed.
  bool Ready() const { return has_routes_ && has_upstreams_ && !stopping_; }

  /// From now on `Run` returns when the routers send nothing any more.
  void Stop() { stopping_ = true; }

  /// Forwards packets until the process has been stopped and is quiet.
  void Run() {
    auto last_packet = Clock::now();
    auto next_tick = last_packet;
    std::optional<Clock::time_point> stop_at;
    while (true) {
      const std::array<int, 2> handles = {output_.caller_socket().handle(),
                                          output_.hop_socket().handle()};
      const uint32_t readable = WaitReadable(handles, Router::kTick);
      now_ = Clock::now();
      output_.SetTime(now_);
      TakeUpdates();
      const size_t n = (readable & kHopsReadable) != 0 ? TakeHopMessages() : 0;
      if ((readable & kCallersReadable) != 0 && TakeCallerPackets() != 0) {
        last_packet = now_;
      }
      if (now_ >= next_tick) {
        next_tick = now_ + Router::kTick;
        router_.OnTick(now_);
        PublishGauges();
      }
      status_.Serve([this] { return Describe(); });
      output_.Flush();
      if (pauses_.OnLoop(now_, std::chrono::system_clock::now())) {
        output_.Paused();
      }
      if (stopping_) {
        stop_at = stop_at.value_or(now_ + settings_.stop_timeout - kExitMargin);
        if (now_ >= *stop_at || (now_ - last_packet >= kQuietTime && n == 0 &&
                                 now_ >= *stop_at - settings_.stop_timeout +
                                             kExitMargin + kRotationTime)) {
          return;
        }
      }
    }
  }

  const TrafficCounters& counters() const { return output_.counters(); }
  NodeMetrics& metrics() { return output_.metrics(); }

  /// What is in force here, as JSON. May be called from any thread.
  std::string Status() { return status_.Ask(); }

 private:
  using Router = connection::EntryRouter<EntryOutput<F>>;
  using Milliseconds = std::chrono::milliseconds;

  struct Upstreams {
    std::vector<version::UpstreamRecord> records;
    Clock::time_point complete_at;
  };

  // Bits of `WaitReadable`, in the order of the handles.
  static constexpr uint32_t kCallersReadable = 1U << 0;
  static constexpr uint32_t kHopsReadable = 1U << 1;

  // 100,000 flows take about 20 MB.
  static constexpr size_t kMaxFlows = 100000;
  // A stopping instance ends when no packet came for this time.
  static constexpr Milliseconds kQuietTime{150};
  // The routers look for ready instances twice a second and give up one after
  // two misses.
  static constexpr Milliseconds kRotationTime{1500};
  // Time for the end of the process within its stop timeout.
  static constexpr Milliseconds kExitMargin{1000};

  static uint64_t SeedOf(const version::NodeSettings& settings) {
    return request::ServiceTagOf(settings.instance.text()).value | 1;
  }

  void PublishGauges() {
    output_.metrics().SetFlows(router_.flows());
    output_.metrics().SetUpstreams(router_.upstreams().views().size());
    if (router_.routes() != nullptr) {
      output_.metrics().SetRouteRevision(router_.routes()->revision);
    }
  }

  std::string Describe() const {
    nlohmann::ordered_json status;
    status["role"] = "entry";
    status["instance"] = settings_.instance.text();
    status["ready"] = Ready();
    status["store_answers"] = store_answers_.load();
    status["flows"] = router_.flows();
    if (router_.routes() != nullptr) {
      status["route_revision"] = router_.routes()->revision;
      status["route_version"] = router_.routes()->version;
      status["routes"] = router_.routes()->routes.size();
    }
    status["upstreams"] = nlohmann::ordered_json::array();
    for (const auto& [sidecar, view] : router_.upstreams().views()) {
      status["upstreams"].push_back(
          {{"sidecar", request::ToString(sidecar)},
           {"upstream", view.record().instance},
           {"service", view.record().service.text()},
           {"zone", view.record().zone.text()},
           {"may_take", view.AcceptsNewFlows(now_, false)},
           {"draining", view.record().draining || view.load().draining},
           {"in_progress", view.load().in_progress},
           {"slots", view.record().slots},
           {"service_time_us", view.load().service_time_us},
           {"report_age_ms", view.ReportAge(now_).count()}});
    }
    return status.dump();
  }

  void TakeUpdates() {
    router_.SetRoutesCurrent(routes_current_);
    if (auto routes = routes_.Take()) {
      router_.OnRoutes(std::move(*routes));
    }
    if (const auto it = upstreams_.Take()) {
      router_.OnUpstreamRecords(it->records, it->complete_at, now_);
    }
  }

  size_t TakeHopMessages() {
    const size_t n = in_.Receive(output_.hop_socket());
    for (size_t i = 0; i < n; ++i) {
      request::Failure failure;
      std::span<const std::byte> packet;
      const auto message =
          request::DecodeHopMessage(in_.Packet(i), &packet, &failure);
      if (!message) {
        output_.counters().Drop(request::ResultCode::kBadForwardHeader);
        continue;
      }
      router_.OnHopMessage(request::FromSocketAddress(in_.From(i)), *message,
                           packet, now_);
    }
    return n;
  }

  size_t TakeCallerPackets() {
    const size_t n = in_.Receive(output_.caller_socket());
    output_.counters().Count(PacketEvent::kReceived, n);
    for (size_t i = 0; i < n; ++i) {
      request::Failure failure;
      const auto packet = F::Parse(in_.Packet(i), &failure);
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
  ReceiveBatch in_;
  StatusRequest status_;
  PauseDetector pauses_;
  Mailbox<std::shared_ptr<const version::RouteMap>> routes_;
  Mailbox<Upstreams> upstreams_;
  std::atomic<bool> has_routes_{false};
  std::atomic<bool> has_upstreams_{false};
  std::atomic<bool> store_answers_{true};
  std::atomic<bool> routes_current_{false};
  std::atomic<bool> stopping_{false};
  Clock::time_point now_;
  Router router_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_ENTRY_NODE_H_
