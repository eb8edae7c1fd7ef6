#ifndef KUMQUATVALVE_CONNECTION_WAITING_FLOWS_H_
#define KUMQUATVALVE_CONNECTION_WAITING_FLOWS_H_

#include <chrono>
#include <cstddef>
#include <deque>
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
  /// The caller no longer waits for its flow to open.
  TimePoint until;
  std::vector<std::byte> bytes;

  /// The first packet; it refers to `bytes`.
  request::ParsedPacket Packet() const;
};

/// First packets that wait at a sidecar, in the order of arrival.
class WaitingFlows {
 public:
  /// @return false when too many wait.
  bool Push(WaitingFlow flow);

  bool Contains(const request::FlowKey& flow) const;

  /// The one that waits longest and whose caller still waits.
  std::optional<WaitingFlow> Pop(TimePoint now);

  /// Removes and returns all.
  std::vector<WaitingFlow> TakeAll();

  size_t size() const { return flows_.size(); }
  bool empty() const { return flows_.empty(); }

 private:
  // 36 to 1,236 bytes each.
  static constexpr size_t kMostWaiting = 1000;

  std::deque<WaitingFlow> flows_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_WAITING_FLOWS_H_
