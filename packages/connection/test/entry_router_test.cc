#include "kumquatvalve/connection/entry_router.h"

#include <netinet/in.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kumquatvalve::connection {
namespace {

using request::HopKind;
using request::ReturnReason;
using std::chrono::milliseconds;

request::Endpoint MakeEndpoint(const std::string& text) {
  request::Failure failure;
  return *request::ParseEndpoint(text, &failure);
}

const request::Endpoint kServiceAddress = MakeEndpoint("198.18.0.1:443");

struct Sent {
  request::Endpoint to;
  request::HopMessage message;
  std::vector<std::byte> packet;
};

// Packets are stored under an index in their first byte, by which `Parse` finds
// them.
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
  void RenewRecordWatch() { ++watch_renewals; }
  void RefreshRoutes() { ++route_reads; }
  void AskPeers() { ++peer_queries; }
  void RemoveRecord(const version::UpstreamRecord& record) {
    removed.push_back(record.sidecar);
  }
  void RecordDecision(const EntryDecision& decision) {
    verdicts.push_back(decision.verdict);
    last_decision = decision;
  }

  std::vector<Sent> SentOfKind(HopKind kind) const {
    std::vector<Sent> found;
    std::copy_if(sent.begin(), sent.end(), std::back_inserter(found),
                 [&](const Sent& it) { return it.message.kind == kind; });
    return found;
  }

  std::vector<Sent> sent;
  std::vector<request::FlowKey> resets;
  std::vector<request::ParsedPacket> packets;
  std::vector<EntryVerdict> verdicts;
  EntryDecision last_decision;
  int record_reads = 0;
  int route_reads = 0;
  int watch_renewals = 0;
  int peer_queries = 0;
  std::vector<request::Endpoint> removed;
};

version::UpstreamRecord Record(int i, const std::string& zone,
                               const std::string& service = "patio") {
  version::UpstreamRecord record;
  record.sidecar = MakeEndpoint("10.0.0." + std::to_string(i) + ":8172");
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
  map->revision = {revision};
  version::Route route;
  route.name = "r";
  route.shares = {
      {request::ServiceName(service), request::ServiceTagOf(service), 1}};
  route.timeout = milliseconds(1000);
  map->routes[kServiceAddress] = route;
  return map;
}

struct Fixture {
  Fixture()
      : Fixture(Routes(1), {Record(1, "a"), Record(2, "a"), Record(3, "b")}) {}
  Fixture(std::shared_ptr<const version::RouteMap> routes,
          std::vector<version::UpstreamRecord> initial_records)
      : records(std::move(initial_records)), initial_sidecars(records.size()) {
    router.OnRoutes(std::move(routes), now);
    router.OnUpstreamRecords(records, now, now);
    for (size_t i = 0; i < records.size(); ++i) {
      ReportLoad(static_cast<int>(i) + 1, {},
                 records[i].service.text().c_str());
    }
  }

  request::ParsedPacket MakePacket(uint16_t port) {
    request::ParsedPacket packet;
    packet.flow = {{MakeEndpoint("100.64.0.7:1").address, port},
                   kServiceAddress,
                   IPPROTO_TCP};
    packet.sequence = 77;
    return packet;
  }
  void ReceivePacket(request::ParsedPacket packet) {
    const auto index = static_cast<std::byte>(sink.packets.size());
    bytes.push_back(std::make_unique<std::vector<std::byte>>(36, index));
    packet.bytes = *bytes.back();
    sink.packets.push_back(packet);
    router.OnCallerPacket(packet, now);
  }
  void ReceiveSyn(uint16_t port, uint32_t acknowledgment = 0) {
    auto packet = MakePacket(port);
    packet.syn = true;
    packet.acknowledgment = acknowledgment;
    ReceivePacket(packet);
  }
  request::ParsedPacket MakeData(uint16_t port) {
    auto packet = MakePacket(port);
    packet.ack = true;
    packet.acknowledgment = 501;
    packet.payload_size = 100;
    return packet;
  }
  // A packet of an open flow to an address that the routes lack.
  request::ParsedPacket UnroutedData(uint16_t port) {
    auto packet = MakeData(port);
    packet.flow.service.port = 444;
    return packet;
  }
  void ReceiveData(uint16_t port) { ReceivePacket(MakeData(port)); }
  void ReceiveMessage(int from, HopKind kind, uint16_t port = 0,
                      ReturnReason reason = ReturnReason::kNone,
                      std::vector<std::byte> packet = {}) {
    request::HopMessage message;
    message.kind = kind;
    message.service = request::ServiceTagOf("patio");
    message.reason = reason;
    message.flow = MakePacket(port).flow;
    router.OnHopMessage(Record(from, "a").sidecar, message, packet, now);
  }
  void ReportLoad(int from, request::UpstreamLoad load,
                  const char* service = "patio") {
    request::HopMessage message;
    message.kind = HopKind::kLoad;
    message.service = request::ServiceTagOf(service);
    message.load = load;
    message.load.slots = 4;
    message.load.service_time_us = 30000;
    router.OnHopMessage(Record(from, "a").sidecar, message, {}, now);
  }
  // Advances the clock in ticks. All initial sidecars except those in
  // `unresponsive` send load reports.
  void AdvanceTime(milliseconds time, const std::set<int>& unresponsive = {}) {
    for (const TimePoint end = now + time; now < end;) {
      now += milliseconds(50);
      for (size_t i = 0; i < initial_sidecars; ++i) {
        const int n = static_cast<int>(i) + 1;
        if (unresponsive.count(n) == 0) {
          ReportLoad(n, {}, records[i].service.text().c_str());
        }
      }
      router.OnTick(now);
    }
  }
  bool WasSent(HopKind kind, int to) const {
    const auto found = sink.SentOfKind(kind);
    return std::any_of(found.begin(), found.end(), [&](const Sent& it) {
      return it.to == Record(to, "a").sidecar;
    });
  }
  Sent LastPacket() const { return sink.SentOfKind(HopKind::kPacket).back(); }

  Sink sink;
  TimePoint now{std::chrono::hours(1)};
  std::vector<version::UpstreamRecord> records;
  size_t initial_sidecars;
  std::vector<std::unique_ptr<std::vector<std::byte>>> bytes;
  EntryRouter<Sink> router{{request::AvailabilityZone("a"), 1000, 1}, &sink};
};

TEST_CASE(
    "entry_router: packets of a flow go to the upstream of its first packet") {
  Fixture f;
  f.ReceiveSyn(1);
  const auto holder = f.LastPacket().to;
  f.ReceiveData(1);
  f.ReceiveData(1);
  CHECK(f.sink.SentOfKind(HopKind::kPacket).size() == 3);
  CHECK(f.LastPacket().to == holder);
  CHECK(f.sink.SentOfKind(HopKind::kLocate).empty());
}

TEST_CASE(
    "entry_router: a first packet to an address without a route is reset at "
    "once") {
  Fixture f;
  auto packet = f.MakePacket(1);
  packet.flow.service.port = 444;
  packet.syn = true;
  f.ReceivePacket(packet);
  CHECK(f.sink.resets.size() == 1);
  CHECK(f.sink.SentOfKind(HopKind::kPacket).empty());
}

TEST_CASE("entry_router: open flows of a removed route are reset") {
  Fixture f;
  f.ReceiveSyn(1);
  f.ReceiveData(1);
  auto empty = std::make_shared<version::RouteMap>();
  empty->revision = {2};
  f.router.OnRoutes(empty, f.now);
  const size_t before = f.sink.SentOfKind(HopKind::kPacket).size();
  f.ReceiveData(1);
  CHECK(f.sink.resets.size() == 1);
  CHECK(f.sink.SentOfKind(HopKind::kPacket).size() == before);
}

