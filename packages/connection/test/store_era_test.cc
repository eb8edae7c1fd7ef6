#include "kumquatvalve/connection/store_era.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <set>
#include <vector>

namespace kumquatvalve::connection {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow{std::chrono::hours(1)};

// What an entry instance does with the configurations that it receives.
struct Instance {
  // Applies the verdict to a received configuration.
  void Receive(uint64_t value, uint64_t era, uint64_t operator_version,
               TimePoint now = kNow) {
    const ConfigurationVersion received{{value, era}, operator_version};
    if (value > baseline.revision.value) {
      baseline = received;
    }
    switch (hold.OnConfiguration(in_force, received, now)) {
      case EraVerdict::kTake:
        Take(received);
        break;
      case EraVerdict::kHoldBack:
        held = received;
        break;
      case EraVerdict::kIgnore:
        break;
    }
  }

  void Tick(TimePoint now) {
    if (hold.IsOver(now)) {
      Take(held);
    }
  }

  void Take(const ConfigurationVersion& taken) {
    in_force = taken;
    hold.OnTaken(taken.revision);
  }

  uint64_t operator_version() const { return in_force.operator_version; }
  // What the rule without eras has in force: the largest revision.
  uint64_t baseline_version() const { return baseline.operator_version; }

  ConfigurationVersion in_force{{110, 0}, 5};
  ConfigurationVersion held;
  ConfigurationVersion baseline = in_force;
  EraHold hold;
};

// Instances that had seen the lost version ignored all later ones until the
// revisions passed the old one.
TEST_CASE(
    "store_era: an operator who writes again with a smaller revision is "
    "obeyed") {
  Instance f;
  f.Receive(90, 1, 4);
  CHECK(f.operator_version() == 5);
  f.Receive(95, 1, 6);
  CHECK(f.operator_version() == 6);
  CHECK(f.baseline_version() == 5);
  CHECK_FALSE(f.hold.held());
}

// The restored copy replaced the lost version as soon as revisions had passed
// the old one: requests ran on routes that the operator had removed.
TEST_CASE(
    "store_era: a restored copy is held back although its revision has passed "
    "the old one") {
  Instance f;
  f.Receive(130, 1, 4);
  CHECK(f.operator_version() == 5);
  CHECK(f.baseline_version() == 4);
  // The same list arrives with each watch.
  f.Receive(130, 1, 4, kNow + seconds(20));
  f.Tick(kNow + seconds(29));
  CHECK(f.operator_version() == 5);
  f.Tick(kNow + milliseconds(29500));
  CHECK(f.operator_version() == 4);
  CHECK_FALSE(f.hold.held());
}

// An operator who goes back on purpose waited 30 s for each write.
TEST_CASE("store_era: a version written in the new era is taken at once") {
  Instance f;
  f.Receive(90, 1, 3);
  f.Receive(91, 1, 4);
  CHECK(f.operator_version() == 4);
  CHECK_FALSE(f.hold.held());
  f.Receive(92, 1, 2);
  CHECK(f.operator_version() == 2);
}

// An instance whose first list of the new era has the rewritten version already
// held it back.
TEST_CASE("store_era: an equal or larger operator version is not held back") {
  for (const uint64_t it : {5, 6}) {
    Instance f;
    f.Receive(90, 1, it);
    CHECK(f.in_force.revision == request::TableVersion{90, 1});
  }
}

// An instance that was cut off from the store brought the lost version back to
// its peers, and its peers could not correct it.
TEST_CASE("store_era: of peers of different eras the later era counts") {
  Instance ahead;
  ahead.Receive(95, 1, 6);
  ahead.Receive(110, 0, 5);
  CHECK(ahead.operator_version() == 6);
  CHECK(ahead.baseline_version() == 5);
  Instance behind;
  behind.Receive(95, 1, 6);
  CHECK(behind.operator_version() == 6);
  // A peer that has the copy in force does not end the wait.
  Instance waiting;
  waiting.Receive(90, 1, 4);
  waiting.Receive(90, 1, 4);
  waiting.Receive(80, 1, 3);
  CHECK(waiting.operator_version() == 5);
  CHECK(waiting.hold.held() == request::TableVersion{90, 1});
}

// The copy of the second restoration took the place of the one that was held
// back after the first, as if the operator had written it.
TEST_CASE("store_era: two rises in a row begin a new wait") {
  Instance f;
  f.Receive(90, 1, 3);
  f.Receive(95, 2, 4, kNow + seconds(20));
  f.Tick(kNow + seconds(40));
  CHECK(f.operator_version() == 5);
  CHECK(f.baseline_version() == 5);
  // A late response of the first restoration.
  f.Receive(96, 1, 3, kNow + seconds(41));
  CHECK(f.operator_version() == 5);
  f.Tick(kNow + seconds(50));
  CHECK(f.operator_version() == 4);
  // The operator's version of era 1 is lost too.
  Instance g;
  g.Receive(90, 1, 6);
  g.Receive(85, 2, 4);
  CHECK(g.operator_version() == 6);
  g.Receive(86, 2, 7);
  CHECK(g.operator_version() == 7);
}

TEST_CASE("store_era: nothing changes in a store without eras") {
  Instance f;
  f.Receive(111, 0, 4);
  CHECK(f.operator_version() == 4);
  CHECK_FALSE(f.hold.IsOver(kNow + seconds(60)));
}

// 300 machines listed within the same milliseconds, at 2 to 5 calls each.
TEST_CASE("store_era: lists of a new era are spread and keep the time limit") {
  std::mt19937_64 random(7);
  std::vector<int> calls(51);
  for (int i = 0; i < 300; ++i) {
    const auto delay = EraListDelay(milliseconds(10000), random());
    REQUIRE(delay <= milliseconds(500));
    ++calls[static_cast<size_t>(delay.count() / 10)];
  }
  // Without the delay all 300 come in one interval of 10 ms.
  CHECK(*std::max_element(calls.begin(), calls.end()) < 30);
  // A watch of 2.5 s belongs to a limit of 3 s.
  CHECK(EraListDelay(milliseconds(2500), 250) == milliseconds(250));
  CHECK(EraListDelay(milliseconds(2500), 251) == milliseconds(0));
}

}  // namespace
}  // namespace kumquatvalve::connection
