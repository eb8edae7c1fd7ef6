#include "kumquatvalve/process/traffic_loop.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "kumquatvalve/process/retry_backoff.h"

namespace kumquatvalve::process {
namespace {

using std::chrono::milliseconds;
using Steady = std::chrono::steady_clock::time_point;
using Wall = std::chrono::system_clock::time_point;

TEST_CASE(
    "traffic_loop: a pause that the steady clock does not count is noticed") {
  PauseDetector pauses;
  Steady now{std::chrono::hours(1)};
  Wall wall{std::chrono::hours(1000)};
  CHECK_FALSE(pauses.CheckForPause(now, wall));
  CHECK_FALSE(
      pauses.CheckForPause(now += milliseconds(50), wall += milliseconds(50)));
  CHECK(pauses.CheckForPause(now += milliseconds(50),
                             wall += milliseconds(4000)));
  CHECK(pauses.CheckForPause(now += milliseconds(4000),
                             wall += milliseconds(4000)));
  CHECK_FALSE(
      pauses.CheckForPause(now += milliseconds(50), wall += milliseconds(50)));
}

TEST_CASE("traffic_loop: a mailbox holds the newest value once") {
  Mailbox<int> box;
  CHECK_FALSE(box.Take());
  box.Put(1);
  box.Put(2);
  CHECK(box.Take() == 2);
  CHECK_FALSE(box.Take());
}

TEST_CASE("traffic_loop: a status question is answered by the traffic thread") {
  StatusRequest request;
  CHECK(request.Query() == "{}");
  std::atomic<bool> stop{false};
  std::thread thread([&] {
    while (!stop) {
      request.Serve([] { return std::string("state"); });
      std::this_thread::yield();
    }
  });
  CHECK(request.Query() == "state");
  stop = true;
  thread.join();
}

TEST_CASE("retry_pause: pauses grow to a second and start over") {
  RetryBackoff pause(1);
  milliseconds longest{0};
  CHECK(pause.NextDelay() <= RetryBackoff::kMinDelay);
  for (int i = 0; i < 20; ++i) {
    longest = std::max(longest, pause.NextDelay());
  }
  CHECK(longest <= RetryBackoff::kMaxDelay);
  CHECK(longest > RetryBackoff::kMaxDelay / 2);
  pause.Reset();
  CHECK(pause.NextDelay() <= RetryBackoff::kMinDelay);
}

}  // namespace
}  // namespace kumquatvalve::process
