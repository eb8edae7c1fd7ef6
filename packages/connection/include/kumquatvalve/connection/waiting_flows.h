#ifndef KUMQUATVALVE_CONNECTION_WAITING_FLOWS_H_
#define KUMQUATVALVE_CONNECTION_WAITING_FLOWS_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/connection/offer_decision.h"
#include "kumquatvalve/connection/waiting_flow.h"

namespace kumquatvalve::connection {

/// Bounded queue of first packets that wait at a sidecar. Load patterns: the
/// return of all callers after an outage, and bursts of one kind of request
/// that exceed what the upstreams can serve.
///
/// Flows are served by priority; within it, retries of refused callers come
/// after first attempts, then flows that can still be on time go first, and
/// among these, as among the others, the order of arrival holds. In the order
/// of arrival, the callers that waited through an outage would make every later
/// one late too, until the backlog is gone. One turn in `kOtherClassInterval`
/// goes to another class than the most urgent one, so that no class starves.
/// Flows of unknown priority are of one class and never count as retries.
class WaitingFlows {
 public:
  struct Addition {
    bool added = false;
    /// The flow that made room for the added one.
    std::optional<WaitingFlow> evicted;
  };

  /// @return false when the queue is full; the flow is not added then.
  bool Push(WaitingFlow flow);

  /// Adds a flow when it can be served in time. When the flows that wait cannot
  /// all be served within `wait_limit`, the one that is worth least to its
  /// caller is given up, which may be the new one. When more flows count as on
  /// time than can be served on time, the one of them that is worth least
  /// counts as late from now on: otherwise a flood of new flows takes the turns
  /// of the others before the queue is full. While no priority is known, only
  /// the number of flows is limited, and a full queue takes no new flow.
  /// @param state the upstream's work; `waiting` is not used.
  /// @param wait_limit how long the new flow may wait.
  Addition Add(WaitingFlow flow, const OfferState& state,
               std::chrono::milliseconds wait_limit, TimePoint now);

  bool Contains(const request::FlowKey& flow) const;

  /// Removes and returns the flow whose turn it is; one whose deadline has
  /// passed is never chosen. Empty when there is none.
  std::optional<WaitingFlow> Pop(TimePoint now);

  /// Number of flows that are expected to be served before `flow` when it is
  /// added now.
  size_t CountAhead(const WaitingFlow& flow, TimePoint now) const;

  /// Removes and returns the flows whose deadline has passed.
  std::vector<WaitingFlow> TakeExpired(TimePoint now);

  /// Removes and returns the flows of known priority that cannot be served
  /// before their deadline, given the flows ahead of them and the service time
  /// in `state`. The wait is that of `ExpectedOpeningWait`.
  std::vector<WaitingFlow> TakeUnservable(const OfferState& state,
                                          TimePoint now);

  /// Removes and returns all flows, including those whose deadline has passed.
  std::vector<WaitingFlow> TakeAll();

  size_t size() const { return flows_.size(); }
  bool empty() const { return flows_.empty(); }

 private:
  // 36 to 1,236 bytes each.
  static constexpr size_t kMaxWaiting = 1000;

  bool HasPriorities() const;
  void LimitOnTime(WaitingFlow* newcomer, const OfferState& state,
                   TimePoint now);

  std::deque<WaitingFlow> flows_;
  /// Turns of the most urgent class since the last one of another class, while
  /// another class waited.
  size_t turns_of_most_urgent_ = 0;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_WAITING_FLOWS_H_
