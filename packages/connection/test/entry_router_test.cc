#include "kumquatvalve/connection/entry_router.h"

#include <netinet/in.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace kumquatvalve::connection {
namespace {

using request::HopKind;
using request::ReturnReason;
using std::chrono::milliseconds;

request::Endpoint At(const std::string& text) {
  request::Failure failure;
  return *request::ParseEndpoint(text, &failure);
}

const request::Endpoint kAddress = At("198.18.0.1:443");

struct Sent {
  request::Endpoint to;
  request::HopMessage message;
  std::vector<std::byte> packet;
};

// Packets are kept by an index that stands in their first byte, so that the
// sink can read them again.
struct Sink {
  void Send(const request::Endpoint& to, const request::HopMessage& message,
            std::span<const std::byte> packet) {
    sent.push_back({to, message, {packet.begin(), packet.end()}});
  }
  void Reset(const request::ParsedPacket& packet) {
    resets.push_back(packet.flow);
  }
  std::optional<request::ParsedPacket> Parse(
      std::span<const std::byte> packet) {
    return packets.at(static_cast<size_t>(packet.front()));
  }
  void RefreshRecords() { ++record_reads; }
  void RemoveRecord(const version::UpstreamRecord& record) {
    removed.push_back(record.sidecar);
  }
  void Decided(const EntryDecision& decision) {
    verdicts.push_back(decision.verdict);
  }

  std::vector<Sent> Of(HopKind kind) const {
    std::vector<Sent> found;
    std::copy_if(sent.begin(), sent.end(), std::back_inserter(found),
                 [&](const Sent& it) { return it.message.kind == kind; });
    return found;
  }

  std::vector<Sent> sent;
  std::vector<request::FlowKey> resets;
  std::vector<request::ParsedPacket> packets;
  std::vector<EntryVerdict> verdicts;
  int record_reads = 0;
  std::vector<request::Endpoint> removed;
};

version::UpstreamRecord Record(int i, const std::string& zone,
                               const std::string& service = "patio") {
  version::UpstreamRecord record;
  record.sidecar = At("10.0.0." + std::to_string(i) + ":8172");
  record.service = request::ServiceName(service);
  record.zone = request::AvailabilityZone(zone);
  record.instance = "i-" + std::to_string(i);
  record.incarnation_ms = 1000;
  record.slots = 4;
  return record;
}

std::shared_ptr<version::RouteMap> Routes(
    uint64_t revision, const std::string& service = "patio") {
  auto map = std::make_shared<version::RouteMap>();
  map->revision = revision;
  version::Route route;
  route.name = "r";
  route.shares = {
      {request::ServiceName(service), request::ServiceTagOf(service), 1}};
  route.timeout = milliseconds(1000);
  map->routes[kAddress] = route;
  return map;
}

struct Fixture {
  Fixture() {
    router.OnRoutes(Routes(1));
    records = {Record(1, "a"), Record(2, "a"), Record(3, "b")};
    router.OnUpstreams(records, now, now);
    for (int i = 1; i <= 3; ++i) {
      Report(i, {});
    }
  }

