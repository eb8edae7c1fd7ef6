#include "kumquatvalve/process/call_budget.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <set>

namespace kumquatvalve::process {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using TimePoint = CallBudget::TimePoint;

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

// A caller that retries in a tight loop must not exceed the store's rate limit.
TEST_CASE("call_budget: calls stay within burst and rate") {
  CallBudgetSettings settings;
  settings.calls_per_second = 2;
  settings.burst = 10;
  CallBudget budget(settings, 1);
  int calls = 0;
  for (auto now = kStart; now < kStart + seconds(100); now += milliseconds(1)) {
    if (budget.TryAcquire(now)) {
      ++calls;
      budget.OnResponse();
    }
  }
  CHECK(calls <= 210);
  CHECK(calls >= 205);
}

// Without backoff, thousands of processes would keep an unavailable store busy.
TEST_CASE("call_budget: the backoff grows with consecutive failures") {
  CallBudget budget({.calls_per_second = 1000, .burst = 1000}, 1);
  int calls = 0;
  for (auto now = kStart; now < kStart + seconds(600); now += milliseconds(1)) {
    if (budget.TryAcquire(now)) {
      ++calls;
      budget.OnFailure(now);
    }
  }
  // Five calls before the circuit opens, then at least 15 s between calls once
  // the maximum backoff is reached.
  CHECK(calls <= 50);
  CHECK(calls >= 20);
}

// Processes that lost their store connection at the same moment must not all
// return at the same moment.
TEST_CASE("call_budget: different seeds give different backoffs") {
  std::set<TimePoint> times;
  for (uint64_t seed = 0; seed < 100; ++seed) {
    CallBudget budget({}, seed);
    REQUIRE(budget.TryAcquire(kStart));
    budget.OnFailure(kStart);
    times.insert(budget.NextCallAt(kStart));
  }
  CHECK(times.size() > 90);
}

// A circuit that never closes would cut a process off although the store is
// back.
TEST_CASE("call_budget: a successful trial call closes the circuit") {
  CallBudget budget({.calls_per_second = 100, .burst = 100}, 1);
  auto now = kStart;
  while (!budget.circuit_open()) {
    now = budget.NextCallAt(now);
    REQUIRE(budget.TryAcquire(now));
    budget.OnFailure(now);
  }
  CHECK_FALSE(budget.TryAcquire(now));
  now = budget.NextCallAt(now);
  REQUIRE(budget.TryAcquire(now));
  // Only one trial call is allowed.
  CHECK_FALSE(budget.TryAcquire(now));
  budget.OnResponse();
  CHECK_FALSE(budget.circuit_open());
  CHECK(budget.TryAcquire(now));
}

// A caller that waits until `NextCallAt` and is rejected then would wait
// forever.
TEST_CASE("call_budget: a call at NextCallAt is allowed") {
  CHECK(rc::check("NextCallAt is when TryAcquire succeeds", [] {
    CallBudget budget({}, *rc::gen::arbitrary<uint64_t>());
    auto now = kStart;
    for (int i = 0; i < 60; ++i) {
      now += milliseconds(*rc::gen::inRange(0, 400));
      if (!budget.TryAcquire(now)) {
        const auto next = budget.NextCallAt(now);
        RC_ASSERT(next > now);
        now = next;
        RC_ASSERT(budget.TryAcquire(now));
      }
      if (*rc::gen::inRange(0, 3) == 0) {
        budget.OnFailure(now);
      } else {
        budget.OnResponse();
      }
    }
  }));
}

}  // namespace
}  // namespace kumquatvalve::process
