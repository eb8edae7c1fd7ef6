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

request::Endpoint At(const char* text) {
  request::Failure failure;
  return *request::ParseEndpoint(text, &failure);
}

const request::Endpoint kEntry = At("10.1.0.10:7720");
const request::Endpoint kService = At("198.18.0.1:443");

struct Sink {
  void Deliver(std::span<const std::byte> /*packet*/) { ++delivered; }
  void Answer(const request::Endpoint& /*caller*/,
              std::span<const std::byte> /*packet*/) {
    ++answered;
  }
  void Reset(const request::ParsedPacket& packet) {
    resets.push_back(packet.flow);
  }
  void Send(const request::Endpoint& /*to*/, const request::HopMessage& message,
            std::span<const std::byte> packet) {
    sent.push_back(message);
    last_bytes.assign(packet.begin(), packet.end());
  }
  void RecordMissing() { ++records_missing; }
  void Decided(const GateDecision& decision) { decisions.push_back(decision); }

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

  int records_missing = 0;
  int delivered = 0;
  int answered = 0;
  std::vector<request::HopMessage> sent;
  std::vector<std::byte> last_bytes;
  std::vector<GateDecision> decisions;
  std::vector<request::FlowKey> resets;
};

// The times at which an upstream and its sidecar started.
constexpr uint64_t kSidecarStart = 100000;
constexpr uint64_t kYoungUpstream = 101000;
constexpr uint64_t kOldUpstream = 50000;

struct Fixture {
  explicit Fixture(uint64_t incarnation_ms = kYoungUpstream) {
    Start(incarnation_ms);
  }

  void Start(uint64_t incarnation_ms, bool draining = false) {
    gate.OnIdentity({"patio", "i-1", incarnation_ms, 2, draining}, now);
  }

  static request::FlowKey Key(uint16_t port) {
    return {{At("100.64.0.7:1").address, port}, kService, IPPROTO_TCP};
  }

  request::ParsedPacket Caller(uint16_t port) {
    request::ParsedPacket packet;
    packet.flow = Key(port);
    packet.sequence = 77;
    return packet;
  }
  request::ParsedPacket Syn(uint16_t port) {
    auto packet = Caller(port);
    packet.syn = true;
    return packet;
  }
  request::ParsedPacket Data(uint16_t port, uint32_t acknowledgment = 501) {
    auto packet = Caller(port);
    packet.ack = true;
    packet.acknowledgment = acknowledgment;
    packet.payload_size = 100;
    return packet;
  }
  request::ParsedPacket Upstream(uint16_t port) {
    request::ParsedPacket packet;
    packet.flow = request::Reverse(Key(port));
    packet.ack = true;
    packet.sequence = 501;
    return packet;
  }
  request::ParsedPacket SynAck(uint16_t port) {
    auto packet = Upstream(port);
    packet.syn = true;
    packet.sequence = 500;
    return packet;
  }
  request::ParsedPacket AnswerData(uint16_t port) {
    auto packet = Upstream(port);
    packet.payload_size = 200;
    return packet;
  }

  void FromCaller(const request::ParsedPacket& packet,
                  const char* service = "patio", bool final_offer = false) {
    request::HopMessage message;
    message.final_offer = final_offer;
    message.max_wait = milliseconds(1200);
    message.kind = HopKind::kPacket;
    message.service = request::ServiceTagOf(service);
    gate.OnCallerPacket(kEntry, message, packet, now);
  }
  void FromUpstream(const request::ParsedPacket& packet) {
    gate.OnUpstreamPacket(packet, now);
  }
  void Locate(uint16_t port, uint32_t acknowledgment = 501) {
    request::HopMessage message;
    message.kind = HopKind::kLocate;
    message.service = request::ServiceTagOf("patio");
    message.flow = Key(port);
    message.acknowledgment = acknowledgment;
    gate.OnHopMessage(kEntry, message, now);
  }
  void Wait(milliseconds time) {
    for (const TimePoint end = now + time; now < end;) {
      now += milliseconds(50);
      gate.OnTick(now);
    }
  }
  void Open(uint16_t port) {
    FromCaller(Syn(port));
    FromUpstream(SynAck(port));
  }

  Sink sink;
  TimePoint now{std::chrono::hours(1)};
  UpstreamGate<Sink> gate{"patio", kSidecarStart, &sink};
};

