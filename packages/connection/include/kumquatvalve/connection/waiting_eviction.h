#ifndef KUMQUATVALVE_CONNECTION_WAITING_EVICTION_H_
#define KUMQUATVALVE_CONNECTION_WAITING_EVICTION_H_

#include <cstddef>
#include <deque>
#include <optional>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/connection/waiting_flow.h"

namespace kumquatvalve::connection {

/// One turn in this many goes to a class other than the most urgent one, and
/// these classes may use the same share of the queue's room.
inline constexpr size_t kOtherClassInterval = 4;

/// The flows among which `ChooseLeastWorth` chooses.
enum class EvictionScope {
  kAll,
  /// Those that can still be on time; the new flow is one of them.
  kOnTime,
};

/// Chooses the flow that a full queue gives up for a new one. Load patterns: a
/// burst of low-priority flows that takes the room of urgent ones; one caller
/// address or entry instance that floods the queue.
///
/// The flow is of the lowest priority; within it, of those too late for their
/// target; within these, of the caller address with the most waiting flows,
/// then of the entry instance with the most; then the one with the least time
/// left. A flood of the most urgent class must not take the turns of the other
/// classes: while these use at most their share of the room, the flow is of the
/// most urgent class.
/// @param room number of flows within `scope` that can be served in time.
/// @return the index of the flow in `flows`; empty when `newcomer` is worth
///   least.
std::optional<size_t> ChooseLeastWorth(const std::deque<WaitingFlow>& flows,
                                       const WaitingFlow& newcomer, size_t room,
                                       EvictionScope scope, TimePoint now);

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_WAITING_EVICTION_H_
