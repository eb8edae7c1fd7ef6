#include "kumquatvalve/connection/flow_search.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

namespace kumquatvalve::connection {
namespace {

using std::chrono::milliseconds;
using Step = FlowSearch::Step;

request::Endpoint Sidecar(int i) {
  request::Failure failure;
  return *request::ParseEndpoint("10.0.0." + std::to_string(i) + ":8172",
                                 &failure);
}

struct Fixture {
  explicit Fixture(int sidecars) {
    for (int i = 1; i <= sidecars; ++i) {
      search.MarkQueried(Sidecar(i), now);
    }
  }

  Step NextStep() const {
    return search.NextStep(
        now, [this](const request::Endpoint& it) { return dead.contains(it); });
  }

  std::vector<request::Endpoint> TakeSidecarsToProbe() {
    return search.TakeSidecarsToProbe(
        now, [](std::span<const request::Endpoint> inconclusive, size_t) {
          return std::vector(inconclusive.begin(), inconclusive.end());
        });
  }

  bool HasUncertainReply() const {
    return search.HasUncertainReply(
        [this](const request::Endpoint& it) { return dead.contains(it); });
  }

  TimePoint now{std::chrono::hours(1)};
  std::set<request::Endpoint> dead;
  FlowSearch search{now};
};

TEST_CASE("flow_search: a flow is not held when each sidecar replied so") {
  Fixture f(3);
  f.search.OnNotHeld(Sidecar(1));
  f.search.OnNotHeld(Sidecar(2));
  CHECK(f.NextStep() == Step::kWait);
  f.search.OnNotHeld(Sidecar(3));
  CHECK(f.NextStep() == Step::kNotHeld);
}

// Guards against callers of lost flows that wait for a sidecar of another
// service, as one that is being restarted, until their own timeout.
TEST_CASE(
    "flow_search: the reply of a sidecar of another service is awaited for a "
    "short time only") {
  Fixture f(3);
  for (int i = 1; i <= 3; ++i) {
    f.search.OnNotHeld(Sidecar(i));
  }
  f.search.MarkQueried(Sidecar(4), f.now, FlowSearch::Probing::kForbidden);
  CHECK(f.NextStep() == Step::kWait);
  f.now += milliseconds(1400);
  // A repeated query does not extend the time.
  f.search.MarkQueried(Sidecar(4), f.now);
  CHECK(f.NextStep() == Step::kWait);
  f.now += milliseconds(100);
  CHECK(f.NextStep() == Step::kNotHeld);
}

// An inconclusive reply that must not lead to a probe was taken for "not held".
TEST_CASE("flow_search: a sidecar of another service may not know the flow") {
  Fixture f(1);
  f.search.OnNotHeld(Sidecar(1));
  CHECK_FALSE(f.HasUncertainReply());
  for (int i = 2; i <= 3; ++i) {
    f.search.MarkQueried(Sidecar(i), f.now, FlowSearch::Probing::kForbidden);
  }
  f.search.OnInconclusive(Sidecar(2));
  f.search.OnNotHeld(Sidecar(3));
  CHECK(f.NextStep() == Step::kNotHeld);
  CHECK(f.HasUncertainReply());
  // Its service turns out to be an earlier one of the address.
  f.search.AllowProbing(Sidecar(2));
  CHECK_FALSE(f.HasUncertainReply());
  CHECK(f.NextStep() == Step::kProbe);
  CHECK(f.TakeSidecarsToProbe() == std::vector{Sidecar(2)});
}

// Guards against lost flows that are not reset for a minute after a power
// failure in which upstreams started before their sidecars.
TEST_CASE(
    "flow_search: a sidecar of another service that missed only the first "
    "flows leaves no uncertainty") {
  Fixture f(1);
  f.search.OnNotHeld(Sidecar(1));
  f.search.MarkQueried(Sidecar(2), f.now, FlowSearch::Probing::kForbidden);
  CHECK(f.HasUncertainReply());
  f.search.OnInconclusive(Sidecar(2), FlowSearch::Missed::kFirstFlows);
  CHECK(f.NextStep() == Step::kNotHeld);
  CHECK_FALSE(f.HasUncertainReply());
  // An upstream of a service of the address may hold one of its first flows.
  f.search.AllowProbing(Sidecar(2));
  CHECK(f.NextStep() == Step::kProbe);
  CHECK(f.TakeSidecarsToProbe() == std::vector{Sidecar(2)});
}

TEST_CASE("flow_search: a missing reply of another service is uncertain") {
  Fixture f(2);
  f.search.OnNotHeld(Sidecar(1));
  f.search.OnNotHeld(Sidecar(2));
  f.search.MarkQueried(Sidecar(3), f.now, FlowSearch::Probing::kForbidden);
  f.now += milliseconds(1500);
  CHECK(f.NextStep() == Step::kNotHeld);
  CHECK(f.HasUncertainReply());
  // A dead machine holds no flow.
  f.dead = {Sidecar(3)};
  CHECK_FALSE(f.HasUncertainReply());
  f.dead.clear();
  f.search.OnNotHeld(Sidecar(3));
  CHECK_FALSE(f.HasUncertainReply());
}

TEST_CASE("flow_search: a reply of a sidecar without a query is ignored") {
  Fixture f(2);
  f.search.OnNotHeld(Sidecar(1));
  f.search.OnNotHeld(Sidecar(9));
  CHECK(f.NextStep() == Step::kWait);
}

TEST_CASE(
    "flow_search: nothing is concluded while most sidecars are presumed dead") {
  Fixture f(3);
  f.dead = {Sidecar(2), Sidecar(3)};
  f.search.OnNotHeld(Sidecar(1));
  CHECK(f.NextStep() == Step::kWait);
  f.search.OnNotHeld(Sidecar(2));
  CHECK(f.NextStep() == Step::kNotHeld);
}

TEST_CASE(
    "flow_search: upstreams with inconclusive sidecars are probed when no "
    "sidecar knows the flow") {
  Fixture f(3);
  f.search.OnInconclusive(Sidecar(1));
  f.search.OnNotHeld(Sidecar(2));
  CHECK(f.NextStep() == Step::kWait);
  f.search.OnNotHeld(Sidecar(3));
  CHECK(f.NextStep() == Step::kProbe);
  CHECK(f.TakeSidecarsToProbe() == std::vector<request::Endpoint>{Sidecar(1)});
  CHECK(f.search.WasProbed(Sidecar(1)));
  CHECK(f.NextStep() == Step::kWait);
  f.search.OnNotHeld(Sidecar(1));
  CHECK(f.NextStep() == Step::kNotHeld);
}

TEST_CASE("flow_search: a missing reply delays probes only until its timeout") {
  Fixture f(2);
  f.search.OnInconclusive(Sidecar(1));
  CHECK(f.NextStep() == Step::kWait);
  f.now += FlowSearch::kReplyTimeout;
  CHECK(f.NextStep() == Step::kProbe);
}

TEST_CASE("flow_search: the number of kept packets is bounded") {
  Fixture f(1);
  const std::vector<std::byte> packet(36);
  for (int i = 0; i < 20; ++i) {
    f.search.KeepPacket(packet, 8);
  }
  CHECK(f.search.packets().size() == 8);
}

// Guards against a kept packet that its holder never gets: with probes in
// batches, another sidecar than the probed ones may reply that it holds the
// flow.
TEST_CASE("flow_search: a probe to one sidecar is none to another") {
  Fixture f(2);
  f.search.OnInconclusive(Sidecar(1));
  f.search.OnInconclusive(Sidecar(2));
  const auto chosen = f.search.TakeSidecarsToProbe(
      f.now, [](std::span<const request::Endpoint> inconclusive, size_t) {
        return std::vector{inconclusive.front()};
      });
  CHECK(chosen == std::vector{Sidecar(1)});
  CHECK(f.search.WasProbed(Sidecar(1)));
  CHECK_FALSE(f.search.WasProbed(Sidecar(2)));
  // The next batch waits for the reply to the first one, for a while.
  CHECK(f.NextStep() == Step::kWait);
  CHECK(f.search.IsProbeInFlight(Sidecar(1), f.now));
  f.now += FlowSearch::kReplyTimeout;
  CHECK(f.NextStep() == Step::kProbe);
  CHECK_FALSE(f.search.IsProbeInFlight(Sidecar(1), f.now));
}

}  // namespace
}  // namespace kumquatvalve::connection
