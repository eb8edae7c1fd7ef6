#include "kumquatvalve/process/entry_process.h"

#include <netinet/in.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

namespace kumquatvalve::process {
namespace {

using request::Endpoint;
using request::Failure;
using request::ResultCode;

Endpoint LoopbackEndpoint(uint16_t port) {
  const std::array<uint8_t, 4> loopback = {127, 0, 0, 1};
  return {request::MapIpv4(loopback.data()), port};
}

// An IPv4 TCP SYN from 10.0.0.1:1000 to 10.0.0.2:80.
std::vector<std::byte> SampleSyn() {
  const std::array<uint8_t, 40> raw = {
      0x45, 0, 0,  40, 0,    0,    0x40, 0,    64, 6,  0, 0, 10, 0,
      0,    1, 10, 0,  0,    2,    3,    0xe8, 0,  80, 0, 0, 0,  5,
      0,    0, 0,  6,  0x50, 0x02, 0,    0,    0,  0,  0, 0};
  std::vector<std::byte> bytes;
  bytes.reserve(raw.size());
  for (const uint8_t it : raw) {
    bytes.push_back(std::byte{it});
  }
  return bytes;
}

version::ProcessSettings MakeSettings() {
  version::ProcessSettings settings;
  settings.instance = request::InstanceName("entry-0");
  settings.data = LoopbackEndpoint(0);
  settings.traffic_threads = 2;
  return settings;
}

version::ServiceTable MakeTables(const Endpoint& sidecar) {
  auto table = std::make_shared<version::ForwardingTable>();
  table->service = {7};
  table->version = {9};
  version::UpstreamEntry entry;
  entry.instance = {42};
  entry.incarnation = {5};
  entry.data = sidecar;
  table->upstreams = {entry};
  table->owner = {0};
  table->backup = {0};
  Failure failure;
  return version::ServiceTable().CopyWithTable(
      {*request::ParseEndpoint("10.0.0.2:80", &failure), IPPROTO_TCP}, table);
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

void SendTo(const UdpSocket& socket, const Endpoint& to,
            const std::vector<std::byte>& bytes) {
  SendBatch batch;
  batch.Add(bytes, to);
  REQUIRE(batch.Flush(socket) == 0);
}

// Guards against packets without a valid forward header, which every sidecar
// would drop.
TEST_CASE(
    "entry_process: a packet reaches the row owner with a forward header") {
  UdpSocket sidecar;
  Failure failure;
  REQUIRE(sidecar.Open(LoopbackEndpoint(0), false, &failure));
  EntryProcess entry(MakeSettings(), nullptr);
  REQUIRE(entry.Start(&failure));
  entry.PublishTables(MakeTables(sidecar.Local()));
  PeerTable peers;
  peers[{42}] = {{6}, PeerState::kAlive, sidecar.Local()};
  entry.PublishPeers(peers);
  REQUIRE(entry.Ready());

  const auto syn = SampleSyn();
  SendTo(sidecar, entry.Local(), syn);
  ReceiveBatch in;
  REQUIRE(WaitFor([&] { return in.Receive(sidecar) == 1; }));
  const auto header =
      request::ReadForwardHeader(in.Packet(0), request::HashKey{}, &failure);
  REQUIRE(header.has_value());
  CHECK(header->service.value == 7);
  CHECK(header->target.value == 42);
  // The incarnation from membership is newer than the one in the table.
  CHECK(header->target_incarnation.value == 6);
  CHECK(header->sender ==
        request::InstanceIdOf(request::InstanceName("entry-0")));
  CHECK(std::equal(syn.begin(), syn.end(),
                   in.Packet(0).begin() + request::kForwardHeaderSize));
}

// Guards against packets that are dropped without being counted.
TEST_CASE("entry_process: unroutable packets are dropped and counted") {
  UdpSocket sender;
  Failure failure;
  REQUIRE(sender.Open(LoopbackEndpoint(0), false, &failure));
  EntryProcess entry(MakeSettings(), nullptr);
  REQUIRE(entry.Start(&failure));
  CHECK_FALSE(entry.Ready());
  SendTo(sender, entry.Local(), SampleSyn());
  auto fragment = SampleSyn();
  fragment[6] = std::byte{0x20};
  SendTo(sender, entry.Local(), fragment);
  SendTo(sender, entry.Local(),
         std::vector<std::byte>(kMaxPacketSize + 1, std::byte{0x45}));
  SendTo(sender, entry.Local(),
         std::vector<std::byte>(kMaxDatagramSize + 1, std::byte{0x45}));
  REQUIRE(WaitFor([&] {
    return entry.Sums().events[0] == 4 && entry.Sums().drops.size() == 3;
  }));
  auto drops = entry.Sums().drops;
  CHECK(drops[ResultCode::kNoService] == 1);
  CHECK(drops[ResultCode::kFragment] == 1);
  CHECK(drops[ResultCode::kPacketTooLong] == 2);
}

// Guards against losing packets that wait in the sockets at each restart.
TEST_CASE("entry_process: Stop forwards packets that wait in the sockets") {
  UdpSocket sidecar;
  Failure failure;
  REQUIRE(sidecar.Open(LoopbackEndpoint(0), false, &failure));
  EntryProcess entry(MakeSettings(), nullptr);
  REQUIRE(entry.Start(&failure));
  entry.PublishTables(MakeTables(sidecar.Local()));
  for (int i = 0; i < 200; ++i) {
    SendTo(sidecar, entry.Local(), SampleSyn());
  }
  entry.Stop();
  CHECK(entry.Sums().events[static_cast<size_t>(PacketEvent::kForwarded)] ==
        200);
}

}  // namespace
}  // namespace kumquatvalve::process
