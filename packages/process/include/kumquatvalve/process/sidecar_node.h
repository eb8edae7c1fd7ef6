#ifndef KUMQUATVALVE_PROCESS_SIDECAR_NODE_H_
#define KUMQUATVALVE_PROCESS_SIDECAR_NODE_H_

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "kumquatvalve/connection/upstream_gate.h"
#include "kumquatvalve/process/decision_log.h"
#include "kumquatvalve/process/exception_guard.h"
#include "kumquatvalve/process/log_event.h"
#include "kumquatvalve/process/logging.h"
#include "kumquatvalve/process/node_metrics.h"
#include "kumquatvalve/process/packet_format.h"
#include "kumquatvalve/process/send_times.h"
#include "kumquatvalve/process/traffic_loop.h"
#include "kumquatvalve/version/node_settings.h"

namespace kumquatvalve::process {

/// Carries out the decisions of a sidecar's gate: sends packets on its sockets,
/// counts them and logs decisions. Used by the traffic thread only.
template <PacketFormat F>
class SidecarOutput {
 public:
  using Clock = std::chrono::steady_clock;
  using TimePoint = Clock::time_point;

  SidecarOutput(const version::NodeSettings& settings, const Logger* logger)
      : caller_port_(settings.packets.port),
        upstream_(settings.upstream->packets),
        log_(logger),
        metrics_(&log_),
        to_nodes_(&hop_socket_, &counters_),
        to_upstream_(&upstream_socket_, &counters_) {}

  /// Binds the sockets.
  /// @return false and `kSocketError` when an endpoint cannot be bound.
  bool Open(const version::NodeSettings& settings, request::Failure* failure) {
    return hop_socket_.Open(settings.packets, false, failure) &&
           upstream_socket_.Open(settings.upstream->outbound, false, failure);
  }

  /// Sets the time that decisions are logged with.
  void SetTime(TimePoint now) { now_ = now; }

  /// Sends the packets that were collected since the last call.
  void Flush() {
    FlushToUpstream();
    to_nodes_.Flush();
  }

  /// Sends a caller's packet to the upstream.
  void Deliver(std::span<const std::byte> packet) {
    if (to_upstream_.full()) {
      FlushToUpstream();
    }
    to_upstream_.Send({}, packet, upstream_);
    counters_.Count(PacketEvent::kDelivered);
  }
  /// Sends a packet of the upstream to its caller through the fabric.
  void SendToCaller(const request::Endpoint& caller,
                    std::span<const std::byte> packet) {
    to_nodes_.Send({}, packet, {caller.address, caller_port_});
    counters_.Count(PacketEvent::kAnswered);
  }
  /// Answers a caller's packet with a reset.
  void Reset(const request::ParsedPacket& packet) {
    const auto reset = F::BuildReset(packet);
    to_nodes_.Send({}, reset, {packet.flow.caller.address, caller_port_});
    counters_.Count(PacketEvent::kAnswered);
  }
  /// Sends a hop message, with a packet behind it, to an entry instance or a
  /// sidecar.
  void Send(const request::Endpoint& to, const request::HopMessage& message,
            std::span<const std::byte> packet) {
    to_nodes_.Send(request::EncodeHopMessage(message).span(), packet, to);
    counters_.Count(PacketEvent::kForwarded);
  }
  /// Notes that an entry instance did not find this sidecar's record.
  void ReportMissingRecord() { record_missing_ = true; }
  /// Whether `ReportMissingRecord` was called since the last call of this
  /// function.
  bool TakeRecordMissing() { return std::exchange(record_missing_, false); }
  /// Logs and counts a decision of the gate.
  void RecordDecision(const connection::GateDecision& decision) {
    log_.LogGateDecision(decision, now_);
  }

  const UdpSocket& hop_socket() const { return hop_socket_; }
  const UdpSocket& upstream_socket() const { return upstream_socket_; }
  TrafficCounters& counters() { return counters_; }
  const TrafficCounters& counters() const { return counters_; }
  NodeMetrics& metrics() { return metrics_; }

 private:
  // Packets are dropped when the process was paused after the decision to
  // deliver them, since the address may have another upstream now.
  void FlushToUpstream() {
    if (Clock::now() - now_ > connection::kMaxDeliveryDelay) {
      counters_.Count(PacketEvent::kSendFailed, to_upstream_.Discard());
    }
    to_upstream_.Flush();
  }

