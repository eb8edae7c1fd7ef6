#include "kumquatvalve/connection/record_book.h"

namespace kumquatvalve::connection {
namespace {

// Whether `record` is about a later start of the upstream, or tells that it
// leaves, which is never taken back.
bool Newer(const version::UpstreamRecord& record,
           const version::UpstreamRecord& known) {
  if (record.incarnation_ms != known.incarnation_ms) {
    return record.incarnation_ms > known.incarnation_ms;
  }
  return record.draining && !known.draining;
}

}  // namespace

void RecordBook::OnStoreRecords(
    std::span<const version::UpstreamRecord> records, TimePoint complete_at) {
  stored_.clear();
  for (const version::UpstreamRecord& it : records) {
    stored_.insert_or_assign(it.sidecar, it);
  }
  std::erase_if(told_, [&](const auto& it) {
    const auto stored = stored_.find(it.first);
    if (stored != stored_.end()) {
      return !Newer(it.second.record, stored->second);
    }
    return complete_at - it.second.at > kWriteTime;
  });
}

bool RecordBook::OnAnnouncedRecord(const version::UpstreamRecord& record,
                                   TimePoint now) {
  const auto stored = stored_.find(record.sidecar);
  if (stored != stored_.end() && !Newer(record, stored->second)) {
    return false;
  }
  const auto [it, inserted] =
      told_.try_emplace(record.sidecar, Told{record, now});
  if (inserted) {
    return true;
  }
  if (Newer(record, it->second.record)) {
    it->second = {record, now};
    return true;
  }
  if (record == it->second.record) {
    it->second.at = now;
  }
  return false;
}

std::vector<version::UpstreamRecord> RecordBook::Records() const {
  auto merged = stored_;
  for (const auto& [sidecar, told] : told_) {
    merged.insert_or_assign(sidecar, told.record);
  }
  std::vector<version::UpstreamRecord> records;
  records.reserve(merged.size());
  for (auto& [sidecar, record] : merged) {
    records.push_back(std::move(record));
  }
  return records;
}

}  // namespace kumquatvalve::connection