TEST_CASE("upstream_gate: a packet for another service is not delivered") {
  Fixture f;
  f.FromCaller(f.Syn(1), "evidencia");
  CHECK(f.sink.last(HopKind::kReturned).reason == ReturnReason::kWrongService);
  f.FromCaller(f.Data(1), "evidencia");
  CHECK(f.sink.count(HopKind::kNotHeld) == 1);
  CHECK(f.sink.delivered == 0);
}

TEST_CASE(
    "upstream_gate: the service that took over an address gets no packet of "
    "the one before") {
  Fixture f;
  f.Open(1);
  f.gate.OnIdentity({"evidencia", "i-2", kYoungUpstream + 5000, 2, false},
                    f.now);
  const int before = f.sink.delivered;
  f.FromCaller(f.Data(1));
  f.FromCaller(f.Syn(2));
  CHECK(f.sink.delivered == before);
}

TEST_CASE(
    "upstream_gate: a draining upstream keeps its flows and gets no new one") {
  Fixture f;
  f.Open(1);
  f.Start(kYoungUpstream, true);
  CHECK(f.sink.last(HopKind::kLoad).load.draining);
  const int before = f.sink.delivered;
  f.FromCaller(f.Syn(2));
  CHECK(f.sink.last(HopKind::kReturned).reason == ReturnReason::kDraining);
  CHECK(f.sink.delivered == before);
  f.FromCaller(f.Data(1));
  CHECK(f.sink.delivered == before + 1);
}

TEST_CASE(
    "upstream_gate: a rejected first packet goes back to its entry instance") {
  Fixture f;
  f.FromCaller(f.Syn(1));
  f.gate.OnRejectedPacket(f.Syn(1), f.now);
  CHECK(f.sink.last(HopKind::kReturned).reason == ReturnReason::kRejected);
  CHECK(f.gate.flows() == 0);
  CHECK(f.gate.load().opening == 0);
}

TEST_CASE(
    "upstream_gate: a sidecar that restarted asks the upstream instead of "
    "denying its flows") {
  Fixture f(kOldUpstream);
  f.Locate(1);
  CHECK(f.sink.count(HopKind::kInconclusive) == 1);
  f.FromCaller(f.Data(1));
  CHECK(f.sink.delivered == 1);
  f.FromUpstream(f.Upstream(1));
  CHECK(f.sink.count(HopKind::kHeld) == 1);
  f.Locate(1);
  CHECK(f.sink.count(HopKind::kHeld) == 2);
}

TEST_CASE("upstream_gate: a probe that the upstream rejects is a denial") {
  Fixture f(kOldUpstream);
  f.FromCaller(f.Data(1));
  f.gate.OnRejectedPacket(f.Data(1), f.now);
  CHECK(f.sink.count(HopKind::kNotHeld) == 1);
  CHECK(f.gate.flows() == 0);
}

TEST_CASE(
    "upstream_gate: a sidecar that saw every flow does not trouble the "
    "upstream with unknown ones") {
  Fixture f(kYoungUpstream);
  f.FromCaller(f.Data(1));
  CHECK(f.sink.delivered == 0);
  CHECK(f.sink.count(HopKind::kNotHeld) == 1);
  f.Locate(2);
  CHECK(f.sink.count(HopKind::kNotHeld) == 2);
}

TEST_CASE(
    "upstream_gate: a flow that the caller opened at another upstream is not "
    "held here") {
  Fixture f;
  f.Open(1);
  f.Locate(1, 901);
  CHECK(f.sink.count(HopKind::kNotHeld) == 1);
  const int before = f.sink.delivered;
  f.FromCaller(f.Data(1, 901));
  CHECK(f.sink.delivered == before);
  CHECK(f.gate.flows() == 0);
  CHECK(f.gate.load().opening == 0);
}

TEST_CASE(
    "upstream_gate: a caller is told at once that its upstream lost an open "
    "flow") {
  Fixture f;
  f.Open(1);
  f.FromCaller(f.Data(1));
  f.gate.OnRejectedPacket(f.Data(1), f.now);
  CHECK(f.sink.resets == std::vector{f.Key(1)});
  // A flow that was only asked about may be open at another upstream.
  Fixture other(kOldUpstream);
  other.FromCaller(other.Data(1));
  other.gate.OnRejectedPacket(other.Data(1), other.now);
  CHECK(other.sink.resets.empty());
}

