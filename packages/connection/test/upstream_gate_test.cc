#include "kumquatvalve/connection/upstream_gate.h"

#include <netinet/in.h>

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

namespace kumquatvalve::connection {
namespace {

using request::HopKind;
using request::ReturnReason;
using std::chrono::milliseconds;

request::Endpoint MakeEndpoint(const char* text) {
  request::Failure failure;
  return *request::ParseEndpoint(text, &failure);
}

const request::Endpoint kEntry = MakeEndpoint("10.1.0.10:7720");
const request::Endpoint kServiceAddress = MakeEndpoint("198.18.0.1:443");

struct Sink {
  void Deliver(std::span<const std::byte> /*packet*/) { ++delivered; }
  void SendToCaller(const request::Endpoint& /*caller*/,
                    std::span<const std::byte> /*packet*/) {
    ++sent_to_caller;
  }
  void Reset(const request::ParsedPacket& packet) {
    resets.push_back(packet.flow);
  }
  void Send(const request::Endpoint& /*to*/, const request::HopMessage& message,
            std::span<const std::byte> packet) {
    sent.push_back(message);
    last_bytes.assign(packet.begin(), packet.end());
  }
  void ReportMissingRecord() { ++missing_records; }
  void RecordDecision(const GateDecision& decision) {
    decisions.push_back(decision);
  }

  const request::HopMessage& last(HopKind kind) const {
    for (auto it = sent.rbegin(); it != sent.rend(); ++it) {
      if (it->kind == kind) {
        return *it;
      }
    }
    FAIL("no message of kind " << static_cast<int>(kind));
    return sent.front();
  }
  size_t count(HopKind kind) const {
    return static_cast<size_t>(
        std::count_if(sent.begin(), sent.end(),
                      [&](const auto& it) { return it.kind == kind; }));
  }

  int missing_records = 0;
  int delivered = 0;
  int sent_to_caller = 0;
  std::vector<request::HopMessage> sent;
  std::vector<std::byte> last_bytes;
  std::vector<GateDecision> decisions;
  std::vector<request::FlowKey> resets;
};

// Start times (Unix, ms) of a sidecar and of upstreams that started after and
// long before it.
constexpr uint64_t kSidecarStart = 100000;
constexpr uint64_t kStartedAfterSidecar = 101000;
constexpr uint64_t kStartedBeforeSidecar = 50000;

constexpr milliseconds kLeaseDuration{1750};

struct Fixture {
  explicit Fixture(uint64_t incarnation_ms = kStartedAfterSidecar,
                   WarmUpLimit warm_up = WarmUpLimit())
      : gate("patio", kLeaseDuration, &sink, warm_up) {
    AnnounceIdentity(incarnation_ms);
  }

  // An upstream that started after the sidecar replaced one that sent it
  // heartbeats.
  void AnnounceIdentity(uint64_t incarnation_ms, bool draining = false,
                        uint32_t slots = 2) {
    UpstreamIdentity identity{"patio", "i-1", incarnation_ms, slots, draining};
    identity.started_after_sidecar = incarnation_ms >= kSidecarStart;
    gate.OnIdentity(identity, now);
    Heartbeat();
  }
  // The upstream's first heartbeat arrived here, right after its start.
  void AnnounceNewIdentity(uint64_t incarnation_ms) {
    UpstreamIdentity identity{"patio", "i-1", incarnation_ms, 2, false};
    identity.is_new = true;
    identity.first_heartbeat_received = true;
    gate.OnIdentity(identity, now);
    Heartbeat();
  }

  void Heartbeat() {
    gate.OnHeartbeat({"patio", {"i-1", 1000}, ++sequence}, now, now);
  }

  static request::FlowKey Key(uint16_t port) {
    return {{MakeEndpoint("100.64.0.7:1").address, port},
            kServiceAddress,
            IPPROTO_TCP};
  }

  request::ParsedPacket CallerPacket(uint16_t port) {
    request::ParsedPacket packet;
    packet.flow = Key(port);
    packet.sequence = 77;
    return packet;
  }
  request::ParsedPacket CallerSyn(uint16_t port) {
    auto packet = CallerPacket(port);
    packet.syn = true;
    return packet;
  }
  request::ParsedPacket CallerData(uint16_t port,
                                   uint32_t acknowledgment = 501) {
    auto packet = CallerPacket(port);
    packet.ack = true;
    packet.acknowledgment = acknowledgment;
    packet.payload_size = 100;
    return packet;
  }
  request::ParsedPacket UpstreamPacket(uint16_t port) {
    request::ParsedPacket packet;
    packet.flow = request::Reverse(Key(port));
    packet.ack = true;
    packet.acknowledgment = 78;
    packet.sequence = 501;
    return packet;
  }
  request::ParsedPacket SynAck(uint16_t port) {
    auto packet = UpstreamPacket(port);
    packet.syn = true;
    packet.sequence = 500;
    return packet;
  }
  request::ParsedPacket ResponseData(uint16_t port) {
    auto packet = UpstreamPacket(port);
    packet.payload_size = 200;
    return packet;
  }

  void ReceiveFromCaller(const request::ParsedPacket& packet,
                         const char* service = "patio",
                         bool final_offer = false) {
    request::HopMessage message;
    message.final_offer = final_offer;
    message.max_wait = milliseconds(1200);
    message.kind = HopKind::kPacket;
    message.service = request::ServiceTagOf(service);
    gate.OnCallerPacket(kEntry, message, packet, now);
  }
  void ReceiveFromUpstream(const request::ParsedPacket& packet) {
    gate.OnUpstreamPacket(packet, now);
  }
  void QueryHolder(uint16_t port, uint32_t acknowledgment = 501,
                   std::string_view service = "patio") {
    request::HopMessage message;
    message.kind = HopKind::kLocate;
    message.service = request::ServiceTagOf(service);
    message.flow = Key(port);
    message.acknowledgment = acknowledgment;
    gate.OnHopMessage(kEntry, message, now);
  }
  void AdvanceTime(milliseconds time) {
    for (const TimePoint end = now + time; now < end;) {
      now += milliseconds(50);
      gate.OnTick(now);
    }
  }
  void OpenFlow(uint16_t port) {
    ReceiveFromCaller(CallerSyn(port));
    ReceiveFromUpstream(SynAck(port));
  }

  Sink sink;
  TimePoint now{std::chrono::hours(1)};
  UpstreamGate<Sink> gate;
  uint64_t sequence = 0;
};

// The upstream is cold for ten seconds and bears ten first packets a second.
struct ColdFixture : Fixture {
  explicit ColdFixture(WarmUpLimit limit = WarmUpLimit(5))
      : Fixture(kStartedAfterSidecar, limit) {
    AnnounceIdentity(kStartedAfterSidecar, false, 100);
    HeartbeatWithWarmUp(milliseconds(10000));
    request::HopMessage message;
    message.kind = HopKind::kServiceLimits;
    message.service = request::ServiceTagOf("patio");
    message.warm_up_per_second_tenths = 100;
    gate.OnHopMessage(kEntry, message, now);
  }

