#ifndef KUMQUATVALVE_PROCESS_NODE_METRICS_H_
#define KUMQUATVALVE_PROCESS_NODE_METRICS_H_

#include <prometheus/collectable.h>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "kumquatvalve/connection/placement_subset.h"
#include "kumquatvalve/connection/zone_evacuation.h"
#include "kumquatvalve/process/decision_log.h"

namespace kumquatvalve::process {

/// Metrics of an entry instance or sidecar that is controlled through the
/// store. Thread-safe.
class NodeMetrics : public prometheus::Collectable {
 public:
  /// `decisions` must outlive this object.
  explicit NodeMetrics(const DecisionLog* decisions);

  /// Records the end of a store call other than a long poll.
  /// @param method HTTP method.
  /// @param answered whether a response arrived.
  void OnStoreCall(std::string_view method, std::chrono::microseconds elapsed,
                   bool answered);

  /// Records the placement of a new flow.
  /// @param expected_wait time that the flow is expected to wait for a slot.
  /// @param report_age age of the load report that the decision used.
  void OnPlacement(std::chrono::microseconds expected_wait,
                   std::chrono::milliseconds report_age);
  /// Counts how the candidates of an offer were limited.
  void OnSubset(connection::SubsetUse use) {
    subset_uses_[static_cast<size_t>(use)]->Increment();
  }

  /// Counts an object of the store or of a peer, or a part of one, that was
  /// left out since it cannot be read.
  void OnUnreadable() { unreadable_->Increment(); }
  /// Counts an exception that a thread or an HTTP handler caught.
  void OnUnexpectedError() { unexpected_errors_->Increment(); }

  /// Records a change of the evacuated zones.
  /// @param zones number of zones that are evacuated now.
  void OnEvacuationChange(const connection::EvacuationChange& change,
                          size_t zones);
  /// Counts a flow that was refused because of evacuated zones.
  void OnEvacuationRefusal() { evacuation_refusals_->Increment(); }

  void SetFlows(size_t n) { flows_->Set(static_cast<double>(n)); }
  void SetInProgress(size_t n) { in_progress_->Set(static_cast<double>(n)); }
  void SetWarmUpLimiting(bool limiting) {
    warm_up_limiting_->Set(limiting ? 1 : 0);
  }
  void SetRouteRevision(uint64_t n) {
    route_revision_->Set(static_cast<double>(n));
  }
  void SetStoreEra(uint64_t n) { store_era_->Set(static_cast<double>(n)); }
  /// Counts a configuration or an upstream record of a new era of the store
  /// that is held back, see `connection/store_era.h`.
  void OnHeldBack() { held_back_->Increment(); }
  void SetUpstreams(size_t n) { upstreams_->Set(static_cast<double>(n)); }

  std::vector<prometheus::MetricFamily> Collect() const override;

 private:
  const DecisionLog* decisions_;
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Histogram>* store_calls_;
  prometheus::Histogram* expected_wait_;
  prometheus::Histogram* report_age_;
  std::array<prometheus::Counter*, connection::kSubsetUses> subset_uses_;
  prometheus::Counter* unreadable_;
  prometheus::Counter* unexpected_errors_;
  prometheus::Counter* evacuations_begun_;
  prometheus::Counter* evacuations_ended_;
  prometheus::Counter* evacuation_refusals_;
  prometheus::Gauge* evacuated_zones_;
  prometheus::Gauge* flows_;
  prometheus::Gauge* in_progress_;
  prometheus::Gauge* warm_up_limiting_;
  prometheus::Gauge* route_revision_;
  prometheus::Gauge* upstreams_;
  prometheus::Gauge* store_era_;
  prometheus::Counter* held_back_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_NODE_METRICS_H_
