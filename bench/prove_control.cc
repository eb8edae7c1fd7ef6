#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "control_fleet.h"
#include "measure.h"

namespace kumquatvalve::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Targets of docs/design.md, section 1.
constexpr double kTargetEntries = 500;
constexpr double kTargetSidecars = 4700;
constexpr double kTargetMembers = kTargetEntries + kTargetSidecars;
constexpr double kMaxStoreCallsPerSecond = 2000;
constexpr double kMaxBytesPerSecond = 23000;
constexpr double kTargetZones = 5;
constexpr double kTableChangesPerDay = 2400;
constexpr double kSecondsPerDay = 86400;
// Size of an encoded table of 512 rows and 5 upstreams, with its message.
constexpr double kTableBytes = 4000;

void PopulateFleet(ControlFleet& fleet, const Deployment& deployment,
                   size_t members) {
  const auto& zones = deployment.availability_zones;
  // About a tenth are entry instances, as at the target size, but at least two
  // in each zone if possible, so that each member has two relays.
  const size_t entries =
      std::max(std::min(members, 2 * zones.size()), members / 10);
  for (size_t i = 0; i < members; ++i) {
    const std::string& zone = zones[i % zones.size()];
    if (i < entries) {
      fleet.AddProcess(control::ROLE_ENTRY, zone, "");
    } else {
      const size_t service = (i - entries) / 5;
      fleet.AddProcess(control::ROLE_SIDECAR, zone,
                       "service-" + std::to_string(service));
    }
  }
  for (size_t i = 0; i * 5 < members - std::min(members, entries); ++i) {
    fleet.StoreService("service-" + std::to_string(i), 4);
  }
}

// Adds two entry instances in each zone and the deployment's sidecars.
void PopulateDeployment(ControlFleet& fleet, const Deployment& deployment,
                        const process::ControlNodeSettings& settings = {}) {
  const auto& zones = deployment.availability_zones;
  for (size_t i = 0; i < 2 * zones.size(); ++i) {
    fleet.AddProcess(control::ROLE_ENTRY, zones[i % zones.size()], "",
                     settings);
  }
  for (const DeployedService& service : deployment.services) {
    for (uint32_t i = 0; i < service.upstreams; ++i) {
      fleet.AddProcess(control::ROLE_SIDECAR, zones[i % zones.size()],
                       service.name, settings);
    }
    fleet.StoreService(service.name, service.slots);
  }
}

double MillisecondsUntil(ControlFleet& fleet,
                         const std::function<bool()>& condition,
                         seconds max_wait) {
  const auto start = fleet.now();
  while (!condition()) {
    if (fleet.now() - start > max_wait) {
      return std::numeric_limits<double>::max();
    }
    fleet.Run(milliseconds(5));
  }
  return std::chrono::duration<double, std::milli>(fleet.now() - start).count();
}

MeasureResult ConfigInForce(const MeasureOptions& options) {
  MeasureResult result{0, 5000, "ms", {}, true};
  for (const std::string name : {"healthy", "slow", "answer-lost"}) {
    ControlFleet fleet(options.deployment.zone_delay, options.seed);
    PopulateDeployment(fleet, options.deployment);
    const std::string& service = options.deployment.services[0].name;
    fleet.Run(seconds(40));
    if (name == "slow") {
      fleet.store().delay = milliseconds(500);
      fleet.Run(seconds(5));
    } else if (name == "answer-lost") {
      fleet.store().lost_responses = 3;
    }
    double worst = 0;
    for (uint32_t i = 0; i < 5; ++i) {
      const uint64_t version = fleet.StoreService(service, 10 + i);
      worst = std::max(
          worst, MillisecondsUntil(
                     fleet, [&] { return fleet.IsInForce(service, version); },
                     seconds(60)));
      fleet.Run(seconds(3));
    }
    result.baselines[name] = worst;
    result.value = std::max(result.value, worst);
  }
  return result;
}

// Bytes, processor seconds and store calls per second. `mean` and `max` are
// over the processes of the fleet; `calls` is the sum of all.
struct FleetCost {
  double members = 0;
  /// Sessions of the process that sent and received the most bytes.
  double sessions = 0;
  double mean_bytes = 0;
  double max_bytes = 0;
  /// Highest bytes per second of a process with the table changes of the
  /// target added, which are too rare for a run of half a minute: a process
  /// receives each change twice and sends it to each entry instance that it
  /// serves.
  double max_bytes_with_changes = 0;
  double mean_cpu = 0;
  double max_cpu = 0;
  double calls = 0;
  double idle_calls = 0;
};

