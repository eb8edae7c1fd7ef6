#include "kumquatvalve/connection/flow_search.h"

#include <algorithm>

namespace kumquatvalve::connection {

void FlowSearch::KeepPacket(std::span<const std::byte> packet,
                            size_t max_packets) {
  if (packets_.size() < max_packets) {
    packets_.emplace_back(packet.begin(), packet.end());
  }
}

void FlowSearch::MarkQueried(const request::Endpoint& sidecar, TimePoint now,
                             Probing probing) {
  const auto [it, inserted] = queries_.try_emplace(
      sidecar, Query{State::kQueried, probing, now, Missed::kAny});
  it->second.state = State::kQueried;
  last_query_at_ = std::max(last_query_at_, now);
}

void FlowSearch::OnNotHeld(const request::Endpoint& sidecar) {
  if (const auto it = queries_.find(sidecar); it != queries_.end()) {
    it->second.state = State::kNotHeld;
  }
}

void FlowSearch::OnInconclusive(const request::Endpoint& sidecar,
                                Missed missed) {
  const auto it = queries_.find(sidecar);
  if (it != queries_.end() && it->second.state == State::kQueried) {
    it->second.state = it->second.probing == Probing::kAllowed
                           ? State::kInconclusive
                           : State::kUncertain;
    it->second.missed = missed;
  }
}

void FlowSearch::AllowProbing(const request::Endpoint& sidecar) {
  const auto it = queries_.find(sidecar);
  if (it == queries_.end() || it->second.probing == Probing::kAllowed) {
    return;
  }
  it->second.probing = Probing::kAllowed;
  if (it->second.state == State::kUncertain) {
    it->second.state = State::kInconclusive;
  }
}

bool FlowSearch::HasUncertainReply(const IsPresumedDead& is_dead) const {
  return std::any_of(queries_.begin(), queries_.end(), [&](const auto& it) {
    const auto& [sidecar, query] = it;
    return query.probing == Probing::kForbidden &&
           ((query.state == State::kUncertain &&
             query.missed == Missed::kAny) ||
            (query.state == State::kQueried && !is_dead(sidecar)));
  });
}

bool FlowSearch::IsAwaited(const Query& query, TimePoint now) {
  switch (query.state) {
    case State::kQueried:
      return query.probing == Probing::kAllowed ||
             now - query.first_sent_at < kOtherServiceTimeout;
    case State::kProbed:
      return true;
    case State::kInconclusive:
    case State::kNotHeld:
    case State::kUncertain:
      return false;
  }
  return false;
}

FlowSearch::Step FlowSearch::NextStep(TimePoint now,
                                      const IsPresumedDead& is_dead) const {
  size_t awaited = 0;
  size_t inconclusive = 0;
  size_t not_held = 0;
  bool reply_may_arrive = false;
  for (const auto& [sidecar, query] : queries_) {
    const bool is_awaited = IsAwaited(query, now) && !is_dead(sidecar);
    const TimePoint sent_at = query.state == State::kProbed && query.probed_at
                                  ? *query.probed_at
                                  : query.first_sent_at;
    awaited += is_awaited ? 1 : 0;
    reply_may_arrive =
        reply_may_arrive || (is_awaited && now - sent_at < kReplyTimeout);
    inconclusive += query.state == State::kInconclusive ? 1 : 0;
    not_held +=
        query.state == State::kNotHeld || query.state == State::kUncertain ? 1
                                                                           : 0;
  }
  if (inconclusive > 0) {
    return reply_may_arrive ? Step::kWait : Step::kProbe;
  }
  // An instance that is cut off from most sidecars cannot conclude anything.
  const bool enough_replies = not_held > 0 && 2 * not_held >= queries_.size();
  return awaited == 0 && enough_replies ? Step::kNotHeld : Step::kWait;
}

std::vector<request::Endpoint> FlowSearch::TakeSidecarsToProbe(
    TimePoint now, const ProbeSelector& select) {
  std::vector<request::Endpoint> inconclusive;
  for (const auto& [sidecar, query] : queries_) {
    if (query.state == State::kInconclusive) {
      inconclusive.push_back(sidecar);
    }
  }
  std::vector<request::Endpoint> chosen = select(inconclusive, probe_batches_);
  for (const request::Endpoint& it : chosen) {
    Query& query = queries_.at(it);
    query.state = State::kProbed;
    query.probed_at = now;
  }
  ++probe_batches_;
  return chosen;
}

bool FlowSearch::IsProbeInFlight(const request::Endpoint& sidecar,
                                 TimePoint now) const {
  const auto it = queries_.find(sidecar);
  return it != queries_.end() && it->second.state == State::kProbed &&
         it->second.probed_at && now - *it->second.probed_at < kReplyTimeout;
}

bool FlowSearch::WasProbed(const request::Endpoint& sidecar) const {
  const auto it = queries_.find(sidecar);
  return it != queries_.end() && it->second.probed_at.has_value();
}

bool FlowSearch::RepliedNotHeld(const request::Endpoint& sidecar) const {
  const auto it = queries_.find(sidecar);
  return it != queries_.end() && it->second.state == State::kNotHeld;
}

bool FlowSearch::AwaitsReply(const request::Endpoint& sidecar) const {
  const auto it = queries_.find(sidecar);
  return it != queries_.end() && (it->second.state == State::kQueried ||
                                  it->second.state == State::kProbed);
}

std::optional<request::Endpoint> FlowSearch::FirstWithoutReply() const {
  for (const auto& [sidecar, query] : queries_) {
    if (AwaitsReply(sidecar)) {
      return sidecar;
    }
  }
  return std::nullopt;
}

}  // namespace kumquatvalve::connection
