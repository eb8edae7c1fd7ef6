#ifndef KUMQUATVALVE_BENCH_LOAD_TRIAL_H_
#define KUMQUATVALVE_BENCH_LOAD_TRIAL_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "deployments.h"
#include "event_queue.h"

namespace kumquatvalve::bench {

using Duration = EventQueue::Duration;

/// How new flows are spread over the upstreams of a service.
enum class Spread {
  /// A `connection::LoadPolicy` at the sidecar of each upstream.
  kPolicy,
  /// The owner of a flow's table row takes it.
  kHash,
  /// Round-robin by one counter that all entry instances share.
  kRoundRobin,
  /// The upstream with the fewest flows in progress, which all entry instances
  /// know without delay.
  kLeastConnections,
  /// One queue for all slots without delays: the optimum.
  kSharedQueue,
};

/// The arrival of a caller, whose flow has a single request.
struct Arrival {
  /// Time of the first connection attempt.
  Duration at{0};
  /// Time that the request occupies a slot.
  Duration work{0};
  bool is_long = false;
  /// Determines the table row and the zone of the entry instance.
  uint64_t hash = 0;
};

/// Share of the slots in use in the steady state.
inline constexpr double kSteadyUtilization = 0.7;
/// New flows per second and upstream in the steady state: 59,000 over 4,700
/// upstreams at the target size.
inline constexpr double kFlowsPerSecondPerUpstream = 59000.0 / 4700;
/// Work times are exponentially distributed; those of one flow in 20 are 50
/// times as long as the others.
inline constexpr double kLongFlowShare = 0.05;
inline constexpr double kLongWorkFactor = 50;

/// Mean work time of a flow in seconds that leads to `kSteadyUtilization`: 0.22
/// s with 4 slots, where the mean of short work is 65 ms.
double MeanWorkSeconds(const DeployedService& service);

/// The demand on a service at a time, as a share of the capacity of its slots.
using Demand = double (*)(Duration at);

/// Draws `flows` arrivals of a Poisson process whose rate follows `demand`.
std::vector<Arrival> DrawArrivals(const DeployedService& service, Demand demand,
                                  uint64_t flows, uint64_t seed);

struct TrialSettings {
  Deployment deployment;
  DeployedService service;
  Spread spread = Spread::kPolicy;
  /// Maximum number of connection attempts of a caller that is refused or gives
  /// up, including the first.
  int attempts = 1;
  /// A caller gives an attempt up when its work has not started within this
  /// time. The upstream does not notice and does the work nevertheless.
  Duration max_wait = std::chrono::hours(1);
  /// Length of the averaging windows of `TrialResult`.
  Duration window = std::chrono::seconds(10);
  /// All upstreams of the first zone fail at this time.
  std::optional<Duration> zone_loss_at;
};

struct TrialResult {
  /// By window and upstream: mean number of requests that are queued or in
  /// progress there.
  std::vector<std::vector<double>> in_progress;
  /// By window: mean number of slots with work whose caller had not given up.
  std::vector<double> useful_slots;
  /// Seconds that each short request waited in addition to the handshake: held
  /// by sidecars, passed on and queued at the upstream.
  std::vector<double> short_waits;
  uint64_t started = 0;
  uint64_t finished = 0;
  uint64_t refused = 0;
  uint64_t given_up = 0;
  /// Connection attempts.
  uint64_t attempts = 0;
  /// First packets that a sidecar passed on to another.
  uint64_t passed_packets = 0;
  /// Flows that started at an upstream other than the owner of their row.
  uint64_t placed_away = 0;
  /// Bytes of load reports per second from the sidecar that sent the most.
  double report_bytes_per_second = 0;
  /// Highest number of slots in use over all sidecars, as counted by the
  /// policy.
  uint32_t leaked_slots = 0;
};

/// Index of the availability zone of an upstream.
inline size_t ZoneOf(const Deployment& deployment, size_t upstream) {
  return upstream % deployment.availability_zones.size();
}

/// Simulates the arrivals with the settings' way of spreading flows.
TrialResult RunTrial(const TrialSettings& settings,
                     const std::vector<Arrival>& arrivals);

}  // namespace kumquatvalve::bench

#endif  // KUMQUATVALVE_BENCH_LOAD_TRIAL_H_
