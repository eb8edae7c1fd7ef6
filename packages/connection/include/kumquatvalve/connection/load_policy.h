#ifndef KUMQUATVALVE_CONNECTION_LOAD_POLICY_H_
#define KUMQUATVALVE_CONNECTION_LOAD_POLICY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/connection/effective_limit.h"
#include "kumquatvalve/connection/load_view.h"
#include "kumquatvalve/connection/retry_budget.h"
#include "kumquatvalve/connection/work_tracker.h"

namespace kumquatvalve::connection {

/// The `AdmissionPolicy` that balances load by free slots; see docs/load.md.
///
/// A first packet is admitted when the own upstream has a free slot and no
/// other packet waits for it. Otherwise it is held for a short time, then
/// passed to the peer with the largest share of free slots. When no peer has a
/// free slot, it stays held until a slot is free here or at a peer, and is
/// refused when that takes too long or is expected to take too long.
class LoadPolicy {
 public:
  using Duration = TimePoint::duration;

  struct Settings {
    /// How long a first packet may be held in all. Callers retransmit a SYN
    /// after 1 s and 3 s (RFC 6298); at the first retransmission the packet is
    /// still held.
    Duration max_wait = std::chrono::milliseconds(2500);
    /// How long a first packet is held before it is passed to a peer: this
    /// share of the usual interval between two completions, but at most
    /// `max_hold`.
    double hold_share = 0.3;
    Duration max_hold = std::chrono::milliseconds(5);
    /// How many sidecars may pass a first packet on. Together with the hop from
    /// the entry instance these are the 4 hops that a packet may take.
    uint8_t max_passes = 3;
    /// How many first packets may be held at once.
    size_t max_held = 128;
    WorkTracker::Settings tracker;
    EffectiveLimit::Settings limit;
    RetryBudget::Settings retry;
    LoadView::Settings view;
  };

  /// Totals since the start.
  struct Counters {
    uint64_t accepted = 0;
    /// Part of `accepted`: flows admitted beyond the limit, so that no slot is
    /// idle during the handshake of the next flow.
    uint64_t accepted_ahead = 0;
    uint64_t held = 0;
    /// First packets passed to a peer.
    uint64_t passed = 0;
    /// Refused after or because of too long a wait for a slot.
    uint64_t refused_wait = 0;
    /// Refused as a retry beyond the retry budget.
    uint64_t refused_retry = 0;
    uint64_t refused_draining = 0;
  };

  /// @param slots the upstream's slots, used until a table sets them.
  LoadPolicy(request::ServiceId service, request::InstanceId self,
             uint32_t slots)
      : LoadPolicy(service, self, slots, Settings()) {}
  LoadPolicy(request::ServiceId service, request::InstanceId self,
             uint32_t slots, const Settings& settings);

  /// The functions that `AdmissionPolicy` requires.
  Admission FirstPacket(const AdmissionRequest& request, TimePoint now);
  void OnRequest(const request::FlowKey& flow, TimePoint now);
  void OnResponseSegment(const request::FlowKey& flow, bool pushed,
                         TimePoint now);
  void OnResponseComplete(const request::FlowKey& flow, TimePoint now);
  void OnUpstreamRejected(const request::FlowKey& flow, TimePoint now);
  void OnFlowEnd(const request::FlowKey& flow, TimePoint now);
  void OnLoadReport(request::InstanceId from, const LoadReport& report,
                    TimePoint now);
  void OnPeerRemoved(request::InstanceId from, TimePoint now);
  void OnTable(const version::ForwardingTable& table, TimePoint now);
  void StartDrain(TimePoint now);
  void EndDrain(TimePoint now);
  std::vector<AddressedReport> MakeReports(TimePoint now);

  const Counters& counters() const { return counters_; }
  const WorkTracker& tracker() const { return tracker_; }
  const EffectiveLimit& limit() const { return limit_; }
  const LoadView& view() const { return view_; }
  /// Number of first packets held now.
  size_t held() const { return held_.size(); }
  bool draining() const { return draining_; }

 private:
  /// Position in `held_`, or its size when the flow is not held.
  size_t HeldPosition(const request::FlowKey& flow) const;
  void RemoveHeld(size_t position);
  /// Expected interval between two completions when all slots are in use.
  Duration CompletionInterval() const;
  /// Slots that are idle during handshakes and last acknowledgments while first
  /// packets wait, rounded up.
  uint32_t SlotsInTransit() const;
  Admission Accept(size_t position, const AdmissionRequest& request,
                   TimePoint now);
  Admission Refuse(size_t position, const AdmissionRequest& request,
                   uint64_t* counter, TimePoint now);

  request::ServiceId service_;
  Settings settings_;
  WorkTracker tracker_;
  EffectiveLimit limit_;
  RetryBudget retry_;
  LoadView view_;
  /// Flows whose first packet is held, in the order of arrival.
  std::vector<request::FlowKey> held_;
  bool draining_ = false;
  Counters counters_;
};

static_assert(AdmissionPolicy<LoadPolicy>);

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_LOAD_POLICY_H_
