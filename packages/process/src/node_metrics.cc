#include "kumquatvalve/process/node_metrics.h"

#include <utility>

namespace kumquatvalve::process {
namespace {

using Seconds = std::chrono::duration<double>;

// Upper bounds in seconds: from one network round trip to the longest request
// timeout.
const prometheus::Histogram::BucketBoundaries kLatencyBuckets = {
    0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3};

prometheus::Counter* AddCounter(prometheus::Registry* registry,
                                const char* name, const char* help) {
  return &prometheus::BuildCounter()
              .Name(name)
              .Help(help)
              .Register(*registry)
              .Add({});
}

prometheus::Gauge* AddGauge(prometheus::Registry* registry, const char* name,
                            const char* help) {
  return &prometheus::BuildGauge()
              .Name(name)
              .Help(help)
              .Register(*registry)
              .Add({});
}

prometheus::Histogram* AddHistogram(prometheus::Registry* registry,
                                    const char* name, const char* help) {
  return &prometheus::BuildHistogram()
              .Name(name)
              .Help(help)
              .Register(*registry)
              .Add({}, kLatencyBuckets);
}

std::array<prometheus::Counter*, connection::kSubsetUses> AddSubsetCounters(
    prometheus::Registry* registry) {
  auto& family =
      prometheus::BuildCounter()
          .Name("kumquatvalve_placement_subset_total")
          .Help("Offers of new flows by use of their preferred upstreams.")
          .Register(*registry);
  std::array<prometheus::Counter*, connection::kSubsetUses> counters{};
  for (size_t i = 0; i < counters.size(); ++i) {
    const auto use = static_cast<connection::SubsetUse>(i);
    counters[i] = &family.Add({{"use", std::string(Name(use))}});
  }
  return counters;
}

template <typename V, size_t kCount, typename F>
prometheus::MetricFamily DecisionFamily(const char* name, const char* help,
                                        const F& count) {
  prometheus::MetricFamily family;
  family.name = name;
  family.help = help;
  family.type = prometheus::MetricType::Counter;
  for (size_t i = 0; i < kCount; ++i) {
    const auto verdict = static_cast<V>(i);
    prometheus::ClientMetric metric;
    metric.label.push_back({"verdict", std::string(Name(verdict))});
    metric.counter.value = static_cast<double>(count(verdict));
    family.metric.push_back(std::move(metric));
  }
  return family;
}

}  // namespace

NodeMetrics::NodeMetrics(const DecisionLog* decisions)
    : decisions_(decisions),
      store_calls_(&prometheus::BuildHistogram()
                        .Name("kumquatvalve_store_call_duration_seconds")
                        .Help("Time of store calls but for waiting watches.")
                        .Register(registry_)),
      expected_wait_(AddHistogram(
          &registry_, "kumquatvalve_placement_expected_wait_seconds",
          "Time that a placed flow is expected to wait for a slot.")),
      report_age_(AddHistogram(&registry_,
                               "kumquatvalve_placement_report_age_seconds",
                               "Age of the load report of a placement.")),
      subset_uses_(AddSubsetCounters(&registry_)),
      unreadable_(AddCounter(&registry_, "kumquatvalve_unreadable_total",
                             "Objects, or parts of one, that cannot be read.")),
      unexpected_errors_(
          AddCounter(&registry_, "kumquatvalve_unexpected_errors_total",
                     "Exceptions that threads and HTTP handlers caught.")),
      evacuations_begun_(
          AddCounter(&registry_, "kumquatvalve_evacuations_begun_total",
                     "Evacuations of zones that were put in force.")),
      evacuations_ended_(
          AddCounter(&registry_, "kumquatvalve_evacuations_ended_total",
                     "Evacuations of zones that are no longer in force.")),
      evacuation_refusals_(
          AddCounter(&registry_, "kumquatvalve_evacuation_refusals_total",
                     "Flows refused since the only upstreams left for them are "
                     "in evacuated zones.")),
      evacuated_zones_(AddGauge(&registry_, "kumquatvalve_evacuated_zones",
                                "Zones that are evacuated.")),
      flows_(AddGauge(&registry_, "kumquatvalve_flows",
                      "Flows that the process remembers.")),
      in_progress_(AddGauge(&registry_, "kumquatvalve_requests_in_progress",
                            "Requests whose answer has not begun.")),
      warm_up_limiting_(
          AddGauge(&registry_, "kumquatvalve_warm_up_limited",
                   "1 while first packets to a cold upstream are limited.")),
      route_revision_(AddGauge(&registry_, "kumquatvalve_route_revision",
                               "Store revision of the routes in force.")),
      upstreams_(AddGauge(&registry_, "kumquatvalve_upstreams",
                          "Upstream records in force.")),
      store_era_(AddGauge(&registry_, "kumquatvalve_store_era",
                          "Highest era of the store that was seen.")),
      held_back_(AddCounter(
          &registry_, "kumquatvalve_store_era_held_back_total",
          "Configurations and records of a new era that were held back.")) {}

void NodeMetrics::OnStoreCall(std::string_view method,
                              std::chrono::microseconds elapsed,
                              bool answered) {
  store_calls_
      ->Add({{"method", std::string(method)},
             {"outcome", answered ? "answered" : "failed"}},
            kLatencyBuckets)
      .Observe(Seconds(elapsed).count());
}

void NodeMetrics::OnPlacement(std::chrono::microseconds expected_wait,
                              std::chrono::milliseconds report_age) {
  expected_wait_->Observe(Seconds(expected_wait).count());
  report_age_->Observe(Seconds(report_age).count());
}

void NodeMetrics::OnEvacuationChange(const connection::EvacuationChange& change,
                                     size_t zones) {
  evacuations_begun_->Increment(static_cast<double>(change.evacuated.size()));
  evacuations_ended_->Increment(static_cast<double>(change.ended.size()));
  evacuated_zones_->Set(static_cast<double>(zones));
}

std::vector<prometheus::MetricFamily> NodeMetrics::Collect() const {
  std::vector<prometheus::MetricFamily> families = registry_.Collect();
  families.push_back(
      DecisionFamily<connection::EntryVerdict, connection::kEntryVerdicts>(
          "kumquatvalve_entry_decisions_total",
          "Decisions of an entry instance about flows.",
          [this](auto it) { return decisions_->EntryCount(it); }));
  families.push_back(
      DecisionFamily<connection::GateVerdict, connection::kGateVerdicts>(
          "kumquatvalve_sidecar_decisions_total",
          "Decisions of a sidecar about flows.",
          [this](auto it) { return decisions_->GateCount(it); }));
  return families;
}

}  // namespace kumquatvalve::process
