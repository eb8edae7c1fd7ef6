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

/// Left out at the start of a run while slots fill up.
constexpr std::chrono::seconds kWarmUp(30);
constexpr std::chrono::seconds kWindow(10);
/// Work in progress is averaged over 5 minutes, or the whole of a shorter run.
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

double SteadyDemand(Duration /*at*/) { return kSteadyUse; }

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

/// Busiest over mean of the work in progress of `alive` upstreams and their
/// zones, from means over `group` windows, averaged over the groups.
Imbalance ImbalanceOf(const TrialSettings& settings, const TrialResult& result,
                      size_t first_window, size_t group,
                      const std::vector<bool>& alive) {
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

TrialSettings SettingsOf(const MeasureOptions& options,
                         const DeployedService& service, Spread spread) {
  TrialSettings settings;
  settings.deployment = options.deployment;
  settings.service = service;
  settings.spread = spread;
  return settings;
}

/// Sets `figure` to the worse of its value and `value`.
void Worsen(double* figure, double value, bool lower_is_better) {
  if (*figure == 0 || (lower_is_better ? value > *figure : value < *figure)) {
    *figure = value;
  }
}

/// Runs the policy and all baselines with the same arrivals for each service.
/// `figure` reads the compared figure from a run; the worst service counts.
template <typename Figure>
void Compare(const MeasureOptions& options, Demand demand,
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
    Worsen(&result->value, run(Spread::kPolicy), result->lower_is_better);
    for (const NamedSpread& it : kBaselines) {
      Worsen(&result->baselines[it.name], run(it.spread),
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
  Compare(options, SteadyDemand, SteadySettings(), &result,
          [&](const TrialSettings& settings, const TrialResult& trial) {
            const std::vector<bool> alive(settings.service.upstreams, true);
            return ImbalanceOf(settings, trial, kWarmUp / kWindow,
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

/// All figures are divided by that of the shared queue of the same service.
MeasureResult ShortWait(const MeasureOptions& options) {
  MeasureResult result;
  result.bound = 1.5;
  result.unit = "p99 / p99 of a shared queue";
  for (const DeployedService& service : options.deployment.services) {
    const auto arrivals =
        DrawArrivals(service, SteadyDemand, options.flows, options.seed);
    const auto run = [&](Spread spread) {
      const TrialSettings settings = SettingsOf(options, service, spread);
      return RunTrial(settings, arrivals);
    };
    const double shared =
        Percentile(run(Spread::kSharedQueue).short_waits, 0.99);
    const TrialResult policy = run(Spread::kPolicy);
    const double value = Percentile(policy.short_waits, 0.99);
    Worsen(&result.value, value / shared, true);
    for (const NamedSpread& it : kBaselines) {
      if (it.spread != Spread::kSharedQueue) {
        Worsen(&result.baselines[it.name],
               Percentile(run(it.spread).short_waits, 0.99) / shared, true);
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

/// 70% for 40 s, up fourfold within 2 s, 18 s there, back within 2 s, and 40 s
/// to see a second dip.
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
  return kSteadyUse * (1 + 3 * rise);
}

TrialSettings PeakSettings() {
  TrialSettings settings;
  settings.attempts = 4;
  settings.patience = std::chrono::seconds(3);
  settings.window = std::chrono::seconds(1);
  return settings;
}

/// Mean use of the slots by work whose caller still waited, for each second of
/// the cycle over all cycles.
std::vector<double> UsefulBySecond(const TrialSettings& settings,
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
  Compare(options, PeakDemand, PeakSettings(), &result,
          [](const TrialSettings& settings, const TrialResult& trial) {
            const auto useful = UsefulBySecond(settings, trial);
            const auto begin = useful.begin();
            return std::accumulate(begin + static_cast<int>(kRiseEnd),
                                   begin + static_cast<int>(kFallStart), 0.0) /
                   (kFallStart - kRiseEnd);
          });
  return result;
}

/// Lowest second after the peak, over the use before it.
MeasureResult PeakSecondDip(const MeasureOptions& options) {
  MeasureResult result;
  result.bound = 0.95;
  result.unit = "lowest 5 s after the peak / use before it";
  result.lower_is_better = false;
  Compare(options, PeakDemand, PeakSettings(), &result,
          [](const TrialSettings& settings, const TrialResult& trial) {
            const auto useful = UsefulBySecond(settings, trial);
            const auto mean = [&](size_t first, size_t n) {
              return std::accumulate(
                         useful.begin() + static_cast<ptrdiff_t>(first),
                         useful.begin() + static_cast<ptrdiff_t>(first + n),
                         0.0) /
                     static_cast<double>(n);
            };
            double lowest = 1;
            for (auto i = static_cast<size_t>(kFallEnd);
                 i + 5 < static_cast<size_t>(kPeakCycle); ++i) {
              lowest = std::min(lowest, mean(i, 5));
            }
            return lowest / kSteadyUse;
          });
  return result;
}

/// Packets of a flow from its caller: 2 of the handshake, 2 of the request, 10
/// acknowledgments of a response of 20 segments, 2 at its end.
constexpr double kCallerPackets = 16;
/// Callers whose system echoes TCP timestamps.
constexpr double kEchoShare = 0.9;

/// Share of packets with a second hop when `echo` of the callers echo the
/// holder hint: of a flow placed away from its owner, only the first packet
/// takes it; without the hint, all do.
double SecondHopShare(const TrialResult& trial, double echo) {
  const double passes =
      static_cast<double>(trial.passes) / static_cast<double>(trial.started);
  const double away = static_cast<double>(trial.placed_away) /
                      static_cast<double>(trial.started);
  return (passes + (1 - echo) * away * (kCallerPackets - 1)) / kCallerPackets;
}

MeasureResult SecondHop(const MeasureOptions& options) {
  MeasureResult result;
  result.bound = 0.10;
  result.unit = "share of caller packets, 90% of callers echo the hint";
  for (const DeployedService& service : options.deployment.services) {
    const auto arrivals =
        DrawArrivals(service, SteadyDemand, options.flows, options.seed);
    const TrialResult trial =
        RunTrial(SettingsOf(options, service, Spread::kPolicy), arrivals);
    Worsen(&result.value, SecondHopShare(trial, kEchoShare), true);
    for (const int echo : {100, 90, 70, 0}) {
      Worsen(&result.baselines["echo_" + std::to_string(echo)],
             SecondHopShare(trial, echo / 100.0), true);
    }
    Worsen(&result.baselines["placed_away"],
           static_cast<double>(trial.placed_away) /
               static_cast<double>(trial.started),
           true);
    Worsen(&result.baselines["report_bytes_per_second"],
           trial.report_bytes_per_second, true);
  }
  return result;
}

/// The first zone is lost after 20 s; survivors are compared over 30 s after
/// its death was detected. Each run draws other arrivals.
MeasureResult ZoneLoss(const MeasureOptions& options) {
  constexpr std::chrono::seconds kLossAt(20);
  constexpr size_t kFirstWindow = 3;
  constexpr size_t kWindows = 3;
  MeasureResult result;
  result.bound = 1.15;
  result.unit = "busiest / mean of the survivors";
  for (const DeployedService& service : options.deployment.services) {
    const auto flows_in_run =
        static_cast<uint64_t>(60 * kFlowsPerUpstream * service.upstreams);
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
        TrialSettings settings = SettingsOf(options, service, spread);
        settings.window = kWindow;
        settings.attempts = 4;
        settings.patience = std::chrono::seconds(3);
        settings.zone_loss_at = kLossAt;
        sums[spread] += ImbalanceOf(settings, RunTrial(settings, arrivals),
                                    kFirstWindow, kWindows, alive)
                            .upstream /
                        static_cast<double>(runs);
      };
      run(Spread::kPolicy);
      for (const NamedSpread& it : kBaselines) {
        run(it.spread);
      }
    }
    Worsen(&result.value, sums[Spread::kPolicy], true);
    for (const NamedSpread& it : kBaselines) {
      Worsen(&result.baselines[it.name], sums[it.spread], true);
    }
  }
  return result;
}

/// One sidecar whose upstream is always in demand and refuses what is beyond
/// its real capacity: all slots at first, half of them in the second third of
/// the flows, all in the last.
class StepTrial {
 public:
  StepTrial(uint32_t slots, uint64_t flows, uint64_t seed)
      : slots_(slots), flows_(flows), random_(seed), policy_({1}, {1}, slots) {}

  void Run() {
    Offer();
    while (!events_.empty() && completed_ + refused_ < flows_) {
      events_.RunUntil(events_.now() + std::chrono::milliseconds(10));
    }
  }

  /// Largest distance of the limit from the capacity in slots, once
  /// `kSettled` completions passed after a step.
  double amplitude() const { return amplitude_; }
  /// Completions until the limit is within one slot of the capacity.
  const std::vector<double>& settled() const { return settled_; }
  double refused_share() const {
    return static_cast<double>(refused_) /
           static_cast<double>(completed_ + refused_);
  }

 private:
  static constexpr uint64_t kSettled = 1000;

  request::FlowKey Key(uint64_t flow) const {
    request::FlowKey key;
    for (size_t i = 0; i < 8; ++i) {
      key.caller.address[8 + i] = static_cast<uint8_t>(flow >> (8 * i));
    }
    return key;
  }

  size_t Step() const {
    return std::min<size_t>(2, (completed_ + refused_) * 3 / flows_);
  }
  uint32_t Capacity() const { return Step() == 1 ? slots_ / 2 : slots_; }

  void Offer() {
    while (true) {
      const uint64_t flow = next_;
      const auto admission =
          policy_.FirstPacket({Key(flow), 0, events_.now()}, events_.now());
      if (admission.kind != connection::Admission::Kind::kAccept) {
        policy_.OnFlowEnd(Key(flow), events_.now());
        return;
      }
      ++next_;
      events_.ScheduleAfter(std::chrono::milliseconds(6),
                            [this, flow] { Begin(flow); });
    }
  }

  void Begin(uint64_t flow) {
    policy_.OnRequest(Key(flow), events_.now());
    if (working_ >= Capacity()) {
      ++refused_;
      policy_.OnUpstreamRefused(Key(flow), events_.now());
    } else {
      ++working_;
      const bool is_long = uniform_(random_) < kLongShare;
      const double work_s =
          exponential_(random_) * 0.065 * (is_long ? kLongFactor : 1);
      events_.ScheduleAfter(std::chrono::duration_cast<Duration>(
                                std::chrono::duration<double>(work_s)),
                            [this, flow] {
                              --working_;
                              ++completed_;
                              policy_.OnAnswerComplete(Key(flow),
                                                       events_.now());
                              Observe();
                              Offer();
                            });
    }
    Observe();
    Offer();
  }

  void Observe() {
    if (Step() != step_) {
      step_ = Step();
      step_began_ = completed_;
    }
    const double distance =
        std::abs(static_cast<double>(policy_.limit().limit()) -
                 static_cast<double>(Capacity()));
    const uint64_t since = completed_ - step_began_;
    if (distance <= 1 && settled_.size() == step_) {
      settled_.push_back(static_cast<double>(since));
    }
    if (since >= kSettled) {
      amplitude_ = std::max(amplitude_, distance);
    }
  }

  EventQueue events_;
  uint32_t slots_;
  uint64_t flows_;
  std::mt19937_64 random_;
  std::exponential_distribution<double> exponential_{1};
  std::uniform_real_distribution<double> uniform_{0, 1};
  connection::LoadPolicy policy_;
  uint64_t next_ = 0;
  uint32_t working_ = 0;
  uint64_t completed_ = 0;
  uint64_t refused_ = 0;
  size_t step_ = 0;
  uint64_t step_began_ = 0;
  double amplitude_ = 0;
  std::vector<double> settled_;
};

/// "No oscillation": once settled, the limit stays within one slot of what the
/// upstream can do, which is what a probe needs.
MeasureResult StepResponse(const MeasureOptions& options) {
  MeasureResult result;
  result.bound = 1;
  result.unit = "slots from the capacity once settled";
  for (const DeployedService& service : options.deployment.services) {
    StepTrial trial(service.slots, options.flows, options.seed);
    trial.Run();
    if (trial.settled().size() < 3) {
      throw std::runtime_error("the limit did not settle after a step");
    }
    Worsen(&result.value, trial.amplitude(), true);
    Worsen(&result.baselines["join_completions"], trial.settled()[0], true);
    Worsen(&result.baselines["halved_completions"], trial.settled()[1], true);
    Worsen(&result.baselines["restored_completions"], trial.settled()[2], true);
    Worsen(&result.baselines["refused_share"], trial.refused_share(), true);
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
