#include "kumquatvalve/connection/record_book.h"

#include <utility>

namespace kumquatvalve::connection {
namespace {

// Whether `record` is of a later incarnation, or announces a drain of the same
// one. A drain is never cancelled.
bool Supersedes(const version::UpstreamRecord& record,
                const version::UpstreamRecord& known) {
  if (record.incarnation_ms != known.incarnation_ms) {
    return record.incarnation_ms > known.incarnation_ms;
  }
  return record.draining && !known.draining;
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
  const auto stored = stored_.find(record.sidecar);
  if (stored != stored_.end() && !Supersedes(record, stored->second)) {
    return false;
  }
  const auto [it, inserted] =
      announced_.try_emplace(record.sidecar, Announced{record, now});
  if (inserted) {
    return true;
  }
  if (Supersedes(record, it->second.record)) {
    it->second = {record, now};
    return true;
  }
  if (record == it->second.record) {
    it->second.received_at = now;
  }
  return false;
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
