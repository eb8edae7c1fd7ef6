#include "kumquatvalve/connection/fair_queue.h"

#include <catch2/catch.hpp>
#include <map>
#include <vector>

#include "property.h"

namespace kumquatvalve::connection {
namespace {

request::FlowKey Flow(uint16_t port) {
  request::FlowKey key;
  key.caller.port = port;
  return key;
}

// Guards against head-of-line blocking of a short request by a bulk transfer.
TEST_CASE("fair_queue: a bulk flow delays another flow by few packets") {
  FairQueue<int> queue;
  for (int i = 0; i < 40; ++i) {
    REQUIRE(queue.Push({1}, Flow(1), 1500, 1));
  }
  REQUIRE(queue.Push({1}, Flow(2), 100, 2));
  REQUIRE(queue.Push({2}, Flow(3), 100, 3));
  std::vector<int> first;
  first.reserve(4);
  for (int i = 0; i < 4; ++i) {
    first.push_back(queue.Pop().value());
  }
  CHECK(std::count(first.begin(), first.end(), 2) == 1);
  CHECK(std::count(first.begin(), first.end(), 3) == 1);
}

// Guards against a larger share for a service with many flows.
TEST_CASE(
    "fair_queue: services share bytes equally whatever their flow count") {
  FairQueue<int> queue;
  for (int i = 0; i < 30; ++i) {
    for (uint16_t port = 0; port < 8; ++port) {
      REQUIRE(queue.Push({1}, Flow(port), 1000, 1));
    }
    REQUIRE(queue.Push({2}, Flow(100), 1000, 2));
  }
  int second = 0;
  for (int i = 0; i < 40; ++i) {
    second += queue.Pop() == 2 ? 1 : 0;
  }
  CHECK(second >= 18);
  CHECK(second <= 22);
}

// With tail drop a full queue would lose packets of the flows that did not fill
// it.
TEST_CASE("fair_queue: a full queue drops the bulk flow's packets") {
  FairQueue<int>::Settings settings;
  settings.max_bytes = 10000;
  settings.max_flow_bytes = 10000;
  FairQueue<int> queue(settings);
  for (int i = 0; i < 10; ++i) {
    REQUIRE(queue.Push({1}, Flow(1), 1000, 1));
  }
  CHECK(queue.Push({1}, Flow(2), 1000, 2));
  CHECK(queue.Push({2}, Flow(3), 1000, 3));
  CHECK_FALSE(queue.Push({1}, Flow(1), 1000, 1));
  CHECK(queue.bytes() == 10000);
  CHECK(queue.dropped() == 3);
}

// A wrong byte count would shrink the queue permanently or let it grow without
// bound.
TEST_CASE("fair_queue: counts match the queued packets and stay in bounds") {
  CHECK(Holds([](const std::vector<std::pair<uint16_t, bool>>& steps) {
    FairQueue<uint16_t>::Settings settings;
    settings.max_bytes = 20000;
    settings.max_flow_bytes = 8000;
    FairQueue<uint16_t> queue(settings);
    uint64_t taken = 0;
    uint64_t pushed = 0;
    for (const auto& [value, pop] : steps) {
      if (pop) {
        taken += queue.Pop() ? 1 : 0;
      } else {
        ++pushed;
        queue.Push({value % 3U}, Flow(value % 7), value % 1501, value);
      }
      RC_ASSERT(queue.bytes() <= 20000U);
      RC_ASSERT(queue.size() + taken + queue.dropped() == pushed);
    }
    while (queue.Pop()) {
    }
    RC_ASSERT(queue.size() == 0U);
    RC_ASSERT(queue.bytes() == 0U);
  }));
}

}  // namespace
}  // namespace kumquatvalve::connection
