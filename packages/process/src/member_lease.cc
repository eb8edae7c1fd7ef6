#include "kumquatvalve/process/member_lease.h"

namespace kumquatvalve::process {

void MemberLease::OnAcknowledged(TimePoint sent_at) {
  const int64_t until = (sent_at + duration_).time_since_epoch().count();
  int64_t current = expires_at_.load(std::memory_order_relaxed);
  while (until > current && !expires_at_.compare_exchange_weak(
                                current, until, std::memory_order_release)) {
  }
}

bool MemberLease::Valid(TimePoint now) const {
  return now.time_since_epoch().count() <
         expires_at_.load(std::memory_order_acquire);
}

MemberLease::TimePoint MemberLease::until() const {
  return TimePoint(
      TimePoint::duration(expires_at_.load(std::memory_order_acquire)));
}

}  // namespace kumquatvalve::process
