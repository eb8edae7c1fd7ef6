#include "kumquatvalve/connection/probe_order.h"

#include <algorithm>
#include <tuple>

#include "kumquatvalve/connection/flow_affinity.h"

namespace kumquatvalve::connection {
namespace {

// Upstreams of other zones come after this many of the own zone, since flows
// spill over only when the preferred ones of the own zone are busy.
constexpr size_t kOtherZoneHandicap = 4;

// From this batch on all remaining upstreams are probed at once: the flow is
// most likely lost, and its caller waits for the answer.
constexpr size_t kLastBatch = 3;

struct Ranked {
  request::Endpoint sidecar;
  uint64_t rank = 0;
  size_t position = 0;
};

// Sorts by rank and sets each position to the index in that order plus
// `offset`.
void SetPositions(std::vector<Ranked>* group, size_t offset) {
  std::sort(group->begin(), group->end(),
            [](const Ranked& a, const Ranked& b) { return a.rank > b.rank; });
  for (size_t i = 0; i < group->size(); ++i) {
    (*group)[i].position = i + offset;
  }
}

}  // namespace

std::vector<request::Endpoint> NextToProbe(
    const request::FlowKey& flow, std::span<const request::Endpoint> candidates,
    const std::function<bool(const request::Endpoint&)>& same_zone,
    size_t batch) {
  const size_t size =
      batch >= kLastBatch ? candidates.size() : kFirstProbeBatch << batch;
  if (size >= candidates.size()) {
    return {candidates.begin(), candidates.end()};
  }
  std::vector<Ranked> order;
  std::vector<Ranked> other_zones;
  for (const request::Endpoint& it : candidates) {
    (same_zone(it) ? order : other_zones).push_back({it, RankOf(flow, it)});
  }
  SetPositions(&order, 0);
  SetPositions(&other_zones, order.empty() ? 0 : kOtherZoneHandicap);
  order.insert(order.end(), other_zones.begin(), other_zones.end());
  std::stable_sort(
      order.begin(), order.end(),
      [](const Ranked& a, const Ranked& b) { return a.position < b.position; });
  std::vector<request::Endpoint> chosen;
  chosen.reserve(size);
  for (size_t i = 0; i < size; ++i) {
    chosen.push_back(order[i].sidecar);
  }
  return chosen;
}

}  // namespace kumquatvalve::connection
