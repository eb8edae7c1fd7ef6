#ifndef KUMQUATVALVE_PROCESS_RETRY_BACKOFF_H_
#define KUMQUATVALVE_PROCESS_RETRY_BACKOFF_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace kumquatvalve::process {

/// Exponential backoff with jitter for a failing call. The jitter keeps the
/// processes of a fleet from returning to the store at the same moment.
class RetryBackoff {
 public:
  /// @param seed of the jitter; must differ between processes.
  explicit RetryBackoff(uint64_t seed) : random_(seed) {}

  /// Returns the delay before the next attempt, between half and all of the
  /// current maximum, and doubles that maximum up to `kMaxDelay`.
  std::chrono::milliseconds NextDelay() {
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    const auto delay = std::chrono::milliseconds(static_cast<int64_t>(
        static_cast<double>(next_max_.count()) * jitter(random_)));
    next_max_ = std::min(next_max_ * 2, kMaxDelay);
    return delay;
  }

  /// Starts again at `kMinDelay`, after a success.
  void Reset() { next_max_ = kMinDelay; }

  static constexpr std::chrono::milliseconds kMinDelay{100};
  // Changes must be in force 3 s after the store accepted them, so a store that
  // is available again must be noticed within a second.
  static constexpr std::chrono::milliseconds kMaxDelay{1000};

 private:
  std::mt19937_64 random_;
  std::chrono::milliseconds next_max_ = kMinDelay;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_RETRY_BACKOFF_H_
