#include "kumquatvalve/connection/zone_evacuation.h"

#include <catch2/catch.hpp>

#include "kumquatvalve/connection/store_era.h"

namespace kumquatvalve::connection {
namespace {

using request::AvailabilityZone;

const TimePoint kNow{std::chrono::hours(1)};
const AvailabilityZone kA("a");
const AvailabilityZone kB("b");
const AvailabilityZone kC("c");

// Guards against flows in an evacuated zone, or a zone without flows after its
// evacuation, because a late list or a peer that was cut off overruled a newer
// list. The baseline is the rule for upstream records: the last list counts.
TEST_CASE("zone_evacuation: older lists neither end nor renew an evacuation") {
  ZoneEvacuation evacuation;
  std::set<AvailabilityZone> baseline;
  const auto apply = [&](uint64_t version,
                         const std::set<AvailabilityZone>& zones,
                         EvacuationSource source) {
    baseline = zones;
    return evacuation.OnList({{version}, zones}, source, kNow);
  };
  const auto zones = [&] { return evacuation.Report()->zones; };
  CHECK_FALSE(evacuation.Report());
  apply(100, {}, EvacuationSource::kStore);
  apply(200, {kC}, EvacuationSource::kPeer);
  CHECK_FALSE(apply(150, {}, EvacuationSource::kStore));
  CHECK(zones() == std::set{kC});
  CHECK(baseline != std::set{kC});
  CHECK(apply(300, {}, EvacuationSource::kStore)->ended == std::vector{kC});
  CHECK_FALSE(apply(200, {kC}, EvacuationSource::kPeer));
  CHECK(zones().empty());
  CHECK_FALSE(baseline.empty());
  // Of two lists of one version, that of the store counts.
  CHECK_FALSE(apply(300, {kA}, EvacuationSource::kPeer));
  CHECK(apply(300, {kB}, EvacuationSource::kStore));
  CHECK(zones() == std::set{kB});
}

TEST_CASE("zone_evacuation: later lists keep the time of an evacuation") {
  ZoneEvacuation evacuation;
  evacuation.OnList({{1}, {kC}}, EvacuationSource::kStore, kNow);
  const auto later = kNow + std::chrono::seconds(9);
  const auto change =
      evacuation.OnList({{2}, {kB, kC}}, EvacuationSource::kStore, later);
  CHECK(change->evacuated == std::vector{kB});
  CHECK(evacuation.zones() == EvacuatedZones{{kB, later}, {kC, kNow}});
}

// Guards against new flows in an evacuated zone after the store was restored
// from a copy without the evacuation, and against one that never ends since the
// operator ended it while the store was away.
TEST_CASE("zone_evacuation: a restored store ends no evacuation for 30 s") {
  ZoneEvacuation evacuation;
  evacuation.OnList({{900, 1}, {kA, kC}}, EvacuationSource::kStore, kNow);
  evacuation.OnList({{400, 2}, {kB}}, EvacuationSource::kStore, kNow);
  CHECK(evacuation.Report()->zones == std::set{kA, kB, kC});
  // The operator has written one of the two again.
  evacuation.OnList({{401, 2}, {kB, kC}}, EvacuationSource::kStore, kNow);
  CHECK_FALSE(
      evacuation.OnTick(kNow + kMaxEraHold - std::chrono::milliseconds(1)));
  const auto change = evacuation.OnTick(kNow + kMaxEraHold);
  REQUIRE(change);
  CHECK(change->ended == std::vector{kA});
  CHECK(evacuation.Report()->zones == std::set{kB, kC});
  // Within one era a removal counts at once.
  const auto later = kNow + kMaxEraHold;
  CHECK(evacuation.OnList({{402, 2}, {kB}}, EvacuationSource::kStore, later)
            ->ended == std::vector{kC});
  // A list of the era before is out of date, whatever its revision.
  CHECK_FALSE(
      evacuation.OnList({{950, 1}, {}}, EvacuationSource::kStore, later));
}

}  // namespace
}  // namespace kumquatvalve::connection