TEST_CASE("upstream_gate: a new incarnation holds no flow of the one before") {
  Fixture f;
  f.Open(1);
  f.FromCaller(f.Data(1));
  f.Start(kYoungUpstream + 1);
  CHECK(f.gate.flows() == 0);
  CHECK(f.gate.load().in_progress == 0);
  f.Locate(1);
  CHECK(f.sink.count(HopKind::kNotHeld) == 1);
}

TEST_CASE(
    "upstream_gate: work in progress lasts from the request to its answer") {
  Fixture f;
  f.Open(1);
  CHECK(f.gate.load().opening == 1);
  f.FromCaller(f.Data(1));
  f.FromCaller(f.Data(1));
  CHECK(f.gate.load().opening == 0);
  CHECK(f.gate.load().in_progress == 1);
  f.now += milliseconds(30);
  f.FromUpstream(f.Upstream(1));
  CHECK(f.gate.load().in_progress == 1);
  f.FromUpstream(f.AnswerData(1));
  CHECK(f.gate.load().in_progress == 0);
  CHECK(f.gate.load().service_time_us == 30000);
}

TEST_CASE(
    "upstream_gate: an upstream that stops answering gets one trial at a "
    "time") {
  Fixture f;
  // More slots than flows, so that none is returned for a queue.
  f.gate.OnIdentity({"patio", "i-1", kYoungUpstream, 8, false}, f.now);
  f.FromCaller(f.Syn(1));
  f.Wait(milliseconds(200));
  CHECK(f.gate.load().unresponsive);
  const int before = f.sink.delivered;
  f.FromCaller(f.Syn(2));
  CHECK(f.sink.last(HopKind::kReturned).reason == ReturnReason::kUnresponsive);
  f.Wait(milliseconds(400));
  f.FromCaller(f.Syn(3));
  f.FromCaller(f.Syn(4));
  CHECK(f.sink.delivered == before + 1);
  f.FromUpstream(f.SynAck(3));
  CHECK_FALSE(f.gate.load().unresponsive);
  f.FromCaller(f.Syn(5));
  CHECK(f.sink.delivered == before + 2);
}

TEST_CASE("upstream_gate: load is reported to the entry instances in use") {
  Fixture f;
  f.Open(1);
  f.FromCaller(f.Data(1));
  const size_t before = f.sink.count(HopKind::kLoad);
  f.Wait(milliseconds(100));
  CHECK(f.sink.count(HopKind::kLoad) > before);
  CHECK(f.sink.last(HopKind::kLoad).load.in_progress == 1);
}

// Reports are up to 100 ms old, four times as long as a request takes.
TEST_CASE(
    "upstream_gate: a flow that would wait for a slot is returned with the "
    "current load") {
  Fixture f;
  f.FromCaller(f.Syn(1));
  f.FromCaller(f.Syn(2));
  f.FromCaller(f.Syn(3));
  CHECK(f.sink.last(HopKind::kReturned).reason == ReturnReason::kQueueFull);
  CHECK(f.sink.last(HopKind::kLoad).load.opening == 2);
  CHECK(f.sink.delivered == 2);
  f.FromCaller(f.Syn(3), "patio", /*final_offer=*/true);
  CHECK(f.sink.delivered == 3);
}

TEST_CASE("upstream_gate: all flows are listed") {
  Fixture f;
  request::HopMessage question;
  question.kind = HopKind::kList;
  question.service = request::ServiceTagOf("patio");
  question.list.round = 5;
  f.gate.OnHopMessage(kEntry, question, f.now);
  CHECK(f.sink.last(HopKind::kFlows).list == request::FlowList{5, 0, 1, false});
  CHECK(f.sink.last_bytes.empty());
  f.Open(1);
  f.gate.OnHopMessage(kEntry, question, f.now);
  CHECK(request::DecodeFingerprints(f.sink.last_bytes) ==
        std::vector{request::FlowFingerprint(Fixture::Key(1))});
  // Another service's flows are not held here, whatever this one has.
  question.service = request::ServiceTagOf("evidencia");
  f.gate.OnHopMessage(kEntry, question, f.now);
  CHECK(f.sink.last_bytes.empty());
  CHECK_FALSE(f.sink.last(HopKind::kFlows).list.inconclusive);
}

TEST_CASE("upstream_gate: a missing record is reported and answered") {
  Fixture f;
  request::HopMessage message;
  message.kind = HopKind::kUnlisted;
  message.service = request::ServiceTagOf("patio");
  const size_t before = f.sink.count(HopKind::kLoad);
  f.gate.OnHopMessage(kEntry, message, f.now);
  CHECK(f.sink.records_missing == 1);
  CHECK(f.sink.count(HopKind::kLoad) == before + 1);
}