  request::ParsedPacket Make(uint16_t port) {
    request::ParsedPacket packet;
    packet.flow = {{At("100.64.0.7:1").address, port}, kAddress, IPPROTO_TCP};
    packet.sequence = 77;
    return packet;
  }
  void Feed(request::ParsedPacket packet) {
    const auto index = static_cast<std::byte>(sink.packets.size());
    bytes.push_back(std::make_unique<std::vector<std::byte>>(36, index));
    packet.bytes = *bytes.back();
    sink.packets.push_back(packet);
    router.OnCallerPacket(packet, now);
  }
  void Syn(uint16_t port, uint32_t copy = 0) {
    auto packet = Make(port);
    packet.syn = true;
    packet.acknowledgment = copy;
    Feed(packet);
  }
  void Data(uint16_t port) {
    auto packet = Make(port);
    packet.ack = true;
    packet.acknowledgment = 501;
    packet.payload_size = 100;
    Feed(packet);
  }
  void Message(int from, HopKind kind, uint16_t port = 0,
               ReturnReason reason = ReturnReason::kNone,
               std::vector<std::byte> packet = {}) {
    request::HopMessage message;
    message.kind = kind;
    message.service = request::ServiceTagOf("patio");
    message.reason = reason;
    message.flow = Make(port).flow;
    router.OnHopMessage(Record(from, "a").sidecar, message, packet, now);
  }
  void Report(int from, request::UpstreamLoad load,
              const char* service = "patio") {
    request::HopMessage message;
    message.kind = HopKind::kLoad;
    message.service = request::ServiceTagOf(service);
    message.load = load;
    message.load.slots = 4;
    message.load.service_time_us = 30000;
    router.OnHopMessage(Record(from, "a").sidecar, message, {}, now);
  }
  // Sidecars answer greetings; those in `silent` do not.
  void Wait(milliseconds time, const std::set<int>& silent = {}) {
    for (const TimePoint end = now + time; now < end;) {
      now += milliseconds(50);
      for (int i = 1; i <= 3; ++i) {
        if (silent.count(i) == 0) {
          Report(i, {});
        }
      }
      router.OnTick(now);
    }
  }
  Sent Last() const { return sink.Of(HopKind::kPacket).back(); }

