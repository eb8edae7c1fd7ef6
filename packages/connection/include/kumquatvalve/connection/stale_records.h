#ifndef KUMQUATVALVE_CONNECTION_STALE_RECORDS_H_
#define KUMQUATVALVE_CONNECTION_STALE_RECORDS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/connection/upstream_set.h"
#include "kumquatvalve/version/route_map.h"

namespace kumquatvalve::connection {

/// Finds upstream records of dead machines: nothing in the store expires, and a
/// machine that lost power cannot remove its record. A record that is removed
/// by mistake is written again by its sidecar.
class StaleRecords {
 public:
  /// @param seed derives the jitter of the removal delay, so that usually only
  ///   one entry instance removes a record.
  explicit StaleRecords(uint64_t seed);

  /// Returns the records to remove now, each one only once per start.
  /// Returns no record of a service when more than a third of its sidecars are
  /// presumed dead, since this instance may be cut off then.
  std::vector<version::UpstreamRecord> FindStale(const UpstreamSet& upstreams,
                                                 TimePoint now);

 private:
  std::chrono::milliseconds stale_after_;
  /// The last record that was removed, by sidecar.
  std::map<request::Endpoint, version::UpstreamRecord> removed_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_STALE_RECORDS_H_
