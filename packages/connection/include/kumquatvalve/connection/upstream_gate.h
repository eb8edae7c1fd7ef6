#ifndef KUMQUATVALVE_CONNECTION_UPSTREAM_GATE_H_
#define KUMQUATVALVE_CONNECTION_UPSTREAM_GATE_H_

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kumquatvalve/connection/address_lease.h"
#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/connection/gate_decision.h"
#include "kumquatvalve/connection/identity_tracker.h"
#include "kumquatvalve/connection/offer_decision.h"
#include "kumquatvalve/connection/placement.h"
#include "kumquatvalve/connection/responsiveness.h"
#include "kumquatvalve/connection/retry_budget.h"
#include "kumquatvalve/connection/service_time_estimate.h"
#include "kumquatvalve/connection/slot_progress.h"
#include "kumquatvalve/connection/waiting_flows.h"
#include "kumquatvalve/connection/warm_up_limit.h"
#include "kumquatvalve/request/flow_key.h"
#include "kumquatvalve/request/hop_message.h"
#include "kumquatvalve/request/packet.h"

namespace kumquatvalve::connection {

/// Admission control in the sidecar of one upstream: decides which first
/// packets the upstream gets, tracks which flows it holds, and measures and
/// reports its load. Performs no I/O and reads no clock: its decisions depend
/// only on packets, messages of entry instances, the upstream's announced
/// identity and the passed-in time (docs/platform.md). Not thread-safe.
template <GateSink S>
class UpstreamGate {
 public:
  /// @param service the service name from the settings, used until the upstream
  ///   announces its own.
  /// @param lease_duration see `LeaseDuration`.
  UpstreamGate(std::string_view service,
               std::chrono::milliseconds lease_duration, S* sink,
               WarmUpLimit warm_up = WarmUpLimit())
      : tag_(request::ServiceTagOf(service)),
        sink_(sink),
        lease_(lease_duration),
        warm_up_(warm_up) {
    load_.unresponsive = true;
  }

  UpstreamGate(const UpstreamGate&) = delete;
  UpstreamGate& operator=(const UpstreamGate&) = delete;

  /// The upstream announced its identity. Flows stay in the table when that is
  /// a new incarnation: it may have accepted some of them before its heartbeat
  /// arrived, and rejects the packets of the others. Another service removes
  /// all flows.
  void OnIdentity(const UpstreamIdentity& identity, TimePoint now) {
    if (identity.incarnation_ms != identity_.incarnation_ms &&
        identity_.incarnation_ms != 0) {
      OnNewIncarnation(/*same_service=*/identity.service == identity_.service);
    }
    identity_ = identity;
    warm_up_.OnStart(identity.incarnation_ms, now);
    tag_ = request::ServiceTagOf(identity.service);
    load_.incarnation_ms = identity.incarnation_ms;
    load_.slots = static_cast<uint16_t>(identity.slots);
    load_.draining = identity.draining;
    if (load_.draining) {
      ReturnWaiting(request::ReturnReason::kDraining);
    }
    responsiveness_.OnHeartbeat();
    UpdateReportedResponsiveness(now);
    SendReports(now);
    AdmitWaiting(now);
  }

  /// The sidecar's record was read from the store before this process wrote it.
  /// @param incarnation_ms of the upstream that an earlier process of this
  ///   sidecar recorded; 0 when there is no record.
  void OnStoredIncarnation(uint64_t incarnation_ms) {
    stored_incarnation_ms_ = incarnation_ms;
  }

  /// A heartbeat of the upstream was accepted; `OnIdentity` is called before
  /// when it changed the identity.
  /// @param sent_after the heartbeat was sent at this time or later.
  /// @param warm_up_left time for which the upstream is still cold.
  void OnHeartbeat(const HeartbeatId& heartbeat, TimePoint sent_after,
                   TimePoint now, std::chrono::milliseconds warm_up_left = {}) {
    heartbeat_at_ = now;
    warm_up_.OnHeartbeat(heartbeat.start.time_ms, warm_up_left, now);
    lease_.OnHeartbeat(heartbeat, sent_after, now);
    responsiveness_.OnHeartbeat();
    CheckLease(now);
    AdmitWaiting(now);
  }

  /// A heartbeat arrived that names another service: first packets go to the
  /// upstream only after it has shown that it is still there.
  void OnOtherServiceHeartbeat(const HeartbeatId& heartbeat, TimePoint now) {
    other_service_at_ = now;
    lease_.OnOtherService(heartbeat, now);
    CheckLease(now);
  }

  /// The machine was suspended for `time`, during which the clock of `now`
  /// stood still.
  void OnSuspension(std::chrono::milliseconds time, TimePoint now) {
    lease_.OnSuspension(time);
    CheckLease(now);
  }

  /// The upstream's packets that are passed in from now on were sent at `time`
  /// or later; they may have waited since then. Without a call they count as
  /// sent when they are passed in.
  void SetPacketsSentAfter(TimePoint time) { packets_sent_after_ = time; }

  /// The upstream has left or this process is about to stop: returns waiting
  /// first packets and all later ones.
  void StartDrain(TimePoint now) {
    load_.draining = true;
    ReturnWaiting(request::ReturnReason::kDraining);
    SendReports(now);
  }

