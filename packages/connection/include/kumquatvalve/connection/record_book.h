#ifndef KUMQUATVALVE_CONNECTION_RECORD_BOOK_H_
#define KUMQUATVALVE_CONNECTION_RECORD_BOOK_H_

#include <chrono>
#include <map>
#include <span>
#include <vector>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/version/route_map.h"

namespace kumquatvalve::connection {

/// The upstream records that an entry instance goes by: those of the store, and
/// those that were told by sidecars or other entry instances while the store
/// did not answer.
class RecordBook {
 public:
  /// All records of the store.
  /// @param complete_at they hold every change that the store had taken at this
  ///   time.
  void OnStoreRecords(std::span<const version::UpstreamRecord> records,
                      TimePoint complete_at);

  /// A record that did not come from the store.
  /// @return whether it tells something new.
  bool OnAnnouncedRecord(const version::UpstreamRecord& record, TimePoint now);

  std::vector<version::UpstreamRecord> Records() const;

 private:
  struct Told {
    version::UpstreamRecord record;
    TimePoint at;
  };

  // A sidecar writes its record within two seconds of the store's return; one
  // that is still missing then is gone.
  static constexpr std::chrono::milliseconds kWriteTime{2000};

  std::map<request::Endpoint, version::UpstreamRecord> stored_;
  std::map<request::Endpoint, Told> told_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_RECORD_BOOK_H_
