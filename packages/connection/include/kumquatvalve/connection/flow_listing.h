#ifndef KUMQUATVALVE_CONNECTION_FLOW_LISTING_H_
#define KUMQUATVALVE_CONNECTION_FLOW_LISTING_H_

#include <absl/container/flat_hash_set.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/hop_message.h"

namespace kumquatvalve::connection {

/// Collects the lists of all flows that sidecars send on request. One round of
/// queries serves any number of searches: after a power failure, or when the
/// routers move all flows to other entry instances, a query for each flow to
/// each sidecar would saturate the link of a small instance.
class FlowListing {
 public:
  /// What the list of a sidecar says about a flow.
  enum class Result {
    /// The reply, or a part of it, is missing.
    kNoReply,
    /// The sidecar holds a flow with this fingerprint, which may be another
    /// flow.
    kMayHold,
    kNotHeld,
    /// The flow is not in the list, but the sidecar started later than its
    /// upstream and may not know all flows.
    kInconclusive,
    /// The same, but it knows all flows except for those of the first few
    /// seconds after the upstream's start.
    kInconclusiveForFirstFlows,
  };

  /// Starts a round; replies to earlier rounds are ignored.
  /// @param awaited sidecars whose replies complete the round.
  void StartRound(std::vector<request::Endpoint> awaited, TimePoint now);

  /// One part of a sidecar's reply. Parts of other rounds and parts with an
  /// invalid number are ignored.
  void OnReplyPart(const request::Endpoint& sidecar,
                   const request::FlowList& list,
                   std::span<const uint32_t> fingerprints);

  /// Drops the reply of the sidecar to the last round.
  void Forget(const request::Endpoint& sidecar) { replies_.erase(sidecar); }

  bool running() const { return running_; }
  uint32_t round() const { return round_; }
  TimePoint started_at() const { return started_at_; }

  /// Whether the round is over: every awaited sidecar has sent all parts of its
  /// reply, or the round has lasted for `kRoundTimeout`.
  bool IsRoundOver(TimePoint now) const;

  /// Ends the round; its replies stay available to `ResultFor`.
  void EndRound() { running_ = false; }

  /// Whether the sidecar has sent all parts of its reply in the last round.
  bool HasReply(const request::Endpoint& sidecar) const;

  /// What the sidecar's list in the last round says about a flow.
  /// @param fingerprint `FlowFingerprint` of the flow.
  Result ResultFor(const request::Endpoint& sidecar,
                   uint32_t fingerprint) const;

  static constexpr std::chrono::milliseconds kRoundTimeout{100};

 private:
  struct Reply {
    uint16_t parts = 0;
    bool may_miss_flows = false;
    bool missed_only_first_flows = false;
    std::vector<bool> received;
    absl::flat_hash_set<uint32_t> fingerprints;

    bool IsComplete() const { return parts != 0 && parts == ReceivedParts(); }
    size_t ReceivedParts() const;
  };

  bool running_ = false;
  uint32_t round_ = 0;
  TimePoint started_at_;
  std::vector<request::Endpoint> awaited_;
  std::map<request::Endpoint, Reply> replies_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_FLOW_LISTING_H_
