#ifndef KUMQUATVALVE_PROCESS_NODE_METRICS_H_
#define KUMQUATVALVE_PROCESS_NODE_METRICS_H_

#include <prometheus/collectable.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "kumquatvalve/process/decision_log.h"

namespace kumquatvalve::process {

/// Metrics of a process that is controlled through the store. May be used from
/// any thread.
class NodeMetrics : public prometheus::Collectable {
 public:
  /// `decisions` must outlive this object.
  explicit NodeMetrics(const DecisionLog* decisions);

  /// A store call other than a waiting watch ended.
  /// @param method of HTTP.
  void OnStoreCall(std::string_view method, std::chrono::microseconds time,
                   bool answered);

  /// A new flow was placed, on a report of this age.
  void OnPlacement(std::chrono::microseconds expected_wait,
                   std::chrono::milliseconds report_age);

  void SetFlows(size_t n) { flows_->Set(static_cast<double>(n)); }
  void SetInProgress(size_t n) { in_progress_->Set(static_cast<double>(n)); }
  void SetRouteRevision(uint64_t n) {
    route_revision_->Set(static_cast<double>(n));
  }
  void SetUpstreams(size_t n) { upstreams_->Set(static_cast<double>(n)); }

  std::vector<prometheus::MetricFamily> Collect() const override;

 private:
  const DecisionLog* decisions_;
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Histogram>* store_calls_;
  prometheus::Histogram* expected_wait_;
  prometheus::Histogram* report_age_;
  prometheus::Gauge* flows_;
  prometheus::Gauge* in_progress_;
  prometheus::Gauge* route_revision_;
  prometheus::Gauge* upstreams_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_NODE_METRICS_H_
