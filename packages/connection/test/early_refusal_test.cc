#include "kumquatvalve/connection/early_refusal.h"

#include <catch2/catch.hpp>
#include <vector>

#include "kumquatvalve/connection/placement.h"

namespace kumquatvalve::connection {
namespace {

using std::chrono::milliseconds;

ReportedUpstream Upstream(uint16_t work, milliseconds report_age) {
  ReportedUpstream upstream;
  upstream.load.slots = 2;
  upstream.load.in_progress = work;
  upstream.load.service_time_us = 22000;
  upstream.report_age = report_age;
  return upstream;
}

// Today's rule: the least expected wait by the last reports exceeds the limit.
bool IsRefusedToday(const std::vector<ReportedUpstream>& upstreams,
                    milliseconds time_left) {
  std::vector<PlacementCandidate> candidates;
  candidates.reserve(upstreams.size());
  for (const ReportedUpstream& it : upstreams) {
    candidates.push_back(
        {.slots = 2.0,
         .in_progress = static_cast<double>(it.load.in_progress),
         .service_time = milliseconds(22)});
  }
  return !ChooseUpstream(candidates, {.max_expected_wait = time_left}, 1)
              .chosen;
}

constexpr milliseconds kLimit{1200};

TEST_CASE("early_refusal: a service is full when every upstream is") {
  // Behind 106 requests, the response comes after 105 * 11 + 22 ms.
  CHECK_FALSE(
      IsServiceFull(std::vector{Upstream(106, milliseconds(100))}, kLimit));
  CHECK(IsServiceFull(std::vector{Upstream(109, milliseconds(100))}, kLimit));
  CHECK_FALSE(IsServiceFull(std::vector{Upstream(500, milliseconds(100)),
                                        Upstream(10, milliseconds(100))},
                            kLimit));
  CHECK_FALSE(IsServiceFull({}, kLimit));
}

// Guards against refusals by reports from before the upstreams became idle:
// today's rule refuses every flow until the next report.
TEST_CASE("early_refusal: old reports refuse no flow") {
  const std::vector old{Upstream(500, milliseconds(501)),
                        Upstream(500, milliseconds(500))};
  CHECK(IsRefusedToday(old, kLimit));
  CHECK_FALSE(IsServiceFull(old, kLimit));
  CHECK(IsServiceFull(std::vector{old[1]}, kLimit));
  ReportedUpstream never_reported;
  CHECK_FALSE(IsServiceFull(std::vector{never_reported}, kLimit));
}

}  // namespace
}  // namespace kumquatvalve::connection
