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
#include <vector>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/connection/gate_decision.h"
#include "kumquatvalve/connection/identity_tracker.h"
#include "kumquatvalve/connection/offer_decision.h"
#include "kumquatvalve/connection/waiting_flows.h"
#include "kumquatvalve/request/flow_key.h"
#include "kumquatvalve/request/hop_message.h"
#include "kumquatvalve/request/packet.h"

namespace kumquatvalve::connection {

/// The decisions of the sidecar beside one upstream: which first packets the
/// upstream gets, which flows it holds, and how loaded it is. A function of
/// packets, messages of entry instances, the upstream's own word and a
/// passed-in clock (docs/platform.md). Calls come from one thread.
template <GateSink S>
class UpstreamGate {
 public:
  /// @param service the service that the settings name, in force until the
  ///   upstream names its own.
  /// @param started_ms start of this process, Unix time in milliseconds.
  UpstreamGate(std::string_view service, uint64_t started_ms, S* sink)
      : tag_(request::ServiceTagOf(service)),
        started_ms_(started_ms),
        sink_(sink) {}

  UpstreamGate(const UpstreamGate&) = delete;
  UpstreamGate& operator=(const UpstreamGate&) = delete;

  /// The upstream described itself. A later incarnation forgets the flows of
  /// the one before.
  void OnIdentity(const UpstreamIdentity& identity, TimePoint now) {
    if (identity.incarnation_ms != identity_.incarnation_ms &&
        identity_.incarnation_ms != 0) {
      flows_.clear();
      denied_.clear();
      load_.in_progress = 0;
      load_.opening = 0;
      first_unanswered_.reset();
      load_.unresponsive = false;
      known_from_start_ = true;
    } else if (identity_.incarnation_ms == 0) {
      known_from_start_ = identity.incarnation_ms + kHeadStart > started_ms_;
    }
    identity_ = identity;
    tag_ = request::ServiceTagOf(identity.service);
    load_.incarnation_ms = identity.incarnation_ms;
    load_.slots = static_cast<uint16_t>(identity.slots);
    load_.draining = identity.draining;
    if (load_.draining) {
      ReturnWaiting(request::ReturnReason::kDraining);
    }
    ReportToAll(now);
    AdmitWaiting(now);
  }

  /// The upstream has left or this process is about to stop: no new flows.
  void StartDrain(TimePoint now) {
    load_.draining = true;
    ReturnWaiting(request::ReturnReason::kDraining);
    ReportToAll(now);
  }

