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
  /// The caller no longer waits for its flow to open after this time.
  TimePoint deadline;
  /// Until when the flow can be delivered and get its response within the
  /// route's target latency; long ago when it is too late for that.
  TimePoint on_time_until;
  std::vector<std::byte> bytes;

  /// The first packet; refers to `bytes`, so it must not outlive this object.
  request::ParsedPacket ToPacket() const;
};

/// Bounded queue of first packets that wait at a sidecar. Load pattern: the
/// return of all callers after an outage. Served in the order of arrival, the
/// callers that waited through the outage would make every later one late too,
/// until the backlog is gone. So flows that can still be on time go first, and
/// among these, as among the others, the order of arrival holds.
class WaitingFlows {
 public:
  /// @return false when the queue is full; the flow is not added then.
  bool Push(WaitingFlow flow);

  bool Contains(const request::FlowKey& flow) const;

  /// Drops flows whose deadline has passed, then removes and returns the oldest
  /// one that can be on time, or the oldest one when none can. Empty when there
  /// is none.
  std::optional<WaitingFlow> Pop(TimePoint now);

  /// Number of flows that can be on time, which a flow of this kind waits for.
  size_t CountOnTime(TimePoint now) const;

  /// Removes and returns all flows, including those whose deadline has passed.
  std::vector<WaitingFlow> TakeAll();

  size_t size() const { return flows_.size(); }
  bool empty() const { return flows_.empty(); }

 private:
  // 36 to 1,236 bytes each.
  static constexpr size_t kMaxWaiting = 1000;

  std::deque<WaitingFlow> flows_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_WAITING_FLOWS_H_
