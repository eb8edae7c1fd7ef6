#include "kumquatvalve/process/member_lease.h"

#include <catch2/catch.hpp>

namespace kumquatvalve::process {
namespace {

using std::chrono::milliseconds;
using TimePoint = MemberLease::TimePoint;

// Guards against a paused process acting in its old role when it resumes, as it
// would if the lease ran from the arrival of the acknowledgment.
TEST_CASE("member_lease: runs from when the heartbeat was sent") {
  MemberLease lease(milliseconds(1900));
  const TimePoint start{std::chrono::hours(1)};
  CHECK_FALSE(lease.Valid(start));
  lease.OnAcknowledged(start);
  CHECK(lease.Valid(start + milliseconds(1899)));
  CHECK_FALSE(lease.Valid(start + milliseconds(1900)));
}

// Guards against a delayed acknowledgment shortening the lease.
TEST_CASE("member_lease: acknowledgments may arrive in any order") {
  MemberLease lease(milliseconds(1900));
  const TimePoint start{std::chrono::hours(1)};
  lease.OnAcknowledged(start + milliseconds(1000));
  lease.OnAcknowledged(start);
  CHECK(lease.until() == start + milliseconds(2900));
}

}  // namespace
}  // namespace kumquatvalve::process
