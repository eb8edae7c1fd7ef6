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
  std::string later_record;
  std::string address_history = "{}";
  PeerServer server{
      {[this] { return snapshot; }, [this] { return address_history; },
       [this](const std::string& record, std::string* later, Failure* failure) {
         *failure = {ResultCode::kWrongType, "scripted"};
         records.push_back(record);
         *later = later_record;
         return record != "bad";
       }}};
};

TEST_CASE("peer_client: an unchanged snapshot is not fetched again") {
  Fixture f;
  f.snapshot.configuration = StoredObject{"config/main", {7}, R"({"a":1})"};
  f.snapshot.records = {{"u/1", {3}, "one"}, {"u/2", {4}, "two"}};
  PeerClient client({Loopback(f.server.port())});
  Failure failure;
  auto fetched = client.FetchSnapshot(&failure);
  REQUIRE(fetched);
  CHECK(fetched->configuration == f.snapshot.configuration);
  CHECK(fetched->records == f.snapshot.records);
  CHECK_FALSE(client.FetchSnapshot(&failure));
  CHECK(failure.code == ResultCode::kOk);
  f.snapshot.records.pop_back();
  fetched = client.FetchSnapshot(&failure);
  REQUIRE(fetched);
  CHECK(fetched->records.size() == 1);
}

TEST_CASE(
    "peer_client: peers are queried in turn and an unreachable one is an "
    "error") {
  Fixture f;
  PeerClient client({Loopback(1), Loopback(f.server.port())});
  Failure failure;
  CHECK_FALSE(client.FetchSnapshot(&failure));
  CHECK(failure.code == ResultCode::kBadAnswer);
  const auto fetched = client.FetchSnapshot(&failure);
  INFO(ToString(failure));
  CHECK(fetched);
}

TEST_CASE("peer_client: a record is sent to all peers") {
  Fixture f;
  Fixture other;
  const PeerClient client(
      {Loopback(1), Loopback(f.server.port()), Loopback(other.server.port())});
  Failure failure;
  std::vector<std::string> later;
  CHECK(client.SendRecord("record", &later, &failure) == 2);
  CHECK(failure.code == ResultCode::kBadAnswer);
  CHECK(f.records == std::vector<std::string>{"record"});
  CHECK(other.records == std::vector<std::string>{"record"});
  CHECK(client.SendRecord("bad", &later, &failure) == 0);
  CHECK(later.empty());
}

// A sidecar that restarted during an outage of the store did not learn that its
// upstream's record counted as an earlier one.
TEST_CASE("peer_client: a peer returns the record of a later start") {
  Fixture f;
  Fixture other;
  other.later_record = R"({"instance":"i-2"})";
  const PeerClient client(
      {Loopback(f.server.port()), Loopback(other.server.port())});
  Failure failure;
  std::vector<std::string> later;
  CHECK(client.SendRecord("record", &later, &failure) == 2);
  CHECK(later == std::vector<std::string>{other.later_record});
}

// A peer that itself has just started may know less than another one.
TEST_CASE("peer_client: all peers are asked for the history") {
  Fixture young;
  Fixture old;
  Fixture odd;
  young.address_history = R"({"revision":4,"span_ms":5,"uses":[]})";
  old.address_history =
      R"({"revision":3,"span_ms":70000,"uses":[{"address":"198.18.0.1:443",)"
      R"("service":"patio","age_ms":1}]})";
  Failure failure;
  const PeerClient client({Loopback(1), Loopback(young.server.port()),
                           Loopback(odd.server.port()),
                           Loopback(old.server.port())});
  const auto reports = client.FetchAddressHistories(&failure);
  REQUIRE(reports.size() == 2);
  CHECK(reports[0].revision.value == 4);
  CHECK(reports[1].span.count() == 70000);
  CHECK(reports[1].uses.size() == 1);
  CHECK(failure.code == ResultCode::kBadAnswer);
}

TEST_CASE("peer_snapshot: text that is not a snapshot is an error") {
  for (const char* text :
       {"", "[]", "{}", R"({"records":7})", R"({"records":[{"path":"p"})"}) {
    Failure failure;
    CHECK_FALSE(DecodePeerSnapshot(text, &failure));
    CHECK(failure.code == ResultCode::kBadAnswer);
  }
}

// A part of the list, taken for all of it, would end evacuations.
TEST_CASE("peer_snapshot: evacuated zones are read as a whole or not at all") {
  for (const std::string odd :
       {"7", R"({"version":3})", R"({"version":3,"zones":["a",7]})"}) {
    Failure failure;
    const auto snapshot = DecodePeerSnapshot(
        R"({"records":[],"evacuated_zones":)" + odd + "}", &failure);
    REQUIRE(snapshot);
    CHECK_FALSE(snapshot->evacuated_zones);
    CHECK(snapshot->skipped.size() == 1);
  }
}

// One record that a peer could not read made it ignore the whole snapshot.
TEST_CASE("peer_snapshot: an unreadable object does not hide the others") {
  const std::string good = R"({"path":"u/1","version":3,"body":"b"})";
  for (const std::string& odd :
       {std::string(R"({"path":1})"), std::string("7"), std::string("1e400"),
        std::string(200000, '[') + std::string(200000, ']'),
        std::string(R"({"path":"u/2","version":-1,"body":"b"})"),
        std::string(R"({"path":"u/2","version":1e30,"body":"b"})"),
        std::string("{\"path\":\"\xff\",\"version\":1,\"body\":\"b\"}")}) {
    Failure failure;
    std::string text = R"({"configuration":)";
    text.append(odd).append(R"(,"records":[)").append(good).append(",");
    text.append(odd).append(",").append(good).append("]}");
    const auto snapshot = DecodePeerSnapshot(text, &failure);
    REQUIRE(snapshot);
    CHECK_FALSE(snapshot->configuration);
    CHECK(snapshot->records.size() == 2);
    CHECK(snapshot->skipped.size() == 2);
  }
}

}  // namespace
}  // namespace kumquatvalve::process
