#include "tcp_session.h"

#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <vector>

#include "udp_packet.h"

namespace kumquatvalve::standins {
namespace {

using request::Endpoint;
using std::chrono::milliseconds;
using Packets = std::deque<std::vector<std::byte>>;

Endpoint MakeEndpoint(uint8_t last, uint16_t port) {
  const std::array<uint8_t, 4> bytes = {10, 0, 0, last};
  return {request::MapIpv4(bytes.data()), port};
}

request::ParsedPacket Parse(const std::vector<std::byte>& bytes) {
  request::Failure failure;
  const auto packet = request::ParsePacket(bytes, &failure);
  REQUIRE(packet.has_value());
  CHECK(HasValidChecksum(*packet));
  return *packet;
}

// Both ends of an established connection and the packets in flight.
struct ConnectedPair {
  ConnectedPair()
      : caller(TcpSession::Connect(
            MakeEndpoint(1, 1000), MakeEndpoint(2, 80), 0xfffffff0U,
            [this](const auto& it) { to_upstream.push_back(it); }, now)),
        upstream(TcpSession::Accept(
            Parse(to_upstream.front()), 7,
            [this](const auto& it) { to_caller.push_back(it); }, now)) {
    to_upstream.clear();
    DeliverAll();
  }

  void DeliverAll() {
    while (!to_caller.empty() || !to_upstream.empty()) {
      if (!to_caller.empty()) {
        const auto bytes = to_caller.front();
        to_caller.pop_front();
        caller.OnPacket(Parse(bytes), now);
      } else {
        const auto bytes = to_upstream.front();
        to_upstream.pop_front();
        upstream.OnPacket(Parse(bytes), now);
      }
    }
  }

  TcpSession::TimePoint now{};
  Packets to_caller;
  Packets to_upstream;
  TcpSession caller;
  TcpSession upstream;
};

// If the stand-in lost bytes, tests would report intact flows as broken. The
// sequence numbers wrap within the first request.
TEST_CASE("tcp_session: bytes arrive in order and both ends close") {
  ConnectedPair pair;
  const std::string request(5000, 'r');
  pair.caller.Write(request, pair.now);
  pair.DeliverAll();
  CHECK(pair.upstream.Read() == request);
  const std::string answer(30000, 'a');
  pair.upstream.Write(answer, pair.now);
  pair.DeliverAll();
  CHECK(pair.caller.Read() == answer);
  pair.caller.Close(pair.now);
  pair.DeliverAll();
  CHECK(pair.upstream.remote_closed());
  pair.upstream.Close(pair.now);
  pair.DeliverAll();
  CHECK(pair.caller.state() == TcpSession::State::kClosed);
  CHECK(pair.upstream.state() == TcpSession::State::kClosed);
}

// Without retransmission, every packet that is lost while a process restarts
// would break a flow.
TEST_CASE("tcp_session: lost packets are retransmitted") {
  ConnectedPair pair;
  pair.caller.Write("request", pair.now);
  pair.to_upstream.clear();
  pair.now += milliseconds(250);
  pair.caller.OnTick(pair.now);
  pair.DeliverAll();
  CHECK(pair.upstream.Read() == "request");
  CHECK(pair.caller.retransmissions() == 1);
  CHECK(pair.caller.everything_acknowledged());
}

// A restarted sidecar probes for a flow with the sequence number of a
// retransmitted request. When the upstream has received that request already,
// the probe lies more than one byte before the window. If it were not
// acknowledged, the sidecar would give the flow up.
TEST_CASE("tcp_session: a segment from before the window is acknowledged") {
  ConnectedPair pair;
  pair.caller.Write("request", pair.now);
  const auto first = Parse(pair.to_upstream.front());
  TcpFields probe;
  probe.from = MakeEndpoint(1, 1000);
  probe.to = MakeEndpoint(2, 80);
  probe.ack = true;
  probe.sequence = first.sequence - 1;
  probe.acknowledgment = first.acknowledgment;
  pair.DeliverAll();
  pair.upstream.OnPacket(Parse(MakeTcpPacket(probe, {})), pair.now);
  REQUIRE(pair.to_caller.size() == 1);
  CHECK(Parse(pair.to_caller.front()).ack);
  // The acknowledgment itself must not be acknowledged, or both ends would send
  // acknowledgments forever.
  pair.DeliverAll();
  CHECK(pair.to_upstream.empty());
}

// A stale reset must not end the connection (RFC 9293, section 3.5.3).
TEST_CASE(
    "tcp_session: a reset is accepted only with the expected sequence number") {
  ConnectedPair pair;
  TcpFields reset;
  reset.from = MakeEndpoint(2, 80);
  reset.to = MakeEndpoint(1, 1000);
  reset.rst = true;
  reset.sequence = 3;
  pair.caller.OnPacket(Parse(MakeTcpPacket(reset, {})), pair.now);
  CHECK(pair.caller.state() == TcpSession::State::kOpen);
  reset.sequence = 8;
  pair.caller.OnPacket(Parse(MakeTcpPacket(reset, {})), pair.now);
  CHECK(pair.caller.state() == TcpSession::State::kReset);
}

}  // namespace
}  // namespace kumquatvalve::standins
