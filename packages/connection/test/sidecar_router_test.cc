#include "kumquatvalve/connection/sidecar_router.h"

#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "kumquatvalve/connection/always_accept_policy.h"

namespace kumquatvalve::connection {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr request::InstanceId kSelf{1};
constexpr request::InstanceId kPeer{2};
constexpr request::InstanceId kThird{3};
constexpr request::Incarnation kIncarnation{50};
constexpr request::ServiceId kService{7};
constexpr TimePoint kStart{seconds(100)};
// The earliest time after a start at which flows may be refused.
constexpr TimePoint kSettled = kStart + RowOwnership::kNoRefusalPeriod;

using Bytes = std::vector<std::byte>;

struct RecordingSink {
  void Deliver(std::span<const std::byte> packet) {
    delivered.emplace_back(packet.begin(), packet.end());
  }
  void Forward(request::InstanceId /*peer*/,
               const request::ForwardHeader& header,
               std::span<const std::byte> /*packet*/) {
    forwarded.push_back(header);
  }
  void Answer(std::span<const std::byte> packet) {
    answered.emplace_back(packet.begin(), packet.end());
  }
  void Send(request::InstanceId peer, const PeerMessage& message) {
    sent.emplace_back(peer, message);
  }
  void Drop(request::ResultCode code) { dropped = code; }

  std::vector<Bytes> delivered;
  std::vector<Bytes> answered;
  std::vector<request::ForwardHeader> forwarded;
  std::vector<std::pair<request::InstanceId, PeerMessage>> sent;
  request::ResultCode dropped = request::ResultCode::kOk;
};

// Returns the decision that the test sets.
class FixedPolicy : public AlwaysAcceptPolicy {
 public:
  Admission FirstPacket(const AdmissionRequest& /*request*/,
                        TimePoint /*now*/) {
    return next;
  }
  Admission next{Admission::Kind::kAccept, {}, {}};
};

using Router = SidecarRouter<RecordingSink, FixedPolicy>;

request::FlowKey Key(uint16_t port) {
  const std::array<uint8_t, 4> caller = {10, 0, 0, 1};
  const std::array<uint8_t, 4> service = {10, 0, 0, 2};
  return {{request::MapIpv4(caller.data()), port},
          {request::MapIpv4(service.data()), 80},
          IPPROTO_TCP};
}

request::ParsedPacket Parse(std::span<const std::byte> bytes) {
  request::Failure failure;
  return request::ParsePacket(bytes, &failure).value();
}

EmptySegment FromCallerSegment(uint16_t port, uint32_t sequence,
                               uint32_t acknowledgment) {
  EmptySegment segment;
  segment.flow = Key(port);
  segment.ack = true;
  segment.sequence = sequence;
  segment.acknowledgment = acknowledgment;
  return segment;
}

EmptySegment SynSegment(uint16_t port, uint32_t isn) {
  EmptySegment segment;
  segment.flow = Key(port);
  segment.syn = true;
  segment.sequence = isn;
  return segment;
}

// Appends four payload bytes to an IPv4 segment.
Bytes WithPayload(const EmptySegment& segment) {
  Bytes bytes = BuildSegment(segment);
  bytes.resize(bytes.size() + 4);
  bytes[3] = static_cast<std::byte>(bytes.size());
  return bytes;
}

// One router; `kPeer` and `kThird` are its peers. Tables have one row.
struct Fixture {
  explicit Fixture(TimePoint start = kStart) : now(start) {
    config.self = kSelf;
    config.incarnation = kIncarnation;
    config.service = kService;
    router.emplace(config, &sink, &policy, now);
  }

  void Table(uint64_t version, version::UpstreamIndex owner,
             bool draining = false) {
    auto table = std::make_shared<version::ForwardingTable>();
    table->service = kService;
    table->version = {version};
    for (const request::InstanceId it : {kSelf, kPeer, kThird}) {
      table->upstreams.emplace_back().instance = it;
    }
    table->upstreams[0].draining = draining;
    table->owner = {owner};
    table->backup = {static_cast<version::UpstreamIndex>(owner == 1 ? 0 : 1)};
    router->OnTable(table, now);
  }

