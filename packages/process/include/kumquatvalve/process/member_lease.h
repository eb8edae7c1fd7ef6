#ifndef KUMQUATVALVE_PROCESS_MEMBER_LEASE_H_
#define KUMQUATVALVE_PROCESS_MEMBER_LEASE_H_

#include <atomic>
#include <chrono>
#include <cstdint>

namespace kumquatvalve::process {

/// How long an acknowledged heartbeat permits a process to act in its role.
/// Observers report an unresponsive process as dead no earlier than 2,000 ms
/// after its last sign of life (4 missed pings, see membership.h); the
/// remaining 100 ms allow for the ping's transit time. So a paused owner of a
/// row has stopped acting before its backup starts.
inline constexpr std::chrono::milliseconds kMemberLeaseDuration{1900};

/// Lease under which this process may act in its role. It runs from the time at
/// which the acknowledged heartbeat was sent, so a process that was paused
/// finds it lapsed when it resumes. The control thread renews it; any thread
/// may read it.
class MemberLease {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  explicit MemberLease(
      std::chrono::milliseconds duration = kMemberLeaseDuration)
      : duration_(duration) {}

  /// Renews the lease: a heartbeat that was sent at `sent_at` was acknowledged.
  /// An acknowledgment of an older heartbeat has no effect.
  void OnAcknowledged(TimePoint sent_at);

  /// True while the process may admit flows, own rows and write tables. Callers
  /// pass a fresh reading of the clock right before they act.
  bool Valid(TimePoint now) const;

  /// When the lease lapses unless it is renewed.
  TimePoint until() const;

 private:
  const std::chrono::milliseconds duration_;
  /// Ticks of `TimePoint`; INT64_MIN before the first acknowledgment.
  std::atomic<int64_t> expires_at_ = INT64_MIN;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_MEMBER_LEASE_H_
