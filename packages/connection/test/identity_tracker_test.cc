#include "kumquatvalve/connection/identity_tracker.h"

#include <catch2/catch.hpp>
#include <string>

namespace kumquatvalve::connection {
namespace {

UpstreamHeartbeat Heartbeat(uint64_t incarnation_ms, uint64_t sequence,
                            bool draining = false) {
  return {{"patio", "i-" + std::to_string(incarnation_ms), incarnation_ms, 5,
           draining},
          sequence};
}

constexpr uint64_t kNowMs = 1000000;
constexpr TimePoint kNow{std::chrono::hours(1)};

version::UpstreamRecord Record(uint64_t incarnation_ms, bool draining,
                               uint64_t order = 0) {
  version::UpstreamRecord record;
  record.service = request::ServiceName("patio");
  record.instance = "i-" + std::to_string(incarnation_ms);
  record.incarnation_ms = incarnation_ms;
  record.order = {order};
  record.draining = draining;
  return record;
}

bool Accepts(IdentityTracker* tracker, const UpstreamHeartbeat& heartbeat) {
  return tracker->OnHeartbeat(heartbeat, kNowMs, kNow) ==
         HeartbeatVerdict::kAccepted;
}

TEST_CASE("identity_tracker: a late heartbeat does not cancel a drain") {
  IdentityTracker tracker;
  CHECK(Accepts(&tracker, Heartbeat(100, 1)));
  CHECK(Accepts(&tracker, Heartbeat(100, 3, true)));
  CHECK(tracker.OnHeartbeat(Heartbeat(100, 2), kNowMs, kNow) ==
        HeartbeatVerdict::kLate);
  CHECK(tracker.current()->draining);
}

TEST_CASE(
    "identity_tracker: a heartbeat of an earlier incarnation does not replace "
    "the upstream that took over its address") {
  IdentityTracker tracker;
  CHECK(Accepts(&tracker, Heartbeat(200, 1)));
  CHECK(tracker.OnHeartbeat(Heartbeat(100, 9, true), kNowMs, kNow) ==
        HeartbeatVerdict::kEarlierIncarnation);
  CHECK(tracker.current()->incarnation_ms == 200);
}

// Each change of the identity writes the sidecar's record in the store.
TEST_CASE("identity_tracker: the warm-up does not change the identity") {
  IdentityTracker tracker;
  auto heartbeat = Heartbeat(100, 1);
  heartbeat.warm_up_left = std::chrono::milliseconds(9000);
  CHECK(Accepts(&tracker, heartbeat));
  CHECK(Accepts(&tracker, Heartbeat(100, 2)));
  const auto before = tracker.current();
  heartbeat.sequence = 3;
  heartbeat.warm_up_left = std::chrono::milliseconds(8000);
  CHECK(Accepts(&tracker, heartbeat));
  CHECK(tracker.current() == before);
}

TEST_CASE(
    "identity_tracker: a new incarnation is accepted with a lower sequence "
    "number") {
  IdentityTracker tracker;
  CHECK(Accepts(&tracker, Heartbeat(100, 50)));
  CHECK(Accepts(&tracker, Heartbeat(200, 1)));
  CHECK(tracker.current()->incarnation_ms == 200);
}

TEST_CASE(
    "identity_tracker: only the current upstream can deregister, and its later "
    "heartbeats are ignored") {
  IdentityTracker tracker;
  CHECK(Accepts(&tracker, Heartbeat(200, 1)));
  CHECK_FALSE(tracker.OnDeparture("i-100", 100));
  CHECK_FALSE(tracker.OnDeparture("i-200", 100));
  CHECK(tracker.OnDeparture("i-200", 200));
  CHECK_FALSE(tracker.current());
  CHECK(tracker.OnHeartbeat(Heartbeat(200, 2), kNowMs, kNow) ==
        HeartbeatVerdict::kLate);
  CHECK(Accepts(&tracker, Heartbeat(300, 1)));
}

// One heartbeat of another writer made the sidecar return every flow of its own
// service until the upstream's next restart.
TEST_CASE("identity_tracker: a heartbeat of another service is not accepted") {
  IdentityTracker tracker("patio");
  CHECK(Accepts(&tracker, Heartbeat(100, 1)));
  UpstreamHeartbeat other = Heartbeat(200, 1);
  other.identity.service = "evidencia";
  CHECK(tracker.OnHeartbeat(other, kNowMs, kNow) ==
        HeartbeatVerdict::kOtherService);
  CHECK(tracker.current()->incarnation_ms == 100);
}

// An incarnation far ahead kept out every later upstream of the sidecar.
TEST_CASE("identity_tracker: an upstream from the future is not accepted") {
  IdentityTracker tracker;
  CHECK(tracker.OnHeartbeat(Heartbeat(kNowMs + 60001, 1), kNowMs, kNow) ==
        HeartbeatVerdict::kFromFuture);
  CHECK_FALSE(
      tracker.OnKnownRecord(Record(kNowMs + 60001, false), kNowMs, kNow));
  // Clocks may differ by seconds.
  CHECK(Accepts(&tracker, Heartbeat(kNowMs + 60000, 1)));
}

// Guards against an upstream that gets no flows until the time of day of its
// sidecar has caught up with its start.
TEST_CASE(
    "identity_tracker: the upstream in use is accepted after a step of the "
    "sidecar's clock to before its start") {
  IdentityTracker tracker;
  REQUIRE(Accepts(&tracker, Heartbeat(kNowMs, 1)));
  CHECK(tracker.OnHeartbeat(Heartbeat(kNowMs, 2), kNowMs - 120000, kNow) ==
        HeartbeatVerdict::kAccepted);
}

// After a restart the sidecar took a delayed heartbeat of an upstream that had
// been replaced, and wrote its record over that of the successor.
TEST_CASE(
    "identity_tracker: a restarted sidecar does not go back to an earlier "
    "upstream than the stored one") {
  IdentityTracker tracker;
  CHECK(Accepts(&tracker, Heartbeat(100, 7)));
  CHECK(tracker.OnKnownRecord(Record(200, false), kNowMs, kNow));
  CHECK_FALSE(tracker.current());
  CHECK(tracker.OnHeartbeat(Heartbeat(100, 8), kNowMs, kNow) ==
        HeartbeatVerdict::kEarlierIncarnation);
  CHECK(Accepts(&tracker, Heartbeat(200, 0)));
  CHECK_FALSE(tracker.OnKnownRecord(Record(100, true), kNowMs, kNow));
  CHECK_FALSE(tracker.current()->draining);
}

// After a crash and a step of the clock, every heartbeat of the only upstream
// was ignored, but confirmed: its drain had no effect.
TEST_CASE(
    "identity_tracker: an upstream that started with the clock stepped back "
    "replaces the one before it") {
  IdentityTracker tracker;
  CHECK(Accepts(&tracker, Heartbeat(5000, 40)));
  TimePoint now = kNow;
  uint64_t sequence = 0;
  const auto beat = [&](uint64_t incarnation_ms, bool draining = false) {
    now += std::chrono::milliseconds(1200);
    return tracker.OnHeartbeat(Heartbeat(incarnation_ms, ++sequence, draining),
                               kNowMs, now);
  };
  CHECK(beat(2600) == HeartbeatVerdict::kEarlierIncarnation);
  CHECK(beat(2600) == HeartbeatVerdict::kEarlierIncarnation);
  CHECK(beat(2600) == HeartbeatVerdict::kAccepted);
  CHECK(tracker.current()->incarnation_ms == 2600);
  CHECK(beat(2600, true) == HeartbeatVerdict::kAccepted);
  CHECK(tracker.current()->draining);
  // A delayed heartbeat or the stored record of the replaced one changes
  // nothing.
  CHECK(tracker.OnHeartbeat(Heartbeat(5000, 41), kNowMs, now) ==
        HeartbeatVerdict::kEarlierIncarnation);
  CHECK_FALSE(tracker.OnKnownRecord(Record(5000, false), kNowMs, now));
  CHECK(tracker.current()->incarnation_ms == 2600);
  // A later start is a new incarnation as before.
  CHECK(beat(7000) == HeartbeatVerdict::kAccepted);
}

TEST_CASE(
    "identity_tracker: late heartbeats of an earlier upstream do not replace "
    "one that sends its own") {
  IdentityTracker tracker;
  TimePoint now = kNow;
  uint64_t sequence = 0;
  for (int i = 0; i < 20; ++i) {
    now += std::chrono::milliseconds(600);
    CHECK(tracker.OnHeartbeat(Heartbeat(200, ++sequence), kNowMs, now) ==
          HeartbeatVerdict::kAccepted);
    now += std::chrono::milliseconds(600);
    CHECK(tracker.OnHeartbeat(Heartbeat(100, ++sequence), kNowMs, now) ==
          HeartbeatVerdict::kEarlierIncarnation);
  }
  CHECK(tracker.current()->incarnation_ms == 200);
}

// A paused sidecar finds all heartbeats that a crashed upstream sent meanwhile,
// perhaps after those of its successor.
TEST_CASE(
    "identity_tracker: heartbeats of an earlier upstream that arrive together "
    "do not replace the current one") {
  IdentityTracker tracker;
  CHECK(Accepts(&tracker, Heartbeat(200, 1)));
  for (uint64_t sequence = 1; sequence <= 10; ++sequence) {
    CHECK(tracker.OnHeartbeat(Heartbeat(100, sequence), kNowMs,
                              kNow + std::chrono::milliseconds(5 * sequence)) ==
          HeartbeatVerdict::kEarlierIncarnation);
  }
  // Repeated ones are no new ones either.
  for (int i = 1; i <= 10; ++i) {
    CHECK(tracker.OnHeartbeat(Heartbeat(100, 10), kNowMs,
                              kNow + std::chrono::seconds(i)) ==
          HeartbeatVerdict::kEarlierIncarnation);
  }
  CHECK(tracker.current()->incarnation_ms == 200);
}

// A delayed heartbeat from before the drain put an upstream that was leaving
// back in use after the sidecar restarted.
TEST_CASE("identity_tracker: a stored drain is kept after a restart") {
  IdentityTracker tracker;
  CHECK(Accepts(&tracker, Heartbeat(100, 7)));
  CHECK(tracker.OnKnownRecord(Record(100, true), kNowMs, kNow));
  CHECK(tracker.current()->draining);
  CHECK(Accepts(&tracker, Heartbeat(100, 8)));
  CHECK(tracker.current()->draining);
  CHECK(Accepts(&tracker, Heartbeat(200, 1)));
  CHECK_FALSE(tracker.current()->draining);
}

// An upstream that started in the same millisecond as the one before it, under
// the same name, got its drain confirmed while it still got flows.
TEST_CASE("identity_tracker: a late heartbeat does not confirm a drain") {
  IdentityTracker tracker;
  CHECK(Accepts(&tracker, Heartbeat(100, 40)));
  CHECK(tracker.OnHeartbeat(Heartbeat(100, 7, true), kNowMs, kNow) ==
        HeartbeatVerdict::kLateDrain);
  CHECK(Accepts(&tracker, Heartbeat(100, 41, true)));
  // A repeated heartbeat is confirmed when its drain is in force.
  CHECK(tracker.OnHeartbeat(Heartbeat(100, 41, true), kNowMs, kNow) ==
        HeartbeatVerdict::kLate);
}

// Guards against a drain of one upstream that is applied to the next one, whose
// start time is the same.
TEST_CASE(
    "identity_tracker: the record of another upstream with the same start time "
    "is not that of this one") {
  IdentityTracker tracker;
  UpstreamHeartbeat heartbeat = Heartbeat(100, 1);
  heartbeat.identity.instance = "i-other";
  TimePoint now = kNow;
  for (heartbeat.sequence = 1; heartbeat.sequence <= 3; ++heartbeat.sequence) {
    CHECK(tracker.OnHeartbeat(heartbeat, kNowMs, now) ==
          HeartbeatVerdict::kAccepted);
    now += std::chrono::milliseconds(1200);
  }
  CHECK(tracker.OnKnownRecord(Record(100, true), kNowMs, now));
  REQUIRE(tracker.current());
  CHECK_FALSE(tracker.current()->draining);
  CHECK(tracker.current()->order.value == 101);
}

// A sidecar that restarted during an outage of the store announced its upstream
// with an order that entry instances took for that of an earlier one.
TEST_CASE(
    "identity_tracker: a record of an entry instance corrects the order of the "
    "current upstream") {
  IdentityTracker tracker;
  CHECK(Accepts(&tracker, Heartbeat(2600, 7)));
  CHECK(tracker.current()->order.value == 2600);
  CHECK(tracker.OnKnownRecord(Record(2600, true, 5001), kNowMs, kNow));
  CHECK(tracker.current()->order.value == 5001);
  CHECK(tracker.current()->draining);
  // An order from the future would keep out all later upstreams.
  CHECK_FALSE(
      tracker.OnKnownRecord(Record(2600, true, kNowMs + 60001), kNowMs, kNow));
}

// Whether heartbeat `sequence`, which arrives `delay_ms` after the start of its
// upstream, is taken for the upstream's first one.
bool IsFirst(uint64_t sequence, int delay_ms) {
  IdentityTracker tracker("patio");
  CHECK(Accepts(&tracker, Heartbeat(kNowMs - delay_ms, sequence)));
  return tracker.current()->first_heartbeat_received;
}

TEST_CASE(
    "identity_tracker: the first heartbeat arrives right after the start") {
  CHECK(IsFirst(1, 13));
  CHECK(IsFirst(0, 13));
}

// Callers saw resets of flows that an earlier process of the sidecar had
// admitted before any heartbeat of the upstream arrived.
TEST_CASE(
    "identity_tracker: a heartbeat is not the first one when another may have "
    "been lost") {
  CHECK_FALSE(IsFirst(2, 1200));
  // The upstream counts from 0.
  CHECK_FALSE(IsFirst(1, 1200));
  // The clock was stepped between the start and the heartbeat.
  CHECK_FALSE(IsFirst(2, 13));
  CHECK_FALSE(IsFirst(1, -1200));
}

// Guards against a sidecar that denies flows of an earlier process, which had
// announced the upstream to the entry instances while the store was
// unavailable.
TEST_CASE(
    "identity_tracker: the first heartbeat of an upstream that has a record "
    "arrived at an earlier process") {
  IdentityTracker tracker("patio");
  CHECK(Accepts(&tracker, Heartbeat(kNowMs - 50, 1)));
  tracker.OnKnownRecord(Record(kNowMs - 13, false), kNowMs, kNow);
  CHECK(Accepts(&tracker, Heartbeat(kNowMs - 13, 1)));
  CHECK_FALSE(tracker.current()->first_heartbeat_received);
}

// The clock of another machine had the same address before and was ahead:
// during an outage of the store the upstream got no flows.
TEST_CASE(
    "identity_tracker: an upstream is later than one of another service at the "
    "same address") {
  IdentityTracker tracker("evidencia");
  UpstreamHeartbeat heartbeat = Heartbeat(2600, 1);
  heartbeat.identity.service = "evidencia";
  CHECK(Accepts(&tracker, heartbeat));
  CHECK(tracker.OnRecordOfOtherService(Record(5000, false), kNowMs));
  CHECK(tracker.current()->order.value == 5001);
  CHECK_FALSE(tracker.OnRecordOfOtherService(Record(5000, false), kNowMs));
}

// The address of an upstream was reused by another service: its sidecar found
// the record of the earlier service and, since it did not trust the order of
// the start times, delivered packets of unknown flows to find out.
TEST_CASE(
    "identity_tracker: the record of another service names no earlier "
    "incarnation") {
  version::UpstreamRecord record;
  request::Failure failure;
  record.sidecar = *request::ParseEndpoint("10.0.0.1:8172", &failure);
  record.service = request::ServiceName("patio");
  record.incarnation_ms = 100;
  const request::ServiceName evidencia("evidencia");
  CHECK(RecordedIncarnation(record, record.sidecar, record.service) == 100);
  CHECK(RecordedIncarnation(record, record.sidecar, evidencia) == 0);
  CHECK_FALSE(
      RecordedIncarnation(std::nullopt, record.sidecar, record.service));
}

}  // namespace
}  // namespace kumquatvalve::connection
