#include "kumquatvalve/process/peer_snapshot.h"

#include <catch2/catch.hpp>
#include <string>

namespace kumquatvalve::process {
namespace {

// A snapshot without the era made the configuration of a store that had gone
// back in time look older than the lost one.
TEST_CASE("peer_snapshot: the era of a configuration is passed on") {
  request::Failure failure;
  PeerSnapshot snapshot;
  snapshot.configuration = {"config/main", {90, 2}, "{}"};
  const auto read = DecodePeerSnapshot(EncodePeerSnapshot(snapshot), &failure);
  REQUIRE(read);
  CHECK(read->configuration == snapshot.configuration);
}

TEST_CASE("peer_snapshot: messages of and for instances without eras") {
  request::Failure failure;
  const std::string earlier =
      R"({"configuration":{"body":"{}","path":"config/main","version":90},)"
      R"("records":[]})";
  const auto read = DecodePeerSnapshot(earlier, &failure);
  REQUIRE(read);
  REQUIRE(read->configuration);
  CHECK(read->configuration->version == request::TableVersion{90, 0});
  CHECK(EncodePeerSnapshot(*read) == earlier);
}

TEST_CASE("peer_snapshot: a configuration with an unreadable era is left out") {
  request::Failure failure;
  const auto read = DecodePeerSnapshot(
      R"({"configuration":{"body":"{}","path":"c","version":9,"era":"x"},)"
      R"("records":[]})",
      &failure);
  REQUIRE(read);
  CHECK_FALSE(read->configuration);
  CHECK(read->skipped.size() == 1);
}

}  // namespace
}  // namespace kumquatvalve::process
