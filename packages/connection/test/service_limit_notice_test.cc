#include "kumquatvalve/connection/service_limit_notice.h"

#include <catch2/catch.hpp>

namespace kumquatvalve::connection {
namespace {

struct Fixture {
  // Number of messages in ten seconds of ticks.
  int CountSent(uint16_t tenths, bool reports_allowance) {
    int sent = 0;
    for (int i = 0; i < 200; ++i) {
      now += std::chrono::milliseconds(50);
      sent += notice.Take(tenths, reports_allowance, now) ? 1 : 0;
    }
    return sent;
  }

  ServiceLimitNotice notice;
  TimePoint now{std::chrono::hours(1)};
};

TEST_CASE("service_limit_notice: nothing is sent without a rate") {
  Fixture f;
  CHECK(f.CountSent(0, false) == 0);
}

// A lost datagram left a cold upstream at the rate of one without
// configuration.
TEST_CASE("service_limit_notice: a new or changed rate is sent three times") {
  Fixture f;
  CHECK(f.CountSent(200, false) == 3);
  CHECK(f.CountSent(200, false) == 0);
  CHECK(f.CountSent(300, false) == 3);
  CHECK(f.CountSent(0, false) == 3);
}

// A sidecar that restarts has no rate, and its upstream's start is unchanged.
TEST_CASE("service_limit_notice: a sidecar with an allowance is told again") {
  Fixture f;
  f.CountSent(200, false);
  CHECK(f.CountSent(200, true) == 10);
}

TEST_CASE(
    "service_limit_notice: a sidecar that limits without need is told so") {
  Fixture f;
  CHECK(f.notice.Take(0, true, f.now));
  CHECK_FALSE(f.notice.Take(0, true, f.now));
}

}  // namespace
}  // namespace kumquatvalve::connection
