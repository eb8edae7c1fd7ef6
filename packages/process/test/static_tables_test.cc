#include "kumquatvalve/process/static_tables.h"

#include <netinet/in.h>

#include <catch2/catch.hpp>

namespace kumquatvalve::process {
namespace {

constexpr const char* kValidTables = R"({"services": [{"id": 1, "version": 2,
  "addresses": ["10.0.0.1:80"],
  "upstreams": [{"instance": "a", "incarnation": 3, "data": "127.0.0.1:1"}],
  "owner": [0, 0], "backup": [0, 0]}],
  "peers": [{"instance": "a", "incarnation": 4, "state": "dead"}]})";

// Guards against a misread table, which would route packets to another
// upstream.
TEST_CASE("static_tables: parses tables and members") {
  request::Failure failure;
  const auto tables = ParseStaticTables(kValidTables, &failure);
  REQUIRE(tables.has_value());
  const auto* table = tables->services.Find(
      {*request::ParseEndpoint("10.0.0.1:80", &failure), IPPROTO_TCP});
  REQUIRE(table != nullptr);
  CHECK(table->service.value == 1);
  CHECK(table->upstreams[0].incarnation.value == 3);
  const auto id = request::InstanceIdOf(request::InstanceName("a"));
  CHECK(tables->peers.at(id).state == PeerState::kDead);
}

// Guards against accepting malformed files. With a row count that is not a
// power of two, some rows would be unreachable.
TEST_CASE("static_tables: rejects invalid files with a result code") {
  request::Failure failure;
  CHECK_FALSE(ParseStaticTables("{", &failure));
  CHECK(failure.code == request::ResultCode::kWrongType);
  std::string text = kValidTables;
  text.replace(text.find("[0, 0]"), 6, "[0,0,0]");
  CHECK_FALSE(ParseStaticTables(text, &failure));
  CHECK(failure.code == request::ResultCode::kOutOfRange);
  text = kValidTables;
  text.replace(text.find("dead"), 4, "gone");
  CHECK_FALSE(ParseStaticTables(text, &failure));
  CHECK(failure.code == request::ResultCode::kOutOfRange);
}

}  // namespace
}  // namespace kumquatvalve::process
