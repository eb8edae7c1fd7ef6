#include "kumquatvalve/connection/flow_search.h"

#include <algorithm>

namespace kumquatvalve::connection {

void FlowSearch::KeepPacket(std::span<const std::byte> packet,
                            size_t max_packets) {
  if (packets_.size() < max_packets) {
    packets_.emplace_back(packet.begin(), packet.end());
  }
}

void FlowSearch::MarkQueried(const request::Endpoint& sidecar, TimePoint now) {
  states_.insert_or_assign(sidecar, State::kQueried);
  last_query_at_ = now;
}

void FlowSearch::OnNotHeld(const request::Endpoint& sidecar) {
  if (const auto it = states_.find(sidecar); it != states_.end()) {
    it->second = State::kNotHeld;
  }
}

void FlowSearch::OnInconclusive(const request::Endpoint& sidecar) {
  const auto it = states_.find(sidecar);
  if (it != states_.end() && it->second == State::kQueried) {
    it->second = State::kInconclusive;
  }
}

FlowSearch::Step FlowSearch::NextStep(TimePoint now,
                                      const IsPresumedDead& is_dead) const {
  size_t awaited = 0;
  size_t inconclusive = 0;
  size_t not_held = 0;
  for (const auto& [sidecar, state] : states_) {
    const bool pending = state == State::kQueried || state == State::kProbed;
    awaited += pending && !is_dead(sidecar) ? 1 : 0;
    inconclusive += state == State::kInconclusive ? 1 : 0;
    not_held += state == State::kNotHeld ? 1 : 0;
  }
  if (inconclusive > 0) {
    const bool timed_out = now - last_query_at_ >= kReplyTimeout;
    return awaited == 0 || timed_out ? Step::kProbe : Step::kWait;
  }
  // An instance that is cut off from most sidecars cannot conclude anything.
  const bool enough_replies = not_held > 0 && 2 * not_held >= states_.size();
  return awaited == 0 && enough_replies ? Step::kNotHeld : Step::kWait;
}

std::vector<request::Endpoint> FlowSearch::TakeSidecarsToProbe() {
  std::vector<request::Endpoint> sidecars;
  for (auto& [sidecar, state] : states_) {
    if (state == State::kInconclusive) {
      state = State::kProbed;
      sidecars.push_back(sidecar);
    }
  }
  probed_ = probed_ || !sidecars.empty();
  return sidecars;
}

bool FlowSearch::RepliedNotHeld(const request::Endpoint& sidecar) const {
  const auto it = states_.find(sidecar);
  return it != states_.end() && it->second == State::kNotHeld;
}

bool FlowSearch::AwaitsReply(const request::Endpoint& sidecar) const {
  const auto it = states_.find(sidecar);
  return it != states_.end() &&
         (it->second == State::kQueried || it->second == State::kProbed);
}

std::optional<request::Endpoint> FlowSearch::FirstWithoutReply() const {
  for (const auto& [sidecar, state] : states_) {
    if (AwaitsReply(sidecar)) {
      return sidecar;
    }
  }
  return std::nullopt;
}

}  // namespace kumquatvalve::connection
