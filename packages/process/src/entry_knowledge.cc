#include "kumquatvalve/process/entry_knowledge.h"

#include <utility>

namespace kumquatvalve::process {

EntryKnowledge::EntryKnowledge(Codec codec, Outputs outputs,
                               const Logger* logger)
    : codec_(std::move(codec)), outputs_(std::move(outputs)), logger_(logger) {}

bool EntryKnowledge::OnConfiguration(const StoredObject& object,
                                     TimePoint now) {
  const std::lock_guard lock(mutex_);
  const bool may_be_restored = object.version.era != 0 && !configuration_;
  if (may_be_restored && !peers_asked_ && outputs_.ask_peers) {
    if (!std::exchange(first_configuration_, object)) {
      first_received_at_ = now;
      outputs_.ask_peers();
    }
    return false;
  }
  return TakeConfiguration(object, now);
}

void EntryKnowledge::OnPeersAsked(TimePoint now) {
  const std::lock_guard lock(mutex_);
  EndPeerWait(now);
}

void EntryKnowledge::EndPeerWait(TimePoint now) {
  peers_asked_ = true;
  if (const auto object = std::exchange(first_configuration_, std::nullopt)) {
    TakeConfiguration(*object, now);
  }
}

bool EntryKnowledge::TakeConfiguration(const StoredObject& object,
                                       TimePoint now) {
  if ((configuration_ && object.version <= configuration_->version) ||
      (held_configuration_ && object.version <= held_configuration_->version)) {
    return true;
  }
  std::string skipped;
  request::Failure failure;
  auto map = codec_.read_configuration(object, &skipped, &failure);
  if (!map) {
    LogUnreadable("cannot read the configuration", object.path, failure);
    return false;
  }
  if (!skipped.empty()) {
    LogUnreadable("skipped unreadable parts of the configuration", object.path,
                  {request::ResultCode::kWrongType, skipped});
  }
  if (configuration_ &&
      era_hold_.OnConfiguration({configuration_->version, operator_version_},
                                {object.version, map->version},
                                now) == connection::EraVerdict::kHoldBack) {
    LogHeldBack("the configuration in force is newer to the operator",
                "version " + std::to_string(map->version) + " of era " +
                    std::to_string(object.version.era));
    held_configuration_ = object;
    return true;
  }
  ApplyConfiguration(object, std::move(*map));
  return true;
}

void EntryKnowledge::ApplyConfiguration(const StoredObject& object,
                                        version::RouteMap map) {
  logger_->Log(LogLevel::kInfo, LogEvent::kTablesPublished, "configuration",
               {{"version", std::to_string(map.version)},
                {"revision", std::to_string(map.revision.value)},
                {"era", std::to_string(map.revision.era)},
                {"routes", std::to_string(map.routes.size())}});
  configuration_ = object;
  operator_version_ = map.version;
  era_hold_.OnTaken(object.version);
  held_configuration_.reset();
  outputs_.routes(std::make_shared<const version::RouteMap>(std::move(map)));
}

void EntryKnowledge::OnTick(TimePoint now) {
  const std::lock_guard lock(mutex_);
  if (first_configuration_ && now - first_received_at_ >= kMaxPeerWait) {
    EndPeerWait(now);
  }
  if (held_configuration_ && era_hold_.IsOver(now)) {
    const StoredObject object = *held_configuration_;
    std::string skipped;
    request::Failure failure;
    // It could be read when it was held back.
    if (auto map = codec_.read_configuration(object, &skipped, &failure)) {
      ApplyConfiguration(object, std::move(*map));
    }
  }
  if (records_.ExpireHeld(now)) {
    PublishRecords();
  }
}

void EntryKnowledge::OnStoredRecords(
    const std::map<std::string, StoredObject>& objects, TimePoint complete_at,
    TimePoint now, uint64_t era) {
  const std::lock_guard lock(mutex_);
  std::vector<version::UpstreamRecord> records;
  std::map<std::string, DecodedRecord> decoded;
  for (const auto& [path, object] : objects) {
    auto known = decoded_.extract(path);
    if (known.empty() || known.mapped().version != object.version) {
      request::Failure failure;
      auto record = ReadRecordAt(object, &failure);
      if (!record) {
        LogUnreadable("cannot use an upstream record from the store", path,
                      failure);
      }
      decoded.emplace(path, DecodedRecord{object.version, std::move(record)});
    } else {
      decoded.insert(std::move(known));
    }
    if (const auto& record = decoded.find(path)->second.record) {
      records.push_back(*record);
    }
  }
  decoded_ = std::move(decoded);
  const size_t held = records_.OnStoreRecords(records, complete_at, now, era);
  if (held != 0) {
    LogHeldBack(
        "the upstream records in use are newer",
        std::to_string(held) + " records of era " + std::to_string(era));
  }
  complete_at_ = complete_at;
  PublishRecords();
}

bool EntryKnowledge::OnAnnouncedRecord(const std::string& body, TimePoint now,
                                       std::string* later_record,
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
  } else if (const auto later = records_.FindLater(*record)) {
    *later_record = codec_.write_record(*later).body;
    logger_->Log(LogLevel::kInfo, LogEvent::kPeerTold,
                 "ignored the record of an earlier start from a sidecar",
                 {{"record", body}, {"later_record", *later_record}});
  }
  return true;
}

