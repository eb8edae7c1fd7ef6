#include "kumquatvalve/connection/silent_detector.h"

#include <catch2/catch.hpp>

namespace kumquatvalve::connection {
namespace {

using Action = SilentDetector::Action;
constexpr TimePoint kStart{std::chrono::seconds(100)};

Flow ProbedFlow(const SilentSettings& settings) {
  Flow flow;
  flow.state = FlowState::kProbed;
  flow.probes = settings.rounds;
  flow.moved_at = kStart;
  return flow;
}

// While the whole network is cut off, ending flows would break all of them.
TEST_CASE("silent_detector: a flow is ended only while new flows succeed") {
  const SilentSettings settings;
  SilentDetector detector(settings);
  const Flow flow = ProbedFlow(settings);
  const TimePoint due = kStart + settings.interval;
  CHECK(detector.Check(flow, due) == Action::kProbe);
  detector.OnNewFlow(kStart);
  CHECK(detector.Check(flow, due) == Action::kEnd);
  CHECK(detector.Check(flow, due - std::chrono::milliseconds(1)) ==
        Action::kWait);
}

// An idle flow that answers is alive, however long it stays idle.
TEST_CASE("silent_detector: both sides have to answer") {
  Flow flow = ProbedFlow({});
  CHECK_FALSE(SilentDetector::OnAnswer(&flow, true));
  CHECK_FALSE(SilentDetector::OnAnswer(&flow, true));
  CHECK(SilentDetector::OnAnswer(&flow, false));
}

}  // namespace
}  // namespace kumquatvalve::connection
