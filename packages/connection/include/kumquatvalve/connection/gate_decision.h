#ifndef KUMQUATVALVE_CONNECTION_GATE_DECISION_H_
#define KUMQUATVALVE_CONNECTION_GATE_DECISION_H_

#include <array>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "kumquatvalve/connection/address_lease.h"
#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/request/flow_key.h"
#include "kumquatvalve/request/hop_message.h"
#include "kumquatvalve/request/packet.h"

namespace kumquatvalve::connection {

/// The decision of a sidecar about a packet or its upstream; for logs and
/// counters.
enum class GateVerdict : uint8_t {
  /// A first packet was delivered to the upstream.
  kAdmitted,
  /// A first packet was returned to its entry instance.
  kReturned,
  /// The upstream sent a packet of a flow that was not in the flow table; the
  /// flow was added.
  kAdopted,
  /// A packet of an unknown flow was delivered to find out whether the upstream
  /// holds the flow.
  kProbed,
  /// A packet belongs to a flow that the upstream does not hold.
  kNotHeld,
  /// The upstream rejected a packet of an open flow, so it has lost the flow.
  kLost,
  /// The upstream stopped responding to first packets.
  kUnresponsive,
  /// The upstream responds to first packets again.
  kResponsive,
  /// A first packet waits until the upstream has room.
  kWaiting,
  /// A packet of the upstream belongs to an earlier flow from the same caller
  /// address and port; it was dropped.
  kEarlierFlow,
  /// A first packet was delivered to the upstream, which is unresponsive, to
  /// find out whether it responds again.
  kTrial,
  /// The state of the lease on the upstream's address changed; see
  /// `LeaseState`.
  kLease,
  /// A first packet exceeded what a cold upstream may get; it is returned or
  /// waits.
  kWarmUpLimited,
  /// A waiting first packet was returned since a full queue gave its place to
  /// another one.
  kEvicted,
  /// A waiting first packet was returned since it can no longer be delivered
  /// before its deadline.
  kUnservable,
  /// A waiting first packet was returned at its deadline.
  kWaitExpired,
};

inline constexpr size_t kGateVerdicts = 16;

constexpr std::string_view Name(GateVerdict verdict) {
  constexpr std::array<std::string_view, kGateVerdicts> kNames = {
      "admitted",        "returned",     "adopted",      "probed",
      "not_held",        "lost",         "unresponsive", "responsive",
      "waiting",         "earlier_flow", "trial",        "lease",
      "warm_up_limited", "evicted",      "unservable",   "wait_expired"};
  return kNames[static_cast<size_t>(verdict)];
}

/// A decision about a flow with the inputs that led to it.
struct GateDecision {
  GateVerdict verdict = GateVerdict::kAdmitted;
  request::FlowKey flow;
  request::ReturnReason reason = request::ReturnReason::kNone;
  /// Requests in progress at the upstream.
  uint16_t in_progress = 0;
  /// Flows that were opened and have not sent a request.
  uint16_t opening = 0;
  /// First packets that wait at the sidecar.
  size_t waiting = 0;
  LeaseState lease = LeaseState::kLapsed;
  /// When the upstream's last heartbeat was accepted; empty before the first.
  std::optional<TimePoint> heartbeat_at;
  /// When the last heartbeat of another service arrived; empty before the
  /// first.
  std::optional<TimePoint> other_service_at;
};

/// The effects of a sidecar's gate, implemented by the process around it.
template <typename S>
concept GateSink = requires(S sink, const request::Endpoint& to,
                            const request::HopMessage& message,
                            std::span<const std::byte> packet,
                            const request::ParsedPacket& parsed,
                            const GateDecision& decision) {
  // Delivers a caller's packet to the upstream.
  sink.Deliver(packet);
  // Sends a packet of the upstream to the caller.
  sink.SendToCaller(to, packet);
  // Resets the flow of a caller's packet.
  sink.Reset(parsed);
  // Sends a message, followed by a packet or nothing, to an entry instance.
  sink.Send(to, message, packet);
  // An entry instance reported that the store has no record of this sidecar.
  sink.ReportMissingRecord();
  sink.RecordDecision(decision);
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_GATE_DECISION_H_
