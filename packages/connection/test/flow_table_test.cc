#include "kumquatvalve/connection/flow_table.h"

#include <netinet/in.h>
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <optional>
#include <unordered_map>

namespace kumquatvalve::connection {
namespace {

request::FlowKey Key(uint16_t port) {
  request::FlowKey key;
  key.caller.port = port;
  key.protocol = IPPROTO_TCP;
  return key;
}

// Guards against a SYN flood that evicts open flows.
TEST_CASE(
    "flow_table: the oldest half-open flow is evicted, never an open one") {
  std::optional<request::FlowKey> evicted;
  FlowTable table(3, [&](const Flow& flow) { evicted = flow.key; });
  const TimePoint now;
  table.Insert(Key(1), FlowState::kHalfOpen, now);
  table.MoveToState(table.Find(Key(1)), FlowState::kOpen, now);
  table.Insert(Key(2), FlowState::kHalfOpen, now);
  table.Insert(Key(3), FlowState::kHalfOpen, now);
  REQUIRE(table.Insert(Key(4), FlowState::kHalfOpen, now) != nullptr);
  CHECK(evicted == Key(2));
  CHECK(table.Find(Key(1)) != nullptr);
  CHECK(table.size() == 3);
}

// Guards against unbounded memory.
TEST_CASE("flow_table: a table full of open flows rejects a new flow") {
  FlowTable table(1, [](const Flow&) {});
  table.Insert(Key(1), FlowState::kOpen, {});
  CHECK(table.Insert(Key(2), FlowState::kOpen, {}) == nullptr);
  CHECK(table.Find(Key(1)) != nullptr);
}

// A broken link in a queue would lose flows or expire the wrong ones.
TEST_CASE("flow_table: any sequence of operations keeps index and queues") {
  CHECK(rc::check("same as a map", [] {
    FlowTable table(40, [](const Flow&) {});
    std::unordered_map<uint16_t, FlowState> model;
    const auto steps = *rc::gen::inRange(0, 200);
    for (int i = 0; i < steps; ++i) {
      const auto port = *rc::gen::inRange<uint16_t>(0, 30);
      const auto state = static_cast<FlowState>(*rc::gen::inRange(0, 5));
      Flow* flow = table.Find(Key(port));
      RC_ASSERT((flow != nullptr) == model.contains(port));
      if (flow == nullptr) {
        table.Insert(Key(port), state, {});
        model[port] = state;
      } else if (*rc::gen::inRange(0, 3) == 0) {
        table.Erase(flow);
        model.erase(port);
      } else {
        table.MoveToState(flow, state, {});
        model[port] = state;
      }
    }
    RC_ASSERT(table.size() == model.size());
    size_t walked = 0;
    for (size_t i = 0; i < kFlowStates; ++i) {
      const auto state = static_cast<FlowState>(i);
      for (Flow* flow = table.Oldest(state); flow != nullptr;
           flow = table.Oldest(state)) {
        RC_ASSERT(model.at(flow->key.caller.port) == state);
        table.Erase(flow);
        ++walked;
      }
    }
    RC_ASSERT(walked == model.size());
  }));
}

}  // namespace
}  // namespace kumquatvalve::connection
