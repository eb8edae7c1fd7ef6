#include "kumquatvalve/process/announce_server.h"

#include <httplib.h>

#include <array>
#include <catch2/catch.hpp>

namespace kumquatvalve::process {
namespace {

constexpr const char* kValidAnnouncement =
    R"({"team": "shop", "service": "order-desk", "slots": 4,
        "labels": {"build": "7"}})";

// Guards against reporting a repeated announcement as a change, which would
// cost a new table.
TEST_CASE("announce_server: reports each announcement and withdrawal once") {
  AnnounceServer server;
  const std::array<uint8_t, 4> loopback = {127, 0, 0, 1};
  request::Failure failure;
  REQUIRE(server.Start({request::MapIpv4(loopback.data()), 0}, &failure));
  httplib::Client client("127.0.0.1", server.port());
  CHECK_FALSE(server.TakeChange().has_value());
  CHECK(client.Put("/announcement", kValidAnnouncement, "application/json")
            ->status == 200);
  const auto change = server.TakeChange();
  REQUIRE(change.has_value());
  REQUIRE(change->has_value());
  CHECK((*change)->service.text() == "order-desk");
  CHECK((*change)->slots == 4);
  CHECK((*change)->labels.at("build") == "7");
  client.Put("/announcement", kValidAnnouncement, "application/json");
  CHECK_FALSE(server.TakeChange().has_value());
  CHECK(client.Put("/announcement", "{}", "application/json")->status == 400);
  CHECK_FALSE(server.TakeChange().has_value());
  CHECK(client.Delete("/announcement")->status == 200);
  const auto withdrawal = server.TakeChange();
  REQUIRE(withdrawal.has_value());
  CHECK_FALSE(withdrawal->has_value());
}

// Guards against accepting a name with a slash, which would lead into another
// team's subtree of the store.
TEST_CASE("announce_server: rejects invalid announcements with a result code") {
  request::Failure failure;
  CHECK_FALSE(
      ParseAnnouncement(R"({"team": "a/b", "service": "s"})", &failure));
  CHECK(failure.code == request::ResultCode::kBadName);
  CHECK_FALSE(ParseAnnouncement(R"({"team": "a", "service": "s", "slots": 0})",
                                &failure));
  CHECK(failure.code == request::ResultCode::kOutOfRange);
  CHECK_FALSE(ParseAnnouncement(R"({"team": 1, "service": "s"})", &failure));
  CHECK(failure.code == request::ResultCode::kWrongType);
}

}  // namespace
}  // namespace kumquatvalve::process
