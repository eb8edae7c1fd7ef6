#ifndef KUMQUATVALVE_CONNECTION_FLOW_SEARCH_H_
#define KUMQUATVALVE_CONNECTION_FLOW_SEARCH_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/request/endpoint.h"

namespace kumquatvalve::connection {

/// The search for the holder of one flow: among the sidecars of the services
/// that its address is known to be routed to and, when none of them holds the
/// flow, among all others. Keeps packets of the flow until the holder is found.
class FlowSearch {
 public:
  /// Whether an upstream may get a packet of the flow to find out whether it
  /// holds it.
  enum class Probing {
    kAllowed,
    /// The upstream is not known to be of a service of the flow's address, so
    /// only its sidecar can say that it holds the flow.
    kForbidden,
  };

  /// Which flows a sidecar with an inconclusive reply may not know.
  enum class Missed {
    kAny,
    /// Only flows of the first few seconds after its upstream's start. An
    /// upstream of another service can hold one of them only if the route
    /// changed within these seconds, so the reply is certain enough there.
    kFirstFlows,
  };

  enum class Step {
    /// Replies are pending.
    kWait,
    /// No sidecar knows the flow, but some replies are inconclusive because the
    /// sidecar started later than its upstream. These upstreams have to be
    /// probed: see `TakeSidecarsToProbe`.
    kProbe,
    /// No sidecar holds the flow: each one replied so or is presumed dead, and
    /// at most half of them are presumed dead.
    kNotHeld,
  };

  /// Whether a sidecar is presumed dead, in which case the search does not wait
  /// for its reply.
  using IsPresumedDead = std::function<bool(const request::Endpoint& sidecar)>;

  explicit FlowSearch(TimePoint started_at)
      : started_at_(started_at), last_query_at_(started_at) {}

  /// Keeps a copy of a packet of the flow, unless `max_packets` are kept
  /// already.
  void KeepPacket(std::span<const std::byte> packet, size_t max_packets);

  /// A query was sent to the sidecar at `now`. It may repeat an earlier one
  /// whose datagram was lost; `probing` of the first one stays in force.
  void MarkQueried(const request::Endpoint& sidecar, TimePoint now,
                   Probing probing = Probing::kAllowed);

  /// The upstream of a queried sidecar is known to be of a service of the
  /// flow's address now, and may be probed.
  void AllowProbing(const request::Endpoint& sidecar);

  /// From now on the sidecars of all services are queried.
  void Widen() { widened_ = true; }
  bool widened() const { return widened_; }

  /// Drops the query to the sidecar and its reply, as if it was not queried.
  void Forget(const request::Endpoint& sidecar) { queries_.erase(sidecar); }

  /// The sidecar replied that its upstream does not hold the flow.
  void OnNotHeld(const request::Endpoint& sidecar);
  /// The sidecar replied that it cannot know whether its upstream holds the
  /// flow. When the upstream must not be probed, it counts as one that does not
  /// hold the flow, see `HasUncertainReply`.
  void OnInconclusive(const request::Endpoint& sidecar,
                      Missed missed = Missed::kAny);

  /// What to do next. Missing replies delay probes, and replies to probes the
  /// next batch of probes, by at most `kReplyTimeout`. Missing replies of
  /// sidecars whose upstreams must not be probed delay the result by at most
  /// `kOtherServiceTimeout`.
  Step NextStep(TimePoint now, const IsPresumedDead& is_dead) const;

  /// Chooses some of the sidecars whose replies were inconclusive.
  /// @param batch number of earlier batches of this search.
  using ProbeSelector = std::function<std::vector<request::Endpoint>(
      std::span<const request::Endpoint> inconclusive, size_t batch)>;

  /// Returns the next batch of sidecars whose replies were inconclusive and
  /// marks them as probed; their replies are pending from now on.
  std::vector<request::Endpoint> TakeSidecarsToProbe(
      TimePoint now, const ProbeSelector& select);

  /// Whether the sidecar's upstream was probed so recently that its reply may
  /// be on its way.
  bool IsProbeInFlight(const request::Endpoint& sidecar, TimePoint now) const;

  /// Whether a sidecar whose upstream must not be probed could not say that the
  /// flow is not held there: it may have missed any flow, or its reply is
  /// missing although it is not presumed dead.
  bool HasUncertainReply(const IsPresumedDead& is_dead) const;

  bool HasQueries() const { return !queries_.empty(); }
  bool WasQueried(const request::Endpoint& sidecar) const {
    return queries_.contains(sidecar);
  }
  bool RepliedNotHeld(const request::Endpoint& sidecar) const;
  /// Whether the reply to a query or a probe is pending.
  bool AwaitsReply(const request::Endpoint& sidecar) const;
  /// Whether the reply to any query or probe is pending.
  bool AwaitsAnyReply() const { return FirstWithoutReply().has_value(); }
  /// A sidecar whose reply is pending; empty when all have replied.
  std::optional<request::Endpoint> FirstWithoutReply() const;
  /// Whether the first kept packet was sent to the sidecar's upstream as a
  /// probe.
  bool WasProbed(const request::Endpoint& sidecar) const;
  TimePoint started_at() const { return started_at_; }
  /// When the last query was sent.
  TimePoint last_query_at() const { return last_query_at_; }
  const std::vector<std::vector<std::byte>>& packets() const {
    return packets_;
  }

  /// Sidecars reply within this time unless they are dead or a datagram was
  /// lost. It is shorter than the 200 ms after which a caller retransmits.
  static constexpr std::chrono::milliseconds kReplyTimeout{150};
  /// A sidecar of another service that has not replied by then is restarting or
  /// its machine is down; either way it cannot say that it holds the flow. A
  /// caller whose flow is lost must not wait for it until its own timeout.
  static constexpr std::chrono::milliseconds kOtherServiceTimeout{1500};

 private:
  enum class State {
    kQueried,
    kInconclusive,
    kProbed,
    kNotHeld,
    /// The reply was inconclusive and the upstream must not be probed.
    kUncertain,
  };

  struct Query {
    State state = State::kQueried;
    Probing probing = Probing::kAllowed;
    TimePoint first_sent_at;
    Missed missed = Missed::kAny;
    /// Empty until the upstream is probed.
    std::optional<TimePoint> probed_at = std::nullopt;
  };

  // Whether the search waits for the reply to a query or a probe.
  static bool IsAwaited(const Query& query, TimePoint now);

  TimePoint started_at_;
  TimePoint last_query_at_;
  size_t probe_batches_ = 0;
  bool widened_ = false;
  std::map<request::Endpoint, Query> queries_;
  std::vector<std::vector<std::byte>> packets_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_FLOW_SEARCH_H_
