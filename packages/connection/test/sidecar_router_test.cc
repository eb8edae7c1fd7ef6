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
// Later than the time without refusals after a start.
constexpr TimePoint kSettled = kStart + RowOwnership::kNoRefusal;

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

// Decides what the test sets.
class SetPolicy : public AlwaysAcceptPolicy {
 public:
  Admission FirstPacket(const AdmissionRequest& /*request*/,
                        TimePoint /*now*/) {
    return next;
  }
  Admission next{Admission::Kind::kAccept, {}, {}};
};

using Router = SidecarRouter<RecordingSink, SetPolicy>;

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

  void Own(uint64_t version = 1) {
    Table(version, 0);
    for (const request::InstanceId it : {kPeer, kThird}) {
      router->OnPeerMessage(
          it, RowHandover{kService, {version}, {{0}}, {}, true, true}, now);
    }
  }

  // Lets time pass without a pause of the process.
  void PassTime(TimePoint until) {
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

  void FromEntry(const Bytes& bytes, uint8_t flags = request::kToOwner) {
    router->OnForwarded(Header(flags), Parse(bytes), now);
  }

  void FromUpstream(const EmptySegment& segment) {
    router->OnUpstreamPacket(Parse(BuildSegment(segment)), now);
  }

  void SynAck(uint16_t port, uint32_t sequence, uint32_t acknowledgment) {
    EmptySegment segment = FromCallerSegment(port, sequence, acknowledgment);
    segment.flow = request::Reverse(segment.flow);
    segment.syn = true;
    FromUpstream(segment);
  }

  // Opens a flow with caller ISN 5 and upstream ISN 900.
  void Open(uint16_t port) {
    FromEntry(BuildSegment(SynSegment(port, 5)));
    SynAck(port, 900, 6);
    FromEntry(BuildSegment(FromCallerSegment(port, 6, 901)));
  }

  TimePoint now;
  RecordingSink sink;
  SetPolicy policy;
  SidecarRouterConfig config;
  std::optional<Router> router;
};

// Without the check a packet for a service whose address was reused would
// reach the upstream of another service.
TEST_CASE("sidecar_router: a packet for another service is dropped") {
  Fixture it;
  it.Own();
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
  it.FromEntry(syn);
  CHECK(it.sink.delivered.size() == 1);
}

// Tables that disagree must not send a packet round for ever.
TEST_CASE("sidecar_router: a packet goes to the owner, at most four hops") {
  Fixture it;
  it.Table(1, 1);
  const Bytes syn = BuildSegment(SynSegment(1000, 5));
  it.FromEntry(syn);
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
  it.Own();
  it.FromEntry(BuildSegment(SynSegment(1000, 5)));
  it.SynAck(1000, 900, 6);
  it.FromEntry(WithPayload(FromCallerSegment(1000, 6, 7777)));
  CHECK(it.sink.delivered.size() == 1);
  CHECK(it.sink.dropped == request::ResultCode::kWrongAcknowledgment);
  it.FromEntry(WithPayload(FromCallerSegment(1000, 6, 901)));
  CHECK(it.sink.delivered.size() == 2);
}

// "Refused, not run" would be untrue if a copy of the SYN reached the upstream.
TEST_CASE("sidecar_router: a refused flow never reaches the upstream") {
  Fixture it;
  it.Own();
  it.PassTime(kSettled);
  it.policy.next = {Admission::Kind::kRefuse, {}, {}};
  const Bytes syn = BuildSegment(SynSegment(1000, 5));
  it.FromEntry(syn);
  REQUIRE(it.sink.answered.size() == 1);
  CHECK(Parse(it.sink.answered[0]).rst);
  CHECK(it.sink.dropped == request::ResultCode::kRefusedNotRun);
  // A late copy, when there is room again.
  it.policy.next = {Admission::Kind::kAccept, {}, {}};
  it.FromEntry(syn);
  CHECK(it.sink.delivered.empty());
  // A new attempt of the caller from the same port.
  it.FromEntry(BuildSegment(SynSegment(1000, 6000)));
  CHECK(it.sink.delivered.size() == 1);
}

