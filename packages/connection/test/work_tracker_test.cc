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

// Completes enough responses that end with their first push for pushes to
// count.
void EndResponsesWithPush(WorkTracker* tracker) {
  for (int i = 0; i < 64; ++i) {
    tracker->OnRequest(Flow(9999), TimePoint());
    tracker->OnAnswerSegment(Flow(9999), true, TimePoint());
    tracker->OnAnswerComplete(Flow(9999), TimePoint());
  }
}

// Guards against a second slot for a retransmitted SYN of an admitted flow.
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

// Guards against a caller that connects, sends nothing and holds a slot for
// hours.
TEST_CASE("work_tracker: a reservation without a request expires") {
  WorkTracker tracker;
  tracker.Reserve(Flow(1), TimePoint());
  tracker.Expire(TimePoint(milliseconds(199)));
  CHECK(tracker.used() == 1);
  tracker.Expire(TimePoint(milliseconds(200)));
  CHECK(tracker.used() == 0);
  // A late request counts nevertheless, because it reaches the upstream.
  tracker.OnRequest(Flow(1), TimePoint(milliseconds(300)));
  CHECK(tracker.busy() == 1);
}

// Guards against a new reservation that is freed when an old one of the same
// flow expires.
TEST_CASE(
    "work_tracker: the expired reservation of an ended flow does not free a "
    "later one") {
  WorkTracker tracker;
  tracker.Reserve(Flow(1), TimePoint());
  CHECK(tracker.OnFlowEnd(Flow(1)));
  tracker.Reserve(Flow(1), TimePoint(milliseconds(150)));
  tracker.Expire(TimePoint(milliseconds(250)));
  CHECK(tracker.used() == 1);
}

// Guards against a slot that stays in use until the acknowledgment, 6 ms too
// long.
TEST_CASE("work_tracker: a pushed response frees the slot") {
  WorkTracker tracker;
  EndResponsesWithPush(&tracker);
  tracker.OnRequest(Flow(1), TimePoint());
  tracker.OnAnswerSegment(Flow(1), false, TimePoint());
  CHECK(tracker.busy() == 1);
  tracker.OnAnswerSegment(Flow(1), true, TimePoint());
  CHECK(tracker.busy() == 0);
  tracker.OnAnswerSegment(Flow(1), false, TimePoint());
  CHECK(tracker.busy() == 1);
}

// An upstream that streams its response pushes in the middle of its work;
// counting the slot as free would give it more requests than slots.
TEST_CASE(
    "work_tracker: pushes are ignored when responses continue after them") {
  WorkTracker tracker;
  EndResponsesWithPush(&tracker);
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

// Guards against leaked slots, which would be unusable until the sidecar
// restarts.
TEST_CASE(
    "work_tracker: slots do not leak and their number is never negative") {
  CHECK(Holds([](const std::vector<std::pair<uint8_t, uint8_t>>& steps) {
    WorkTracker tracker;
    TimePoint now;
    for (const auto& [action, port] : steps) {
      now += milliseconds(action);
      const request::FlowKey flow = Flow(port % 8);
      switch (action % 7) {
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
      uint32_t slots = 0;
      for (uint16_t i = 0; i < 8; ++i) {
        slots += tracker.HasSlot(Flow(i)) ? 1 : 0;
      }
      RC_ASSERT(tracker.used() <= slots);
    }
    for (uint16_t i = 0; i < 8; ++i) {
      tracker.OnFlowEnd(Flow(i));
    }
    RC_ASSERT(tracker.used() == 0U);
  }));
}

}  // namespace
}  // namespace kumquatvalve::connection
