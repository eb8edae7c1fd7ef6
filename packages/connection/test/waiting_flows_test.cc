#include "kumquatvalve/connection/waiting_flows.h"

#include <catch2/catch.hpp>

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

TEST_CASE("waiting_flows: a flow whose deadline has passed is skipped") {
  WaitingFlows flows;
  flows.Push(Flow(1, milliseconds(100)));
  flows.Push(Flow(2, milliseconds(300)));
  CHECK(flows.Pop(kNow + milliseconds(100))->flow.caller.port == 2);
  CHECK(flows.empty());
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
