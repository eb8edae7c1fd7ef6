#include "kumquatvalve/process/send_times.h"

#include <algorithm>
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
    for (Pause& it : pauses_) {
      it.sent_after -= suspended;
    }
    if (now - last_ + suspended > kMinPause) {
      std::erase_if(pauses_, [&](const Pause& it) {
        return it.resumed_at + kBacklogTime <= last_;
      });
      pauses_.push_back({.paused_at = last_,
                         .resumed_at = now,
                         .sent_after = last_ - suspended});
    }
  }
  previous_ = last_since_boot_ ? last_ - suspended : now;
  last_ = now;
  last_since_boot_ = since_boot;
  return suspended;
}

SendTimes::TimePoint SendTimes::SentAfter(TimePoint received_at) const {
  // The process was paused within this iteration.
  const bool late = received_at - last_ > kMinPause;
  TimePoint sent_after = late ? last_ : received_at;
  for (const Pause& it : pauses_) {
    const bool during_or_after = received_at > it.paused_at &&
                                 received_at < it.resumed_at + kBacklogTime;
    if (during_or_after) {
      sent_after = std::min(sent_after, it.sent_after);
    }
  }
  return sent_after;
}

}  // namespace kumquatvalve::process
