#include "kumquatvalve/process/sidecar_process.h"

#include <netinet/in.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include "kumquatvalve/process/udp_batch.h"
#include "kumquatvalve/request/forward_header.h"

namespace kumquatvalve::process {
namespace {

using request::Endpoint;
using request::Failure;
using request::ForwardHeader;
using request::ResultCode;

constexpr request::InstanceId kEntry{77};
constexpr request::Incarnation kIncarnation{5};
constexpr request::ServiceId kService{7};

Endpoint LoopbackEndpoint(uint16_t port) {
  const std::array<uint8_t, 4> loopback = {127, 0, 0, 1};
  return {request::MapIpv4(loopback.data()), port};
}

// An IPv4 TCP SYN from 10.0.0.1 to 10.0.0.2:80.
std::vector<std::byte> SampleSyn(uint16_t caller_port = 1000) {
  const auto port_high = static_cast<uint8_t>(caller_port >> 8);
  const auto port_low = static_cast<uint8_t>(caller_port & 0xff);
  const std::array<uint8_t, 40> raw = {
      0x45, 0, 0,  40, 0,    0,    0x40,      0,        64, 6,  0, 0, 10, 0,
      0,    1, 10, 0,  0,    2,    port_high, port_low, 0,  80, 0, 0, 0,  5,
      0,    0, 0,  6,  0x50, 0x02, 0,         0,        0,  0,  0, 0};
  std::vector<std::byte> bytes;
  bytes.reserve(raw.size());
  for (const uint8_t it : raw) {
    bytes.push_back(std::byte{it});
  }
  return bytes;
}

// Waits for an event; the time limit only ends a failing test.
template <typename Condition>
bool WaitFor(Condition condition) {
  for (int i = 0; i < 2000; ++i) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return false;
}

// A sidecar with a table of one upstream, the socket of that upstream and the
// socket of an entry instance.
class SidecarFixture {
 public:
  SidecarFixture() {
    Failure failure;
    REQUIRE(upstream_.Open(LoopbackEndpoint(0), false, &failure));
    REQUIRE(sender_.Open(LoopbackEndpoint(0), false, &failure));
    // Picks free ports, which the sidecar opens again below.
    {
      UdpSocket data;
      UdpSocket announce;
      REQUIRE(data.Open(LoopbackEndpoint(0), false, &failure));
      REQUIRE(announce.Open(LoopbackEndpoint(0), false, &failure));
      settings_.data = data.Local();
      settings_.upstream.emplace();
      settings_.upstream->announce = announce.Local();
    }
    settings_.role = version::Role::kSidecar;
    settings_.instance = request::InstanceName("order-desk-0");
    settings_.fabric = sender_.Local();
    settings_.upstream->data = upstream_.Local();
    process_ = std::make_unique<SidecarProcess>(settings_, kIncarnation,
                                                nullptr, nullptr);
    REQUIRE(process_->Start(&failure));
    PeerTable peers;
    peers[kEntry] = {{1}, PeerState::kAlive, {}};
    process_->PublishPeers(peers);
    process_->PublishTable(MakeTable(kService));
  }

  // A table whose only upstream is that of this sidecar.
  std::shared_ptr<const version::ForwardingTable> MakeTable(
      request::ServiceId service) const {
    auto table = std::make_shared<version::ForwardingTable>();
    table->service = service;
    table->version = {1};
    version::UpstreamEntry entry;
    entry.instance = Self();
    entry.incarnation = kIncarnation;
    entry.data = settings_.data;
    entry.slots = 4;
    table->upstreams = {entry};
    table->owner = {0};
    table->backup = {0};
    return table;
  }

  request::InstanceId Self() const {
    return request::InstanceIdOf(settings_.instance);
  }

  ForwardHeader MakeHeader() const {
    ForwardHeader header;
    header.flags = request::kToOwner;
    header.service = kService;
    header.version = {1};
    header.sender = kEntry;
    header.target = Self();
    header.target_incarnation = kIncarnation;
    return header;
  }

  void Send(const ForwardHeader& header, const request::HashKey& key = {},
            const std::vector<std::byte>& packet = SampleSyn()) {
    std::array<std::byte, request::kForwardHeaderSize> header_bytes;
    WriteForwardHeader(header, key, header_bytes);
    SendBatch batch;
    batch.AddCopy(header_bytes, packet, settings_.data);
    REQUIRE(batch.Flush(sender_) == 0);
  }

  // @return whether exactly one packet was dropped with `code` in time.
  bool WaitForOneDrop(ResultCode code) {
    return WaitFor([&] { return process_->Sums().drops[code] == 1; });
  }