  Sink sink;
  TimePoint now{std::chrono::hours(1)};
  std::vector<version::UpstreamRecord> records;
  std::vector<std::unique_ptr<std::vector<std::byte>>> bytes;
  EntryRouter<Sink> router{{request::AvailabilityZone("a"), 1000, 1}, &sink};
};

TEST_CASE("entry_router: packets of a flow follow its first packet") {
  Fixture f;
  f.Syn(1);
  const auto holder = f.Last().to;
  f.Data(1);
  f.Data(1);
  CHECK(f.sink.Of(HopKind::kPacket).size() == 3);
  CHECK(f.Last().to == holder);
  CHECK(f.sink.Of(HopKind::kLocate).empty());
}

TEST_CASE("entry_router: an address without a route is reset at once") {
  Fixture f;
  auto packet = f.Make(1);
  packet.flow.service.port = 444;
  packet.syn = true;
  f.Feed(packet);
  CHECK(f.sink.resets.size() == 1);
  CHECK(f.sink.Of(HopKind::kPacket).empty());
}

TEST_CASE("entry_router: a removed route ends its open flows") {
  Fixture f;
  f.Syn(1);
  f.Data(1);
  auto empty = std::make_shared<version::RouteMap>();
  empty->revision = 2;
  f.router.OnRoutes(empty);
  const size_t before = f.sink.Of(HopKind::kPacket).size();
  f.Data(1);
  CHECK(f.sink.resets.size() == 1);
  CHECK(f.sink.Of(HopKind::kPacket).size() == before);
}

// An instance that restarted while the store was away had an older version from
// a peer and reset flows on a route that it did not know.
TEST_CASE(
    "entry_router: an open flow without a route is not reset while a newer "
    "version may have it") {
  Fixture f;
  f.router.OnRoutesState(false);
  auto packet = f.Make(1);
  packet.flow.service.port = 444;
  packet.ack = true;
  packet.payload_size = 100;
  f.Feed(packet);
  CHECK(f.sink.resets.empty());
  // A caller whose first packet is reset tries again, perhaps elsewhere.
  packet.ack = false;
  packet.syn = true;
  f.Feed(packet);
  CHECK(f.sink.resets.size() == 1);
  f.router.OnRoutesState(true);
  packet.syn = false;
  packet.ack = true;
  f.Feed(packet);
  CHECK(f.sink.resets.size() == 2);
}

TEST_CASE("entry_router: an older version of the routes is ignored") {
  Fixture f;
  CHECK(f.router.OnRoutes(Routes(5, "evidencia")));
  CHECK_FALSE(f.router.OnRoutes(Routes(4, "patio")));
  CHECK(f.router.routes()->revision == 5);
}

TEST_CASE("entry_router: a returned first packet goes to another upstream") {
  Fixture f;
  f.Syn(1);
  const Sent first = f.Last();
  f.router.OnHopMessage(first.to,
                        {.kind = HopKind::kReturned,
                         .service = request::ServiceTagOf("patio"),
                         .reason = ReturnReason::kDraining},
                        first.packet, f.now);
  CHECK(f.Last().to != first.to);
  CHECK(f.sink.resets.empty());
  // The upstream that returned it gets no further flow.
  for (uint16_t i = 10; i < 30; ++i) {
    f.Syn(i);
    CHECK(f.Last().to != first.to);
  }
}

TEST_CASE("entry_router: a flow that no upstream takes is reset at once") {
  Fixture f;
  f.Syn(1);
  for (int i = 0; i < 3; ++i) {
    const Sent last = f.Last();
    f.router.OnHopMessage(last.to,
                          {.kind = HopKind::kReturned,
                           .service = request::ServiceTagOf("patio"),
                           .reason = ReturnReason::kRejected},
                          last.packet, f.now);
  }
  CHECK(f.sink.resets.size() == 1);
  CHECK(f.sink.verdicts.back() == EntryVerdict::kNotTaken);
}

TEST_CASE(
    "entry_router: the holder of a flow that another instance placed is "
    "found") {
  Fixture f;
  f.Data(1);
  f.Data(1);
  CHECK(f.sink.Of(HopKind::kLocate).size() == 3);
  CHECK(f.sink.Of(HopKind::kPacket).empty());
  f.Message(1, HopKind::kNotHeld, 1);
  f.Message(2, HopKind::kHeld, 1);
  CHECK(f.sink.Of(HopKind::kPacket).size() == 2);
  CHECK(f.Last().to == Record(2, "a").sidecar);
  f.Data(1);
  CHECK(f.Last().to == Record(2, "a").sidecar);
  CHECK(f.sink.Of(HopKind::kLocate).size() == 3);
}

// The first packet of a search and all denials.
void SearchInVain(Fixture* f) {
  f->Data(1);
  for (int i = 1; i <= 3; ++i) {
    f->Message(i, HopKind::kNotHeld, 1);
  }
}

// All upstreams restarted at once; callers waited for their full time limit
// since nobody told them that their flows were gone, or only at their second
// packet after the restart.
TEST_CASE(
    "entry_router: a flow that nobody holds is reset when the upstream records "
    "are known to be complete") {
  Fixture f;
  f.now += milliseconds(1);
  SearchInVain(&f);
  CHECK(f.sink.resets.empty());
  CHECK(f.sink.Of(HopKind::kPacket).empty());
  CHECK(f.sink.record_reads == 1);
  // Records that were read before the search began prove nothing.
  f.router.OnUpstreams(f.records, f.now - milliseconds(1), f.now);
  CHECK(f.sink.resets.empty());
  f.router.OnUpstreams(f.records, f.now, f.now);
  CHECK(f.sink.resets.size() == 1);
  CHECK(f.sink.verdicts.back() == EntryVerdict::kFlowLost);
  // Another packet of the flow is answered without a search.
  const size_t asked = f.sink.Of(HopKind::kLocate).size();
  f.Data(1);
  CHECK(f.sink.resets.size() == 2);
  CHECK(f.sink.Of(HopKind::kLocate).size() == asked);
}

TEST_CASE(
    "entry_router: a flow is held by an upstream whose record came late") {
  Fixture f;
  f.now += milliseconds(1);
  SearchInVain(&f);
  f.records.push_back(Record(4, "a"));
  f.router.OnUpstreams(f.records, f.now, f.now);
  CHECK(f.sink.Of(HopKind::kLocate).back().to == Record(4, "a").sidecar);
  CHECK(f.sink.resets.empty());
  f.Message(4, HopKind::kHeld, 1);
  CHECK(f.sink.resets.empty());
  CHECK(f.Last().to == Record(4, "a").sidecar);
}

// Answers the last question for all flows with these flows of one sidecar.
void AnswerList(Fixture* f, int from, const std::vector<uint16_t>& ports) {
  request::HopMessage answer;
  answer.kind = HopKind::kFlows;
  answer.list = f->sink.Of(HopKind::kList).back().message.list;
  answer.list.parts = 1;
  std::vector<uint32_t> fingerprints;
  fingerprints.reserve(ports.size());
  for (const uint16_t it : ports) {
    fingerprints.push_back(request::FlowFingerprint(f->Make(it).flow));
  }
  f->router.OnHopMessage(Record(from, "a").sidecar, answer,
                         request::EncodeFingerprints(fingerprints), f->now);
}

// After a loss of power a question for each flow to each sidecar filled the
// links of small instances; answers were lost and callers were not told.
TEST_CASE("entry_router: many flows are searched by one list of each sidecar") {
  Fixture f;
  f.now += milliseconds(1);
  for (uint16_t port = 1; port <= 100; ++port) {
    f.Data(port);
  }
  // The first 8 are asked for one by one.
  CHECK(f.sink.Of(HopKind::kLocate).size() == 24);
  CHECK(f.sink.Of(HopKind::kList).size() == 3);
  f.now += milliseconds(100);
  f.router.OnTick(f.now);
  f.router.OnUpstreams(f.records, f.now, f.now);
  CHECK(f.sink.Of(HopKind::kList).size() == 6);
  AnswerList(&f, 1, {});
  AnswerList(&f, 2, {50});
  CHECK(f.sink.resets.empty());
  AnswerList(&f, 3, {});
  // Only the sidecar that may hold flow 50 is asked for it.
  CHECK(f.sink.resets.size() == 99);
  REQUIRE(f.sink.Of(HopKind::kLocate).size() == 25);
  CHECK(f.sink.Of(HopKind::kLocate).back().to == Record(2, "a").sidecar);
  f.Message(2, HopKind::kHeld, 50);
  CHECK(f.Last().to == Record(2, "a").sidecar);
}

// A list of the upstreams that were known before says nothing about one that
// became known meanwhile.
TEST_CASE(
    "entry_router: one of many flows is held by an upstream whose record came "
    "late") {
  Fixture f;
  f.now += milliseconds(1);
  for (uint16_t port = 1; port <= 100; ++port) {
    f.Data(port);
  }
  f.now += milliseconds(100);
  f.router.OnTick(f.now);
  for (int i = 1; i <= 3; ++i) {
    AnswerList(&f, i, {});
  }
  CHECK(f.sink.resets.empty());
  f.records.push_back(Record(4, "a"));
  f.router.OnUpstreams(f.records, f.now, f.now);
  CHECK(f.sink.resets.empty());
  f.now += milliseconds(100);
  f.router.OnTick(f.now);
  for (int i = 1; i <= 3; ++i) {
    AnswerList(&f, i, {});
  }
  AnswerList(&f, 4, {60});
  CHECK(f.sink.resets.size() == 99);
  CHECK(f.sink.Of(HopKind::kLocate).back().to == Record(4, "a").sidecar);
}

TEST_CASE("entry_router: one read of the records serves many lost flows") {
  Fixture f;
  f.now += milliseconds(1);
  for (uint16_t port = 1; port <= 8; ++port) {
    f.Data(port);
    for (int i = 1; i <= 3; ++i) {
      f.Message(i, HopKind::kNotHeld, port);
    }
  }
  CHECK(f.sink.record_reads == 1);
  f.router.OnUpstreams(f.records, f.now, f.now);
  CHECK(f.sink.resets.size() == 8);
  // A later flow waits for the next read.
  f.now += milliseconds(1);
  f.Data(50);
  for (int i = 1; i <= 3; ++i) {
    f.Message(i, HopKind::kNotHeld, 50);
  }
  CHECK(f.sink.record_reads == 1);
  f.Wait(milliseconds(300));
  CHECK(f.sink.record_reads == 2);
}

// The last packets of a flow that has ended may come when its sidecar has
// forgotten it.
TEST_CASE("entry_router: a packet without payload resets nothing") {
  Fixture f;
  f.now += milliseconds(1);
  auto packet = f.Make(1);
  packet.ack = true;
  f.Feed(packet);
  for (int i = 1; i <= 3; ++i) {
    f.Message(i, HopKind::kNotHeld, 1);
  }
  CHECK(f.sink.resets.empty());
  CHECK(f.sink.verdicts.back() == EntryVerdict::kNotLocated);
  // Callers repeat such packets for long; the store is not asked for them.
  CHECK(f.sink.record_reads == 0);
}

// An answer to an earlier search may come late, so one sidecar can deny twice.
TEST_CASE("entry_router: two denials of one sidecar count once") {
  Fixture f;
  f.Data(1);
  f.Message(1, HopKind::kNotHeld, 1);
  f.Message(1, HopKind::kNotHeld, 1);
  f.Message(2, HopKind::kNotHeld, 1);
  f.router.OnUpstreams(f.records, f.now, f.now);
  CHECK(f.sink.resets.empty());
}

TEST_CASE("entry_router: a sidecar whose answer was lost is asked again") {
  Fixture f;
  f.Data(1);
  f.Message(1, HopKind::kNotHeld, 1);
  f.Message(2, HopKind::kNotHeld, 1);
  f.Wait(milliseconds(200));
  f.Data(1);
  CHECK(f.sink.Of(HopKind::kLocate).size() == 4);
  CHECK(f.sink.Of(HopKind::kLocate).back().to == Record(3, "b").sidecar);
  f.Message(3, HopKind::kHeld, 1);
  CHECK(f.sink.Of(HopKind::kPacket).size() == 2);
}

TEST_CASE("entry_router: a flow is not reset while a sidecar is silent") {
  Fixture f;
  for (int i = 0; i < 5; ++i) {
    f.Data(1);
    f.Message(1, HopKind::kNotHeld, 1);
    f.Message(2, HopKind::kNotHeld, 1);
    f.router.OnUpstreams(f.records, f.now, f.now);
    f.Wait(milliseconds(400), {3});
  }
  CHECK(f.sink.resets.empty());
}

// An instance behind a cut takes all upstreams to be gone.
TEST_CASE("entry_router: a flow is not reset when most sidecars are silent") {
  Fixture f;
  f.Data(2);
  f.Wait(milliseconds(4000), {1, 2, 3});
  f.Data(1);
  f.Message(1, HopKind::kNotHeld, 1);
  f.router.OnUpstreams(f.records, f.now, f.now);
  f.Wait(milliseconds(400), {1, 2, 3});
  CHECK(f.sink.resets.empty());
}

// An instance that had its routes but not yet its upstreams refused callers.
TEST_CASE("entry_router: nothing is refused before the upstreams are known") {
  Fixture f;
  EntryRouter<Sink> router{{request::AvailabilityZone("a"), 1000, 1}, &f.sink};
  router.OnRoutes(Routes(1));
  auto packet = f.Make(1);
  packet.syn = true;
  router.OnCallerPacket(packet, f.now);
  CHECK(f.sink.resets.empty());
}

TEST_CASE(
    "entry_router: only upstreams beside restarted sidecars are probed, and "
    "only when no sidecar knows the flow") {
  Fixture f;
  f.Data(1);
  f.Message(1, HopKind::kNotHeld, 1);
  f.Message(2, HopKind::kInconclusive, 1);
  CHECK(f.sink.Of(HopKind::kPacket).empty());
  f.Message(3, HopKind::kNotHeld, 1);
  REQUIRE(f.sink.Of(HopKind::kPacket).size() == 1);
  CHECK(f.Last().to == Record(2, "a").sidecar);
  CHECK(f.Last().message.probe);
  f.Message(2, HopKind::kHeld, 1);
  CHECK(f.sink.Of(HopKind::kPacket).size() == 1);
}

TEST_CASE("entry_router: a silent sidecar does not stop the search") {
  Fixture f;
  f.Data(1);
  f.Message(2, HopKind::kInconclusive, 1);
  f.Wait(milliseconds(200));
  REQUIRE(f.sink.Of(HopKind::kPacket).size() == 1);
  CHECK(f.Last().to == Record(2, "a").sidecar);
}

TEST_CASE(
    "entry_router: a copy of a first packet goes elsewhere when the first "
    "sidecar is silent, and the caller's choice is asked for") {
  Fixture f;
  f.Syn(1);
  const Sent first = f.Last();
  const std::set<int> silent = {first.to == Record(1, "a").sidecar ? 1 : 2};
  f.Wait(milliseconds(600), silent);
  f.Syn(1, 1);
  CHECK(f.Last().to != first.to);
  f.Data(1);
  CHECK(f.sink.Of(HopKind::kLocate).size() == 3);
}

TEST_CASE("entry_router: a silent sidecar gets no new flow while others do") {
  Fixture f;
  f.Syn(1);
  f.Syn(2);
  f.Wait(milliseconds(600), {1, 2});
  f.Syn(3);
  CHECK(f.Last().to == Record(3, "b").sidecar);
  // When all are silent the reports may be lost: flows are placed all the same.
  f.Wait(milliseconds(2000), {1, 2, 3});
  const size_t before = f.sink.Of(HopKind::kPacket).size();
  f.Syn(4);
  CHECK(f.sink.Of(HopKind::kPacket).size() == before + 1);
  CHECK(f.sink.resets.empty());
}

TEST_CASE(
    "entry_router: a draining upstream gets no flow, not even as the last") {
  Fixture f;
  for (auto& it : f.records) {
    it.draining = true;
  }
  f.router.OnUpstreams(f.records, f.now, f.now);
  f.Syn(1);
  CHECK(f.sink.Of(HopKind::kPacket).empty());
  CHECK(f.sink.resets.size() == 1);
}

TEST_CASE(
    "entry_router: an address that reports another service gets no flow of "
    "the old one") {
  Fixture f;
  f.Report(1, {}, "evidencia");
  for (uint16_t i = 1; i < 20; ++i) {
    f.Syn(i);
    CHECK(f.Last().to != Record(1, "a").sidecar);
  }
}

TEST_CASE(
    "entry_router: flows of a service that a route left are still found") {
  Fixture f;
  f.records.push_back(Record(4, "a", "evidencia"));
  f.router.OnUpstreams(f.records, f.now, f.now);
  f.router.OnRoutes(Routes(2, "evidencia"));
  f.Data(1);
  CHECK(f.sink.Of(HopKind::kLocate).size() == 4);
}

TEST_CASE("entry_router: a port that is used again opens a new flow") {
  Fixture f;
  f.Syn(1);
  f.Data(1);
  auto packet = f.Make(1);
  packet.syn = true;
  packet.sequence = 990077;
  f.Feed(packet);
  CHECK(std::count(f.sink.verdicts.begin(), f.sink.verdicts.end(),
                   EntryVerdict::kPlaced) == 2);
}

// Records outlive machines that lost power; after a restart of all processes a
// part of the first flows was sent to machines that were gone.
TEST_CASE("entry_router: an upstream is used when its sidecar has answered") {
  Fixture f;
  f.records.push_back(Record(4, "a"));
  f.router.OnUpstreams(f.records, f.now, f.now);
  CHECK(f.sink.Of(HopKind::kHello).back().to == Record(4, "a").sidecar);
  for (uint16_t i = 1; i < 30; ++i) {
    f.Syn(i);
    CHECK(f.Last().to != Record(4, "a").sidecar);
  }
  for (int i = 1; i <= 3; ++i) {
    f.Report(i, {.in_progress = 8});
  }
  f.Report(4, {});
  f.Syn(50);
  CHECK(f.Last().to == Record(4, "a").sidecar);
}

TEST_CASE(
    "entry_router: a flow returned for a queue goes where an answer is "
    "expected first, at the latest with the third offer") {
  Fixture f;
  f.Syn(1);
  const Sent first = f.Last();
  CHECK_FALSE(first.message.final_offer);
  for (int i = 1; i <= 3; ++i) {
    f.Report(i, {.in_progress = 4});
  }
  for (int i = 0; i < 2; ++i) {
    const Sent last = f.Last();
    f.router.OnHopMessage(last.to,
                          {.kind = HopKind::kReturned,
                           .service = request::ServiceTagOf("patio"),
                           .reason = ReturnReason::kQueueFull},
                          last.packet, f.now);
  }
  CHECK(f.Last().message.final_offer);
  CHECK(f.sink.resets.empty());
}

// Records of machines that were lost for good kept every denial incomplete, so
// callers waited for their whole time limit.
TEST_CASE("entry_router: the answer of a machine that is gone is not awaited") {
  Fixture f;
  f.records.push_back(Record(4, "a"));
  f.router.OnUpstreams(f.records, f.now, f.now);
  f.Wait(milliseconds(4000));
  SearchInVain(&f);
  f.router.OnUpstreams(f.records, f.now, f.now);
  CHECK(f.sink.resets.size() == 1);
}

// The store lost records of sidecars that lived on: their open flows were
// reset, and they got no new ones until an entry instance restarted.
TEST_CASE("entry_router: an upstream whose record vanished is told") {
  Fixture f;
  f.Syn(1);
  const Sent first = f.Last();
  f.router.OnUpstreams({}, f.now, f.now);
  CHECK(f.sink.Of(HopKind::kUnlisted).size() == 3);
  f.Wait(milliseconds(1100));
  CHECK(f.sink.Of(HopKind::kUnlisted).size() == 6);
  // Its flows go on, and new ones are placed for two seconds.
  f.Data(1);
  CHECK(f.Last().to == first.to);
  f.Syn(2);
  CHECK(f.sink.resets.empty());
  f.Wait(milliseconds(1500));
  f.Syn(3);
  CHECK(f.sink.resets.size() == 1);
  f.Data(1);
  CHECK(f.Last().to == first.to);
  f.router.OnUpstreams(f.records, f.now, f.now);
  f.Syn(4);
  CHECK(f.sink.resets.size() == 1);
}

TEST_CASE("entry_router: an upstream that left is forgotten with its record") {
  Fixture f;
  f.Report(1, {.draining = true});
  f.records.erase(f.records.begin());
  f.router.OnUpstreams(f.records, f.now, f.now);
  CHECK(f.router.upstreams().Find(Record(1, "a").sidecar) == nullptr);
  // One that falls silent without a record is forgotten too.
  f.router.OnUpstreams({}, f.now, f.now);
  f.Syn(9);
  f.Wait(milliseconds(4500), {1, 2, 3});
  CHECK(f.router.upstreams().views().empty());
}

TEST_CASE("entry_router: the record of a machine that is gone is removed") {
  Fixture f;
  // The fixture's seed adds 1 ms to the time.
  f.Wait(milliseconds(70000), {3});
  CHECK(f.sink.removed ==
        std::vector<request::Endpoint>{Record(3, "b").sidecar});
}

TEST_CASE("entry_router: memory for flows is bounded and no flow is refused") {
  Fixture f;
  // The fixture's router remembers 1,000 flows.
  for (uint16_t i = 1; i <= 1500; ++i) {
    auto packet = f.Make(i);
    packet.syn = true;
    const std::vector<std::byte> buf(36);
    packet.bytes = buf;
    f.router.OnCallerPacket(packet, f.now);
    // Reports that the flows have ended.
    for (int n = 1; n <= 3; ++n) {
      f.Report(n, {});
    }
  }
  CHECK(f.router.flows() == 1000);
  CHECK(f.sink.resets.empty());
  CHECK(f.sink.Of(HopKind::kPacket).size() == 1500);
}

}  // namespace
}  // namespace kumquatvalve::connection
