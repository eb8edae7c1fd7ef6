#ifndef KUMQUATVALVE_PROCESS_CALL_BUDGET_H_
#define KUMQUATVALVE_PROCESS_CALL_BUDGET_H_

#include <chrono>
#include <cstdint>
#include <random>

namespace kumquatvalve::process {

struct CallBudgetSettings {
  /// Average rate that the process may reach.
  double calls_per_second = 2;
  /// Calls that may be made at once after an idle period. It exceeds the rate
  /// because a process lists each watched prefix when it starts.
  double burst = 10;
  /// Backoff after the first failed call; each further failure doubles it, up
  /// to `max_backoff`.
  std::chrono::milliseconds initial_backoff{200};
  std::chrono::milliseconds max_backoff{30000};
  /// Consecutive failures after which the circuit opens.
  uint32_t failures_to_open = 5;
  /// Minimum time without any call after the circuit breaker opened. One trial
  /// call follows; its outcome closes the circuit or opens it again.
  std::chrono::milliseconds min_open_duration{5000};
};

/// Decides when a process may call the object API: a token bucket, exponential
/// backoff with jitter after failures and a circuit breaker. When the store
/// becomes unavailable, thousands of processes notice at the same moment; the
/// jitter spreads their calls when it is back. Not thread-safe.
class CallBudget {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  using Duration = std::chrono::steady_clock::duration;

  /// @param seed of the jitter; must differ between processes.
  CallBudget(const CallBudgetSettings& settings, uint64_t seed);

  /// Takes a token for one call. The caller must pass on the outcome with
  /// `OnResponse` or `OnFailure`.
  /// @return false when no call may be made now.
  bool TryAcquire(TimePoint now);

  /// Records that the store responded, even if it rejected the operation.
  void OnResponse();

  /// Records that the store did not respond or responded that it is
  /// unavailable.
  void OnFailure(TimePoint now);

  /// Returns the earliest time at which `TryAcquire` may succeed.
  TimePoint NextCallAt(TimePoint now) const;

  bool circuit_open() const { return failures_ >= settings_.failures_to_open; }

 private:
  double TokensAt(TimePoint now) const;

  CallBudgetSettings settings_;
  std::mt19937_64 random_;
  double tokens_;
  /// When `tokens_` was computed; set by the first call.
  TimePoint refilled_at_{};
  bool started_ = false;
  uint32_t failures_ = 0;
  /// End of the backoff: no call before this time.
  TimePoint retry_at_{};
  /// The circuit is open and one trial call is in progress.
  bool trial_pending_ = false;
  /// A trial call whose outcome is never passed on blocks other calls only
  /// until this time.
  TimePoint trial_until_{};
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_CALL_BUDGET_H_
