#ifndef KUMQUATVALVE_CONNECTION_RECORD_BOOK_H_
#define KUMQUATVALVE_CONNECTION_RECORD_BOOK_H_

#include <chrono>
#include <map>
#include <span>
#include <vector>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/version/route_map.h"

namespace kumquatvalve::connection {

/// The upstream records that an entry instance uses: those of the store, merged
/// with newer ones that sidecars and other entry instances announced while the
/// store was unavailable.
class RecordBook {
 public:
  /// Replaces the records of the store. Drops announced ones that are not
  /// newer, or that the store should have by now.
  /// @param complete_at the records include every change that the store had
  ///   accepted by this time.
  void OnStoreRecords(std::span<const version::UpstreamRecord> records,
                      TimePoint complete_at, TimePoint now);

  /// Adds a record that a sidecar or a peer announced.
  /// @return whether it changes the merged records.
  bool OnAnnouncedRecord(const version::UpstreamRecord& record, TimePoint now);

  /// The merged records, one for each sidecar.
  std::vector<version::UpstreamRecord> Records() const;

  /// Records that the store had until at most `kStoreWriteTimeout` ago and that
  /// announced no drain. The store may have lost them, while their upstreams
  /// still hold flows: an instance that starts now has to know them.
  std::vector<version::UpstreamRecord> RecentlyRemoved(TimePoint now) const;

 private:
  struct Announced {
    version::UpstreamRecord record;
    TimePoint received_at;
  };

  // A sidecar writes its record within two seconds after the store is available
  // again; a record that is still missing then is dropped.
  static constexpr std::chrono::milliseconds kStoreWriteTimeout{2000};

  std::map<request::Endpoint, version::UpstreamRecord> stored_;
  std::map<request::Endpoint, Announced> announced_;
  /// Records that the last lists of the store lacked; `received_at` is the time
  /// of the first such list.
  std::map<request::Endpoint, Announced> removed_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_RECORD_BOOK_H_
