#include "kumquatvalve/connection/retry_budget.h"

#include <catch2/catch.hpp>
#include <utility>
#include <vector>

#include "property.h"

namespace kumquatvalve::connection {
namespace {

using std::chrono::seconds;

request::Endpoint Caller(uint8_t last, uint16_t port) {
  request::Endpoint caller;
  caller.address[15] = last;
  caller.port = port;
  return caller;
}

// A retry comes from another port, so identified by port it would count as new.
TEST_CASE("retry_budget: a refused caller's next connection is a retry") {
  RetryBudget budget;
  const TimePoint start;
  budget.OnRefused(Caller(1, 1000), start);
  CHECK(budget.IsRetry(Caller(1, 1001), start + seconds(1)));
  CHECK_FALSE(budget.IsRetry(Caller(2, 1000), start + seconds(1)));
  CHECK_FALSE(budget.IsRetry(Caller(1, 1001), start + seconds(11)));
  CHECK(budget.tracked_callers() == 0);
}

// The retry window of a caller that was refused twice starts at the second
// refusal.
TEST_CASE("retry_budget: a second refusal extends the retry window") {
  RetryBudget budget;
  const TimePoint start;
  budget.OnRefused(Caller(1, 1000), start);
  budget.OnRefused(Caller(1, 1001), start + seconds(8));
  CHECK(budget.IsRetry(Caller(1, 1002), start + seconds(15)));
  CHECK_FALSE(budget.IsRetry(Caller(1, 1002), start + seconds(19)));
}

// Unlimited retries would keep a service full after its peak is over.
TEST_CASE("retry_budget: retries stay within the budget") {
  CHECK(Holds([](const std::vector<std::pair<bool, uint8_t>>& steps) {
    RetryBudget budget;
    TimePoint now;
    double allowed = 10;
    double spent = 0;
    for (const auto& [admitted, milliseconds] : steps) {
      now += std::chrono::milliseconds(milliseconds);
      allowed += milliseconds / 1000.0;
      if (admitted) {
        budget.OnAdmitted(now);
        allowed += 0.1;
      } else {
        spent += budget.TrySpend(now) ? 1 : 0;
      }
      RC_ASSERT(spent <= allowed + 1e-6);
      RC_ASSERT(budget.tokens() >= 0);
    }
  }));
}

// Guards against memory exhaustion by callers from many addresses.
TEST_CASE("retry_budget: tracks a bounded number of callers") {
  RetryBudget::Settings settings;
  settings.max_callers = 10;
  RetryBudget budget(settings);
  for (uint8_t i = 0; i < 100; ++i) {
    budget.OnRefused(Caller(i, 1), TimePoint());
  }
  CHECK(budget.tracked_callers() == 10);
}

}  // namespace
}  // namespace kumquatvalve::connection