// Before its restart the sidecar may have delivered a SYN of the flow.
TEST_CASE("sidecar_router: nothing is refused after a start or a peer's end") {
  Fixture it;
  it.Own();
  it.policy.next = {Admission::Kind::kRefuse, {}, {}};
  it.FromEntry(BuildSegment(SynSegment(1000, 5)));
  CHECK(it.sink.answered.empty());
  it.PassTime(kSettled);
  it.router->OnPeerState(kPeer, {1}, PeerState::kDead, it.now);
  it.FromEntry(BuildSegment(SynSegment(1001, 5)));
  CHECK(it.sink.answered.empty());
}

// A SYN flood evicts flows whose SYN reached the upstream.
TEST_CASE("sidecar_router: nothing is refused after an eviction") {
  Fixture it;
  it.config.max_flows = 1;
  it.router.emplace(it.config, &it.sink, &it.policy, it.now);
  it.Own();
  it.PassTime(kSettled);
  it.FromEntry(BuildSegment(SynSegment(1000, 5)));
  it.FromEntry(BuildSegment(SynSegment(1001, 5)));
  CHECK(it.router->stats().evicted == 1);
  it.policy.next = {Admission::Kind::kRefuse, {}, {}};
  it.FromEntry(BuildSegment(SynSegment(1000, 5)));
  CHECK(it.sink.answered.empty());
}

// R6: the next flow after the drain began must not start here, while the flow
// that is open goes on.
TEST_CASE("sidecar_router: a drain takes no new flow and cuts no open one") {
  Fixture it;
  it.Own();
  it.Open(1000);
  it.router->StartDrain(it.now);
  const size_t before = it.sink.delivered.size();
  it.FromEntry(BuildSegment(SynSegment(1001, 5)));
  CHECK(it.sink.delivered.size() == before);
  REQUIRE(it.sink.forwarded.size() == 1);
  CHECK((it.sink.forwarded[0].flags & request::kPassedOn) != 0);
  CHECK(it.router->OpenFlows() == 1);
  it.FromEntry(WithPayload(FromCallerSegment(1000, 6, 901)));
  CHECK(it.sink.delivered.size() == before + 1);
  EmptySegment reset = FromCallerSegment(1000, 10, 0);
  reset.ack = false;
  reset.rst = true;
  it.FromEntry(BuildSegment(reset));
  CHECK(it.router->OpenFlows() == 0);
}

