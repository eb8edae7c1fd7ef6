#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <cstdint>
#include <queue>
#include <random>
#include <vector>

#include "kumquatvalve/connection/placement.h"
#include "kumquatvalve/connection/service_time_estimate.h"

namespace kumquatvalve::connection {
namespace {

using std::chrono::microseconds;

// Callers of many entry instances, each of which sees the upstreams only
// through the reports that follow its own flows and one a second: work in
// progress may have ended long ago, and measured service times are means of few
// requests.
class Fleet {
 public:
  struct Shape {
    size_t entries;
    size_t upstreams;
    size_t zones;
    double flows_per_s;
    double mean_work_ms;
  };

  explicit Fleet(const Shape& shape, uint64_t seed)
      : shape_(shape),
        random_(seed),
        truth_(shape.upstreams),
        views_(shape.entries,
               std::vector<PlacementCandidate>(shape.upstreams)) {
    for (size_t i = 0; i < shape.entries; ++i) {
      for (size_t k = 0; k < shape.upstreams; ++k) {
        views_[i][k].slots = kSlots;
        views_[i][k].same_zone = i % shape.zones == k % shape.zones;
      }
    }
  }

  void Run(double seconds, const PlacementSettings& settings) {
    std::exponential_distribution<double> gap(shape_.flows_per_s / 1000);
    double next_hello_ms = 0;
    double now_ms = 0;
    while (now_ms < seconds * 1000) {
      now_ms += gap(random_);
      if (now_ms >= next_hello_ms) {
        next_hello_ms += kHelloIntervalMs;
        ReportAll(now_ms);
      }
      const size_t entry = random_() % shape_.entries;
      const auto placement = ChooseUpstream(views_[entry], settings, random_());
      Serve(*placement.chosen, now_ms);
      Report(entry, *placement.chosen, now_ms);
    }
  }

  double BusiestOverMean() const {
    size_t total = 0;
    size_t most = 0;
    for (const Upstream& it : truth_) {
      total += it.served;
      most = std::max(most, it.served);
    }
    return static_cast<double>(most * truth_.size()) /
           static_cast<double>(total);
  }
  size_t Unused() const {
    return static_cast<size_t>(
        std::count_if(truth_.begin(), truth_.end(),
                      [](const Upstream& it) { return it.served == 0; }));
  }

 private:
  static constexpr int kSlots = 2;
  static constexpr double kHelloIntervalMs = 1000;

  struct Upstream {
    size_t served = 0;
    ServiceTimeEstimate service_time;
    std::priority_queue<double, std::vector<double>, std::greater<>> ends_ms;
  };

  void Serve(size_t i, double now_ms) {
    // One of 33 requests takes seven times as long.
    std::lognormal_distribution<double> spread(0, 0.5);
    const double work_ms =
        shape_.mean_work_ms * spread(random_) * (random_() % 33 == 0 ? 7 : 1);
    Upstream& upstream = truth_[i];
    ++upstream.served;
    upstream.ends_ms.push(now_ms + work_ms);
    upstream.service_time.Add(
        std::chrono::duration<double, std::milli>(work_ms), At(now_ms));
  }

  void Report(size_t entry, size_t i, double now_ms) {
    Upstream& upstream = truth_[i];
    while (!upstream.ends_ms.empty() && upstream.ends_ms.top() <= now_ms) {
      upstream.ends_ms.pop();
    }
    PlacementCandidate& view = views_[entry][i];
    view.in_progress = static_cast<double>(upstream.ends_ms.size());
    view.service_time = upstream.service_time.Value(At(now_ms));
  }

  static TimePoint At(double now_ms) {
    return TimePoint(std::chrono::hours(1)) +
           microseconds(std::llround(now_ms * 1000));
  }

  void ReportAll(double now_ms) {
    for (size_t i = 0; i < shape_.entries; ++i) {
      for (size_t k = 0; k < shape_.upstreams; ++k) {
        Report(i, k, now_ms);
      }
    }
  }

  Shape shape_;
  std::mt19937_64 random_;
  std::vector<Upstream> truth_;
  std::vector<std::vector<PlacementCandidate>> views_;
};

// All entry instances preferred the upstreams whose few last requests happened
// to be short: with 91 instances before 163 upstreams the busiest one got 2.9
// times the mean, and a quarter of the upstreams of a bulk service got nothing.
TEST_CASE("placement_spread: a large fleet spreads short requests evenly") {
  for (const uint64_t seed : {1, 2, 3}) {
    Fleet fleet({.entries = 91,
                 .upstreams = 163,
                 .zones = 6,
                 .flows_per_s = 2475,
                 .mean_work_ms = 28},
                seed);
    fleet.Run(12, {.zone_cost = microseconds(12000)});
    CHECK(fleet.BusiestOverMean() < 1.5);
    CHECK(fleet.Unused() == 0);
  }
}

TEST_CASE(
    "placement_spread: a large fleet uses all upstreams of a bulk service") {
  for (const uint64_t seed : {1, 2, 3}) {
    Fleet fleet({.entries = 91,
                 .upstreams = 41,
                 .zones = 6,
                 .flows_per_s = 165,
                 .mean_work_ms = 4.2},
                seed);
    fleet.Run(30, {.zone_cost = microseconds(150000)});
    CHECK(fleet.Unused() == 0);
    CHECK(fleet.BusiestOverMean() < 1.5);
  }
}

TEST_CASE("placement_spread: a small fleet spreads short requests evenly") {
  Fleet fleet({.entries = 4,
               .upstreams = 7,
               .zones = 4,
               .flows_per_s = 330,
               .mean_work_ms = 28},
              1);
  fleet.Run(30, {.zone_cost = microseconds(12000)});
  CHECK(fleet.Unused() == 0);
}

}  // namespace
}  // namespace kumquatvalve::connection