TEST_CASE("upstream_gate: a long list has several parts") {
  Fixture f;
  f.gate.OnIdentity({"patio", "i-1", kYoungUpstream, 1000, false}, f.now);
  for (uint16_t port = 1; port <= 601; ++port) {
    f.FromCaller(f.Syn(port));
  }
  request::HopMessage question;
  question.kind = HopKind::kList;
  question.service = request::ServiceTagOf("patio");
  f.gate.OnHopMessage(kEntry, question, f.now);
  CHECK(f.sink.count(HopKind::kFlows) == 3);
  CHECK(f.sink.last(HopKind::kFlows).list == request::FlowList{0, 2, 3, false});
  CHECK(request::DecodeFingerprints(f.sink.last_bytes).size() == 1);
}

TEST_CASE("upstream_gate: a sidecar that may not know all flows says so") {
  Fixture f(kOldUpstream);
  request::HopMessage question;
  question.kind = HopKind::kList;
  question.service = request::ServiceTagOf("patio");
  f.gate.OnHopMessage(kEntry, question, f.now);
  CHECK(f.sink.last(HopKind::kFlows).list.inconclusive);
}

// Two entry instances placed the copies of one first packet at two upstreams.
// The caller took the answer of one; its request came to the other one before
// that had answered, and ran at both.
TEST_CASE(
    "upstream_gate: a request that comes before the upstream's answer to the "
    "first packet belongs to another upstream") {
  Fixture f;
  f.FromCaller(f.Syn(1));
  const int before = f.sink.delivered;
  f.FromCaller(f.Data(1));
  CHECK(f.sink.delivered == before);
  CHECK(f.sink.count(HopKind::kNotHeld) == 1);
  CHECK(f.gate.load().in_progress == 0);
  f.FromUpstream(f.SynAck(1));
  f.FromCaller(f.Data(1, 901));
  CHECK(f.sink.delivered == before);
}

// A sidecar was killed while its upstream worked. The first answer that its new
// process saw came at once, so the upstream seemed a hundred times faster than
// the others and drew all new flows of the service.
TEST_CASE("upstream_gate: only flows admitted here tell the service time") {
  Fixture f(kOldUpstream);
  f.FromUpstream(f.Upstream(1));
  f.FromCaller(f.Data(1));
  f.now += std::chrono::microseconds(200);
  f.FromUpstream(f.AnswerData(1));
  CHECK(f.gate.load().in_progress == 0);
  CHECK(f.gate.load().service_time_us == 0);
  f.Open(2);
  f.FromCaller(f.Data(2));
  f.now += milliseconds(30);
  f.FromUpstream(f.AnswerData(2));
  CHECK(f.gate.load().service_time_us == 30000);
}

// Copies of requests that had been answered counted as work until the next
// request of their flow: sidecars held back new flows while slots were free.
TEST_CASE("upstream_gate: a copy of a request is no new work") {
  Fixture f;
  f.Open(1);
  f.FromCaller(f.Data(1));
  f.FromUpstream(f.AnswerData(1));
  f.FromCaller(f.Data(1));
  CHECK(f.gate.load().in_progress == 0);
  auto next = f.Data(1);
  next.sequence += next.payload_size;
  f.FromCaller(next);
  CHECK(f.gate.load().in_progress == 1);
}

TEST_CASE(
    "upstream_gate: a copy of a request that an earlier process handed over is "
    "no new work") {
  Fixture f(kOldUpstream);
  auto answer = f.AnswerData(1);
  answer.acknowledgment = f.Data(1).sequence + 100;
  f.FromUpstream(answer);
  f.FromCaller(f.Data(1));
  CHECK(f.gate.load().in_progress == 0);
}

// Uploads whose callers gave up counted as work for a minute.
TEST_CASE("upstream_gate: work without an answer ends") {
  Fixture f;
  f.Open(1);
  f.FromCaller(f.Data(1));
  f.Wait(milliseconds(4000));
  CHECK(f.gate.load().in_progress == 1);
  f.Wait(milliseconds(3000));
  CHECK(f.gate.load().in_progress == 0);
  // A late answer counts nothing.
  f.FromUpstream(f.AnswerData(1));
  CHECK(f.gate.load().in_progress == 0);
}

