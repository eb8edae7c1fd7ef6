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

// While the whole network is cut off, ending silent flows would break all
// flows.
TEST_CASE("silent_detector: a flow is ended only while new flows succeed") {
  const SilentSettings settings;
  SilentDetector detector(settings);
  const Flow flow = ProbedFlow(settings);
  const TimePoint due = kStart + settings.interval;
  CHECK(detector.NextAction(flow, due) == Action::kProbe);
  detector.OnNewFlow(kStart);
  CHECK(detector.NextAction(flow, due) == Action::kEnd);
  CHECK(detector.NextAction(flow, due - std::chrono::milliseconds(1)) ==
        Action::kWait);
}

// An idle flow whose sides reply to probes is alive, however long it is idle.
TEST_CASE("silent_detector: both sides have to reply to a probe") {
  Flow flow = ProbedFlow({});
  CHECK_FALSE(SilentDetector::OnReply(&flow, true));
  CHECK_FALSE(SilentDetector::OnReply(&flow, true));
  CHECK(SilentDetector::OnReply(&flow, false));
}

}  // namespace
}  // namespace kumquatvalve::connection
