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
      search.Ask(Sidecar(i), now);
    }
  }

  Step Next() const {
    return search.Next(
        now, [this](const request::Endpoint& it) { return gone.contains(it); });
  }

  TimePoint now{std::chrono::hours(1)};
  std::set<request::Endpoint> gone;
  FlowSearch search{now};
};

TEST_CASE("flow_search: a flow is denied when each sidecar denied it") {
  Fixture f(3);
  f.search.OnDenied(Sidecar(1));
  f.search.OnDenied(Sidecar(2));
  CHECK(f.Next() == Step::kWait);
  f.search.OnDenied(Sidecar(3));
  CHECK(f.Next() == Step::kDenied);
}

TEST_CASE("flow_search: a sidecar that was not asked denies nothing") {
  Fixture f(2);
  f.search.OnDenied(Sidecar(1));
  f.search.OnDenied(Sidecar(9));
  CHECK(f.Next() == Step::kWait);
}

TEST_CASE("flow_search: an instance that lost most sidecars denies nothing") {
  Fixture f(3);
  f.gone = {Sidecar(2), Sidecar(3)};
  f.search.OnDenied(Sidecar(1));
  CHECK(f.Next() == Step::kWait);
  f.search.OnDenied(Sidecar(2));
  CHECK(f.Next() == Step::kDenied);
}

TEST_CASE("flow_search: upstreams are asked when no sidecar knows the flow") {
  Fixture f(3);
  f.search.OnUnsure(Sidecar(1));
  f.search.OnDenied(Sidecar(2));
  CHECK(f.Next() == Step::kWait);
  f.search.OnDenied(Sidecar(3));
  CHECK(f.Next() == Step::kProbe);
  CHECK(f.search.TakeUnsure() == std::vector<request::Endpoint>{Sidecar(1)});
  CHECK(f.search.probed());
  CHECK(f.Next() == Step::kWait);
  f.search.OnDenied(Sidecar(1));
  CHECK(f.Next() == Step::kDenied);
}

TEST_CASE("flow_search: a silent sidecar holds up probes for a short time") {
  Fixture f(2);
  f.search.OnUnsure(Sidecar(1));
  CHECK(f.Next() == Step::kWait);
  f.now += FlowSearch::kAnswerTime;
  CHECK(f.Next() == Step::kProbe);
}

TEST_CASE("flow_search: the number of packets that are kept is bounded") {
  Fixture f(1);
  const std::vector<std::byte> packet(36);
  for (int i = 0; i < 20; ++i) {
    f.search.Keep(packet, 8);
  }
  CHECK(f.search.packets().size() == 8);
}

}  // namespace
}  // namespace kumquatvalve::connection
