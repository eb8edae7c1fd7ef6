#include <algorithm>
#include <map>
#include <string>

#include "measure.h"
#include "placement_fleet.h"

namespace kumquatvalve::bench {
namespace {

using connection::ChooseFromSubset;
using connection::ChooseUpstream;
using connection::PlacementFleet;
using connection::SubsetPlacement;
using connection::SubsetUse;

constexpr double kBound = 1.3;
// Shorter runs have too few flows for a mean of each upstream.
constexpr double kMinSeconds = 14;
constexpr double kSlowShare = 0.2;
constexpr size_t kFailing = 2;

// The rule before subsets: all candidates count for each offer.
SubsetPlacement ChooseAmongAll(
    const request::FlowKey& /*flow*/,
    std::span<const request::Endpoint> /*sidecars*/,
    std::span<const connection::PlacementCandidate> candidates,
    size_t /*earlier_offers*/, const connection::PlacementSettings& settings,
    uint64_t random) {
  return {ChooseUpstream(candidates, settings, random), SubsetUse::kNone};
}

SubsetPlacement ChooseAmongPreferred(
    const request::FlowKey& flow, std::span<const request::Endpoint> sidecars,
    std::span<const connection::PlacementCandidate> candidates,
    size_t earlier_offers, const connection::PlacementSettings& settings,
    uint64_t random) {
  return ChooseFromSubset(flow, sidecars, candidates, earlier_offers, settings,
                          random);
}

// Sets the figures of a run, the worst of all fleets.
void AddFigures(const std::string& rule, const PlacementFleet::Result& run,
                std::map<std::string, double>* figures) {
  const auto highest = [&](const char* name, double value) {
    double& figure = (*figures)[rule + "_" + name];
    figure = std::max(figure, value);
  };
  const auto lowest = [&](const char* name, double value) {
    const auto it = figures->emplace(rule + "_" + name, value).first;
    it->second = std::min(it->second, value);
  };
  highest("busiest_in_second", run.busiest_in_second);
  highest("mean_wait_ms", run.mean_wait_ms);
  highest("p99_wait_ms", run.p99_wait_ms);
  highest("refused", static_cast<double>(run.refused));
  highest("offers_per_flow", run.offers_per_flow);
  highest("other_zone_share", run.other_zone_share);
  highest("reports_per_s", run.reports_per_s);
  lowest("in_first_4", run.in_first_4);
  lowest("in_first_12", run.in_first_12);
}

// Work in progress of the busiest upstream over the mean, at 70% utilization,
// of the worst of fleets that differ in entry instances, upstreams and ages of
// load reports.
MeasureResult Imbalance(const MeasureOptions& options, double slow_share,
                        size_t failing) {
  MeasureResult result;
  result.bound = kBound;
  result.unit = "busiest / mean";
  for (const size_t entries : {22, 91}) {
    for (const size_t upstreams : {58, 204}) {
      for (const double interval_ms : {100, 1000}) {
        PlacementFleet::Shape shape{.entries = entries,
                                    .upstreams = upstreams,
                                    .report_interval_ms = interval_ms,
                                    .slow_share = slow_share,
                                    .failing = failing};
        const double flows_per_s = 2 * static_cast<double>(upstreams) *
                                   shape.utilization / shape.mean_work_ms *
                                   1000;
        const double seconds = std::max(
            kMinSeconds, static_cast<double>(options.flows) / flows_per_s);
        const auto subset =
            PlacementFleet(shape, ChooseAmongPreferred, options.seed)
                .Run(seconds);
        // Before subsets, the report with a returned flow did not count.
        shape.return_reports_count = false;
        const auto all =
            PlacementFleet(shape, ChooseAmongAll, options.seed).Run(seconds);
        result.value = std::max(result.value, subset.busiest_over_mean);
        double& baseline = result.baselines["all"];
        baseline = std::max(baseline, all.busiest_over_mean);
        AddFigures("subset", subset, &result.baselines);
        AddFigures("all", all, &result.baselines);
      }
    }
  }
  return result;
}

MeasureResult OldViews(const MeasureOptions& options) {
  return Imbalance(options, 0, 0);
}

MeasureResult OldViewsSlow(const MeasureOptions& options) {
  return Imbalance(options, kSlowShare, kFailing);
}

}  // namespace

int ProvePlacement(int argc, char** argv) {
  return RunMeasures({{"imbalance-old-views", OldViews},
                      {"imbalance-old-views-slow", OldViewsSlow}},
                     argc, argv);
}

}  // namespace kumquatvalve::bench

int main(int argc, char** argv) {
  return kumquatvalve::bench::ProvePlacement(argc, argv);
}
