#include "kumquatvalve/connection/placement_subset.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include "kumquatvalve/connection/flow_affinity.h"

namespace kumquatvalve::connection {
namespace {

// Moves the `n` candidates with the highest ranks for the flow to the front.
void MoveHighestToFront(const request::FlowKey& flow,
                        std::span<const request::Endpoint> sidecars, size_t n,
                        std::vector<size_t>* group) {
  std::vector<std::pair<uint64_t, size_t>> ranked;
  ranked.reserve(group->size());
  for (const size_t i : *group) {
    ranked.emplace_back(RankOf(flow, sidecars[i]), i);
  }
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(n),
                    ranked.end(), std::greater<>());
  std::transform(ranked.begin(), ranked.end(), group->begin(),
                 [](const auto& it) { return it.second; });
}

}  // namespace

SubsetPlacement ChooseFromSubset(const request::FlowKey& flow,
                                 std::span<const request::Endpoint> sidecars,
                                 std::span<const PlacementCandidate> candidates,
                                 const PlacementSettings& settings,
                                 uint64_t random, size_t subset_size) {
  std::vector<size_t> order;
  std::vector<size_t> other_zones;
  for (size_t i = 0; i < candidates.size(); ++i) {
    (candidates[i].same_zone ? order : other_zones).push_back(i);
  }
  if (order.empty()) {
    // The service runs in other zones only.
    order.swap(other_zones);
  }
  if (order.size() <= 2 * subset_size) {
    return {ChooseUpstream(candidates, settings, random), SubsetUse::kNone};
  }
  MoveHighestToFront(flow, sidecars, subset_size, &order);
  Placement placement = ChooseUpstream(
      candidates, std::span(order).first(subset_size), settings, random);
  if (placement.ready) {
    return {placement, SubsetUse::kKept};
  }
  const size_t others = std::min(subset_size, other_zones.size());
  MoveHighestToFront(flow, sidecars, others, &other_zones);
  order.insert(order.end(), other_zones.begin(),
               other_zones.begin() + static_cast<std::ptrdiff_t>(others));
  placement = ChooseUpstream(candidates, order, settings, random);
  if (!placement.ready) {
    placement = ChooseUpstream(candidates, settings, random);
  }
  return {placement, SubsetUse::kLeft};
}

}  // namespace kumquatvalve::connection
