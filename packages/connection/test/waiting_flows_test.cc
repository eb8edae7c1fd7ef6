#include "kumquatvalve/connection/waiting_flows.h"

#include <catch2/catch.hpp>
#include <utility>
#include <vector>

namespace kumquatvalve::connection {
namespace {

using std::chrono::milliseconds;

const TimePoint kNow{std::chrono::hours(1)};

WaitingFlow Flow(uint16_t port, milliseconds wait_limit) {
  WaitingFlow flow;
  flow.flow.caller.port = port;
  flow.caller_isn = port + 1000U;
  flow.deadline = kNow + wait_limit;
  flow.bytes.resize(36);
  return flow;
}

TEST_CASE("waiting_flows: flows leave the queue in the order of arrival") {
  WaitingFlows flows;
  CHECK(flows.Push(Flow(1, milliseconds(100))));
  CHECK(flows.Push(Flow(2, milliseconds(100))));
  CHECK(flows.Pop(kNow)->flow.caller.port == 1);
  CHECK(flows.Pop(kNow)->flow.caller.port == 2);
  CHECK_FALSE(flows.Pop(kNow));
}

// Guards against flows that are dropped silently: their callers wait for their
// time limit.
TEST_CASE(
    "waiting_flows: a flow whose deadline has passed is skipped and can be "
    "returned") {
  WaitingFlows flows;
  flows.Push(Flow(1, milliseconds(100)));
  flows.Push(Flow(2, milliseconds(300)));
  CHECK(flows.TakeExpired(kNow + milliseconds(99)).empty());
  CHECK(flows.Pop(kNow + milliseconds(100))->flow.caller.port == 2);
  CHECK_FALSE(flows.Pop(kNow + milliseconds(100)));
  const auto expired = flows.TakeExpired(kNow + milliseconds(100));
  REQUIRE(expired.size() == 1);
  CHECK(expired[0].flow.caller.port == 1);
  CHECK(flows.empty());
}

TEST_CASE("waiting_flows: flows that can be on time go first") {
  WaitingFlows flows;
  flows.Push(Flow(1, milliseconds(500)));
  for (const uint16_t port : {2, 3}) {
    WaitingFlow flow = Flow(port, milliseconds(500));
    flow.on_time_until = kNow + milliseconds(100 * port);
    flows.Push(std::move(flow));
  }
  WaitingFlow on_time = Flow(9, milliseconds(500));
  CHECK(flows.CountAhead(on_time, kNow) == 3);
  on_time.on_time_until = kNow + milliseconds(400);
  CHECK(flows.CountAhead(on_time, kNow) == 2);
  CHECK(flows.Pop(kNow)->flow.caller.port == 2);
  CHECK(flows.CountAhead(on_time, kNow + milliseconds(300)) == 0);
  // It waited too long to be on time, so the order of arrival holds.
  CHECK(flows.Pop(kNow + milliseconds(300))->flow.caller.port == 1);
  CHECK(flows.Pop(kNow + milliseconds(300))->flow.caller.port == 3);
}

WaitingFlow Urgent(uint16_t port, uint8_t priority) {
  WaitingFlow flow = Flow(port, milliseconds(500));
  flow.priority = priority;
  return flow;
}

TEST_CASE(
    "waiting_flows: one turn in four goes to the oldest flow of another "
    "class") {
  WaitingFlows flows;
  flows.Push(Urgent(1, 2));
  flows.Push(Urgent(2, 1));
  for (uint16_t port = 3; port <= 8; ++port) {
    flows.Push(Urgent(port, 0));
  }
  flows.Push(Flow(9, milliseconds(500)));
  std::vector<int> order;
  while (const auto it = flows.Pop(kNow)) {
    order.push_back(it->flow.caller.port);
  }
  CHECK(order == std::vector{3, 4, 5, 1, 6, 7, 8, 2, 9});
}

// Guards against a full queue that returns an urgent flow since it is the
// newest one.
TEST_CASE("waiting_flows: a full queue gives up the flow that is worth least") {
  // Room for 4 flows.
  const OfferState state{.slots = 2, .service_time = milliseconds(50)};
  const auto add = [&](WaitingFlows* flows, const WaitingFlow& flow) {
    const auto [added, evicted] =
        flows->Add(flow, state, milliseconds(100), kNow);
    return std::pair(added, evicted ? evicted->flow.caller.port : 0);
  };
  WaitingFlows flows;
  for (const uint16_t port : {1, 2, 3, 4}) {
    CHECK(add(&flows, Urgent(port, port == 2 ? 4 : 1)) == std::pair(true, 0));
  }
  CHECK(add(&flows, Urgent(5, 0)) == std::pair(true, 2));
  CHECK(add(&flows, Urgent(6, 4)) == std::pair(false, 0));
  // Flows of the most urgent class do not take the share of the others.
  CHECK(add(&flows, Urgent(7, 0)) == std::pair(true, 1));
  CHECK(add(&flows, Urgent(8, 0)) == std::pair(true, 3));
  CHECK(add(&flows, Urgent(9, 0)) == std::pair(false, 0));
  // Without priorities the queue takes the flow up to its limit, as before.
  WaitingFlows unknown;
  for (uint16_t port = 1; port <= 5; ++port) {
    CHECK(add(&unknown, Flow(port, milliseconds(500))).first);
  }
}

struct ReplayResult {
  int on_time = 0;
  int served = 0;
};

// Replays the second after an outage at one upstream with two slots, which work
// slowly while it is cold: all callers of the outage return at once, new ones
// come as before. All have a target of 150 ms and wait for 400 ms.
ReplayResult ReplayReturn(bool on_time_first) {
  constexpr int kSlots = 2;
  constexpr int kWorkMs = 45;
  constexpr int kTargetMs = 150;
  constexpr int kGapMs = 40;
  WaitingFlows flows;
  std::vector<int> arrived_ms;
  const auto push = [&](int now_ms, bool fresh) {
    WaitingFlow flow =
        Flow(static_cast<uint16_t>(arrived_ms.size()), milliseconds(now_ms));
    flow.deadline += milliseconds(400);
    if (fresh && on_time_first) {
      flow.on_time_until = kNow + milliseconds(now_ms + kTargetMs - kWorkMs);
    }
    // The others waited for longer than their target before they arrived.
    arrived_ms.push_back(fresh ? now_ms : now_ms - 200);
    flows.Push(std::move(flow));
  };
  for (int i = 0; i < 30; ++i) {
    push(0, false);
  }
  ReplayResult result;
  std::vector<int> free_at_ms(kSlots, 0);
  for (int now_ms = 0; now_ms < 1000; ++now_ms) {
    if (now_ms % kGapMs == 0) {
      push(now_ms, true);
    }
    for (int& it : free_at_ms) {
      if (it > now_ms) {
        continue;
      }
      const auto flow = flows.Pop(kNow + milliseconds(now_ms));
      if (flow) {
        it = now_ms + kWorkMs;
        const int latency_ms = it - arrived_ms[flow->flow.caller.port];
        ++result.served;
        result.on_time += latency_ms <= kTargetMs ? 1 : 0;
      }
    }
  }
  return result;
}

// A late response has 0.3 of the value of one on time.
double Value(const ReplayResult& result) {
  return result.on_time + 0.3 * (result.served - result.on_time);
}

// In the order of arrival, callers that came after the outage were late too.
TEST_CASE("waiting_flows: new callers are on time after an outage") {
  const ReplayResult by_arrival = ReplayReturn(/*on_time_first=*/false);
  const ReplayResult on_time_first = ReplayReturn(/*on_time_first=*/true);
  INFO("on time " << by_arrival.on_time << ", " << on_time_first.on_time);
  CHECK(on_time_first.on_time >= 23);
  CHECK(by_arrival.on_time < 18);
  // Fewer callers of the outage are served before they give up, but a late
  // response has a third of the value of one on time.
  CHECK(Value(on_time_first) > 1.3 * Value(by_arrival));
}

TEST_CASE("waiting_flows: the packet equals the one that was queued") {
  const WaitingFlow flow = Flow(7, milliseconds(100));
  const request::ParsedPacket packet = flow.ToPacket();
  CHECK(packet.IsFirst());
  CHECK(packet.flow == flow.flow);
  CHECK(packet.sequence == 1007);
  CHECK(packet.bytes.size() == 36);
}

TEST_CASE("waiting_flows: the queue is bounded") {
  WaitingFlows flows;
  for (uint16_t i = 0; i < 1000; ++i) {
    CHECK(flows.Push(Flow(i, milliseconds(100))));
  }
  CHECK_FALSE(flows.Push(Flow(2000, milliseconds(100))));
  CHECK(flows.Contains(Flow(999, {}).flow));
  CHECK(flows.TakeAll().size() == 1000);
  CHECK(flows.empty());
}

}  // namespace
}  // namespace kumquatvalve::connection
