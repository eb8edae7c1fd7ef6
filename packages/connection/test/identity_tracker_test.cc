#include "kumquatvalve/connection/identity_tracker.h"

#include <catch2/catch.hpp>

namespace kumquatvalve::connection {
namespace {

UpstreamHeartbeat Heartbeat(uint64_t incarnation_ms, uint64_t sequence,
                            bool draining = false) {
  return {{"patio", "i-" + std::to_string(incarnation_ms), incarnation_ms, 5,
           draining},
          sequence};
}

TEST_CASE("identity_tracker: a late heartbeat does not cancel a drain") {
  IdentityTracker tracker;
  CHECK(tracker.OnHeartbeat(Heartbeat(100, 1)));
  CHECK(tracker.OnHeartbeat(Heartbeat(100, 3, true)));
  CHECK_FALSE(tracker.OnHeartbeat(Heartbeat(100, 2)));
  CHECK(tracker.current()->draining);
}

TEST_CASE(
    "identity_tracker: a heartbeat of an earlier incarnation does not replace "
    "the upstream that took over its address") {
  IdentityTracker tracker;
  CHECK(tracker.OnHeartbeat(Heartbeat(200, 1)));
  CHECK_FALSE(tracker.OnHeartbeat(Heartbeat(100, 9, true)));
  CHECK(tracker.current()->incarnation_ms == 200);
}

TEST_CASE(
    "identity_tracker: a new incarnation is accepted with a lower sequence "
    "number") {
  IdentityTracker tracker;
  CHECK(tracker.OnHeartbeat(Heartbeat(100, 50)));
  CHECK(tracker.OnHeartbeat(Heartbeat(200, 1)));
  CHECK(tracker.current()->incarnation_ms == 200);
}

TEST_CASE(
    "identity_tracker: only the current upstream can deregister, and its later "
    "heartbeats are ignored") {
  IdentityTracker tracker;
  CHECK(tracker.OnHeartbeat(Heartbeat(200, 1)));
  CHECK_FALSE(tracker.OnDeparture("i-100", 100));
  CHECK_FALSE(tracker.OnDeparture("i-200", 100));
  CHECK(tracker.OnDeparture("i-200", 200));
  CHECK_FALSE(tracker.current());
  CHECK_FALSE(tracker.OnHeartbeat(Heartbeat(200, 2)));
  CHECK(tracker.OnHeartbeat(Heartbeat(300, 1)));
}

}  // namespace
}  // namespace kumquatvalve::connection
