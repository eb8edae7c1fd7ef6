#ifndef KUMQUATVALVE_CONNECTION_HELLO_SCHEDULE_H_
#define KUMQUATVALVE_CONNECTION_HELLO_SCHEDULE_H_

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace kumquatvalve::connection {

/// How often an entry instance asks an idle upstream for a load report. The
/// reports keep views current and show which upstreams are alive. Load pattern:
/// every entry instance asks every upstream, so the messages of a fleet grow
/// with the product of both. The rate of one instance is bounded, with its own
/// zone first: upstreams of other zones get flows only while its own is full,
/// and return them with their current load.
class HelloSchedule {
 public:
  using Milliseconds = std::chrono::milliseconds;

  /// Sets the number of known upstreams.
  void SetUpstreams(size_t same_zone, size_t other_zones) {
    same_zone_interval_ = IntervalFor(same_zone);
    other_zones_interval_ = IntervalFor(other_zones);
  }

  /// Time between two hellos to one upstream.
  /// @param unanswered the upstream has not reacted to the last message; it is
  ///   asked at the shortest interval, so that one lost datagram does not make
  ///   it look dead.
  Milliseconds Interval(bool same_zone, bool unanswered) const {
    if (unanswered) {
      return kMinInterval;
    }
    return same_zone ? same_zone_interval_ : other_zones_interval_;
  }

  static constexpr Milliseconds kMinInterval{1000};
  /// Bound for the own zone and again for all other zones: with the replies
  /// and the heads of UDP and IP, 10 kB a second of control traffic.
  static constexpr size_t kMaxHellosPerSecond = 50;

 private:
  static Milliseconds IntervalFor(size_t upstreams) {
    const Milliseconds interval(1000 * upstreams / kMaxHellosPerSecond);
    return std::max(kMinInterval, interval);
  }

  Milliseconds same_zone_interval_ = kMinInterval;
  Milliseconds other_zones_interval_ = kMinInterval;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_HELLO_SCHEDULE_H_
