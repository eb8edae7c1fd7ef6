#include "kumquatvalve/connection/placement_subset.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include "kumquatvalve/connection/flow_affinity.h"

namespace kumquatvalve::connection {
namespace {

// The second offer chooses among this many times as many upstreams as the first
// one, those in the first two batches of `NextToProbe`.
constexpr size_t kWidening = 3;

// Offers that choose from a subset also when all its members seem busy. The
// next one is final: the flow may wait at the chosen sidecar.
constexpr size_t kSubsetOffers = 2;

// The `n` members of `group` with the highest ranks for the flow come first, in
// this order.
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

bool IsUsable(const Placement& placement) {
  return placement.chosen && !placement.slow;
}

bool HasFreeSlot(const Placement& placement) {
  return placement.expected_wait.count() == 0;
}

}  // namespace

SubsetPlacement ChooseFromSubset(const request::FlowKey& flow,
                                 std::span<const request::Endpoint> sidecars,
                                 std::span<const PlacementCandidate> candidates,
                                 size_t earlier_offers,
                                 const PlacementSettings& settings,
                                 uint64_t random, size_t subset_size) {
  std::vector<size_t> own_zone;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].same_zone) {
      own_zone.push_back(i);
    }
  }
  if (own_zone.size() <= 2 * subset_size) {
    return {ChooseUpstream(candidates, settings, random), SubsetUse::kNone};
  }
  const size_t widened = std::min(kWidening * subset_size, own_zone.size());
  MoveHighestToFront(flow, sidecars, widened, &own_zone);
  const std::span<const size_t> ranked(own_zone);
  Placement placement =
      ChooseUpstream(candidates, ranked.first(subset_size), settings, random);
  if (IsUsable(placement) && (earlier_offers == 0 || HasFreeSlot(placement))) {
    return {placement, SubsetUse::kKept};
  }
  placement =
      ChooseUpstream(candidates, ranked.first(widened), settings, random);
  if (IsUsable(placement) &&
      (earlier_offers < kSubsetOffers || HasFreeSlot(placement))) {
    return {placement, SubsetUse::kWidened};
  }
  return {ChooseUpstream(candidates, settings, random), SubsetUse::kLeft};
}

}  // namespace kumquatvalve::connection
