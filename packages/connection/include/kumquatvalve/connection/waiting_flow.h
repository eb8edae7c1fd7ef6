#ifndef KUMQUATVALVE_CONNECTION_WAITING_FLOW_H_
#define KUMQUATVALVE_CONNECTION_WAITING_FLOW_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/request/flow_key.h"
#include "kumquatvalve/request/packet.h"

namespace kumquatvalve::connection {

/// A first packet that waits until the upstream has room.
struct WaitingFlow {
  request::FlowKey flow;
  uint32_t caller_isn = 0;
  /// The entry instance that offered it.
  request::Endpoint entry;
  /// The caller no longer waits for its flow to open after this time.
  TimePoint deadline;
  /// Until when the flow can be delivered and get its response within the
  /// route's target latency; long ago when it is too late for that.
  TimePoint on_time_until;
  /// The route's priority, 0 is the most urgent; empty when unknown.
  std::optional<uint8_t> priority;
  /// The caller was refused a short time ago.
  bool retry = false;
  std::vector<std::byte> bytes;

  /// The first packet; refers to `bytes`, so it must not outlive this object.
  request::ParsedPacket ToPacket() const;

  bool IsOnTime(TimePoint now) const { return now < on_time_until; }

  /// Flows of unknown priority count as the most urgent ones: while entry
  /// instances are updated, those of the earlier version must not lose their
  /// urgent flows.
  uint8_t Class() const { return priority.value_or(0); }
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_WAITING_FLOW_H_