void EntryKnowledge::OnPeerSnapshot(const PeerSnapshot& snapshot,
                                    TimePoint now) {
  const std::lock_guard lock(mutex_);
  if (snapshot.configuration) {
    TakeConfiguration(*snapshot.configuration, now);
  }
  for (const request::Failure& it : snapshot.skipped) {
    LogUnreadable("cannot read an object of a peer", "", it);
  }
  bool changed = !records_known_ && !snapshot.records.empty();
  for (const StoredObject& it : snapshot.records) {
    request::Failure failure;
    const auto record = ReadRecordAt(it, &failure);
    if (!record) {
      LogUnreadable("cannot use an upstream record from a peer", it.path,
                    failure);
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

PeerSnapshot EntryKnowledge::Snapshot(TimePoint now) const {
  const std::lock_guard lock(mutex_);
  PeerSnapshot snapshot;
  snapshot.configuration = configuration_;
  if (records_known_) {
    for (const version::UpstreamRecord& it : records_.Records()) {
      snapshot.records.push_back(codec_.write_record(it));
    }
    for (const version::UpstreamRecord& it : records_.RecentlyRemoved(now)) {
      snapshot.records.push_back(codec_.write_record(it));
    }
  }
  return snapshot;
}

bool EntryKnowledge::HasConfiguration() const {
  const std::lock_guard lock(mutex_);
  return configuration_.has_value();
}

bool EntryKnowledge::IsComplete() const {
  const std::lock_guard lock(mutex_);
  return configuration_ && records_known_;
}

std::optional<version::UpstreamRecord> EntryKnowledge::ReadRecordAt(
    const StoredObject& object, request::Failure* failure) const {
  auto record = codec_.read_record(object.body, failure);
  if (record && codec_.record_path(record->sidecar) != object.path) {
    *failure = {
        request::ResultCode::kBadPath,
        "the record names sidecar " + request::ToString(record->sidecar)};
    return std::nullopt;
  }
  return record;
}

void EntryKnowledge::LogHeldBack(std::string_view message,
                                 const std::string& what) const {
  logger_->Log(LogLevel::kWarning, LogEvent::kHeldBack, message,
               {{"held_back", what}});
  if (outputs_.held_back) {
    outputs_.held_back();
  }
}

void EntryKnowledge::LogUnreadable(std::string_view message,
                                   const std::string& path,
                                   const request::Failure& failure) const {
  logger_->Log(LogLevel::kError, LogEvent::kTableUnreadable, message,
               {{"path", path}, {"reason", ToString(failure)}});
  if (outputs_.unreadable) {
    outputs_.unreadable();
  }
}

void EntryKnowledge::PublishRecords() {
  records_known_ = true;
  auto records = records_.Records();
  logger_->Log(LogLevel::kInfo, LogEvent::kTablesPublished, "upstreams",
               {{"upstreams", std::to_string(records.size())}});
  outputs_.upstreams(std::move(records), complete_at_);
}

}  // namespace kumquatvalve::process
