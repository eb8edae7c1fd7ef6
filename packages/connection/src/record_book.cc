#include "kumquatvalve/connection/record_book.h"

#include <utility>

#include "kumquatvalve/connection/store_era.h"

namespace kumquatvalve::connection {

size_t RecordBook::OnStoreRecords(
    std::span<const version::UpstreamRecord> records, TimePoint complete_at,
    TimePoint now, uint64_t era) {
  const bool era_rose = era_ && era > *era_;
  era_ = era;
  const auto known =
      era_rose ? Merged()
               : std::map<request::Endpoint, version::UpstreamRecord>();
  const auto previous = std::exchange(stored_, {});
  for (const version::UpstreamRecord& it : records) {
    stored_.insert_or_assign(it.sidecar, it);
  }
  for (const auto& [sidecar, record] : previous) {
    if (!stored_.contains(sidecar) && !record.draining) {
      removed_.insert_or_assign(sidecar, Announced{record, now});
    }
  }
  std::erase_if(removed_, [&](const auto& it) {
    return stored_.contains(it.first) ||
           now - it.second.received_at > kStoreWriteTimeout;
  });
  std::erase_if(announced_, [&](const auto& it) {
    const auto stored = stored_.find(it.first);
    const bool superseded = stored != stored_.end() &&
                            !IsNewerRecord(it.second.record, stored->second);
    return superseded ||
           complete_at - it.second.received_at > kStoreWriteTimeout;
  });
  std::erase_if(held_, [&](const auto& it) {
    return FindStored(it.first) != it.second.stored;
  });
  return HoldLost(known, now);
}

size_t RecordBook::HoldLost(
    const std::map<request::Endpoint, version::UpstreamRecord>& known,
    TimePoint now) {
  size_t n = 0;
  for (const auto& [sidecar, record] : known) {
    const auto stored = FindStored(sidecar);
    // A missing record without a drain is treated as any that the store lost:
    // the upstream stays known while its sidecar lives.
    if (stored ? IsNewerRecord(record, *stored) : record.draining) {
      Held held{record, stored, now};
      held.record.missing_in_store = true;
      held_.insert_or_assign(sidecar, std::move(held));
      ++n;
    }
  }
  return n;
}

bool RecordBook::ExpireHeld(TimePoint now) {
  return std::erase_if(held_, [now](const auto& it) {
           return now - it.second.since >= kMaxEraHold - kEraHoldCheckInterval;
         }) != 0;
}

std::optional<version::UpstreamRecord> RecordBook::FindStored(
    const request::Endpoint& sidecar) const {
  const auto it = stored_.find(sidecar);
  return it == stored_.end() ? std::nullopt : std::optional(it->second);
}

std::vector<version::UpstreamRecord> RecordBook::RecentlyRemoved(
    TimePoint now) const {
  std::vector<version::UpstreamRecord> records;
  for (const auto& [sidecar, removed] : removed_) {
    if (now - removed.received_at <= kStoreWriteTimeout &&
        !announced_.contains(sidecar)) {
      records.push_back(removed.record);
    }
  }
  return records;
}

bool RecordBook::OnAnnouncedRecord(const version::UpstreamRecord& record,
                                   TimePoint now) {
  const version::UpstreamRecord* known = Find(record.sidecar);
  if (known == nullptr || IsNewerRecord(record, *known)) {
    version::UpstreamRecord accepted = record;
    if (known != nullptr && version::IsSameStart(record, *known) &&
        version::OrderOf(*known) > version::OrderOf(record)) {
      accepted.order = known->order;
    }
    held_.erase(record.sidecar);
    announced_.insert_or_assign(record.sidecar,
                                Announced{std::move(accepted), now});
    return true;
  }
  const auto it = announced_.find(record.sidecar);
  if (it != announced_.end() &&
      version::IsSameStart(record, it->second.record) &&
      record.draining == it->second.record.draining) {
    it->second.received_at = now;
  }
  return false;
}

const version::UpstreamRecord* RecordBook::Find(
    const request::Endpoint& sidecar) const {
  if (const auto it = held_.find(sidecar); it != held_.end()) {
    return &it->second.record;
  }
  if (const auto it = announced_.find(sidecar); it != announced_.end()) {
    return &it->second.record;
  }
  const auto it = stored_.find(sidecar);
  return it == stored_.end() ? nullptr : &it->second;
}

std::optional<version::UpstreamRecord> RecordBook::FindLater(
    const version::UpstreamRecord& record) const {
  const version::UpstreamRecord* known = Find(record.sidecar);
  if (known == nullptr || version::OrderOf(record) > version::OrderOf(*known) ||
      (version::IsSameStart(record, *known) &&
       version::OrderOf(record) == version::OrderOf(*known))) {
    return std::nullopt;
  }
  return *known;
}

std::map<request::Endpoint, version::UpstreamRecord> RecordBook::Merged()
    const {
  auto merged = stored_;
  for (const auto& [sidecar, announced] : announced_) {
    merged.insert_or_assign(sidecar, announced.record);
  }
  for (const auto& [sidecar, held] : held_) {
    merged.insert_or_assign(sidecar, held.record);
  }
  return merged;
}

std::vector<version::UpstreamRecord> RecordBook::Records() const {
  auto merged = Merged();
  std::vector<version::UpstreamRecord> records;
  records.reserve(merged.size());
  for (auto& [sidecar, record] : merged) {
    records.push_back(std::move(record));
  }
  return records;
}

}  // namespace kumquatvalve::connection
