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
#include "kumquatvalve/process/node_metrics.h"
#include "kumquatvalve/process/packet_format.h"
#include "kumquatvalve/process/traffic_loop.h"
#include "kumquatvalve/version/node_settings.h"

namespace kumquatvalve::process {

/// What a sidecar's gate lets happen, on its sockets.
template <PacketFormat F>
class SidecarOutput {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  SidecarOutput(const version::NodeSettings& settings, const Logger* logger)
      : caller_port_(settings.packets.port),
        upstream_(settings.upstream->packets),
        log_(logger),
        metrics_(&log_),
        to_nodes_(&hop_socket_, &counters_),
        to_upstream_(&upstream_socket_, &counters_) {}

  bool Open(const version::NodeSettings& settings, request::Failure* failure) {
    return hop_socket_.Open(settings.packets, false, failure) &&
           upstream_socket_.Open(settings.upstream->outbound, false, failure);
  }

  void SetTime(TimePoint now) { now_ = now; }

  void Flush() {
    to_upstream_.Flush();
    to_nodes_.Flush();
  }

  void Deliver(std::span<const std::byte> packet) {
    to_upstream_.Send({}, packet, upstream_);
    counters_.Count(PacketEvent::kDelivered);
  }
  void SendToCaller(const request::Endpoint& caller,
                    std::span<const std::byte> packet) {
    to_nodes_.Send({}, packet, {caller.address, caller_port_});
    counters_.Count(PacketEvent::kAnswered);
  }
  void Reset(const request::ParsedPacket& packet) {
    const auto reset = F::BuildReset(packet);
    to_nodes_.Send({}, reset, {packet.flow.caller.address, caller_port_});
    counters_.Count(PacketEvent::kAnswered);
  }
  void Send(const request::Endpoint& to, const request::HopMessage& message,
            std::span<const std::byte> packet) {
    to_nodes_.Send(request::EncodeHopMessage(message).span(), packet, to);
    counters_.Count(PacketEvent::kForwarded);
  }
  void ReportMissingRecord() { record_missing_ = true; }
  /// Whether an entry instance missed the record since the last call.
  bool TakeRecordMissing() { return std::exchange(record_missing_, false); }
  void RecordDecision(const connection::GateDecision& decision) {
    log_.OnGateDecision(decision, now_);
  }

  const UdpSocket& hop_socket() const { return hop_socket_; }
  const UdpSocket& upstream_socket() const { return upstream_socket_; }
  TrafficCounters& counters() { return counters_; }
  const TrafficCounters& counters() const { return counters_; }
  NodeMetrics& metrics() { return metrics_; }

 private:
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

/// The traffic of a sidecar that is controlled through the store: one thread
/// takes packets and messages and lets the gate decide.
template <PacketFormat F>
class SidecarNode {
 public:
  using Clock = std::chrono::steady_clock;

  /// `logger` must outlive the node. `on_forgotten` is called by the traffic
  /// thread when an entry instance misses the sidecar's record in the store, or
  /// when none was heard for long.
  SidecarNode(const version::NodeSettings& settings, uint64_t started_ms,
              const Logger* logger, std::function<void()> on_forgotten)
      : settings_(settings),
        on_forgotten_(std::move(on_forgotten)),
        output_(settings, logger),
        gate_(settings.upstream->service.text(), started_ms, &output_) {}

  bool Open(request::Failure* failure) {
    return output_.Open(settings_, failure);
  }

  /// What the upstream said last; nothing when it departed.
  void PublishIdentity(std::optional<connection::UpstreamIdentity> identity) {
    identity_.Put(std::move(identity));
  }

  bool Ready() const { return !stopping_; }

  /// From now on no new flows are taken and `Run` returns when the requests in
  /// progress are answered.
  void Stop() { stopping_ = true; }

