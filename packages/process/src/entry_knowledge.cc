#include "kumquatvalve/process/entry_knowledge.h"

#include <utility>

namespace kumquatvalve::process {

EntryKnowledge::EntryKnowledge(Codec codec, Outputs outputs,
                               const Logger* logger)
    : codec_(std::move(codec)), outputs_(std::move(outputs)), logger_(logger) {}

void EntryKnowledge::OnConfiguration(const StoredObject& object) {
  const std::lock_guard lock(mutex_);
  if (configuration_ && object.version <= configuration_->version) {
    return;
  }
  std::string skipped;
  request::Failure failure;
  auto map = codec_.read_configuration(object, &skipped, &failure);
  if (!map) {
    logger_->Log(LogLevel::kError, LogEvent::kTableUnreadable,
                 "cannot read the configuration",
                 {{"reason", ToString(failure)}});
    return;
  }
  if (!skipped.empty()) {
    logger_->Log(LogLevel::kError, LogEvent::kTableUnreadable,
                 "skipped unreadable routes", {{"reason", skipped}});
  }
  logger_->Log(LogLevel::kInfo, LogEvent::kTablesPublished, "configuration",
               {{"version", std::to_string(map->version)},
                {"revision", std::to_string(map->revision)},
                {"routes", std::to_string(map->routes.size())}});
  configuration_ = object;
  outputs_.routes(std::make_shared<const version::RouteMap>(std::move(*map)));
}

void EntryKnowledge::OnStoredRecords(
    const std::map<std::string, StoredObject>& objects, TimePoint complete_at) {
  const std::lock_guard lock(mutex_);
  std::vector<version::UpstreamRecord> records;
  for (const auto& [path, object] : objects) {
    request::Failure failure;
    auto record = codec_.read_record(object.body, &failure);
    if (record) {
      records.push_back(std::move(*record));
    } else {
      logger_->Log(LogLevel::kWarning, LogEvent::kTableUnreadable,
                   "cannot read an upstream record from the store",
                   {{"path", path}, {"reason", ToString(failure)}});
    }
  }
  records_.OnStoreRecords(records, complete_at);
  complete_at_ = complete_at;
  PublishRecords();
}

bool EntryKnowledge::OnAnnouncedRecord(const std::string& body, TimePoint now,
                                       request::Failure* failure) {
  const auto record = codec_.read_record(body, failure);
  if (!record) {
    return false;
  }
  const std::lock_guard lock(mutex_);
  if (records_.OnAnnouncedRecord(*record, now)) {
    logger_->Log(LogLevel::kInfo, LogEvent::kPeerTold,
                 "received an upstream record from a sidecar",
                 {{"record", body}});
    if (records_known_) {
      PublishRecords();
    }
  }
  return true;
}

void EntryKnowledge::OnPeerSnapshot(const PeerSnapshot& snapshot,
                                    TimePoint now) {
  if (snapshot.configuration) {
    OnConfiguration(*snapshot.configuration);
  }
  const std::lock_guard lock(mutex_);
  bool changed = !records_known_ && !snapshot.records.empty();
  for (const StoredObject& it : snapshot.records) {
    request::Failure failure;
    const auto record = codec_.read_record(it.body, &failure);
    if (!record) {
      logger_->Log(LogLevel::kWarning, LogEvent::kTableUnreadable,
                   "cannot read an upstream record from a peer",
                   {{"path", it.path}, {"reason", ToString(failure)}});
    } else if (records_.OnAnnouncedRecord(*record, now)) {
      logger_->Log(LogLevel::kInfo, LogEvent::kPeerTold,
                   "received an upstream record from a peer",
                   {{"record", it.body}});
      changed = true;
    }
  }
  if (changed) {
    PublishRecords();
  }
}

PeerSnapshot EntryKnowledge::Snapshot() const {
  const std::lock_guard lock(mutex_);
  PeerSnapshot snapshot;
  snapshot.configuration = configuration_;
  if (records_known_) {
    for (const version::UpstreamRecord& it : records_.Records()) {
      snapshot.records.push_back(codec_.write_record(it));
    }
  }
  return snapshot;
}

bool EntryKnowledge::IsComplete() const {
  const std::lock_guard lock(mutex_);
  return configuration_ && records_known_;
}

void EntryKnowledge::PublishRecords() {
  records_known_ = true;
  auto records = records_.Records();
  logger_->Log(LogLevel::kInfo, LogEvent::kTablesPublished, "upstreams",
               {{"upstreams", std::to_string(records.size())}});
  outputs_.upstreams(std::move(records), complete_at_);
}

}  // namespace kumquatvalve::process
