#include "kumquatvalve/connection/service_time_estimate.h"

#include <catch2/catch.hpp>

namespace kumquatvalve::connection {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow{std::chrono::hours(1)};

TEST_CASE("service_time_estimate: nothing is known before the first request") {
  ServiceTimeEstimate estimate;
  CHECK(estimate.Value(kNow) == microseconds(0));
  estimate.Add(milliseconds(0), kNow);
  CHECK(estimate.Value(kNow) == microseconds(1));
}

// The first request had the weight of twenty: one long request made an upstream
// look seven times slower than its peers.
TEST_CASE("service_time_estimate: the first requests have equal weights") {
  ServiceTimeEstimate estimate;
  estimate.Add(milliseconds(70), kNow);
  for (int i = 0; i < 9; ++i) {
    estimate.Add(milliseconds(10), kNow);
  }
  CHECK(estimate.Value(kNow) > microseconds(15990));
  CHECK(estimate.Value(kNow) < microseconds(16010));
}

TEST_CASE("service_time_estimate: a change shows after some twenty requests") {
  ServiceTimeEstimate estimate;
  for (int i = 0; i < 100; ++i) {
    estimate.Add(milliseconds(10), kNow);
  }
  for (int i = 0; i < 20; ++i) {
    estimate.Add(milliseconds(50), kNow);
  }
  CHECK(estimate.Value(kNow) > milliseconds(30));
}

// An upstream that had been slow got no more requests, so that its measured
// time never changed again.
TEST_CASE("service_time_estimate: an idle upstream is measured anew") {
  ServiceTimeEstimate estimate;
  estimate.Add(milliseconds(200), kNow);
  CHECK(estimate.Value(kNow + seconds(5)) == milliseconds(200));
  CHECK(estimate.Value(kNow + milliseconds(5001)) == microseconds(0));
  estimate.Add(milliseconds(10), kNow + seconds(6));
  CHECK(estimate.Value(kNow + seconds(6)) == milliseconds(10));
}

}  // namespace
}  // namespace kumquatvalve::connection