FleetCost MeasureFleet(const MeasureOptions& options, ControlFleet& fleet) {
  constexpr double kSeconds = 30;
  const size_t members = fleet.processes().size();
  fleet.Run(seconds(60));
  fleet.store().calls = 0;
  for (auto& it : fleet.processes()) {
    it->bytes = 0;
    it->cpu_seconds = 0;
  }
  fleet.Run(seconds(static_cast<int>(kSeconds)));
  FleetCost point;
  point.members = static_cast<double>(members);
  point.calls = static_cast<double>(fleet.store().calls) / kSeconds;
  for (const auto& it : fleet.processes()) {
    const double bytes = static_cast<double>(it->bytes) / kSeconds;
    const double cpu = it->cpu_seconds / kSeconds;
    point.mean_bytes += bytes / point.members;
    point.mean_cpu += cpu / point.members;
    const double receivers =
        static_cast<double>(it->node->relay().served_entries()) + 2;
    point.max_bytes_with_changes = std::max(
        point.max_bytes_with_changes,
        bytes + receivers * kTableBytes * kTableChangesPerDay / kSecondsPerDay);
    if (bytes > point.max_bytes) {
      point.max_bytes = bytes;
      point.sessions = static_cast<double>(it->node->relay().served());
    }
    point.max_cpu = std::max(point.max_cpu, cpu);
  }
  if (const char* path = std::getenv("KUMQUATVALVE_POINTS")) {
    nlohmann::ordered_json line;
    line["deployment"] = options.deployment.name;
    line["seed"] = options.seed;
    line["members"] = members;
    line["bytes_per_second"] = point.mean_bytes;
    line["most_bytes_per_second"] = point.max_bytes;
    line["sessions"] = point.sessions;
    line["cpu"] = point.mean_cpu;
    line["most_cpu"] = point.max_cpu;
    line["calls_per_second"] = point.calls;
    std::ofstream(path, std::ios::app) << line.dump() << "\n";
  }
  return point;
}

FleetCost MeasureFleetOfSize(const MeasureOptions& options, size_t members) {
  ControlFleet fleet(options.deployment.zone_delay, options.seed);
  PopulateFleet(fleet, options.deployment, members);
  return MeasureFleet(options, fleet);
}

// Measures one availability zone of the target's size (one of five) with two
// entry instances in each of four other zones. The relays and watchers of the
// large zone then have as many sessions as at the target.
FleetCost MeasureTargetZone(const MeasureOptions& options) {
  ControlFleet fleet(options.deployment.zone_delay, options.seed);
  for (int i = 0; i < 8; ++i) {
    fleet.AddProcess(control::ROLE_ENTRY, "zone-" + std::to_string(1 + i % 4),
                     "");
  }
  for (int i = 0; i < static_cast<int>(kTargetEntries / kTargetZones); ++i) {
    fleet.AddProcess(control::ROLE_ENTRY, "zone-0", "");
  }
  for (int i = 0; i < static_cast<int>(kTargetSidecars / kTargetZones); ++i) {
    fleet.AddProcess(control::ROLE_SIDECAR, "zone-0",
                     "service-" + std::to_string(i / 5));
  }
  return MeasureFleet(options, fleet);
}

std::vector<FleetCost> MeasureFleetSizes(const MeasureOptions& options) {
  std::vector<FleetCost> points;
  for (const size_t members : {4, 8, 16, 32, 64}) {
    points.push_back(MeasureFleetOfSize(options, members));
  }
  return points;
}

struct FittedLine {
  double slope = 0;
  double intercept = 0;
};

// Least-squares fit.
FittedLine FitLine(const std::vector<std::pair<double, double>>& points) {
  double x = 0;
  double y = 0;
  double xx = 0;
  double xy = 0;
  const auto n = static_cast<double>(points.size());
  for (const auto& [px, py] : points) {
    x += px / n;
    y += py / n;
    xx += px * px / n;
    xy += px * py / n;
  }
  const double variance = xx - x * x;
  const double slope = variance == 0 ? 0 : (xy - x * y) / variance;
  return {slope, y - slope * x};
}

MeasureResult StoreCalls(const MeasureOptions& options) {
  std::vector<std::pair<double, double>> points;
  for (const FleetCost& it : MeasureFleetSizes(options)) {
    points.emplace_back(it.members, it.calls);
  }
  const FittedLine line = FitLine(points);
  MeasureResult result{line.intercept + line.slope * kTargetMembers,
                       kMaxStoreCallsPerSecond,
                       "calls/s",
                       {},
                       true};
  result.baselines["slope"] = line.slope;
  result.baselines["intercept"] = line.intercept;
  result.baselines["every member polls"] = kTargetMembers;
  return result;
}

// Bytes per second of the busiest process in a zone of the target's size.
MeasureResult ControlCost(const MeasureOptions& options) {
  MeasureResult result{0, kMaxBytesPerSecond, "bytes/s", {}, true};
  std::vector<std::pair<double, double>> points;
  for (const FleetCost& it : MeasureFleetSizes(options)) {
    points.emplace_back(it.members, it.mean_bytes);
    result
        .baselines["mean at " + std::to_string(static_cast<int>(it.members))] =
        it.mean_bytes;
  }
  const FittedLine line = FitLine(points);
  const FleetCost zone = MeasureTargetZone(options);
  result.value = zone.max_bytes_with_changes;
  result.baselines["without table changes"] = zone.max_bytes;
  result.baselines["mean of the target zone"] = zone.mean_bytes;
  result.baselines["mean by the fit at the target"] =
      line.intercept + line.slope * kTargetMembers;
  return result;
}

