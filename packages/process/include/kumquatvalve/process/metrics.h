#ifndef KUMQUATVALVE_PROCESS_METRICS_H_
#define KUMQUATVALVE_PROCESS_METRICS_H_

#include <prometheus/collectable.h>
#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kumquatvalve/process/traffic_counters.h"

namespace kumquatvalve::process {

/// Converts the counters of the traffic threads into metric families at each
/// scrape. The traffic threads only touch counters of their own, which keeps
/// shared memory out of the packet path.
class TrafficCollector : public prometheus::Collectable {
 public:
  using ReadSums = std::function<TrafficSums()>;

  /// @param read_sums called at each scrape on the status server's thread.
  explicit TrafficCollector(ReadSums read_sums)
      : read_sums_(std::move(read_sums)) {}

  std::vector<prometheus::MetricFamily> Collect() const override;

 private:
  ReadSums read_sums_;
};

/// Returns the metrics in the text format of Prometheus.
std::string SerializeMetrics(
    const std::vector<std::shared_ptr<prometheus::Collectable>>& collectables);

/// Resident memory of this process in bytes, from /proc/self/statm.
size_t ResidentBytes();

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_METRICS_H_
