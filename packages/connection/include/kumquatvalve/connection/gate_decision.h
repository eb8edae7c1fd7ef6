#ifndef KUMQUATVALVE_CONNECTION_GATE_DECISION_H_
#define KUMQUATVALVE_CONNECTION_GATE_DECISION_H_

#include <array>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "kumquatvalve/request/flow_key.h"
#include "kumquatvalve/request/hop_message.h"
#include "kumquatvalve/request/packet.h"

namespace kumquatvalve::connection {

/// What a sidecar decided about a packet; for logs and counters.
enum class GateVerdict : uint8_t {
  /// A first packet was delivered to the upstream.
  kAdmitted,
  /// A first packet was returned to its entry instance.
  kReturned,
  /// A flow that the upstream holds was not known and is known now.
  kAdopted,
  /// A packet of an unknown flow was delivered to ask the upstream.
  kProbed,
  /// A packet of a flow that is not held here.
  kNotHeld,
  /// The upstream does not hold a flow that was known here.
  kLost,
  /// The upstream stopped or began again to answer first packets.
  kUnresponsive,
  kResponsive,
  /// A first packet waits until the upstream has room.
  kWaiting,
};

inline constexpr size_t kGateVerdicts = 9;

constexpr std::string_view Name(GateVerdict verdict) {
  constexpr std::array<std::string_view, kGateVerdicts> kNames = {
      "admitted", "returned",     "adopted",    "probed", "not_held",
      "lost",     "unresponsive", "responsive", "waiting"};
  return kNames[static_cast<size_t>(verdict)];
}

/// A decision about a flow with the inputs that led to it.
struct GateDecision {
  GateVerdict verdict = GateVerdict::kAdmitted;
  request::FlowKey flow;
  request::ReturnReason reason = request::ReturnReason::kNone;
  uint16_t in_progress = 0;
  uint16_t opening = 0;
  size_t waiting = 0;
};

/// What a sidecar's gate lets happen.
template <typename S>
concept GateSink = requires(S sink, const request::Endpoint& to,
                            const request::HopMessage& message,
                            std::span<const std::byte> packet,
                            const request::ParsedPacket& parsed,
                            const GateDecision& decision) {
  // Hands a caller's packet to the upstream.
  sink.Deliver(packet);
  // Sends the upstream's packet to the caller.
  sink.SendToCaller(to, packet);
  // Resets the flow of a caller's packet.
  sink.Reset(parsed);
  // Sends a message, followed by a packet or nothing, to an entry instance.
  sink.Send(to, message, packet);
  // The store has no record of this sidecar, as far as an entry instance knows.
  sink.ReportMissingRecord();
  sink.RecordDecision(decision);
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_GATE_DECISION_H_
