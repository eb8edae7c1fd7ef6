#include "kumquatvalve/connection/flow_listing.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace kumquatvalve::connection {
namespace {

using Result = FlowListing::Result;

const TimePoint kNow{std::chrono::hours(1)};

request::Endpoint Sidecar(int i) {
  request::Failure failure;
  return *request::ParseEndpoint("10.0.0." + std::to_string(i) + ":8172",
                                 &failure);
}

struct Fixture {
  Fixture() { listing.StartRound({Sidecar(1), Sidecar(2)}, kNow); }

  void ReceivePart(int sidecar, std::vector<uint32_t> fingerprints,
                   uint16_t part = 0, uint16_t parts = 1,
                   bool may_miss_flows = false,
                   bool missed_only_first_flows = false) {
    listing.OnReplyPart(
        Sidecar(sidecar),
        {listing.round(), part, parts, may_miss_flows, missed_only_first_flows},
        fingerprints);
  }

  FlowListing listing;
};

TEST_CASE(
    "flow_listing: a sidecar does not hold the flows that are not in its "
    "list") {
  Fixture f;
  CHECK(f.listing.ResultFor(Sidecar(1), 7) == Result::kNoReply);
  f.ReceivePart(1, {7, 8});
  CHECK(f.listing.ResultFor(Sidecar(1), 7) == Result::kMayHold);
  CHECK(f.listing.ResultFor(Sidecar(1), 9) == Result::kNotHeld);
  CHECK_FALSE(f.listing.IsRoundOver(kNow));
  f.ReceivePart(2, {});
  CHECK(f.listing.IsRoundOver(kNow));
}

// A part that was lost must not count as a reply that the flow is not held.
TEST_CASE("flow_listing: an incomplete list does not count as not held") {
  Fixture f;
  f.ReceivePart(1, {7}, 0, 2);
  f.ReceivePart(1, {7}, 0, 2);
  CHECK(f.listing.ResultFor(Sidecar(1), 7) == Result::kMayHold);
  CHECK(f.listing.ResultFor(Sidecar(1), 9) == Result::kNoReply);
  f.ReceivePart(1, {8}, 1, 2);
  CHECK(f.listing.ResultFor(Sidecar(1), 9) == Result::kNotHeld);
}

TEST_CASE(
    "flow_listing: a sidecar that started later than its upstream is "
    "inconclusive") {
  Fixture f;
  f.ReceivePart(1, {7}, 0, 1, /*may_miss_flows=*/true);
  CHECK(f.listing.ResultFor(Sidecar(1), 7) == Result::kMayHold);
  CHECK(f.listing.ResultFor(Sidecar(1), 9) == Result::kInconclusive);
  f.ReceivePart(2, {7}, 0, 1, /*may_miss_flows=*/true,
                /*missed_only_first_flows=*/true);
  CHECK(f.listing.ResultFor(Sidecar(2), 7) == Result::kMayHold);
  CHECK(f.listing.ResultFor(Sidecar(2), 9) ==
        Result::kInconclusiveForFirstFlows);
}

TEST_CASE("flow_listing: replies to an earlier round are ignored") {
  Fixture f;
  const request::FlowList earlier = {f.listing.round(), 0, 1, false};
  f.listing.StartRound({Sidecar(1)}, kNow);
  f.listing.OnReplyPart(Sidecar(1), earlier, {});
  CHECK(f.listing.ResultFor(Sidecar(1), 7) == Result::kNoReply);
}

TEST_CASE("flow_listing: a part with an invalid number is ignored") {
  Fixture f;
  f.ReceivePart(1, {7}, 3, 2);
  f.ReceivePart(1, {7}, 0, 0);
  CHECK(f.listing.ResultFor(Sidecar(1), 7) == Result::kNoReply);
}

TEST_CASE(
    "flow_listing: a round ends at its timeout without the missing replies") {
  Fixture f;
  f.ReceivePart(1, {});
  CHECK_FALSE(f.listing.IsRoundOver(kNow));
  CHECK(f.listing.IsRoundOver(kNow + FlowListing::kRoundTimeout));
}

}  // namespace
}  // namespace kumquatvalve::connection
