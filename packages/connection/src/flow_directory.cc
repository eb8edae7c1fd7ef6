#include "kumquatvalve/connection/flow_directory.h"

namespace kumquatvalve::connection {

FlowDirectory::Entry* FlowDirectory::Find(const request::FlowKey& flow) {
  const auto it = entries_.find(flow);
  return it == entries_.end() ? nullptr : &it->second;
}

bool FlowDirectory::RecordPassedOn(const request::FlowKey& flow, uint32_t hash,
                                   request::InstanceId holder, TimePoint now) {
  if (entries_.size() >= capacity_ && !entries_.contains(flow)) {
    return false;
  }
  entries_[flow] = Entry{holder, hash, kUnconfirmed, now};
  unconfirmed_.emplace_back(now, flow);
  return true;
}

bool FlowDirectory::RecordRegistered(const request::FlowKey& flow,
                                     uint32_t hash, request::InstanceId holder,
                                     TimePoint now) {
  if (entries_.size() >= capacity_ && !entries_.contains(flow)) {
    return false;
  }
  // Rounds start at 1, since 0 is `kUnconfirmed`.
  const uint32_t round = rounds_.try_emplace(holder, 1).first->second;
  entries_[flow] = Entry{holder, hash, round, now};
  return true;
}

void FlowDirectory::FinishRegistration(request::InstanceId holder) {
  const uint32_t round = rounds_.try_emplace(holder, 1).first->second++;
  absl::erase_if(entries_, [&](const auto& it) {
    return it.second.holder == holder && it.second.round != kUnconfirmed &&
           it.second.round != kRetained && it.second.round != round;
  });
}

void FlowDirectory::RetainAfterRestart(request::InstanceId holder) {
  for (auto& [flow, entry] : entries_) {
    if (entry.holder == holder && entry.round != kUnconfirmed) {
      entry.round = kRetained;
    }
  }
}

void FlowDirectory::Withdraw(const request::FlowKey& flow,
                             request::InstanceId holder) {
  const auto it = entries_.find(flow);
  if (it != entries_.end() && it->second.holder == holder) {
    entries_.erase(it);
  }
}

void FlowDirectory::Expire(TimePoint now) {
  while (!unconfirmed_.empty() &&
         now - unconfirmed_.front().first >= kUnconfirmedTtl) {
    const auto it = entries_.find(unconfirmed_.front().second);
    if (it != entries_.end() && it->second.round == kUnconfirmed &&
        now - it->second.last_used_at >= kUnconfirmedTtl) {
      entries_.erase(it);
    }
    unconfirmed_.pop_front();
  }
}

}  // namespace kumquatvalve::connection
