#include "kumquatvalve/process/send_times.h"

#include <catch2/catch.hpp>

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
  CHECK(f.times.SentAfter(f.now) == paused_at);
  CHECK(f.Iterate(milliseconds(50)) == milliseconds(0));
}

TEST_CASE("send_times: time since boot passes") {
  const auto first = TimeSinceBoot();
  CHECK(first > std::chrono::nanoseconds(0));
  CHECK(TimeSinceBoot() >= first);
}

}  // namespace
}  // namespace kumquatvalve::process
