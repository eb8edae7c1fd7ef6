#include "kumquatvalve/connection/flow_search.h"

#include <algorithm>

namespace kumquatvalve::connection {

void FlowSearch::Keep(std::span<const std::byte> packet, size_t most) {
  if (packets_.size() < most) {
    packets_.emplace_back(packet.begin(), packet.end());
  }
}

void FlowSearch::Ask(const request::Endpoint& sidecar, TimePoint now) {
  states_.insert_or_assign(sidecar, State::kAsked);
  asked_at_ = now;
}

void FlowSearch::OnDenied(const request::Endpoint& sidecar) {
  if (const auto it = states_.find(sidecar); it != states_.end()) {
    it->second = State::kDenied;
  }
}

void FlowSearch::OnUnsure(const request::Endpoint& sidecar) {
  const auto it = states_.find(sidecar);
  if (it != states_.end() && it->second == State::kAsked) {
    it->second = State::kUnsure;
  }
}

FlowSearch::Step FlowSearch::Next(TimePoint now, const IsGone& gone) const {
  size_t awaited = 0;
  size_t unsure = 0;
  size_t denied = 0;
  for (const auto& [sidecar, state] : states_) {
    const bool pending = state == State::kAsked || state == State::kProbed;
    awaited += pending && !gone(sidecar) ? 1 : 0;
    unsure += state == State::kUnsure ? 1 : 0;
    denied += state == State::kDenied ? 1 : 0;
  }
  if (unsure > 0) {
    const bool late = now - asked_at_ >= kAnswerTime;
    return awaited == 0 || late ? Step::kProbe : Step::kWait;
  }
  // An instance that is cut off from most sidecars knows nothing.
  const bool most_denied = denied > 0 && 2 * denied >= states_.size();
  return awaited == 0 && most_denied ? Step::kDenied : Step::kWait;
}

std::vector<request::Endpoint> FlowSearch::TakeUnsure() {
  std::vector<request::Endpoint> unsure;
  for (auto& [sidecar, state] : states_) {
    if (state == State::kUnsure) {
      state = State::kProbed;
      unsure.push_back(sidecar);
    }
  }
  probed_ = probed_ || !unsure.empty();
  return unsure;
}

bool FlowSearch::Denied(const request::Endpoint& sidecar) const {
  const auto it = states_.find(sidecar);
  return it != states_.end() && it->second == State::kDenied;
}

bool FlowSearch::Silent(const request::Endpoint& sidecar) const {
  const auto it = states_.find(sidecar);
  return it != states_.end() &&
         (it->second == State::kAsked || it->second == State::kProbed);
}

std::optional<request::Endpoint> FlowSearch::FirstSilent() const {
  for (const auto& [sidecar, state] : states_) {
    if (Silent(sidecar)) {
      return sidecar;
    }
  }
  return std::nullopt;
}

}  // namespace kumquatvalve::connection
