#ifndef KUMQUATVALVE_CONNECTION_PLACEMENT_SUBSET_H_
#define KUMQUATVALVE_CONNECTION_PLACEMENT_SUBSET_H_

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
  /// All preferred upstreams of the own zone were expected to be busy or slow,
  /// so that others were considered.
  kLeft,
};

inline constexpr size_t kSubsetUses = 3;

constexpr std::string_view Name(SubsetUse use) {
  constexpr std::string_view kNames[kSubsetUses] = {"none", "kept", "left"};
  return kNames[static_cast<size_t>(use)];
}

/// Number of preferred upstreams of a flow in the own zone, and again in all
/// other zones.
inline constexpr size_t kSubsetSize = 4;

struct SubsetPlacement {
  Placement placement;
  SubsetUse use = SubsetUse::kNone;
};

/// Chooses the upstream of a new flow among those that rank highest for the
/// flow (`RankOf`), with `ChooseUpstream`. Load pattern: up to 91 entry
/// instances choose at the same time from load reports that are 0.1 to 1 s old;
/// when all compare all upstreams, those that were idle in the last report are
/// overloaded in turn. A subset that differs from flow to flow spreads them.
/// It also lets `NextToProbe` find the flow after a restart with few probes.
///
/// The subset is left when its members are expected to be busy or slow: first
/// for the whole own zone and the preferred upstreams of the other zones, then
/// for all candidates, so that no flow waits while a slot is free elsewhere.
/// Services with at most twice `subset_size` candidates in the own zone have no
/// subset.
/// @param sidecars the sidecar of each candidate.
/// @param random as for `ChooseUpstream`.
SubsetPlacement ChooseFromSubset(const request::FlowKey& flow,
                                 std::span<const request::Endpoint> sidecars,
                                 std::span<const PlacementCandidate> candidates,
                                 const PlacementSettings& settings,
                                 uint64_t random,
                                 size_t subset_size = kSubsetSize);

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_PLACEMENT_SUBSET_H_
