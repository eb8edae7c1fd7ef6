#include "kumquatvalve/process/send_times.h"

#include <catch2/catch.hpp>

#include "kumquatvalve/connection/address_lease.h"

namespace kumquatvalve::process {
namespace {

using std::chrono::milliseconds;

struct Fixture {
  milliseconds Iterate(milliseconds time, milliseconds suspended = {}) {
    now += time;
    since_boot += time + suspended;
    return times.OnIteration(now, since_boot);
  }

  SendTimes::TimePoint now{std::chrono::hours(1)};
  std::chrono::nanoseconds since_boot{std::chrono::hours(5)};
  SendTimes times;
};

connection::HeartbeatId Heartbeat(uint64_t sequence) {
  return {"patio", {"i-1", 1000}, sequence};
}

TEST_CASE("send_times: without a pause messages are as old as their receipt") {
  Fixture f;
  CHECK(f.Iterate(milliseconds(0)) == milliseconds(0));
  CHECK(f.Iterate(milliseconds(50)) == milliseconds(0));
  CHECK(f.times.SentAfter(f.now) == f.now);
  CHECK(f.times.previous() == f.now - milliseconds(50));
}

// Guards against a heartbeat that waited while the process was paused and is
// taken for evidence that its upstream still runs.
TEST_CASE("send_times: a message read after a pause may be as old as that") {
  Fixture f;
  f.Iterate(milliseconds(0));
  const auto paused_at = f.now;
  f.Iterate(milliseconds(3000));
  CHECK(f.times.SentAfter(f.now) == paused_at);
  // The thread that reads heartbeats may go on before the traffic thread.
  CHECK(f.times.SentAfter(f.now - milliseconds(20)) == paused_at);
  const auto after = f.now + SendTimes::kBacklogTime;
  while (f.now < after) {
    f.Iterate(milliseconds(50));
  }
  CHECK(f.times.SentAfter(after - milliseconds(1)) == paused_at);
  CHECK(f.times.SentAfter(after) == after);
  CHECK(f.times.SentAfter(paused_at - milliseconds(5)) ==
        paused_at - milliseconds(5));
}

TEST_CASE("send_times: a suspended machine is noticed") {
  Fixture f;
  f.Iterate(milliseconds(0));
  const auto paused_at = f.now;
  CHECK(f.Iterate(milliseconds(50), milliseconds(4000)) == milliseconds(4000));
  CHECK(f.times.SentAfter(f.now) == paused_at - milliseconds(4000));
  CHECK(f.times.previous() == paused_at - milliseconds(4000));
  CHECK(f.Iterate(milliseconds(50)) == milliseconds(0));
}

// Guards against a lease from a heartbeat that waited while the machine was
// suspended for longer than the lease.
TEST_CASE(
    "send_times: a heartbeat that waited while the machine was suspended does "
    "not grant a lease") {
  Fixture f;
  f.Iterate(milliseconds(0));
  connection::AddressLease lease{milliseconds(1750)};
  lease.OnHeartbeat(Heartbeat(1), f.now, f.now);
  REQUIRE(lease.State(f.now) == connection::LeaseState::kHeld);
  lease.OnSuspension(f.Iterate(milliseconds(50), milliseconds(4000)));
  REQUIRE(lease.State(f.now) == connection::LeaseState::kLapsed);
  lease.OnHeartbeat(Heartbeat(2), f.times.SentAfter(f.now), f.now);
  CHECK(lease.State(f.now) == connection::LeaseState::kLapsed);
}

// As above, for packets that waited while it was suspended for a shorter time.
TEST_CASE(
    "send_times: a packet that waited while the machine was suspended does not "
    "renew a lease for longer than one sent before that") {
  Fixture f;
  f.Iterate(milliseconds(0));
  connection::AddressLease lease{milliseconds(1750)};
  lease.OnHeartbeat(Heartbeat(1), f.now, f.now);
  f.Iterate(milliseconds(50));
  lease.OnSuspension(f.Iterate(milliseconds(50), milliseconds(1500)));
  lease.OnPacket(connection::PacketEvidence::kRunning, f.times.previous(),
                 f.now);
  // 1,850 ms after the suspension began.
  f.Iterate(milliseconds(350));
  CHECK(lease.State(f.now) == connection::LeaseState::kLapsed);
}

// Guards against a second, shorter gap, as on a core whose share is used up,
// that makes what waited during the first one look recent.
TEST_CASE(
    "send_times: a message read after two pauses in succession may be as old "
    "as the first one") {
  Fixture f;
  f.Iterate(milliseconds(0));
  const auto paused_at = f.now;
  f.Iterate(milliseconds(3000));
  f.Iterate(milliseconds(50));
  f.Iterate(SendTimes::kMinPause + milliseconds(20));
  CHECK(f.times.SentAfter(f.now) <= paused_at);
}

// Guards against an upstream without flows beside a sidecar that gets a part of
// a core only.
TEST_CASE("send_times: repeated short pauses do not make every message old") {
  Fixture f;
  f.Iterate(milliseconds(0));
  constexpr milliseconds kGap = SendTimes::kMinPause + milliseconds(50);
  for (int i = 0; i < 100; ++i) {
    f.Iterate(kGap);
  }
  CHECK(f.now - f.times.SentAfter(f.now) <= SendTimes::kBacklogTime + 2 * kGap);
}

// Guards against a pause between the beginning of an iteration and the reading
// of heartbeats in it, which the next iteration notices too late.
TEST_CASE(
    "send_times: a message that was received after a pause within an iteration "
    "may be as old as the iteration") {
  Fixture f;
  f.Iterate(milliseconds(0));
  f.Iterate(milliseconds(50));
  CHECK(f.times.SentAfter(f.now + milliseconds(3000)) <= f.now);
}

TEST_CASE("send_times: time since boot passes") {
  const auto first = TimeSinceBoot();
  CHECK(first > std::chrono::nanoseconds(0));
  CHECK(TimeSinceBoot() >= first);
}

}  // namespace
}  // namespace kumquatvalve::process
