#include "kumquatvalve/connection/effective_limit.h"

#include <catch2/catch.hpp>
#include <random>

namespace kumquatvalve::connection {
namespace {

using std::chrono::milliseconds;

class Clock {
 public:
  TimePoint Next() { return now_ += milliseconds(50); }

 private:
  TimePoint now_;
};

// Guards against an overload of an upstream that has just started.
TEST_CASE("effective_limit: the limit starts at 1 and grows with completions") {
  EffectiveLimit limit(4);
  Clock clock;
  CHECK(limit.limit() == 1);
  // Completions below the limit say nothing about a higher limit.
  for (int i = 0; i < 100; ++i) {
    limit.OnComplete(milliseconds(60), 0, clock.Next());
  }
  CHECK(limit.limit() == 1);
  for (uint32_t expected = 2; expected <= 4; ++expected) {
    for (uint32_t i = 1; i < expected; ++i) {
      limit.OnComplete(milliseconds(60), limit.limit(), clock.Next());
    }
    CHECK(limit.limit() == expected);
  }
  for (int i = 0; i < 100; ++i) {
    limit.OnComplete(milliseconds(60), 4, clock.Next());
  }
  CHECK(limit.limit() == 4);
}

// Guards against a limit that oscillates around the capacity, which makes the
// upstream reject flows again and again.
TEST_CASE(
    "effective_limit: a limit that was rejected is retried ever more rarely") {
  EffectiveLimit limit(8);
  Clock clock;
  int refused = 0;
  uint32_t lowest = 8;
  for (int i = 0; i < 4000; ++i) {
    const TimePoint now = clock.Next();
    if (limit.limit() > 3) {
      limit.OnRejected(now);
      ++refused;
    } else {
      limit.OnComplete(milliseconds(10), limit.limit(), now);
    }
    if (i > 20) {
      lowest = std::min(lowest, limit.limit());
      CHECK(limit.limit() <= 4);
    }
  }
  CHECK(lowest == 3);
  // 5 retries while the interval doubles from 32 to 256, then one in 256.
  CHECK(refused <= 5 + 4000 / 256);
}

// Several flows admitted before the first rejection are rejected together, and
// each of them would shrink the limit.
TEST_CASE("effective_limit: simultaneous rejections shrink the limit once") {
  EffectiveLimit limit(4);
  Clock clock;
  for (int i = 0; i < 10; ++i) {
    limit.OnComplete(milliseconds(60), limit.limit(), clock.Next());
  }
  REQUIRE(limit.limit() == 4);
  const TimePoint now = clock.Next();
  limit.OnRejected(now);
  limit.OnRejected(now + milliseconds(1));
  limit.OnRejected(now + milliseconds(2));
  CHECK(limit.limit() == 3);
}

// Health endpoints lag behind: a slow upstream shows first in its work times.
TEST_CASE(
    "effective_limit: slow work shrinks the limit, varying work does not") {
  EffectiveLimit limit(4);
  Clock clock;
  std::mt19937_64 random(1);
  std::exponential_distribution<double> exponential(1);
  const auto complete = [&](double mean_ms, int n) {
    for (int i = 0; i < n; ++i) {
      // One of 20 requests takes 50 times longer, as uploads do.
      const double factor = random() % 20 == 0 ? 50 : 1;
      limit.OnComplete(std::chrono::microseconds(static_cast<int64_t>(
                           exponential(random) * mean_ms * factor * 1000)),
                       limit.limit(), clock.Next());
    }
  };
  complete(60, 5000);
  CHECK(limit.limit() == 4);
  complete(60 * 6, 100);
  CHECK(limit.limit() < 4);
}

}  // namespace
}  // namespace kumquatvalve::connection
