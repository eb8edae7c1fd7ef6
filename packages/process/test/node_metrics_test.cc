#include "kumquatvalve/process/node_metrics.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "kumquatvalve/process/metrics.h"

namespace kumquatvalve::process {
namespace {

TEST_CASE(
    "node_metrics: decisions, store calls and gauges are served as text") {
  const Logger logger("e-1", LogFormat::kJson, LogLevel::kError);
  DecisionLog log(&logger);
  connection::EntryDecision decision;
  decision.verdict = connection::EntryVerdict::kOverloaded;
  log.LogEntryDecision(decision, std::chrono::steady_clock::now());
  const auto metrics = std::make_shared<NodeMetrics>(&log);
  metrics->OnStoreCall("GET", std::chrono::milliseconds(5), true);
  metrics->OnPlacement(std::chrono::milliseconds(20),
                       std::chrono::milliseconds(70));
  metrics->OnSubset(connection::SubsetUse::kLeft);
  metrics->SetFlows(17);
  metrics->OnEvacuationChange({{request::AvailabilityZone("a")}, {}}, 1);
  metrics->OnEvacuationRefusal();
  const std::string text = SerializeMetrics({metrics});
  const std::string call =
      "kumquatvalve_store_call_duration_seconds_bucket{method=\"GET\","
      "outcome=\"answered\",le=\"0.01\"} 1";
  for (const std::string& it : {
           std::string(
               "kumquatvalve_entry_decisions_total{verdict=\"overloaded\"} 1"),
           std::string(
               "kumquatvalve_sidecar_decisions_total{verdict=\"lost\"} 0"),
           call,
           std::string("kumquatvalve_placement_report_age_seconds_bucket{le="
                       "\"0.1\"} 1"),
           std::string("kumquatvalve_placement_subset_total{use=\"left\"} 1"),
           std::string("kumquatvalve_placement_subset_total{use=\"kept\"} 0"),
           std::string("kumquatvalve_flows 17"),
           std::string("kumquatvalve_evacuations_begun_total 1"),
           std::string("kumquatvalve_evacuated_zones 1"),
           std::string("kumquatvalve_evacuation_refusals_total 1"),
       }) {
    INFO(it << " in\n" << text);
    CHECK(text.find(it) != std::string::npos);
  }
}

}  // namespace
}  // namespace kumquatvalve::process
