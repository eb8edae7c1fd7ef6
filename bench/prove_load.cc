#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <random>
#include <stdexcept>
#include <string>
#include <vector>

#include "kumquatvalve/connection/load_policy.h"
#include "load_trial.h"
#include "measure.h"

namespace kumquatvalve::bench {
namespace {

/// Start of a run that is not evaluated, while the slots fill up.
constexpr std::chrono::seconds kWarmUp(30);
constexpr std::chrono::seconds kWindow(10);
/// Work in progress is averaged over 5 minutes, or over a whole shorter run.
constexpr size_t kWindowsInMean = 30;

struct NamedSpread {
  const char* name;
  Spread spread;
};
constexpr NamedSpread kBaselines[] = {
    {"hash", Spread::kHash},
    {"round_robin", Spread::kRoundRobin},
    {"least_connections", Spread::kLeastConnections},
    {"shared_queue", Spread::kSharedQueue},
};

double SteadyDemand(Duration /*at*/) { return kSteadyUtilization; }

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  const auto it =
      values.begin() +
      static_cast<ptrdiff_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), it, values.end());
  return *it;
}

struct Imbalance {
  double upstream = 0;
  double zone = 0;
};

/// Ratio of the busiest to the mean of the work in progress, for the `alive`
/// upstreams and for their zones. Computed from the means of groups of `group`
/// windows and averaged over the groups.
/// @throws std::runtime_error when the run is too short for one window.
Imbalance ComputeImbalance(const TrialSettings& settings,
                           const TrialResult& result, size_t first_window,
                           size_t group, const std::vector<bool>& alive) {
  const size_t zones = settings.deployment.availability_zones.size();
  const size_t windows = result.in_progress.size();
  if (windows <= first_window) {
    throw std::runtime_error("too few flows for one window");
  }
  group = std::min(group, windows - first_window);
  Imbalance sum;
  size_t n = 0;
  for (size_t w = first_window; w + group <= windows; w += group) {
    double total = 0;
    double upstreams = 0;
    double busiest = 0;
    std::vector<double> zone_sums(zones);
    std::vector<double> zone_sizes(zones);
    for (size_t i = 0; i < alive.size(); ++i) {
      if (!alive[i]) {
        continue;
      }
      double it = 0;
      for (size_t k = w; k < w + group; ++k) {
        it += result.in_progress[k][i];
      }
      total += it;
      upstreams += 1;
      busiest = std::max(busiest, it);
      zone_sums[ZoneOf(settings.deployment, i)] += it;
      zone_sizes[ZoneOf(settings.deployment, i)] += 1;
    }
    const double mean = total / upstreams;
    double busiest_zone = 0;
    for (size_t z = 0; z < zones; ++z) {
      if (zone_sizes[z] > 0) {
        busiest_zone = std::max(busiest_zone, zone_sums[z] / zone_sizes[z]);
      }
    }
    sum.upstream += busiest / mean;
    sum.zone += busiest_zone / mean;
    ++n;
  }
  return {sum.upstream / static_cast<double>(n),
          sum.zone / static_cast<double>(n)};
}

TrialSettings MakeTrialSettings(const MeasureOptions& options,
                                const DeployedService& service, Spread spread) {
  TrialSettings settings;
  settings.deployment = options.deployment;
  settings.service = service;
  settings.spread = spread;
  return settings;
}

/// Sets `figure` to the worse of its value and `value`; 0 means not yet set.
void UpdateWorst(double* figure, double value, bool lower_is_better) {
  if (*figure == 0 || (lower_is_better ? value > *figure : value < *figure)) {
    *figure = value;
  }
}