MeasureResult ControlCpu(const MeasureOptions& options) {
  std::vector<std::pair<double, double>> points;
  for (const FleetCost& it : MeasureFleetSizes(options)) {
    points.emplace_back(it.members, it.max_cpu);
  }
  const FleetCost zone = MeasureTargetZone(options);
  points.emplace_back(zone.members, zone.max_cpu);
  const FittedLine line = FitLine(points);
  MeasureResult result{line.intercept + line.slope * kTargetMembers,
                       0.02,
                       "share of a core",
                       {},
                       true};
  result.baselines["busiest of the target zone"] = zone.max_cpu;
  result.baselines["slope"] = line.slope;
  result.baselines["intercept"] = line.intercept;
  return result;
}

MeasureResult MassSuspicion(const MeasureOptions& options) {
  MeasureResult result{0, 0, "evictions", {}, true};
  for (const bool hold : {true, false}) {
    ControlFleet fleet(options.deployment.zone_delay, options.seed);
    process::ControlNodeSettings settings;
    settings.membership.hold_mass_eviction = hold;
    PopulateDeployment(fleet, options.deployment, settings);
    fleet.Run(seconds(40));
    for (const DeployedService& service : options.deployment.services) {
      size_t sidecars_to_kill = service.upstreams / 3 + 1;
      for (auto& it : fleet.processes()) {
        if (sidecars_to_kill > 0 &&
            it->node->membership().self().announcement().service() ==
                service.name) {
          it->running = false;
          --sidecars_to_kill;
        }
      }
    }
    fleet.Run(seconds(30));
    if (hold) {
      result.value = static_cast<double>(fleet.evictions());
    } else {
      result.baselines["without the hold"] =
          static_cast<double>(fleet.evictions());
    }
  }
  return result;
}

MeasureResult RecoveryTime(const MeasureOptions& options) {
  MeasureResult result{0, 3000, "ms", {}, true};
  for (int round = 0; round < 5; ++round) {
    ControlFleet fleet(options.deployment.zone_delay, options.seed + round);
    PopulateDeployment(fleet, options.deployment);
    fleet.Run(seconds(30) + milliseconds(97 * round));
    auto& victim = *fleet.processes().back();
    victim.running = false;
    result.value = std::max(
        result.value,
        MillisecondsUntil(
            fleet,
            [&] {
              return std::all_of(
                  fleet.processes().begin(), fleet.processes().end(),
                  [&](const auto& it) {
                    const auto& membership = it->node->membership();
                    return membership.self().role() != control::ROLE_ENTRY ||
                           membership.State(victim.name) ==
                               control::MEMBER_STATE_DEAD;
                  });
            },
            seconds(60)));
  }
  return result;
}

// Pauses each process for longer than its lease. When it resumes, it must not
// act as owner or writer before a new heartbeat is acknowledged. In the
// baseline, processes without a lease act in every case.
MeasureResult PausedLease(const MeasureOptions& options) {
  MeasureResult result{0, 0, "messages", {}, true};
  ControlFleet fleet(options.deployment.zone_delay, options.seed);
  PopulateDeployment(fleet, options.deployment);
  fleet.Run(seconds(40));
  const size_t count = fleet.processes().size();
  double without_lease = 0;
  for (size_t i = 0; i < count; ++i) {
    ControlFleet::Process& process = *fleet.processes()[i];
    fleet.Pause(process);
    fleet.Run(seconds(4));
    // At the moment of resumption, acknowledgments of earlier heartbeats are
    // still unread.
    const bool lease_valid = process.node->lease().Valid(fleet.now());
    const process::StoreWrite write{
        process::StoreWrite::Kind::kUpdate, "/tables/1", {}, ""};
    const bool may_write = process.node->MaySend(write, fleet.now()) &&
                           process.node->lease().Valid(fleet.now());
    result.value += (lease_valid ? 1 : 0) + (may_write ? 1 : 0);
    without_lease += 1;
    fleet.Resume(process);
    fleet.Run(seconds(6));
  }
  result.baselines["without a lease"] = without_lease;
  return result;
}

}  // namespace
}  // namespace kumquatvalve::bench

int main(int argc, char** argv) {
  return kumquatvalve::bench::RunMeasures(
      {{"config-in-force", kumquatvalve::bench::ConfigInForce},
       {"control-cost", kumquatvalve::bench::ControlCost},
       {"control-cpu", kumquatvalve::bench::ControlCpu},
       {"mass-suspicion", kumquatvalve::bench::MassSuspicion},
       {"paused-lease", kumquatvalve::bench::PausedLease},
       {"recovery-time", kumquatvalve::bench::RecoveryTime},
       {"store-calls", kumquatvalve::bench::StoreCalls}},
      argc, argv);
}
