#include "kumquatvalve/connection/zone_evacuation.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "kumquatvalve/connection/upstream_set.h"

namespace kumquatvalve::connection {
namespace {

using request::AvailabilityZone;

const TimePoint kNow{std::chrono::hours(1)};
const AvailabilityZone kA("a");
const AvailabilityZone kB("b");
const AvailabilityZone kC("c");

EvacuationList List(uint64_t version, std::set<AvailabilityZone> zones) {
  return {{version}, std::move(zones)};
}

// The rule for upstream records: the last answer replaces what was known.
struct LastAnswer {
  void OnList(const EvacuationList& list) { zones = list.zones; }
  std::set<AvailabilityZone> zones;
};

// Guards against flows in an evacuated zone, or a zone without flows after its
// evacuation, because a late list or a peer that was cut off overruled a newer
// list.
TEST_CASE("zone_evacuation: older lists neither end nor renew an evacuation") {
  ZoneEvacuation evacuation;
  LastAnswer baseline;
  const auto apply = [&](const EvacuationList& list, EvacuationSource source) {
    baseline.OnList(list);
    return evacuation.OnList(list, source, kNow);
  };
  const auto zones = [&] { return evacuation.Report()->zones; };
  apply(List(100, {}), EvacuationSource::kStore);
  apply(List(200, {kC}), EvacuationSource::kPeer);
  CHECK_FALSE(apply(List(150, {}), EvacuationSource::kStore));
  CHECK(zones() == std::set{kC});
  CHECK(baseline.zones != std::set{kC});
  CHECK(apply(List(300, {}), EvacuationSource::kStore)->ended ==
        std::vector{kC});
  CHECK_FALSE(apply(List(200, {kC}), EvacuationSource::kPeer));
  CHECK(zones().empty());
  CHECK_FALSE(baseline.zones.empty());
  // Of two lists of one version, that of the store counts.
  CHECK_FALSE(apply(List(300, {kA}), EvacuationSource::kPeer));
  CHECK(apply(List(300, {kB}), EvacuationSource::kStore));
  CHECK(zones() == std::set{kB});
}

TEST_CASE("zone_evacuation: the time of an evacuation outlasts later lists") {
  ZoneEvacuation evacuation;
  CHECK_FALSE(evacuation.Report());
  evacuation.OnList(List(1, {kC}), EvacuationSource::kStore, kNow);
  const auto later = kNow + std::chrono::seconds(9);
  const auto change =
      evacuation.OnList(List(2, {kB, kC}), EvacuationSource::kStore, later);
  CHECK(change->evacuated == std::vector{kB});
  CHECK(evacuation.zones() == EvacuatedZones{{kB, later}, {kC, kNow}});
}

// One service of the shared print platform, seen by an instance in zone "c".
struct Service {
  explicit Service(const std::set<AvailabilityZone>& responding) {
    std::vector<version::UpstreamRecord> records;
    for (uint16_t i = 0; i < kUpstreams; ++i) {
      version::UpstreamRecord record;
      record.sidecar.port = i;
      record.service = request::ServiceName("prints");
      record.zone = std::vector{kA, kB, kC}[i % 3];
      record.slots = 2;
      records.push_back(record);
    }
    upstreams.Replace(records, kNow);
    for (auto& [sidecar, view] : upstreams.views()) {
      if (responding.contains(view.record().zone)) {
        view.OnMessageReceived(kNow);
      }
    }
  }

  // Places new flows and returns how many each zone got.
  std::map<AvailabilityZone, int> Place(int flows) {
    std::map<AvailabilityZone, int> placed;
    for (int i = 0; i < flows; ++i) {
      const auto views = upstreams.Candidates(kTag, {}, kNow);
      std::vector<PlacementCandidate> candidates;
      for (const UpstreamView* it : views) {
        candidates.push_back(it->Candidate());
      }
      const auto placement = ChooseUpstream(
          candidates, {.max_expected_wait = std::chrono::hours(1)}, i + 1);
      if (placement.chosen) {
        views[*placement.chosen]->OnFlowPlaced();
        ++placed[views[*placement.chosen]->record().zone];
      }
    }
    return placed;
  }

  static constexpr uint16_t kUpstreams = 46;
  static constexpr int kFlows = 400;
  const request::ServiceTag kTag = request::ServiceTagOf("prints");
  UpstreamSet upstreams{kC};
};

// Guards against new flows in an evacuated zone with a third of the upstreams,
// also when no upstream of the other zones responds.
TEST_CASE("zone_evacuation: an evacuated zone gets no new flows") {
  for (const auto& responding :
       {std::set{kA, kB, kC}, std::set{kC}, std::set<AvailabilityZone>()}) {
    Service today(responding);
    Service evacuated(responding);
    evacuated.upstreams.SetEvacuatedZones({{kC, kNow}});
    CHECK(today.Place(Service::kFlows)[kC] > 0);
    auto placed = evacuated.Place(Service::kFlows);
    CHECK(placed[kC] == 0);
    CHECK(placed[kA] + placed[kB] == Service::kFlows);
    evacuated.upstreams.SetEvacuatedZones({});
    CHECK(evacuated.Place(Service::kFlows)[kC] > 0);
  }
}

TEST_CASE("zone_evacuation: two zones and all zones are evacuated at once") {
  Service today({kA, kB, kC});
  Service service({kA, kB, kC});
  service.upstreams.SetEvacuatedZones({{kB, kNow}, {kC, kNow}});
  CHECK(today.Place(Service::kFlows).size() > 1);
  CHECK(service.Place(Service::kFlows) ==
        std::map<AvailabilityZone, int>{{kA, Service::kFlows}});
  service.upstreams.SetEvacuatedZones({{kA, kNow}, {kB, kNow}, {kC, kNow}});
  CHECK(service.Place(Service::kFlows).empty());
}

}  // namespace
}  // namespace kumquatvalve::connection