  uint16_t caller_port_;
  request::Endpoint upstream_;
  DecisionLog log_;
  NodeMetrics metrics_;
  UdpSocket hop_socket_;
  UdpSocket upstream_socket_;
  TrafficCounters counters_;
  BatchSender to_nodes_;
  BatchSender to_upstream_;
  TimePoint now_;
  bool record_missing_ = false;
};

/// The data path of a sidecar that is controlled through the store. One thread
/// runs `Run`: it receives packets and hop messages and passes them to the
/// gate. All other functions are thread-safe unless stated otherwise.
template <PacketFormat F>
class SidecarNode {
 public:
  using Clock = std::chrono::steady_clock;

  /// `logger` must outlive the node.
  /// @param on_record_missing called by the traffic thread when the store may
  ///   have lost the sidecar's record: an entry instance did not find it there,
  ///   or no entry instance sent a message for `kEntryContactTimeout`.
  SidecarNode(const version::NodeSettings& settings, const Logger* logger,
              std::function<void()> on_record_missing)
      : settings_(settings),
        logger_(logger),
        on_record_missing_(std::move(on_record_missing)),
        output_(settings, logger),
        guard_("traffic", logger,
               [this] { output_.metrics().OnUnexpectedError(); }),
        gate_(settings.upstream->service.text(),
              connection::LeaseDuration(settings.upstream->address_reuse),
              &output_, MakeWarmUpLimit(*settings.upstream)) {}

  /// Binds the sockets; to be called before `Run`.
  /// @return false and `kSocketError` when an endpoint cannot be bound.
  bool Open(request::Failure* failure) {
    return output_.Open(settings_, failure);
  }

  /// Hands the upstream's latest identity to the traffic thread; nothing when
  /// the upstream has deregistered, which starts a drain.
  void PublishIdentity(std::optional<connection::UpstreamIdentity> identity) {
    identity_.Put(std::move(identity));
  }

  /// Hands over what the store's record said before this process wrote it; see
  /// `UpstreamGate::OnStoredIncarnation`.
  void PublishStoredIncarnation(uint64_t incarnation_ms) {
    stored_incarnation_ms_.Put(incarnation_ms);
  }

  /// Sets the highest era of the store that a response had.
  void PublishStoreEra(uint64_t era) {
    store_era_ = era;
    output_.metrics().SetStoreEra(era);
  }

  /// Hands over that a heartbeat of the upstream was accepted.
  /// @param warm_up_left time for which the upstream is still cold.
  void PublishHeartbeat(connection::HeartbeatId heartbeat,
                        std::chrono::milliseconds warm_up_left) {
    heartbeats_.Add({Clock::now(), std::move(heartbeat), false, warm_up_left});
  }

  /// Hands over a heartbeat that names another service.
  void PublishOtherServiceHeartbeat(connection::HeartbeatId heartbeat) {
    heartbeats_.Add({Clock::now(), std::move(heartbeat), true, {}});
  }

  /// True until `Stop` is called.
  bool Ready() const { return !stopping_; }

  /// Starts a drain: no new flows are admitted, and `Run` returns when no
  /// request is in progress or expected and no response is being sent, or the
  /// stop timeout is almost over.
  void Stop() { stopping_ = true; }

  /// Forwards packets. Returns after `Stop`.
  void Run() {
    next_tick_at_ = Clock::now();
    next_record_check_at_ = next_tick_at_ + kEntryContactTimeout;
    while (!stopped_) {
      guard_.Run([this] { RunOnce(); });
    }
  }

  const TrafficCounters& counters() const { return output_.counters(); }
  NodeMetrics& metrics() { return output_.metrics(); }

  /// Returns the upstream's identity and load as a JSON object, "{}" when the
  /// traffic thread does not respond in time.
  std::string Status() { return status_request_.Query(); }

 private:
  using Gate = connection::UpstreamGate<SidecarOutput<F>>;

  struct ReceivedHeartbeat {
    Clock::time_point received_at;
    connection::HeartbeatId id;
    bool of_other_service = false;
    std::chrono::milliseconds warm_up_left{0};
  };

  // Bits that `WaitReadable` returns, in the order of its handles.
  static constexpr uint32_t kHopsReadable = 1U << 0;
  static constexpr uint32_t kUpstreamReadable = 1U << 1;

  // Entry instances that know a sidecar send it a hello every second. The
  // timeout is also the shortest interval between two calls of
  // `on_record_missing_`.
  static constexpr std::chrono::milliseconds kEntryContactTimeout{2000};
  // Part of the stop timeout that is reserved for ending the process.
  static constexpr std::chrono::milliseconds kExitMargin{1500};