  /// A caller's packet that an entry instance forwarded. A first packet is
  /// delivered to the upstream, queued, or returned to the entry instance. A
  /// later packet is delivered, as a probe when the flow is unknown, or
  /// answered with `kNotHeld` when it is certain that the upstream does not
  /// hold the flow.
  void OnCallerPacket(const request::Endpoint& entry,
                      const request::HopMessage& message,
                      const request::ParsedPacket& packet, TimePoint now) {
    NoteEntryMessage(entry, now);
    if (message.service != tag_) {
      packet.IsFirst()
          ? Return(entry, packet, request::ReturnReason::kWrongService)
          : ReplyNotHeld(entry, packet.flow);
      return;
    }
    const auto it = flows_.find(packet.flow);
    if (packet.IsFirst()) {
      if (it != flows_.end() && it->second.caller_isn == packet.sequence) {
        OnRepeatedFirstPacket(packet, now);
      } else if (!waiting_.Contains(packet.flow)) {
        OnFirstPacket(entry, message, packet, now);
      }
      return;
    }
    if (it == flows_.end()) {
      OnUnknownFlow(entry, packet, now);
      return;
    }
    OnKnownFlow(entry, &it->second, packet, now);
    AdmitWaiting(now);
  }

  /// A message of an entry instance that carries no packet.
  void OnHopMessage(const request::Endpoint& entry,
                    const request::HopMessage& message, TimePoint now) {
    NoteEntryMessage(entry, now);
    if (message.kind == request::HopKind::kHello) {
      SendReport(entry);
    } else if (message.kind == request::HopKind::kUnlisted) {
      SendReport(entry);
      sink_->ReportMissingRecord();
    } else if (message.kind == request::HopKind::kLocate) {
      OnLocate(entry, message);
    } else if (message.kind == request::HopKind::kList) {
      SendFlowList(entry, message);
    } else if (message.kind == request::HopKind::kServiceLimits &&
               message.service == tag_) {
      warm_up_.OnRate(message.warm_up_per_second_tenths, now);
    }
  }

  /// A packet that the upstream sent, to be passed to the caller. A flow that
  /// is not in the table is added, since the upstream holds it.
  void OnUpstreamPacket(const request::ParsedPacket& packet, TimePoint now) {
    const request::FlowKey key = request::Reverse(packet.flow);
    NoteResponse(key, now);
    auto it = flows_.find(key);
    const bool admitted = it != flows_.end() && it->second.admitted;
    lease_.OnPacket(packet.syn || packet.rst ? PacketEvidence::kRunning
                    : admitted ? PacketEvidence::kHoldsAdmittedFlow
                               : PacketEvidence::kHoldsFlow,
                    packets_sent_after_.value_or(now), now);
    if (it == flows_.end()) {
      it = flows_.emplace(key, Flow()).first;
      // A SYN-ACK does not complete the handshake.
      it->second.open = !packet.syn;
      RecordVerdict(GateVerdict::kAdopted, key);
    }
    Flow& flow = it->second;
    flow.may_be_of_earlier_incarnation = false;
    if (IsOfEarlierFlow(flow, packet)) {
      RecordVerdict(GateVerdict::kEarlierFlow, key);
      return;
    }
    flow.last_packet_at = now;
    last_upstream_packet_at_ = now;
    if (packet.ack) {
      AdvanceCallerSequence(&flow, packet.acknowledgment);
    }
    if (packet.syn) {
      flow.upstream_isn = packet.sequence;
    } else if (packet.payload_size > 0) {
      FinishRequest(&flow, now);
    }
    if (flow.probed_by) {
      flow.open = true;
      SendLocateReply(*flow.probed_by, request::HopKind::kHeld, key);
      flow.probed_by.reset();
    }
    if (packet.fin || packet.rst) {
      flow.upstream_ended = true;
      ClearWork(&flow);
    }
    sink_->SendToCaller(key.caller, packet.bytes);
    AdmitWaiting(now);
  }

  /// A caller's packet that the upstream rejected. A first packet is returned
  /// to its entry instance; any other shows that the upstream does not hold the
  /// flow, which is reset when it was open here.
  void OnRejectedPacket(const request::ParsedPacket& packet, TimePoint now) {
    lease_.OnPacket(PacketEvidence::kRunning, packets_sent_after_.value_or(now),
                    now);
    NoteResponse(packet.flow, now);
    const auto it = flows_.find(packet.flow);
    if (it == flows_.end()) {
      return;
    }
    Flow flow = it->second;
    if (packet.IsFirst() && flow.open) {
      return;
    }
    ClearWork(&it->second);
    flows_.erase(it);
    if (packet.IsFirst()) {
      Return(flow.entry, packet, request::ReturnReason::kRejected);
    } else {
      const bool was_held = flow.open && !flow.probed_by;
      RecordVerdict(was_held ? GateVerdict::kLost : GateVerdict::kNotHeld,
                    packet.flow);
      if (not_held_.size() < kMaxNotHeldFlows) {
        not_held_[packet.flow] = now;
      }
      SendLocateReply(flow.entry, request::HopKind::kNotHeld, packet.flow);
      if (was_held && !flow.caller_ended && !flow.upstream_ended) {
        sink_->Reset(packet);
      }
    }
    // A rejected probe changes no load. Load pattern: after a power failure
    // every flow is searched for with probes; a report of each rejection to all
    // entry instances exceeds the links of small ones.
    if (!flow.probed_by) {
      SendReports(now);
    }
  }

