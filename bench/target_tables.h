#ifndef KUMQUATVALVE_BENCH_TARGET_TABLES_H_
#define KUMQUATVALVE_BENCH_TARGET_TABLES_H_

#include <cstdint>
#include <vector>

#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/version/forwarding_table.h"
#include "kumquatvalve/version/service_table.h"

namespace kumquatvalve::bench {

/// The forwarding tables of an entry instance for a number of services, with
/// the upstreams spread evenly over the services and five availability zones.
class TargetTables {
 public:
  TargetTables(uint32_t services, uint32_t upstreams);

  /// Toggles the drain of the first upstream of a service, rebuilds the
  /// service's table and replaces the snapshot.
  void ChangeService(uint32_t service, request::TableVersion version);

  const version::ServiceTable& snapshot() const { return snapshot_; }

 private:
  std::vector<std::vector<version::UpstreamEntry>> upstreams_;
  version::ServiceTable snapshot_;
};

}  // namespace kumquatvalve::bench

#endif  // KUMQUATVALVE_BENCH_TARGET_TABLES_H_
