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
using TimePoint = ControlNode::TimePoint;

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

bool IsInForceEverywhere(const ControlFleet& fleet, uint64_t version) {
  return fleet.IsInForce("patio", version);
}

// Guards against temporary faults losing an accepted version, reverting a table
// or leaving a healthy member evicted.
TEST_CASE("control_node: temporary faults delay a version but do not lose it") {
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
    RC_ASSERT(IsInForceEverywhere(fleet, version));
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

// Guards against a lease holder that was paused until its lease lapsed, and
// then sends the table that it had computed before.
TEST_CASE(
    "control_node: a writer that was paused past its lease does not write") {
  ControlFleet fleet(milliseconds(2), 7);
  Populate(fleet);
  fleet.Run(seconds(40));
  const auto table = std::find_if(
      fleet.store().objects.begin(), fleet.store().objects.end(),
      [](const auto& it) { return it.first.starts_with("/tables/"); });
  REQUIRE(table != fleet.store().objects.end());
  const StoreWrite write{
      StoreWrite::Kind::kUpdate, table->first, {table->second.version()}, ""};
  const auto lease_holder = std::find_if(
      fleet.processes().begin(), fleet.processes().end(),
      [&](const auto& it) { return it->node->MaySend(write, fleet.now()); });
  REQUIRE(lease_holder != fleet.processes().end());
  fleet.Pause(**lease_holder);
  fleet.Run(seconds(30));
  CHECK_FALSE((*lease_holder)->node->MaySend(write, fleet.now()));
  const bool other_may_write = std::any_of(
      fleet.processes().begin(), fleet.processes().end(),
      [&](const auto& it) { return it->node->MaySend(write, fleet.now()); });
  CHECK(other_may_write);
}

// Entry instances of other zones observe small services; guards against a
// sidecar ignoring their pings because it lacks their records.
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

// A process whose clock was stepped back between two starts was ignored by its
// peers from then on: it got no lease and no table.
TEST_CASE(
    "control_node: a process that starts with an earlier time is a member "
    "again") {
  ControlFleet fleet(milliseconds(2), 7);
  Populate(fleet);
  fleet.Run(seconds(20));
  // A seed, another entry instance and a sidecar.
  for (const size_t i : {0, 4, 9}) {
    auto& process = *fleet.processes()[i];
    const request::Incarnation before{
        process.node->membership().self().incarnation()};
    fleet.Kill(process);
    fleet.Run(seconds(3));
    fleet.Restart(process, {before.value - 2400000});
    fleet.Run(seconds(20));
    CHECK(process.node->lease().Valid(fleet.now()));
    const uint64_t incarnation =
        process.node->membership().self().incarnation();
    CHECK(incarnation > before.value);
    for (const auto& it : fleet.processes()) {
      const control::Member* member = it->node->membership().Find(process.name);
      REQUIRE(member != nullptr);
      CHECK(member->incarnation() == incarnation);
      CHECK(member->state() == control::MEMBER_STATE_ALIVE);
    }
  }
  const uint64_t version = fleet.StoreService("patio", 9);
  fleet.Run(seconds(20));
  CHECK(IsInForceEverywhere(fleet, version));
}

// Two processes with the same instance name each take the other one for their
// earlier start.
TEST_CASE("control_node: the own incarnation is raised once a second at most") {
  ControlFleet fleet(milliseconds(2), 7);
  Populate(fleet);
  ControlNode& node = *fleet.processes()[0]->node;
  const auto raise = [&](TimePoint now) {
    control::Envelope envelope;
    envelope.mutable_stale_start()->set_known_incarnation(
        node.membership().self().incarnation() + 5);
    NodeActions actions;
    node.OnEnvelope(std::move(envelope), now, &actions);
    return actions.own_incarnation.has_value();
  };
  const TimePoint now = fleet.now() + seconds(1);
  CHECK(raise(now));
  CHECK_FALSE(raise(now + milliseconds(999)));
  CHECK(raise(now + milliseconds(1000)));
  // A reply that was meant for an earlier start changes nothing.
  control::Envelope late;
  late.mutable_stale_start()->set_known_incarnation(1);
  NodeActions actions;
  node.OnEnvelope(std::move(late), now + seconds(5), &actions);
  CHECK_FALSE(actions.own_incarnation);
}

// Guards against needless writes, each of which costs a store call and
// bandwidth at every member.
TEST_CASE("control_node: unchanged input causes no write") {
  ControlFleet fleet(milliseconds(2), 7);
  Populate(fleet);
  fleet.Run(seconds(60));
  const auto newest_table_version = [&] {
    uint64_t newest = 0;
    for (const auto& [path, object] : fleet.store().objects) {
      if (path.starts_with("/tables/")) {
        newest = std::max(newest, object.version());
      }
    }
    return newest;
  };
  const uint64_t version_before = newest_table_version();
  CHECK(version_before > 0);
  fleet.Run(seconds(60));
  CHECK(newest_table_version() == version_before);
}

}  // namespace
}  // namespace kumquatvalve::process