  /// Runs timeouts and sends due load reports; has to be called at least every
  /// `kTick`.
  void OnTick(TimePoint now) {
    first_tick_at_ = first_tick_at_.value_or(now);
    ran_for_idle_ttl_ = now - *first_tick_at_ >= kIdleFlowTtl;
    warm_up_.Advance(now);
    CheckLease(now);
    CheckResponsiveness(now);
    AdmitWaiting(now);
    RefreshServiceTime(now);
    ReturnOverdue(now);
    load_.open_flows = static_cast<uint32_t>(CountOpenFlows());
    for (auto& [entry, state] : entries_) {
      if (state.report_due && now - state.last_report_at >= kReportInterval) {
        SendReport(entry);
        state.report_due = false;
        state.last_report_at = now;
      }
    }
    if (now >= next_sweep_at_) {
      next_sweep_at_ = now + kSweepInterval;
      RemoveExpired(now);
    }
  }

  /// Longest time between two calls of `OnTick`.
  static constexpr std::chrono::milliseconds kTick{50};

  /// Whether requests are in progress or expected, or a response is being sent:
  /// the process must not stop then if it can avoid it.
  bool IsBusy(TimePoint now) const {
    return load_.in_progress != 0 || load_.opening != 0 ||
           now - last_upstream_packet_at_ < kResponsePause;
  }

  size_t flows() const { return flows_.size(); }
  const request::UpstreamLoad& load() const { return load_; }
  size_t waiting() const { return waiting_.size(); }
  const WarmUpLimit& warm_up() const { return warm_up_; }
  const UpstreamIdentity& identity() const { return identity_; }
  LeaseState LeaseAt(TimePoint now) const { return lease_.State(now); }
  /// When the last message of any entry instance arrived.
  TimePoint last_entry_message_at() const { return last_entry_message_at_; }

 private:
  using Milliseconds = std::chrono::milliseconds;

  // Time between two periodic load reports to an active entry instance, and so
  // the maximum delay with which it sees a changed load.
  static constexpr Milliseconds kReportInterval{100};
  static constexpr Milliseconds kSweepInterval{1000};
  // How long a flow that may not wait for a slot waits for a heartbeat.
  static constexpr Milliseconds kMaxHeartbeatWait{1200};
  static constexpr Milliseconds kOpeningFlowTtl{2000};
  static constexpr Milliseconds kEndedFlowTtl{4000};
  // Idle open flows may be removed: the next packet of the upstream adds them
  // again.
  static constexpr Milliseconds kIdleFlowTtl{60000};
  static constexpr Milliseconds kEntryTtl{10000};
  // A flow that was delivered to the upstream and sent no request for this long
  // no longer counts as expected work: its caller has left or opened the flow
  // at another upstream.
  static constexpr Milliseconds kFirstRequestTimeout{30};
  // A request without a response after this time will get none: its caller gave
  // up in the middle of an upload, or the response was lost with an earlier
  // sidecar process. Requests take less than half a second in a slot.
  static constexpr Milliseconds kRequestTimeout{5000};
  // How long a flow that the upstream rejected is known not to be held.
  static constexpr Milliseconds kNotHeldTtl{10000};
  static constexpr size_t kMaxNotHeldFlows = 20000;
  // From the delivery of a first packet to the arrival of the request, and from
  // the response to its arrival at the caller: three times 3 ms.
  static constexpr Milliseconds kOpeningTime{9};
  // More than a caller sends without an acknowledgment, or repeats.
  static constexpr uint32_t kMaxUnacknowledgedBytes = uint32_t{1} << 20;
  // A response of many packets pauses for less than this time, unless one of
  // them was lost.
  static constexpr Milliseconds kResponsePause{60};
  // Weight of one flow in the exponentially weighted share of flows that sent a
  // request.
  static constexpr double kOpenedShareWeight = 0.05;

  struct Flow {
    /// The entry instance that last forwarded a packet of the flow.
    request::Endpoint entry;
    uint32_t caller_isn = 0;
    std::optional<uint32_t> upstream_isn;
    /// This process admitted the flow; otherwise it may not have seen all its
    /// packets.
    bool admitted = false;
    bool open = false;
    /// The flow was added before the upstream announced its current incarnation
    /// and the upstream has sent no packet of it since. It is forwarded, but
    /// not counted as load.
    bool may_be_of_earlier_incarnation = false;
    bool caller_ended = false;
    bool upstream_ended = false;
    /// A request was delivered and its response has not started.
    bool busy = false;
    /// Counted in `load_.opening`: the flow's first request is still expected.
    bool opening = false;
    /// Requests in progress when the flow's current request started, including
    /// that one.
    uint16_t in_progress_at_start = 0;
    /// The sequence number after the caller's delivered data; empty before the
    /// first.
    std::optional<uint32_t> next_caller_sequence;
    TimePoint request_started_at;
    TimePoint last_packet_at;
    TimePoint admitted_at;
    /// The entry instance that waits for the result of a probe of the upstream.
    std::optional<request::Endpoint> probed_by;
  };

  struct AdmittedFlow {
    request::FlowKey flow;
    TimePoint at;
  };

