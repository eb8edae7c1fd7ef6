#include "kumquatvalve/connection/responsiveness.h"

#include <catch2/catch.hpp>
#include <vector>

namespace kumquatvalve::connection {
namespace {

using std::chrono::milliseconds;

struct Fixture {
  // Delivers a first packet that gets no response.
  Fixture() {
    state.OnFirstPacket(now);
    now += milliseconds(150);
    state.CheckTimeout(now);
  }

  // Advances the clock in ticks until a trial is invited, with a heartbeat
  // every second.
  milliseconds TimeToInvitation() {
    milliseconds time{0};
    while (!state.InvitesTrial(now) && time < std::chrono::minutes(1)) {
      now += milliseconds(50);
      time += milliseconds(50);
      if (time % milliseconds(1000) == milliseconds(0)) {
        state.OnHeartbeat();
      }
    }
    return time;
  }

  TimePoint now{std::chrono::hours(1)};
  Responsiveness state;
};

// Guards against an upstream that stays unused after a power failure, since its
// sidecar was back first.
TEST_CASE("responsiveness: a heartbeat invites a trial") {
  Fixture f;
  REQUIRE(f.state.unresponsive());
  CHECK_FALSE(f.state.AcceptsFirstPacket(f.now));
  f.now += milliseconds(5000);
  CHECK_FALSE(f.state.InvitesTrial(f.now));
  f.state.OnHeartbeat();
  CHECK(f.state.InvitesTrial(f.now));
  CHECK(f.state.AcceptsFirstPacket(f.now));
  f.state.OnFirstPacket(f.now);
  CHECK_FALSE(f.state.InvitesTrial(f.now));
  CHECK(f.state.OnUpstreamPacket());
  CHECK_FALSE(f.state.unresponsive());
}

// Guards against callers that wait 200 ms each for an upstream that sends
// heartbeats and answers no first packet.
TEST_CASE("responsiveness: trials without a response become rare") {
  Fixture f;
  std::vector<milliseconds> times;
  for (int i = 0; i < 8; ++i) {
    times.push_back(f.TimeToInvitation());
    f.state.OnFirstPacket(f.now);
  }
  CHECK(times.front() == milliseconds(1000));
  for (size_t i = 1; i < times.size(); ++i) {
    CHECK(times[i] >= times[i - 1]);
  }
  CHECK(times.back() >= milliseconds(6400));
  // Once it responds, the next failure starts with short intervals again.
  f.state.OnUpstreamPacket();
  f.state.OnFirstPacket(f.now);
  f.now += milliseconds(150);
  REQUIRE(f.state.CheckTimeout(f.now));
  CHECK(f.TimeToInvitation() == milliseconds(1000));
}

TEST_CASE("responsiveness: an upstream that is not running gets no trial") {
  Fixture f;
  f.now += std::chrono::minutes(5);
  CHECK_FALSE(f.state.InvitesTrial(f.now));
  // A flow that no other upstream accepts is still delivered.
  CHECK(f.state.AcceptsFirstPacket(f.now));
}

TEST_CASE("responsiveness: a new incarnation starts without failures") {
  Fixture f;
  f.state.OnNewIncarnation();
  CHECK_FALSE(f.state.unresponsive());
  CHECK(f.state.AcceptsFirstPacket(f.now));
  CHECK_FALSE(f.state.CheckTimeout(f.now + milliseconds(500)));
}

}  // namespace
}  // namespace kumquatvalve::connection