  // Waits for packets and does all work that is due; sets `stopped_` when
  // `Run` has to return.
  void RunOnce() {
    const std::array<int, 2> handles = {output_.hop_socket().handle(),
                                        output_.upstream_socket().handle()};
    const uint32_t readable = WaitReadable(handles, Gate::kTick);
    now_ = Clock::now();
    output_.SetTime(now_);
    if (stopping_ && !stop_at_) {
      stop_at_ = now_ + settings_.stop_timeout - kExitMargin;
    }
    stopped_ = stop_at_ && now_ >= *stop_at_;
    if (pause_detector_.CheckForPause(now_, std::chrono::system_clock::now())) {
      logger_->Log(LogLevel::kWarning, LogEvent::kProcessPaused,
                   "the process was paused", {});
    }
    const auto suspended = send_times_.OnIteration(now_, TimeSinceBoot());
    if (suspended.count() != 0) {
      upstream_socket_empty_at_ -= suspended;
      gate_.OnSuspension(suspended, now_);
    }
    ApplyPublishedUpdates();
    if ((readable & kHopsReadable) != 0) {
      ReceiveHopMessages();
    }
    if ((readable & kUpstreamReadable) != 0) {
      ReceiveUpstreamPackets();
    } else {
      upstream_socket_empty_at_ = send_times_.previous();
    }
    if (now_ >= next_tick_at_) {
      next_tick_at_ = now_ + Gate::kTick;
      gate_.OnTick(now_);
      output_.metrics().SetFlows(gate_.flows());
      output_.metrics().SetInProgress(gate_.load().in_progress);
      ReportWarmUp();
    }
    status_request_.Serve([this] { return StatusJson(); });
    const bool no_entry_contact =
        now_ - gate_.last_entry_message_at() > kEntryContactTimeout;
    if (now_ >= next_record_check_at_ &&
        (output_.TakeRecordMissing() || no_entry_contact)) {
      next_record_check_at_ = now_ + kEntryContactTimeout;
      on_record_missing_();
    }
    if (stop_at_ && !std::exchange(drain_started_, true)) {
      gate_.StartDrain(now_);
    }
    stopped_ = stopped_ || (drain_started_ && !gate_.IsBusy(now_));
    output_.Flush();
  }

  static connection::WarmUpLimit MakeWarmUpLimit(
      const version::NodeUpstreamSettings& upstream) {
    return upstream.warm_up_slack
               ? connection::WarmUpLimit(*upstream.warm_up_slack)
               : connection::WarmUpLimit();
  }

  // The rate that limits a cold upstream, in requests a second.
  nlohmann::json WarmUpRate() const {
    const auto tenths = gate_.warm_up().per_second_tenths();
    return tenths ? nlohmann::json(*tenths / 10.0) : nlohmann::json();
  }

  // Logs when the limit for a cold upstream begins, gets another rate or ends.
  void ReportWarmUp() {
    const bool limiting =
        gate_.warm_up().limiting() && gate_.identity().incarnation_ms != 0;
    const auto tenths = gate_.warm_up().per_second_tenths();
    const bool same_rate = !limiting || tenths == reported_warm_up_tenths_;
    if (limiting == reported_warm_up_ && same_rate) {
      return;
    }
    reported_warm_up_ = limiting;
    reported_warm_up_tenths_ = tenths;
    output_.metrics().SetWarmUpLimiting(limiting);
    logger_->Log(LogLevel::kInfo, LogEvent::kWarmUpChanged,
                 limiting ? "first packets are limited"
                          : "first packets are not limited",
                 {{"upstream", gate_.identity().instance},
                  {"per_second", WarmUpRate().dump()}});
  }

