#ifndef KUMQUATVALVE_CONNECTION_PLACEMENT_H_
#define KUMQUATVALVE_CONNECTION_PLACEMENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace kumquatvalve::connection {

/// Assumed service time while no upstream of a service has measured one: the
/// mean work of a short request.
inline constexpr std::chrono::microseconds kDefaultServiceTime{30000};

/// An upstream that a new flow may be placed at.
struct PlacementCandidate {
  /// Requests that it processes concurrently; at least 1.
  double slots = 1;
  /// Requests in progress or expected, including those of flows placed since
  /// its last load report.
  double in_progress = 0;
  double open_flows = 0;
  /// Mean processing time of one request, without the wait for a slot; 0 when
  /// it was not measured yet.
  std::chrono::microseconds service_time{0};
  bool same_zone = true;
};

/// Costs and limits of a placement.
struct PlacementSettings {
  /// Cost of another availability zone as latency: a flow is placed there only
  /// when that saves more than this time.
  std::chrono::microseconds zone_cost{0};
  /// A flow is not placed when the expected wait exceeds this time.
  std::chrono::microseconds max_expected_wait{std::chrono::hours(1)};
};

struct Placement {
  /// Index of the chosen candidate. Empty without candidates, or when the
  /// expected wait of the one with the least cost exceeds `max_expected_wait`.
  std::optional<size_t> chosen;
  /// Expected wait for a slot at the candidate with the least cost.
  std::chrono::microseconds expected_wait{0};
  /// Whether that candidate is known to be slower than its peers.
  bool slow = false;
};

/// The time that a new request is expected to wait for a free slot.
std::chrono::microseconds ExpectedWait(const PlacementCandidate& candidate);

/// Chooses the upstream at which a new flow is expected to get its response
/// first. The cost accounts for load peaks that fill one zone before the
/// others, for upstreams that are several times slower than their peers, and
/// for open flows that accumulate at the upstreams that have run longest.
/// Upstreams without a measured service time count as the median of their
/// peers, so that new ones get flows at once.
/// @param random breaks ties, so that entry instances with the same load data
///   spread their flows.
Placement ChooseUpstream(std::span<const PlacementCandidate> candidates,
                         const PlacementSettings& settings, uint64_t random);

/// As above, but chooses among the candidates with the indexes `members` only.
/// The others count as peers for the median service time.
Placement ChooseUpstream(std::span<const PlacementCandidate> candidates,
                         std::span<const size_t> members,
                         const PlacementSettings& settings, uint64_t random);

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_PLACEMENT_H_
