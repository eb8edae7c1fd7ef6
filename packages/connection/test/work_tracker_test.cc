#include "kumquatvalve/connection/work_tracker.h"

#include <catch2/catch.hpp>
#include <utility>
#include <vector>

#include "property.h"

namespace kumquatvalve::connection {
namespace {

using std::chrono::milliseconds;

request::FlowKey Flow(uint16_t port) {
  request::FlowKey key;
  key.caller.port = port;
  key.protocol = 6;
  return key;
}

// Trusting pushes needs some responses that ended with their first push.
void EarnTrust(WorkTracker* tracker) {
  for (int i = 0; i < 64; ++i) {
    tracker->OnRequest(Flow(9999), TimePoint());
    tracker->OnAnswerSegment(Flow(9999), true, TimePoint());
    tracker->OnAnswerComplete(Flow(9999), TimePoint());
  }
}

// A repeated SYN of an admitted flow must not take a second slot.
TEST_CASE("work_tracker: a flow takes one slot from admission to response") {
  WorkTracker tracker;
  tracker.Reserve(Flow(1), TimePoint());
  tracker.Reserve(Flow(1), TimePoint());
  CHECK(tracker.reserved() == 1);
  tracker.OnRequest(Flow(1), TimePoint(milliseconds(6)));
  tracker.OnRequest(Flow(1), TimePoint(milliseconds(7)));
  CHECK(tracker.reserved() == 0);
  CHECK(tracker.busy() == 1);
  const auto work =
      tracker.OnAnswerComplete(Flow(1), TimePoint(milliseconds(26)));
  CHECK(work == WorkTracker::Duration(milliseconds(20)));
  CHECK(tracker.used() == 0);
  CHECK_FALSE(tracker.OnAnswerComplete(Flow(1), TimePoint(milliseconds(27))));
}

// A caller that connects and stays silent would hold a slot for hours.
TEST_CASE("work_tracker: a reservation without request ends") {
  WorkTracker tracker;
  tracker.Reserve(Flow(1), TimePoint());
  tracker.Expire(TimePoint(milliseconds(199)));
  CHECK(tracker.used() == 1);
  tracker.Expire(TimePoint(milliseconds(200)));
  CHECK(tracker.used() == 0);
  // A late request counts all the same, because it reaches the upstream.
  tracker.OnRequest(Flow(1), TimePoint(milliseconds(300)));
  CHECK(tracker.busy() == 1);
}

// The old reservation's end must not free the slot of a new one.
TEST_CASE(
    "work_tracker: an ended flow's reservation does not end a later one") {
  WorkTracker tracker;
  tracker.Reserve(Flow(1), TimePoint());
  CHECK(tracker.OnFlowEnd(Flow(1)));
  tracker.Reserve(Flow(1), TimePoint(milliseconds(150)));
  tracker.Expire(TimePoint(milliseconds(250)));
  CHECK(tracker.used() == 1);
}

// Waiting for the acknowledgment kept each slot in use 6 ms too long.
TEST_CASE("work_tracker: a pushed response frees the slot") {
  WorkTracker tracker;
  EarnTrust(&tracker);
  tracker.OnRequest(Flow(1), TimePoint());
  tracker.OnAnswerSegment(Flow(1), false, TimePoint());
  CHECK(tracker.busy() == 1);
  tracker.OnAnswerSegment(Flow(1), true, TimePoint());
  CHECK(tracker.busy() == 0);
  tracker.OnAnswerSegment(Flow(1), false, TimePoint());
  CHECK(tracker.busy() == 1);
}

// A streaming upstream pushes in the middle of its work; counting it as free
// would give it more requests than slots.
TEST_CASE(
    "work_tracker: an upstream that goes on after pushes is not trusted") {
  WorkTracker tracker;
  EarnTrust(&tracker);
  for (int i = 0; i < 16; ++i) {
    tracker.OnRequest(Flow(1), TimePoint());
    tracker.OnAnswerSegment(Flow(1), true, TimePoint());
    tracker.OnAnswerSegment(Flow(1), true, TimePoint());
    tracker.OnAnswerComplete(Flow(1), TimePoint());
  }
  tracker.OnRequest(Flow(1), TimePoint());
  tracker.OnAnswerSegment(Flow(1), true, TimePoint());
  CHECK(tracker.busy() == 1);
}

// A slot that leaks is lost until the sidecar restarts.
TEST_CASE("work_tracker: slots never leak and never get negative") {
  CHECK(Holds([](const std::vector<std::pair<uint8_t, uint8_t>>& steps) {
    WorkTracker tracker;
    TimePoint now;
    for (const auto& [what, port] : steps) {
      now += milliseconds(what);
      const request::FlowKey flow = Flow(port % 8);
      switch (what % 7) {
        case 0:
        case 1:
          tracker.Reserve(flow, now);
          break;
        case 2:
          tracker.OnRequest(flow, now);
          break;
        case 3:
          tracker.OnAnswerSegment(flow, port % 2 == 0, now);
          break;
        case 4:
          tracker.OnAnswerComplete(flow, now);
          break;
        case 5:
          tracker.OnFlowEnd(flow);
          break;
        default:
          tracker.Expire(now);
      }
      RC_ASSERT(tracker.used() <= 8U);
      uint32_t known = 0;
      for (uint16_t i = 0; i < 8; ++i) {
        known += tracker.HasSlot(Flow(i)) ? 1 : 0;
      }
      RC_ASSERT(tracker.used() <= known);
    }
    for (uint16_t i = 0; i < 8; ++i) {
      tracker.OnFlowEnd(Flow(i));
    }
    RC_ASSERT(tracker.used() == 0U);
  }));
}

}  // namespace
}  // namespace kumquatvalve::connection
