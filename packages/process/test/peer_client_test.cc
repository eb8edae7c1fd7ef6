#include "kumquatvalve/process/peer_client.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "kumquatvalve/process/peer_server.h"

namespace kumquatvalve::process {
namespace {

using request::Failure;
using request::ResultCode;

request::Endpoint Loopback(uint16_t port) {
  Failure failure;
  auto endpoint = *request::ParseEndpoint("127.0.0.1:1", &failure);
  endpoint.port = port;
  return endpoint;
}

struct Fixture {
  Fixture() {
    Failure failure;
    REQUIRE(server.Start(Loopback(0), &failure));
  }

  PeerSnapshot snapshot;
  std::vector<std::string> records;
  PeerServer server{{[this] { return snapshot; },
                     [this](const std::string& record, Failure* failure) {
                       *failure = {ResultCode::kWrongType, "scripted"};
                       records.push_back(record);
                       return record != "bad";
                     }}};
};

TEST_CASE("peer_client: a peer tells what it knows, and only once") {
  Fixture f;
  f.snapshot.configuration = StoredObject{"config/main", {7}, R"({"a":1})"};
  f.snapshot.records = {{"u/1", {3}, "one"}, {"u/2", {4}, "two"}};
  PeerClient client({Loopback(f.server.port())});
  Failure failure;
  auto told = client.Ask(&failure);
  REQUIRE(told);
  CHECK(told->configuration == f.snapshot.configuration);
  CHECK(told->records == f.snapshot.records);
  CHECK_FALSE(client.Ask(&failure));
  CHECK(failure.code == ResultCode::kOk);
  f.snapshot.records.pop_back();
  told = client.Ask(&failure);
  REQUIRE(told);
  CHECK(told->records.size() == 1);
}

TEST_CASE("peer_client: peers are asked in turn and one that is gone is told") {
  Fixture f;
  PeerClient client({Loopback(1), Loopback(f.server.port())});
  Failure failure;
  CHECK_FALSE(client.Ask(&failure));
  CHECK(failure.code == ResultCode::kBadAnswer);
  CHECK(client.Ask(&failure));
}

TEST_CASE("peer_client: a record goes to all peers") {
  Fixture f;
  Fixture other;
  const PeerClient client(
      {Loopback(1), Loopback(f.server.port()), Loopback(other.server.port())});
  Failure failure;
  CHECK(client.Tell("record", &failure) == 2);
  CHECK(failure.code == ResultCode::kBadAnswer);
  CHECK(f.records == std::vector<std::string>{"record"});
  CHECK(other.records == std::vector<std::string>{"record"});
  CHECK(client.Tell("bad", &failure) == 0);
}

TEST_CASE("peer_snapshot: a text of another form is an error") {
  for (const char* text : {"", "[]", "{}", R"({"records":[{"path":1}]})",
                           R"({"records":[],"configuration":{}})"}) {
    Failure failure;
    CHECK_FALSE(DecodePeerSnapshot(text, &failure));
    CHECK(failure.code == ResultCode::kBadAnswer);
  }
}

}  // namespace
}  // namespace kumquatvalve::process
