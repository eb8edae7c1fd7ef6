#include "kumquatvalve/process/entry_knowledge.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace kumquatvalve::process {
namespace {

using request::Failure;
using std::chrono::milliseconds;

version::UpstreamRecord Record(const std::string& name) {
  version::UpstreamRecord record;
  Failure failure;
  record.sidecar = *request::ParseEndpoint(name + ":8172", &failure);
  record.service = request::ServiceName("patio");
  record.incarnation_ms = 1000;
  return record;
}

StoredObject RecordObject(const std::string& name, uint64_t version = 1) {
  return {"u/" + name, {version}, name};
}

// A record's body is the address of its sidecar; "bad" cannot be read. The body
// of a configuration is the number of its version.
EntryKnowledge::Codec CodecOf() {
  return {.read_configuration =
              [](const StoredObject& object, std::string*,
                 Failure* failure) -> std::optional<version::RouteMap> {
            if (object.body == "bad") {
              *failure = {request::ResultCode::kWrongType, "scripted"};
              return std::nullopt;
            }
            version::RouteMap map;
            map.revision = object.version.value;
            map.version = std::stoull(object.body);
            return map;
          },
          .read_record = [](const std::string& body, Failure* failure)
              -> std::optional<version::UpstreamRecord> {
            if (body == "bad") {
              *failure = {request::ResultCode::kWrongType, "scripted"};
              return std::nullopt;
            }
            return Record(body);
          },
          .write_record =
              [](const version::UpstreamRecord& record) {
                const std::string name =
                    request::ToString(record.sidecar.address);
                return RecordObject(name, 0);
              }};
}

struct Fixture {
  std::vector<uint64_t> versions;
  std::vector<std::vector<version::UpstreamRecord>> upstreams;
  Logger logger{"test", LogFormat::kJson, LogLevel::kError};
  EntryKnowledge::TimePoint now{std::chrono::hours(1)};
  EntryKnowledge knowledge{
      CodecOf(),
      {.routes = [this](auto map) { versions.push_back(map->version); },
       .upstreams = [this](auto records,
                           auto) { upstreams.push_back(records); }},
      &logger};
};

// Entry instances that restarted while the store was away could route nothing
// until it was back.
TEST_CASE("entry_knowledge: a peer tells all that a new instance needs") {
  Fixture old;
  old.knowledge.OnConfiguration({"config/main", {7}, "3"});
  old.knowledge.OnStoredRecords({{"u/10.0.0.1", RecordObject("10.0.0.1")}},
                                old.now);
  Fixture fresh;
  CHECK_FALSE(fresh.knowledge.Complete());
  fresh.knowledge.OnPeer(old.knowledge.Snapshot(), fresh.now);
  CHECK(fresh.knowledge.Complete());
  CHECK_FALSE(fresh.knowledge.NeedsPeers(/*store_answers=*/true));
  CHECK(fresh.knowledge.NeedsPeers(/*store_answers=*/false));
  CHECK(fresh.versions == std::vector<uint64_t>{3});
  REQUIRE(fresh.upstreams.size() == 1);
  CHECK(fresh.upstreams[0].size() == 1);
}

TEST_CASE("entry_knowledge: a peer that knows nothing tells nothing") {
  Fixture old;
  Fixture fresh;
  fresh.knowledge.OnPeer(old.knowledge.Snapshot(), fresh.now);
  CHECK_FALSE(fresh.knowledge.Complete());
  CHECK(fresh.upstreams.empty());
}

TEST_CASE("entry_knowledge: an older configuration of a peer is ignored") {
  Fixture f;
  f.knowledge.OnConfiguration({"config/main", {7}, "3"});
  PeerSnapshot snapshot;
  snapshot.configuration = StoredObject{"config/main", {5}, "2"};
  f.knowledge.OnPeer(snapshot, f.now);
  snapshot.configuration = StoredObject{"config/main", {9}, "4"};
  f.knowledge.OnPeer(snapshot, f.now);
  CHECK(f.versions == std::vector<uint64_t>{3, 4});
}

TEST_CASE(
    "entry_knowledge: an unreadable configuration leaves the one before") {
  Fixture f;
  f.knowledge.OnConfiguration({"config/main", {7}, "3"});
  f.knowledge.OnConfiguration({"config/main", {8}, "bad"});
  CHECK(f.versions == std::vector<uint64_t>{3});
  CHECK(f.knowledge.Snapshot().configuration->version.value == 7);
}

// Upstreams that started while the store turned their sidecars away got no
// flows.
TEST_CASE("entry_knowledge: an announced upstream is used at once") {
  Fixture f;
  f.knowledge.OnStoredRecords({}, f.now);
  Failure failure;
  CHECK(f.knowledge.OnAnnounced("10.0.0.2", f.now, &failure));
  REQUIRE(f.upstreams.size() == 2);
  CHECK(f.upstreams[1].size() == 1);
  // The same again changes nothing.
  CHECK(f.knowledge.OnAnnounced("10.0.0.2", f.now, &failure));
  CHECK(f.upstreams.size() == 2);
  CHECK_FALSE(f.knowledge.OnAnnounced("bad", f.now, &failure));
  CHECK(failure.code == request::ResultCode::kWrongType);
}

// One announced record is no list of all upstreams: callers of the others would
// be refused.
TEST_CASE("entry_knowledge: an announcement alone does not make it complete") {
  Fixture f;
  Failure failure;
  CHECK(f.knowledge.OnAnnounced("10.0.0.2", f.now, &failure));
  CHECK(f.upstreams.empty());
  f.knowledge.OnStoredRecords({{"u/10.0.0.1", RecordObject("10.0.0.1")}},
                              f.now);
  REQUIRE(f.upstreams.size() == 1);
  CHECK(f.upstreams[0].size() == 2);
}

TEST_CASE("entry_knowledge: one unreadable record does not stop the others") {
  Fixture f;
  f.knowledge.OnStoredRecords(
      {{"u/1", {"u/1", {1}, "bad"}}, {"u/2", RecordObject("10.0.0.2")}}, f.now);
  REQUIRE(f.upstreams.size() == 1);
  CHECK(f.upstreams[0].size() == 1);
}

}  // namespace
}  // namespace kumquatvalve::process
