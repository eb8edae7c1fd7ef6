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
    "traffic_loop: a pause that the steady clock does not count is detected") {
  PauseDetector detector;
  Steady now{std::chrono::hours(1)};
  Wall wall{std::chrono::hours(1000)};
  CHECK_FALSE(detector.CheckForPause(now, wall));
  CHECK_FALSE(detector.CheckForPause(now += milliseconds(50),
                                     wall += milliseconds(50)));
  CHECK(detector.CheckForPause(now += milliseconds(50),
                               wall += milliseconds(4000)));
  CHECK(detector.CheckForPause(now += milliseconds(4000),
                               wall += milliseconds(4000)));
  CHECK_FALSE(detector.CheckForPause(now += milliseconds(50),
                                     wall += milliseconds(50)));
}

TEST_CASE("traffic_loop: a mailbox returns the newest value once") {
  Mailbox<int> mailbox;
  CHECK_FALSE(mailbox.Take());
  mailbox.Put(1);
  mailbox.Put(2);
  CHECK(mailbox.Take() == 2);
  CHECK_FALSE(mailbox.Take());
}

TEST_CASE("traffic_loop: a status query is answered by the traffic thread") {
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

TEST_CASE("retry_backoff: delays grow to a second and start over on Reset") {
  RetryBackoff backoff(1);
  milliseconds longest{0};
  CHECK(backoff.NextDelay() <= RetryBackoff::kMinDelay);
  for (int i = 0; i < 20; ++i) {
    longest = std::max(longest, backoff.NextDelay());
  }
  CHECK(longest <= RetryBackoff::kMaxDelay);
  CHECK(longest > RetryBackoff::kMaxDelay / 2);
  backoff.Reset();
  CHECK(backoff.NextDelay() <= RetryBackoff::kMinDelay);
}

}  // namespace
}  // namespace kumquatvalve::process
