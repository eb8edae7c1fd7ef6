#include "kumquatvalve/connection/stale_records.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

namespace kumquatvalve::connection {
namespace {

using std::chrono::seconds;

version::UpstreamRecord Record(int i, uint64_t incarnation_ms = 1000) {
  request::Failure failure;
  version::UpstreamRecord record;
  record.sidecar = *request::ParseEndpoint(
      "10.0.0." + std::to_string(i) + ":8172", &failure);
  record.service = request::ServiceName("patio");
  record.incarnation_ms = incarnation_ms;
  return record;
}

struct Fixture {
  Fixture() { upstreams.Replace(records, now); }

  // Sends each sidecar a message every second, to which all except those in
  // `unresponsive` reply. Returns all stale records found.
  std::vector<version::UpstreamRecord> Advance(
      seconds time, const std::set<int>& unresponsive) {
    std::vector<version::UpstreamRecord> found;
    for (const TimePoint end = now + time; now < end; now += seconds(1)) {
      for (int i = 1; i <= 4; ++i) {
        UpstreamView* view = upstreams.Find(Record(i).sidecar);
        if (view != nullptr) {
          view->OnMessageSent(now);
          if (!unresponsive.contains(i)) {
            view->OnMessageReceived(now);
          }
        }
      }
      const auto more = stale.FindStale(upstreams, now);
      found.insert(found.end(), more.begin(), more.end());
    }
    return found;
  }

  TimePoint now{std::chrono::hours(1)};
  std::vector<version::UpstreamRecord> records = {Record(1), Record(2),
                                                  Record(3), Record(4)};
  UpstreamSet upstreams{request::AvailabilityZone("a")};
  StaleRecords stale{0};
};

// Guards against records of machines without power that stay in the store
// forever.
TEST_CASE("stale_records: the record of a dead machine is found once") {
  Fixture f;
  CHECK(f.Advance(seconds(59), {2}).empty());
  const auto found = f.Advance(seconds(60), {2});
  REQUIRE(found.size() == 1);
  CHECK(found[0].sidecar == Record(2).sidecar);
}

TEST_CASE(
    "stale_records: the record of a machine that was cut off for a minute is "
    "kept") {
  Fixture f;
  for (int i = 0; i < 5; ++i) {
    CHECK(f.Advance(seconds(55), {2}).empty());
    CHECK(f.Advance(seconds(2), {}).empty());
  }
}

TEST_CASE("stale_records: an instance that is cut off removes no record") {
  Fixture f;
  CHECK(f.Advance(seconds(300), {1, 2}).empty());
  CHECK(f.Advance(seconds(300), {1, 2, 3, 4}).empty());
}

TEST_CASE(
    "stale_records: a record that was written again is not removed again") {
  Fixture f;
  CHECK(f.Advance(seconds(70), {2}).size() == 1);
  f.upstreams.Replace(f.records, f.now);
  CHECK(f.Advance(seconds(300), {2}).empty());
  // The record of a later incarnation is found again.
  f.records[1] = Record(2, 2000);
  f.upstreams.Replace(f.records, f.now);
  CHECK(f.Advance(seconds(70), {2}).size() == 1);
}

TEST_CASE("stale_records: entry instances remove records at different times") {
  Fixture f;
  f.stale = StaleRecords(20000);
  CHECK(f.Advance(seconds(75), {2}).empty());
  CHECK(f.Advance(seconds(20), {2}).size() == 1);
}

}  // namespace
}  // namespace kumquatvalve::connection
