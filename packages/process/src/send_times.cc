#include "kumquatvalve/process/send_times.h"

#include <ctime>

namespace kumquatvalve::process {

std::chrono::nanoseconds TimeSinceBoot() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

std::chrono::milliseconds SendTimes::OnIteration(
    TimePoint now, std::chrono::nanoseconds since_boot) {
  using std::chrono::milliseconds;
  milliseconds suspended{0};
  if (last_since_boot_) {
    suspended = std::chrono::duration_cast<milliseconds>(
        since_boot - *last_since_boot_ - (now - last_));
    suspended = suspended < kMinPause ? milliseconds(0) : suspended;
    if (now - last_ + suspended > kMinPause) {
      paused_at_ = last_;
      resumed_at_ = now;
    }
  }
  previous_ = last_since_boot_ ? last_ : now;
  last_ = now;
  last_since_boot_ = since_boot;
  return suspended;
}

SendTimes::TimePoint SendTimes::SentAfter(TimePoint received_at) const {
  const bool during_or_after =
      received_at > paused_at_ && received_at < resumed_at_ + kBacklogTime;
  return during_or_after ? paused_at_ : received_at;
}

}  // namespace kumquatvalve::process
