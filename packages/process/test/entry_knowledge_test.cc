#include "kumquatvalve/process/entry_knowledge.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace kumquatvalve::process {
namespace {

using request::Failure;
using std::chrono::milliseconds;

const EntryKnowledge::TimePoint kNow{std::chrono::hours(1)};

constexpr uint64_t kIncarnationMs = 1000;

// @param name the sidecar's address, followed by "#" and the incarnation if
//   that is another one than `kIncarnationMs`.
version::UpstreamRecord Record(const std::string& name) {
  version::UpstreamRecord record;
  Failure failure;
  const size_t mark = std::min(name.find('#'), name.size());
  record.sidecar =
      *request::ParseEndpoint(name.substr(0, mark) + ":8172", &failure);
  record.service = request::ServiceName("patio");
  record.incarnation_ms =
      mark == name.size() ? kIncarnationMs : std::stoull(name.substr(mark + 1));
  return record;
}

StoredObject RecordObject(const std::string& name, uint64_t version = 1) {
  return {"u/" + name, {version}, name};
}

// The body of a record is its sidecar's address; the body of a configuration is
// its version number. The body "bad" cannot be read.
EntryKnowledge::Codec TestCodec() {
  return {.read_configuration =
              [](const StoredObject& object, std::string*,
                 Failure* failure) -> std::optional<version::RouteMap> {
            if (object.body == "bad") {
              *failure = {request::ResultCode::kWrongType, "scripted"};
              return std::nullopt;
            }
            version::RouteMap map;
            map.revision = object.version;
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
          .record_path =
              [](const request::Endpoint& sidecar) {
                return "u/" + request::ToString(sidecar.address);
              },
          .write_record =
              [](const version::UpstreamRecord& record) {
                const std::string name =
                    request::ToString(record.sidecar.address);
                StoredObject object = RecordObject(name, 0);
                if (record.incarnation_ms != kIncarnationMs) {
                  object.body += "#" + std::to_string(record.incarnation_ms);
                }
                return object;
              }};
}

struct Fixture {
  explicit Fixture(std::function<void()> ask_peers = {})
      : knowledge(TestCodec(), TestOutputs(std::move(ask_peers)), &logger) {}

  EntryKnowledge::Outputs TestOutputs(std::function<void()> ask_peers) {
    return {.routes = [this](auto map) { versions.push_back(map->version); },
            .upstreams = [this](auto records,
                                auto) { upstreams.push_back(records); },
            .unreadable = [this] { ++unreadable; },
            .held_back = [this] { ++held_back; },
            .ask_peers = std::move(ask_peers)};
  }

  std::vector<uint64_t> versions;
  std::vector<std::vector<version::UpstreamRecord>> upstreams;
  int unreadable = 0;
  int held_back = 0;
  Logger logger{"test", LogFormat::kJson, LogLevel::kError};
  EntryKnowledge::TimePoint now = kNow;
  EntryKnowledge knowledge;
};

// An instance that can ask peers.
struct AskingFixture : Fixture {
  AskingFixture() : Fixture([this] { ++asked; }) {}

  int asked = 0;
};

// An entry instance that started after the store had come back from a copy took
// the restored version: it reset flows on a route of the lost one, which the
// other instances had in force.
TEST_CASE(
    "entry_knowledge: a first configuration of a new era waits for the peers") {
  Fixture established;
  established.knowledge.OnConfiguration({"config/main", {7}, "6"}, kNow);
  const StoredObject restored{"config/main", {5, 1}, "3"};
  established.knowledge.OnConfiguration(restored, kNow);
  CHECK(established.versions == std::vector<uint64_t>{6});

  AskingFixture started;
  CHECK_FALSE(started.knowledge.OnConfiguration(restored, kNow));
  CHECK_FALSE(started.knowledge.OnConfiguration(restored, kNow));
  CHECK(started.asked == 1);
  CHECK(started.versions.empty());
  started.knowledge.OnPeerSnapshot(established.knowledge.Snapshot(kNow), kNow);
  started.knowledge.OnPeersAsked(kNow);
  CHECK(started.versions == std::vector<uint64_t>{6});
  CHECK(started.held_back == 1);
  // The operator writes the lost version again.
  started.knowledge.OnConfiguration({"config/main", {9, 1}, "6"}, kNow);
  CHECK(started.versions == std::vector<uint64_t>{6, 6});
}

TEST_CASE(
    "entry_knowledge: a first configuration is taken when no peer has a newer "
    "one") {
  AskingFixture alone;
  CHECK_FALSE(alone.knowledge.OnConfiguration({"c", {5, 1}, "3"}, kNow));
  alone.knowledge.OnPeersAsked(kNow);
  CHECK(alone.versions == std::vector<uint64_t>{3});
  CHECK(alone.held_back == 0);

  Fixture behind;
  behind.knowledge.OnConfiguration({"c", {4}, "2"}, kNow);
  AskingFixture started;
  started.knowledge.OnConfiguration({"c", {5, 1}, "3"}, kNow);
  started.knowledge.OnPeerSnapshot(behind.knowledge.Snapshot(kNow), kNow);
  started.knowledge.OnPeersAsked(kNow);
  CHECK(started.versions.back() == 3);

  // Before the first drill of the store there is nothing to ask for.
  AskingFixture first_era;
  CHECK(first_era.knowledge.OnConfiguration({"c", {5}, "3"}, kNow));
  CHECK(first_era.asked == 0);
}

// Guards against an instance that is never ready: peers that do not reply, or a
// query that ends without a result.
TEST_CASE("entry_knowledge: a first configuration waits for a limited time") {
  AskingFixture f;
  f.knowledge.OnConfiguration({"c", {5, 1}, "3"}, kNow);
  f.knowledge.OnTick(kNow + EntryKnowledge::kMaxPeerWait - milliseconds(1));
  CHECK(f.versions.empty());
  f.knowledge.OnTick(kNow + EntryKnowledge::kMaxPeerWait);
  CHECK(f.versions == std::vector<uint64_t>{3});
  f.knowledge.OnPeersAsked(kNow + EntryKnowledge::kMaxPeerWait);
  CHECK(f.versions.size() == 1);
}

// An entry instance that restarted while the store was unavailable could not
// route packets until the store was back.
TEST_CASE(
    "entry_knowledge: a peer snapshot provides all that a restarted instance "
    "needs") {
  Fixture established;
  established.knowledge.OnConfiguration({"config/main", {7}, "3"}, kNow);
  established.knowledge.OnStoredRecords(
      {{"u/10.0.0.1", RecordObject("10.0.0.1")}}, established.now,
      established.now);
  Fixture restarted;
  CHECK_FALSE(restarted.knowledge.IsComplete());
  restarted.knowledge.OnPeerSnapshot(established.knowledge.Snapshot(kNow),
                                     restarted.now);
  CHECK(restarted.knowledge.IsComplete());
  CHECK_FALSE(restarted.knowledge.NeedsPeers(/*store_answers=*/true));
  CHECK(restarted.knowledge.NeedsPeers(/*store_answers=*/false));
  CHECK(restarted.versions == std::vector<uint64_t>{3});
  REQUIRE(restarted.upstreams.size() == 1);
  CHECK(restarted.upstreams[0].size() == 1);
}

TEST_CASE(
    "entry_knowledge: an empty peer snapshot does not complete the state") {
  Fixture established;
  Fixture restarted;
  restarted.knowledge.OnPeerSnapshot(established.knowledge.Snapshot(kNow),
                                     restarted.now);
  CHECK_FALSE(restarted.knowledge.IsComplete());
  CHECK(restarted.upstreams.empty());
}

TEST_CASE("entry_knowledge: an older configuration from a peer is ignored") {
  Fixture f;
  f.knowledge.OnConfiguration({"config/main", {7}, "3"}, kNow);
  PeerSnapshot snapshot;
  snapshot.configuration = StoredObject{"config/main", {5}, "2"};
  f.knowledge.OnPeerSnapshot(snapshot, f.now);
  snapshot.configuration = StoredObject{"config/main", {9}, "4"};
  f.knowledge.OnPeerSnapshot(snapshot, f.now);
  CHECK(f.versions == std::vector<uint64_t>{3, 4});
}

TEST_CASE(
    "entry_knowledge: an unreadable configuration leaves the previous one in "
    "force") {
  Fixture f;
  CHECK(f.knowledge.OnConfiguration({"config/main", {7}, "3"}, kNow));
  // Flows without a route must not be taken for flows of a removed one.
  CHECK_FALSE(f.knowledge.OnConfiguration({"config/main", {8}, "bad"}, kNow));
  CHECK(f.versions == std::vector<uint64_t>{3});
  CHECK(f.knowledge.Snapshot(kNow).configuration->version.value == 7);
}

// Without announcements, upstreams that started while the store rejected their
// sidecars' writes got no flows.
TEST_CASE("entry_knowledge: an announced upstream is published at once") {
  Fixture f;
  f.knowledge.OnStoredRecords({}, f.now, f.now);
  Failure failure;
  std::string later;
  CHECK(f.knowledge.OnAnnouncedRecord("10.0.0.2", f.now, &later, &failure));
  REQUIRE(f.upstreams.size() == 2);
  CHECK(f.upstreams[1].size() == 1);
  // A repeated announcement publishes nothing.
  CHECK(f.knowledge.OnAnnouncedRecord("10.0.0.2", f.now, &later, &failure));
  CHECK(f.upstreams.size() == 2);
  CHECK_FALSE(f.knowledge.OnAnnouncedRecord("bad", f.now, &later, &failure));
  CHECK(failure.code == request::ResultCode::kWrongType);
}

// During an outage of the store, a sidecar that had restarted kept announcing a
// record that no entry instance used.
TEST_CASE(
    "entry_knowledge: the record in use is returned for one of an earlier "
    "start") {
  Fixture f;
  Failure failure;
  std::string later;
  CHECK(
      f.knowledge.OnAnnouncedRecord("10.0.0.2#5000", f.now, &later, &failure));
  CHECK(later.empty());
  CHECK(
      f.knowledge.OnAnnouncedRecord("10.0.0.2#2600", f.now, &later, &failure));
  CHECK(later == "10.0.0.2#5000");
  later.clear();
  CHECK(
      f.knowledge.OnAnnouncedRecord("10.0.0.2#7000", f.now, &later, &failure));
  CHECK(later.empty());
}

// A single announced record is not a list of all upstreams: publishing it alone
// would refuse the callers of all others.
TEST_CASE(
    "entry_knowledge: an announcement alone does not complete the state") {
  Fixture f;
  Failure failure;
  std::string later;
  CHECK(f.knowledge.OnAnnouncedRecord("10.0.0.2", f.now, &later, &failure));
  CHECK(f.upstreams.empty());
  f.knowledge.OnStoredRecords({{"u/10.0.0.1", RecordObject("10.0.0.1")}}, f.now,
                              f.now);
  REQUIRE(f.upstreams.size() == 1);
  CHECK(f.upstreams[0].size() == 2);
}

// A restarted entry instance did not know an upstream whose record the store
// had just lost, and reset its flows.
TEST_CASE("entry_knowledge: a snapshot has records that were just removed") {
  Fixture f;
  f.knowledge.OnStoredRecords({{"u/10.0.0.1", RecordObject("10.0.0.1")}}, f.now,
                              f.now);
  f.knowledge.OnStoredRecords({}, f.now, f.now);
  CHECK(f.knowledge.Snapshot(f.now).records.size() == 1);
  CHECK(f.knowledge.Snapshot(f.now + milliseconds(2001)).records.empty());
}

TEST_CASE("entry_knowledge: an unreadable record does not block the others") {
  Fixture f;
  f.knowledge.OnStoredRecords(
      {{"u/1", {"u/1", {1}, "bad"}}, {"u/10.0.0.2", RecordObject("10.0.0.2")}},
      f.now, f.now);
  REQUIRE(f.upstreams.size() == 1);
  CHECK(f.upstreams[0].size() == 1);
  CHECK(f.unreadable == 1);
}

// Another writer's copy of a record under a path of its own replaced the record
// of the sidecar that it names.
TEST_CASE(
    "entry_knowledge: a record under another sidecar's path is not used") {
  Fixture f;
  StoredObject copy = RecordObject("10.0.0.1");
  copy.path = "u/10.0.0.9";
  f.knowledge.OnStoredRecords(
      {{"u/10.0.0.1", RecordObject("10.0.0.1")}, {"u/10.0.0.9", copy}}, f.now,
      f.now);
  REQUIRE(f.upstreams.size() == 1);
  CHECK(f.upstreams[0].size() == 1);
  CHECK(f.unreadable == 1);
  PeerSnapshot snapshot;
  snapshot.records = {copy};
  f.knowledge.OnPeerSnapshot(snapshot, f.now);
  CHECK(f.unreadable == 2);
}

// Each change of one record decoded all others again, and logged an unreadable
// one again.
TEST_CASE("entry_knowledge: only changed records are decoded again") {
  Fixture f;
  std::map<std::string, StoredObject> objects = {
      {"u/1", {"u/1", {1}, "bad"}}, {"u/10.0.0.2", RecordObject("10.0.0.2")}};
  f.knowledge.OnStoredRecords(objects, f.now, f.now);
  f.knowledge.OnStoredRecords(objects, f.now, f.now);
  CHECK(f.unreadable == 1);
  objects.at("u/1").version = {2};
  f.knowledge.OnStoredRecords(objects, f.now, f.now);
  CHECK(f.unreadable == 2);
  REQUIRE(f.upstreams.size() == 3);
  CHECK(f.upstreams[2].size() == 1);
  objects.erase("u/10.0.0.2");
  f.knowledge.OnStoredRecords(objects, f.now, f.now);
  CHECK(f.upstreams[3].empty());
}

// After the store had gone back in time, instances that had seen the lost
// configuration ignored the ones that the operator wrote again.
TEST_CASE("entry_knowledge: a configuration of a new era is used") {
  Fixture f;
  f.knowledge.OnConfiguration({"config/main", {110}, "5"}, kNow);
  CHECK(f.knowledge.OnConfiguration({"config/main", {90, 1}, "4"}, kNow));
  CHECK(f.knowledge.OnConfiguration({"config/main", {90, 1}, "4"}, kNow));
  CHECK(f.versions == std::vector<uint64_t>{5});
  CHECK(f.held_back == 1);
  CHECK(f.knowledge.Snapshot(kNow).configuration->body == "5");
  f.knowledge.OnConfiguration({"config/main", {95, 1}, "6"}, kNow);
  CHECK(f.versions == std::vector<uint64_t>{5, 6});
  // Nothing is left to be put in force later.
  f.knowledge.OnTick(kNow + std::chrono::seconds(60));
  CHECK(f.versions.size() == 2);
}

TEST_CASE("entry_knowledge: what is held back is used after 30 s") {
  Fixture f;
  f.knowledge.OnConfiguration({"config/main", {110}, "5"}, kNow);
  f.knowledge.OnConfiguration({"config/main", {90, 1}, "4"}, kNow);
  f.knowledge.OnStoredRecords(
      {{"u/10.0.0.1", {"u/10.0.0.1", {1}, "10.0.0.1#2000"}}}, kNow, kNow);
  f.knowledge.OnStoredRecords(
      {{"u/10.0.0.1", {"u/10.0.0.1", {1, 1}, "10.0.0.1"}}}, kNow, kNow, 1);
  REQUIRE(f.upstreams.back().size() == 1);
  CHECK(f.upstreams.back()[0].incarnation_ms == 2000);
  CHECK(f.held_back == 2);
  f.knowledge.OnTick(kNow + milliseconds(29000));
  CHECK(f.versions == std::vector<uint64_t>{5});
  f.knowledge.OnTick(kNow + milliseconds(30000));
  CHECK(f.versions == std::vector<uint64_t>{5, 4});
  CHECK(f.upstreams.back()[0].incarnation_ms == kIncarnationMs);
}

// An instance of an earlier version of the program has no eras: its
// configuration brought the lost one back.
TEST_CASE("entry_knowledge: of two peers the one of the later era counts") {
  Fixture ahead;
  ahead.knowledge.OnConfiguration({"config/main", {95, 1}, "6"}, kNow);
  Fixture behind;
  behind.knowledge.OnConfiguration({"config/main", {110}, "5"}, kNow);
  ahead.knowledge.OnPeerSnapshot(behind.knowledge.Snapshot(kNow), kNow);
  CHECK(ahead.versions == std::vector<uint64_t>{6});
  Failure failure;
  const auto received = DecodePeerSnapshot(
      EncodePeerSnapshot(ahead.knowledge.Snapshot(kNow)), &failure);
  REQUIRE(received);
  behind.knowledge.OnPeerSnapshot(*received, kNow);
  CHECK(behind.versions == std::vector<uint64_t>{5, 6});
}

}  // namespace
}  // namespace kumquatvalve::process