// R6: an operator's drain arrives with a table. A peer that does not know it
// yet may still pass a first packet on, which must not start here; after the
// drain was taken back it must.
TEST_CASE("sidecar_router: a table can start a drain and take it back") {
  Fixture it;
  it.Own();
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

// A retransmitted SYN that goes to another peer than the first could open the
// flow at two upstreams.
TEST_CASE("sidecar_router: all copies of a passed-on SYN take the same way") {
  Fixture it;
  it.Own();
  it.policy.next = {Admission::Kind::kPass, kThird, {}};
  const Bytes syn = BuildSegment(SynSegment(1000, 5));
  it.FromEntry(syn);
  it.policy.next = {Admission::Kind::kAccept, {}, {}};
  it.FromEntry(syn);
  REQUIRE(it.sink.forwarded.size() == 2);
  CHECK(it.sink.forwarded[0].target == kThird);
  CHECK(it.sink.forwarded[1].target == kThird);
  CHECK(it.sink.delivered.empty());
}

// After a restart of the sidecar the upstream's connections must go on, and
// another upstream's must not be reset.
TEST_CASE(
    "sidecar_router: an unknown flow is adopted when the upstream has it") {
  Fixture it;
  it.Own();
  const Bytes request = WithPayload(FromCallerSegment(1000, 500, 901));
  it.FromEntry(request);
  REQUIRE(it.sink.delivered.size() == 1);
  const auto probe = Parse(it.sink.delivered[0]);
  CHECK(probe.sequence == 499);
  CHECK(probe.payload_size == 0);

  SECTION("a reset is suppressed") {
    EmptySegment reset;
    reset.flow = request::Reverse(Key(1000));
    reset.rst = true;
    reset.sequence = 901;
    it.FromUpstream(reset);
    CHECK(it.sink.answered.empty());
    CHECK(it.router->OpenFlows() == 0);
  }
  SECTION("an acknowledgment delivers the packet that waited") {
    EmptySegment answer = FromCallerSegment(1000, 901, 500);
    answer.flow = request::Reverse(answer.flow);
    it.FromUpstream(answer);
    REQUIRE(it.sink.delivered.size() == 2);
    CHECK(it.sink.delivered[1] == request);
    CHECK(it.router->OpenFlows() == 1);
  }
  SECTION("the payload of another connection is not delivered") {
    EmptySegment answer = FromCallerSegment(1000, 0x70000000, 0x30000000);
    answer.flow = request::Reverse(answer.flow);
    it.FromUpstream(answer);
    CHECK(it.sink.delivered.size() == 1);
  }
}

// A flow of which the upstream sends first would be unknown to its owner.
TEST_CASE("sidecar_router: a flow is adopted by the upstream's own packets") {
  Fixture it;
  it.Table(1, 1);
  EmptySegment data = FromCallerSegment(1000, 901, 500);
  data.flow = request::Reverse(data.flow);
  it.FromUpstream(data);
  CHECK(it.sink.answered.size() == 1);
  it.sink.sent.clear();
  it.router->OnTick(it.now);
  REQUIRE(it.sink.sent.size() == 1);
  CHECK(it.sink.sent[0].first == kPeer);
  const auto& message = std::get<HolderRegister>(it.sink.sent[0].second);
  CHECK(message.flows == std::vector<request::FlowKey>{Key(1000)});
}

// A paused process may have lost its rows; its open flows are still its own.
TEST_CASE("sidecar_router: without a lease no flow is admitted") {
  Fixture it;
  it.Own();
  it.Open(1000);
  it.router->OnLeaseState(false, it.now);
  const size_t before = it.sink.delivered.size();
  it.FromEntry(BuildSegment(SynSegment(1001, 5)));
  CHECK(it.sink.delivered.size() == before);
  CHECK(it.sink.dropped == request::ResultCode::kLeaseLapsed);
  it.FromEntry(WithPayload(FromCallerSegment(1000, 6, 901)));
  CHECK(it.sink.delivered.size() == before + 1);
}

// A process that was stopped sees the packets that waited before any message
// that tells it of its lost lease.
TEST_CASE("sidecar_router: the first packet after a pause is not admitted") {
  Fixture it;
  it.Own();
  it.now += Router::kPause + milliseconds(1);
  it.FromEntry(BuildSegment(SynSegment(1000, 5)));
  CHECK(it.sink.delivered.empty());
  CHECK(it.router->rows().state({0}) == RowState::kTaking);
}

// The previous owner must not admit what the claimant admits too.
TEST_CASE("sidecar_router: a claimed row's first packets go to the claimant") {
  Fixture it;
  it.Own();
  it.Open(1000);
  it.sink.sent.clear();
  it.router->OnPeerMessage(kThird, RowClaim{kService, {2}, {{0}}}, it.now);
  REQUIRE(it.sink.sent.size() == 1);
  const auto& answer = std::get<RowHandover>(it.sink.sent[0].second);
  CHECK(answer.rows.size() == 1);
  CHECK(answer.flows == std::vector<FlowHolder>{{Key(1000), kSelf}});
  it.FromEntry(BuildSegment(SynSegment(1001, 5)));
  REQUIRE(it.sink.forwarded.size() == 1);
  CHECK(it.sink.forwarded[0].target == kThird);
}

// Packets of flows that a peer holds must find it through the owner.
TEST_CASE("sidecar_router: the owner forwards to the holder that registered") {
  Fixture it;
  it.Own();
  it.router->OnPeerMessage(kThird, HolderRegister{kService, {Key(1000)}, false},
                           it.now);
  const Bytes data = WithPayload(FromCallerSegment(1000, 6, 901));
  it.FromEntry(data);
  REQUIRE(it.sink.forwarded.size() == 1);
  CHECK(it.sink.forwarded[0].target == kThird);
  CHECK(it.sink.forwarded[0].flags == request::kHolderKnown);
  it.router->OnPeerMessage(kThird, HolderWithdraw{kService, {Key(1000)}},
                           it.now);
  it.FromEntry(data, request::kAskPrevious);
  CHECK(it.sink.forwarded.size() == 1);
}

// A new owner that admits at once could admit what the previous one admitted.
TEST_CASE("sidecar_router: a row that is being taken asks its previous owner") {
  Fixture it;
  it.Table(1, 1);
  it.Table(2, 0);
  it.FromEntry(BuildSegment(SynSegment(1000, 5)));
  REQUIRE(it.sink.forwarded.size() == 1);
  CHECK(it.sink.forwarded[0].target == kPeer);
  CHECK(it.sink.forwarded[0].flags == request::kAskPrevious);
  it.FromEntry(BuildSegment(SynSegment(1000, 5)),
               request::kToOwner | request::kChecked);
  CHECK(it.sink.delivered.size() == 1);
}

// At a start nobody is known to ask; the caller's next try is 1 s away.
TEST_CASE("sidecar_router: a first packet waits for the takeover") {
  Fixture it;
  it.Table(1, 0);
  it.FromEntry(BuildSegment(SynSegment(1000, 5)));
  CHECK(it.sink.delivered.empty());
  for (const request::InstanceId peer : {kPeer, kThird}) {
    it.router->OnPeerMessage(
        peer, RowHandover{kService, {1}, {{0}}, {}, true, true}, it.now);
  }
  CHECK(it.sink.delivered.size() == 1);
}

// Held packets without a bound would take the memory of other services.
TEST_CASE("sidecar_router: the hold queue is bounded in number and time") {
  Fixture it;
  it.config.max_held = 1;
  it.router.emplace(it.config, &it.sink, &it.policy, it.now);
  it.Own();
  it.policy.next = {Admission::Kind::kHold, {}, it.now + seconds(100)};
  it.FromEntry(BuildSegment(SynSegment(1000, 5)));
  CHECK(it.sink.dropped == request::ResultCode::kOk);
  it.FromEntry(BuildSegment(SynSegment(1001, 5)));
  CHECK(it.sink.dropped == request::ResultCode::kQueueFull);
  it.PassTime(it.now + Router::kMaxHold);
  it.sink.dropped = request::ResultCode::kOk;
  it.FromEntry(BuildSegment(SynSegment(1002, 5)));
  CHECK(it.sink.dropped == request::ResultCode::kOk);
}

// The upstream's old connection must not swallow the SYN of a new one, and the
// new one must still be refusable.
TEST_CASE("sidecar_router: a reused port gets a challenge from the sidecar") {
  Fixture it;
  it.Own();
  it.Open(1000);
  const size_t before = it.sink.delivered.size();
  it.FromEntry(BuildSegment(SynSegment(1000, 4000)));
  CHECK(it.sink.delivered.size() == before);
  const auto challenge = Parse(it.sink.answered.back());
  CHECK(challenge.ack);
  CHECK(challenge.sequence == 901);
  EmptySegment reset;
  reset.flow = Key(1000);
  reset.rst = true;
  reset.sequence = challenge.acknowledgment;
  it.FromEntry(BuildSegment(reset));
  CHECK(it.router->OpenFlows() == 0);
  it.FromEntry(BuildSegment(SynSegment(1000, 4000)));
  CHECK(it.router->OpenFlows() == 1);
}

// The upstream would reject an echo that it never sent.
TEST_CASE("sidecar_router: timestamps carry the holder and are restored") {
  Fixture it;
  it.Own();
  it.FromEntry(BuildSegment(SynSegment(1000, 5)));
  EmptySegment syn_ack = FromCallerSegment(1000, 900, 6);
  syn_ack.flow = request::Reverse(syn_ack.flow);
  syn_ack.syn = true;
  syn_ack.ts_value = 0xfedcba98;
  syn_ack.ts_echo = 77;
  it.FromUpstream(syn_ack);
  const auto answer = Parse(it.sink.answered.back());
  CHECK(request::DecodeHolderHint(*answer.ts_value) == 0);
  EmptySegment ack = FromCallerSegment(1000, 6, 901);
  ack.ts_value = 78;
  ack.ts_echo = answer.ts_value;
  it.FromEntry(BuildSegment(ack));
  ack.ts_echo = 0xfedcba98;
  CHECK(it.sink.delivered.back() == BuildSegment(ack));
}

// A flow of which one side lost track would stay open for ever.
TEST_CASE("sidecar_router: a silent flow is ended on both sides") {
  Fixture it;
  it.Own();
  it.Open(1000);
  for (int i = 0; i < 70; ++i) {
    it.PassTime(it.now + seconds(1));
    it.Open(static_cast<uint16_t>(2000 + i));
  }
  CHECK(it.router->stats().silent_ended > 0);
  CHECK(it.router->flows().Find(Key(1000)) == nullptr);
  CHECK(Parse(it.sink.delivered[2]).payload_size == 0);
}

}  // namespace
}  // namespace kumquatvalve::connection
