#ifndef KUMQUATVALVE_CONNECTION_PLACEMENT_SUBSET_H_
#define KUMQUATVALVE_CONNECTION_PLACEMENT_SUBSET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "kumquatvalve/connection/placement.h"
#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/flow_key.h"

namespace kumquatvalve::connection {

/// How the candidates of a placement were limited.
enum class SubsetUse : uint8_t {
  /// The service has too few upstreams for a subset.
  kNone,
  /// The flow was placed at one of its preferred upstreams.
  kKept,
  /// It was placed at one of the next preferred ones.
  kWidened,
  /// All candidates were considered.
  kLeft,
};

inline constexpr size_t kSubsetUses = 4;

constexpr std::string_view Name(SubsetUse use) {
  constexpr std::array<std::string_view, kSubsetUses> kNames = {
      "none", "kept", "widened", "left"};
  return kNames[static_cast<size_t>(use)];
}

/// Number of preferred upstreams of a flow.
inline constexpr size_t kSubsetSize = 4;

struct SubsetPlacement {
  Placement placement;
  SubsetUse use = SubsetUse::kNone;
};

/// Chooses the upstream of a new flow, with `ChooseUpstream`, among those of
/// the own zone that rank highest for the flow (`RankOf`). Load pattern: up to
/// 91 entry instances choose at the same time from load reports that are 0.1 to
/// 1 s old; when all compare all upstreams, those that were idle in their last
/// reports are overloaded in turn, and flows spill over to other zones since
/// the whole own zone seems busy. Subsets that differ from flow to flow spread
/// the flows, and let `NextToProbe` find them after a restart.
///
/// The first offer goes to one of `subset_size` upstreams even if all seem
/// busy: the sidecar knows its work, and a returned offer costs one round trip
/// in the zone. The second one chooses among three times as many. From the
/// third one on, which may wait for a slot, all candidates count unless one of
/// those has a free slot. They also count when the best of the subset is slower
/// than its peers, and in services with at most twice `subset_size` candidates
/// in the own zone.
/// @param sidecars the sidecar of each candidate.
/// @param earlier_offers number of offers of this flow before this one.
/// @param random as for `ChooseUpstream`.
SubsetPlacement ChooseFromSubset(const request::FlowKey& flow,
                                 std::span<const request::Endpoint> sidecars,
                                 std::span<const PlacementCandidate> candidates,
                                 size_t earlier_offers,
                                 const PlacementSettings& settings,
                                 uint64_t random,
                                 size_t subset_size = kSubsetSize);

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_PLACEMENT_SUBSET_H_
