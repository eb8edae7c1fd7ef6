#include "kumquatvalve/connection/probe_window.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace kumquatvalve::connection {
namespace {

using std::chrono::milliseconds;

request::Endpoint Endpoint(const std::string& text) {
  request::Failure failure;
  return *request::ParseEndpoint(text, &failure);
}

request::FlowKey Flow(int i) {
  return {Endpoint("100.64.0.1:" + std::to_string(1024 + i)),
          Endpoint("198.18.0.1:443"), 6};
}

request::Endpoint Sidecar(int i) {
  return Endpoint("10.1.0." + std::to_string(1 + i) + ":8172");
}

// The link of a small entry instance: 10 Mbit/s are 3 probes of 400 bytes a
// millisecond; more than 300 waiting ones are dropped.
class Link {
 public:
  void Send(std::pair<int, int> probe) {
    if (waiting_.size() < 300) {
      waiting_.push_back(probe);
    }
  }

  // The probes that leave within one millisecond.
  std::deque<std::pair<int, int>> Transmit() {
    std::deque<std::pair<int, int>> out;
    while (!waiting_.empty() && out.size() < 3) {
      out.push_back(waiting_.front());
      waiting_.pop_front();
    }
    return out;
  }

 private:
  std::deque<std::pair<int, int>> waiting_;
};

struct Outcome {
  size_t probes = 0;
  milliseconds time{0};
};

// Probes 23 upstreams for each of 150 lost flows until all have replied.
// Without the window, as in the former rule, all missing replies of all flows
// are requested again every 150 ms.
Outcome ProbeLostFlows(bool use_window) {
  constexpr int kFlows = 150;
  constexpr int kUpstreams = 23;
  const TimePoint start{std::chrono::hours(1)};
  std::set<std::pair<int, int>> missing;
  for (int i = 0; i < kFlows * kUpstreams; ++i) {
    missing.insert({i / kUpstreams, i % kUpstreams});
  }
  ProbeWindow window;
  Link link;
  Outcome outcome;
  std::map<std::pair<int, int>, TimePoint> sent_at;
  for (; !missing.empty() && outcome.time < milliseconds(10000);
       outcome.time += milliseconds(1)) {
    const TimePoint now = start + outcome.time;
    size_t n = use_window ? window.Available(now) : missing.size();
    for (auto it = missing.begin(); it != missing.end() && n > 0; ++it) {
      const auto [sent, is_first] = sent_at.try_emplace(*it, now);
      if (is_first || now - sent->second >= ProbeWindow::kReplyTimeout) {
        sent->second = now;
        window.OnSent(Flow(it->first), Sidecar(it->second), now);
        link.Send(*it);
        ++outcome.probes;
        --n;
      }
    }
    for (const auto& it : link.Transmit()) {
      missing.erase(it);
      window.OnReply(Flow(it.first), Sidecar(it.second));
    }
  }
  return outcome;
}

// Guards against probes that fill the link of a small instance: after a power
// failure callers waited for 14 s until their flows were reset.
TEST_CASE("probe_window: lost flows take few repeated probes on a slow link") {
  const Outcome without = ProbeLostFlows(/*use_window=*/false);
  const Outcome with = ProbeLostFlows(/*use_window=*/true);
  INFO("probes without the window "
       << without.probes << ", with it " << with.probes << "; time "
       << without.time.count() << " ms and " << with.time.count() << " ms");
  constexpr size_t kNeeded = size_t{150} * 23;
  CHECK(with.probes < kNeeded * 11 / 10);
  CHECK(without.probes > 3 * kNeeded);
  CHECK(with.time <= without.time);
}

// Guards against a window that stays closed after the replies of a dead
// upstream are missing.
TEST_CASE("probe_window: probes without a reply leave the window") {
  TimePoint now{std::chrono::hours(1)};
  ProbeWindow window;
  for (size_t i = 0; i < ProbeWindow::kInitialSize; ++i) {
    window.OnSent(Flow(static_cast<int>(i)), Sidecar(1), now);
  }
  CHECK(window.Available(now) == 0);
  now += ProbeWindow::kReplyTimeout;
  CHECK(window.Available(now) == ProbeWindow::kInitialSize / 2);
  for (int round = 0; round < 20; ++round) {
    window.OnSent(Flow(0), Sidecar(2), now);
    now += ProbeWindow::kReplyTimeout;
    CHECK(window.Available(now) >= ProbeWindow::kMinSize);
  }
  // Late replies do not count.
  window.OnReply(Flow(0), Sidecar(2));
  CHECK(window.in_flight() == 0);
}

TEST_CASE("probe_window: replies open the window up to its maximum") {
  const TimePoint now{std::chrono::hours(1)};
  ProbeWindow window;
  for (int i = 0; i < 10000; ++i) {
    window.OnSent(Flow(i), Sidecar(1), now);
    window.OnReply(Flow(i), Sidecar(1));
  }
  CHECK(window.size() == ProbeWindow::kMaxSize);
}

}  // namespace
}  // namespace kumquatvalve::connection