  void Run() {
    auto next_tick = Clock::now();
    auto next_check = next_tick + kForgotten;
    std::optional<Clock::time_point> stop_at;
    while (true) {
      const std::array<int, 2> handles = {output_.hop_socket().handle(),
                                          output_.upstream_socket().handle()};
      const uint32_t readable = WaitReadable(handles, Gate::kTick);
      now_ = Clock::now();
      output_.SetTime(now_);
      TakeUpdates();
      if ((readable & kHopsReadable) != 0) {
        TakeHopMessages();
      }
      if ((readable & kUpstreamReadable) != 0) {
        TakeUpstreamPackets();
      }
      if (now_ >= next_tick) {
        next_tick = now_ + Gate::kTick;
        gate_.OnTick(now_);
        output_.metrics().SetFlows(gate_.flows());
        output_.metrics().SetInProgress(gate_.load().in_progress);
      }
      status_.Serve([this] { return Describe(); });
      const bool forgotten = now_ - gate_.last_entry_message_at() > kForgotten;
      if (now_ >= next_check && (output_.TakeRecordMissing() || forgotten)) {
        next_check = now_ + kForgotten;
        on_forgotten_();
      }
      if (stopping_) {
        if (!stop_at) {
          stop_at = now_ + settings_.stop_timeout - kExitMargin;
          gate_.StartDrain(now_);
        }
        const auto& load = gate_.load();
        if (now_ >= *stop_at || (load.in_progress == 0 && load.opening == 0)) {
          output_.Flush();
          return;
        }
      }
      output_.Flush();
    }
  }

  const TrafficCounters& counters() const { return output_.counters(); }
  NodeMetrics& metrics() { return output_.metrics(); }

  /// What is in force here, as JSON. May be called from any thread.
  std::string Status() { return status_.Ask(); }

 private:
  using Gate = connection::UpstreamGate<SidecarOutput<F>>;

  // Bits of `WaitReadable`, in the order of the handles.
  static constexpr uint32_t kHopsReadable = 1U << 0;
  static constexpr uint32_t kUpstreamReadable = 1U << 1;

  // Entry instances that know of a sidecar greet it every second.
  static constexpr std::chrono::milliseconds kForgotten{2000};
  // Time for the end of the process within its stop timeout.
  static constexpr std::chrono::milliseconds kExitMargin{1500};

  std::string Describe() const {
    const request::UpstreamLoad& load = gate_.load();
    const nlohmann::ordered_json status = {
        {"role", "sidecar"},
        {"instance", settings_.instance.text()},
        {"ready", Ready()},
        {"upstream", gate_.identity().instance},
        {"service", gate_.identity().service},
        {"incarnation_ms", gate_.identity().incarnation_ms},
        {"draining", load.draining},
        {"unresponsive", load.unresponsive},
        {"slots", load.slots},
        {"in_progress", load.in_progress},
        {"opening", load.opening},
        {"waiting", gate_.waiting()},
        {"service_time_us", load.service_time_us},
        {"flows", gate_.flows()}};
    return status.dump();
  }

  void TakeUpdates() {
    if (auto identity = identity_.Take()) {
      if (*identity) {
        gate_.OnIdentity(**identity, now_);
      } else {
        gate_.StartDrain(now_);
      }
    }
  }

  void TakeHopMessages() {
    const size_t n = in_.Receive(output_.hop_socket());
    output_.counters().Count(PacketEvent::kReceived, n);
    for (size_t i = 0; i < n; ++i) {
      request::Failure failure;
      std::span<const std::byte> bytes;
      const auto message =
          request::DecodeHopMessage(in_.Packet(i), &bytes, &failure);
      if (!message) {
        output_.counters().Drop(request::ResultCode::kBadForwardHeader);
        continue;
      }
      const auto from = request::FromSocketAddress(in_.From(i));
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

  void TakeUpstreamPackets() {
    const size_t n = in_.Receive(output_.upstream_socket());
    output_.counters().Count(PacketEvent::kFromUpstream, n);
    for (size_t i = 0; i < n; ++i) {
      const std::span<std::byte> bytes = in_.Packet(i);
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
  std::function<void()> on_forgotten_;
  SidecarOutput<F> output_;
  ReceiveBatch in_;
  StatusRequest status_;
  Mailbox<std::optional<connection::UpstreamIdentity>> identity_;
  std::atomic<bool> stopping_{false};
  Clock::time_point now_;
  Gate gate_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_SIDECAR_NODE_H_
