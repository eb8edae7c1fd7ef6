#ifndef KUMQUATVALVE_CONNECTION_STORE_ERA_H_
#define KUMQUATVALVE_CONNECTION_STORE_ERA_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/version/route_map.h"

namespace kumquatvalve::connection {

/// Longest time for which state of a new era of the store is held back. Within
/// this time the operator and the upstreams write again what the store lost.
inline constexpr std::chrono::milliseconds kMaxEraHold{30000};

/// `EraHold` is checked at this interval, which is part of `kMaxEraHold`.
inline constexpr std::chrono::milliseconds kEraHoldCheckInterval{500};

/// Returns the delay before a process lists its objects again after the store's
/// era rose. Load pattern: some 300 processes notice the new era within the
/// same milliseconds. At most 500 ms, and at most a tenth of `watch_timeout`:
/// the delay adds to the time that a change takes to be in force, of which the
/// timeout is five sixths.
/// @param random uniformly distributed over all values.
std::chrono::milliseconds EraListDelay(std::chrono::milliseconds watch_timeout,
                                       uint64_t random);

/// A configuration as the decision sees it.
struct ConfigurationVersion {
  request::TableVersion revision;
  /// Number that the operator assigned.
  uint64_t operator_version = 0;
};

enum class EraVerdict {
  kTake,
  /// Kept for later: the one in force is newer to the operator.
  kHoldBack,
  /// Not newer than the one in force or the one that is held back.
  kIgnore,
};

/// Decides which configuration is in force when the store has gone back in
/// time. Load pattern: the operator writes a version, the store loses it,
/// revisions are assigned again, and the operator writes the version again up
/// to 30 s later. Meanwhile the restored copy must not replace the lost version
/// that is in force. Not thread-safe.
class EraHold {
 public:
  /// A configuration was received from the store or a peer.
  /// - One of a later era and a smaller operator version than the one in force
  ///   may be the restored copy: it is held back.
  /// - One with a later revision of the same era as one that was held back was
  ///   written after the restoration: it is taken.
  EraVerdict OnConfiguration(const ConfigurationVersion& in_force,
                             const ConfigurationVersion& received,
                             TimePoint now);

  /// The revision that is held back; nothing when there is none.
  std::optional<request::TableVersion> held() const { return held_; }

  /// Whether the operator has not written again for so long that the held-back
  /// configuration has to be taken now.
  bool IsOver(TimePoint now) const;

  /// A configuration is in force; a held-back one that is not newer is dropped.
  void OnTaken(const request::TableVersion& revision);

 private:
  std::optional<request::TableVersion> held_;
  TimePoint held_since_;
};

/// Whether `known` must stay in use although the store, which has gone back in
/// time, has `stored` for the sidecar: `known` is of a later start, or
/// announces a drain of the same start. A drain is never cancelled.
bool IsNewerRecord(const version::UpstreamRecord& known,
                   const version::UpstreamRecord& stored);

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_STORE_ERA_H_
