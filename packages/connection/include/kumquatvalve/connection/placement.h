#ifndef KUMQUATVALVE_CONNECTION_PLACEMENT_H_
#define KUMQUATVALVE_CONNECTION_PLACEMENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace kumquatvalve::connection {

/// Time of one request until an upstream's first report: the mean work of a
/// short request in the brief's deployments.
inline constexpr std::chrono::microseconds kUnknownServiceTime{30000};

/// One upstream that a new flow may be placed at.
struct PlacementCandidate {
  /// Requests that it works on at once; at least 1.
  double slots = 1;
  /// Requests in progress or about to come, the ones placed since its last
  /// report included.
  double in_progress = 0;
  double open_flows = 0;
  /// Mean time of one request in a slot.
  std::chrono::microseconds service_time{0};
  bool same_zone = true;
};

/// Costs that a placement weighs.
struct PlacementSettings {
  /// A flow is placed in another zone when that saves more than this time.
  std::chrono::microseconds zone_cost{0};
  /// The expected wait beyond which a flow is not placed at all.
  std::chrono::microseconds longest_wait{std::chrono::hours(1)};
};

struct Placement {
  /// Index of the chosen candidate; nothing when each one's expected wait is
  /// longer than allowed.
  std::optional<size_t> chosen;
  /// Expected wait for a slot at the candidate with the least cost.
  std::chrono::microseconds wait{0};
};

/// The time that a new request is expected to wait for a slot.
std::chrono::microseconds ExpectedWait(const PlacementCandidate& candidate);

/// Chooses the upstream at which a new flow is expected to be answered first.
/// Answers demand waves that fill one zone before the others, upstreams that
/// work several times slower than their peers, and open flows that gather at
/// the upstreams that have run longest.
/// @param random breaks ties, so that entry instances with the same view
///   spread their flows.
Placement ChooseUpstream(std::span<const PlacementCandidate> candidates,
                         const PlacementSettings& settings, uint64_t random);

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_PLACEMENT_H_
