#ifndef KUMQUATVALVE_CONNECTION_WARM_UP_LIMIT_H_
#define KUMQUATVALVE_CONNECTION_WARM_UP_LIMIT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/connection/offer_decision.h"

namespace kumquatvalve::connection {

/// Limits the first packets that a cold upstream gets. Load pattern: a tenth to
/// a fifth of a service's upstreams start at once, as after a crash or a
/// rollout, while a burst arrives. They look idle to every entry instance, so
/// each gets its full share, or more, of a load that it cannot bear yet.
///
/// A token bucket that is filled with the rate of the service and holds `slack`
/// tokens, so that in any second the upstream gets at most `kExcess` times the
/// rate plus `slack` first packets; the difference between the excess and the
/// rate covers the time from a decision to the delivery. The bucket is empty
/// when the process or a warm-up begins: an earlier process, or the time before
/// the warm-up, may have used the tokens. The time that the machine is
/// suspended adds none, since `TimePoint` does not advance then.
///
/// Before the first heartbeat of a start the upstream counts as cold. Before
/// the first rate it gets at most `slack` first packets in any second, which is
/// within the limit of every rate. Not thread-safe.
class WarmUpLimit {
 public:
  /// An inactive limit: it never holds back a packet and has no allowance.
  WarmUpLimit() = default;

  /// @param slack first packets in a second beyond those of the rate.
  explicit WarmUpLimit(double slack) : slack_(slack) {}

  /// The upstream in use is the one that started at this time.
  void OnStart(uint64_t incarnation_ms, TimePoint now);

  /// A heartbeat arrived.
  /// @param incarnation_ms the start of its upstream. A heartbeat of another
  ///   start than the one in use says nothing about that one.
  /// @param left time for which the upstream is still cold.
  void OnHeartbeat(uint64_t incarnation_ms, std::chrono::milliseconds left,
                   TimePoint now);

  /// An entry instance sent the rate that its configuration has. Instances may
  /// have different versions of it for a while: a looser rate takes effect when
  /// no stricter one arrived for `kRateHold`.
  /// @param per_second_tenths 0 when there is no limit.
  void OnRate(uint16_t per_second_tenths, TimePoint now);

  /// Fills the bucket; to be called before the other functions are used at a
  /// later time.
  void Advance(TimePoint now);

  /// Whether the upstream may get a first packet at the time of the last
  /// `Advance`.
  bool Allows() const { return !limiting_ || tokens_ >= 1; }

  /// The upstream gets a first packet that is not a copy of an earlier one.
  void OnFirstPacket();

  /// What happens to an offered first packet that would otherwise be treated as
  /// `action`: without a token it waits when the offer is final and a token is
  /// expected within `wait_limit`, and is returned when not.
  /// @param waiting first packets that wait at the sidecar.
  OfferAction Restrict(OfferAction action, bool final_offer,
                       std::chrono::milliseconds wait_limit,
                       size_t waiting) const;

  /// Whether the upstream is cold and its first packets are limited.
  bool limiting() const { return limiting_; }

  /// First packets that the upstream may still get now, less the waiting ones,
  /// for load reports; empty while there is no limit.
  std::optional<uint8_t> Allowance(size_t waiting) const;

  /// The rate in force, in tenths of a request a second; empty before the first
  /// one.
  std::optional<uint16_t> per_second_tenths() const { return rate_tenths_; }

  bool active() const { return slack_.has_value(); }

  /// First packets in a second that a cold upstream may get, as a multiple of
  /// the rate, beside `slack`.
  static constexpr double kExcess = 1.5;

  /// Longer than the interval of three messages with the rate of an entry
  /// instance.
  static constexpr std::chrono::milliseconds kRateHold{3000};

 private:
  struct Bucket {
    double per_second;
    double depth;
  };

  Bucket CurrentBucket() const;
  bool IsCold(TimePoint now) const;

  /// Empty when the limit is inactive.
  std::optional<double> slack_;
  uint64_t incarnation_ms_ = 0;
  /// The start whose heartbeat set `cold_until_`; empty before the first one.
  std::optional<uint64_t> announced_incarnation_ms_;
  TimePoint cold_until_;
  std::optional<uint16_t> rate_tenths_;
  TimePoint rate_received_at_;
  bool limiting_ = false;
  double tokens_ = 0;
  TimePoint advanced_at_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_WARM_UP_LIMIT_H_