  // Called by the traffic thread only.
  std::string StatusJson() const {
    const request::UpstreamLoad& load = gate_.load();
    nlohmann::ordered_json status = {
        {"role", "sidecar"},
        {"instance", settings_.instance.text()},
        {"ready", Ready()},
        {"store_era", store_era_.load()},
        {"upstream", gate_.identity().instance},
        {"service", gate_.identity().service},
        {"incarnation_ms", gate_.identity().incarnation_ms},
        {"draining", load.draining},
        {"unresponsive", load.unresponsive},
        {"lease", Name(gate_.LeaseAt(now_))},
        {"slots", load.slots},
        {"in_progress", load.in_progress},
        {"opening", load.opening},
        {"waiting", gate_.waiting()},
        {"service_time_us", load.service_time_us},
        {"flows", gate_.flows()}};
    if (gate_.warm_up().active()) {
      const auto allowance = gate_.warm_up().Allowance(gate_.waiting());
      status["warm_up_limited"] = gate_.warm_up().limiting();
      status["warm_up_per_second"] = WarmUpRate();
      status["warm_up_allowance"] =
          allowance ? nlohmann::json(*allowance) : nlohmann::json();
    }
    return status.dump();
  }

  void ApplyPublishedUpdates() {
    if (auto identity = identity_.Take()) {
      if (*identity) {
        gate_.OnIdentity(**identity, now_);
      } else {
        gate_.StartDrain(now_);
      }
    }
    if (const auto it = stored_incarnation_ms_.Take()) {
      gate_.OnStoredIncarnation(*it);
    }
    for (const ReceivedHeartbeat& it : heartbeats_.TakeAll()) {
      if (it.of_other_service) {
        gate_.OnOtherServiceHeartbeat(it.id, now_);
      } else {
        gate_.OnHeartbeat(it.id, send_times_.SentAfter(it.received_at), now_,
                          it.warm_up_left);
      }
    }
  }

  void ReceiveHopMessages() {
    const size_t n = receive_batch_.Receive(output_.hop_socket());
    output_.counters().Count(PacketEvent::kReceived, n);
    for (size_t i = 0; i < n; ++i) {
      request::Failure failure;
      std::span<const std::byte> bytes;
      const auto message =
          request::DecodeHopMessage(receive_batch_.Packet(i), &bytes, &failure);
      if (!message) {
        output_.counters().Drop(request::ResultCode::kBadForwardHeader);
        continue;
      }
      const auto from = request::FromSocketAddress(receive_batch_.From(i));
      if (message->kind != request::HopKind::kPacket) {
        gate_.OnHopMessage(from, *message, now_);
        continue;
      }
      const auto packet = F::Parse(bytes, &failure);
      if (packet) {
        gate_.OnCallerPacket(from, *message, *packet, now_);
      } else {
        output_.counters().Drop(failure.code);
      }
    }
  }

  void ReceiveUpstreamPackets() {
    gate_.SetPacketsSentAfter(upstream_socket_empty_at_);
    const size_t n = receive_batch_.Receive(output_.upstream_socket());
    output_.counters().Count(PacketEvent::kFromUpstream, n);
    if (n < kBatchPackets) {
      upstream_socket_empty_at_ = now_;
    }
    for (size_t i = 0; i < n; ++i) {
      const std::span<std::byte> bytes = receive_batch_.Packet(i);
      const bool returned = F::IsReturned(bytes);
      if (returned) {
        F::ClearReturned(bytes);
      }
      request::Failure failure;
      const auto packet = F::Parse(bytes, &failure);
      if (!packet) {
        output_.counters().Drop(failure.code);
      } else if (returned) {
        gate_.OnRejectedPacket(*packet, now_);
      } else {
        gate_.OnUpstreamPacket(*packet, now_);
      }
    }
  }

  version::NodeSettings settings_;
  const Logger* logger_;
  std::function<void()> on_record_missing_;
  SidecarOutput<F> output_;
  ReceiveBatch receive_batch_;
  StatusRequest status_request_;
  Mailbox<std::optional<connection::UpstreamIdentity>> identity_;
  Mailbox<uint64_t> stored_incarnation_ms_;
  EventQueue<ReceivedHeartbeat> heartbeats_;
  PauseDetector pause_detector_;
  SendTimes send_times_;
  /// No packet waited on the upstream's socket at this time.
  Clock::time_point upstream_socket_empty_at_;
  std::atomic<bool> stopping_{false};
  std::atomic<uint64_t> store_era_{0};
  Clock::time_point now_;
  Clock::time_point next_tick_at_;
  Clock::time_point next_record_check_at_;
  /// When `Run` returns at the latest; empty before `Stop`.
  std::optional<Clock::time_point> stop_at_;
  bool drain_started_ = false;
  bool stopped_ = false;
  /// What `ReportWarmUp` logged last.
  bool reported_warm_up_ = false;
  std::optional<uint16_t> reported_warm_up_tenths_;
  ExceptionGuard guard_;
  Gate gate_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_SIDECAR_NODE_H_