// Guards against resets after a restart without the store: the instance has an
// older version of the routes from a peer, which may lack the route of an open
// flow.
TEST_CASE(
    "entry_router: an open flow without a route is not reset while a newer "
    "version of the routes may exist") {
  Fixture f;
  f.now += milliseconds(1);
  f.ReceivePacket(f.UnroutedData(1));
  CHECK(f.sink.resets.empty());
  CHECK(f.sink.verdicts.back() == EntryVerdict::kRouteUnknown);
  CHECK(f.sink.route_reads == 1);
  // A caller whose first packet is reset retries, perhaps at another instance.
  auto first = f.UnroutedData(2);
  first.ack = false;
  first.syn = true;
  f.ReceivePacket(first);
  CHECK(f.sink.resets.size() == 1);
  // Routes that were read before the packet arrived prove nothing.
  f.router.OnRoutesComplete(f.now - milliseconds(1), f.now);
  CHECK(f.sink.resets.size() == 1);
  f.router.OnRoutesComplete(f.now, f.now);
  CHECK(f.sink.resets.size() == 2);
  CHECK(f.sink.verdicts.back() == EntryVerdict::kNoRoute);
  // The flow's further packets are reset without another read.
  f.ReceivePacket(f.UnroutedData(1));
  CHECK(f.sink.resets.size() == 3);
  CHECK(f.sink.route_reads == 1);
}

// An instance whose link needs some tenths of a second for a new version of the
// routes reset the flows that others had placed on a route that was just added.
TEST_CASE(
    "entry_router: an open flow of a route that was just added is found once "
    "the new routes are in force") {
  Fixture f;
  f.now += milliseconds(1);
  f.ReceivePacket(f.UnroutedData(1));
  f.ReceivePacket(f.UnroutedData(1));
  f.AdvanceTime(milliseconds(300));
  CHECK(f.sink.resets.empty());
  CHECK(f.sink.SentOfKind(HopKind::kLocate).empty());
  auto routes = Routes(2);
  routes->routes[f.UnroutedData(1).flow.service] =
      routes->routes.at(kServiceAddress);
  f.router.OnRoutes(routes, f.now);
  f.AdvanceTime(milliseconds(200));
  CHECK(f.sink.SentOfKind(HopKind::kLocate).size() >= 3);
  request::HopMessage held;
  held.kind = HopKind::kHeld;
  held.service = request::ServiceTagOf("patio");
  held.flow = f.UnroutedData(1).flow;
  f.router.OnHopMessage(Record(2, "a").sidecar, held, {}, f.now);
  CHECK(f.sink.resets.empty());
  CHECK(f.sink.SentOfKind(HopKind::kPacket).size() == 2);
  CHECK(f.LastPacket().to == Record(2, "a").sidecar);
}

// Guards against a read of the whole configuration for each flow of a route
// that was removed before this instance started, and against requests that are
// still run there.
TEST_CASE(
    "entry_router: one read of the routes serves many flows without a route, "
    "and no sidecar is queried for them") {
  Fixture f;
  f.now += milliseconds(1);
  for (uint16_t port = 1; port <= 100; ++port) {
    f.ReceivePacket(f.UnroutedData(port));
  }
  f.now += milliseconds(100);
  f.router.OnTick(f.now);
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  CHECK(f.sink.route_reads == 1);
  f.router.OnRoutesComplete(f.now, f.now);
  CHECK(f.sink.resets.size() == 100);
  CHECK(f.sink.SentOfKind(HopKind::kLocate).empty());
  CHECK(f.sink.SentOfKind(HopKind::kList).empty());
  // A later flow waits for the next read.
  f.now += milliseconds(1);
  f.ReceivePacket(f.UnroutedData(200));
  CHECK(f.sink.route_reads == 1);
  f.AdvanceTime(milliseconds(300));
  CHECK(f.sink.route_reads == 2);
  // No other read begins while that one is in progress.
  f.AdvanceTime(milliseconds(1000));
  CHECK(f.sink.route_reads == 2);
  f.router.OnRoutesComplete(f.now, f.now);
  f.AdvanceTime(milliseconds(1000));
  CHECK(f.sink.resets.size() == 101);
  CHECK(f.sink.route_reads == 2);
}

// The sidecars at the addresses belong to another service now; they accept
// packets that are marked for it.
void GiveAllSidecarsToOtherService(Fixture* f) {
  for (version::UpstreamRecord& it : f->records) {
    it.service = request::ServiceName("evidencia");
    it.incarnation_ms += 5000;
  }
  f->records.push_back(Record(9, "a"));
  f->router.OnUpstreamRecords(f->records, f->now, f->now);
  for (int i = 1; i <= 3; ++i) {
    f->ReportLoad(i, {}, "evidencia");
  }
  f->ReportLoad(9, {});
}

// A caller repeated its first packet while another service took over the
// address of the upstream that it had been sent to, and got that service's
// response.
TEST_CASE(
    "entry_router: a repeated first packet does not follow an address to "
    "another service") {
  Fixture f;
  f.ReceiveSyn(1);
  GiveAllSidecarsToOtherService(&f);
  f.ReceiveSyn(1);
  CHECK(f.LastPacket().to == Record(9, "a").sidecar);
  CHECK(f.LastPacket().message.service == request::ServiceTagOf("patio"));
}

TEST_CASE(
    "entry_router: packets of an open flow stay marked for the service that it "
    "was placed at") {
  Fixture f;
  f.ReceiveSyn(1);
  f.ReceiveData(1);
  f.ReceiveData(2);
  f.ReceiveMessage(3, HopKind::kHeld, 2);
  GiveAllSidecarsToOtherService(&f);
  for (const uint16_t port : {1, 2}) {
    f.ReceiveData(port);
    CHECK(f.LastPacket().message.service == request::ServiceTagOf("patio"));
  }
}

TEST_CASE(
    "entry_router: an upstream of another service that took over an address is "
    "not probed") {
  Fixture f;
  f.ReceiveData(1);
  for (int i = 1; i <= 3; ++i) {
    f.ReceiveMessage(i, HopKind::kInconclusive, 1);
    if (i == 1) {
      GiveAllSidecarsToOtherService(&f);
    }
  }
  f.AdvanceTime(milliseconds(400));
  for (const Sent& it : f.sink.SentOfKind(HopKind::kPacket)) {
    CHECK(it.to == Record(9, "a").sidecar);
  }
}

TEST_CASE("entry_router: an older version of the routes is ignored") {
  Fixture f;
  CHECK(f.router.OnRoutes(Routes(5, "evidencia"), f.now));
  CHECK_FALSE(f.router.OnRoutes(Routes(4, "patio"), f.now));
  CHECK(f.router.routes()->revision.value == 5);
}

TEST_CASE(
    "entry_router: a returned first packet is offered to another upstream") {
  Fixture f;
  f.ReceiveSyn(1);
  const Sent first = f.LastPacket();
  f.router.OnHopMessage(first.to,
                        {.kind = HopKind::kReturned,
                         .service = request::ServiceTagOf("patio"),
                         .reason = ReturnReason::kDraining},
                        first.packet, f.now);
  CHECK(f.LastPacket().to != first.to);
  CHECK(f.sink.resets.empty());
  // The draining upstream gets no further flow.
  for (uint16_t i = 10; i < 30; ++i) {
    f.ReceiveSyn(i);
    CHECK(f.LastPacket().to != first.to);
  }
}

