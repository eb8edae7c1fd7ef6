#include "kumquatvalve/connection/record_book.h"

#include <utility>

namespace kumquatvalve::connection {
namespace {

// Whether `record` is of a later start, or announces a drain of the same one. A
// drain is never cancelled.
bool Supersedes(const version::UpstreamRecord& record,
                const version::UpstreamRecord& known) {
  if (version::IsSameStart(record, known) &&
      record.draining != known.draining) {
    return record.draining;
  }
  return version::OrderOf(record) > version::OrderOf(known);
}

}  // namespace

void RecordBook::OnStoreRecords(
    std::span<const version::UpstreamRecord> records, TimePoint complete_at,
    TimePoint now) {
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
                            !Supersedes(it.second.record, stored->second);
    return superseded ||
           complete_at - it.second.received_at > kStoreWriteTimeout;
  });
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
  if (known == nullptr || Supersedes(record, *known)) {
    version::UpstreamRecord accepted = record;
    if (known != nullptr && version::IsSameStart(record, *known) &&
        version::OrderOf(*known) > version::OrderOf(record)) {
      accepted.order = known->order;
    }
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

std::vector<version::UpstreamRecord> RecordBook::Records() const {
  auto merged = stored_;
  for (const auto& [sidecar, announced] : announced_) {
    merged.insert_or_assign(sidecar, announced.record);
  }
  std::vector<version::UpstreamRecord> records;
  records.reserve(merged.size());
  for (auto& [sidecar, record] : merged) {
    records.push_back(std::move(record));
  }
  return records;
}

}  // namespace kumquatvalve::connection
