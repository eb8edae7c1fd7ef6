#include "kumquatvalve/connection/placement_subset.h"

#include <catch2/catch.hpp>
#include <vector>

#include "placement_fleet.h"

namespace kumquatvalve::connection {
namespace {

// Today's rule: all candidates count for each offer.
const PlacementFleet::Rule kAllCandidates =
    [](const auto&, auto, auto candidates, size_t, const auto& settings,
       uint64_t random) {
      return SubsetPlacement{ChooseUpstream(candidates, settings, random),
                             SubsetUse::kNone};
    };
const PlacementFleet::Rule kSubset = [](const auto& flow, auto sidecars,
                                        auto candidates, size_t offers,
                                        const auto& settings, uint64_t random) {
  return ChooseFromSubset(flow, sidecars, candidates, offers, settings, random);
};

struct Case {
  std::vector<request::Endpoint> sidecars;
  std::vector<PlacementCandidate> candidates;

  explicit Case(size_t own_zone, size_t other_zones = 20) {
    for (size_t i = 0; i < own_zone + other_zones; ++i) {
      request::Endpoint sidecar;
      sidecar.address[15] = static_cast<uint8_t>(i);
      sidecars.push_back(sidecar);
      candidates.push_back({.slots = 2,
                            .service_time = std::chrono::milliseconds(20),
                            .same_zone = i < own_zone});
    }
  }
  SubsetPlacement Choose(size_t earlier_offers) const {
    return ChooseFromSubset({}, sidecars, candidates, earlier_offers, {}, 7);
  }
  void SetWork(double work) {
    for (auto& it : candidates) {
      it.in_progress = work;
    }
  }
};

// Guards against flows that wait longer than by today's rule, that spill over
// to other zones while their own has room, and that a search does not find.
TEST_CASE("placement_subset: flows wait less and are found with few probes") {
  for (const uint64_t seed : {1, 2}) {
    for (const double interval_ms : {100, 300, 1000}) {
      INFO("seed " << seed << ", reports each " << interval_ms << " ms");
      PlacementFleet::Shape shape{.report_interval_ms = interval_ms,
                                  .return_reports_count = false};
      const auto all = PlacementFleet(shape, kAllCandidates, seed).Run(8);
      shape.return_reports_count = true;
      const auto subset = PlacementFleet(shape, kSubset, seed).Run(8);
      CHECK(subset.busiest_over_mean < 1.3);
      CHECK(subset.mean_wait_ms < 0.9 * all.mean_wait_ms);
      CHECK(subset.p99_wait_ms < 1.1 * all.p99_wait_ms);
      CHECK(subset.other_zone_share < 0.5 * all.other_zone_share);
      if (interval_ms == 100) {
        // The interval of `UpstreamGate`.
        CHECK(subset.reports_per_s < all.reports_per_s);
      }
      CHECK(subset.refused == 0);
      CHECK(subset.unused == 0);
      CHECK(subset.in_first_4 > 3 * all.in_first_4);
      CHECK(subset.in_first_4 > 0.5);
    }
  }
}

// Guards against a subset that holds flows at slow upstreams.
TEST_CASE("placement_subset: slow upstreams do not make flows wait") {
  PlacementFleet::Shape shape{
      .return_reports_count = false, .slow_share = 0.2, .failing = 2};
  const auto all = PlacementFleet(shape, kAllCandidates, 1).Run(8);
  shape.return_reports_count = true;
  const auto subset = PlacementFleet(shape, kSubset, 1).Run(8);
  CHECK(subset.mean_wait_ms < 0.9 * all.mean_wait_ms);
  CHECK(subset.refused == 0);
}

TEST_CASE("placement_subset: a subset is left when its members cannot serve") {
  Case it(20);
  CHECK(it.Choose(0).use == SubsetUse::kKept);
  // The view may be outdated, so the sidecar decides.
  it.SetWork(3);
  CHECK(it.Choose(0).use == SubsetUse::kKept);
  CHECK(it.Choose(1).use == SubsetUse::kWidened);
  CHECK(it.Choose(2).use == SubsetUse::kLeft);
  // A final offer may wait, so it goes to the only free upstream.
  it.candidates.back().in_progress = 0;
  CHECK(it.Choose(2).placement.chosen == it.candidates.size() - 1);
  // All are expected to take longer than the caller waits.
  it.SetWork(40);
  CHECK_FALSE(ChooseFromSubset({}, it.sidecars, it.candidates, 0,
                               {.max_expected_wait = std::chrono::seconds(0)},
                               7)
                  .placement.chosen);
}

TEST_CASE("placement_subset: slow members are avoided") {
  Case it(20);
  // All but one of the own zone are slow; most of the others are not.
  for (size_t i = 1; i < 20; ++i) {
    it.candidates[i].service_time = std::chrono::milliseconds(100);
  }
  it.candidates.resize(45, it.candidates.back());
  it.sidecars.resize(45, it.sidecars.back());
  const auto placement = it.Choose(0).placement;
  REQUIRE(placement.chosen);
  CHECK_FALSE(placement.slow);
}

// Guards against a small service whose flows see only a part of its slots.
TEST_CASE("placement_subset: small services have no subset") {
  CHECK(Case(8).Choose(0).use == SubsetUse::kNone);
  CHECK(Case(9).Choose(0).use == SubsetUse::kKept);
  CHECK(Case(0).Choose(0).use == SubsetUse::kNone);
  CHECK_FALSE(Case(0, 0).Choose(0).placement.chosen);
}

}  // namespace
}  // namespace kumquatvalve::connection