/// Runs the policy and all baselines with the same arrivals for each service
/// and keeps the worst service of each.
/// @param figure returns the compared figure of a run.
template <typename Figure>
void CompareSpreads(const MeasureOptions& options, Demand demand,
                    const TrialSettings& base, MeasureResult* result,
                    const Figure& figure) {
  for (const DeployedService& service : options.deployment.services) {
    const auto arrivals =
        DrawArrivals(service, demand, options.flows, options.seed);
    const auto run = [&](Spread spread) {
      TrialSettings settings = base;
      settings.deployment = options.deployment;
      settings.service = service;
      settings.spread = spread;
      return figure(settings, RunTrial(settings, arrivals));
    };
    UpdateWorst(&result->value, run(Spread::kPolicy), result->lower_is_better);
    for (const NamedSpread& it : kBaselines) {
      UpdateWorst(&result->baselines[it.name], run(it.spread),
                  result->lower_is_better);
    }
  }
}

TrialSettings SteadySettings() {
  TrialSettings settings;
  settings.window = kWindow;
  return settings;
}

MeasureResult MeasureImbalance(const MeasureOptions& options, double bound,
                               double Imbalance::*part) {
  MeasureResult result;
  result.bound = bound;
  result.unit = "busiest / mean";
  CompareSpreads(options, SteadyDemand, SteadySettings(), &result,
                 [&](const TrialSettings& settings, const TrialResult& trial) {
                   const std::vector<bool> alive(settings.service.upstreams,
                                                 true);
                   return ComputeImbalance(settings, trial, kWarmUp / kWindow,
                                           kWindowsInMean, alive).*
                          part;
                 });
  return result;
}

MeasureResult UpstreamImbalance(const MeasureOptions& options) {
  return MeasureImbalance(options, 1.15, &Imbalance::upstream);
}

MeasureResult ZoneImbalance(const MeasureOptions& options) {
  return MeasureImbalance(options, 1.05, &Imbalance::zone);
}

/// 99th percentile of the short waits, divided by that of a shared queue for
/// the same service.
MeasureResult ShortWait(const MeasureOptions& options) {
  MeasureResult result;
  result.bound = 1.5;
  result.unit = "p99 / p99 of a shared queue";
  for (const DeployedService& service : options.deployment.services) {
    const auto arrivals =
        DrawArrivals(service, SteadyDemand, options.flows, options.seed);
    const auto run = [&](Spread spread) {
      const TrialSettings settings =
          MakeTrialSettings(options, service, spread);
      return RunTrial(settings, arrivals);
    };
    const double shared =
        Percentile(run(Spread::kSharedQueue).short_waits, 0.99);
    const TrialResult policy = run(Spread::kPolicy);
    const double value = Percentile(policy.short_waits, 0.99);
    UpdateWorst(&result.value, value / shared, true);
    for (const NamedSpread& it : kBaselines) {
      if (it.spread != Spread::kSharedQueue) {
        UpdateWorst(&result.baselines[it.name],
                    Percentile(run(it.spread).short_waits, 0.99) / shared,
                    true);
      }
    }
    result.baselines[service.name + "_s"] = value;
    result.baselines[service.name + "_shared_s"] = shared;
    result.baselines[service.name + "_refused_share"] =
        static_cast<double>(policy.refused) /
        static_cast<double>(policy.attempts);
  }
  return result;
}

/// A cycle of demand, in seconds: 70% for 40 s, a fourfold rise within 2 s, 18
/// s at the peak, back within 2 s, and 40 s in which a second dip would show.
constexpr double kRiseStart = 40;
constexpr double kRiseEnd = 42;
constexpr double kFallStart = 60;
constexpr double kFallEnd = 62;
constexpr double kPeakCycle = 102;

double PeakDemand(Duration at) {
  const double s =
      std::fmod(std::chrono::duration<double>(at).count(), kPeakCycle);
  double rise = 0;
  if (s >= kRiseStart && s < kFallEnd) {
    rise = std::min({1.0, (s - kRiseStart) / (kRiseEnd - kRiseStart),
                     (kFallEnd - s) / (kFallEnd - kFallStart)});
  }
  return kSteadyUtilization * (1 + 3 * rise);
}

TrialSettings PeakSettings() {
  TrialSettings settings;
  settings.attempts = 4;
  settings.max_wait = std::chrono::seconds(3);
  settings.window = std::chrono::seconds(1);
  return settings;
}