  /// A packet that an entry instance sent on.
  void OnCallerPacket(const request::Endpoint& entry,
                      const request::HopMessage& message,
                      const request::ParsedPacket& packet, TimePoint now) {
    NoteEntry(entry, now);
    if (message.service != tag_) {
      packet.IsFirst()
          ? Return(entry, packet, request::ReturnReason::kWrongService)
          : DenyFlow(entry, packet.flow);
      return;
    }
    const auto it = flows_.find(packet.flow);
    if (packet.IsFirst()) {
      if (it != flows_.end() && it->second.caller_isn == packet.sequence) {
        sink_->Deliver(packet.bytes);
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

  void OnHopMessage(const request::Endpoint& entry,
                    const request::HopMessage& message, TimePoint now) {
    NoteEntry(entry, now);
    if (message.kind == request::HopKind::kHello) {
      SendReport(entry);
    } else if (message.kind == request::HopKind::kUnlisted) {
      SendReport(entry);
      sink_->RecordMissing();
    } else if (message.kind == request::HopKind::kLocate) {
      OnLocate(entry, message);
    } else if (message.kind == request::HopKind::kList) {
      ListFlows(entry, message);
    }
  }

  /// A packet that the upstream sent.
  void OnUpstreamPacket(const request::ParsedPacket& packet, TimePoint now) {
    const request::FlowKey key = request::Reverse(packet.flow);
    first_unanswered_.reset();
    if (load_.unresponsive) {
      load_.unresponsive = false;
      Report(GateVerdict::kResponsive, key);
      ReportToAll(now);
    }
    auto it = flows_.find(key);
    if (it == flows_.end()) {
      it = flows_.emplace(key, Flow()).first;
      // The answer to a first packet opens nothing.
      it->second.open = !packet.syn;
      Report(GateVerdict::kAdopted, key);
    }
    Flow& flow = it->second;
    flow.last_packet = now;
    if (packet.ack) {
      NoteReceived(&flow, packet.acknowledgment);
    }
    if (packet.syn) {
      flow.upstream_isn = packet.sequence;
    } else if (packet.payload_size > 0) {
      FinishRequest(&flow, now);
    }
    if (flow.probed_by) {
      flow.open = true;
      AnswerLocate(*flow.probed_by, request::HopKind::kHeld, key);
      flow.probed_by.reset();
    }
    if (packet.fin || packet.rst) {
      flow.upstream_ended = true;
      EndWork(&flow);
    }
    sink_->Answer(key.caller, packet.bytes);
    AdmitWaiting(now);
  }

  /// A caller's packet that the upstream did not take; its marks are cleared.
  void OnRejectedPacket(const request::ParsedPacket& packet, TimePoint now) {
    first_unanswered_.reset();
    const auto it = flows_.find(packet.flow);
    if (it == flows_.end()) {
      return;
    }
    Flow flow = it->second;
    if (packet.IsFirst() && flow.open) {
      return;
    }
    EndWork(&it->second);
    flows_.erase(it);
    if (packet.IsFirst()) {
      Return(flow.entry, packet, request::ReturnReason::kRejected);
    } else {
      const bool was_held = flow.open && !flow.probed_by;
      Report(was_held ? GateVerdict::kLost : GateVerdict::kNotHeld,
             packet.flow);
      if (denied_.size() < kMaxDenials) {
        denied_[packet.flow] = now;
      }
      AnswerLocate(flow.entry, request::HopKind::kNotHeld, packet.flow);
      if (was_held && !flow.caller_ended && !flow.upstream_ended) {
        sink_->Reset(packet);
      }
    }
    ReportToAll(now);
  }

  /// To be called every `kTick`.
  void OnTick(TimePoint now) {
    CheckResponsive(now);
    AdmitWaiting(now);
    load_.open_flows = static_cast<uint32_t>(CountOpen());
    for (auto& [entry, state] : entries_) {
      if (state.report_due && now - state.reported_at >= kReportPeriod) {
        SendReport(entry);
        state.report_due = false;
        state.reported_at = now;
      }
    }
    if (now >= next_sweep_) {
      next_sweep_ = now + kSweepPeriod;
      Sweep(now);
    }
  }

  /// Longest time between two calls of `OnTick`.
  static constexpr std::chrono::milliseconds kTick{50};

  size_t flows() const { return flows_.size(); }
  const request::UpstreamLoad& load() const { return load_; }
  size_t waiting() const { return waiting_.size(); }
  const UpstreamIdentity& identity() const { return identity_; }
  /// When an entry instance was heard last.
  TimePoint entry_heard_at() const { return entry_heard_at_; }

 private:
  using Milliseconds = std::chrono::milliseconds;

  // An entry instance learns of a changed load within this time.
  static constexpr Milliseconds kReportPeriod{100};
  // An upstream answers a first packet in less than 1 ms; one that works with
  // every slot still does.
  static constexpr Milliseconds kUnresponsiveAfter{120};
  // Pause between two trials of an unresponsive upstream.
  static constexpr Milliseconds kTrialPeriod{400};
  static constexpr Milliseconds kSweepPeriod{1000};
  static constexpr Milliseconds kOpeningLife{2000};
  static constexpr Milliseconds kEndedLife{4000};
  // Open flows may be forgotten: the upstream tells of those that it holds.
  static constexpr Milliseconds kIdleLife{60000};
  static constexpr Milliseconds kEntryLife{10000};
  // A flow that was offered to the upstream and sent no request for this long
  // is no work to come: its caller has left or opened it at another upstream.
  static constexpr Milliseconds kOpeningWork{30};
  // An upstream that started at most this long (ms) before this process got no
  // flows through an earlier one: that would have had to start, to become
  // known, to end and to be replaced meanwhile.
  static constexpr uint64_t kHeadStart = 1000;
  // A request that has no answer after this time will have none: its caller
  // gave up in the middle of an upload, or the answer was lost with an earlier
  // process. Requests take less than half a second in a slot.
  static constexpr Milliseconds kLongestWork{5000};
  // How long the upstream's word that it does not hold a flow is believed.
  static constexpr Milliseconds kDenialLife{10000};
  static constexpr size_t kMaxDenials = 20000;
  // Weight of one request in the mean service time.
  static constexpr double kServiceTimeWeight = 0.05;
  // Weight of one flow in the share of flows that sent a request.
  static constexpr double kOpenedShareWeight = 0.05;

  struct Flow {
    request::Endpoint entry;
    uint32_t caller_isn = 0;
    std::optional<uint32_t> upstream_isn;
    /// This process admitted the flow; otherwise it may have missed packets.
    bool admitted = false;
    bool open = false;
    bool caller_ended = false;
    bool upstream_ended = false;
    /// A request was handed over and its answer has not begun.
    bool busy = false;
    /// Counted as work to come.
    bool opening = false;
    uint16_t in_progress_at_start = 0;
    /// The sequence number after the caller's data that was handed over;
    /// nothing before the first.
    std::optional<uint32_t> caller_next;
    TimePoint request_at;
    TimePoint last_packet;
    TimePoint admitted_at;
    /// Set while the upstream is asked whether it holds the flow.
    std::optional<request::Endpoint> probed_by;
  };

  struct Admitted {
    request::FlowKey flow;
    TimePoint at;
  };

  struct Entry {
    TimePoint heard_at;
    TimePoint reported_at;
    bool report_due = true;
  };

  void Report(GateVerdict verdict, const request::FlowKey& flow,
              request::ReturnReason reason = request::ReturnReason::kNone) {
    sink_->Decided({verdict, flow, reason, load_.in_progress, load_.opening,
                    waiting_.size()});
  }

  // Requests that flows which were offered to the upstream will send. Callers
  // that were asked by several entry instances open a flow at one upstream
  // only, and some have left.
  size_t ExpectedRequests() const {
    return static_cast<size_t>(std::ceil(load_.opening * opened_share_));
  }

  OfferState State() const {
    OfferState state;
    state.slots = load_.slots;
    state.work = load_.in_progress + ExpectedRequests();
    state.waiting = waiting_.size();
    state.service_time = std::chrono::microseconds{load_.service_time_us};
    return state;
  }

  void NoteEntry(const request::Endpoint& entry, TimePoint now) {
    entry_heard_at_ = now;
    Entry& state = entries_[entry];
    state.heard_at = now;
    state.report_due = true;
  }

  void OnFirstPacket(const request::Endpoint& entry,
                     const request::HopMessage& message,
                     const request::ParsedPacket& packet, TimePoint now) {
    if (load_.draining) {
      Return(entry, packet, request::ReturnReason::kDraining);
      return;
    }
    if (load_.unresponsive) {
      if (now < next_trial_) {
        Return(entry, packet, request::ReturnReason::kUnresponsive);
        return;
      }
      next_trial_ = now + kTrialPeriod;
    }
    switch (AnswerOffer(State(), message.final_offer, message.max_wait)) {
      case OfferAnswer::kDeliver:
        Admit(entry, packet, now);
        return;
      case OfferAnswer::kWait: {
        WaitingFlow flow;
        flow.flow = packet.flow;
        flow.caller_isn = packet.sequence;
        flow.entry = entry;
        flow.until = now + message.max_wait;
        flow.bytes.assign(packet.bytes.begin(), packet.bytes.end());
        if (waiting_.Push(std::move(flow))) {
          Report(GateVerdict::kWaiting, packet.flow);
          return;
        }
        break;
      }
      case OfferAnswer::kReturn:
        break;
    }
    // The entry instance decides with the current load, not with a report that
    // may be older than the requests in progress.
    SendReport(entry);
    Return(entry, packet, request::ReturnReason::kQueueFull);
  }

  void Admit(const request::Endpoint& entry,
             const request::ParsedPacket& packet, TimePoint now) {
    if (const auto old = flows_.find(packet.flow); old != flows_.end()) {
      EndWork(&old->second);
    }
    Flow flow;
    flow.entry = entry;
    flow.caller_isn = packet.sequence;
    flow.admitted = true;
    flow.admitted_at = now;
    flow.last_packet = now;
    flow.opening = true;
    ++load_.opening;
    admitted_.push_back({packet.flow, now});
    flows_.insert_or_assign(packet.flow, flow);
    denied_.erase(packet.flow);
    if (!first_unanswered_) {
      first_unanswered_ = now;
    }
    Report(GateVerdict::kAdmitted, packet.flow);
    sink_->Deliver(packet.bytes);
  }

  void ExpireOpenings(TimePoint now) {
    while (!admitted_.empty() && now - admitted_.front().at > kOpeningWork) {
      const auto it = flows_.find(admitted_.front().flow);
      // The port may have been used again meanwhile.
      if (it != flows_.end() &&
          it->second.admitted_at == admitted_.front().at &&
          it->second.opening) {
        EndOpening(&it->second);
        CountOpening(/*sent_request=*/false);
      }
      admitted_.pop_front();
    }
  }

  // Hands waiting first packets to the upstream while it has room.
  void AdmitWaiting(TimePoint now) {
    ExpireOpenings(now);
    // An upstream that owes an answer may be silent.
    const bool silent =
        first_unanswered_ && now - *first_unanswered_ > kOpeningWork;
    while (!silent && !waiting_.empty() && HasRoom(State())) {
      if (const auto it = waiting_.Pop(now)) {
        Admit(it->entry, it->Packet(), now);
      }
    }
  }

  void ReturnWaiting(request::ReturnReason reason) {
    for (const WaitingFlow& it : waiting_.TakeAll()) {
      Return(it.entry, it.Packet(), reason);
    }
  }

  void OnKnownFlow(const request::Endpoint& entry, Flow* flow,
                   const request::ParsedPacket& packet, TimePoint now) {
    // A caller that acknowledges an answer before this upstream's has passed
    // here opened the flow elsewhere, too.
    const bool other_upstream_chosen =
        !flow->open && packet.ack &&
        (flow->upstream_isn ? packet.acknowledgment != *flow->upstream_isn + 1
                            : flow->admitted);
    if (other_upstream_chosen) {
      EndWork(flow);
      flows_.erase(packet.flow);
      DenyFlow(entry, packet.flow);
      return;
    }
    flow->entry = entry;
    flow->open = true;
    flow->last_packet = now;
    if (packet.payload_size > 0 && IsNew(flow, packet) && !flow->busy) {
      StartRequest(flow, now);
    }
    if (packet.fin || packet.rst) {
      flow->caller_ended = true;
      if (packet.rst) {
        EndWork(flow);
      }
    }
    sink_->Deliver(packet.bytes);
  }

  void OnUnknownFlow(const request::Endpoint& entry,
                     const request::ParsedPacket& packet, TimePoint now) {
    if (known_from_start_ || denied_.contains(packet.flow)) {
      DenyFlow(entry, packet.flow);
      return;
    }
    Flow flow;
    flow.entry = entry;
    flow.last_packet = now;
    flow.admitted_at = now;
    flow.probed_by = entry;
    flows_.insert_or_assign(packet.flow, flow);
    Report(GateVerdict::kProbed, packet.flow);
    sink_->Deliver(packet.bytes);
  }

  void OnLocate(const request::Endpoint& entry,
                const request::HopMessage& message) {
    if (message.service != tag_) {
      AnswerLocate(entry, request::HopKind::kNotHeld, message.flow);
      return;
    }
    const auto it = flows_.find(message.flow);
    if (it == flows_.end() || it->second.probed_by) {
      AnswerLocate(entry,
                   known_from_start_ || denied_.contains(message.flow)
                       ? request::HopKind::kNotHeld
                       : request::HopKind::kInconclusive,
                   message.flow);
      return;
    }
    const Flow& flow = it->second;
    const bool held =
        flow.open ||
        (flow.upstream_isn && message.acknowledgment == *flow.upstream_isn + 1);
    AnswerLocate(entry,
                 held ? request::HopKind::kHeld : request::HopKind::kNotHeld,
                 message.flow);
  }

  // Answers in at least one part, so that a sidecar without flows answers too.
  void ListFlows(const request::Endpoint& entry,
                 const request::HopMessage& question) {
    std::vector<uint32_t> fingerprints;
    if (question.service == tag_) {
      for (const auto& [key, flow] : flows_) {
        fingerprints.push_back(request::FlowFingerprint(key));
      }
    }
    request::HopMessage answer;
    answer.kind = request::HopKind::kFlows;
    answer.service = tag_;
    answer.list.round = question.list.round;
    answer.list.inconclusive = question.service == tag_ && !known_from_start_;
    answer.list.parts = static_cast<uint16_t>(std::max<size_t>(
        1, (fingerprints.size() + request::kMaxFingerprintsPerDatagram - 1) /
               request::kMaxFingerprintsPerDatagram));
    for (uint16_t i = 0; i < answer.list.parts; ++i) {
      answer.list.part = i;
      const size_t at = i * request::kMaxFingerprintsPerDatagram;
      const size_t n = std::min(request::kMaxFingerprintsPerDatagram,
                                fingerprints.size() - at);
      sink_->Send(
          entry, answer,
          request::EncodeFingerprints(std::span(fingerprints).subspan(at, n)));
    }
  }

  void AnswerLocate(const request::Endpoint& entry, request::HopKind kind,
                    const request::FlowKey& flow) {
    if (entry == request::Endpoint()) {
      return;
    }
    request::HopMessage answer;
    answer.kind = kind;
    answer.service = tag_;
    answer.flow = flow;
    sink_->Send(entry, answer, {});
  }

  void DenyFlow(const request::Endpoint& entry, const request::FlowKey& flow) {
    Report(GateVerdict::kNotHeld, flow);
    AnswerLocate(entry, request::HopKind::kNotHeld, flow);
  }

  void Return(const request::Endpoint& entry,
              const request::ParsedPacket& packet,
              request::ReturnReason reason) {
    Report(GateVerdict::kReturned, packet.flow, reason);
    if (entry == request::Endpoint()) {
      return;
    }
    request::HopMessage message;
    message.kind = request::HopKind::kReturned;
    message.service = tag_;
    message.reason = reason;
    sink_->Send(entry, message, packet.bytes);
  }

  static bool IsAfter(uint32_t sequence, uint32_t other) {
    return static_cast<int32_t>(sequence - other) > 0;
  }

  static void NoteReceived(Flow* flow, uint32_t next) {
    if (!flow->caller_next || IsAfter(next, *flow->caller_next)) {
      flow->caller_next = next;
    }
  }

  // Whether a packet carries data that the upstream has not had. A caller whose
  // answer is on its way may send its request again.
  static bool IsNew(Flow* flow, const request::ParsedPacket& packet) {
    const uint32_t next = packet.sequence + packet.payload_size;
    const bool is_new = !flow->caller_next || IsAfter(next, *flow->caller_next);
    NoteReceived(flow, next);
    return is_new;
  }

  void CountOpening(bool sent_request) {
    opened_share_ +=
        ((sent_request ? 1.0 : 0.0) - opened_share_) * kOpenedShareWeight;
  }

  void StartRequest(Flow* flow, TimePoint now) {
    if (flow->opening) {
      CountOpening(/*sent_request=*/true);
    }
    EndOpening(flow);
    flow->busy = true;
    flow->request_at = now;
    ++load_.in_progress;
    flow->in_progress_at_start = load_.in_progress;
  }

  void EndOpening(Flow* flow) {
    if (flow->opening) {
      flow->opening = false;
      --load_.opening;
    }
  }

  void FinishRequest(Flow* flow, TimePoint now) {
    if (!flow->busy) {
      return;
    }
    flow->busy = false;
    --load_.in_progress;
    if (!flow->admitted) {
      // The upstream may have had the request since before this process
      // started, so that its answer comes at once.
      return;
    }
    // Requests that found every slot busy waited for some of their time.
    const double waited =
        std::max(1.0, flow->in_progress_at_start /
                          std::max(1.0, static_cast<double>(load_.slots)));
    const double taken =
        std::chrono::duration<double, std::micro>(now - flow->request_at)
            .count() /
        waited;
    const double mean =
        load_.service_time_us == 0
            ? taken
            : load_.service_time_us +
                  (taken - load_.service_time_us) * kServiceTimeWeight;
    load_.service_time_us = static_cast<uint32_t>(std::max(1.0, mean));
  }

  void EndWork(Flow* flow) {
    EndOpening(flow);
    if (flow->busy) {
      flow->busy = false;
      --load_.in_progress;
    }
  }

  void CheckResponsive(TimePoint now) {
    if (!first_unanswered_ || load_.unresponsive ||
        now - *first_unanswered_ < kUnresponsiveAfter) {
      return;
    }
    load_.unresponsive = true;
    next_trial_ = now + kTrialPeriod;
    Report(GateVerdict::kUnresponsive, {});
    ReturnWaiting(request::ReturnReason::kUnresponsive);
    ReportToAll(now);
  }

  void ReportToAll(TimePoint now) {
    for (auto& [entry, state] : entries_) {
      SendReport(entry);
      state.report_due = false;
      state.reported_at = now;
    }
  }

  void SendReport(const request::Endpoint& entry) {
    request::HopMessage message;
    message.kind = request::HopKind::kLoad;
    message.service = tag_;
    message.load = load_;
    message.load.opening =
        static_cast<uint16_t>(load_.opening + waiting_.size());
    sink_->Send(entry, message, {});
  }

  size_t CountOpen() const {
    return static_cast<size_t>(
        std::count_if(flows_.begin(), flows_.end(), [](const auto& it) {
          const Flow& flow = it.second;
          return flow.open && !flow.caller_ended && !flow.upstream_ended;
        }));
  }

  void Sweep(TimePoint now) {
    absl::erase_if(flows_, [&](auto& it) {
      Flow& flow = it.second;
      if (flow.busy && now - flow.request_at > kLongestWork) {
        EndWork(&flow);
      }
      const auto age = now - flow.last_packet;
      const bool ended = flow.caller_ended || flow.upstream_ended;
      const bool old = ended       ? age > kEndedLife
                       : flow.open ? age > kIdleLife
                                   : age > kOpeningLife;
      if (old) {
        EndWork(&flow);
      }
      return old;
    });
    absl::erase_if(
        denied_, [&](const auto& it) { return now - it.second > kDenialLife; });
    absl::erase_if(entries_, [&](const auto& it) {
      return now - it.second.heard_at > kEntryLife;
    });
  }

  struct EndpointHash {
    size_t operator()(const request::Endpoint& endpoint) const {
      return request::FlowKeyHash()({endpoint, {}, 0});
    }
  };

  UpstreamIdentity identity_;
  request::ServiceTag tag_;
  uint64_t started_ms_;
  S* sink_;
  request::UpstreamLoad load_;
  /// This process has seen every flow of the upstream's incarnation.
  bool known_from_start_ = false;
  absl::flat_hash_map<request::FlowKey, Flow, request::FlowKeyHash> flows_;
  /// Flows that the upstream rejected, with the time of that.
  absl::flat_hash_map<request::FlowKey, TimePoint, request::FlowKeyHash>
      denied_;
  absl::flat_hash_map<request::Endpoint, Entry, EndpointHash> entries_;
  TimePoint entry_heard_at_;
  WaitingFlows waiting_;
  /// Flows that were admitted lately, in that order.
  std::deque<Admitted> admitted_;
  /// Share of the flows offered to the upstream that sent a request.
  double opened_share_ = 1.0;
  /// First packet that the upstream has not answered.
  std::optional<TimePoint> first_unanswered_;
  TimePoint next_trial_;
  TimePoint next_sweep_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_UPSTREAM_GATE_H_
