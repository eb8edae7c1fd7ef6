#include "kumquatvalve/connection/flow_listing.h"

#include <algorithm>
#include <utility>

namespace kumquatvalve::connection {

size_t FlowListing::Answer::Seen() const {
  return static_cast<size_t>(std::count(seen.begin(), seen.end(), true));
}

void FlowListing::Start(std::vector<request::Endpoint> awaited, TimePoint now) {
  running_ = true;
  ++round_;
  started_ = now;
  awaited_ = std::move(awaited);
  answers_.clear();
}

void FlowListing::OnPart(const request::Endpoint& sidecar,
                         const request::FlowList& list,
                         std::span<const uint32_t> fingerprints) {
  if (!running_ || list.round != round_ || list.part >= list.parts) {
    return;
  }
  Answer& answer = answers_[sidecar];
  if (answer.parts != list.parts) {
    answer = {};
    answer.parts = list.parts;
    answer.seen.resize(list.parts);
  }
  answer.inconclusive = list.inconclusive;
  answer.seen[list.part] = true;
  answer.fingerprints.insert(fingerprints.begin(), fingerprints.end());
}

bool FlowListing::Finished(TimePoint now) const {
  if (now - started_ >= kLongestRound) {
    return true;
  }
  return std::all_of(awaited_.begin(), awaited_.end(), [this](const auto& it) {
    const auto answer = answers_.find(it);
    return answer != answers_.end() && answer->second.Complete();
  });
}

FlowListing::Word FlowListing::WordOf(const request::Endpoint& sidecar,
                                      uint32_t fingerprint) const {
  const auto it = answers_.find(sidecar);
  if (it == answers_.end()) {
    return Word::kSilent;
  }
  if (it->second.fingerprints.contains(fingerprint)) {
    return Word::kMayHold;
  }
  if (!it->second.Complete()) {
    return Word::kSilent;
  }
  return it->second.inconclusive ? Word::kUnsure : Word::kDenies;
}

}  // namespace kumquatvalve::connection