  void OwnRow(uint64_t version = 1) {
    Table(version, 0);
    for (const request::InstanceId it : {kPeer, kThird}) {
      router->OnPeerMessage(
          it, RowHandover{kService, {version}, {{0}}, {}, true, true}, now);
    }
  }

  // Advances the clock in steps too short to count as a pause of the process.
  void AdvanceTo(TimePoint until) {
    while (now < until) {
      now += milliseconds(100);
      router->OnTick(now);
    }
  }

  request::ForwardHeader Header(uint8_t flags = request::kToOwner) const {
    request::ForwardHeader header;
    header.flags = flags;
    header.service = kService;
    header.target = kSelf;
    header.target_incarnation = kIncarnation;
    return header;
  }

  void ReceiveFromEntry(const Bytes& bytes, uint8_t flags = request::kToOwner) {
    router->OnForwarded(Header(flags), Parse(bytes), now);
  }

  void ReceiveFromUpstream(const EmptySegment& segment) {
    router->OnUpstreamPacket(Parse(BuildSegment(segment)), now);
  }

  void SendSynAck(uint16_t port, uint32_t sequence, uint32_t acknowledgment) {
    EmptySegment segment = FromCallerSegment(port, sequence, acknowledgment);
    segment.flow = request::Reverse(segment.flow);
    segment.syn = true;
    ReceiveFromUpstream(segment);
  }

  // Opens a flow with caller ISN 5 and upstream ISN 900.
  void OpenFlow(uint16_t port) {
    ReceiveFromEntry(BuildSegment(SynSegment(port, 5)));
    SendSynAck(port, 900, 6);
    ReceiveFromEntry(BuildSegment(FromCallerSegment(port, 6, 901)));
  }