  struct EntryState {
    TimePoint last_received_at;
    TimePoint last_report_at;
    bool report_due = true;
  };

  // Whether this process has seen every flow of the upstream's current
  // incarnation that has to be retained, so that the upstream holds no others.
  // Start times prove nothing, since the time of day may have been stepped
  // between them.
  bool SawAllFlows() const {
    return ran_for_idle_ttl_ || identity_.started_after_sidecar ||
           (identity_.first_heartbeat_received && HasOtherRecord());
  }

  // Whether only flows of the first few heartbeat intervals of the current
  // incarnation may be unknown to this process.
  bool MissedOnlyFirstFlows() const {
    return identity_.is_new && HasOtherRecord();
  }

  // Whether the store was read and no earlier process recorded the current
  // incarnation there.
  bool HasOtherRecord() const {
    return stored_incarnation_ms_ &&
           *stored_incarnation_ms_ != identity_.incarnation_ms;
  }

  void OnNewIncarnation(bool same_service) {
    for (auto& [key, flow] : flows_) {
      ClearWork(&flow);
      flow.may_be_of_earlier_incarnation = true;
    }
    if (!same_service) {
      flows_.clear();
    }
    not_held_.clear();
    responsiveness_.OnNewIncarnation();
  }

  void RecordVerdict(
      GateVerdict verdict, const request::FlowKey& flow,
      request::ReturnReason reason = request::ReturnReason::kNone) {
    sink_->RecordDecision({verdict, flow, reason, load_.in_progress,
                           load_.opening, waiting_.size(), reported_lease_,
                           heartbeat_at_, other_service_at_});
  }

  // Expected requests of the opening flows. Not every opening flow sends a
  // request: a caller whose first packet reached several upstreams opens its
  // flow at only one of them, and some callers have left.
  size_t ExpectedRequests() const {
    return static_cast<size_t>(std::ceil(load_.opening * opened_share_));
  }

  OfferState CurrentOfferState() const {
    OfferState state;
    state.slots = load_.slots;
    state.work = load_.in_progress + ExpectedRequests();
    state.waiting = waiting_.size();
    state.service_time = std::chrono::microseconds{load_.service_time_us};
    return state;
  }

  void NoteEntryMessage(const request::Endpoint& entry, TimePoint now) {
    last_entry_message_at_ = now;
    warm_up_.Advance(now);
    EntryState& state = entries_[entry];
    state.last_received_at = now;
    state.report_due = true;
  }

  // Until when the offered flow can be delivered and get its response within
  // the target latency.
  TimePoint OnTimeUntil(const request::HopMessage& message,
                        TimePoint now) const {
    std::chrono::microseconds service_time = kDefaultServiceTime;
    if (load_.service_time_us != 0) {
      service_time = std::chrono::microseconds{load_.service_time_us};
    }
    return now + message.target_remaining - kOpeningTime -
           (message.priority ? ExpectedTimeInUpstream(service_time)
                             : service_time);
  }

  void OnFirstPacket(const request::Endpoint& entry,
                     const request::HopMessage& message,
                     const request::ParsedPacket& packet, TimePoint now) {
    if (load_.draining) {
      Return(entry, packet, request::ReturnReason::kDraining);
      return;
    }
    CheckLease(now);
    if (reported_lease_ != LeaseState::kHeld) {
      OnFirstPacketWithoutLease(entry, message, packet, now);
      return;
    }
    if (!responsiveness_.AcceptsFirstPacket(now)) {
      Return(entry, packet, request::ReturnReason::kUnresponsive);
      return;
    }
    OfferState state = CurrentOfferState();
    state.waiting =
        waiting_.CountAhead(MakeWaitingFlow(entry, message, packet, now), now);
    switch (DecideOfferWithinLimit(state, message, packet)) {
      case OfferAction::kDeliver:
        Admit(entry, packet, now);
        return;
      case OfferAction::kWait:
        if (KeepWaiting(entry, message, packet, now)) {
          return;
        }
        break;
      case OfferAction::kReturn:
        // It may be worth more than a flow that waits.
        if (message.final_offer && message.priority &&
            KeepWaiting(entry, message, packet, now)) {
          return;
        }
        break;
    }
    if (message.final_offer && message.priority) {
      refused_callers_.OnRefused(packet.flow.caller, now);
    }
    // The entry instance needs the current load for its next choice; its last
    // report may be older than the requests in progress. It is the answer to
    // this message, too.
    SendReport(entry);
    entries_[entry].report_due = false;
    entries_[entry].last_report_at = now;
    Return(entry, packet, request::ReturnReason::kQueueFull);
  }

  OfferAction DecideOfferWithinLimit(const OfferState& state,
                                     const request::HopMessage& message,
                                     const request::ParsedPacket& packet) {
    const OfferAction action =
        DecideOffer(state, message.final_offer, message.max_wait);
    const OfferAction restricted = warm_up_.Restrict(
        action, message.final_offer, message.max_wait, state.waiting);
    if (restricted != action) {
      RecordVerdict(GateVerdict::kWarmUpLimited, packet.flow);
    }
    return restricted;
  }