  void HeartbeatWithWarmUp(milliseconds left) {
    gate.OnHeartbeat({"patio", {"i-1", kStartedAfterSidecar}, ++sequence}, now,
                     now, left);
  }
  std::optional<uint8_t> ReportedAllowance() {
    request::HopMessage hello;
    hello.kind = HopKind::kHello;
    gate.OnHopMessage(kEntry, hello, now);
    return sink.last(HopKind::kLoad).load.warm_up_allowance;
  }
};

TEST_CASE(
    "upstream_gate: a first packet beyond the allowance of a cold upstream is "
    "returned with a report of it") {
  ColdFixture f;
  f.ReceiveFromCaller(f.CallerSyn(1));
  CHECK(f.sink.delivered == 0);
  CHECK(f.sink.last(HopKind::kReturned).reason == ReturnReason::kQueueFull);
  CHECK(f.sink.last(HopKind::kLoad).load.warm_up_allowance == 0);
  CHECK(std::count_if(f.sink.decisions.begin(), f.sink.decisions.end(),
                      [](const GateDecision& it) {
                        return it.verdict == GateVerdict::kWarmUpLimited;
                      }) == 1);
  f.now += milliseconds(200);
  CHECK(f.ReportedAllowance() == 2);
  f.ReceiveFromCaller(f.CallerSyn(2));
  CHECK(f.sink.delivered == 1);
  // Today's rule, in a deployment without the setting.
  ColdFixture unlimited{WarmUpLimit()};
  unlimited.ReceiveFromCaller(unlimited.CallerSyn(1));
  CHECK(unlimited.sink.delivered == 1);
  CHECK_FALSE(unlimited.ReportedAllowance());
}

TEST_CASE(
    "upstream_gate: a final offer to a cold upstream waits for its turn") {
  ColdFixture f;
  f.ReceiveFromCaller(f.CallerSyn(1), "patio", /*final_offer=*/true);
  CHECK(f.gate.waiting() == 1);
  f.AdvanceTime(milliseconds(50));
  CHECK(f.sink.delivered == 0);
  f.AdvanceTime(milliseconds(100));
  CHECK(f.sink.delivered == 1);
}

// Callers retransmit first packets twice; copies used up the allowance.
TEST_CASE("upstream_gate: copies of a first packet count once in a warm-up") {
  ColdFixture f;
  f.now += milliseconds(300);
  f.ReceiveFromCaller(f.CallerSyn(1));
  f.ReceiveFromCaller(f.CallerSyn(1));
  CHECK(f.sink.delivered == 2);
  CHECK(f.ReportedAllowance() == 2);
}

TEST_CASE("upstream_gate: a suspension adds no warm-up allowance") {
  ColdFixture f;
  f.gate.OnSuspension(milliseconds(1000), f.now);
  CHECK(f.ReportedAllowance() == 0);
}

TEST_CASE("upstream_gate: a warm upstream has no allowance and no limit") {
  ColdFixture f;
  f.HeartbeatWithWarmUp(milliseconds(0));
  f.ReceiveFromCaller(f.CallerSyn(1));
  CHECK(f.sink.delivered == 1);
  CHECK_FALSE(f.ReportedAllowance());
}

TEST_CASE("upstream_gate: a packet for another service is not delivered") {
  Fixture f;
  f.ReceiveFromCaller(f.CallerSyn(1), "evidencia");
  CHECK(f.sink.last(HopKind::kReturned).reason == ReturnReason::kWrongService);
  f.ReceiveFromCaller(f.CallerData(1), "evidencia");
  CHECK(f.sink.count(HopKind::kNotHeld) == 1);
  CHECK(f.sink.delivered == 0);
}

TEST_CASE(
    "upstream_gate: a service that took over an address gets no packet of the "
    "previous one") {
  Fixture f;
  f.OpenFlow(1);
  f.gate.OnIdentity({"evidencia", "i-2", kStartedAfterSidecar + 5000, 2, false},
                    f.now);
  const int before = f.sink.delivered;
  f.ReceiveFromCaller(f.CallerData(1));
  f.ReceiveFromCaller(f.CallerSyn(2));
  CHECK(f.sink.delivered == before);
}

TEST_CASE(
    "upstream_gate: a draining upstream keeps its flows and gets no new one") {
  Fixture f;
  f.OpenFlow(1);
  f.AnnounceIdentity(kStartedAfterSidecar, true);
  CHECK(f.sink.last(HopKind::kLoad).load.draining);
  const int before = f.sink.delivered;
  f.ReceiveFromCaller(f.CallerSyn(2));
  CHECK(f.sink.last(HopKind::kReturned).reason == ReturnReason::kDraining);
  CHECK(f.sink.delivered == before);
  f.ReceiveFromCaller(f.CallerData(1));
  CHECK(f.sink.delivered == before + 1);
}

TEST_CASE(
    "upstream_gate: a rejected first packet is returned to its entry "
    "instance") {
  Fixture f;
  f.ReceiveFromCaller(f.CallerSyn(1));
  f.gate.OnRejectedPacket(f.CallerSyn(1), f.now);
  CHECK(f.sink.last(HopKind::kReturned).reason == ReturnReason::kRejected);
  CHECK(f.gate.flows() == 0);
  CHECK(f.gate.load().opening == 0);
}

TEST_CASE(
    "upstream_gate: a sidecar that restarted probes the upstream about unknown "
    "flows") {
  Fixture f(kStartedBeforeSidecar);
  f.QueryHolder(1);
  CHECK(f.sink.count(HopKind::kInconclusive) == 1);
  f.ReceiveFromCaller(f.CallerData(1));
  CHECK(f.sink.delivered == 1);
  f.ReceiveFromUpstream(f.UpstreamPacket(1));
  CHECK(f.sink.count(HopKind::kHeld) == 1);
  f.QueryHolder(1);
  CHECK(f.sink.count(HopKind::kHeld) == 2);
}

TEST_CASE("upstream_gate: a rejected probe means that the flow is not held") {
  Fixture f(kStartedBeforeSidecar);
  f.ReceiveFromCaller(f.CallerData(1));
  f.gate.OnRejectedPacket(f.CallerData(1), f.now);
  CHECK(f.sink.count(HopKind::kNotHeld) == 1);
  CHECK(f.gate.flows() == 0);
}

TEST_CASE(
    "upstream_gate: a sidecar that saw every flow does not probe the upstream "
    "about unknown ones") {
  Fixture f(kStartedAfterSidecar);
  f.ReceiveFromCaller(f.CallerData(1));
  CHECK(f.sink.delivered == 0);
  CHECK(f.sink.count(HopKind::kNotHeld) == 1);
  f.QueryHolder(2);
  CHECK(f.sink.count(HopKind::kNotHeld) == 2);
}

TEST_CASE(
    "upstream_gate: a flow that the caller opened at another upstream is not "
    "held here") {
  Fixture f;
  f.OpenFlow(1);
  f.QueryHolder(1, 901);
  CHECK(f.sink.count(HopKind::kNotHeld) == 1);
  const int before = f.sink.delivered;
  f.ReceiveFromCaller(f.CallerData(1, 901));
  CHECK(f.sink.delivered == before);
  CHECK(f.gate.flows() == 0);
  CHECK(f.gate.load().opening == 0);
}

TEST_CASE(
    "upstream_gate: an open flow that the upstream lost is reset at once") {
  Fixture f;
  f.OpenFlow(1);
  f.ReceiveFromCaller(f.CallerData(1));
  f.gate.OnRejectedPacket(f.CallerData(1), f.now);
  CHECK(f.sink.resets == std::vector{f.Key(1)});
  // A flow that was only probed may be open at another upstream.
  Fixture other(kStartedBeforeSidecar);
  other.ReceiveFromCaller(other.CallerData(1));
  other.gate.OnRejectedPacket(other.CallerData(1), other.now);
  CHECK(other.sink.resets.empty());
}

TEST_CASE(
    "upstream_gate: flows of the previous incarnation are no load, and are "
    "reset and removed when the upstream rejects them") {
  Fixture f;
  f.OpenFlow(1);
  f.ReceiveFromCaller(f.CallerData(1));
  f.OpenFlow(2);
  f.AnnounceIdentity(kStartedAfterSidecar + 1);
  CHECK(f.gate.load().in_progress == 0);
  CHECK(f.gate.load().opening == 0);
  f.AdvanceTime(milliseconds(50));
  CHECK(f.gate.load().open_flows == 0);
  f.ReceiveFromCaller(f.CallerData(1));
  f.gate.OnRejectedPacket(f.CallerData(1), f.now);
  CHECK(f.sink.resets == std::vector{f.Key(1)});
  f.QueryHolder(1);
  CHECK(f.sink.last(HopKind::kNotHeld).flow == f.Key(1));
  CHECK(f.gate.flows() == 1);
  CHECK(f.gate.load().in_progress == 0);
}

// The first heartbeat of a restarted upstream was lost. Flows that it accepted
// until the second one arrived were denied from then on, and reset.
TEST_CASE(
    "upstream_gate: flows that a restarted upstream accepted before its first "
    "heartbeat arrived are held") {
  Fixture f;
  f.OpenFlow(1);
  f.ReceiveFromCaller(f.CallerData(1));
  f.ReceiveFromUpstream(f.ResponseData(1));
  f.AnnounceIdentity(kStartedAfterSidecar + 5000);
  f.AdvanceTime(milliseconds(9000));
  f.QueryHolder(1);
  CHECK(f.sink.count(HopKind::kHeld) == 1);
  CHECK(f.sink.count(HopKind::kNotHeld) == 0);
  const int before = f.sink.delivered;
  auto next = f.CallerData(1);
  next.sequence += 100;
  f.ReceiveFromCaller(next);
  CHECK(f.sink.delivered == before + 1);
  f.ReceiveFromUpstream(f.ResponseData(1));
  f.AdvanceTime(milliseconds(50));
  CHECK(f.gate.load().open_flows == 1);
  CHECK(f.sink.resets.empty());
}

TEST_CASE(
    "upstream_gate: work in progress lasts from the request to the start of "
    "its response") {
  Fixture f;
  f.OpenFlow(1);
  CHECK(f.gate.load().opening == 1);
  f.ReceiveFromCaller(f.CallerData(1));
  f.ReceiveFromCaller(f.CallerData(1));
  CHECK(f.gate.load().opening == 0);
  CHECK(f.gate.load().in_progress == 1);
  f.now += milliseconds(30);
  f.ReceiveFromUpstream(f.UpstreamPacket(1));
  CHECK(f.gate.load().in_progress == 1);
  f.ReceiveFromUpstream(f.ResponseData(1));
  CHECK(f.gate.load().in_progress == 0);
  CHECK(f.gate.load().service_time_us == 30000);
}

TEST_CASE(
    "upstream_gate: an unresponsive upstream gets one trial packet per "
    "interval") {
  Fixture f;
  // More slots than flows, so that no flow is returned for a full queue.
  f.gate.OnIdentity({"patio", "i-1", kStartedAfterSidecar, 8, false}, f.now);
  f.ReceiveFromCaller(f.CallerSyn(1));
  f.AdvanceTime(milliseconds(200));
  CHECK(f.gate.load().unresponsive);
  const int before = f.sink.delivered;
  f.ReceiveFromCaller(f.CallerSyn(2));
  CHECK(f.sink.last(HopKind::kReturned).reason == ReturnReason::kUnresponsive);
  f.AdvanceTime(milliseconds(400));
  f.ReceiveFromCaller(f.CallerSyn(3));
  f.ReceiveFromCaller(f.CallerSyn(4));
  CHECK(f.sink.delivered == before + 1);
  f.ReceiveFromUpstream(f.SynAck(3));
  CHECK_FALSE(f.gate.load().unresponsive);
  f.ReceiveFromCaller(f.CallerSyn(5));
  CHECK(f.sink.delivered == before + 2);
}

// A sidecar that is back before its upstream after a power failure.
TEST_CASE(
    "upstream_gate: an upstream that starts after its sidecar gets flows from "
    "its first heartbeat on and none before") {
  Sink sink;
  TimePoint now{std::chrono::hours(1)};
  UpstreamGate<Sink> gate{"patio", kLeaseDuration, &sink};
  Fixture packets;
  request::HopMessage message;
  message.kind = HopKind::kPacket;
  message.service = request::ServiceTagOf("patio");
  gate.OnCallerPacket(kEntry, message, packets.CallerSyn(1), now);
  CHECK(sink.delivered == 0);
  const auto advance = [&](milliseconds time) {
    for (const TimePoint end = now + time; now < end;) {
      now += milliseconds(50);
      gate.OnTick(now);
    }
  };
  advance(milliseconds(900));
  REQUIRE(sink.last(HopKind::kLoad).load.unresponsive);
  gate.OnIdentity({"patio", "i-1", kStartedAfterSidecar, 2, false}, now);
  gate.OnHeartbeat({"patio", {"i-1", kStartedAfterSidecar}, 1}, now, now);
  // Entry instances offer no flows to an upstream with this report.
  CHECK_FALSE(sink.last(HopKind::kLoad).load.unresponsive);
  gate.OnCallerPacket(kEntry, message, packets.CallerSyn(2), now);
  CHECK(sink.delivered == 1);
  gate.OnUpstreamPacket(packets.SynAck(2), now);
  gate.OnCallerPacket(kEntry, message, packets.CallerSyn(3), now);
  CHECK(sink.delivered == 2);
}

// An upstream that stopped for a while and has lost its flows sends no packet
// by itself, so nothing but a first packet can show that it responds again.
TEST_CASE(
    "upstream_gate: an unresponsive upstream that still sends heartbeats is "
    "offered a trial flow") {
  Fixture f;
  f.ReceiveFromCaller(f.CallerSyn(1));
  f.AdvanceTime(milliseconds(3000));
  REQUIRE(f.sink.last(HopKind::kLoad).load.unresponsive);
  f.Heartbeat();
  f.AdvanceTime(milliseconds(1000));
  f.AnnounceIdentity(kStartedAfterSidecar);
  CHECK_FALSE(f.sink.last(HopKind::kLoad).load.unresponsive);
  f.ReceiveFromCaller(f.CallerSyn(2));
  CHECK(f.sink.decisions.back().verdict == GateVerdict::kTrial);
  // Until the trial has a response, other flows are better placed elsewhere.
  CHECK(f.sink.last(HopKind::kLoad).load.unresponsive);
  f.ReceiveFromCaller(f.CallerSyn(3));
  CHECK(f.sink.last(HopKind::kReturned).reason == ReturnReason::kUnresponsive);
  // A rejection is a response too.
  f.gate.OnRejectedPacket(f.CallerSyn(2), f.now);
  CHECK_FALSE(f.sink.last(HopKind::kLoad).load.unresponsive);
}

struct LeaseFixture : Fixture {
  void AnnounceOtherService(uint64_t sequence) {
    gate.OnOtherServiceHeartbeat({"evidencia", {"i-9", 90000}, sequence}, now);
  }
};

// Guards against requests that an upstream of another service runs: the
// upstream crashed, and its address is used by another service while this
// sidecar still runs.
TEST_CASE(
    "upstream_gate: no first packet is delivered after a heartbeat of another "
    "service") {
  LeaseFixture f;
  f.OpenFlow(1);
  const int before = f.sink.delivered;
  f.AdvanceTime(milliseconds(2000));
  f.AnnounceOtherService(1);
  CHECK(f.sink.last(HopKind::kLoad).load.unresponsive);
  f.ReceiveFromCaller(f.CallerSyn(2));
  f.ReceiveFromCaller(f.CallerSyn(3), "patio", /*final_offer=*/true);
  CHECK(f.sink.count(HopKind::kReturned) == 2);
  CHECK(f.sink.last(HopKind::kReturned).reason == ReturnReason::kUnresponsive);
  // The other upstream would open a flow for the copy of an earlier one.
  f.ReceiveFromCaller(f.CallerSyn(1));
  CHECK(f.sink.delivered == before);
  // A later packet shows whether the upstream still holds the flow.
  f.ReceiveFromCaller(f.CallerData(1));
  CHECK(f.sink.delivered == before + 1);
}

TEST_CASE(
    "upstream_gate: an upstream gets flows again after a heartbeat of another "
    "writer") {
  LeaseFixture f;
  f.AnnounceOtherService(1);
  CHECK(f.gate.load().unresponsive);
  for (int i = 0; i < 2; ++i) {
    f.AdvanceTime(milliseconds(1200));
    f.Heartbeat();
  }
  CHECK_FALSE(f.gate.load().unresponsive);
  f.ReceiveFromCaller(f.CallerSyn(1));
  CHECK(f.sink.delivered == 1);
}

TEST_CASE(
    "upstream_gate: a waiting first packet is returned when an upstream of "
    "another service announces itself") {
  LeaseFixture f;
  f.AdvanceTime(milliseconds(1800));
  f.ReceiveFromCaller(f.CallerSyn(1), "patio", /*final_offer=*/true);
  REQUIRE(f.gate.waiting() == 1);
  f.AnnounceOtherService(1);
  CHECK(f.gate.waiting() == 0);
  CHECK(f.sink.last(HopKind::kReturned).reason == ReturnReason::kUnresponsive);
}

// Guards against refused flows of a service with one upstream, which another
// writer's heartbeat concerned.
TEST_CASE(
    "upstream_gate: flows wait when a heartbeat of another service arrives "
    "beside an upstream that is not silent") {
  LeaseFixture f;
  f.OpenFlow(1);
  f.AnnounceOtherService(1);
  f.ReceiveFromCaller(f.CallerSyn(2));
  CHECK(f.sink.last(HopKind::kReturned).reason == ReturnReason::kQueueFull);
  f.ReceiveFromCaller(f.CallerSyn(2), "patio", /*final_offer=*/true);
  CHECK(f.gate.waiting() == 1);
  const int before = f.sink.delivered;
  f.AdvanceTime(milliseconds(600));
  f.Heartbeat();
  CHECK(f.sink.delivered == before);
  f.ReceiveFromUpstream(f.ResponseData(1));
  CHECK(f.sink.delivered == before + 1);
}

TEST_CASE(
    "upstream_gate: packets that waited during a pause or a suspension do not "
    "keep the lease") {
  LeaseFixture f;
  f.OpenFlow(1);
  f.gate.SetPacketsSentAfter(f.now);
  SECTION("a pause") {
    f.now += milliseconds(1000);
    f.ReceiveFromUpstream(f.ResponseData(1));
    CHECK(f.gate.LeaseAt(f.now) == LeaseState::kHeld);
    f.now += milliseconds(1000);
  }
  SECTION("a suspension") { f.gate.OnSuspension(milliseconds(2000), f.now); }
  CHECK(f.gate.LeaseAt(f.now) == LeaseState::kLapsed);
}

TEST_CASE("upstream_gate: packets that the upstream rejects keep the lease") {
  LeaseFixture f;
  for (int i = 0; i < 4; ++i) {
    f.AdvanceTime(milliseconds(1000));
    f.gate.OnRejectedPacket(f.CallerData(1), f.now);
  }
  CHECK(f.gate.LeaseAt(f.now) == LeaseState::kHeld);
}

// Guards against first packets that waited in the socket of a paused sidecar
// while its upstream was replaced.
TEST_CASE("upstream_gate: no first packet is delivered after a long pause") {
  LeaseFixture f;
  f.OpenFlow(1);
  const int before = f.sink.delivered;
  f.gate.SetPacketsSentAfter(f.now);
  f.now += milliseconds(2000);
  f.ReceiveFromUpstream(f.ResponseData(1));
  f.ReceiveFromCaller(f.CallerSyn(2));
  CHECK(f.sink.delivered == before);
  CHECK(f.sink.count(HopKind::kReturned) == 1);
  f.Heartbeat();
  f.gate.SetPacketsSentAfter(f.now);
  f.ReceiveFromUpstream(f.ResponseData(1));
  f.ReceiveFromCaller(f.CallerSyn(2));
  CHECK(f.sink.delivered == before + 1);
}

TEST_CASE(
    "upstream_gate: a sidecar that has just started delivers no first packet "
    "before a heartbeat and lets flows without another choice wait for it") {
  Sink sink;
  TimePoint now{std::chrono::hours(1)};
  UpstreamGate<Sink> gate{"patio", kLeaseDuration, &sink};
  Fixture packets;
  request::HopMessage message;
  message.kind = HopKind::kPacket;
  message.service = request::ServiceTagOf("patio");
  message.max_wait = milliseconds(1200);
  gate.OnCallerPacket(kEntry, message, packets.CallerSyn(1), now);
  CHECK(sink.last(HopKind::kReturned).reason == ReturnReason::kQueueFull);
  message.final_offer = true;
  gate.OnCallerPacket(kEntry, message, packets.CallerSyn(1), now);
  CHECK(gate.waiting() == 1);
  CHECK(sink.delivered == 0);
  now += milliseconds(600);
  gate.OnTick(now);
  gate.OnIdentity({"patio", "i-1", kStartedAfterSidecar, 2, false}, now);
  CHECK(sink.delivered == 0);
  gate.OnHeartbeat({"patio", {"i-1", kStartedAfterSidecar}, 1}, now, now);
  CHECK(sink.delivered == 1);
}

TEST_CASE(
    "upstream_gate: flows do not wait for an upstream that has been silent for "
    "long") {
  LeaseFixture f;
  f.AdvanceTime(2 * kLeaseDuration + milliseconds(100));
  f.ReceiveFromCaller(f.CallerSyn(1), "patio", /*final_offer=*/true);
  CHECK(f.sink.last(HopKind::kReturned).reason == ReturnReason::kUnresponsive);
  CHECK(f.gate.waiting() == 0);
  f.Heartbeat();
  f.AdvanceTime(milliseconds(1200));
  f.Heartbeat();
  f.ReceiveFromCaller(f.CallerSyn(1), "patio", /*final_offer=*/true);
  CHECK(f.sink.delivered == 1);
}

// Guards against flows that wait for their callers' deadlines although no
// heartbeat is expected any more, and against a queue that keeps them after it.
TEST_CASE(
    "upstream_gate: waiting first packets are returned when the upstream has "
    "been silent for long") {
  Sink sink;
  TimePoint now{std::chrono::hours(1)};
  UpstreamGate<Sink> gate{"patio", kLeaseDuration, &sink};
  Fixture packets;
  request::HopMessage message;
  message.kind = HopKind::kPacket;
  message.service = request::ServiceTagOf("patio");
  message.max_wait = milliseconds(4000);
  message.final_offer = true;
  gate.OnCallerPacket(kEntry, message, packets.CallerSyn(1), now);
  REQUIRE(gate.waiting() == 1);
  for (const TimePoint end = now + 2 * kLeaseDuration; now < end;) {
    now += milliseconds(50);
    gate.OnTick(now);
  }
  // A flow that arrives now is returned at once.
  gate.OnCallerPacket(kEntry, message, packets.CallerSyn(2), now);
  REQUIRE(sink.last(HopKind::kReturned).reason == ReturnReason::kUnresponsive);
  CHECK(sink.count(HopKind::kReturned) == 2);
  for (const TimePoint end = now + milliseconds(60000); now < end;) {
    now += milliseconds(50);
    gate.OnTick(now);
  }
  CHECK(gate.waiting() == 0);
}

// Guards against resets of bulk transfers after a restart of their sidecar
// beside a live upstream: entry instances let them wait for no slot.
TEST_CASE(
    "upstream_gate: a bulk transfer without another choice waits for the first "
    "heartbeat") {
  Sink sink;
  TimePoint now{std::chrono::hours(1)};
  UpstreamGate<Sink> gate{"patio", kLeaseDuration, &sink};
  Fixture packets;
  request::HopMessage message;
  message.kind = HopKind::kPacket;
  message.service = request::ServiceTagOf("patio");
  message.max_wait = milliseconds(0);
  message.final_offer = true;
  gate.OnCallerPacket(kEntry, message, packets.CallerSyn(1), now);
  CHECK(sink.count(HopKind::kReturned) == 0);
  now += milliseconds(600);
  gate.OnTick(now);
  gate.OnIdentity({"patio", "i-1", kStartedAfterSidecar, 2, false}, now);
  gate.OnHeartbeat({"patio", {"i-1", kStartedAfterSidecar}, 1}, now, now);
  CHECK(sink.delivered == 1);
}

TEST_CASE("upstream_gate: load is reported to active entry instances") {
  Fixture f;
  f.OpenFlow(1);
  f.ReceiveFromCaller(f.CallerData(1));
  const size_t before = f.sink.count(HopKind::kLoad);
  f.AdvanceTime(milliseconds(100));
  CHECK(f.sink.count(HopKind::kLoad) > before);
  CHECK(f.sink.last(HopKind::kLoad).load.in_progress == 1);
}

// Guards against decisions with outdated load: reports are up to 100 ms old,
// four times as long as a request takes.
TEST_CASE(
    "upstream_gate: a flow that would wait for a slot is returned with the "
    "current load") {
  Fixture f;
  f.ReceiveFromCaller(f.CallerSyn(1));
  f.ReceiveFromCaller(f.CallerSyn(2));
  f.ReceiveFromCaller(f.CallerSyn(3));
  CHECK(f.sink.last(HopKind::kReturned).reason == ReturnReason::kQueueFull);
  CHECK(f.sink.last(HopKind::kLoad).load.opening == 2);
  CHECK(f.sink.delivered == 2);
  f.ReceiveFromCaller(f.CallerSyn(3), "patio", /*final_offer=*/true);
  CHECK(f.sink.delivered == 3);
}

TEST_CASE("upstream_gate: the list contains all flows") {
  Fixture f;
  request::HopMessage query;
  query.kind = HopKind::kList;
  query.service = request::ServiceTagOf("patio");
  query.list.round = 5;
  f.gate.OnHopMessage(kEntry, query, f.now);
  CHECK(f.sink.last(HopKind::kFlows).list == request::FlowList{5, 0, 1, false});
  CHECK(f.sink.last_bytes.empty());
  f.OpenFlow(1);
  f.gate.OnHopMessage(kEntry, query, f.now);
  CHECK(request::DecodeFingerprints(f.sink.last_bytes) ==
        std::vector{request::FlowFingerprint(Fixture::Key(1))});
  // A flow of another service cannot be held here, known or not.
  query.service = request::ServiceTagOf("evidencia");
  f.gate.OnHopMessage(kEntry, query, f.now);
  CHECK_FALSE(f.sink.last(HopKind::kFlows).list.inconclusive);
}

// An entry of another writer with an unknown service stood in place of the
// sidecar's record: the sidecar replied that it did not hold its own flows, and
// the entry instance reset them.
TEST_CASE("upstream_gate: a flow is found whatever service the query names") {
  constexpr const char* kOther = "of-another-writer";
  Fixture f;
  f.OpenFlow(1);
  request::HopMessage query;
  query.service = request::ServiceTagOf(kOther);
  query.kind = HopKind::kList;
  f.gate.OnHopMessage(kEntry, query, f.now);
  CHECK(request::DecodeFingerprints(f.sink.last_bytes) ==
        std::vector{request::FlowFingerprint(Fixture::Key(1))});
  f.QueryHolder(1, 501, kOther);
  CHECK(f.sink.last(HopKind::kHeld).service == request::ServiceTagOf("patio"));
  f.QueryHolder(2, 501, kOther);
  CHECK(f.sink.count(HopKind::kNotHeld) == 1);
  // The next service at the address holds none of these flows.
  f.gate.OnIdentity({"evidencia", "i-2", kStartedAfterSidecar + 5000, 2, false},
                    f.now);
  f.QueryHolder(1, 501, kOther);
  CHECK(f.sink.count(HopKind::kNotHeld) == 2);
  CHECK(f.sink.count(HopKind::kHeld) == 1);
}

TEST_CASE(
    "upstream_gate: a missing record is passed on and answered with a load "
    "report") {
  Fixture f;
  request::HopMessage message;
  message.kind = HopKind::kUnlisted;
  message.service = request::ServiceTagOf("patio");
  const size_t before = f.sink.count(HopKind::kLoad);
  f.gate.OnHopMessage(kEntry, message, f.now);
  CHECK(f.sink.missing_records == 1);
  CHECK(f.sink.count(HopKind::kLoad) == before + 1);
}

TEST_CASE("upstream_gate: a long list is sent in several parts") {
  Fixture f;
  f.AnnounceIdentity(kStartedAfterSidecar, false, 1000);
  for (uint16_t port = 1; port <= 601; ++port) {
    f.ReceiveFromCaller(f.CallerSyn(port));
  }
  request::HopMessage query;
  query.kind = HopKind::kList;
  query.service = request::ServiceTagOf("patio");
  f.gate.OnHopMessage(kEntry, query, f.now);
  CHECK(f.sink.count(HopKind::kFlows) == 3);
  CHECK(f.sink.last(HopKind::kFlows).list == request::FlowList{0, 2, 3, false});
  CHECK(request::DecodeFingerprints(f.sink.last_bytes).size() == 1);
}

TEST_CASE(
    "upstream_gate: the list of a sidecar that may not know all flows is "
    "inconclusive") {
  Fixture f(kStartedBeforeSidecar);
  request::HopMessage query;
  query.kind = HopKind::kList;
  query.service = request::ServiceTagOf("patio");
  f.gate.OnHopMessage(kEntry, query, f.now);
  CHECK(f.sink.last(HopKind::kFlows).list.inconclusive);
}

// Guards against a request that runs at two upstreams: two entry instances
// placed the same first packet at different upstreams, the caller accepted one
// SYN-ACK, and its request reached the other upstream before that one had sent
// its SYN-ACK.
TEST_CASE(
    "upstream_gate: a request that arrives before the upstream's SYN-ACK "
    "belongs to another upstream") {
  Fixture f;
  f.ReceiveFromCaller(f.CallerSyn(1));
  const int before = f.sink.delivered;
  f.ReceiveFromCaller(f.CallerData(1));
  CHECK(f.sink.delivered == before);
  CHECK(f.sink.count(HopKind::kNotHeld) == 1);
  CHECK(f.gate.load().in_progress == 0);
  f.ReceiveFromUpstream(f.SynAck(1));
  f.ReceiveFromCaller(f.CallerData(1, 901));
  CHECK(f.sink.delivered == before);
}

// Guards against a service time that is measured too short after a sidecar
// restart: a response to an earlier request came immediately, the upstream
// seemed a hundred times faster than the others and attracted all new flows of
// the service.
TEST_CASE(
    "upstream_gate: only flows admitted by this process are used to measure "
    "the service time") {
  Fixture f(kStartedBeforeSidecar);
  f.ReceiveFromUpstream(f.UpstreamPacket(1));
  f.ReceiveFromCaller(f.CallerData(1));
  f.now += std::chrono::microseconds(200);
  f.ReceiveFromUpstream(f.ResponseData(1));
  CHECK(f.gate.load().in_progress == 0);
  CHECK(f.gate.load().service_time_us == 0);
  f.OpenFlow(2);
  f.ReceiveFromCaller(f.CallerData(2));
  f.now += milliseconds(30);
  f.ReceiveFromUpstream(f.ResponseData(2));
  CHECK(f.gate.load().service_time_us == 30000);
}

// Guards against retransmitted requests that count as work after their
// response: sidecars held back new flows while slots were free.
TEST_CASE("upstream_gate: a retransmitted request is not counted as work") {
  Fixture f;
  f.OpenFlow(1);
  f.ReceiveFromCaller(f.CallerData(1));
  f.ReceiveFromUpstream(f.ResponseData(1));
  f.ReceiveFromCaller(f.CallerData(1));
  CHECK(f.gate.load().in_progress == 0);
  auto next_request = f.CallerData(1);
  next_request.sequence += next_request.payload_size;
  f.ReceiveFromCaller(next_request);
  CHECK(f.gate.load().in_progress == 1);
}

TEST_CASE(
    "upstream_gate: a retransmitted request that an earlier process delivered "
    "is not counted as work") {
  Fixture f(kStartedBeforeSidecar);
  auto response = f.ResponseData(1);
  response.acknowledgment = f.CallerData(1).sequence + 100;
  f.ReceiveFromUpstream(response);
  f.ReceiveFromCaller(f.CallerData(1));
  CHECK(f.gate.load().in_progress == 0);
}

// Guards against uploads that count as work for a minute after their callers
// gave up.
TEST_CASE(
    "upstream_gate: a request without a response stops counting as work") {
  Fixture f;
  f.OpenFlow(1);
  f.ReceiveFromCaller(f.CallerData(1));
  f.AdvanceTime(milliseconds(4000));
  CHECK(f.gate.load().in_progress == 1);
  f.AdvanceTime(milliseconds(3000));
  CHECK(f.gate.load().in_progress == 0);
  // A late response does not change the count.
  f.ReceiveFromUpstream(f.ResponseData(1));
  CHECK(f.gate.load().in_progress == 0);
}

// Guards against rejections when all callers return at once after a power
// failure: upstreams reject what their queues cannot hold.
TEST_CASE(
    "upstream_gate: a flow for which there is no room waits until a response "
    "starts") {
  Fixture f;
  for (uint16_t port = 1; port <= 6; ++port) {
    f.ReceiveFromCaller(f.CallerSyn(port), "patio", /*final_offer=*/true);
  }
  // Two slots and two additional flows.
  CHECK(f.sink.delivered == 4);
  CHECK(f.gate.waiting() == 2);
  // A retransmitted first packet changes nothing.
  f.ReceiveFromCaller(f.CallerSyn(5));
  CHECK(f.gate.waiting() == 2);
  CHECK(f.sink.count(HopKind::kReturned) == 0);
  f.ReceiveFromUpstream(f.SynAck(1));
  f.ReceiveFromCaller(f.CallerData(1));
  const int before = f.sink.delivered;
  f.ReceiveFromUpstream(f.ResponseData(1));
  CHECK(f.sink.delivered == before + 1);
  CHECK(f.gate.waiting() == 1);
  request::HopMessage hello;
  hello.kind = HopKind::kHello;
  f.gate.OnHopMessage(kEntry, hello, f.now);
  CHECK(f.sink.last(HopKind::kLoad).load.opening == 5);
}

// Guards against flows that wait while slots are free: when several entry
// instances place the same first packets, callers do not open the additional
// flows, which must not count fully as expected work.
TEST_CASE(
    "upstream_gate: more flows are delivered when few of them send a request") {
  Fixture f;
  uint16_t port = 1;
  const auto count_delivered = [&] {
    const int before = f.sink.delivered;
    for (int i = 0; i < 20; ++i) {
      f.ReceiveFromCaller(f.CallerSyn(port), "patio", /*final_offer=*/true);
      f.ReceiveFromUpstream(f.SynAck(port));
      ++port;
    }
    const int n = f.sink.delivered - before;
    // None of them sends a request, and the deadlines of the waiting ones pass.
    f.AdvanceTime(milliseconds(3000));
    f.Heartbeat();
    return n;
  };
  CHECK(count_delivered() == 4);
  for (int i = 0; i < 5; ++i) {
    count_delivered();
  }
  CHECK(count_delivered() >= 8);
}

// Guards against flows that are dropped silently at their deadline: their
// callers waited for their time limit.
TEST_CASE("upstream_gate: a waiting flow is returned at its deadline") {
  Fixture f;
  for (uint16_t port = 1; port <= 5; ++port) {
    f.ReceiveFromCaller(f.CallerSyn(port), "patio", /*final_offer=*/true);
    f.ReceiveFromUpstream(f.SynAck(port));
    f.ReceiveFromCaller(f.CallerData(port));
  }
  REQUIRE(f.gate.waiting() == 1);
  f.AdvanceTime(milliseconds(1150));
  CHECK(f.sink.count(HopKind::kReturned) == 0);
  f.AdvanceTime(milliseconds(50));
  CHECK(f.sink.last(HopKind::kReturned).reason == ReturnReason::kQueueFull);
  CHECK(f.sink.decisions.back().verdict == GateVerdict::kWaitExpired);
  CHECK(f.gate.waiting() == 0);
}

// Guards against urgent flows that wait behind others, and against flows that
// wait although their turn cannot come before their deadline.
TEST_CASE("upstream_gate: flows with a priority are served in its order") {
  Fixture f;
  const auto offer = [&](uint16_t port, uint8_t priority, milliseconds limit) {
    request::HopMessage message;
    message.kind = HopKind::kPacket;
    message.service = request::ServiceTagOf("patio");
    message.final_offer = true;
    message.max_wait = limit;
    message.priority = priority;
    f.gate.OnCallerPacket(kEntry, message, f.CallerSyn(port), f.now);
  };
  for (uint16_t port = 1; port <= 4; ++port) {
    offer(port, 1, milliseconds(300));
    f.ReceiveFromUpstream(f.SynAck(port));
    f.ReceiveFromCaller(f.CallerData(port));
  }
  offer(5, 1, milliseconds(600));
  offer(6, 0, milliseconds(600));
  offer(7, 1, milliseconds(310));
  f.ReceiveFromUpstream(f.ResponseData(1));
  CHECK(f.sink.decisions.back().verdict == GateVerdict::kAdmitted);
  CHECK(f.sink.decisions.back().flow.caller.port == 6);
  f.ReceiveFromUpstream(f.SynAck(6));
  f.ReceiveFromCaller(f.CallerData(6));
  f.AdvanceTime(milliseconds(150));
  CHECK(f.sink.count(HopKind::kReturned) == 0);
  // Without a response for 200 ms, flow 7 behind flow 5 needs as much, and may
  // wait for 110 ms more.
  f.AdvanceTime(milliseconds(50));
  CHECK(f.sink.decisions.back().verdict == GateVerdict::kUnservable);
  CHECK(f.sink.decisions.back().flow.caller.port == 7);
  CHECK(f.sink.last(HopKind::kReturned).reason == ReturnReason::kQueueFull);
  f.ReceiveFromUpstream(f.ResponseData(2));
  CHECK(f.sink.decisions.back().flow.caller.port == 5);
  // A caller that resets its flow ends the wait for its response: the time
  // without a response does not count when the slots are in use again.
  f.ReceiveFromUpstream(f.SynAck(5));
  for (const uint16_t port : {3, 4}) {
    auto reset = f.CallerPacket(port);
    reset.rst = true;
    f.ReceiveFromCaller(reset);
  }
  f.AdvanceTime(milliseconds(200));
  for (uint16_t port = 10; port <= 12; ++port) {
    offer(port, 1, milliseconds(300));
    f.ReceiveFromUpstream(f.SynAck(port));
    f.ReceiveFromCaller(f.CallerData(port));
  }
  offer(14, 1, milliseconds(120));
  REQUIRE(f.gate.waiting() == 1);
  f.AdvanceTime(milliseconds(50));
  CHECK(f.sink.count(HopKind::kReturned) == 1);
}

TEST_CASE("upstream_gate: waiting flows are returned when a drain starts") {
  Fixture f;
  for (uint16_t port = 1; port <= 5; ++port) {
    f.ReceiveFromCaller(f.CallerSyn(port), "patio", /*final_offer=*/true);
  }
  const int before = f.sink.delivered;
  f.AnnounceIdentity(kStartedAfterSidecar, true);
  CHECK(f.sink.last(HopKind::kReturned).reason == ReturnReason::kDraining);
  CHECK(f.sink.count(HopKind::kReturned) == 1);
  CHECK(f.gate.waiting() == 0);
  CHECK(f.sink.delivered == before);
}

TEST_CASE(
    "upstream_gate: waiting flows are returned when the upstream becomes "
    "unresponsive") {
  Fixture f;
  for (uint16_t port = 1; port <= 5; ++port) {
    f.ReceiveFromCaller(f.CallerSyn(port), "patio", /*final_offer=*/true);
  }
  f.AdvanceTime(milliseconds(200));
  CHECK(f.sink.last(HopKind::kReturned).reason == ReturnReason::kUnresponsive);
  CHECK(f.gate.waiting() == 0);
}

// Guards against probes of every lost flow at every upstream after a power
// failure, when sidecars and their upstreams start at about the same time.
TEST_CASE(
    "upstream_gate: a sidecar that got its upstream's first heartbeat has seen "
    "every flow") {
  Fixture f(kStartedBeforeSidecar);
  f.AnnounceNewIdentity(kSidecarStart - 500);
  // The store has the upstream from before the power failure.
  f.gate.OnStoredIncarnation(kStartedBeforeSidecar);
  f.QueryHolder(1);
  CHECK(f.sink.count(HopKind::kNotHeld) == 1);
  f.ReceiveFromCaller(f.CallerData(1));
  CHECK(f.sink.delivered == 0);
}

// A sidecar that was stopped and started within a second after its upstream's
// start denied the flows that its predecessor had admitted.
TEST_CASE(
    "upstream_gate: a sidecar whose predecessor recorded the upstream has not "
    "seen every flow") {
  // With the sidecar's clock stepped back the upstream seems to be the later
  // one.
  for (const uint64_t start : {kSidecarStart - 500, kStartedAfterSidecar}) {
    Fixture f(kStartedBeforeSidecar);
    f.AnnounceNewIdentity(start);
    f.gate.OnStoredIncarnation(start);
    f.QueryHolder(1);
    CHECK(f.sink.count(HopKind::kInconclusive) == 1);
    CHECK(f.sink.count(HopKind::kNotHeld) == 0);
    f.ReceiveFromCaller(f.CallerData(1));
    CHECK(f.sink.delivered == 1);
    // It has seen those of a later incarnation.
    f.AnnounceIdentity(kStartedAfterSidecar + 5000);
    f.QueryHolder(2);
    CHECK(f.sink.count(HopKind::kNotHeld) == 1);
  }
}

// Callers saw resets of open flows: an upstream crashed and started again, its
// first heartbeat was lost, and the sidecar that had admitted the flows was
// restarted before the next one. The store had the record of the earlier start.
TEST_CASE(
    "upstream_gate: a sidecar that missed its upstream's first heartbeat has "
    "not seen every flow") {
  IdentityTracker tracker("patio");
  const uint64_t start = kSidecarStart - 900;
  UpstreamHeartbeat heartbeat{{"patio", "i-2", start, 2, false}, 2};
  Fixture f(kStartedBeforeSidecar);
  tracker.OnHeartbeat(heartbeat, start + 1200, f.now);
  f.gate.OnIdentity(*tracker.current(), f.now);
  f.gate.OnStoredIncarnation(kStartedBeforeSidecar);
  f.QueryHolder(1);
  CHECK(f.sink.count(HopKind::kInconclusive) == 1);
  f.ReceiveFromCaller(f.CallerData(1));
  CHECK(f.sink.delivered == 1);
  CHECK(f.sink.count(HopKind::kNotHeld) == 0);
  f.ReceiveFromUpstream(f.UpstreamPacket(1));
  CHECK(f.sink.count(HopKind::kHeld) == 1);
}

// Guards against lost flows that are not reset for a minute after a power
// failure in which upstreams started before their sidecars: each sidecar could
// only reply that its upstream may hold any flow.
TEST_CASE(
    "upstream_gate: a sidecar that missed its upstream's first heartbeat "
    "replies that it missed only the first flows") {
  Fixture f(kStartedBeforeSidecar);
  UpstreamIdentity identity{"patio", "i-2", kSidecarStart - 900, 2, false};
  identity.is_new = true;
  f.gate.OnIdentity(identity, f.now);
  f.QueryHolder(1);
  CHECK_FALSE(f.sink.last(HopKind::kInconclusive).missed_only_first_flows);
  f.gate.OnStoredIncarnation(kStartedBeforeSidecar);
  f.QueryHolder(1);
  CHECK(f.sink.last(HopKind::kInconclusive).missed_only_first_flows);
  request::HopMessage query;
  query.kind = HopKind::kList;
  query.service = request::ServiceTagOf("patio");
  f.gate.OnHopMessage(kEntry, query, f.now);
  CHECK(f.sink.last(HopKind::kFlows).list.inconclusive);
  CHECK(f.sink.last(HopKind::kFlows).list.missed_only_first_flows);
  // An earlier process recorded the upstream and may have run for long.
  f.gate.OnStoredIncarnation(kSidecarStart - 900);
  f.QueryHolder(1);
  CHECK_FALSE(f.sink.last(HopKind::kInconclusive).missed_only_first_flows);
}

TEST_CASE(
    "upstream_gate: a sidecar that started shortly after its upstream draws no "
    "conclusion before the store was read") {
  Fixture f(kStartedBeforeSidecar);
  f.AnnounceNewIdentity(kSidecarStart - 500);
  f.QueryHolder(1);
  CHECK(f.sink.count(HopKind::kInconclusive) == 1);
  f.gate.OnStoredIncarnation(0);
  f.QueryHolder(1);
  CHECK(f.sink.count(HopKind::kNotHeld) == 1);
}

// With the store unavailable, a sidecar that restarted after its clock was
// stepped back took its upstream for the later one and denied its flows.
TEST_CASE(
    "upstream_gate: start times prove nothing about the flows of an upstream") {
  Fixture f(kStartedBeforeSidecar);
  f.gate.OnIdentity({"patio", "i-2", kStartedAfterSidecar, 2, false}, f.now);
  f.QueryHolder(1);
  CHECK(f.sink.count(HopKind::kInconclusive) == 1);
  // The record of an earlier upstream does not show when this one started.
  f.gate.OnStoredIncarnation(kStartedBeforeSidecar);
  f.QueryHolder(1);
  CHECK(f.sink.count(HopKind::kInconclusive) == 2);
  CHECK(f.sink.count(HopKind::kNotHeld) == 0);
}

// Guards against searches that stay without a result for as long as an upstream
// lives whose sidecar was restarted.
TEST_CASE(
    "upstream_gate: a sidecar that ran for the idle time of flows has seen all "
    "of them") {
  Fixture f(kStartedBeforeSidecar);
  f.AdvanceTime(milliseconds(59000));
  f.QueryHolder(1);
  CHECK(f.sink.count(HopKind::kInconclusive) == 1);
  f.AdvanceTime(milliseconds(1100));
  f.QueryHolder(1);
  CHECK(f.sink.count(HopKind::kNotHeld) == 1);
}

TEST_CASE("upstream_gate: the upstream is probed only once about a flow") {
  Fixture f(kStartedBeforeSidecar);
  f.ReceiveFromCaller(f.CallerData(1));
  f.gate.OnRejectedPacket(f.CallerData(1), f.now);
  f.QueryHolder(1);
  f.ReceiveFromCaller(f.CallerData(1));
  CHECK(f.sink.delivered == 1);
  CHECK(f.sink.count(HopKind::kNotHeld) == 3);
  // A new flow from the same port is admitted and held.
  f.ReceiveFromCaller(f.CallerSyn(1));
  f.ReceiveFromUpstream(f.SynAck(1));
  f.QueryHolder(1);
  CHECK(f.sink.count(HopKind::kHeld) == 1);
}

// An upstream sent a late copy of its response after the caller had opened a
// new flow from the same port: it reached the new flow and marked it as ended.
TEST_CASE("upstream_gate: a late packet of an earlier flow is dropped") {
  Fixture f;
  f.ReceiveFromCaller(f.CallerSyn(1));
  f.ReceiveFromUpstream(f.SynAck(1));
  auto again = f.CallerSyn(1);
  again.sequence = 4000000077;
  f.ReceiveFromCaller(again);
  const int sent = f.sink.sent_to_caller;
  auto late = f.ResponseData(1);
  late.fin = true;
  f.ReceiveFromUpstream(late);
  CHECK(f.sink.sent_to_caller == sent);
  CHECK(f.sink.decisions.back().verdict == GateVerdict::kEarlierFlow);
  auto current = f.SynAck(1);
  current.acknowledgment = 4000000078;
  f.ReceiveFromUpstream(current);
  CHECK(f.sink.sent_to_caller == sent + 1);
}

// A sidecar that was stopped ended as soon as a response had begun, in the
// middle of a download.
TEST_CASE(
    "upstream_gate: a response that is being sent keeps the sidecar busy") {
  Fixture f;
  f.now += milliseconds(1000);
  CHECK_FALSE(f.gate.IsBusy(f.now));
  f.ReceiveFromCaller(f.CallerSyn(1));
  CHECK(f.gate.IsBusy(f.now));
  f.ReceiveFromUpstream(f.SynAck(1));
  f.ReceiveFromCaller(f.CallerData(1));
  f.now += milliseconds(30);
  f.ReceiveFromUpstream(f.ResponseData(1));
  CHECK(f.gate.load().in_progress == 0);
  CHECK(f.gate.IsBusy(f.now + milliseconds(59)));
  CHECK_FALSE(f.gate.IsBusy(f.now + milliseconds(60)));
}

}  // namespace
}  // namespace kumquatvalve::connection