  TimePoint now;
  RecordingSink sink;
  FixedPolicy policy;
  SidecarRouterConfig config;
  std::optional<Router> router;
};

// Guards against packets that reach the upstream of another service after an
// address was reused.
TEST_CASE("sidecar_router: a packet for another service is dropped") {
  Fixture it;
  it.OwnRow();
  const Bytes syn = BuildSegment(SynSegment(1000, 5));
  auto header = it.Header();
  header.service = {8};
  it.router->OnForwarded(header, Parse(syn), it.now);
  CHECK(it.sink.dropped == request::ResultCode::kWrongService);
  header = it.Header();
  header.target = kPeer;
  it.router->OnForwarded(header, Parse(syn), it.now);
  CHECK(it.sink.dropped == request::ResultCode::kWrongService);
  header = it.Header();
  header.target_incarnation = {49};
  it.router->OnForwarded(header, Parse(syn), it.now);
  CHECK(it.sink.dropped == request::ResultCode::kWrongIncarnation);
  CHECK(it.sink.delivered.empty());
  it.ReceiveFromEntry(syn);
  CHECK(it.sink.delivered.size() == 1);
}

// Guards against forwarding loops between sidecars with different tables.
TEST_CASE("sidecar_router: a packet goes to the owner, at most four hops") {
  Fixture it;
  it.Table(1, 1);
  const Bytes syn = BuildSegment(SynSegment(1000, 5));
  it.ReceiveFromEntry(syn);
  REQUIRE(it.sink.forwarded.size() == 1);
  CHECK(it.sink.forwarded[0].target == kPeer);
  CHECK(it.sink.forwarded[0].hops == 2);
  auto header = it.Header();
  header.hops = request::kMaxHops;
  it.router->OnForwarded(header, Parse(syn), it.now);
  CHECK(it.sink.forwarded.size() == 1);
  CHECK(it.sink.dropped == request::ResultCode::kTooManyHops);
}

// Two sidecars may have admitted the flow; only one of them has the handshake
// that the caller completed, and only its upstream may see the payload.
TEST_CASE("sidecar_router: payload needs the acknowledgment of the handshake") {
  Fixture it;
  it.OwnRow();
  it.ReceiveFromEntry(BuildSegment(SynSegment(1000, 5)));
  it.SendSynAck(1000, 900, 6);
  it.ReceiveFromEntry(WithPayload(FromCallerSegment(1000, 6, 7777)));
  CHECK(it.sink.delivered.size() == 1);
  CHECK(it.sink.dropped == request::ResultCode::kWrongAcknowledgment);
  it.ReceiveFromEntry(WithPayload(FromCallerSegment(1000, 6, 901)));
  CHECK(it.sink.delivered.size() == 2);
}

// "Refused, not run" would be untrue if a duplicate of the SYN reached the
// upstream.
TEST_CASE("sidecar_router: a refused flow never reaches the upstream") {
  Fixture it;
  it.OwnRow();
  it.AdvanceTo(kSettled);
  it.policy.next = {Admission::Kind::kRefuse, {}, {}};
  const Bytes syn = BuildSegment(SynSegment(1000, 5));
  it.ReceiveFromEntry(syn);
  REQUIRE(it.sink.answered.size() == 1);
  CHECK(Parse(it.sink.answered[0]).rst);
  CHECK(it.sink.dropped == request::ResultCode::kRefusedNotRun);
  // A late duplicate, after a slot got free.
  it.policy.next = {Admission::Kind::kAccept, {}, {}};
  it.ReceiveFromEntry(syn);
  CHECK(it.sink.delivered.empty());
  // A new attempt of the caller from the same port.
  it.ReceiveFromEntry(BuildSegment(SynSegment(1000, 6000)));
  CHECK(it.sink.delivered.size() == 1);
}

// Before its restart the sidecar may have delivered a SYN of the flow.
TEST_CASE(
    "sidecar_router: no flow is refused soon after a start or a peer's death") {
  Fixture it;
  it.OwnRow();
  it.policy.next = {Admission::Kind::kRefuse, {}, {}};
  it.ReceiveFromEntry(BuildSegment(SynSegment(1000, 5)));
  CHECK(it.sink.answered.empty());
  it.AdvanceTo(kSettled);
  it.router->OnPeerState(kPeer, {1}, PeerState::kDead, it.now);
  it.ReceiveFromEntry(BuildSegment(SynSegment(1001, 5)));
  CHECK(it.sink.answered.empty());
}

// A SYN flood evicts flows whose SYN reached the upstream, so a later refusal
// as "not run" could be untrue.
TEST_CASE("sidecar_router: no flow is refused soon after an eviction") {
  Fixture it;
  it.config.max_flows = 1;
  it.router.emplace(it.config, &it.sink, &it.policy, it.now);
  it.OwnRow();
  it.AdvanceTo(kSettled);
  it.ReceiveFromEntry(BuildSegment(SynSegment(1000, 5)));
  it.ReceiveFromEntry(BuildSegment(SynSegment(1001, 5)));
  CHECK(it.router->stats().evicted == 1);
  it.policy.next = {Admission::Kind::kRefuse, {}, {}};
  it.ReceiveFromEntry(BuildSegment(SynSegment(1000, 5)));
  CHECK(it.sink.answered.empty());
}

// R6: a flow that arrives after the drain began must not start here, while the
// open flow continues.
TEST_CASE("sidecar_router: a drain admits no new flow and keeps open ones") {
  Fixture it;
  it.OwnRow();
  it.OpenFlow(1000);
  it.router->StartDrain(it.now);
  const size_t before = it.sink.delivered.size();
  it.ReceiveFromEntry(BuildSegment(SynSegment(1001, 5)));
  CHECK(it.sink.delivered.size() == before);
  REQUIRE(it.sink.forwarded.size() == 1);
  CHECK((it.sink.forwarded[0].flags & request::kPassedOn) != 0);
  CHECK(it.router->OpenFlows() == 1);
  it.ReceiveFromEntry(WithPayload(FromCallerSegment(1000, 6, 901)));
  CHECK(it.sink.delivered.size() == before + 1);
  EmptySegment reset = FromCallerSegment(1000, 10, 0);
  reset.ack = false;
  reset.rst = true;
  it.ReceiveFromEntry(BuildSegment(reset));
  CHECK(it.router->OpenFlows() == 0);
}

// R6: an operator's drain arrives with a table. A peer with an older table may
// still pass a first packet on, which must not start here; after the drain is
// cancelled it must.
TEST_CASE("sidecar_router: a table can start and cancel a drain") {
  Fixture it;
  it.OwnRow();
  it.Table(2, 1, true);
  const auto pass = [&](uint16_t port) {
    const Bytes syn = BuildSegment(SynSegment(port, 5));
    const request::ForwardHeader header{
        request::kPassedOn, 2, {0}, kService, {2}, kPeer, kSelf, kIncarnation};
    it.router->OnForwarded(header, Parse(syn), it.now);
  };
  const size_t before = it.sink.delivered.size();
  pass(1000);
  CHECK(it.sink.delivered.size() == before);
  it.Table(3, 1, false);
  pass(1001);
  CHECK(it.sink.delivered.size() == before + 1);
}

// Guards against a sidecar that admits flows again while it stops, because a
// shorter reason not to admit them has ended (R6, R7).
TEST_CASE("sidecar_router: the drain of a stopping process does not end") {
  Fixture it;
  it.OwnRow();
  it.router->SetAdmitting(false, it.now);
  it.ReceiveFromEntry(BuildSegment(SynSegment(1000, 5)));
  CHECK(it.sink.delivered.empty());
  CHECK(it.sink.forwarded.size() == 1);
  it.router->SetAdmitting(true, it.now);
  it.ReceiveFromEntry(BuildSegment(SynSegment(1001, 5)));
  CHECK(it.sink.delivered.size() == 1);

  it.router->SetAdmitting(false, it.now);
  it.router->StartDrain(it.now);
  it.router->SetAdmitting(true, it.now);
  it.ReceiveFromEntry(BuildSegment(SynSegment(1002, 5)));
  CHECK(it.sink.delivered.size() == 1);
}

// A retransmitted SYN that goes to another peer than the first could open the
// flow at two upstreams.
TEST_CASE(
    "sidecar_router: all duplicates of a passed-on SYN go to the same peer") {
  Fixture it;
  it.OwnRow();
  it.policy.next = {Admission::Kind::kPass, kThird, {}};
  const Bytes syn = BuildSegment(SynSegment(1000, 5));
  it.ReceiveFromEntry(syn);
  it.policy.next = {Admission::Kind::kAccept, {}, {}};
  it.ReceiveFromEntry(syn);
  REQUIRE(it.sink.forwarded.size() == 2);
  CHECK(it.sink.forwarded[0].target == kThird);
  CHECK(it.sink.forwarded[1].target == kThird);
  CHECK(it.sink.delivered.empty());
}

// After a restart of the sidecar its upstream's connections must continue, and
// connections of other upstreams must not be reset.
TEST_CASE(
    "sidecar_router: an unknown flow is adopted when the upstream holds it") {
  Fixture it;
  it.OwnRow();
  const Bytes request = WithPayload(FromCallerSegment(1000, 500, 901));
  it.ReceiveFromEntry(request);
  REQUIRE(it.sink.delivered.size() == 1);
  const auto probe = Parse(it.sink.delivered[0]);
  CHECK(probe.sequence == 499);
  CHECK(probe.payload_size == 0);

  SECTION("a reset is suppressed") {
    EmptySegment reset;
    reset.flow = request::Reverse(Key(1000));
    reset.rst = true;
    reset.sequence = 901;
    it.ReceiveFromUpstream(reset);
    CHECK(it.sink.answered.empty());
    CHECK(it.router->OpenFlows() == 0);
  }
  SECTION("an acknowledgment delivers the waiting packet") {
    EmptySegment answer = FromCallerSegment(1000, 901, 500);
    answer.flow = request::Reverse(answer.flow);
    it.ReceiveFromUpstream(answer);
    REQUIRE(it.sink.delivered.size() == 2);
    CHECK(it.sink.delivered[1] == request);
    CHECK(it.router->OpenFlows() == 1);
  }
  SECTION("the payload of another connection is not delivered") {
    EmptySegment answer = FromCallerSegment(1000, 0x70000000, 0x30000000);
    answer.flow = request::Reverse(answer.flow);
    it.ReceiveFromUpstream(answer);
    CHECK(it.sink.delivered.size() == 1);
  }
}

// Guards against a flow that its row's owner does not know because the upstream
// sent the first packet after a restart.
TEST_CASE("sidecar_router: a flow is adopted by the upstream's own packets") {
  Fixture it;
  it.Table(1, 1);
  EmptySegment data = FromCallerSegment(1000, 901, 500);
  data.flow = request::Reverse(data.flow);
  it.ReceiveFromUpstream(data);
  CHECK(it.sink.answered.size() == 1);
  it.sink.sent.clear();
  it.router->OnTick(it.now);
  REQUIRE(it.sink.sent.size() == 1);
  CHECK(it.sink.sent[0].first == kPeer);
  const auto& message = std::get<HolderRegister>(it.sink.sent[0].second);
  CHECK(message.flows == std::vector<request::FlowKey>{Key(1000)});
}

// Peers may have taken over the rows of a paused process; the flows that its
// upstream holds are still routed to it.
TEST_CASE("sidecar_router: without a lease no flow is admitted") {
  Fixture it;
  it.OwnRow();
  it.OpenFlow(1000);
  it.router->OnLeaseState(false, it.now);
  const size_t before = it.sink.delivered.size();
  it.ReceiveFromEntry(BuildSegment(SynSegment(1001, 5)));
  CHECK(it.sink.delivered.size() == before);
  CHECK(it.sink.dropped == request::ResultCode::kLeaseLapsed);
  it.ReceiveFromEntry(WithPayload(FromCallerSegment(1000, 6, 901)));
  CHECK(it.sink.delivered.size() == before + 1);
}

// A process that resumes after a pause reads the queued packets before any
// message from which it learns that its lease lapsed.
TEST_CASE("sidecar_router: the first packet after a pause is not admitted") {
  Fixture it;
  it.OwnRow();
  it.now += Router::kPauseThreshold + milliseconds(1);
  it.ReceiveFromEntry(BuildSegment(SynSegment(1000, 5)));
  CHECK(it.sink.delivered.empty());
  CHECK(it.router->rows().state({0}) == RowState::kTakingOver);
}

// Guards against a flow that both the previous owner and the claimant admit.
TEST_CASE("sidecar_router: a claimed row's first packets go to the claimant") {
  Fixture it;
  it.OwnRow();
  it.OpenFlow(1000);
  it.sink.sent.clear();
  it.router->OnPeerMessage(kThird, RowClaim{kService, {2}, {{0}}}, it.now);
  REQUIRE(it.sink.sent.size() == 1);
  const auto& answer = std::get<RowHandover>(it.sink.sent[0].second);
  CHECK(answer.rows.size() == 1);
  CHECK(answer.flows == std::vector<FlowHolder>{{Key(1000), kSelf}});
  it.ReceiveFromEntry(BuildSegment(SynSegment(1001, 5)));
  REQUIRE(it.sink.forwarded.size() == 1);
  CHECK(it.sink.forwarded[0].target == kThird);
}

// Packets of a flow that a peer holds must reach that peer through the owner.
TEST_CASE("sidecar_router: the owner forwards to the holder that registered") {
  Fixture it;
  it.OwnRow();
  it.router->OnPeerMessage(kThird, HolderRegister{kService, {Key(1000)}, false},
                           it.now);
  const Bytes data = WithPayload(FromCallerSegment(1000, 6, 901));
  it.ReceiveFromEntry(data);
  REQUIRE(it.sink.forwarded.size() == 1);
  CHECK(it.sink.forwarded[0].target == kThird);
  CHECK(it.sink.forwarded[0].flags == request::kHolderKnown);
  it.router->OnPeerMessage(kThird, HolderWithdraw{kService, {Key(1000)}},
                           it.now);
  it.ReceiveFromEntry(data, request::kQueryPeer);
  CHECK(it.sink.forwarded.size() == 1);
}

// Guards against a flow that both the previous and the new owner admit.
TEST_CASE("sidecar_router: a takeover queries the row's previous owner") {
  Fixture it;
  it.Table(1, 1);
  it.Table(2, 0);
  it.ReceiveFromEntry(BuildSegment(SynSegment(1000, 5)));
  REQUIRE(it.sink.forwarded.size() == 1);
  CHECK(it.sink.forwarded[0].target == kPeer);
  CHECK(it.sink.forwarded[0].flags == request::kQueryPeer);
  it.ReceiveFromEntry(BuildSegment(SynSegment(1000, 5)),
                      request::kToOwner | request::kNotOpenElsewhere);
  CHECK(it.sink.delivered.size() == 1);
}

// After a start no previous owner is known that could be queried, and the
// caller retransmits only after 1 s.
TEST_CASE("sidecar_router: a first packet waits for the takeover") {
  Fixture it;
  it.Table(1, 0);
  it.ReceiveFromEntry(BuildSegment(SynSegment(1000, 5)));
  CHECK(it.sink.delivered.empty());
  for (const request::InstanceId peer : {kPeer, kThird}) {
    it.router->OnPeerMessage(
        peer, RowHandover{kService, {1}, {{0}}, {}, true, true}, it.now);
  }
  CHECK(it.sink.delivered.size() == 1);
}

// Guards against unbounded memory for held packets.
TEST_CASE("sidecar_router: the hold queue is bounded in number and time") {
  Fixture it;
  it.config.max_held = 1;
  it.router.emplace(it.config, &it.sink, &it.policy, it.now);
  it.OwnRow();
  it.policy.next = {Admission::Kind::kHold, {}, it.now + seconds(100)};
  it.ReceiveFromEntry(BuildSegment(SynSegment(1000, 5)));
  CHECK(it.sink.dropped == request::ResultCode::kOk);
  it.ReceiveFromEntry(BuildSegment(SynSegment(1001, 5)));
  CHECK(it.sink.dropped == request::ResultCode::kQueueFull);
  it.AdvanceTo(it.now + Router::kMaxHoldTime);
  it.sink.dropped = request::ResultCode::kOk;
  it.ReceiveFromEntry(BuildSegment(SynSegment(1002, 5)));
  CHECK(it.sink.dropped == request::ResultCode::kOk);
}

// The SYN of a new connection must not be lost to the upstream's old connection
// from the same port, and the new flow must still be refusable.
TEST_CASE("sidecar_router: a SYN from a reused port gets a challenge ACK") {
  Fixture it;
  it.OwnRow();
  it.OpenFlow(1000);
  const size_t before = it.sink.delivered.size();
  it.ReceiveFromEntry(BuildSegment(SynSegment(1000, 4000)));
  CHECK(it.sink.delivered.size() == before);
  const auto challenge = Parse(it.sink.answered.back());
  CHECK(challenge.ack);
  CHECK(challenge.sequence == 901);
  EmptySegment reset;
  reset.flow = Key(1000);
  reset.rst = true;
  reset.sequence = challenge.acknowledgment;
  it.ReceiveFromEntry(BuildSegment(reset));
  CHECK(it.router->OpenFlows() == 0);
  it.ReceiveFromEntry(BuildSegment(SynSegment(1000, 4000)));
  CHECK(it.router->OpenFlows() == 1);
}

// The upstream would reject an echo that it never sent.
TEST_CASE("sidecar_router: timestamps carry the holder hint and are restored") {
  Fixture it;
  it.OwnRow();
  it.ReceiveFromEntry(BuildSegment(SynSegment(1000, 5)));
  EmptySegment syn_ack = FromCallerSegment(1000, 900, 6);
  syn_ack.flow = request::Reverse(syn_ack.flow);
  syn_ack.syn = true;
  syn_ack.ts_value = 0xfedcba98;
  syn_ack.ts_echo = 77;
  it.ReceiveFromUpstream(syn_ack);
  const auto answer = Parse(it.sink.answered.back());
  CHECK(request::DecodeHolderHint(*answer.ts_value) == 0);
  EmptySegment ack = FromCallerSegment(1000, 6, 901);
  ack.ts_value = 78;
  ack.ts_echo = answer.ts_value;
  it.ReceiveFromEntry(BuildSegment(ack));
  ack.ts_echo = 0xfedcba98;
  CHECK(it.sink.delivered.back() == BuildSegment(ack));
}

// A flow of which one side lost its state would stay open for ever.
TEST_CASE("sidecar_router: a silent flow is ended on both sides") {
  Fixture it;
  it.OwnRow();
  it.OpenFlow(1000);
  for (int i = 0; i < 70; ++i) {
    it.AdvanceTo(it.now + seconds(1));
    it.OpenFlow(static_cast<uint16_t>(2000 + i));
  }
  CHECK(it.router->stats().silent_ended > 0);
  CHECK(it.router->flows().Find(Key(1000)) == nullptr);
  CHECK(Parse(it.sink.delivered[2]).payload_size == 0);
}

}  // namespace
}  // namespace kumquatvalve::connection