/// Share of the slots in use by work whose caller had not given up, for each
/// second of the cycle, averaged over all cycles.
/// @throws std::runtime_error when the run is shorter than a cycle.
std::vector<double> UsefulUtilizationBySecond(const TrialSettings& settings,
                                              const TrialResult& trial) {
  const auto cycle = static_cast<size_t>(kPeakCycle);
  const size_t cycles = trial.useful_slots.size() / cycle;
  if (cycles == 0) {
    throw std::runtime_error("too few flows for one peak");
  }
  std::vector<double> means(cycle);
  for (size_t i = 0; i < cycles * cycle; ++i) {
    means[i % cycle] += trial.useful_slots[i] /
                        (settings.service.upstreams * settings.service.slots) /
                        static_cast<double>(cycles);
  }
  return means;
}

MeasureResult Peak(const MeasureOptions& options) {
  MeasureResult result;
  result.bound = 0.95;
  result.unit = "useful work / slots";
  result.lower_is_better = false;
  CompareSpreads(
      options, PeakDemand, PeakSettings(), &result,
      [](const TrialSettings& settings, const TrialResult& trial) {
        const auto useful = UsefulUtilizationBySecond(settings, trial);
        const auto begin = useful.begin();
        return std::accumulate(begin + static_cast<int>(kRiseEnd),
                               begin + static_cast<int>(kFallStart), 0.0) /
               (kFallStart - kRiseEnd);
      });
  return result;
}

/// Lowest mean of 5 s after the peak, divided by the utilization before it.
MeasureResult PeakSecondDip(const MeasureOptions& options) {
  MeasureResult result;
  result.bound = 0.95;
  result.unit = "lowest 5 s after the peak / use before it";
  result.lower_is_better = false;
  CompareSpreads(
      options, PeakDemand, PeakSettings(), &result,
      [](const TrialSettings& settings, const TrialResult& trial) {
        const auto useful = UsefulUtilizationBySecond(settings, trial);
        const auto mean = [&](size_t first, size_t n) {
          return std::accumulate(
                     useful.begin() + static_cast<ptrdiff_t>(first),
                     useful.begin() + static_cast<ptrdiff_t>(first + n), 0.0) /
                 static_cast<double>(n);
        };
        double lowest = 1;
        for (auto i = static_cast<size_t>(kFallEnd);
             i + 5 < static_cast<size_t>(kPeakCycle); ++i) {
          lowest = std::min(lowest, mean(i, 5));
        }
        return lowest / kSteadyUtilization;
      });
  return result;
}

/// Packets from the caller per flow: 2 of the handshake, 2 of the request, 10
/// acknowledgments of a response of 20 segments and 2 at the end.
constexpr double kCallerPackets = 16;
/// Share of callers whose system echoes TCP timestamps.
constexpr double kEchoShare = 0.9;

/// Share of packets with a second hop when a share `echo` of the callers echoes
/// the holder hint. Of a flow that is placed away from its owner, only the
/// first packet takes a second hop with the hint, and all packets without it.
double SecondHopShare(const TrialResult& trial, double echo) {
  const double passed_packets = static_cast<double>(trial.passed_packets) /
                                static_cast<double>(trial.started);
  const double away = static_cast<double>(trial.placed_away) /
                      static_cast<double>(trial.started);
  return (passed_packets + (1 - echo) * away * (kCallerPackets - 1)) /
         kCallerPackets;
}

MeasureResult SecondHop(const MeasureOptions& options) {
  MeasureResult result;
  result.bound = 0.10;
  result.unit = "share of caller packets, 90% of callers echo the hint";
  for (const DeployedService& service : options.deployment.services) {
    const auto arrivals =
        DrawArrivals(service, SteadyDemand, options.flows, options.seed);
    const TrialResult trial = RunTrial(
        MakeTrialSettings(options, service, Spread::kPolicy), arrivals);
    UpdateWorst(&result.value, SecondHopShare(trial, kEchoShare), true);
    for (const int echo : {100, 90, 70, 0}) {
      UpdateWorst(&result.baselines["echo_" + std::to_string(echo)],
                  SecondHopShare(trial, echo / 100.0), true);
    }
    UpdateWorst(&result.baselines["placed_away"],
                static_cast<double>(trial.placed_away) /
                    static_cast<double>(trial.started),
                true);
    UpdateWorst(&result.baselines["report_bytes_per_second"],
                trial.report_bytes_per_second, true);
  }
  return result;
}

