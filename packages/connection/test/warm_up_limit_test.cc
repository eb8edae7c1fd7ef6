#include "kumquatvalve/connection/warm_up_limit.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "property.h"

namespace kumquatvalve::connection {
namespace {

using std::chrono::milliseconds;

constexpr uint64_t kStart = 1000;
constexpr double kSlack = 5;
constexpr milliseconds kCold{10000};
// Not limited by the number of callers.
constexpr int kManyPackets = 100;

// A sidecar whose upstream is cold and gets every first packet that the limit
// allows.
struct Fixture {
  explicit Fixture(double slack = kSlack) : slack(slack), limit(slack) {
    limit.OnStart(kStart, now);
  }

  void Restart() {
    limit = WarmUpLimit(slack);
    limit.OnStart(kStart, now);
  }
  void Heartbeat(milliseconds left) { limit.OnHeartbeat(kStart, left, now); }
  int Offer(int packets) {
    limit.Advance(now);
    int admitted = 0;
    while (admitted < packets && limit.Allows()) {
      limit.OnFirstPacket();
      ++admitted;
    }
    return admitted;
  }
  int OfferFor(milliseconds time) {
    int admitted = 0;
    for (const TimePoint end = now + time; now < end;) {
      now += milliseconds(10);
      admitted += Offer(kManyPackets);
    }
    return admitted;
  }

