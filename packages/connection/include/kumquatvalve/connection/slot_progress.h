#ifndef KUMQUATVALVE_CONNECTION_SLOT_PROGRESS_H_
#define KUMQUATVALVE_CONNECTION_SLOT_PROGRESS_H_

#include <chrono>
#include <cstddef>
#include <optional>

#include "kumquatvalve/connection/admission_policy.h"

namespace kumquatvalve::connection {

/// Lower bound of the current service time of an upstream whose slots are all
/// in use. Load pattern: an upstream that becomes several times slower. The
/// moving mean of its service time follows after tens of requests, and the
/// flows that wait have passed their deadlines by then. No response for a time
/// in which every slot is in use shows at once that requests take that long.
class SlotProgress {
 public:
  /// A request was delivered, or a response has started.
  /// @param in_progress requests in progress after that.
  void OnChange(size_t in_progress, size_t slots, bool response,
                TimePoint now) {
    if (slots == 0 || in_progress < slots) {
      since_.reset();
    } else if (response || !since_) {
      since_ = now;
    }
  }

  /// A request in progress ended without a response.
  void OnRemoved(size_t in_progress, size_t slots) {
    if (in_progress < slots) {
      since_.reset();
    }
  }

  /// 0 while a slot is free.
  std::chrono::microseconds LowerBound(TimePoint now) const {
    return since_ ? std::chrono::duration_cast<std::chrono::microseconds>(
                        now - *since_)
                  : std::chrono::microseconds(0);
  }

 private:
  /// Since then all slots are in use and no response has arrived.
  std::optional<TimePoint> since_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_SLOT_PROGRESS_H_
