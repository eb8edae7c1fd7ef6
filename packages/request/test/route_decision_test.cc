#include "kumquatvalve/request/route_decision.h"

#include <netinet/in.h>

#include <catch2/catch.hpp>
#include <vector>

namespace kumquatvalve::request {
namespace {

// One service with two upstreams: 0 owns all rows, 1 is their backup.
struct Rows {
  std::vector<RouteTarget> targets = {{{10}, {1}, {}, false},
                                      {{11}, {1}, {}, false}};
  bool has_owner = true;

  ServiceId service() const { return {3}; }
  TableVersion version() const { return {4}; }
  RowIndex RowOf(uint64_t hash) const {
    return {static_cast<uint32_t>(hash & 7)};
  }
  const RouteTarget* Owner(RowIndex /*row*/) const {
    return has_owner ? &targets[0] : nullptr;
  }
  const RouteTarget* Backup(RowIndex /*row*/) const { return &targets[1]; }
  const RouteTarget* Upstream(size_t index) const {
    return index < targets.size() ? &targets[index] : nullptr;
  }
};

struct Tables {
  Rows rows;
  HashKey key{};

  InstanceId self() const { return {1}; }
  const HashKey& flow_hash_key() const { return key; }
  const Rows* Find(const Endpoint& service, uint8_t /*protocol*/) const {
    return service.port == 80 ? &rows : nullptr;
  }
};

ParsedPacket Packet(bool first) {
  ParsedPacket packet;
  packet.flow.protocol = IPPROTO_TCP;
  packet.flow.service.port = 80;
  packet.syn = first;
  packet.ack = !first;
  return packet;
}

// R2: a packet to an address without a service must not reach any sidecar.
TEST_CASE("route_decision: a packet without a service is dropped") {
  ParsedPacket packet = Packet(true);
  packet.flow.service.port = 81;
  CHECK(DecideRoute(Tables(), packet).code == ResultCode::kNoService);
}

// Guards against a flow that both the owner and the backup of a row admit.
TEST_CASE("route_decision: the backup gets packets only for a dead owner") {
  Tables tables;
  auto decision = DecideRoute(tables, Packet(true));
  CHECK(decision.header.target.value == 10);
  CHECK(decision.header.flags == kToOwner);
  tables.rows.targets[0].dead = true;
  decision = DecideRoute(tables, Packet(true));
  CHECK(decision.header.target.value == 11);
  CHECK(decision.header.flags == kOwnerFailed);
  tables.rows.targets[1].dead = true;
  decision = DecideRoute(tables, Packet(true));
  CHECK(decision.header.target.value == 10);
  CHECK(decision.header.flags == kToOwner);
}

// Guards against a crash or a random target for a row without owner.
TEST_CASE("route_decision: a row without owner goes to its backup") {
  Tables tables;
  tables.rows.has_owner = false;
  const auto decision = DecideRoute(tables, Packet(true));
  CHECK(decision.header.target.value == 11);
  CHECK(decision.header.flags == kOwnerFailed);
}

// A first packet with a hint would bypass the row's owner, and packets sent to
// a dead or unlisted holder would be lost.
TEST_CASE("route_decision: a hint applies only to packets after the first") {
  Tables tables;
  ParsedPacket packet = Packet(false);
  packet.ts_echo = ExtendTimestamp(100, 1);
  auto decision = DecideRoute(tables, packet);
  CHECK(decision.header.target.value == 11);
  CHECK(decision.header.flags == kHinted);
  tables.rows.targets[1].dead = true;
  CHECK(DecideRoute(tables, packet).header.target.value == 10);
  packet.ts_echo = ExtendTimestamp(100, 5);
  CHECK(DecideRoute(tables, packet).header.target.value == 10);
  tables.rows.targets[1].dead = false;
  packet = Packet(true);
  packet.ts_echo = ExtendTimestamp(100, 1);
  CHECK(DecideRoute(tables, packet).header.target.value == 10);
}

}  // namespace
}  // namespace kumquatvalve::request