  // A first packet while nothing shows that the upstream is behind its address.
  // Its next heartbeat may arrive in time, so a flow that has no better choice
  // waits for it, unless an upstream of another service probably replaced it.
  void OnFirstPacketWithoutLease(const request::Endpoint& entry,
                                 const request::HopMessage& message,
                                 const request::ParsedPacket& packet,
                                 TimePoint now) {
    SendReport(entry);
    if (!IsHeartbeatExpected(now)) {
      Return(entry, packet, request::ReturnReason::kUnresponsive);
      return;
    }
    // A bulk transfer that does not wait for a slot waits for the heartbeat.
    request::HopMessage offer = message;
    if (offer.max_wait.count() == 0) {
      offer.max_wait = kMaxHeartbeatWait;
    }
    if (!offer.final_offer || !KeepWaiting(entry, offer, packet, now)) {
      Return(entry, packet, request::ReturnReason::kQueueFull);
    }
  }

  // Whether the upstream may show soon that it is there: it is not silent for
  // long, and did not fall silent before another service's heartbeat.
  bool IsHeartbeatExpected(TimePoint now) const {
    return !contested_after_silence_ && !responsiveness_.unresponsive() &&
           now - lease_lost_at_.value_or(now) < lease_.duration();
  }

  // An offered first packet as it would wait, without its bytes.
  WaitingFlow MakeWaitingFlow(const request::Endpoint& entry,
                              const request::HopMessage& message,
                              const request::ParsedPacket& packet,
                              TimePoint now) {
    WaitingFlow flow;
    flow.flow = packet.flow;
    flow.caller_isn = packet.sequence;
    flow.entry = entry;
    flow.deadline = now + message.max_wait;
    flow.on_time_until = OnTimeUntil(message, now);
    flow.priority = message.priority;
    flow.retry =
        message.priority && refused_callers_.IsRetry(packet.flow.caller, now);
    return flow;
  }

  // Adds a first packet to the queue, and returns the one that it replaces.
  // @return false when the queue has no room for it.
  bool KeepWaiting(const request::Endpoint& entry,
                   const request::HopMessage& message,
                   const request::ParsedPacket& packet, TimePoint now) {
    WaitingFlow flow = MakeWaitingFlow(entry, message, packet, now);
    flow.bytes.assign(packet.bytes.begin(), packet.bytes.end());
    const auto [added, evicted] = waiting_.Add(
        std::move(flow), CurrentOfferState(), message.max_wait, now);
    if (evicted) {
      ReturnQueued(*evicted, GateVerdict::kEvicted, now);
    }
    if (added) {
      RecordVerdict(GateVerdict::kWaiting, packet.flow);
    }
    return added;
  }

  // A copy of a first packet that was admitted. The upstream that got the first
  // one may have been replaced since, and then this one would open the flow at
  // another service. It is not returned, since the upstream may hold the flow.
  void OnRepeatedFirstPacket(const request::ParsedPacket& packet,
                             TimePoint now) {
    if (lease_.State(now) == LeaseState::kHeld) {
      sink_->Deliver(packet.bytes);
    }
  }

  // Applies a change of the lease's state: entry instances place no flows at an
  // upstream that has none, and flows do not wait for one of another service.
  void CheckLease(TimePoint now) {
    const LeaseState state = lease_.State(now);
    if (state == LeaseState::kHeld) {
      lease_lost_at_.reset();
    } else if (!lease_lost_at_) {
      lease_lost_at_ = now;
    }
    const LeaseState previous = std::exchange(reported_lease_, state);
    if (previous != state) {
      contested_after_silence_ =
          state == LeaseState::kContested && previous == LeaseState::kLapsed;
      RecordVerdict(GateVerdict::kLease, {});
    }
    if (state != LeaseState::kHeld && !IsHeartbeatExpected(now)) {
      ReturnWaiting(request::ReturnReason::kUnresponsive);
    }
    if (UpdateReportedResponsiveness(now)) {
      SendReports(now);
    }
  }

  void Admit(const request::Endpoint& entry,
             const request::ParsedPacket& packet, TimePoint now) {
    if (const auto existing = flows_.find(packet.flow);
        existing != flows_.end()) {
      ClearWork(&existing->second);
    }
    Flow flow;
    flow.entry = entry;
    flow.caller_isn = packet.sequence;
    flow.admitted = true;
    flow.admitted_at = now;
    flow.last_packet_at = now;
    flow.opening = true;
    ++load_.opening;
    admitted_.push_back({packet.flow, now});
    warm_up_.OnFirstPacket();
    flows_.insert_or_assign(packet.flow, flow);
    not_held_.erase(packet.flow);
    const bool is_trial = responsiveness_.unresponsive();
    responsiveness_.OnFirstPacket(now);
    if (UpdateReportedResponsiveness(now)) {
      SendReports(now);
    }
    RecordVerdict(is_trial ? GateVerdict::kTrial : GateVerdict::kAdmitted,
                  packet.flow);
    sink_->Deliver(packet.bytes);
  }

  void ExpireOpeningFlows(TimePoint now) {
    while (!admitted_.empty() &&
           now - admitted_.front().at > kFirstRequestTimeout) {
      const auto it = flows_.find(admitted_.front().flow);
      // The caller's port may have been reused for another flow.
      if (it != flows_.end() &&
          it->second.admitted_at == admitted_.front().at &&
          it->second.opening) {
        ClearOpening(&it->second);
        UpdateOpenedShare(/*sent_request=*/false);
      }
      admitted_.pop_front();
    }
  }

