#ifndef KUMQUATVALVE_CONNECTION_EFFECTIVE_LIMIT_H_
#define KUMQUATVALVE_CONNECTION_EFFECTIVE_LIMIT_H_

#include <chrono>
#include <cstdint>

#include "kumquatvalve/connection/admission_policy.h"

namespace kumquatvalve::connection {

/// Adaptive concurrency limit: how many requests an upstream may work on at
/// once, derived from its completions. Its announced slots are only an upper
/// bound. The limit starts at 1, grows by one for each round of completions at
/// the limit, and shrinks when the upstream rejects a flow or gets much slower
/// than it was.
class EffectiveLimit {
 public:
  using Duration = TimePoint::duration;

  struct Settings {
    /// The upstream counts as slow when the median of its recent work times is
    /// this many times the long-run median. Medians of 32 exponential work
    /// times stay below 2 with 4 standard deviations, so 2.5 gives no false
    /// alarm.
    double slow_ratio = 2.5;
    /// Completions needed before a limit that failed is tried again. The number
    /// doubles with each failure up to `max_retry_after`, so that the limit
    /// settles instead of oscillating around the capacity.
    uint32_t retry_after = 32;
    uint32_t max_retry_after = 256;
  };

  explicit EffectiveLimit(uint32_t slots) : EffectiveLimit(slots, Settings()) {}
  EffectiveLimit(uint32_t slots, const Settings& settings);

  /// Sets the configured slots, which the limit never exceeds; at least 1.
  void SetSlots(uint32_t slots);

  /// Updates the limit after a complete response.
  /// @param work time since the request's first byte.
  /// @param used slots in use just before, including the completed one.
  void OnComplete(Duration work, uint32_t used, TimePoint now);

  /// Shrinks the limit after the upstream rejected a flow.
  void OnRejected(TimePoint now);

  /// 1 to the configured slots.
  uint32_t limit() const { return limit_; }
  uint32_t slots() const { return slots_; }

  /// Moving mean of the work time; a default before the first completion.
  Duration MeanWorkTime() const;

 private:
  void Shrink(uint32_t limit, TimePoint now);

  Settings settings_;
  uint32_t slots_;
  uint32_t limit_ = 1;
  /// The lowest limit that failed; 0 for none.
  uint32_t failed_limit_ = 0;
  uint32_t retry_after_;
  /// Completions at the limit since it changed.
  uint32_t completions_ = 0;
  /// Completions until the medians may shrink the limit again.
  uint32_t completions_until_slow_check_ = 0;
  uint64_t samples_ = 0;
  double mean_work_time_s_ = 0;
  double recent_median_s_ = 0;
  double long_run_median_s_ = 0;
  TimePoint shrunk_at_{};
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_EFFECTIVE_LIMIT_H_
