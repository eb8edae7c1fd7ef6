#ifndef KUMQUATVALVE_CONNECTION_RECORD_BOOK_H_
#define KUMQUATVALVE_CONNECTION_RECORD_BOOK_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/version/route_map.h"

namespace kumquatvalve::connection {

/// The upstream records that an entry instance uses: those of the store, merged
/// with newer ones that sidecars and other entry instances announced while the
/// store was unavailable. Of two records of one sidecar the one with the larger
/// start order is the newer one. When the store has gone back in time, newer
/// records than those of its copy stay in use, see `IsNewerRecord`. Load
/// pattern: upstreams that end and start
/// again during an outage of the store, on machines whose clock is stepped
/// back.
class RecordBook {
 public:
  /// Replaces the records of the store. Drops announced ones that are not
  /// newer, or that the store should have by now.
  /// @param complete_at the records include every change that the store had
  ///   accepted by this time.
  /// @param era of the store. When it has risen, records that the store lacks
  ///   since then stay in use until their sidecars have written again, for at
  ///   most `kMaxEraHold`.
  /// @return number of records that stay in use for this reason from now on.
  size_t OnStoreRecords(std::span<const version::UpstreamRecord> records,
                        TimePoint complete_at, TimePoint now, uint64_t era = 0);

  /// Drops records that stayed in use for `kMaxEraHold` after the era rose.
  /// @return whether it changes the merged records.
  bool ExpireHeld(TimePoint now);

  /// Adds a record that a sidecar or a peer announced.
  /// @return whether it changes the merged records.
  bool OnAnnouncedRecord(const version::UpstreamRecord& record, TimePoint now);

  /// Returns the record in use for the sidecar of `record` when that is of a
  /// later start, or of the same start with a larger order. The sidecar that
  /// announced `record` does not know that order.
  std::optional<version::UpstreamRecord> FindLater(
      const version::UpstreamRecord& record) const;

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

  /// A record that the store lacks since its era rose.
  struct Held {
    version::UpstreamRecord record;
    /// What the store had in its place then; it has been written again once it
    /// has something else.
    std::optional<version::UpstreamRecord> stored;
    TimePoint since;
  };

  // Moves records that the store has lost from `known` to `held_`.
  size_t HoldLost(
      const std::map<request::Endpoint, version::UpstreamRecord>& known,
      TimePoint now);
  std::optional<version::UpstreamRecord> FindStored(
      const request::Endpoint& sidecar) const;
  std::map<request::Endpoint, version::UpstreamRecord> Merged() const;

  // The merged record of a sidecar, or null.
  const version::UpstreamRecord* Find(const request::Endpoint& sidecar) const;

  // A sidecar writes its record within two seconds after the store is available
  // again; a record that is still missing then is dropped.
  static constexpr std::chrono::milliseconds kStoreWriteTimeout{2000};

  std::map<request::Endpoint, version::UpstreamRecord> stored_;
  std::map<request::Endpoint, Announced> announced_;
  std::map<request::Endpoint, Held> held_;
  /// Era of the last list of the store.
  std::optional<uint64_t> era_;
  /// Records that the last lists of the store lacked; `received_at` is the time
  /// of the first such list.
  std::map<request::Endpoint, Announced> removed_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_RECORD_BOOK_H_
