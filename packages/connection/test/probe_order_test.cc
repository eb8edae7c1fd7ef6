#include "kumquatvalve/connection/probe_order.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "kumquatvalve/connection/flow_affinity.h"

namespace kumquatvalve::connection {
namespace {

request::Endpoint Endpoint(const std::string& text) {
  request::Failure failure;
  return *request::ParseEndpoint(text, &failure);
}

request::FlowKey Flow(int i) {
  return {Endpoint("100.64.0.1:" + std::to_string(1024 + i)),
          Endpoint("198.18.0.1:443"), 6};
}

// 16 sidecars in each of three zones; those of 10.1.0.0 are in the own one.
std::vector<request::Endpoint> Sidecars() {
  std::vector<request::Endpoint> sidecars;
  for (int zone = 1; zone <= 3; ++zone) {
    for (int i = 1; i <= 16; ++i) {
      sidecars.push_back(Endpoint("10." + std::to_string(zone) + ".0." +
                                  std::to_string(i) + ":8172"));
    }
  }
  return sidecars;
}

bool IsOwnZone(const request::Endpoint& sidecar) {
  return sidecar.address[13] == 1;
}

// Probes the remaining sidecars batch by batch until `holder` is among them;
// returns the number of probes.
size_t ProbesUntilFound(const request::FlowKey& flow,
                        const request::Endpoint& holder) {
  std::vector<request::Endpoint> left = Sidecars();
  size_t probes = 0;
  for (size_t batch = 0; !left.empty(); ++batch) {
    const auto chosen = NextToProbe(flow, left, IsOwnZone, batch);
    probes += chosen.size();
    const std::set<request::Endpoint> probed(chosen.begin(), chosen.end());
    if (probed.contains(holder)) {
      return probes;
    }
    std::erase_if(left, [&](const auto& it) { return probed.contains(it); });
  }
  return 0;
}

// The preferred sidecar of a flow among those of the own zone.
request::Endpoint PreferredInOwnZone(const request::FlowKey& flow,
                                     size_t preference) {
  auto sidecars = Sidecars();
  std::erase_if(sidecars, [](const auto& it) { return !IsOwnZone(it); });
  std::sort(sidecars.begin(), sidecars.end(),
            [&](const auto& a, const auto& b) {
              return RankOf(flow, a) > RankOf(flow, b);
            });
  return sidecars[preference];
}

// Guards against a packet of every flow to every upstream: after a kill of all
// processes, 3,600 flows on 10 Mbit/s links were not found for 14 s.
TEST_CASE(
    "probe_order: a flow at one of its preferred upstreams takes 4 probes") {
  size_t probes = 0;
  for (int i = 0; i < 1200; ++i) {
    probes += ProbesUntilFound(Flow(i), PreferredInOwnZone(Flow(i), i % 4));
  }
  const size_t to_all = 1200 * Sidecars().size();
  CHECK(probes == 1200 * kFirstProbeBatch);
  CHECK(probes * 10 < to_all);
}

// Guards against a flow that spilled over to an unlikely upstream and is never
// probed for.
TEST_CASE("probe_order: every upstream is probed in the end") {
  for (const request::Endpoint& it : Sidecars()) {
    const size_t probes = ProbesUntilFound(Flow(7), it);
    CHECK(probes > 0);
    CHECK(probes <= Sidecars().size());
  }
}

// Guards against entry instances that prefer the same few upstreams for all
// flows.
TEST_CASE("flow_affinity: flows prefer all upstreams alike") {
  std::map<request::Endpoint, int> counts;
  constexpr int kFlows = 16000;
  for (int i = 0; i < kFlows; ++i) {
    ++counts[PreferredInOwnZone(Flow(i), 0)];
  }
  CHECK(counts.size() == 16);
  for (const auto& [sidecar, count] : counts) {
    CHECK(count > kFlows / 16 * 8 / 10);
    CHECK(count < kFlows / 16 * 12 / 10);
  }
}

}  // namespace
}  // namespace kumquatvalve::connection
