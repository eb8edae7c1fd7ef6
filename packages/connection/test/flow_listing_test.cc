#include "kumquatvalve/connection/flow_listing.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace kumquatvalve::connection {
namespace {

using Word = FlowListing::Word;

const TimePoint kNow{std::chrono::hours(1)};

request::Endpoint Sidecar(int i) {
  request::Failure failure;
  return *request::ParseEndpoint("10.0.0." + std::to_string(i) + ":8172",
                                 &failure);
}

struct Fixture {
  Fixture() { listing.Start({Sidecar(1), Sidecar(2)}, kNow); }

  void Part(int sidecar, std::vector<uint32_t> fingerprints, uint16_t part = 0,
            uint16_t parts = 1, bool inconclusive = false) {
    listing.OnPart(Sidecar(sidecar),
                   {listing.round(), part, parts, inconclusive}, fingerprints);
  }

  FlowListing listing;
};

TEST_CASE("flow_listing: a sidecar denies the flows that it does not list") {
  Fixture f;
  CHECK(f.listing.WordOf(Sidecar(1), 7) == Word::kSilent);
  f.Part(1, {7, 8});
  CHECK(f.listing.WordOf(Sidecar(1), 7) == Word::kMayHold);
  CHECK(f.listing.WordOf(Sidecar(1), 9) == Word::kDenies);
  CHECK_FALSE(f.listing.Finished(kNow));
  f.Part(2, {});
  CHECK(f.listing.Finished(kNow));
}

// A lost datagram must not look like a denial.
TEST_CASE("flow_listing: a sidecar denies nothing until all parts are there") {
  Fixture f;
  f.Part(1, {7}, 0, 2);
  f.Part(1, {7}, 0, 2);
  CHECK(f.listing.WordOf(Sidecar(1), 7) == Word::kMayHold);
  CHECK(f.listing.WordOf(Sidecar(1), 9) == Word::kSilent);
  f.Part(1, {8}, 1, 2);
  CHECK(f.listing.WordOf(Sidecar(1), 9) == Word::kDenies);
}

TEST_CASE("flow_listing: a young sidecar denies nothing") {
  Fixture f;
  f.Part(1, {7}, 0, 1, /*unsure=*/true);
  CHECK(f.listing.WordOf(Sidecar(1), 7) == Word::kMayHold);
  CHECK(f.listing.WordOf(Sidecar(1), 9) == Word::kUnsure);
}

TEST_CASE("flow_listing: answers to an earlier round are ignored") {
  Fixture f;
  const request::FlowList earlier = {f.listing.round(), 0, 1, false};
  f.listing.Start({Sidecar(1)}, kNow);
  f.listing.OnPart(Sidecar(1), earlier, {});
  CHECK(f.listing.WordOf(Sidecar(1), 7) == Word::kSilent);
}

TEST_CASE("flow_listing: a part outside its answer is ignored") {
  Fixture f;
  f.Part(1, {7}, 3, 2);
  f.Part(1, {7}, 0, 0);
  CHECK(f.listing.WordOf(Sidecar(1), 7) == Word::kSilent);
}

TEST_CASE("flow_listing: a round ends without the silent sidecars") {
  Fixture f;
  f.Part(1, {});
  CHECK_FALSE(f.listing.Finished(kNow));
  CHECK(f.listing.Finished(kNow + FlowListing::kLongestRound));
}

}  // namespace
}  // namespace kumquatvalve::connection
