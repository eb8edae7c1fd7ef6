#include "kumquatvalve/process/control_node.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "control_fleet.h"

namespace kumquatvalve::process {
namespace {

using bench::ControlFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kZones[] = {"gye-norte", "gye-sur", "gye-duran"};

void Populate(ControlFleet& fleet) {
  for (int i = 0; i < 6; ++i) {
    fleet.AddProcess(control::ROLE_ENTRY, kZones[i % 3], "");
  }
  for (int i = 0; i < 7; ++i) {
    fleet.AddProcess(control::ROLE_SIDECAR, kZones[i % 3], "patio");
  }
  fleet.StoreService("patio", 5);
}

bool AllVersionsAreOf(const ControlFleet& fleet, uint64_t version) {
  return fleet.IsInForce("patio", version);
}

// Whatever fails for a while, an accepted version is in force everywhere after
// it, no table goes back, and no member stays evicted.
TEST_CASE("control_node: faults delay a version but never lose it") {
  CHECK(rc::check("fault schedules", [] {
    ControlFleet fleet(milliseconds(2), *rc::gen::inRange<uint64_t>(1, 1000));
    Populate(fleet);
    fleet.Run(seconds(20));
    const int faults = *rc::gen::inRange(1, 3);
    for (int i = 0; i < faults; ++i) {
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          fleet.store().down = true;
          break;
        case 1:
          fleet.store().delay = milliseconds(800);
          break;
        case 2:
          fleet.store().lost_responses = *rc::gen::inRange(1, 6);
          break;
        default:
          fleet.Pause(*fleet.processes()[*rc::gen::inRange<size_t>(0, 13)]);
          break;
      }
    }
    const uint64_t version = fleet.StoreService("patio", 9);
    fleet.Run(seconds(*rc::gen::inRange(1, 12)));
    fleet.store().down = false;
    fleet.store().delay = milliseconds(5);
    for (auto& it : fleet.processes()) {
      fleet.Resume(*it);
    }
    fleet.Run(seconds(60));
    RC_ASSERT(AllVersionsAreOf(fleet, version));
    RC_ASSERT(fleet.reverts() == 0);
    for (const auto& observer : fleet.processes()) {
      RC_ASSERT(observer->node->lease().Valid(fleet.now()));
      for (const auto& [name, member] :
           observer->node->membership().members()) {
        RC_ASSERT(member.state() == control::MEMBER_STATE_ALIVE);
      }
    }
  }));
}

// A holder whose lease lapsed while it was paused must not send the table that
// it computed before.
TEST_CASE("control_node: a paused writer finds its lease lapsed") {
  ControlFleet fleet(milliseconds(2), 7);
  Populate(fleet);
  fleet.Run(seconds(40));
  const auto table = std::find_if(
      fleet.store().objects.begin(), fleet.store().objects.end(),
      [](const auto& it) { return it.first.starts_with("/tables/"); });
  REQUIRE(table != fleet.store().objects.end());
  const StoreWrite write{
      StoreWrite::Kind::kUpdate, table->first, {table->second.version()}, ""};
  const auto holder = std::find_if(
      fleet.processes().begin(), fleet.processes().end(),
      [&](const auto& it) { return it->node->MaySend(write, fleet.now()); });
  REQUIRE(holder != fleet.processes().end());
  fleet.Pause(**holder);
  fleet.Run(seconds(30));
  CHECK_FALSE((*holder)->node->MaySend(write, fleet.now()));
  const bool replaced = std::any_of(
      fleet.processes().begin(), fleet.processes().end(),
      [&](const auto& it) { return it->node->MaySend(write, fleet.now()); });
  CHECK(replaced);
}

// Entry instances of other zones observe small services; a sidecar that does
// not know their records must answer their pings nevertheless.
TEST_CASE(
    "control_node: healthy members of a small service are not suspected") {
  ControlFleet fleet(milliseconds(2), 7);
  Populate(fleet);
  for (const std::string& zone : kZones) {
    fleet.AddProcess(control::ROLE_SIDECAR, zone, "evidencia");
  }
  fleet.Run(seconds(30));
  for (const auto& it : fleet.processes()) {
    CHECK(it->node->membership().Suspicions().empty());
  }
}

// Each write costs a call and bytes at every member.
TEST_CASE("control_node: nothing is written when nothing changed") {
  ControlFleet fleet(milliseconds(2), 7);
  Populate(fleet);
  fleet.Run(seconds(60));
  const auto version = [&] {
    uint64_t newest = 0;
    for (const auto& [path, object] : fleet.store().objects) {
      if (path.starts_with("/tables/")) {
        newest = std::max(newest, object.version());
      }
    }
    return newest;
  };
  const uint64_t before = version();
  CHECK(before > 0);
  fleet.Run(seconds(60));
  CHECK(version() == before);
}

}  // namespace
}  // namespace kumquatvalve::process
