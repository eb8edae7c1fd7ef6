#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "deployments.h"
#include "event_queue.h"
#include "kumquatvalve/version/config_store.h"
#include "measure.h"

namespace kumquatvalve::bench {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using version::ConfigEntry;
using version::ConfigStore;

// Entry instances of a deployment. The sidecars, one per upstream, follow the
// store as well.
constexpr size_t kEntryInstances = 8;

constexpr size_t kPathsPerService = 4;
constexpr size_t kRelaysPerZone = 2;

// Baseline: applies every update, as a process that ignores versions would.
class LastUpdateWinsStore {
 public:
  void Apply(const std::string& path, const ConfigEntry& entry) {
    entries_[path] = entry;
  }
  uint64_t VersionOf(const std::string& path) const {
    const auto it = entries_.find(path);
    return it == entries_.end() ? 0 : it->second.version.value;
  }

 private:
  std::map<std::string, ConfigEntry> entries_;
};

struct Process {
  ConfigStore store;
  LastUpdateWinsStore baseline;
};

// Simulates relays and processes that follow a store over links that delay,
// duplicate and reorder updates. Relays are replaced by ones that start from an
// older state and send a snapshot of it.
class ConfigRun {
 public:
  ConfigRun(const Deployment& deployment, uint64_t seed, uint64_t deliveries)
      : random_(seed),
        zone_delay_(deployment.zone_delay),
        remaining_deliveries_(deliveries) {
    size_t processes = kEntryInstances;
    for (const DeployedService& it : deployment.services) {
      processes += it.upstreams;
      for (size_t i = 0; i < kPathsPerService; ++i) {
        paths_.push_back("/teams/" + deployment.name + "/services/" + it.name +
                         "-" + std::to_string(i));
      }
    }
    processes_.resize(processes);
    relays_.resize(deployment.availability_zones.size() * kRelaysPerZone);
  }

  void Run() {
    queue_.ScheduleAfter(seconds(0), [this] { ChangeObject(); });
    queue_.ScheduleAfter(seconds(0), [this] { ReplaceRelay(); });
    while (remaining_deliveries_ > 0) {
      queue_.RunUntil(queue_.now() + seconds(10));
    }
    changing_ = false;
    // Longer than any delay, so that every update has arrived.
    queue_.RunUntil(queue_.now() + seconds(120));
  }

  uint64_t reverts() const { return reverts_; }
  uint64_t baseline_reverts() const { return baseline_reverts_; }

  // Processes whose final objects differ from those of the store.
  uint64_t DifferingProcesses() const {
    return static_cast<uint64_t>(std::count_if(
        processes_.begin(), processes_.end(), [this](const Process& it) {
          return it.store.Digest() != stored_.Digest();
        }));
  }

 private:
  EventQueue::Duration DrawDelay() {
    std::exponential_distribution<double> jitter(1.0 / 20);
    std::uniform_int_distribution<int> percent(0, 99);
    auto delay = duration_cast<EventQueue::Duration>(
        zone_delay_ +
        duration_cast<microseconds>(
            std::chrono::duration<double, std::milli>(jitter(random_))));
    // One in twenty is delayed further, as by a paused process or a cut link.
    if (percent(random_) < 5) {
      delay += milliseconds(percent(random_) * 300);
    }
    return delay;
  }

  bool DrawOneIn(int n) {
    return std::uniform_int_distribution<int>(0, n - 1)(random_) == 0;
  }

  void ChangeObject() {
    if (!changing_) {
      return;
    }
    const std::string& path = paths_[random_() % paths_.size()];
    const request::TableVersion version{++revision_};
    ConfigEntry entry{version, "settings of " + std::to_string(revision_),
                      DrawOneIn(8)};
    if (entry.deleted) {
      entry.body.clear();
      stored_.Delete(path, version);
    } else {
      stored_.Apply(path, version, entry.body);
    }
    for (size_t relay = 0; relay < relays_.size(); ++relay) {
      DeliverLate(
          [this, relay, path, entry] { ApplyAtRelay(relay, path, entry); });
    }
    queue_.ScheduleAfter(milliseconds(50), [this] { ChangeObject(); });
  }