  double slack;
  WarmUpLimit limit;
  TimePoint now{std::chrono::hours(1)};
};

TEST_CASE(
    "warm_up_limit: a cold upstream gets its rate and no burst at first") {
  Fixture f;
  f.Heartbeat(kCold);
  f.limit.OnRate(200, f.now);
  CHECK(f.Offer(kManyPackets) == 0);
  const int first_second = f.OfferFor(milliseconds(1000));
  CHECK(first_second >= 19);
  CHECK(first_second <= 20);
  f.now += milliseconds(3000);
  CHECK(f.Offer(kManyPackets) == 5);
}

TEST_CASE("warm_up_limit: there is no limit once the upstream is warm") {
  Fixture f;
  f.limit.OnRate(200, f.now);
  f.Heartbeat(milliseconds(100));
  CHECK(f.limit.Allowance(0) == 0);
  f.now += milliseconds(100);
  CHECK(f.Offer(kManyPackets) == kManyPackets);
  CHECK_FALSE(f.limit.Allowance(0));
}

// Guards against a burst of the full share between the identity of a new
// upstream and its first heartbeat, when the one before was warm.
TEST_CASE("warm_up_limit: an upstream counts as cold before its heartbeat") {
  Fixture f;
  f.limit.OnRate(200, f.now);
  f.Heartbeat(milliseconds(0));
  REQUIRE(f.Offer(kManyPackets) == kManyPackets);
  f.limit.OnStart(kStart + 1, f.now);
  CHECK(f.Offer(kManyPackets) == 0);
  // A heartbeat of the earlier start that was read late.
  f.Heartbeat(milliseconds(0));
  CHECK(f.Offer(kManyPackets) == 0);
  f.limit.OnHeartbeat(kStart + 1, milliseconds(0), f.now);
  CHECK(f.Offer(kManyPackets) == kManyPackets);
}

TEST_CASE("warm_up_limit: without a rate the slack is the limit of a second") {
  Fixture f;
  f.Heartbeat(kCold);
  f.OfferFor(milliseconds(1000));
  const int second = f.OfferFor(milliseconds(1000));
  CHECK(second >= 4);
  CHECK(second <= 5);
  f.limit.OnRate(0, f.now);
  CHECK(f.Offer(kManyPackets) == kManyPackets);
}

TEST_CASE("warm_up_limit: without the setting nothing is limited") {
  Fixture f;
  f.limit = WarmUpLimit();
  f.limit.OnStart(kStart, f.now);
  f.Heartbeat(kCold);
  f.limit.OnRate(1, f.now);
  CHECK(f.Offer(kManyPackets) == kManyPackets);
  CHECK_FALSE(f.limit.Allowance(0));
  CHECK(f.limit.Restrict(OfferAction::kDeliver, false, milliseconds(0), 0) ==
        OfferAction::kDeliver);
}

// An entry instance that is cut off from the store and has no rate yet lifted
// the limit that all others had sent.
TEST_CASE("warm_up_limit: the stricter of two recent rates is in force") {
  Fixture f;
  f.Heartbeat(kCold);
  f.limit.OnRate(100, f.now);
  for (const uint16_t looser : {0, 200}) {
    f.limit.OnRate(looser, f.now);
    CHECK(f.limit.per_second_tenths() == 100);
  }
  f.limit.OnRate(50, f.now);
  CHECK(f.limit.per_second_tenths() == 50);
  f.now += WarmUpLimit::kRateHold;
  f.limit.OnRate(200, f.now);
  CHECK(f.limit.per_second_tenths() == 200);
}

TEST_CASE("warm_up_limit: a packet waits only for a token that comes in time") {
  Fixture f;
  f.Heartbeat(kCold);
  f.limit.OnRate(100, f.now);
  const auto decide = [&f](bool final_offer, int wait_ms, size_t waiting) {
    return f.limit.Restrict(OfferAction::kDeliver, final_offer,
                            milliseconds(wait_ms), waiting);
  };
  CHECK(decide(false, 500, 0) == OfferAction::kReturn);
  CHECK(decide(true, 0, 0) == OfferAction::kReturn);
  CHECK(decide(true, 99, 0) == OfferAction::kReturn);
  CHECK(decide(true, 100, 0) == OfferAction::kWait);
  CHECK(decide(true, 100, 1) == OfferAction::kReturn);
  f.now += milliseconds(200);
  f.limit.Advance(f.now);
  CHECK(decide(false, 0, 0) == OfferAction::kDeliver);
  CHECK(f.limit.Allowance(0) == 2);
  CHECK(f.limit.Allowance(1) == 1);
  CHECK(f.limit.Allowance(3) == 0);
}

// Any series of bursts, restarts, pauses, suspensions, announcements and rates.
TEST_CASE("warm_up_limit: property: no window of a second exceeds the limit") {
  struct Admission {
    milliseconds at;
    double rate;
  };
  CHECK(Holds([] {
    Fixture f(*rc::gen::element(0.0, 1.0, 5.0));
    f.Heartbeat(kCold);
    uint16_t tenths = *rc::gen::element<uint16_t>(3, 100, 400);
    // Includes the time of suspensions, in which `f.now` stands still.
    milliseconds wall{0};
    std::vector<Admission> admissions;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
    for (const int step : steps) {
      const milliseconds time{step / 10};
      f.now += time;
      wall += time;
      switch (step % 10) {
        case 0:
          f.Restart();
          break;
        case 1:  // A pause.
          f.now += 40 * time;
          wall += 40 * time;
          break;
        case 2:  // A suspension.
          wall += 40 * time;
          break;
        case 3:
          f.Heartbeat(kCold);
          break;
        case 4:  // The upstream is warm and gets a burst, then cold again.
          f.Heartbeat(milliseconds(0));
          f.Offer(kManyPackets);
          f.Heartbeat(kCold);
          break;
        case 5:
          tenths = step / 10 % 2 == 0 ? 100 : 400;
          f.limit.OnRate(tenths, f.now);
          break;
        case 6:
          f.limit.OnRate(tenths, f.now);
          break;
        default:
          f.Heartbeat(kCold);
          for (int i = f.Offer(step / 50); i > 0; --i) {
            admissions.push_back({wall, tenths / 10.0});
          }
      }
    }
    for (size_t i = 0; i < admissions.size(); ++i) {
      double rate = 0;
      size_t k = i;
      for (; k < admissions.size() &&
             admissions[k].at <= admissions[i].at + milliseconds(1000);
           ++k) {
        rate = std::max(rate, admissions[k].rate);
      }
      RC_ASSERT(static_cast<double>(k - i) <=
                rate * WarmUpLimit::kExcess + f.slack);
    }
  }));
}

}  // namespace
}  // namespace kumquatvalve::connection
