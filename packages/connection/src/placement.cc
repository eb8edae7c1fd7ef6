#include "kumquatvalve/connection/placement.h"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <vector>

namespace kumquatvalve::connection {
namespace {

using Microseconds = std::chrono::duration<double, std::micro>;

// Cost of fully busy slots as a share of the service time, applied even while
// slots are free: reports are up to 100 ms old, so a busier upstream is more
// likely to have no free slot by now.
constexpr double kBusySlotCost = 0.5;

// Cost of one open flow per slot. A flow that stays open sends about one
// request a second, so it uses about 3% of a slot.
constexpr Microseconds kOpenFlowCost{1500};

// Lower bound of a service time as a share of the median. An upstream that
// seems much faster than its peers fails its requests immediately, or its
// sidecar has few measurements; it would attract all new flows. Upstreams of
// one service do the same work.
constexpr double kMinShareOfMedian = 0.5;

// Measured means of equal upstreams differ by up to this factor from the median
// by chance, since they follow the last 20 requests. Within it all count as
// equal: otherwise every entry instance prefers the same few upstreams.
constexpr double kNoiseFactor = 1.6;

// An upstream that seems faster than its peers has an advantage only where
// requests wait: while several are idle, all of them get flows.
Microseconds PlacementCost(const PlacementCandidate& candidate,
                           const PlacementSettings& settings,
                           Microseconds median) {
  const Microseconds service =
      std::max<Microseconds>(candidate.service_time, median);
  Microseconds cost = service + ExpectedWait(candidate);
  cost += service * (kBusySlotCost * candidate.in_progress / candidate.slots);
  cost += kOpenFlowCost * (candidate.open_flows / candidate.slots);
  if (!candidate.same_zone) {
    cost += settings.zone_cost;
  }
  return cost;
}

// The median of the measured service times, the default when there are none.
Microseconds MedianServiceTime(std::span<const PlacementCandidate> candidates) {
  std::vector<Microseconds> times;
  times.reserve(candidates.size());
  for (const PlacementCandidate& it : candidates) {
    if (it.service_time.count() != 0) {
      times.emplace_back(it.service_time);
    }
  }
  if (times.empty()) {
    return kDefaultServiceTime;
  }
  const auto middle =
      times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

// The service time to expect of an upstream, given what was measured there and
// the median of its peers.
Microseconds ExpectedServiceTime(Microseconds measured, Microseconds median) {
  const bool unknown = measured.count() == 0;
  const bool like_peers =
      measured < median * kNoiseFactor && measured > median / kNoiseFactor;
  return unknown || like_peers ? median
                               : std::max(measured, median * kMinShareOfMedian);
}

// Mixes the bits of `value` (the finalizer of SplitMix64).
uint64_t MixBits(uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

}  // namespace

std::chrono::microseconds ExpectedWait(const PlacementCandidate& candidate) {
  const double ahead =
      std::max(0.0, candidate.in_progress + 1 - candidate.slots);
  return std::chrono::duration_cast<std::chrono::microseconds>(
      Microseconds(candidate.service_time) * (ahead / candidate.slots));
}

Placement ChooseUpstream(std::span<const PlacementCandidate> candidates,
                         const PlacementSettings& settings, uint64_t random) {
  std::vector<size_t> all(candidates.size());
  std::iota(all.begin(), all.end(), 0);
  return ChooseUpstream(candidates, all, settings, random);
}

Placement ChooseUpstream(std::span<const PlacementCandidate> candidates,
                         std::span<const size_t> members,
                         const PlacementSettings& settings, uint64_t random) {
  Placement placement;
  if (members.empty()) {
    return placement;
  }
  const Microseconds median = MedianServiceTime(candidates);
  size_t best = 0;
  Microseconds best_cost = Microseconds::max();
  uint64_t best_tie = 0;
  for (const size_t i : members) {
    PlacementCandidate candidate = candidates[i];
    candidate.service_time =
        std::chrono::duration_cast<std::chrono::microseconds>(
            ExpectedServiceTime(candidate.service_time, median));
    const Microseconds cost = PlacementCost(candidate, settings, median);
    const uint64_t tie = MixBits(random + i);
    if (cost < best_cost || (cost == best_cost && tie < best_tie)) {
      best = i;
      best_cost = cost;
      best_tie = tie;
      placement.expected_wait = ExpectedWait(candidate);
      placement.slow = candidate.service_time > median;
    }
  }
  if (placement.expected_wait <= settings.max_expected_wait) {
    placement.chosen = best;
  }
  return placement;
}

}  // namespace kumquatvalve::connection