TEST_CASE(
    "entry_router: a flow that every upstream returned is reset at once") {
  Fixture f;
  f.ReceiveSyn(1);
  for (int i = 0; i < 3; ++i) {
    const Sent last = f.LastPacket();
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
  f.ReceiveData(1);
  f.ReceiveData(1);
  CHECK(f.sink.SentOfKind(HopKind::kLocate).size() == 3);
  CHECK(f.sink.SentOfKind(HopKind::kPacket).empty());
  f.ReceiveMessage(1, HopKind::kNotHeld, 1);
  f.ReceiveMessage(2, HopKind::kHeld, 1);
  CHECK(f.sink.SentOfKind(HopKind::kPacket).size() == 2);
  CHECK(f.LastPacket().to == Record(2, "a").sidecar);
  f.ReceiveData(1);
  CHECK(f.LastPacket().to == Record(2, "a").sidecar);
  CHECK(f.sink.SentOfKind(HopKind::kLocate).size() == 3);
}

// Starts a search to which every sidecar replies that it does not hold the
// flow.
void SearchWithoutHolder(Fixture* f) {
  f->ReceiveData(1);
  for (int i = 1; i <= 3; ++i) {
    f->ReceiveMessage(i, HopKind::kNotHeld, 1);
  }
}

// A restarted entry instance reset a flow whose upstream's record the store had
// just lost (soak seed 420).
TEST_CASE(
    "entry_router: an instance that has just started asks its peers before it "
    "takes a flow for lost") {
  Fixture f;
  f.router.SetPeersAsked(false);
  f.now += milliseconds(1);
  SearchWithoutHolder(&f);
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  CHECK(f.sink.resets.empty());
  CHECK(f.sink.peer_queries >= 1);
  // A peer knows one more upstream, which holds the flow.
  f.records.push_back(Record(4, "a"));
  f.router.SetPeersAsked(true);
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  CHECK(f.sink.resets.empty());
  f.ReceiveMessage(4, HopKind::kHeld, 1);
  CHECK(f.sink.resets.empty());
  CHECK(f.sink.SentOfKind(HopKind::kPacket).back().to ==
        MakeEndpoint("10.0.0.4:8172"));
}

TEST_CASE("entry_router: a flow is lost when the peers know no holder either") {
  Fixture f;
  f.router.SetPeersAsked(false);
  f.now += milliseconds(1);
  SearchWithoutHolder(&f);
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  f.router.SetPeersAsked(true);
  f.now += milliseconds(200);
  f.router.OnTick(f.now);
  CHECK(f.sink.resets.size() == 1);
}

// Guards against missing or late resets after all upstreams restarted at once:
// callers waited for their full timeout, or got the reset only at their second
// packet after the restart.
TEST_CASE(
    "entry_router: a flow that no upstream holds is reset once the upstream "
    "records are known to be complete") {
  Fixture f;
  f.now += milliseconds(1);
  SearchWithoutHolder(&f);
  CHECK(f.sink.resets.empty());
  CHECK(f.sink.SentOfKind(HopKind::kPacket).empty());
  CHECK(f.sink.record_reads == 1);
  // Records that were read before the search began prove nothing.
  f.router.OnUpstreamRecords(f.records, f.now - milliseconds(1), f.now);
  CHECK(f.sink.resets.empty());
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  CHECK(f.sink.resets.size() == 1);
  CHECK(f.sink.verdicts.back() == EntryVerdict::kFlowLost);
  // The next packet of the flow is reset without another search.
  const size_t queries = f.sink.SentOfKind(HopKind::kLocate).size();
  f.ReceiveData(1);
  CHECK(f.sink.resets.size() == 2);
  CHECK(f.sink.SentOfKind(HopKind::kLocate).size() == queries);
}

TEST_CASE(
    "entry_router: a flow is found at an upstream whose record arrived during "
    "the search") {
  Fixture f;
  f.now += milliseconds(1);
  SearchWithoutHolder(&f);
  f.records.push_back(Record(4, "a"));
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  CHECK(f.sink.SentOfKind(HopKind::kLocate).back().to ==
        Record(4, "a").sidecar);
  CHECK(f.sink.resets.empty());
  f.ReceiveMessage(4, HopKind::kHeld, 1);
  CHECK(f.sink.resets.empty());
  CHECK(f.LastPacket().to == Record(4, "a").sidecar);
}

// Replies to the last list query with these flows of one sidecar.
void ReplyToList(Fixture* f, int from, const std::vector<uint16_t>& ports) {
  request::HopMessage reply;
  reply.kind = HopKind::kFlows;
  reply.list = f->sink.SentOfKind(HopKind::kList).back().message.list;
  reply.list.parts = 1;
  std::vector<uint32_t> fingerprints;
  fingerprints.reserve(ports.size());
  for (const uint16_t it : ports) {
    fingerprints.push_back(request::FlowFingerprint(f->MakePacket(it).flow));
  }
  f->router.OnHopMessage(Record(from, "a").sidecar, reply,
                         request::EncodeFingerprints(fingerprints), f->now);
}

// Guards against saturated links of small instances after a power failure: with
// a query for each flow to each sidecar, replies were lost and flows were not
// reset.
TEST_CASE(
    "entry_router: many searches use one list of flows from each sidecar") {
  Fixture f;
  f.now += milliseconds(1);
  for (uint16_t port = 1; port <= 100; ++port) {
    f.ReceiveData(port);
  }
  // The first 8 searches send a query for each flow.
  CHECK(f.sink.SentOfKind(HopKind::kLocate).size() == 24);
  CHECK(f.sink.SentOfKind(HopKind::kList).size() == 3);
  f.now += milliseconds(100);
  f.router.OnTick(f.now);
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  CHECK(f.sink.SentOfKind(HopKind::kList).size() == 6);
  ReplyToList(&f, 1, {});
  ReplyToList(&f, 2, {50});
  CHECK(f.sink.resets.empty());
  ReplyToList(&f, 3, {});
  // Only the sidecar that may hold flow 50 is queried for it.
  CHECK(f.sink.resets.size() == 99);
  REQUIRE(f.sink.SentOfKind(HopKind::kLocate).size() == 25);
  CHECK(f.sink.SentOfKind(HopKind::kLocate).back().to ==
        Record(2, "a").sidecar);
  f.ReceiveMessage(2, HopKind::kHeld, 50);
  CHECK(f.LastPacket().to == Record(2, "a").sidecar);
}

// A round of lists says nothing about an upstream that became known after the
// round started.
TEST_CASE(
    "entry_router: one of many flows is found at an upstream whose record "
    "arrived during the search") {
  Fixture f;
  f.now += milliseconds(1);
  for (uint16_t port = 1; port <= 100; ++port) {
    f.ReceiveData(port);
  }
  f.now += milliseconds(100);
  f.router.OnTick(f.now);
  for (int i = 1; i <= 3; ++i) {
    ReplyToList(&f, i, {});
  }
  CHECK(f.sink.resets.empty());
  f.records.push_back(Record(4, "a"));
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  CHECK(f.sink.resets.empty());
  f.now += milliseconds(100);
  f.router.OnTick(f.now);
  for (int i = 1; i <= 3; ++i) {
    ReplyToList(&f, i, {});
  }
  ReplyToList(&f, 4, {60});
  CHECK(f.sink.resets.size() == 99);
  CHECK(f.sink.SentOfKind(HopKind::kLocate).back().to ==
        Record(4, "a").sidecar);
}

TEST_CASE("entry_router: one read of the records serves many lost flows") {
  Fixture f;
  f.now += milliseconds(1);
  for (uint16_t port = 1; port <= 8; ++port) {
    f.ReceiveData(port);
    for (int i = 1; i <= 3; ++i) {
      f.ReceiveMessage(i, HopKind::kNotHeld, port);
    }
  }
  CHECK(f.sink.record_reads == 1);
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  CHECK(f.sink.resets.size() == 8);
  // A later flow waits for the next read.
  f.now += milliseconds(1);
  f.ReceiveData(50);
  for (int i = 1; i <= 3; ++i) {
    f.ReceiveMessage(i, HopKind::kNotHeld, 50);
  }
  CHECK(f.sink.record_reads == 1);
  f.AdvanceTime(milliseconds(300));
  CHECK(f.sink.record_reads == 2);
}

// The last packets of an ended flow may arrive after its sidecar has removed
// the flow.
// All upstreams of a service had been replaced while the watch of their records
// was left without a response: the instance refused the service's flows for as
// long as the call waited.
TEST_CASE(
    "entry_router: the watch of the records is renewed when a service has no "
    "upstream") {
  Fixture f(Routes(1, "evidencia"), {Record(1, "a")});
  for (uint16_t port = 1; port <= 100; ++port) {
    f.ReceiveSyn(port);
  }
  CHECK(f.sink.resets.size() == 100);
  CHECK(f.sink.watch_renewals == 1);
  CHECK(f.sink.record_reads == 0);
  f.now += milliseconds(2500);
  f.ReceiveSyn(101);
  CHECK(f.sink.watch_renewals == 2);
  // Flows that a busy or draining upstream returned are no reason.
  Fixture busy;
  busy.ReceiveSyn(1);
  for (int i = 0; i < 3; ++i) {
    const Sent last = busy.LastPacket();
    busy.router.OnHopMessage(last.to,
                             {.kind = HopKind::kReturned,
                              .service = request::ServiceTagOf("patio"),
                              .reason = ReturnReason::kDraining},
                             last.packet, busy.now);
  }
  CHECK(busy.sink.resets.size() == 1);
  CHECK(busy.sink.watch_renewals == 0);
}

// Guards against flows that are refused while the call that waits for changes
// of the records hangs: an upstream's address passed to another service, and
// the only other upstream of the service is full.
TEST_CASE(
    "entry_router: the watch of the records is renewed when a sidecar is of "
    "another service than its record") {
  Fixture f;
  f.ReceiveSyn(1);
  const Sent last = f.LastPacket();
  CHECK(f.sink.watch_renewals == 0);
  f.router.OnHopMessage(last.to,
                        {.kind = HopKind::kReturned,
                         .service = request::ServiceTagOf("evidencia"),
                         .reason = ReturnReason::kWrongService},
                        last.packet, f.now);
  CHECK(f.sink.watch_renewals == 1);
}

TEST_CASE("entry_router: a packet without payload resets nothing") {
  Fixture f;
  f.now += milliseconds(1);
  auto packet = f.MakePacket(1);
  packet.ack = true;
  f.ReceivePacket(packet);
  for (int i = 1; i <= 3; ++i) {
    f.ReceiveMessage(i, HopKind::kNotHeld, 1);
  }
  CHECK(f.sink.resets.empty());
  CHECK(f.sink.verdicts.back() == EntryVerdict::kNotLocated);
  // Callers repeat such packets for a long time; they cause no reads of the
  // store.
  CHECK(f.sink.record_reads == 0);
}

// A reply to an earlier search may arrive late, so one sidecar can send two
// not-held replies.
TEST_CASE("entry_router: two not-held replies of one sidecar count once") {
  Fixture f;
  f.ReceiveData(1);
  f.ReceiveMessage(1, HopKind::kNotHeld, 1);
  f.ReceiveMessage(1, HopKind::kNotHeld, 1);
  f.ReceiveMessage(2, HopKind::kNotHeld, 1);
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  CHECK(f.sink.resets.empty());
}

TEST_CASE("entry_router: a query is repeated when its reply was lost") {
  Fixture f;
  f.ReceiveData(1);
  f.ReceiveMessage(1, HopKind::kNotHeld, 1);
  f.ReceiveMessage(2, HopKind::kNotHeld, 1);
  f.AdvanceTime(milliseconds(200));
  f.ReceiveData(1);
  CHECK(f.sink.SentOfKind(HopKind::kLocate).size() == 4);
  CHECK(f.sink.SentOfKind(HopKind::kLocate).back().to ==
        Record(3, "b").sidecar);
  f.ReceiveMessage(3, HopKind::kHeld, 1);
  CHECK(f.sink.SentOfKind(HopKind::kPacket).size() == 2);
}

TEST_CASE(
    "entry_router: a flow is not reset while the reply of a live sidecar is "
    "missing") {
  Fixture f;
  for (int i = 0; i < 5; ++i) {
    f.ReceiveData(1);
    f.ReceiveMessage(1, HopKind::kNotHeld, 1);
    f.ReceiveMessage(2, HopKind::kNotHeld, 1);
    f.router.OnUpstreamRecords(f.records, f.now, f.now);
    f.AdvanceTime(milliseconds(400), {3});
  }
  CHECK(f.sink.resets.empty());
}

// Guards against an upstream without new flows for good: another writer
// replaced its record by one of another service, and its sidecar believes that
// the store has its own.
TEST_CASE(
    "entry_router: a sidecar whose record names another service is notified") {
  Fixture f(Routes(1), {Record(1, "a"), Record(2, "a", "evidencia")});
  f.records[0].service = request::ServiceName("evidencia");
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  f.records[0].service = request::ServiceName("patio");
  f.AdvanceTime(milliseconds(5000));
  CHECK_FALSE(f.WasSent(HopKind::kUnlisted, 1));
  f.AdvanceTime(milliseconds(10000));
  CHECK(f.WasSent(HopKind::kUnlisted, 1));
  CHECK_FALSE(f.WasSent(HopKind::kUnlisted, 2));

  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  f.sink.sent.clear();
  f.AdvanceTime(milliseconds(15000));
  CHECK(f.sink.SentOfKind(HopKind::kUnlisted).empty());
}

// A sidecar makes no store calls while its record is written, so it does not
// notice by itself that the store has gone back in time.
TEST_CASE(
    "entry_router: a sidecar whose record the store has lost is notified at "
    "once") {
  Fixture f;
  f.records[0].missing_in_store = true;
  f.sink.sent.clear();
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  CHECK(f.WasSent(HopKind::kUnlisted, 1));
  CHECK_FALSE(f.WasSent(HopKind::kUnlisted, 2));
  f.records[0].missing_in_store = false;
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  f.sink.sent.clear();
  f.AdvanceTime(milliseconds(3000));
  CHECK(f.sink.SentOfKind(HopKind::kUnlisted).empty());
}

// An instance that is cut off from the network presumes all upstreams dead.
TEST_CASE(
    "entry_router: a flow is not reset when most sidecars are unresponsive") {
  Fixture f;
  f.ReceiveData(2);
  f.AdvanceTime(milliseconds(4000), {1, 2, 3});
  f.ReceiveData(1);
  f.ReceiveMessage(1, HopKind::kNotHeld, 1);
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  f.AdvanceTime(milliseconds(400), {1, 2, 3});
  CHECK(f.sink.resets.empty());
}

// An entry instance that started after the address of its callers was routed to
// another service: upstreams 1 and 2 are of the earlier one, 3 and 4 of the
// current one.
struct RestartedInstance : Fixture {
  RestartedInstance()
      : Fixture(Routes(1, "evidencia"),
                {Record(1, "a"), Record(2, "a"), Record(3, "a", "evidencia"),
                 Record(4, "a", "evidencia")}) {
    now += milliseconds(1);
  }
};

// Callers had their flows reset although the upstreams of the earlier service
// held them.
TEST_CASE(
    "entry_router: an instance that started after a route got another service "
    "finds the flows of the earlier one") {
  RestartedInstance f;
  f.ReceiveData(1);
  f.ReceiveMessage(3, HopKind::kNotHeld, 1);
  f.ReceiveMessage(4, HopKind::kNotHeld, 1);
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  CHECK(f.sink.resets.empty());
  CHECK(f.WasSent(HopKind::kLocate, 1));
  CHECK(f.WasSent(HopKind::kLocate, 2));
  f.ReceiveMessage(2, HopKind::kHeld, 1);
  REQUIRE(f.WasSent(HopKind::kPacket, 2));
  CHECK(f.LastPacket().message.service == request::ServiceTagOf("patio"));
  f.ReceiveData(1);
  CHECK(f.LastPacket().to == Record(2, "a").sidecar);
  // New flows go to the current service.
  f.ReceiveSyn(2);
  CHECK(f.LastPacket().message.service == request::ServiceTagOf("evidencia"));
}

// An upstream's address passed to another service, and this instance has not
// read its new record when it searches for a flow there: the sidecar replies to
// a query for the earlier service that it does not hold the flow.
struct OutdatedRecord : Fixture {
  OutdatedRecord()
      : Fixture(Routes(1),
                {Record(1, "a"), Record(2, "a"), Record(3, "a", "evidencia")}) {
    now += milliseconds(1);
  }
  void ReadNewRecord() {
    records[2] = Record(3, "a");
    records[2].incarnation_ms = 2000;
    router.OnUpstreamRecords(records, now, now);
  }
};

// Guards against a reset of a flow that its upstream holds.
TEST_CASE(
    "entry_router: a sidecar that was queried as one of another service is "
    "queried again under its new record") {
  OutdatedRecord f;
  f.ReceiveData(1);
  f.ReceiveMessage(1, HopKind::kNotHeld, 1);
  f.ReceiveMessage(2, HopKind::kNotHeld, 1);
  REQUIRE(f.WasSent(HopKind::kLocate, 3));
  f.ReceiveMessage(3, HopKind::kNotHeld, 1);
  f.ReadNewRecord();
  CHECK(f.sink.resets.empty());
  CHECK(f.sink.SentOfKind(HopKind::kLocate).back().message.service ==
        request::ServiceTagOf("patio"));
  f.ReceiveMessage(3, HopKind::kHeld, 1);
  REQUIRE(f.WasSent(HopKind::kPacket, 3));
  CHECK(f.LastPacket().message.service == request::ServiceTagOf("patio"));
}

// As above, when the earlier record was removed first.
TEST_CASE(
    "entry_router: a sidecar is queried again when its new record follows a "
    "removed one") {
  OutdatedRecord f;
  f.ReceiveData(1);
  f.ReceiveMessage(1, HopKind::kNotHeld, 1);
  f.ReceiveMessage(3, HopKind::kReturned, 0, ReturnReason::kDraining,
                   *f.bytes.back());
  f.ReceiveMessage(2, HopKind::kNotHeld, 1);
  REQUIRE(f.WasSent(HopKind::kLocate, 3));
  f.ReceiveMessage(3, HopKind::kNotHeld, 1);
  f.router.OnUpstreamRecords(std::vector{f.records[0], f.records[1]},
                             f.now - milliseconds(1), f.now);
  REQUIRE(f.router.upstreams().views().size() == 2);
  f.ReadNewRecord();
  CHECK(f.sink.resets.empty());
  CHECK(f.sink.SentOfKind(HopKind::kLocate).back().message.service ==
        request::ServiceTagOf("patio"));
}

// As above, with so many searches that lists of flows are used.
TEST_CASE(
    "entry_router: the list of a sidecar that was queried as one of another "
    "service does not count under its new record") {
  OutdatedRecord f;
  for (uint16_t port = 1; port <= 100; ++port) {
    f.ReceiveData(port);
  }
  f.now += milliseconds(100);
  f.router.OnTick(f.now);
  ReplyToList(&f, 1, {});
  ReplyToList(&f, 2, {});
  ReplyToList(&f, 3, {});
  f.ReadNewRecord();
  CHECK(f.sink.resets.empty());
  f.now += milliseconds(100);
  f.router.OnTick(f.now);
  ReplyToList(&f, 1, {});
  ReplyToList(&f, 2, {});
  ReplyToList(&f, 3, {50});
  CHECK(f.sink.resets.size() == 99);
}

TEST_CASE(
    "entry_router: many flows of a route's earlier service are found by lists "
    "of flows") {
  RestartedInstance f;
  for (uint16_t port = 1; port <= 100; ++port) {
    f.ReceiveData(port);
  }
  f.now += milliseconds(100);
  f.router.OnTick(f.now);
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  ReplyToList(&f, 1, {});
  ReplyToList(&f, 2, {50});
  ReplyToList(&f, 3, {});
  ReplyToList(&f, 4, {});
  // The same round of lists serves both services.
  CHECK(f.sink.resets.size() == 99);
  CHECK(f.sink.SentOfKind(HopKind::kLocate).back().to ==
        Record(2, "a").sidecar);
  f.ReceiveMessage(2, HopKind::kHeld, 50);
  CHECK(f.LastPacket().to == Record(2, "a").sidecar);
}

TEST_CASE(
    "entry_router: flows of the earlier service are found when the current one "
    "has no upstream yet") {
  Fixture f(Routes(1, "vacia"), {Record(1, "a"), Record(2, "a")});
  f.now += milliseconds(1);
  f.ReceiveData(1);
  f.AdvanceTime(milliseconds(200));
  REQUIRE(f.WasSent(HopKind::kLocate, 2));
  f.ReceiveMessage(2, HopKind::kHeld, 1);
  CHECK(f.sink.resets.empty());
  REQUIRE(f.sink.SentOfKind(HopKind::kPacket).size() == 1);
  CHECK(f.LastPacket().to == Record(2, "a").sidecar);
}

TEST_CASE(
    "entry_router: a flow that no sidecar of any service holds is reset once "
    "all have replied") {
  RestartedInstance f;
  f.ReceiveData(1);
  f.ReceiveMessage(3, HopKind::kNotHeld, 1);
  f.ReceiveMessage(4, HopKind::kNotHeld, 1);
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  f.ReceiveMessage(1, HopKind::kNotHeld, 1);
  CHECK(f.sink.resets.empty());
  f.ReceiveMessage(2, HopKind::kNotHeld, 1);
  CHECK(f.sink.resets.size() == 1);
}

// Guards against packets that reach an upstream of another service.
TEST_CASE(
    "entry_router: upstreams of a service that the address is not known to be "
    "routed to are not probed") {
  RestartedInstance f;
  f.ReceiveData(1);
  f.ReceiveMessage(3, HopKind::kNotHeld, 1);
  f.ReceiveMessage(4, HopKind::kNotHeld, 1);
  f.ReceiveMessage(1, HopKind::kInconclusive, 1);
  f.ReceiveMessage(2, HopKind::kInconclusive, 1);
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  f.AdvanceTime(milliseconds(400));
  CHECK(f.sink.SentOfKind(HopKind::kPacket).empty());
  CHECK(f.sink.resets.empty());
  // Another instance knows that the address had no other service.
  f.router.OnAddressHistory({{1}, std::chrono::seconds(61), {}}, f.now);
  CHECK(f.sink.SentOfKind(HopKind::kPacket).empty());
  CHECK(f.sink.resets.size() == 1);
}

// A route got another service, then all sidecars and all entry instances were
// restarted in turn: idle flows of the earlier service were reset, although
// their upstreams held them.
TEST_CASE(
    "entry_router: a flow is not lost while a restarted sidecar of another "
    "service cannot know it") {
  RestartedInstance f;
  f.ReceiveData(1);
  f.ReceiveMessage(3, HopKind::kNotHeld, 1);
  f.ReceiveMessage(4, HopKind::kNotHeld, 1);
  f.ReceiveMessage(1, HopKind::kInconclusive, 1);
  f.ReceiveMessage(2, HopKind::kInconclusive, 1);
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  f.AdvanceTime(milliseconds(400));
  CHECK(f.sink.resets.empty());
  // Another instance knows the earlier service: its upstreams may be probed.
  f.router.OnAddressHistory(
      {{1},
       milliseconds(0),
       {{kServiceAddress, request::ServiceName("patio"), milliseconds(3000)}}},
      f.now);
  CHECK(f.WasSent(HopKind::kPacket, 1));
  CHECK(f.WasSent(HopKind::kPacket, 2));
  CHECK_FALSE(f.WasSent(HopKind::kPacket, 3));
  f.ReceiveMessage(1, HopKind::kNotHeld, 1);
  f.ReceiveMessage(2, HopKind::kHeld, 1);
  CHECK(f.sink.resets.empty());
  f.ReceiveData(1);
  CHECK(f.LastPacket().to == Record(2, "a").sidecar);
}

// The history arrives before the flow's next packet, as after a restart in
// turn.
TEST_CASE(
    "entry_router: a restarted instance probes the earlier service that "
    "another instance knows") {
  RestartedInstance f;
  f.router.OnAddressHistory(
      {{1},
       milliseconds(0),
       {{kServiceAddress, request::ServiceName("patio"), milliseconds(3000)}}},
      f.now);
  f.ReceiveData(1);
  f.ReceiveMessage(3, HopKind::kNotHeld, 1);
  f.ReceiveMessage(4, HopKind::kNotHeld, 1);
  f.ReceiveMessage(1, HopKind::kInconclusive, 1);
  f.ReceiveMessage(2, HopKind::kInconclusive, 1);
  CHECK(f.WasSent(HopKind::kPacket, 1));
  CHECK(f.WasSent(HopKind::kPacket, 2));
  CHECK(f.sink.resets.empty());
}

// Guards against callers of lost flows that are left without a reply for good:
// the sidecars of the other services know all flows after a while.
TEST_CASE(
    "entry_router: a lost flow is reset once the history goes back far "
    "enough") {
  RestartedInstance f;
  f.AdvanceTime(milliseconds(60000));
  f.ReceiveData(1);
  f.ReceiveMessage(3, HopKind::kNotHeld, 1);
  f.ReceiveMessage(4, HopKind::kNotHeld, 1);
  f.ReceiveMessage(1, HopKind::kInconclusive, 1);
  f.ReceiveMessage(2, HopKind::kInconclusive, 1);
  f.now += milliseconds(1);
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  CHECK(f.sink.resets.size() == 1);
}

// Guards against refusals by an instance that has its routes but not yet its
// upstream records.
TEST_CASE(
    "entry_router: no flow is refused before the first upstream records "
    "arrive") {
  Fixture f;
  EntryRouter<Sink> router{{request::AvailabilityZone("a"), 1000, 1}, &f.sink};
  router.OnRoutes(Routes(1), f.now);
  auto packet = f.MakePacket(1);
  packet.syn = true;
  router.OnCallerPacket(packet, f.now);
  CHECK(f.sink.resets.empty());
}

TEST_CASE(
    "entry_router: only upstreams of inconclusive sidecars are probed, and "
    "only when no sidecar knows the flow") {
  Fixture f;
  f.ReceiveData(1);
  f.ReceiveMessage(1, HopKind::kNotHeld, 1);
  f.ReceiveMessage(2, HopKind::kInconclusive, 1);
  CHECK(f.sink.SentOfKind(HopKind::kPacket).empty());
  f.ReceiveMessage(3, HopKind::kNotHeld, 1);
  REQUIRE(f.sink.SentOfKind(HopKind::kPacket).size() == 1);
  CHECK(f.LastPacket().to == Record(2, "a").sidecar);
  CHECK(f.LastPacket().message.probe);
  f.ReceiveMessage(2, HopKind::kHeld, 1);
  CHECK(f.sink.SentOfKind(HopKind::kPacket).size() == 1);
}

TEST_CASE(
    "entry_router: a search goes on without the reply of an unresponsive "
    "sidecar") {
  Fixture f;
  f.ReceiveData(1);
  f.ReceiveMessage(2, HopKind::kInconclusive, 1);
  f.AdvanceTime(milliseconds(200));
  REQUIRE(f.sink.SentOfKind(HopKind::kPacket).size() == 1);
  CHECK(f.LastPacket().to == Record(2, "a").sidecar);
}

TEST_CASE(
    "entry_router: a retransmitted first packet goes to another upstream when "
    "the first sidecar is unresponsive, and the holder is then located") {
  Fixture f;
  f.ReceiveSyn(1);
  const Sent first = f.LastPacket();
  const std::set<int> unresponsive = {first.to == Record(1, "a").sidecar ? 1
                                                                         : 2};
  f.AdvanceTime(milliseconds(600), unresponsive);
  f.ReceiveSyn(1, 1);
  CHECK(f.LastPacket().to != first.to);
  f.ReceiveData(1);
  CHECK(f.sink.SentOfKind(HopKind::kLocate).size() == 3);
}

TEST_CASE(
    "entry_router: an unresponsive sidecar gets no new flow while others "
    "respond") {
  Fixture f;
  f.ReceiveSyn(1);
  f.ReceiveSyn(2);
  f.AdvanceTime(milliseconds(600), {1, 2});
  f.ReceiveSyn(3);
  CHECK(f.LastPacket().to == Record(3, "b").sidecar);
  // When all are unresponsive the reports may be lost, so flows are placed
  // nevertheless.
  f.AdvanceTime(milliseconds(2000), {1, 2, 3});
  const size_t before = f.sink.SentOfKind(HopKind::kPacket).size();
  f.ReceiveSyn(4);
  CHECK(f.sink.SentOfKind(HopKind::kPacket).size() == before + 1);
  CHECK(f.sink.resets.empty());
}

TEST_CASE(
    "entry_router: a draining upstream gets no new flow, even when no other is "
    "left") {
  Fixture f;
  for (auto& it : f.records) {
    it.draining = true;
  }
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  f.ReceiveSyn(1);
  CHECK(f.sink.SentOfKind(HopKind::kPacket).empty());
  CHECK(f.sink.resets.size() == 1);
}

TEST_CASE(
    "entry_router: a sidecar that reports another service gets no flow of its "
    "former one") {
  Fixture f;
  f.ReportLoad(1, {}, "evidencia");
  for (uint16_t i = 1; i < 20; ++i) {
    f.ReceiveSyn(i);
    CHECK(f.LastPacket().to != Record(1, "a").sidecar);
  }
}

TEST_CASE(
    "entry_router: flows of a service that was removed from a route are still "
    "found") {
  Fixture f;
  f.records.push_back(Record(4, "a", "evidencia"));
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  f.router.OnRoutes(Routes(2, "evidencia"), f.now);
  f.ReceiveData(1);
  CHECK(f.sink.SentOfKind(HopKind::kLocate).size() == 4);
}

TEST_CASE("entry_router: a first packet from a reused port opens a new flow") {
  Fixture f;
  f.ReceiveSyn(1);
  f.ReceiveData(1);
  auto packet = f.MakePacket(1);
  packet.syn = true;
  packet.sequence = 990077;
  f.ReceivePacket(packet);
  CHECK(std::count(f.sink.verdicts.begin(), f.sink.verdicts.end(),
                   EntryVerdict::kPlaced) == 2);
}

// Records outlive machines that lost power. Guards against flows sent to dead
// machines after a restart of all processes.
TEST_CASE(
    "entry_router: an upstream gets flows only after its sidecar has replied") {
  Fixture f;
  f.records.push_back(Record(4, "a"));
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  CHECK(f.sink.SentOfKind(HopKind::kHello).back().to == Record(4, "a").sidecar);
  for (uint16_t i = 1; i < 30; ++i) {
    f.ReceiveSyn(i);
    CHECK(f.LastPacket().to != Record(4, "a").sidecar);
  }
  for (int i = 1; i <= 3; ++i) {
    f.ReportLoad(i, {.in_progress = 8});
  }
  f.ReportLoad(4, {});
  f.ReceiveSyn(50);
  CHECK(f.LastPacket().to == Record(4, "a").sidecar);
}

TEST_CASE(
    "entry_router: a flow returned for a full queue goes to the shortest "
    "expected wait, with the third offer as the final one") {
  Fixture f;
  f.ReceiveSyn(1);
  const Sent first = f.LastPacket();
  CHECK_FALSE(first.message.final_offer);
  for (int i = 1; i <= 3; ++i) {
    f.ReportLoad(i, {.in_progress = 4});
  }
  for (int i = 0; i < 2; ++i) {
    const Sent last = f.LastPacket();
    f.router.OnHopMessage(last.to,
                          {.kind = HopKind::kReturned,
                           .service = request::ServiceTagOf("patio"),
                           .reason = ReturnReason::kQueueFull},
                          last.packet, f.now);
  }
  CHECK(f.LastPacket().message.final_offer);
  CHECK(f.sink.resets.empty());
}

// Guards against searches that never end because of the record of a dead
// machine: callers waited for their full timeout.
TEST_CASE(
    "entry_router: a search does not wait for a sidecar that is presumed "
    "dead") {
  Fixture f;
  f.records.push_back(Record(4, "a"));
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  f.AdvanceTime(milliseconds(4000));
  SearchWithoutHolder(&f);
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  CHECK(f.sink.resets.size() == 1);
}

// Guards against upstreams lost with their records: when the store lost records
// of live sidecars, open flows were reset, and no new ones were placed there
// until an entry instance restarted.
TEST_CASE(
    "entry_router: a sidecar whose record is missing in the store is "
    "notified") {
  Fixture f;
  f.ReceiveSyn(1);
  const Sent first = f.LastPacket();
  f.router.OnUpstreamRecords({}, f.now, f.now);
  CHECK(f.sink.SentOfKind(HopKind::kUnlisted).size() == 3);
  f.AdvanceTime(milliseconds(1100));
  CHECK(f.sink.SentOfKind(HopKind::kUnlisted).size() == 6);
  // Open flows continue, and new ones are placed for two seconds.
  f.ReceiveData(1);
  CHECK(f.LastPacket().to == first.to);
  f.ReceiveSyn(2);
  CHECK(f.sink.resets.empty());
  f.AdvanceTime(milliseconds(1500));
  f.ReceiveSyn(3);
  CHECK(f.sink.resets.size() == 1);
  f.ReceiveData(1);
  CHECK(f.LastPacket().to == first.to);
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  f.ReceiveSyn(4);
  CHECK(f.sink.resets.size() == 1);
}

TEST_CASE(
    "entry_router: an upstream that drained or died is removed with its "
    "record") {
  Fixture f;
  f.ReportLoad(1, {.draining = true});
  f.records.erase(f.records.begin());
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  CHECK(f.router.upstreams().Find(Record(1, "a").sidecar) == nullptr);
  // One that becomes unresponsive without a record is removed too.
  f.router.OnUpstreamRecords({}, f.now, f.now);
  f.ReceiveSyn(9);
  f.AdvanceTime(milliseconds(4500), {1, 2, 3});
  CHECK(f.router.upstreams().views().empty());
}

TEST_CASE("entry_router: the record of a dead machine is removed") {
  Fixture f;
  // The fixture's seed adds 1 ms of jitter to the removal delay.
  f.AdvanceTime(milliseconds(70000), {3});
  CHECK(f.sink.removed ==
        std::vector<request::Endpoint>{Record(3, "b").sidecar});
}

TEST_CASE(
    "entry_router: the flow table is bounded and no flow is refused when it is "
    "full") {
  Fixture f;
  // The fixture's router holds at most 1,000 flows.
  for (uint16_t i = 1; i <= 1500; ++i) {
    auto packet = f.MakePacket(i);
    packet.syn = true;
    const std::vector<std::byte> buf(36);
    packet.bytes = buf;
    f.router.OnCallerPacket(packet, f.now);
    // Reports that the flows have ended.
    for (int n = 1; n <= 3; ++n) {
      f.ReportLoad(n, {});
    }
  }
  CHECK(f.router.flows() == 1000);
  CHECK(f.sink.resets.empty());
  CHECK(f.sink.SentOfKind(HopKind::kPacket).size() == 1500);
}

// A caller used its port again: a late reply about the earlier flow sent the
// packets of the new one to an upstream that does not hold it.
TEST_CASE("entry_router: a late reply about an earlier flow is ignored") {
  Fixture f;
  f.ReceiveData(1);
  REQUIRE_FALSE(f.sink.SentOfKind(HopKind::kLocate).empty());
  auto first = f.MakePacket(1);
  first.syn = true;
  first.sequence = 5000;
  f.ReceivePacket(first);
  const request::Endpoint holder =
      f.sink.SentOfKind(HopKind::kPacket).back().to;
  for (int i = 1; i <= 3; ++i) {
    f.ReceiveMessage(i, HopKind::kHeld, 1);
  }
  auto data = f.MakePacket(1);
  data.ack = true;
  data.payload_size = 100;
  f.ReceivePacket(data);
  CHECK(f.sink.SentOfKind(HopKind::kPacket).back().to == holder);
}

// A flow that had been lost got its caller a reset on the next flow from the
// same port.
TEST_CASE("entry_router: a new flow from the port of a lost one is not reset") {
  Fixture f;
  f.now += milliseconds(1);
  SearchWithoutHolder(&f);
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  REQUIRE(f.sink.resets.size() == 1);
  auto first = f.MakePacket(1);
  first.syn = true;
  first.sequence = 5000;
  f.ReceivePacket(first);
  // The table drops a flow that was not opened within 2 s; its packets start a
  // search.
  f.now += milliseconds(2500);
  f.router.OnTick(f.now);
  f.ReceiveData(1);
  CHECK(f.sink.resets.size() == 1);
}

// Guards against offers to cold upstreams that return them, and against flows
// that are refused because all upstreams are cold.
TEST_CASE(
    "entry_router: a cold upstream gets no flow beyond its allowance while "
    "another accepts") {
  const auto holders = [](std::optional<uint8_t> allowance) {
    Fixture f;
    for (const int cold : {1, 2}) {
      request::UpstreamLoad load;
      load.warm_up_allowance = allowance;
      f.ReportLoad(cold, load);
    }
    for (uint16_t port = 1; port <= 12; ++port) {
      f.ReceiveSyn(port);
    }
    std::map<request::Endpoint, int> flows;
    for (const Sent& it : f.sink.SentOfKind(HopKind::kPacket)) {
      ++flows[it.to];
    }
    return flows;
  };
  const auto cold = Record(1, "a").sidecar;
  const auto warm = Record(3, "b").sidecar;
  CHECK(holders(std::nullopt)[cold] > 1);
  CHECK(holders(1)[cold] == 1);
  CHECK(holders(1)[warm] == 10);
  CHECK(holders(0)[warm] == 12);
}

TEST_CASE("entry_router: flows are placed when all upstreams lack allowance") {
  Fixture f;
  for (const int cold : {1, 2, 3}) {
    request::UpstreamLoad load;
    load.warm_up_allowance = 0;
    f.ReportLoad(cold, load);
  }
  f.ReceiveSyn(1);
  CHECK(f.sink.SentOfKind(HopKind::kPacket).size() == 1);
}

TEST_CASE("entry_router: sidecars get the warm-up rate of their service") {
  const auto sent = [](Fixture* f, uint64_t revision, uint16_t tenths) {
    f->sink.sent.clear();
    auto routes = Routes(revision);
    if (tenths != 0) {
      routes->warm_up_per_second_tenths[request::ServiceTagOf("patio")] =
          tenths;
    }
    f->router.OnRoutes(routes, f->now);
    f->AdvanceTime(milliseconds(50));
    return f->sink.SentOfKind(HopKind::kServiceLimits);
  };
  Fixture f;
  CHECK(sent(&f, 2, 0).empty());
  const auto first = sent(&f, 3, 405);
  REQUIRE(first.size() == 3);
  CHECK(first[0].message.warm_up_per_second_tenths == 405);
  CHECK(first[0].message.service == request::ServiceTagOf("patio"));
  CHECK(sent(&f, 4, 405).empty());
  // A new start of one upstream.
  f.records[0].incarnation_ms = 2000;
  f.sink.sent.clear();
  f.router.OnUpstreamRecords(f.records, f.now, f.now);
  CHECK(f.sink.SentOfKind(HopKind::kServiceLimits).size() == 1);
  CHECK(sent(&f, 5, 200).size() == 3);
}

// Routes of which the second one is more urgent than the first.
std::shared_ptr<version::RouteMap> RoutesWithPriorities() {
  auto map = Routes(1);
  version::Route urgent = map->routes[kServiceAddress];
  map->routes[kServiceAddress].priority = 300;
  map->routes[MakeEndpoint("198.18.0.1:445")] = urgent;
  return map;
}

void ReturnLast(Fixture* f) {
  const Sent last = f->LastPacket();
  f->router.OnHopMessage(last.to,
                         {.kind = HopKind::kReturned,
                          .service = request::ServiceTagOf("patio"),
                          .reason = ReturnReason::kQueueFull},
                         last.packet, f->now);
}

// Guards against other bytes in deployments whose routes are equally urgent.
TEST_CASE("entry_router: priorities are sent only when the routes differ") {
  Fixture same;
  same.ReceiveSyn(1);
  CHECK_FALSE(same.LastPacket().message.priority);
  Fixture f(RoutesWithPriorities(), {Record(1, "a")});
  f.ReceiveSyn(1);
  CHECK(f.LastPacket().message.priority == 254);
  f.ReceiveSyn(1);
  CHECK(f.LastPacket().message.priority == 254);
  f.ReceiveData(1);
  CHECK_FALSE(f.LastPacket().message.priority);
}

// Guards against callers that are held until their time limit by offers in
// circles: today's rule offers a flow that has waited all its time once more.
TEST_CASE(
    "entry_router: a flow that waited as long as it may is reset at once") {
  for (const bool waited : {false, true}) {
    Fixture f;
    f.ReceiveSyn(1);
    ReturnLast(&f);
    ReturnLast(&f);
    REQUIRE(f.LastPacket().message.final_offer);
    f.AdvanceTime(milliseconds(waited ? 500 : 450));
    const size_t before = f.sink.SentOfKind(HopKind::kPacket).size();
    ReturnLast(&f);
    CHECK(f.sink.resets.size() == (waited ? 1 : 0));
    CHECK(f.sink.SentOfKind(HopKind::kPacket).size() ==
          before + (waited ? 0 : 1));
  }
}

TEST_CASE(
    "entry_router: with priorities, the time that a flow waited counts, and a "
    "queue that returned it is not asked again") {
  Fixture f(RoutesWithPriorities(), {Record(1, "a"), Record(2, "a")});
  f.ReceiveSyn(1);
  ReturnLast(&f);
  ReturnLast(&f);
  const Sent first = f.LastPacket();
  CHECK(first.message.max_wait == milliseconds(500));
  f.AdvanceTime(milliseconds(200));
  ReturnLast(&f);
  CHECK(f.LastPacket().to != first.to);
  CHECK(f.LastPacket().message.max_wait == milliseconds(400));
  ReturnLast(&f);
  CHECK(f.sink.resets.size() == 1);
}

// Guards against refusals by old reports, which today's rule gives, and against
// offers to a service that is full everywhere.
TEST_CASE(
    "entry_router: a flow to a full service is refused without an offer") {
  for (const bool priorities : {false, true}) {
    Fixture f(priorities ? RoutesWithPriorities() : Routes(1),
              {Record(1, "a"), Record(2, "a")});
    const request::UpstreamLoad full{.in_progress = 400};
    f.ReportLoad(1, full);
    f.ReceiveSyn(1);
    CHECK(f.sink.resets.empty());
    f.ReportLoad(2, full);
    f.ReceiveSyn(2);
    CHECK(f.sink.resets.size() == 1);
    CHECK(f.sink.verdicts.back() == (priorities ? EntryVerdict::kServiceFull
                                                : EntryVerdict::kOverloaded));
    f.now += milliseconds(501);
    f.ReceiveSyn(3);
    CHECK(f.sink.resets.size() == (priorities ? 1 : 2));
  }
}

// Late replies to searches that had ended added flows without a limit.
TEST_CASE("entry_router: a reply without a search adds no flow") {
  Fixture f;
  f.ReceiveMessage(1, HopKind::kHeld, 9);
  CHECK(f.router.flows() == 0);
}

// The log line of a refusal had no reason, so that its cause could not be told
// from the entry instance's log.
TEST_CASE("entry_router: a refusal names why the last offer was returned") {
  Fixture f;
  auto first = f.MakePacket(1);
  first.syn = true;
  f.ReceivePacket(first);
  for (int i = 0; i < 5 && f.sink.resets.empty(); ++i) {
    const Sent offer = f.sink.SentOfKind(HopKind::kPacket).back();
    request::HopMessage message;
    message.kind = HopKind::kReturned;
    message.service = request::ServiceTagOf("patio");
    message.reason = ReturnReason::kRejected;
    f.router.OnHopMessage(offer.to, message, offer.packet, f.now);
  }
  REQUIRE(f.sink.resets.size() == 1);
  CHECK(f.sink.last_decision.verdict == EntryVerdict::kNotTaken);
  CHECK(f.sink.last_decision.reason == ReturnReason::kRejected);
  CHECK(f.sink.last_decision.flow == first.flow);
  CHECK(f.sink.last_decision.route_revision.value == 1);
}

// Guards against new flows in an evacuated zone with a third of the upstreams,
// the instance's own, also when no upstream of the other zones responds.
TEST_CASE("entry_router: evacuated zones get no new flows") {
  const std::vector<std::string> names = {"a", "b", "c"};
  std::vector<version::UpstreamRecord> records;
  std::set<int> all;
  for (int i = 1; i <= 48; ++i) {
    records.push_back(Record(i, names[i % 3]));
    all.insert(i);
  }
  // Returns the number of flows that were placed in each zone, and resets.
  const auto place = [&](const std::string& zones, bool responding) {
    Fixture f(Routes(1), records);
    f.AdvanceTime(milliseconds(400), responding ? std::set<int>() : all);
    EvacuatedZones evacuated;
    for (const char it : zones) {
      evacuated[request::AvailabilityZone(std::string(1, it))] = f.now;
    }
    f.router.OnEvacuatedZones(evacuated);
    for (uint16_t port = 1; port <= 120; ++port) {
      f.ReceiveSyn(port);
    }
    std::map<std::string, size_t> placed = {{"resets", f.sink.resets.size()}};
    for (const Sent& it : f.sink.SentOfKind(HopKind::kPacket)) {
      ++placed[f.router.upstreams().Find(it.to)->record().zone.text()];
    }
    return placed;
  };
  for (const bool responding : {true, false}) {
    CHECK(place("", responding)["a"] > 0);
    auto placed = place("a", responding);
    CHECK(placed["a"] == 0);
    CHECK(placed["b"] + placed["c"] == 120);
    CHECK(place("ab", responding)["c"] == 120);
    CHECK(place("abc", responding) ==
          std::map<std::string, size_t>{{"resets", 120}});
  }
}

// Guards against callers of a service that runs in the evacuated zone only, who
// would wait until their time limit or get a false refusal, and against moved
// flows.
TEST_CASE(
    "entry_router: an evacuation refuses new flows at once and leaves offered "
    "flows where they are") {
  Fixture today(Routes(1), {Record(1, "c")});
  Fixture f(Routes(1), {Record(1, "c")});
  f.ReceiveSyn(1);
  f.ReceiveSyn(2);
  f.ReceiveData(2);
  f.router.OnEvacuatedZones({{request::AvailabilityZone("c"), f.now}});
  const size_t before = f.sink.SentOfKind(HopKind::kPacket).size();
  f.ReceiveSyn(1);
  f.ReceiveData(2);
  CHECK(f.sink.SentOfKind(HopKind::kPacket).size() == before + 2);
  CHECK(f.sink.resets.empty());
  f.ReceiveSyn(3);
  today.ReceiveSyn(3);
  CHECK(today.sink.resets.empty());
  CHECK(today.WasSent(HopKind::kPacket, 1));
  REQUIRE(f.sink.resets.size() == 1);
  CHECK(f.sink.resets[0].caller.port == 3);
  CHECK(f.sink.verdicts.back() == EntryVerdict::kNoUpstream);
  CHECK(f.sink.last_decision.zone_evacuated);
  CHECK(f.sink.SentOfKind(HopKind::kPacket).size() == before + 2);
  // A call to the store for upstreams that are known would be wasted.
  CHECK(f.sink.watch_renewals == 0);
}

// Guards against new flows in an evacuated zone from an instance that restarted
// and has not read the evacuations yet.
TEST_CASE("entry_router: new flows wait for the evacuated zones") {
  Fixture today;
  Sink sink;
  EntryRouter<Sink> router{{request::AvailabilityZone("a"), 1000, 1, true},
                           &sink};
  router.OnRoutes(Routes(1), today.now);
  router.OnUpstreamRecords(today.records, today.now, today.now);
  auto packet = today.MakePacket(1);
  packet.syn = true;
  today.ReceivePacket(packet);
  CHECK(today.sink.SentOfKind(HopKind::kPacket).size() == 1);
  router.OnCallerPacket(packet, today.now);
  CHECK(sink.SentOfKind(HopKind::kPacket).empty());
  CHECK(sink.resets.empty());
  router.OnEvacuatedZones({});
  router.OnCallerPacket(packet, today.now);
  CHECK(sink.SentOfKind(HopKind::kPacket).size() == 1);
}

}  // namespace
}  // namespace kumquatvalve::connection