  version::ProcessSettings settings_;
  UdpSocket upstream_;
  UdpSocket sender_;
  std::unique_ptr<SidecarProcess> process_;
};

// Covers the path of a first packet, from the forward header to the upstream.
TEST_CASE("sidecar_process: a first packet reaches the upstream unchanged") {
  SidecarFixture sidecar;
  sidecar.Send(sidecar.MakeHeader());
  ReceiveBatch in;
  REQUIRE(WaitFor([&] { return in.Receive(sidecar.upstream_) == 1; }));
  const auto syn = SampleSyn();
  const auto packet = in.Packet(0);
  CHECK(std::equal(syn.begin(), syn.end(), packet.begin(), packet.end()));
}

// Guards against accepting packets for another service, for another
// incarnation's flows, or from a process that is not a member (R2).
TEST_CASE("sidecar_process: misdirected packets are dropped and counted") {
  SidecarFixture sidecar;
  ForwardHeader header = sidecar.MakeHeader();
  header.service = {8};
  sidecar.Send(header);
  CHECK(sidecar.WaitForOneDrop(ResultCode::kWrongService));
  header = sidecar.MakeHeader();
  header.target_incarnation = {4};
  sidecar.Send(header);
  CHECK(sidecar.WaitForOneDrop(ResultCode::kWrongIncarnation));
  header = sidecar.MakeHeader();
  header.sender = {78};
  sidecar.Send(header);
  CHECK(sidecar.WaitForOneDrop(ResultCode::kUnknownPeer));
  header = sidecar.MakeHeader();
  header.hops = request::kMaxHops + 1;
  sidecar.Send(header);
  CHECK(sidecar.WaitForOneDrop(ResultCode::kTooManyHops));
  sidecar.Send(sidecar.MakeHeader(), {1, 2, 3, 4});
  CHECK(sidecar.WaitForOneDrop(ResultCode::kBadForwardTag));
  SendBatch batch;
  batch.AddCopy({}, SampleSyn(), sidecar.settings_.data);
  batch.Flush(sidecar.sender_);
  CHECK(sidecar.WaitForOneDrop(ResultCode::kBadForwardHeader));
  CHECK(sidecar.process_->Sums()
            .events[static_cast<size_t>(PacketEvent::kDelivered)] == 0);
}

// Guards against accepting the upstream's packets from any sender that reaches
// the port.
TEST_CASE("sidecar_process: accepts upstream packets only from its address") {
  SidecarFixture sidecar;
  SendBatch batch;
  batch.AddCopy({}, SampleSyn(), sidecar.settings_.upstream->announce);
  batch.Flush(sidecar.sender_);
  CHECK(sidecar.WaitForOneDrop(ResultCode::kUnknownPeer));
  CHECK(sidecar.process_->Sums()
            .events[static_cast<size_t>(PacketEvent::kFromUpstream)] == 0);
}

// Guards against a drain that admits a flow, which would then never end or cut
// the flow off (R6, R7).
TEST_CASE("sidecar_process: a draining sidecar admits no new flow") {
  SidecarFixture sidecar;
  CHECK(sidecar.process_->Ready());
  sidecar.process_->StartDrain();
  CHECK_FALSE(sidecar.process_->Ready());
  sidecar.Send(sidecar.MakeHeader());
  REQUIRE(WaitFor([&] {
    return sidecar.process_->Sums()
               .events[static_cast<size_t>(PacketEvent::kReceived)] == 1;
  }));
  sidecar.process_->Stop();
  ReceiveBatch in;
  CHECK(in.Receive(sidecar.upstream_) == 0);
  CHECK(sidecar.process_->OpenFlows() == 0);
}

// Guards against packets of a service that reach the upstream which announced
// another one at the same address (R2), also packets of known flows.
TEST_CASE(
    "sidecar_process: an upstream of another service gets no packet of the "
    "earlier one's flows") {
  SidecarFixture sidecar;
  ReceiveBatch in;
  sidecar.Send(sidecar.MakeHeader());
  REQUIRE(WaitFor([&] { return in.Receive(sidecar.upstream_) == 1; }));
  sidecar.process_->SuspendDelivery();
  CHECK_FALSE(sidecar.process_->Ready());
  sidecar.Send(sidecar.MakeHeader());
  CHECK(sidecar.WaitForOneDrop(ResultCode::kWrongService));
  CHECK(in.Receive(sidecar.upstream_) == 0);

  constexpr request::ServiceId kNextService{8};
  sidecar.process_->PublishTable(sidecar.MakeTable(kNextService));
  CHECK(sidecar.process_->Ready());
  ForwardHeader header = sidecar.MakeHeader();
  header.service = kNextService;
  sidecar.Send(header);
  CHECK(WaitFor([&] { return in.Receive(sidecar.upstream_) == 1; }));
}

// Guards against an upstream that gets new flows after it withdrew its
// announcement, and against one whose open flows end then (R1, R6).
TEST_CASE(
    "sidecar_process: an upstream that withdrew gets packets of its flows "
    "only") {
  SidecarFixture sidecar;
  ReceiveBatch in;
  sidecar.Send(sidecar.MakeHeader());
  REQUIRE(WaitFor([&] { return in.Receive(sidecar.upstream_) == 1; }));
  sidecar.process_->SuspendAdmission();
  CHECK_FALSE(sidecar.process_->Ready());
  sidecar.Send(sidecar.MakeHeader());
  CHECK(WaitFor([&] { return in.Receive(sidecar.upstream_) == 1; }));
  sidecar.Send(sidecar.MakeHeader(), {}, SampleSyn(1001));
  CHECK(sidecar.WaitForOneDrop(ResultCode::kDraining));
  CHECK(in.Receive(sidecar.upstream_) == 0);
}

// Guards against an upstream that is lost for its service after one
// announcement of another writer.
TEST_CASE(
    "sidecar_process: an upstream gets packets again with the next table") {
  SidecarFixture sidecar;
  sidecar.process_->SuspendDelivery();
  sidecar.process_->PublishTable(sidecar.MakeTable(kService));
  sidecar.Send(sidecar.MakeHeader());
  ReceiveBatch in;
  CHECK(WaitFor([&] { return in.Receive(sidecar.upstream_) == 1; }));
}

}  // namespace
}  // namespace kumquatvalve::process
