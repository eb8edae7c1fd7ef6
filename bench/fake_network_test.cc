#include "fake_network.h"

#include <rapidcheck.h>

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

namespace kumquatvalve::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kFlows = 60;
constexpr uint16_t kPort = 443;

// A network with faults of rapidcheck's choice during the life of its flows.
// @param losses also pauses, which can make two owners of a row.
FakeNetwork::Results RunSchedule(bool losses) {
  NetworkOptions options;
  options.seed = *rc::gen::arbitrary<uint64_t>();
  options.deployment = *FindDeployment(*rc::gen::element("kalahari", "tarima"));
  options.flows = kFlows;
  options.entries = 4;
  options.arrivals = seconds(12);
  options.think = seconds(4);
  options.loss = 0.01;
  if (losses) {
    options.hold = 0.1;
    options.pass = 0.3;
    options.refuse = 0.1;
    options.port_reuse = 0.2;
    // Refusals need 70 s after the start.
    options.arrivals = seconds(85);
  }
  FakeNetwork network(options);
  const size_t service = network.AddService(4, kPort, 7);
  network.StartFlows();
  const TimePoint start = network.queue().now();
  const int faults = *rc::gen::inRange(1, 8);
  for (int i = 0; i < faults; ++i) {
    const auto at = milliseconds(
        *rc::gen::inRange(losses ? 60000 : 0, losses ? 90000 : 16000));
    const int kind = *rc::gen::inRange(0, losses ? 6 : 5);
    const auto pick = *rc::gen::inRange<size_t>(0, 100);
    const auto time = milliseconds(*rc::gen::inRange(50, 5000));
    network.queue().ScheduleAfter(at, [&network, service, kind, pick, time] {
      const auto sidecars = network.SidecarsOf(service);
      const size_t one = sidecars[pick % sidecars.size()];
      switch (kind) {
        case 0:
          network.AddUpstream(service);
          network.PublishTable(service);
          break;
        case 1:
          network.SetWeight(one, 50);
          network.PublishTable(service);
          break;
        case 2:
          if (one != 0) {
            network.Drain(one);
            network.PublishTable(service);
          }
          break;
        case 3:
          network.KillSidecar(one);
          network.queue().ScheduleAfter(
              time, [&network, one] { network.StartSidecar(one); });
          break;
        case 4:
          network.KillEntry(pick % (network.entries() - 1));
          network.queue().ScheduleAfter(time, [&network, pick] {
            network.StartEntry(pick % (network.entries() - 1));
          });
          break;
        default:
          network.PauseSidecar(one, time);
          break;
      }
    });
  }
  network.queue().RunUntil(start + seconds(losses ? 260 : 190));
  return network.Finish();
}

// An order of faults that the measures do not have could break a flow.
TEST_CASE(
    "fake_network: planned changes and restarts in any order break no "
    "flow") {
  CHECK(rc::check("no flow is broken", [] {
    const auto it = RunSchedule(false);
    RC_ASSERT(it.broken == 0U);
    RC_ASSERT(it.finished == static_cast<uint64_t>(kFlows));
    RC_ASSERT(it.payload_at_two == 0U);
    RC_ASSERT(it.wrong_service == 0U);
    RC_ASSERT(it.wrong_response == 0U);
  }));
}

// Pauses and passes can make two owners of a row at once.
TEST_CASE(
    "fake_network: no order of faults runs a request twice or makes a "
    "refusal untrue") {
  CHECK(rc::check("at most once", [] {
    const auto it = RunSchedule(true);
    RC_ASSERT(it.payload_at_two == 0U);
    RC_ASSERT(it.untrue_refusals == 0U);
    RC_ASSERT(it.wrong_service == 0U);
    RC_ASSERT(it.wrong_response == 0U);
  }));
}

}  // namespace
}  // namespace kumquatvalve::bench