  // Delivers waiting first packets while the upstream has room.
  void AdmitWaiting(TimePoint now) {
    ExpireOpeningFlows(now);
    warm_up_.Advance(now);
    // The upstream may be unresponsive when its response to a first packet is
    // late.
    const bool response_late = responsiveness_.IsResponseLate(now);
    while (!response_late && !waiting_.empty() &&
           lease_.State(now) == LeaseState::kHeld &&
           HasRoom(CurrentOfferState()) && warm_up_.Allows()) {
      const auto it = waiting_.Pop(now);
      if (!it) {
        break;
      }
      Admit(it->entry, it->ToPacket(), now);
    }
  }

  // Returns the waiting first packets that cannot be delivered in time.
  void ReturnOverdue(TimePoint now) {
    for (const WaitingFlow& it : waiting_.TakeExpired(now)) {
      ReturnQueued(it, GateVerdict::kWaitExpired, now);
    }
    OfferState state = CurrentOfferState();
    state.service_time =
        std::max(state.service_time, slot_progress_.LowerBound(now));
    for (const WaitingFlow& it : waiting_.TakeUnservable(state, now)) {
      ReturnQueued(it, GateVerdict::kUnservable, now);
    }
  }

  // Returns a first packet that waited and is not delivered.
  void ReturnQueued(const WaitingFlow& flow, GateVerdict verdict,
                    TimePoint now) {
    if (flow.priority) {
      refused_callers_.OnRefused(flow.flow.caller, now);
    }
    Return(flow.entry, flow.ToPacket(), request::ReturnReason::kQueueFull,
           verdict);
  }

  void ReturnWaiting(request::ReturnReason reason) {
    for (const WaitingFlow& it : waiting_.TakeAll()) {
      Return(it.entry, it.ToPacket(), reason);
    }
  }

  void OnKnownFlow(const request::Endpoint& entry, Flow* flow,
                   const request::ParsedPacket& packet, TimePoint now) {
    // A caller that acknowledges another SYN-ACK than this upstream's, or
    // acknowledges one before this upstream has sent its own, opened the flow
    // at another upstream.
    const bool other_upstream_chosen =
        !flow->open && packet.ack &&
        (flow->upstream_isn ? packet.acknowledgment != *flow->upstream_isn + 1
                            : flow->admitted);
    if (other_upstream_chosen) {
      ClearWork(flow);
      flows_.erase(packet.flow);
      ReplyNotHeld(entry, packet.flow);
      return;
    }
    flow->entry = entry;
    flow->open = true;
    flow->last_packet_at = now;
    if (packet.payload_size > 0 && CarriesNewData(flow, packet) &&
        !flow->busy) {
      StartRequest(flow, now);
    }
    if (packet.fin || packet.rst) {
      flow->caller_ended = true;
      if (packet.rst) {
        ClearWork(flow);
      }
    }
    sink_->Deliver(packet.bytes);
  }

  // Replies that the flow is not held if that is certain; otherwise delivers
  // the packet to find out. The upstream's reaction decides on the reply.
  void OnUnknownFlow(const request::Endpoint& entry,
                     const request::ParsedPacket& packet, TimePoint now) {
    if (SawAllFlows() || not_held_.contains(packet.flow)) {
      ReplyNotHeld(entry, packet.flow);
      return;
    }
    Flow flow;
    flow.entry = entry;
    flow.last_packet_at = now;
    flow.admitted_at = now;
    flow.probed_by = entry;
    flows_.insert_or_assign(packet.flow, flow);
    RecordVerdict(GateVerdict::kProbed, packet.flow);
    sink_->Deliver(packet.bytes);
  }

  // Replies to a query whether the upstream holds a flow. A known flow counts
  // whatever service the query names: the record that the entry instance has
  // may be outdated or of another writer.
  void OnLocate(const request::Endpoint& entry,
                const request::HopMessage& message) {
    const auto it = flows_.find(message.flow);
    if (it == flows_.end() || it->second.probed_by) {
      SendLocateReply(entry,
                      message.service != tag_ || SawAllFlows() ||
                              not_held_.contains(message.flow)
                          ? request::HopKind::kNotHeld
                          : request::HopKind::kInconclusive,
                      message.flow);
      return;
    }
    const Flow& flow = it->second;
    const bool held =
        flow.open ||
        (flow.upstream_isn && message.acknowledgment == *flow.upstream_isn + 1);
    SendLocateReply(entry,
                    held ? request::HopKind::kHeld : request::HopKind::kNotHeld,
                    message.flow);
  }

  // Sends the fingerprints of all flows in parts. Sends at least one part, so
  // that a sidecar without flows also replies.
  void SendFlowList(const request::Endpoint& entry,
                    const request::HopMessage& query) {
    std::vector<uint32_t> fingerprints;
    for (const auto& [key, flow] : flows_) {
      fingerprints.push_back(request::FlowFingerprint(key));
    }
    request::HopMessage reply;
    reply.kind = request::HopKind::kFlows;
    reply.service = tag_;
    reply.list.round = query.list.round;
    reply.list.inconclusive = query.service == tag_ && !SawAllFlows();
    reply.list.missed_only_first_flows =
        reply.list.inconclusive && MissedOnlyFirstFlows();
    reply.list.parts = static_cast<uint16_t>(std::max<size_t>(
        1, (fingerprints.size() + request::kMaxFingerprintsPerDatagram - 1) /
               request::kMaxFingerprintsPerDatagram));
    for (uint16_t i = 0; i < reply.list.parts; ++i) {
      reply.list.part = i;
      const size_t at = i * request::kMaxFingerprintsPerDatagram;
      const size_t n = std::min(request::kMaxFingerprintsPerDatagram,
                                fingerprints.size() - at);
      sink_->Send(
          entry, reply,
          request::EncodeFingerprints(std::span(fingerprints).subspan(at, n)));
    }
  }

