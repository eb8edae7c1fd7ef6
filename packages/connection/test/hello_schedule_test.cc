#include "kumquatvalve/connection/hello_schedule.h"

#include <catch2/catch.hpp>

namespace kumquatvalve::connection {
namespace {

using std::chrono::milliseconds;

double HellosPerSecond(size_t same_zone, size_t other_zones) {
  HelloSchedule schedule;
  schedule.SetUpstreams(same_zone, other_zones);
  const auto rate = [&schedule](size_t upstreams, bool same) {
    return static_cast<double>(upstreams) * 1000 /
           static_cast<double>(schedule.Interval(same, false).count());
  };
  return rate(same_zone, true) + rate(other_zones, false);
}

// Every entry instance asked every upstream once a second: 4,700 messages a
// second from each of 500 instances at the target's size.
TEST_CASE("hello_schedule: the rate is bounded in large fleets") {
  // 30, 100 and 300 machines, and the target's 4,700 upstreams in five zones.
  CHECK(HellosPerSecond(4, 16) == 20);
  CHECK(HellosPerSecond(12, 36) == 48);
  CHECK(HellosPerSecond(34, 170) <= 84);
  CHECK(HellosPerSecond(940, 3760) <= 100);
}

TEST_CASE("hello_schedule: small fleets and the own zone ask every second") {
  HelloSchedule schedule;
  CHECK(schedule.Interval(true, false) == milliseconds(1000));
  schedule.SetUpstreams(34, 170);
  CHECK(schedule.Interval(true, false) == milliseconds(1000));
  CHECK(schedule.Interval(false, false) == milliseconds(3400));
}

// One lost datagram would make an upstream look dead, which is decided 3 s
// after the first message without a reaction.
TEST_CASE("hello_schedule: an upstream that is silent is asked every second") {
  HelloSchedule schedule;
  schedule.SetUpstreams(940, 3760);
  CHECK(schedule.Interval(true, true) == milliseconds(1000));
  CHECK(schedule.Interval(false, true) == milliseconds(1000));
}

}  // namespace
}  // namespace kumquatvalve::connection
