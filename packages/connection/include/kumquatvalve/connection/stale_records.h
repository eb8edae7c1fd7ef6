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

/// Finds upstream records whose machines are gone for good: nothing in the
/// store expires, and a machine that lost power removes no record. A record
/// that is removed by mistake is written again by its sidecar.
class StaleRecords {
 public:
  /// @param seed spreads the entry instances, so that mostly one of them
  /// removes
  ///   a record.
  explicit StaleRecords(uint64_t seed);

  /// The records to remove now, each at most once. Nothing of a service of
  /// which more than a third is silent: then this instance may be cut off.
  std::vector<version::UpstreamRecord> Find(const UpstreamSet& upstreams,
                                            TimePoint now);

 private:
  std::chrono::milliseconds after_;
  /// Start of the upstream whose record was removed, by sidecar.
  std::map<request::Endpoint, uint64_t> removed_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_STALE_RECORDS_H_