  void SendLocateReply(const request::Endpoint& entry, request::HopKind kind,
                       const request::FlowKey& flow) {
    if (entry == request::Endpoint()) {
      return;
    }
    request::HopMessage reply;
    reply.kind = kind;
    reply.service = tag_;
    reply.flow = flow;
    reply.missed_only_first_flows =
        kind == request::HopKind::kInconclusive && MissedOnlyFirstFlows();
    sink_->Send(entry, reply, {});
  }

  void ReplyNotHeld(const request::Endpoint& entry,
                    const request::FlowKey& flow) {
    RecordVerdict(GateVerdict::kNotHeld, flow);
    SendLocateReply(entry, request::HopKind::kNotHeld, flow);
  }

  // Returns a first packet to the entry instance that offered it.
  void Return(const request::Endpoint& entry,
              const request::ParsedPacket& packet, request::ReturnReason reason,
              GateVerdict verdict = GateVerdict::kReturned) {
    RecordVerdict(verdict, packet.flow, reason);
    if (entry == request::Endpoint()) {
      return;
    }
    request::HopMessage message;
    message.kind = request::HopKind::kReturned;
    message.service = tag_;
    message.reason = reason;
    sink_->Send(entry, message, packet.bytes);
  }

  // Whether an upstream's packet answers a flow that the caller had before from
  // the same port: it acknowledges bytes far from those that were delivered.
  static bool IsOfEarlierFlow(const Flow& flow,
                              const request::ParsedPacket& packet) {
    if (!flow.admitted || !packet.ack || packet.rst) {
      return false;
    }
    const uint32_t next =
        flow.next_caller_sequence.value_or(flow.caller_isn + 1);
    return packet.acknowledgment - next + kMaxUnacknowledgedBytes >
           2 * kMaxUnacknowledgedBytes;
  }

  static bool IsAfter(uint32_t sequence, uint32_t other) {
    return static_cast<int32_t>(sequence - other) > 0;
  }

  static void AdvanceCallerSequence(Flow* flow, uint32_t next) {
    if (!flow->next_caller_sequence ||
        IsAfter(next, *flow->next_caller_sequence)) {
      flow->next_caller_sequence = next;
    }
  }

  // Whether a packet carries data that was not delivered before; advances
  // `next_caller_sequence`. A caller may retransmit a request whose response is
  // on its way.
  static bool CarriesNewData(Flow* flow, const request::ParsedPacket& packet) {
    const uint32_t next = packet.sequence + packet.payload_size;
    const bool carries_new_data = !flow->next_caller_sequence ||
                                  IsAfter(next, *flow->next_caller_sequence);
    AdvanceCallerSequence(flow, next);
    return carries_new_data;
  }

  void UpdateOpenedShare(bool sent_request) {
    opened_share_ +=
        ((sent_request ? 1.0 : 0.0) - opened_share_) * kOpenedShareWeight;
  }

  void StartRequest(Flow* flow, TimePoint now) {
    if (flow->opening) {
      UpdateOpenedShare(/*sent_request=*/true);
    }
    ClearOpening(flow);
    flow->busy = true;
    flow->request_started_at = now;
    ++load_.in_progress;
    flow->in_progress_at_start = load_.in_progress;
    slot_progress_.OnChange(load_.in_progress, load_.slots, false, now);
  }

  void ClearOpening(Flow* flow) {
    if (flow->opening) {
      flow->opening = false;
      --load_.opening;
    }
  }

  // The response to the flow's request has started: updates the mean service
  // time.
  void FinishRequest(Flow* flow, TimePoint now) {
    if (!flow->busy) {
      return;
    }
    flow->busy = false;
    --load_.in_progress;
    slot_progress_.OnChange(load_.in_progress, load_.slots, true, now);
    if (!flow->admitted) {
      // The upstream may have received the request before this process started,
      // so the measured time would be too short.
      return;
    }
    // Requests that found every slot busy spent a part of the time in the
    // upstream's queue.
    const double queue_factor =
        std::max(1.0, flow->in_progress_at_start /
                          std::max(1.0, static_cast<double>(load_.slots)));
    service_time_.Add(
        ServiceTimeEstimate::Microseconds(now - flow->request_started_at) /
            queue_factor,
        now);
    RefreshServiceTime(now);
  }

  void RefreshServiceTime(TimePoint now) {
    load_.service_time_us =
        static_cast<uint32_t>(service_time_.Value(now).count());
  }

  // Stops counting the flow's request, or the one expected from it, as work.
  void ClearWork(Flow* flow) {
    ClearOpening(flow);
    if (flow->busy) {
      flow->busy = false;
      --load_.in_progress;
      slot_progress_.OnRemoved(load_.in_progress, load_.slots);
    }
  }

