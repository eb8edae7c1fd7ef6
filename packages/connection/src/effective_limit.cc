#include "kumquatvalve/connection/effective_limit.h"

#include <algorithm>

namespace kumquatvalve::connection {
namespace {

/// Work time assumed before the first completion.
constexpr std::chrono::milliseconds kInitialWorkTime(100);
/// Windows of the moving mean and of the two medians, in completions.
constexpr double kMeanWindow = 512;
constexpr double kRecentMedianWindow = 32;
constexpr double kLongRunMedianWindow = 1024;
/// Completions before the long-run median is used.
constexpr uint64_t kMinLongRunSamples = 256;

/// Moves a median estimate towards a sample by a step relative to the estimate,
/// so that a rare long work time does not move it further than a short one.
double UpdateMedian(double median, double sample, double window, uint64_t n) {
  if (n == 0) {
    return sample;
  }
  const double step = median * 2 / std::min(window, static_cast<double>(n) + 2);
  return std::max(1e-6, median + (sample > median ? step : -step));
}

}  // namespace

EffectiveLimit::EffectiveLimit(uint32_t slots, const Settings& settings)
    : settings_(settings),
      slots_(std::max(1U, slots)),
      retry_after_(settings.retry_after) {}

void EffectiveLimit::SetSlots(uint32_t slots) {
  slots_ = std::max(1U, slots);
  limit_ = std::min(limit_, slots_);
}

void EffectiveLimit::OnComplete(Duration work, uint32_t used, TimePoint now) {
  const double work_s = std::chrono::duration<double>(work).count();
  const double window =
      std::min(kMeanWindow, static_cast<double>(samples_) + 1);
  mean_work_time_s_ += (work_s - mean_work_time_s_) / window;
  recent_median_s_ =
      UpdateMedian(recent_median_s_, work_s, kRecentMedianWindow, samples_);
  long_run_median_s_ =
      UpdateMedian(long_run_median_s_, work_s, kLongRunMedianWindow, samples_);
  ++samples_;
  if (completions_until_slow_check_ > 0) {
    --completions_until_slow_check_;
  } else if (samples_ > kMinLongRunSamples && limit_ > 1 &&
             recent_median_s_ > settings_.slow_ratio * long_run_median_s_) {
    // The effect of the change shows only after the recent median's window.
    completions_until_slow_check_ = static_cast<uint32_t>(kRecentMedianWindow);
    Shrink(std::max(1U, limit_ / 2), now);
    return;
  }
  if (used < limit_ || limit_ == slots_) {
    return;
  }
  ++completions_;
  const uint32_t needed =
      failed_limit_ != 0 && limit_ + 1 >= failed_limit_ ? retry_after_ : limit_;
  if (completions_ >= needed) {
    ++limit_;
    completions_ = 0;
    if (failed_limit_ != 0 && limit_ > failed_limit_) {
      failed_limit_ = 0;
      retry_after_ = settings_.retry_after;
    }
  }
}

void EffectiveLimit::OnRejected(TimePoint now) {
  // Rejections of flows that were admitted before the last change say nothing
  // about the current limit.
  if (limit_ > 1 && (now - shrunk_at_ > MeanWorkTime() || samples_ == 0)) {
    Shrink(limit_ - 1, now);
  }
}

EffectiveLimit::Duration EffectiveLimit::MeanWorkTime() const {
  if (samples_ == 0) {
    return kInitialWorkTime;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(mean_work_time_s_));
}

void EffectiveLimit::Shrink(uint32_t limit, TimePoint now) {
  if (failed_limit_ != 0 && limit_ >= failed_limit_) {
    retry_after_ = std::min(retry_after_ * 2, settings_.max_retry_after);
  }
  failed_limit_ = limit_;
  limit_ = limit;
  completions_ = 0;
  shrunk_at_ = now;
}

}  // namespace kumquatvalve::connection
