#include "kumquatvalve/connection/silent_detector.h"

namespace kumquatvalve::connection {

SilentDetector::Action SilentDetector::NextAction(const Flow& flow,
                                                  TimePoint now) const {
  if (flow.state == FlowState::kOpen) {
    return now - flow.moved_at >= settings_.idle ? Action::kProbe
                                                 : Action::kWait;
  }
  if (now - flow.moved_at < settings_.interval) {
    return Action::kWait;
  }
  if (flow.probes < settings_.rounds) {
    return Action::kProbe;
  }
  // If no new flow succeeded since the first probe, the whole network may be
  // cut off, and nothing shows that this flow in particular lost its state.
  const auto probing = settings_.interval * settings_.rounds;
  return last_new_flow_ != TimePoint() && now - last_new_flow_ < probing
             ? Action::kEnd
             : Action::kProbe;
}

bool SilentDetector::OnReply(Flow* flow, bool from_caller) {
  if (from_caller) {
    flow->caller_answered = true;
  } else {
    flow->upstream_answered = true;
  }
  return flow->caller_answered && flow->upstream_answered;
}

}  // namespace kumquatvalve::connection