// After a loss of power all callers return at once; upstreams rejected what
// their queues could not hold.
TEST_CASE(
    "upstream_gate: a flow for which there is no room waits until a request "
    "is answered") {
  Fixture f;
  for (uint16_t port = 1; port <= 6; ++port) {
    f.FromCaller(f.Syn(port), "patio", /*final_offer=*/true);
  }
  // Two slots and as many flows in advance.
  CHECK(f.sink.delivered == 4);
  CHECK(f.gate.waiting() == 2);
  // A copy of a first packet changes nothing.
  f.FromCaller(f.Syn(5));
  CHECK(f.gate.waiting() == 2);
  CHECK(f.sink.count(HopKind::kReturned) == 0);
  f.FromUpstream(f.SynAck(1));
  f.FromCaller(f.Data(1));
  const int before = f.sink.delivered;
  f.FromUpstream(f.AnswerData(1));
  CHECK(f.sink.delivered == before + 1);
  CHECK(f.gate.waiting() == 1);
  request::HopMessage hello;
  hello.kind = HopKind::kHello;
  f.gate.OnHopMessage(kEntry, hello, f.now);
  CHECK(f.sink.last(HopKind::kLoad).load.opening == 5);
}

// Copies of first packets that another entry instance got were placed at a
// second upstream; the flows that their callers did not open there kept others
// waiting while slots were free.
TEST_CASE(
    "upstream_gate: where few flows send a request more are let through") {
  Fixture f;
  uint16_t port = 1;
  const auto let_through = [&] {
    const int before = f.sink.delivered;
    for (int i = 0; i < 20; ++i) {
      f.FromCaller(f.Syn(port), "patio", /*final_offer=*/true);
      f.FromUpstream(f.SynAck(port));
      ++port;
    }
    const int n = f.sink.delivered - before;
    // None of them sends a request; those that wait give up too.
    f.Wait(milliseconds(3000));
    return n;
  };
  CHECK(let_through() == 4);
  for (int i = 0; i < 5; ++i) {
    let_through();
  }
  CHECK(let_through() >= 8);
}

TEST_CASE("upstream_gate: flows that wait are returned when a drain begins") {
  Fixture f;
  for (uint16_t port = 1; port <= 5; ++port) {
    f.FromCaller(f.Syn(port), "patio", /*final_offer=*/true);
  }
  const int before = f.sink.delivered;
  f.Start(kYoungUpstream, true);
  CHECK(f.sink.last(HopKind::kReturned).reason == ReturnReason::kDraining);
  CHECK(f.sink.count(HopKind::kReturned) == 1);
  CHECK(f.gate.waiting() == 0);
  CHECK(f.sink.delivered == before);
}

TEST_CASE(
    "upstream_gate: flows that wait at an upstream that fell silent are "
    "returned") {
  Fixture f;
  for (uint16_t port = 1; port <= 5; ++port) {
    f.FromCaller(f.Syn(port), "patio", /*final_offer=*/true);
  }
  f.Wait(milliseconds(200));
  CHECK(f.sink.last(HopKind::kReturned).reason == ReturnReason::kUnresponsive);
  CHECK(f.gate.waiting() == 0);
}

// After a loss of power sidecars start some tenths of a second later than their
// upstreams; every lost flow was tried at every upstream again and again.
TEST_CASE(
    "upstream_gate: a sidecar that started right after its upstream has seen "
    "every flow") {
  Fixture f(kSidecarStart - 500);
  f.Locate(1);
  CHECK(f.sink.count(HopKind::kNotHeld) == 1);
  f.FromCaller(f.Data(1));
  CHECK(f.sink.delivered == 0);
}

TEST_CASE("upstream_gate: the upstream is asked once about a flow") {
  Fixture f(kOldUpstream);
  f.FromCaller(f.Data(1));
  f.gate.OnRejectedPacket(f.Data(1), f.now);
  f.Locate(1);
  f.FromCaller(f.Data(1));
  CHECK(f.sink.delivered == 1);
  CHECK(f.sink.count(HopKind::kNotHeld) == 3);
  // A new flow from the same port is another one.
  f.FromCaller(f.Syn(1));
  f.FromUpstream(f.SynAck(1));
  f.Locate(1);
  CHECK(f.sink.count(HopKind::kHeld) == 1);
}

}  // namespace
}  // namespace kumquatvalve::connection
