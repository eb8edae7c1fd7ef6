#ifndef KUMQUATVALVE_PROCESS_ENTRY_KNOWLEDGE_H_
#define KUMQUATVALVE_PROCESS_ENTRY_KNOWLEDGE_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "kumquatvalve/connection/record_book.h"
#include "kumquatvalve/process/logging.h"
#include "kumquatvalve/process/object_api.h"
#include "kumquatvalve/process/peer_snapshot.h"
#include "kumquatvalve/version/route_map.h"

namespace kumquatvalve::process {

/// What an entry instance knows of the configuration and the upstreams, and
/// from whom: the store first, other entry instances and sidecars while it does
/// not answer. May be used from any thread.
class EntryKnowledge {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// The form in which the store keeps objects.
  struct Codec {
    /// Routes that cannot be read are left out and named in `skipped`.
    std::function<std::optional<version::RouteMap>(const StoredObject& object,
                                                   std::string* skipped,
                                                   request::Failure* failure)>
        read_configuration;
    std::function<std::optional<version::UpstreamRecord>(
        const std::string& body, request::Failure* failure)>
        read_record;
    /// A record at its path.
    std::function<StoredObject(const version::UpstreamRecord& record)>
        write_record;
  };

  /// Takes what is in force from now on.
  struct Outputs {
    std::function<void(std::shared_ptr<const version::RouteMap>)> routes;
    /// @param complete_at the records hold every change that the store had
    ///   taken at this time.
    std::function<void(std::vector<version::UpstreamRecord>,
                       TimePoint complete_at)>
        upstreams;
  };

  /// `logger` must outlive the object.
  EntryKnowledge(Codec codec, Outputs outputs, const Logger* logger);

  /// The configuration in the store or at a peer; an older one is ignored.
  void OnConfiguration(const StoredObject& object);

  /// All upstream records of the store.
  void OnStoredRecords(const std::map<std::string, StoredObject>& objects,
                       TimePoint complete_at);

  /// A sidecar that cannot write to the store announces its record.
  /// @return false and a reason when the record cannot be read.
  bool OnAnnounced(const std::string& body, TimePoint now,
                   request::Failure* failure);

  void OnPeer(const PeerSnapshot& snapshot, TimePoint now);

  PeerSnapshot Snapshot() const;

  /// Whether both the configuration and the upstreams are known.
  bool Complete() const;

  /// Whether other entry instances are to be asked: something is not known, or
  /// changes of it would not be noticed.
  /// @param store_answers the last calls about both were answered.
  bool NeedsPeers(bool store_answers) const {
    return !store_answers || !Complete();
  }

 private:
  void PublishRecords();

  Codec codec_;
  Outputs outputs_;
  const Logger* logger_;
  mutable std::mutex mutex_;
  std::optional<StoredObject> configuration_;
  bool records_known_ = false;
  TimePoint complete_at_;
  connection::RecordBook records_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_ENTRY_KNOWLEDGE_H_
