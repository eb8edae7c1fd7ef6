#ifndef KUMQUATVALVE_PROCESS_ENTRY_KNOWLEDGE_H_
#define KUMQUATVALVE_PROCESS_ENTRY_KNOWLEDGE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kumquatvalve/connection/record_book.h"
#include "kumquatvalve/connection/store_era.h"
#include "kumquatvalve/process/logging.h"
#include "kumquatvalve/process/object_api.h"
#include "kumquatvalve/process/peer_snapshot.h"
#include "kumquatvalve/version/route_map.h"

namespace kumquatvalve::process {

/// The configuration and upstream records that an entry instance knows. It
/// merges what the store returns with what other entry instances and sidecars
/// send while the store does not respond. Thread-safe.
class EntryKnowledge {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// Converts between stored objects and the values in memory.
  struct Codec {
    /// Routes that cannot be parsed are left out and named in `skipped`.
    /// Returns nothing and sets `failure` when the whole object is unreadable.
    std::function<std::optional<version::RouteMap>(const StoredObject& object,
                                                   std::string* skipped,
                                                   request::Failure* failure)>
        read_configuration;
    /// Returns nothing and sets `failure` when the record cannot be parsed.
    std::function<std::optional<version::UpstreamRecord>(
        const std::string& body, request::Failure* failure)>
        read_record;
    /// Returns the store path of the record of a sidecar.
    std::function<std::string(const request::Endpoint& sidecar)> record_path;
    /// Returns the object, with its store path, that holds a record.
    std::function<StoredObject(const version::UpstreamRecord& record)>
        write_record;
  };

  /// Callbacks that receive each new state. They are called with the internal
  /// mutex locked.
  struct Outputs {
    std::function<void(std::shared_ptr<const version::RouteMap>)> routes;
    /// @param complete_at the records include every change that the store had
    ///   accepted by this time.
    std::function<void(std::vector<version::UpstreamRecord>,
                       TimePoint complete_at)>
        upstreams;
    /// An object or a part of one was left out since it cannot be read; the
    /// reason has been logged. May be empty.
    std::function<void()> unreadable;
    /// A configuration or a record of a new era of the store is held back; the
    /// reason has been logged. May be empty.
    std::function<void()> held_back;
    /// The store's first configuration may be one restored from a copy, so the
    /// other entry instances have to be asked for theirs: `OnPeersAsked` has to
    /// be called when all have been. Called once; empty when there are none.
    std::function<void()> ask_peers;
  };

  /// `logger` must outlive the object.
  EntryKnowledge(Codec codec, Outputs outputs, const Logger* logger);

  /// Applies a configuration that the store returned. One that is not newer
  /// than the current one is ignored; an unreadable one is logged and the
  /// current one stays in force. One that the store may have restored from a
  /// copy is held back, see `connection::EraHold`; when it is the first one,
  /// until the other entry instances were asked.
  /// @return whether the routes in force are at least as new as the object; for
  ///   one that is held back by the operator's version.
  bool OnConfiguration(const StoredObject& object, TimePoint now);

  /// The other entry instances were asked for their configuration, and
  /// `OnPeerSnapshot` was called with what they replied.
  void OnPeersAsked(TimePoint now);

  /// The longest time for which the first configuration waits for the peers:
  /// three that do not reply take less.
  static constexpr std::chrono::milliseconds kMaxPeerWait{2000};

  /// Replaces the records with a full list from the store. Records that cannot
  /// be read, or that are stored under another sidecar's path, are logged once
  /// for each of their versions and left out.
  /// @param era of the store to which the list belongs.
  void OnStoredRecords(const std::map<std::string, StoredObject>& objects,
                       TimePoint complete_at, TimePoint now, uint64_t era = 0);

  /// Puts in force what was held back for `connection::kMaxEraHold`, or what
  /// has waited for peers that do not reply; has to be called every
  /// `connection::kEraHoldCheckInterval`.
  void OnTick(TimePoint now);

  /// Adds a record that a sidecar announced because it cannot write it to the
  /// store.
  /// @param later_record set to the record in use when the announced one is not
  ///   used since it is of an earlier start; otherwise unchanged.
  /// @return false and sets `failure` when the record cannot be read.
  bool OnAnnouncedRecord(const std::string& body, TimePoint now,
                         std::string* later_record, request::Failure* failure);

  /// Merges the configuration and records of another entry instance.
  void OnPeerSnapshot(const PeerSnapshot& snapshot, TimePoint now);

  /// Returns the known configuration and records, to be sent to a peer, also
  /// records that the store may have lost a moment ago.
  PeerSnapshot Snapshot(TimePoint now) const;

  /// Whether a configuration is in force.
  bool HasConfiguration() const;
  /// Whether both a configuration and a list of upstreams have been received.
  bool IsComplete() const;

  /// Whether other entry instances should be queried: because something is
  /// missing, or because changes in the store would go unnoticed.
  /// @param store_answers whether the store responded to the last calls for
  ///   the configuration and for the upstream records.
  bool NeedsPeers(bool store_answers) const {
    return !store_answers || !IsComplete();
  }

 private:
  // A stored record and the version that it was decoded from.
  struct DecodedRecord {
    request::TableVersion version;
    /// Empty when the stored object is not a usable record.
    std::optional<version::UpstreamRecord> record;
  };

  // Decodes a record that has to be stored at its sidecar's path.
  std::optional<version::UpstreamRecord> ReadRecordAt(
      const StoredObject& object, request::Failure* failure) const;
  // Takes the store's first configuration, if there is one that waits; `mutex_`
  // must be locked.
  void EndPeerWait(TimePoint now);
  // Applies or holds back a configuration of the store or a peer, as
  // `OnConfiguration` does; `mutex_` must be locked.
  bool TakeConfiguration(const StoredObject& object, TimePoint now);
  // Puts a configuration in force; `mutex_` must be locked.
  void ApplyConfiguration(const StoredObject& object, version::RouteMap map);
  void LogHeldBack(std::string_view message, const std::string& what) const;
  void LogUnreadable(std::string_view message, const std::string& path,
                     const request::Failure& failure) const;
  void PublishRecords();

  Codec codec_;
  Outputs outputs_;
  const Logger* logger_;
  mutable std::mutex mutex_;
  std::optional<StoredObject> configuration_;
  /// Number that the operator assigned to `configuration_`.
  uint64_t operator_version_ = 0;
  connection::EraHold era_hold_;
  std::optional<StoredObject> held_configuration_;
  /// The store's configuration until the peers were asked.
  std::optional<StoredObject> first_configuration_;
  TimePoint first_received_at_;
  bool peers_asked_ = false;
  /// The store or a peer has returned a list of upstream records.
  bool records_known_ = false;
  TimePoint complete_at_;
  connection::RecordBook records_;
  /// The records of the last list, by path. A change of one object must not
  /// cost the decoding of all others.
  std::map<std::string, DecodedRecord> decoded_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_ENTRY_KNOWLEDGE_H_