/// Imbalance of the surviving upstreams over 30 s after the failure of the
/// first zone, which fails at 20 s, was detected. Averaged over runs with
/// different arrivals.
MeasureResult ZoneLoss(const MeasureOptions& options) {
  constexpr std::chrono::seconds kLossAt(20);
  constexpr size_t kFirstWindow = 3;
  constexpr size_t kWindows = 3;
  MeasureResult result;
  result.bound = 1.15;
  result.unit = "busiest / mean of the survivors";
  for (const DeployedService& service : options.deployment.services) {
    const auto flows_in_run = static_cast<uint64_t>(
        60 * kFlowsPerSecondPerUpstream * service.upstreams);
    const uint64_t runs = std::max<uint64_t>(1, options.flows / flows_in_run);
    std::vector<bool> alive;
    for (size_t i = 0; i < service.upstreams; ++i) {
      alive.push_back(ZoneOf(options.deployment, i) != 0);
    }
    std::map<Spread, double> sums;
    for (uint64_t n = 0; n < runs; ++n) {
      const auto arrivals = DrawArrivals(service, SteadyDemand, flows_in_run,
                                         options.seed * 1000 + n);
      const auto run = [&](Spread spread) {
        TrialSettings settings = MakeTrialSettings(options, service, spread);
        settings.window = kWindow;
        settings.attempts = 4;
        settings.max_wait = std::chrono::seconds(3);
        settings.zone_loss_at = kLossAt;
        sums[spread] += ComputeImbalance(settings, RunTrial(settings, arrivals),
                                         kFirstWindow, kWindows, alive)
                            .upstream /
                        static_cast<double>(runs);
      };
      run(Spread::kPolicy);
      for (const NamedSpread& it : kBaselines) {
        run(it.spread);
      }
    }
    UpdateWorst(&result.value, sums[Spread::kPolicy], true);
    for (const NamedSpread& it : kBaselines) {
      UpdateWorst(&result.baselines[it.name], sums[it.spread], true);
    }
  }
  return result;
}

/// Step response of one sidecar's adaptive limit under permanent demand. The
/// upstream refuses flows beyond its real capacity: all slots in the first
/// third of the flows, half of them in the second, all again in the last.
class StepTrial {
 public:
  StepTrial(uint32_t slots, uint64_t flows, uint64_t seed)
      : slots_(slots), flows_(flows), random_(seed), policy_({1}, {1}, slots) {}

  void Run() {
    OfferFlows();
    while (!events_.empty() && completed_ + refused_ < flows_) {
      events_.RunUntil(events_.now() + std::chrono::milliseconds(10));
    }
  }

  /// Largest distance of the limit from the capacity, in slots, from
  /// `kSettlingCompletions` completions after a step on.
  double max_deviation() const { return max_deviation_; }
  /// For each step: completions until the limit is within one slot of the
  /// capacity.
  const std::vector<double>& settling_completions() const {
    return settling_completions_;
  }
  double refused_share() const {
    return static_cast<double>(refused_) /
           static_cast<double>(completed_ + refused_);
  }

 private:
  static constexpr uint64_t kSettlingCompletions = 1000;

  request::FlowKey MakeFlowKey(uint64_t flow) const {
    request::FlowKey key;
    for (size_t i = 0; i < 8; ++i) {
      key.caller.address[8 + i] = static_cast<uint8_t>(flow >> (8 * i));
    }
    return key;
  }

  size_t CurrentStep() const {
    return std::min<size_t>(2, (completed_ + refused_) * 3 / flows_);
  }
  uint32_t Capacity() const { return CurrentStep() == 1 ? slots_ / 2 : slots_; }

