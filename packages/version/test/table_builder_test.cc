#include "kumquatvalve/version/table_builder.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

namespace kumquatvalve::version {
namespace {

constexpr request::ServiceId kService = {1};

UpstreamEntry MakeUpstream(int number, const std::string& zone) {
  UpstreamEntry upstream;
  upstream.instance = request::InstanceIdOf(
      request::InstanceName("upstream-" + std::to_string(number)));
  upstream.zone = request::AvailabilityZone(zone);
  return upstream;
}

std::vector<UpstreamEntry> MakeUpstreams(int count) {
  std::vector<UpstreamEntry> upstreams;
  upstreams.reserve(count);
  for (int i = 0; i < count; ++i) {
    upstreams.push_back(MakeUpstream(i, "zone-" + std::to_string(i % 3)));
  }
  return upstreams;
}

ForwardingTable Build(const std::vector<UpstreamEntry>& upstreams,
                      const ForwardingTable* previous, uint64_t version) {
  return BuildTable(kService, upstreams, kDefaultRows, previous, {version});
}

int64_t CountRows(const ForwardingTable& table, request::InstanceId instance) {
  const auto index = table.IndexOf(instance);
  return index ? std::count(table.owner.begin(), table.owner.end(), *index) : 0;
}

int64_t CountMovedRows(const ForwardingTable& before,
                       const ForwardingTable& after) {
  int64_t moved = 0;
  for (size_t row = 0; row < before.owner.size(); ++row) {
    moved += before.upstreams[before.owner[row]].instance !=
             after.upstreams[after.owner[row]].instance;
  }
  return moved;
}

// Unequal shares would overload one upstream even with uniform load.
TEST_CASE("table_builder: equal weights differ by at most one row") {
  const auto upstreams = MakeUpstreams(7);
  const ForwardingTable table = Build(upstreams, nullptr, 1);
  for (const auto& it : upstreams) {
    CHECK(CountRows(table, it.instance) >= 73);
    CHECK(CountRows(table, it.instance) <= 74);
  }
}

// Rows that move unnecessarily send their new flows through the takeover path.
TEST_CASE("table_builder: a drain moves only the drained upstream's rows") {
  auto upstreams = MakeUpstreams(7);
  const ForwardingTable before = Build(upstreams, nullptr, 1);
  upstreams[3].draining = true;
  const ForwardingTable after = Build(upstreams, &before, 2);
  CHECK(CountRows(after, upstreams[3].instance) == 0);
  CHECK(CountMovedRows(before, after) ==
        CountRows(before, upstreams[3].instance));
}

TEST_CASE("table_builder: a join moves only the joining upstream's share") {
  auto upstreams = MakeUpstreams(7);
  const ForwardingTable before = Build(upstreams, nullptr, 1);
  upstreams.push_back(MakeUpstream(7, "zone-1"));
  const ForwardingTable after = Build(upstreams, &before, 2);
  CHECK(CountMovedRows(before, after) ==
        CountRows(after, upstreams[7].instance));
}

// Two writers that list the upstreams in different orders must write the same
// table.
TEST_CASE("table_builder: the order of the upstreams does not matter") {
  auto upstreams = MakeUpstreams(9);
  const ForwardingTable before = Build(upstreams, nullptr, 1);
  std::mt19937_64 random(17);
  for (int i = 0; i < 20; ++i) {
    std::shuffle(upstreams.begin(), upstreams.end(), random);
    CHECK(Build(upstreams, nullptr, 1) == before);
  }
}

// A backup in the owner's zone would fail together with the owner in a zone
// outage.
TEST_CASE("table_builder: backups are in another zone and spread evenly") {
  const auto upstreams = MakeUpstreams(9);
  const ForwardingTable table = Build(upstreams, nullptr, 1);
  std::vector<int> backups(upstreams.size(), 0);
  for (size_t row = 0; row < table.owner.size(); ++row) {
    REQUIRE(table.backup[row] != kNoUpstreamIndex);
    CHECK(table.upstreams[table.owner[row]].zone !=
          table.upstreams[table.backup[row]].zone);
    ++backups[table.backup[row]];
  }
  CHECK(*std::max_element(backups.begin(), backups.end()) <
        2 * static_cast<int>(table.owner.size() / upstreams.size()));
}

// Without the previous owner a sidecar that has just joined could not query the
// holders of the row's flows.
TEST_CASE("table_builder: a moved row names its previous owner") {
  auto upstreams = MakeUpstreams(4);
  const ForwardingTable before = Build(upstreams, nullptr, 1);
  upstreams.push_back(MakeUpstream(9, "zone-0"));
  const ForwardingTable after = Build(upstreams, &before, 2);
  const ForwardingTable unchanged = Build(upstreams, &after, 3);
  for (size_t row = 0; row < after.owner.size(); ++row) {
    if (after.upstreams[after.owner[row]].instance == upstreams[4].instance) {
      REQUIRE(after.previous[row] != kNoUpstreamIndex);
      CHECK(after.upstreams[after.previous[row]].instance ==
            before.upstreams[before.owner[row]].instance);
    }
  }
  CHECK(unchanged.previous == after.previous);
  CHECK(unchanged.owner == after.owner);
}

// When all upstreams drain, rows must have no owner rather than a draining one.
TEST_CASE("table_builder: rows have no owner when all upstreams drain") {
  auto upstreams = MakeUpstreams(1);
  upstreams[0].draining = true;
  const ForwardingTable table = Build(upstreams, nullptr, 1);
  CHECK(table.owner ==
        std::vector<UpstreamIndex>(kDefaultRows, kNoUpstreamIndex));
}

// Holder hints contain the index of an upstream, so replacing another upstream
// must not change it.
TEST_CASE(
    "table_builder: replacing an upstream keeps the index of the others") {
  auto upstreams = MakeUpstreams(5);
  const ForwardingTable before = Build(upstreams, nullptr, 1);
  upstreams.erase(upstreams.begin() + 2);
  upstreams.push_back(MakeUpstream(11, "zone-2"));
  const ForwardingTable after = Build(upstreams, &before, 2);
  for (const auto& it : MakeUpstreams(5)) {
    if (after.Find(it.instance) != nullptr) {
      CHECK(after.IndexOf(it.instance) == before.IndexOf(it.instance));
    }
  }
}

}  // namespace
}  // namespace kumquatvalve::version
