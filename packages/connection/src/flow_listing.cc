#include "kumquatvalve/connection/flow_listing.h"

#include <algorithm>
#include <utility>

namespace kumquatvalve::connection {

size_t FlowListing::Reply::ReceivedParts() const {
  return static_cast<size_t>(
      std::count(received.begin(), received.end(), true));
}

void FlowListing::StartRound(std::vector<request::Endpoint> awaited,
                             TimePoint now) {
  running_ = true;
  ++round_;
  started_at_ = now;
  awaited_ = std::move(awaited);
  replies_.clear();
}

void FlowListing::OnReplyPart(const request::Endpoint& sidecar,
                              const request::FlowList& list,
                              std::span<const uint32_t> fingerprints) {
  if (!running_ || list.round != round_ || list.part >= list.parts) {
    return;
  }
  Reply& reply = replies_[sidecar];
  if (reply.parts != list.parts) {
    reply = {};
    reply.parts = list.parts;
    reply.received.resize(list.parts);
  }
  reply.may_miss_flows = list.inconclusive;
  reply.missed_only_first_flows = list.missed_only_first_flows;
  reply.received[list.part] = true;
  reply.fingerprints.insert(fingerprints.begin(), fingerprints.end());
}

bool FlowListing::IsRoundOver(TimePoint now) const {
  if (now - started_at_ >= kRoundTimeout) {
    return true;
  }
  return std::all_of(awaited_.begin(), awaited_.end(),
                     [this](const auto& it) { return HasReply(it); });
}

bool FlowListing::HasReply(const request::Endpoint& sidecar) const {
  const auto it = replies_.find(sidecar);
  return it != replies_.end() && it->second.IsComplete();
}

FlowListing::Result FlowListing::ResultFor(const request::Endpoint& sidecar,
                                           uint32_t fingerprint) const {
  const auto it = replies_.find(sidecar);
  if (it == replies_.end()) {
    return Result::kNoReply;
  }
  if (it->second.fingerprints.contains(fingerprint)) {
    return Result::kMayHold;
  }
  if (!it->second.IsComplete()) {
    return Result::kNoReply;
  }
  if (!it->second.may_miss_flows) {
    return Result::kNotHeld;
  }
  return it->second.missed_only_first_flows ? Result::kInconclusiveForFirstFlows
                                            : Result::kInconclusive;
}

}  // namespace kumquatvalve::connection
