#ifndef KUMQUATVALVE_PROCESS_CALL_BUDGET_H_
#define KUMQUATVALVE_PROCESS_CALL_BUDGET_H_

#include <chrono>
#include <cstdint>
#include <random>

namespace kumquatvalve::process {

struct CallBudgetSettings {
  /// Calls that the process may make on average.
  double calls_per_second = 2;
  /// Calls that may be made at once after a quiet time. A start needs a list
  /// for each watched prefix, so it is larger than the rate.
  double burst = 10;
  /// Wait after the first failed call; each further failure doubles it.
  std::chrono::milliseconds initial_backoff{200};
  std::chrono::milliseconds max_backoff{30000};
  /// Consecutive failures after which the circuit opens.
  uint32_t failures_to_open = 5;
  /// Least time without any call while the circuit is open. One trial call
  /// follows; its outcome closes the circuit or opens it again.
  std::chrono::milliseconds min_open_duration{5000};
};

/// Decides when a process may call the object API: a token bucket, a jittered
/// exponential backoff after failures and a circuit breaker. Thousands of
/// processes lose the store at the same moment; the jitter spreads their calls
/// when it returns.
class CallBudget {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  using Duration = std::chrono::steady_clock::duration;

  /// @param seed must differ between processes.
  CallBudget(const CallBudgetSettings& settings, uint64_t seed);

  /// Takes a token for one call. The caller reports its outcome.
  /// @return false when no call may be made now.
  bool TryAcquire(TimePoint now);

  /// The store answered, also when it refused the operation.
  void OnResponse();

  /// The store did not answer or answered that it is not available.
  void OnFailure(TimePoint now);

  /// The earliest time at which `TryAcquire` may succeed.
  TimePoint NextCallAt(TimePoint now) const;

  bool circuit_open() const { return failures_ >= settings_.failures_to_open; }

 private:
  double TokensAt(TimePoint now) const;

  CallBudgetSettings settings_;
  std::mt19937_64 random_;
  double tokens_;
  /// When `tokens_` was computed. The first call sets it.
  TimePoint refilled_{};
  bool started_ = false;
  uint32_t failures_ = 0;
  /// No call before this time.
  TimePoint retry_at_{};
  /// While the circuit is open, one trial call is on its way.
  bool trial_ = false;
  /// A trial whose outcome was never reported blocks calls only until then.
  TimePoint trial_until_{};
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_CALL_BUDGET_H_
