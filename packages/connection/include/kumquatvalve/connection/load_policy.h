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

/// The load decisions of a sidecar for one service; see docs/load.md. An
/// `AdmissionPolicy`.
///
/// A first packet is admitted when the own upstream has a free slot and none
/// waits before it. Otherwise it is held for a short time, then passed to the
/// peer with the largest share of free slots. When no peer has any, it stays
/// held until a slot is free here or there, and is refused when that takes too
/// long or is expected to.
class LoadPolicy {
 public:
  using Duration = TimePoint::duration;

  struct Settings {
    /// Longest time a first packet is held. Callers repeat a SYN after 1 s and
    /// 3 s (RFC 6298); the first repetition finds the packet still held.
    Duration max_wait = std::chrono::milliseconds(2500);
    /// How long a first packet is held before it is passed, relative to the
    /// usual time between two completions of the upstream, and at most.
    double hold_share = 0.3;
    Duration max_hold = std::chrono::milliseconds(5);
    /// Most sidecars that pass a first packet on. With the way from the entry
    /// instance these are the 4 hops that a packet may take.
    uint8_t max_passes = 3;
    /// Most first packets held at once.
    size_t max_held = 128;
    WorkTracker::Settings tracker;
    EffectiveLimit::Settings limit;
    RetryBudget::Settings retry;
    LoadView::Settings view;
  };

  /// Totals since the start.
  struct Counters {
    uint64_t accepted = 0;
    /// Of `accepted`: admitted beyond the limit to fill a slot during the
    /// handshake of the next flow.
    uint64_t accepted_ahead = 0;
    uint64_t held = 0;
    uint64_t passed = 0;
    uint64_t refused_wait = 0;
    uint64_t refused_retry = 0;
    uint64_t refused_draining = 0;
  };

  /// @param slots announced slots, until a table names them.
  LoadPolicy(request::ServiceId service, request::InstanceId self,
             uint32_t slots)
      : LoadPolicy(service, self, slots, Settings()) {}
  LoadPolicy(request::ServiceId service, request::InstanceId self,
             uint32_t slots, const Settings& settings);

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
  /// First packets held now.
  size_t held() const { return held_.size(); }
  bool draining() const { return draining_; }

 private:
  size_t HeldPosition(const request::FlowKey& flow) const;
  void ForgetHeld(size_t position);
  /// Usual time between two completions when all slots work.
  Duration CompletionInterval() const;
  /// Slots that stand idle for handshakes and last acknowledgments while first
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
  /// In the order of arrival.
  std::vector<request::FlowKey> held_;
  bool draining_ = false;
  Counters counters_;
};

static_assert(AdmissionPolicy<LoadPolicy>);

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_LOAD_POLICY_H_
