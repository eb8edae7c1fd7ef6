#include "kumquatvalve/connection/address_lease.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>

#include "property.h"

namespace kumquatvalve::connection {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDuration{1750};
constexpr milliseconds kInterval{1200};

struct Fixture {
  void Heartbeat() { HeartbeatSentAfter(now); }
  void HeartbeatSentAfter(TimePoint sent_after) {
    lease.OnHeartbeat({"patio", {"i-1", 1000}, ++own_sequence}, sent_after,
                      now);
  }
  void OtherService(uint64_t sequence, const std::string& instance = "i-2") {
    lease.OnOtherService({"evidencia", {instance, 5000}, sequence}, now);
  }
  void Packet(PacketEvidence evidence = PacketEvidence::kRunning) {
    lease.OnPacket(evidence, now, now);
  }
  void Advance(milliseconds time) { now += time; }
  LeaseState State() const { return lease.State(now); }

  TimePoint now{std::chrono::hours(1)};
  uint64_t own_sequence = 0;
  AddressLease lease{kDuration};
};

// The sidecar process started after the upstream.
struct Restarted : Fixture {
  Restarted() { own_sequence = 40; }
};

TEST_CASE("address_lease: a sidecar that has just started holds no lease") {
  Fixture f;
  CHECK(f.State() == LeaseState::kLapsed);
  // Whoever sends packets may be of another service.
  f.Packet();
  CHECK(f.State() == LeaseState::kLapsed);
  f.Heartbeat();
  CHECK(f.State() == LeaseState::kHeld);
}

TEST_CASE(
    "address_lease: the lease ends before another upstream can use the "
    "address") {
  constexpr milliseconds kReuseDelay{2000};
  Fixture f;
  f.lease = AddressLease(LeaseDuration(kReuseDelay));
  f.Heartbeat();
  f.Advance(kReuseDelay - kMaxDeliveryDelay);
  CHECK(f.State() == LeaseState::kLapsed);
  // The first packet from the address after that may be the next upstream's.
  f.Packet();
  CHECK(f.State() == LeaseState::kLapsed);
}

TEST_CASE("address_lease: an address that is used again at once has a lease") {
  CHECK(LeaseDuration(milliseconds(2000)) == milliseconds(1750));
  CHECK(LeaseDuration(milliseconds(0)) == milliseconds(250));
}

TEST_CASE(
    "address_lease: packets of the upstream keep the lease while its "
    "heartbeats are lost") {
  Fixture f;
  f.Heartbeat();
  for (int i = 0; i < 60; ++i) {
    f.Advance(milliseconds(1000));
    f.Packet();
    REQUIRE(f.State() == LeaseState::kHeld);
  }
}

// Guards against delivery after a pause: what waited in the sockets meanwhile
// was sent by an upstream that may have been replaced since.
TEST_CASE(
    "address_lease: messages that waited during a pause do not renew it") {
  Fixture f;
  f.Heartbeat();
  f.Advance(milliseconds(500));
  const TimePoint paused_at = f.now;
  SECTION("longer than the lease") {
    f.Advance(milliseconds(3000));
    f.lease.OnPacket(PacketEvidence::kHoldsFlow, paused_at, f.now);
    f.HeartbeatSentAfter(paused_at);
    CHECK(f.State() == LeaseState::kLapsed);
  }
  SECTION("shorter than the lease") {
    f.Advance(milliseconds(1000));
    f.lease.OnPacket(PacketEvidence::kHoldsFlow, paused_at, f.now);
    CHECK(f.State() == LeaseState::kHeld);
    f.Advance(milliseconds(800));
    CHECK(f.State() == LeaseState::kLapsed);
  }
  SECTION("while the machine was suspended and its clock stood still") {
    f.lease.OnSuspension(milliseconds(1500));
    CHECK(f.State() == LeaseState::kLapsed);
  }
}

TEST_CASE(
    "address_lease: a heartbeat of another service withdraws the lease for "
    "good when its upstream has replaced this one") {
  Fixture f;
  f.Heartbeat();
  for (uint64_t sequence = 1; sequence < 20; ++sequence) {
    f.Advance(kInterval);
    f.OtherService(sequence);
    f.Packet();
    REQUIRE(f.State() == LeaseState::kContested);
  }
}

TEST_CASE(
    "address_lease: one heartbeat of another service costs the upstream one "
    "heartbeat interval, an idle one two") {
  Fixture f;
  f.Heartbeat();
  f.Advance(milliseconds(600));
  f.OtherService(7);
  CHECK(f.State() == LeaseState::kContested);
  f.Advance(kInterval - milliseconds(600));
  SECTION("with a packet of a flow before the heartbeat") {
    f.Packet(PacketEvidence::kHoldsAdmittedFlow);
    CHECK(f.State() == LeaseState::kContested);
    f.Heartbeat();
    CHECK(f.State() == LeaseState::kHeld);
  }
  SECTION("with a packet of a flow after the heartbeat") {
    f.Heartbeat();
    CHECK(f.State() == LeaseState::kContested);
    // The other upstream may hold flows that an earlier process delivered.
    f.Packet(PacketEvidence::kHoldsFlow);
    CHECK(f.State() == LeaseState::kContested);
    f.Packet(PacketEvidence::kHoldsAdmittedFlow);
    CHECK(f.State() == LeaseState::kHeld);
  }
  SECTION("idle") {
    f.Heartbeat();
    CHECK(f.State() == LeaseState::kContested);
    f.Advance(kInterval);
    f.Heartbeat();
    CHECK(f.State() == LeaseState::kHeld);
  }
}

// Guards against requests that the next upstream runs: a heartbeat of the
// upstream that ended arrives after the next one's first.
TEST_CASE(
    "address_lease: one late heartbeat of the earlier upstream grants no "
    "lease") {
  Fixture f;
  f.Heartbeat();
  f.Heartbeat();
  f.Advance(milliseconds(2500));
  f.OtherService(1);
  f.Advance(milliseconds(700));
  f.Heartbeat();
  f.Packet();
  CHECK(f.State() == LeaseState::kContested);
  f.Advance(milliseconds(500));
  f.OtherService(2);
  f.Advance(milliseconds(700));
  f.Heartbeat();
  CHECK(f.State() == LeaseState::kContested);
}

// Guards against requests that the next upstream runs: the last two heartbeats
// of the one that crashed arrive one shortly after the other, between two of
// the next one.
TEST_CASE(
    "address_lease: two late heartbeats of the earlier upstream grant no lease "
    "while the next one sends heartbeats") {
  Fixture f;
  f.Heartbeat();
  f.Advance(milliseconds(2500));
  for (uint64_t sequence = 1; sequence <= 2; ++sequence) {
    f.OtherService(sequence);
    f.Advance(kInterval);
  }
  f.OtherService(3);
  for (const int delay : {350, 400, 350}) {
    f.Advance(milliseconds(delay));
    f.Packet();
    f.Packet(PacketEvidence::kHoldsFlow);
    if (delay != 400) {
      f.Heartbeat();
    }
    CHECK(f.State() == LeaseState::kContested);
  }
}

// The same, but the other start was of another writer and is silent.
TEST_CASE(
    "address_lease: two heartbeats grant the lease once another service has "
    "been silent for its duration") {
  Fixture f;
  f.Heartbeat();
  f.OtherService(1);
  f.Advance(milliseconds(400));
  f.Heartbeat();
  f.Advance(kDuration - milliseconds(401));
  f.Heartbeat();
  CHECK(f.State() == LeaseState::kContested);
  f.Advance(milliseconds(1));
  f.Heartbeat();
  CHECK(f.State() == LeaseState::kHeld);
}

TEST_CASE(
    "address_lease: one late heartbeat grants no lease to a process that has "
    "just started") {
  Restarted f;
  f.Heartbeat();
  f.Packet();
  CHECK(f.State() == LeaseState::kLapsed);
  SECTION("the next upstream announces itself") {
    f.OtherService(1);
    CHECK(f.State() == LeaseState::kContested);
  }
  SECTION("the upstream sends another one") {
    f.Advance(milliseconds(10));
    f.Heartbeat();
    CHECK(f.State() == LeaseState::kLapsed);
    f.Advance(kInterval);
    f.Heartbeat();
    CHECK(f.State() == LeaseState::kHeld);
  }
  SECTION("the upstream holds flows of the process before") {
    f.Advance(milliseconds(100));
    f.Packet(PacketEvidence::kHoldsFlow);
    CHECK(f.State() == LeaseState::kHeld);
  }
}

TEST_CASE(
    "address_lease: a process that starts beside a busy upstream needs one "
    "heartbeat") {
  Restarted f;
  f.Packet(PacketEvidence::kHoldsFlow);
  CHECK(f.State() == LeaseState::kLapsed);
  f.Advance(kInterval);
  f.Heartbeat();
  CHECK(f.State() == LeaseState::kHeld);
}

TEST_CASE(
    "address_lease: an upstream that starts again gets the lease by its first "
    "heartbeat") {
  Restarted f;
  f.Packet(PacketEvidence::kHoldsFlow);
  f.Heartbeat();
  f.Advance(milliseconds(5000));
  REQUIRE(f.State() == LeaseState::kLapsed);
  f.Heartbeat();
  CHECK(f.State() == LeaseState::kLapsed);
  f.lease.OnHeartbeat({"patio", {"i-3", 7000}, 1}, f.now, f.now);
  CHECK(f.State() == LeaseState::kHeld);
}

// Guards against a service that loses an upstream to another writer, which
// goes on sending heartbeats to its address.
TEST_CASE(
    "address_lease: repeated heartbeats of another writer have no effect once "
    "the upstream has sent three") {
  Fixture f;
  f.Heartbeat();
  uint64_t sequence = 0;
  for (int i = 0; i < 3; ++i) {
    f.Advance(kInterval / 2);
    f.OtherService(++sequence);
    f.Advance(kInterval / 2);
    f.Heartbeat();
  }
  CHECK(f.State() == LeaseState::kHeld);
  for (int i = 0; i < 20; ++i) {
    f.Advance(kInterval / 2);
    f.OtherService(++sequence);
    REQUIRE(f.State() == LeaseState::kHeld);
    f.Advance(kInterval / 2);
    f.Heartbeat();
  }
  // Until the upstream is silent.
  f.Advance(kDuration);
  f.OtherService(++sequence);
  CHECK(f.State() == LeaseState::kContested);
}

TEST_CASE(
    "address_lease: heartbeats of both services that were delayed together "
    "leave it contested in any order") {
  Fixture f;
  f.Heartbeat();
  f.Advance(milliseconds(1000));
  const bool own_first = GENERATE(true, false);
  if (own_first) {
    f.Heartbeat();
    f.Advance(milliseconds(1));
  }
  f.OtherService(1);
  for (int i = 0; i < 5; ++i) {
    f.Advance(milliseconds(1));
    f.Heartbeat();
  }
  CHECK(f.State() == LeaseState::kContested);
}

TEST_CASE("address_lease: a repeated heartbeat of another service is ignored") {
  Fixture f;
  f.Heartbeat();
  f.OtherService(3);
  for (int i = 0; i < 2; ++i) {
    f.Advance(kInterval);
    f.Heartbeat();
  }
  REQUIRE(f.State() == LeaseState::kHeld);
  f.OtherService(3);
  f.OtherService(2);
  CHECK(f.State() == LeaseState::kHeld);
}

// Guards against a successor that is ignored for good: its packets renew the
// lease of its predecessor, of which three late heartbeats arrived.
TEST_CASE(
    "address_lease: a start that was dismissed and is the only one to send "
    "heartbeats withdraws the lease in the end") {
  Fixture f;
  f.Heartbeat();
  f.Advance(milliseconds(2500));
  uint64_t sequence = 0;
  f.OtherService(++sequence);
  for (int i = 0; i < AddressLease::kMessagesToDismiss; ++i) {
    f.Advance(milliseconds(400));
    f.Heartbeat();
  }
  bool held = true;
  for (int i = 0; i < 50 && held; ++i) {
    f.Advance(kInterval / 2);
    f.Packet();
    f.Advance(kInterval / 2);
    f.Packet();
    f.OtherService(++sequence);
    held = f.State() == LeaseState::kHeld;
  }
  CHECK_FALSE(held);
}

// Guards against requests that the next upstream runs for one interval: its
// predecessor was silent until the address could be used again, and one of its
// heartbeats was delayed by a partition.
TEST_CASE(
    "address_lease: one late heartbeat does not restore a lease that had "
    "lapsed before the other service's first heartbeat") {
  Fixture f;
  f.Heartbeat();
  f.Advance(milliseconds(2500));
  REQUIRE(f.State() == LeaseState::kLapsed);
  f.OtherService(1);
  f.Advance(milliseconds(400));
  f.Heartbeat();
  CHECK(f.State() == LeaseState::kContested);
}

// Any series of messages, then the upstream or its successor alone.
TEST_CASE(
    "address_lease: property: an upstream gets its lease back and one of "
    "another service does not get it") {
  CHECK(Holds([] {
    Fixture f;
    uint64_t sequence = 0;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
    for (const int step : steps) {
      f.Advance(milliseconds(step / 4 * 200));
      switch (step % 4) {
        case 0:
          f.Heartbeat();
          break;
        case 1:
          f.OtherService(++sequence);
          break;
        case 2:
          f.OtherService(1, "i-" + std::to_string(step));
          break;
        default:
          f.Packet(PacketEvidence(step % 3));
      }
    }
    const bool returns = *rc::gen::arbitrary<bool>();
    if (returns) {
      for (int i = 0; i < AddressLease::kMessagesToDismiss; ++i) {
        f.Advance(kInterval);
        f.Heartbeat();
      }
      RC_ASSERT(f.State() == LeaseState::kHeld);
      return;
    }
    f.Advance(kDuration);
    for (int i = 0; i < 10; ++i) {
      f.Packet();
      RC_ASSERT(f.State() != LeaseState::kHeld);
      f.OtherService(++sequence);
      f.Advance(milliseconds(300));
    }
  }));
}

}  // namespace
}  // namespace kumquatvalve::connection
