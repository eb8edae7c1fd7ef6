#include "kumquatvalve/process/evacuation_knowledge.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>

namespace kumquatvalve::process {
namespace {

using connection::EvacuationSource;
using request::AvailabilityZone;

const EvacuationKnowledge::TimePoint kNow{std::chrono::hours(1)};

struct Instance {
  void Read(const PeerSnapshot& snapshot) {
    if (snapshot.evacuated_zones) {
      knowledge.OnList(*snapshot.evacuated_zones, EvacuationSource::kPeer,
                       kNow);
    }
  }

  Logger logger{"test", LogFormat::kJson, LogLevel::kError};
  std::optional<connection::EvacuatedZones> in_force;
  EvacuationKnowledge knowledge{
      [this](const auto& zones, const auto&) { in_force = zones; }, &logger};
};

std::optional<PeerSnapshot> Transfer(const PeerSnapshot& snapshot) {
  request::Failure failure;
  return DecodePeerSnapshot(EncodePeerSnapshot(snapshot), &failure);
}

// An instance that started while the store did not respond would never be
// ready, or would send new flows to an evacuated zone.
TEST_CASE("evacuation_knowledge: a peer provides the evacuated zones") {
  Instance established;
  established.knowledge.OnList({{7}, {AvailabilityZone("c")}},
                               EvacuationSource::kStore, kNow);
  PeerSnapshot snapshot;
  established.knowledge.AddTo(&snapshot);
  Instance started;
  started.Read(*Transfer(snapshot));
  CHECK(started.knowledge.known());
  CHECK(started.in_force == established.in_force);
  CHECK(started.in_force->size() == 1);
}

// An empty set from a peer that does not know the zones would end evacuations.
TEST_CASE("evacuation_knowledge: a peer without the zones changes nothing") {
  PeerSnapshot snapshot;
  Instance unaware;
  unaware.knowledge.AddTo(&snapshot);
  Instance started;
  started.Read(*Transfer(snapshot));
  CHECK_FALSE(started.knowledge.known());
  CHECK_FALSE(started.in_force);
}

TEST_CASE("peer_snapshot: evacuated zones are read as a whole or not at all") {
  for (const std::string odd :
       {"7", R"({"version":3})", R"({"version":3,"zones":["a",7]})",
        R"({"version":-3,"zones":["a"]})"}) {
    request::Failure failure;
    const auto snapshot = DecodePeerSnapshot(
        R"({"records":[],"evacuated_zones":)" + odd + "}", &failure);
    REQUIRE(snapshot);
    CHECK_FALSE(snapshot->evacuated_zones);
    CHECK(snapshot->skipped.size() == 1);
  }
}

}  // namespace
}  // namespace kumquatvalve::process