  // Delivers an update after a delay; one in ten is delivered twice.
  void DeliverLate(const std::function<void()>& call) {
    queue_.ScheduleAfter(DrawDelay(), call);
    if (DrawOneIn(10)) {
      queue_.ScheduleAfter(DrawDelay(), call);
    }
  }

  void ApplyAtRelay(size_t relay, const std::string& path,
                    const ConfigEntry& entry) {
    ApplyEntry(&relays_[relay], path, entry);
    // Every process has sessions with two relays.
    for (size_t i = 0; i < processes_.size(); ++i) {
      if (i % relays_.size() == relay || (i + 1) % relays_.size() == relay) {
        DeliverLate([this, i, path, entry] { ApplyAtProcess(i, path, entry); });
      }
    }
  }

  // Replaces a relay by one that starts from another relay's state, and sends
  // that to its members as a snapshot.
  void ReplaceRelay() {
    if (!changing_) {
      return;
    }
    const size_t relay = random_() % relays_.size();
    relays_[relay] = relays_[random_() % relays_.size()];
    // A snapshot does not contain deletions.
    std::map<std::string, ConfigEntry> objects;
    for (const auto& [path, entry] : relays_[relay].entries()) {
      if (!entry.deleted) {
        objects[path] = entry;
      }
    }
    for (size_t i = 0; i < processes_.size(); ++i) {
      if (i % relays_.size() == relay) {
        for (const auto& [path, entry] : objects) {
          DeliverLate([this, i, path = path, entry = entry] {
            ApplyAtProcess(i, path, entry);
          });
        }
      }
    }
    queue_.ScheduleAfter(seconds(1), [this] { ReplaceRelay(); });
  }

  static void ApplyEntry(ConfigStore* store, const std::string& path,
                         const ConfigEntry& entry) {
    if (entry.deleted) {
      store->Delete(path, entry.version);
    } else {
      store->Apply(path, entry.version, entry.body);
    }
  }

  void ApplyAtProcess(size_t index, const std::string& path,
                      const ConfigEntry& entry) {
    Process& process = processes_[index];
    const uint64_t before = process.store.VersionOf(path).value;
    ApplyEntry(&process.store, path, entry);
    reverts_ += process.store.VersionOf(path).value < before ? 1 : 0;

    const uint64_t baseline_before = process.baseline.VersionOf(path);
    process.baseline.Apply(path, entry);
    baseline_reverts_ +=
        process.baseline.VersionOf(path) < baseline_before ? 1 : 0;
    remaining_deliveries_ -= remaining_deliveries_ > 0 ? 1 : 0;
  }

  EventQueue queue_;
  std::mt19937_64 random_;
  std::chrono::microseconds zone_delay_;
  uint64_t remaining_deliveries_;
  bool changing_ = true;
  uint64_t revision_ = 0;
  std::vector<std::string> paths_;
  ConfigStore stored_;
  std::vector<ConfigStore> relays_;
  std::vector<Process> processes_;
  uint64_t reverts_ = 0;
  uint64_t baseline_reverts_ = 0;
};

// Counts updates that replaced a newer version at a process, and processes
// whose final objects differ from the store's. `flows` is the number of updates
// to deliver.
MeasureResult ConfigReverts(const MeasureOptions& options) {
  ConfigRun run(options.deployment, options.seed, options.flows);
  run.Run();
  MeasureResult result;
  result.value = static_cast<double>(run.reverts() + run.DifferingProcesses());
  result.bound = 0;
  result.unit = "reverts";
  result.baselines["last_update_wins"] =
      static_cast<double>(run.baseline_reverts());
  return result;
}

}  // namespace
}  // namespace kumquatvalve::bench

int main(int argc, char** argv) {
  return kumquatvalve::bench::RunMeasures(
      {{"config-reverts", kumquatvalve::bench::ConfigReverts}}, argc, argv);
}