  void OfferFlows() {
    while (true) {
      const uint64_t flow = next_flow_;
      const auto admission = policy_.FirstPacket(
          {MakeFlowKey(flow), 0, events_.now()}, events_.now());
      if (admission.kind != connection::Admission::Kind::kAccept) {
        policy_.OnFlowEnd(MakeFlowKey(flow), events_.now());
        return;
      }
      ++next_flow_;
      events_.ScheduleAfter(std::chrono::milliseconds(6),
                            [this, flow] { StartFlow(flow); });
    }
  }

  void StartFlow(uint64_t flow) {
    policy_.OnRequest(MakeFlowKey(flow), events_.now());
    if (busy_slots_ >= Capacity()) {
      ++refused_;
      policy_.OnUpstreamRejected(MakeFlowKey(flow), events_.now());
    } else {
      ++busy_slots_;
      const bool is_long = uniform_(random_) < kLongFlowShare;
      const double work_s =
          exponential_(random_) * 0.065 * (is_long ? kLongWorkFactor : 1);
      events_.ScheduleAfter(std::chrono::duration_cast<Duration>(
                                std::chrono::duration<double>(work_s)),
                            [this, flow] {
                              --busy_slots_;
                              ++completed_;
                              policy_.OnResponseComplete(MakeFlowKey(flow),
                                                         events_.now());
                              ObserveLimit();
                              OfferFlows();
                            });
    }
    ObserveLimit();
    OfferFlows();
  }

  void ObserveLimit() {
    if (CurrentStep() != step_) {
      step_ = CurrentStep();
      step_began_ = completed_;
    }
    const double distance =
        std::abs(static_cast<double>(policy_.limit().limit()) -
                 static_cast<double>(Capacity()));
    const uint64_t since = completed_ - step_began_;
    if (distance <= 1 && settling_completions_.size() == step_) {
      settling_completions_.push_back(static_cast<double>(since));
    }
    if (since >= kSettlingCompletions) {
      max_deviation_ = std::max(max_deviation_, distance);
    }
  }

  EventQueue events_;
  uint32_t slots_;
  uint64_t flows_;
  std::mt19937_64 random_;
  std::exponential_distribution<double> exponential_{1};
  std::uniform_real_distribution<double> uniform_{0, 1};
  connection::LoadPolicy policy_;
  uint64_t next_flow_ = 0;
  uint32_t busy_slots_ = 0;
  uint64_t completed_ = 0;
  uint64_t refused_ = 0;
  size_t step_ = 0;
  uint64_t step_began_ = 0;
  double max_deviation_ = 0;
  std::vector<double> settling_completions_;
};

/// Guards against oscillation: a settled limit stays within one slot of the
/// upstream's capacity, the distance that probing for more capacity needs.
MeasureResult StepResponse(const MeasureOptions& options) {
  MeasureResult result;
  result.bound = 1;
  result.unit = "slots from the capacity once settled";
  for (const DeployedService& service : options.deployment.services) {
    StepTrial trial(service.slots, options.flows, options.seed);
    trial.Run();
    if (trial.settling_completions().size() < 3) {
      throw std::runtime_error("the limit did not settle after a step");
    }
    UpdateWorst(&result.value, trial.max_deviation(), true);
    UpdateWorst(&result.baselines["join_completions"],
                trial.settling_completions()[0], true);
    UpdateWorst(&result.baselines["halved_completions"],
                trial.settling_completions()[1], true);
    UpdateWorst(&result.baselines["restored_completions"],
                trial.settling_completions()[2], true);
    UpdateWorst(&result.baselines["refused_share"], trial.refused_share(),
                true);
  }
  return result;
}

}  // namespace

int ProveLoad(int argc, char** argv) {
  return RunMeasures({{"imbalance", UpstreamImbalance},
                      {"imbalance-zone", ZoneImbalance},
                      {"short-wait", ShortWait},
                      {"peak", Peak},
                      {"peak-second-dip", PeakSecondDip},
                      {"second-hop", SecondHop},
                      {"step-response", StepResponse},
                      {"zone-loss", ZoneLoss}},
                     argc, argv);
}

}  // namespace kumquatvalve::bench

int main(int argc, char** argv) {
  return kumquatvalve::bench::ProveLoad(argc, argv);
}