  // The upstream sent or rejected a packet of the flow.
  void NoteResponse(const request::FlowKey& flow, TimePoint now) {
    if (responsiveness_.OnUpstreamPacket()) {
      RecordVerdict(GateVerdict::kResponsive, flow);
      UpdateReportedResponsiveness(now);
      SendReports(now);
    }
  }

  // Returns the waiting first packets when the upstream became unresponsive,
  // and reports when a trial is due.
  void CheckResponsiveness(TimePoint now) {
    if (responsiveness_.CheckTimeout(now)) {
      RecordVerdict(GateVerdict::kUnresponsive, {});
      ReturnWaiting(request::ReturnReason::kUnresponsive);
    }
    if (UpdateReportedResponsiveness(now)) {
      SendReports(now);
    }
  }

  // Entry instances place no flows at an upstream that is reported as
  // unresponsive, so one that is due for a trial is not.
  // @return whether the report changed.
  bool UpdateReportedResponsiveness(TimePoint now) {
    const bool reported =
        lease_.State(now) != LeaseState::kHeld ||
        (responsiveness_.unresponsive() && !responsiveness_.InvitesTrial(now));
    return std::exchange(load_.unresponsive, reported) != reported;
  }

  void SendReports(TimePoint now) {
    for (auto& [entry, state] : entries_) {
      SendReport(entry);
      state.report_due = false;
      state.last_report_at = now;
    }
  }

  void SendReport(const request::Endpoint& entry) {
    request::HopMessage message;
    message.kind = request::HopKind::kLoad;
    message.service = tag_;
    message.load = load_;
    message.load.opening =
        static_cast<uint16_t>(load_.opening + waiting_.size());
    message.load.warm_up_allowance = warm_up_.Allowance(waiting_.size());
    sink_->Send(entry, message, {});
  }

  size_t CountOpenFlows() const {
    return static_cast<size_t>(
        std::count_if(flows_.begin(), flows_.end(), [](const auto& it) {
          const Flow& flow = it.second;
          return flow.open && !flow.may_be_of_earlier_incarnation &&
                 !flow.caller_ended && !flow.upstream_ended;
        }));
  }

  void RemoveExpired(TimePoint now) {
    absl::erase_if(flows_, [&](auto& it) {
      Flow& flow = it.second;
      if (flow.busy && now - flow.request_started_at > kRequestTimeout) {
        ClearWork(&flow);
      }
      const auto age = now - flow.last_packet_at;
      const bool ended = flow.caller_ended || flow.upstream_ended;
      const bool expired = ended       ? age > kEndedFlowTtl
                           : flow.open ? age > kIdleFlowTtl
                                       : age > kOpeningFlowTtl;
      if (expired) {
        ClearWork(&flow);
      }
      return expired;
    });
    absl::erase_if(not_held_, [&](const auto& it) {
      return now - it.second > kNotHeldTtl;
    });
    absl::erase_if(entries_, [&](const auto& it) {
      return now - it.second.last_received_at > kEntryTtl;
    });
  }

  struct EndpointHash {
    size_t operator()(const request::Endpoint& endpoint) const {
      return request::FlowKeyHash()({endpoint, {}, 0});
    }
  };

  UpstreamIdentity identity_;
  request::ServiceTag tag_;
  S* sink_;
  request::UpstreamLoad load_;
  ServiceTimeEstimate service_time_;
  SlotProgress slot_progress_;
  std::optional<TimePoint> heartbeat_at_;
  std::optional<TimePoint> other_service_at_;
  std::optional<TimePoint> first_tick_at_;
  /// Flows that were opened before this process started have been idle for
  /// `kIdleFlowTtl`, or one of their packets has added them to `flows_`.
  bool ran_for_idle_ttl_ = false;
  /// See `OnStoredIncarnation`; empty until then.
  std::optional<uint64_t> stored_incarnation_ms_;
  absl::flat_hash_map<request::FlowKey, Flow, request::FlowKeyHash> flows_;
  /// Flows that the upstream rejected, with the time of the rejection.
  absl::flat_hash_map<request::FlowKey, TimePoint, request::FlowKeyHash>
      not_held_;
  absl::flat_hash_map<request::Endpoint, EntryState, EndpointHash> entries_;
  TimePoint last_entry_message_at_;
  TimePoint last_upstream_packet_at_;
  WaitingFlows waiting_;
  /// Callers whose flows were returned after a final offer.
  RetryBudget refused_callers_;
  /// Recently admitted flows, in the order of admission.
  std::deque<AdmittedFlow> admitted_;
  /// Moving mean of the share of admitted flows that sent a request.
  double opened_share_ = 1.0;
  Responsiveness responsiveness_;
  AddressLease lease_;
  WarmUpLimit warm_up_;
  /// The state of the lease at the last check.
  LeaseState reported_lease_ = LeaseState::kLapsed;
  /// When a check first found that the lease is not held; empty while it is.
  std::optional<TimePoint> lease_lost_at_;
  /// The lease had lapsed before it was contested.
  bool contested_after_silence_ = false;
  /// See `SetPacketsSentAfter`.
  std::optional<TimePoint> packets_sent_after_;
  TimePoint next_sweep_at_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_UPSTREAM_GATE_H_
