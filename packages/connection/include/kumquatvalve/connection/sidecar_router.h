#ifndef KUMQUATVALVE_CONNECTION_SIDECAR_ROUTER_H_
#define KUMQUATVALVE_CONNECTION_SIDECAR_ROUTER_H_

#include <absl/container/flat_hash_map.h>
#include <netinet/in.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/connection/flow_directory.h"
#include "kumquatvalve/connection/flow_table.h"
#include "kumquatvalve/connection/peer_message.h"
#include "kumquatvalve/connection/reset_packet.h"
#include "kumquatvalve/connection/router_sink.h"
#include "kumquatvalve/connection/row_ownership.h"
#include "kumquatvalve/connection/silent_detector.h"
#include "kumquatvalve/connection/timestamp_hint.h"
#include "kumquatvalve/request/flow_hash.h"
#include "kumquatvalve/request/forward_header.h"
#include "kumquatvalve/request/holder_hint.h"
#include "kumquatvalve/request/packet.h"
#include "kumquatvalve/version/forwarding_table.h"

namespace kumquatvalve::connection {

/// What a sidecar's router is made for.
struct SidecarRouterConfig {
  request::InstanceId self;
  request::Incarnation incarnation;
  request::ServiceId service;
  /// Chooses rows; the same at all entry instances and sidecars.
  request::HashKey hash_key{};
  size_t max_flows = 200000;
  size_t max_directory = 200000;
  /// First packets that wait for a slot or for a takeover.
  size_t max_held = 256;
  /// Packets that wait for the upstream's answer to a probe.
  size_t max_probes = 4096;
  /// Probes and questions to peers about unknown flows, per second.
  size_t max_recoveries_per_second = 4000;
  /// Extend TCP timestamps by the holder hint. Must stay the same while flows
  /// are open.
  bool timestamp_hint = true;
  SilentSettings silent;
};

/// Alive or dead by the view of membership.
enum class PeerState : uint8_t { kAlive, kDead };

/// Numbers since the start, for metrics and proofs.
struct SidecarRouterStats {
  uint64_t admitted = 0;
  uint64_t passed_on = 0;
  uint64_t refused = 0;
  uint64_t adopted = 0;
  uint64_t evicted = 0;
  uint64_t second_hops = 0;
  uint64_t silent_ended = 0;
  uint64_t probes = 0;
};

/// The flow routing decisions of a sidecar (docs/routing.md): a function of
/// packets, messages of peers, tables and a passed-in clock. Calls come from
/// one thread, with times that do not decrease.
template <RouterSink S, AdmissionPolicy P>
class SidecarRouter {
 public:
  using TablePtr = RowOwnership::TablePtr;

  /// A longer time between two calls means that the process was paused: peers
  /// may have taken its rows, so it claims them again before it admits a flow.
  static constexpr std::chrono::milliseconds kPause{700};
  /// A caller that gets no answer to its SYN tries again after 1 s, so that a
  /// packet held much longer would be of no use.
  static constexpr std::chrono::milliseconds kMaxHold{3000};
  static constexpr std::chrono::seconds kHalfOpenLife{70};
  static constexpr std::chrono::seconds kClosingLife{10};
  static constexpr std::chrono::seconds kDatagramLife{60};
  static constexpr std::chrono::seconds kProbeLife{1};
  /// How often a holder names all its flows to their owners.
  static constexpr std::chrono::seconds kRegistrationPeriod{300};

  /// `sink` and `policy` must outlive the router.
  SidecarRouter(const SidecarRouterConfig& config, S* sink, P* policy,
                TimePoint now)
      : config_(config),
        sink_(sink),
        policy_(policy),
        flows_(config.max_flows, [this](const Flow& flow) { OnEvict(flow); }),
        directory_(config.max_directory),
        rows_(config.self, config.service),
        detector_(config.silent),
        now_(now),
        no_refusal_until_(now + RowOwnership::kNoRefusal),
        next_registration_(now + kRegistrationPeriod) {}

  SidecarRouter(const SidecarRouter&) = delete;
  SidecarRouter& operator=(const SidecarRouter&) = delete;

  /// A datagram of an entry instance or a peer. `packet` must refer to the
  /// caller's side: its source is the caller.
  void OnForwarded(const request::ForwardHeader& header,
                   const request::ParsedPacket& packet, TimePoint now) {
    Advance(now);
    if (header.service != config_.service || header.target != config_.self) {
      sink_->Drop(request::ResultCode::kWrongService);
      return;
    }
    if (header.target_incarnation != config_.incarnation) {
      sink_->Drop(request::ResultCode::kWrongIncarnation);
      return;
    }
    Route(header, packet, now);
    AfterEvent(now);
  }

  /// A packet that the local upstream sent.
  void OnUpstreamPacket(const request::ParsedPacket& packet, TimePoint now) {
    Advance(now);
    const request::FlowKey key = request::Reverse(packet.flow);
    Flow* flow = flows_.Find(key);
    if (flow == nullptr) {
      flow = Adopt(key, packet, now);
      if (flow == nullptr) {
        return;
      }
    }
    if (key.protocol == IPPROTO_UDP) {
      flows_.Place(flow, FlowState::kDatagram, now);
      sink_->Answer(packet.bytes);
      return;
    }
    OnUpstreamSegment(flow, packet, now);
    AfterEvent(now);
  }

  void OnPeerMessage(request::InstanceId from, const PeerMessage& message,
                     TimePoint now) {
    Advance(now);
    std::visit([&](const auto& it) { OnMessage(from, it, now); }, message);
    AfterEvent(now);
  }

  void OnTable(TablePtr table, TimePoint now) {
    Advance(now);
    if (rows_.OnTable(std::move(table), now)) {
      policy_->OnTable(*rows_.table(), now);
      FollowTableDrain(now);
      SendClaims(now);
      RegisterMoved();
    }
  }

  /// A peer's state by membership; a larger incarnation is a restart.
  void OnPeerState(request::InstanceId instance,
                   request::Incarnation incarnation, PeerState state,
                   TimePoint now) {
    Advance(now);
    request::Incarnation& known = incarnations_[instance];
    if (incarnation < known) {
      return;
    }
    if (known < incarnation && known.value != 0) {
      directory_.KeepAfterRestart(instance);
      for (auto& it : registered_with_) {
        if (it == instance) {
          it = {};
        }
      }
      registered_generation_ = kNeverRegistered;
    }
    // Nobody knows which SYNs a peer that died or restarted delivered.
    if (state == PeerState::kDead ||
        (known < incarnation && known.value != 0)) {
      no_refusal_until_ = now + RowOwnership::kNoRefusal;
    }
    known = incarnation;
    rows_.OnPeerState(instance, state == PeerState::kAlive, now);
    if (state == PeerState::kDead) {
      policy_->OnPeerRemoved(instance, now);
    }
    SendClaims(now);
    RegisterMoved();
  }

  /// Whether the membership lease is valid.
  void OnLeaseState(bool valid, TimePoint now) {
    Advance(now);
    rows_.OnLease(valid, now);
    SendClaims(now);
  }

  /// To be called at least every 100 ms, and more often while first packets are
  /// held for a slot: they are decided on again at the times that the admission
  /// policy sets.
  void OnTick(TimePoint now) {
    Advance(now);
    SendClaims(now);
    RegisterMoved();
    ReleaseHeld(now);
    ExpireFlows(now);
    CheckSilent(now);
    directory_.Expire(now);
    std::erase_if(probes_, [&](const auto& it) {
      return now - it.second.since >= kProbeLife;
    });
    absl::erase_if(refused_, [&](const auto& it) {
      return now - it.second.since >= RowOwnership::kNoRefusal;
    });
    if (now >= next_registration_) {
      next_registration_ = now + kRegistrationPeriod;
      RegisterAll();
    }
    FlushRegistrations();
    SendReports(now);
  }

  /// From this call on no new flow is taken; open flows go on.
  void StartDrain(TimePoint now) {
    Advance(now);
    draining_ = true;
    drained_by_table_ = false;
    policy_->StartDrain(now);
    ReleaseHeld(now);
    policy_event_ = true;
    SendReports(now);
  }

  /// Flows that a drain has to wait for.
  size_t OpenFlows() const { return flows_.open(); }

  const SidecarRouterStats& stats() const { return stats_; }
  const FlowTable& flows() const { return flows_; }
  const FlowDirectory& directory() const { return directory_; }
  const RowOwnership& rows() const { return rows_; }

 private:
  using Header = request::ForwardHeader;
  using Packet = request::ParsedPacket;
  using Code = request::ResultCode;

  // Data in flight of one side, at most; larger than the buffers of any
  // operating system's TCP in use. Segments further off belong to another
  // connection with the same addresses.
  static constexpr uint32_t kMaxWindow = 1U << 26;
  static constexpr size_t kMaxPeersAsked = 8;
  static constexpr size_t kFlowsPerMessage = 512;
  static constexpr size_t kMaxRefusedRemembered = 65536;
  static constexpr uint64_t kNeverRegistered =
      std::numeric_limits<uint64_t>::max();

  struct Held {
    Header header;
    request::FlowKey key;
    std::vector<std::byte> bytes;
    TimePoint since;
    TimePoint retry_at;
  };
  struct Probe {
    Header header;
    std::vector<std::byte> bytes;
    TimePoint since;
  };
  struct Refused {
    uint32_t isn = 0;
    TimePoint since;
  };

  static bool IsTcp(const request::FlowKey& key) {
    return key.protocol == IPPROTO_TCP;
  }
  static bool After(uint32_t a, uint32_t b) {
    return static_cast<int32_t>(a - b) > 0;
  }
  static uint32_t SegmentEnd(const Packet& packet) {
    return packet.sequence + packet.payload_size + (packet.syn ? 1 : 0) +
           (packet.fin ? 1 : 0);
  }

  void Advance(TimePoint now) {
    const bool paused = now - now_ > kPause;
    now_ = std::max(now_, now);
    if (paused && rows_.lease_valid()) {
      rows_.OnLease(false, now);
      rows_.OnLease(true, now);
      SendClaims(now);
    }
  }

  // Lets the admission policy act on what the last event changed.
  void AfterEvent(TimePoint now) {
    if (policy_event_) {
      ReleaseHeld(now);
    }
    if (policy_event_ || reports_due_) {
      SendReports(now);
    }
  }

  // An operator's drain comes with the table and can be taken back; a drain of
  // this process that stops cannot.
  void FollowTableDrain(TimePoint now) {
    const version::UpstreamEntry* self = rows_.table()->Find(config_.self);
    const bool drain = self != nullptr && self->draining;
    if (drain && !draining_) {
      StartDrain(now);
      drained_by_table_ = true;
    } else if (!drain && drained_by_table_) {
      drained_by_table_ = false;
      draining_ = false;
      policy_->EndDrain(now);
    }
  }

  void SendReports(TimePoint now) {
    policy_event_ = false;
    reports_due_ = false;
    for (const AddressedReport& it : policy_->MakeReports(now)) {
      sink_->Send(it.to, it.report);
    }
  }

  uint32_t HashOf(const request::FlowKey& key) const {
    return static_cast<uint32_t>(request::HashFlow(config_.hash_key, key));
  }
  request::RowIndex RowOf(uint32_t hash) const {
    return rows_.table() == nullptr ? request::RowIndex{0}
                                    : rows_.table()->RowOf(hash);
  }

  // The decision order of docs/design.md, section 2, from rule 2 on.
  void Route(const Header& header, const Packet& packet, TimePoint now) {
    const request::FlowKey& key = packet.flow;
    Flow* flow = flows_.Find(key);
    if (flow != nullptr && FromCaller(flow, packet, now)) {
      return;
    }
    const bool mismatch = flow != nullptr && flows_.Find(key) != nullptr;
    const bool first = packet.IsFirst();
    if (first && RefusedBefore(packet)) {
      return;
    }
    const uint32_t hash = HashOf(key);
    const request::RowIndex row = RowOf(hash);
    if (FollowDirectory(header, packet, row, now)) {
      return;
    }
    if (rows_.table() == nullptr) {
      sink_->Drop(Code::kNoUpstream);
      return;
    }
    if (mismatch) {
      sink_->Drop(Code::kWrongAcknowledgment);
      // Two sidecars admitted the flow while its row changed hands, and the
      // caller took the other one's SYN-ACK.
      if ((header.flags & request::kAskPrevious) == 0) {
        AskPeers(header, packet, row, now);
      }
      return;
    }
    const bool named =
        (header.flags & (request::kHolderKnown | request::kPassedOn)) != 0;
    if (named) {
      first ? Admit(header, packet, hash, row, now, now)
            : ProbeUpstream(header, packet, now);
      return;
    }
    if ((header.flags & request::kAskPrevious) != 0) {
      AnswerQuestion(header, packet, hash, row, now);
      return;
    }
    switch (rows_.state(row)) {
      case RowState::kNotOwned:
      case RowState::kCeded:
        ToOwner(header, packet, row);
        return;
      case RowState::kTaking:
        WhileTaking(header, packet, hash, row, now);
        return;
      case RowState::kOwned:
        if (first) {
          Admit(header, packet, hash, row, now, now);
        } else {
          ProbeUpstream(header, packet, now);
          AskPeers(header, packet, row, now);
        }
        return;
    }
  }

  // Rule 3.
  bool FollowDirectory(const Header& header, const Packet& packet,
                       request::RowIndex row, TimePoint now) {
    FlowDirectory::Entry* entry = directory_.Find(packet.flow);
    if (entry == nullptr) {
      return false;
    }
    // A holder that had no room passed the flow on to this sidecar; an entry
    // that no holder confirmed would send it round in a circle.
    const bool passed_back = (header.flags & request::kPassedOn) != 0 &&
                             (entry->holder == header.sender ||
                              entry->round == FlowDirectory::kUnconfirmed);
    // Two sidecars that name each other: the upstream is asked.
    const bool named_back = (header.flags & request::kHolderKnown) != 0 &&
                            entry->holder == header.sender;
    // The way to the holder is too long.
    const bool too_far = packet.IsFirst() && header.hops >= request::kMaxHops &&
                         entry->round == FlowDirectory::kUnconfirmed;
    const bool useless = passed_back || named_back || too_far ||
                         entry->holder == config_.self ||
                         (packet.IsFirst() && rows_.IsDead(entry->holder));
    if (useless) {
      directory_.Erase(packet.flow);
      return false;
    }
    entry->used = now;
    ++stats_.second_hops;
    Forward(entry->holder, request::kHolderKnown, header, packet, row);
    return true;
  }

  // Rule 4.
  void ToOwner(const Header& header, const Packet& packet,
               request::RowIndex row) {
    const request::InstanceId owner = rows_.OwnerOf(row);
    if (owner == request::InstanceId()) {
      sink_->Drop(Code::kNoUpstream);
    } else if (owner == config_.self) {
      sink_->Drop(Code::kLeaseLapsed);
    } else {
      ++stats_.second_hops;
      Forward(owner, request::kToOwner, header, packet, row);
    }
  }

  // Rule 5 at the new owner.
  void WhileTaking(const Header& header, const Packet& packet, uint32_t hash,
                   request::RowIndex row, TimePoint now) {
    if (!packet.IsFirst()) {
      ProbeUpstream(header, packet, now);
      AskPeers(header, packet, row, now);
      return;
    }
    if ((header.flags & request::kChecked) != 0) {
      Admit(header, packet, hash, row, now, now);
      return;
    }
    const request::InstanceId previous = rows_.PreviousOf(row);
    if (previous != request::InstanceId()) {
      Forward(previous, request::kAskPrevious, header, packet, row);
    } else {
      Hold(header, packet, now, now, now);
    }
  }

  // Rule 5 at a peer that is asked.
  void AnswerQuestion(const Header& header, const Packet& packet, uint32_t hash,
                      request::RowIndex row, TimePoint now) {
    if (!packet.IsFirst()) {
      ProbeUpstream(header, packet, now);
      return;
    }
    // The asking owner admits it, so later copies that still come here have
    // to follow.
    if (std::erase_if(
            held_, [&](const Held& it) { return it.key == packet.flow; }) > 0) {
      policy_->OnFlowEnd(packet.flow, now);
    }
    if (!directory_.RecordPassed(packet.flow, hash, header.sender, now)) {
      sink_->Drop(Code::kQueueFull);
      return;
    }
    Forward(header.sender, request::kToOwner | request::kChecked, header,
            packet, row);
  }

  void Forward(request::InstanceId to, uint8_t flags, const Header& header,
               const Packet& packet, request::RowIndex row) {
    if (header.hops >= request::kMaxHops) {
      sink_->Drop(Code::kTooManyHops);
      return;
    }
    const version::UpstreamEntry* entry =
        rows_.table() == nullptr ? nullptr : rows_.table()->Find(to);
    Header next = header;
    next.flags = flags;
    next.hops = header.hops + 1;
    next.row = row;
    next.service = config_.service;
    next.version = rows_.table() == nullptr ? request::TableVersion()
                                            : rows_.table()->version;
    next.sender = config_.self;
    next.target = to;
    next.target_incarnation =
        std::max(entry == nullptr ? request::Incarnation() : entry->incarnation,
                 IncarnationOf(to));
    sink_->Forward(to, next, packet.bytes);
  }

  request::Incarnation IncarnationOf(request::InstanceId peer) const {
    const auto it = incarnations_.find(peer);
    return it == incarnations_.end() ? request::Incarnation() : it->second;
  }

  // Rule 6. `arrived` is when the packet came here first.
  void Admit(const Header& header, const Packet& packet, uint32_t hash,
             request::RowIndex row, TimePoint arrived, TimePoint now) {
    if (!rows_.lease_valid()) {
      sink_->Drop(Code::kLeaseLapsed);
      return;
    }
    Admission admission;
    if (draining_) {
      admission.kind = Admission::Kind::kPass;
    } else {
      AdmissionRequest request;
      request.flow = packet.flow;
      request.arrived = arrived;
      if ((header.flags & request::kPassedOn) != 0) {
        request.passed = std::max<uint8_t>(1, header.hops - 1);
      }
      admission = policy_->FirstPacket(request, now);
      reports_due_ = true;
    }
    switch (admission.kind) {
      case Admission::Kind::kAccept:
        Accept(packet, hash, row, now);
        return;
      case Admission::Kind::kHold:
        Hold(header, packet, arrived, admission.retry_at, now);
        return;
      case Admission::Kind::kPass:
        PassOn(header, packet, hash, row, admission.pass_to, now);
        return;
      case Admission::Kind::kRefuse:
        Refuse(packet, MayRefuse(header, row, now), now);
        return;
    }
  }

  void Accept(const Packet& packet, uint32_t hash, request::RowIndex row,
              TimePoint now) {
    const bool tcp = IsTcp(packet.flow);
    Flow* flow = flows_.Insert(
        packet.flow, tcp ? FlowState::kHalfOpen : FlowState::kDatagram, now);
    if (flow == nullptr) {
      policy_->OnFlowEnd(packet.flow, now);
      sink_->Drop(Code::kFlowTableFull);
      return;
    }
    flow->hash = hash;
    flow->caller_isn = packet.sequence;
    flow->caller_next = SegmentEnd(packet);
    flow->caller_ts = packet.ts_value.value_or(0);
    flow->has_timestamps = packet.ts_value.has_value();
    ++stats_.admitted;
    refused_.erase(packet.flow);
    if (rows_.OwnerOf(row) != config_.self) {
      registrations_[packet.flow] = true;
    }
    sink_->Deliver(packet.bytes);
  }

  void Hold(const Header& header, const Packet& packet, TimePoint arrived,
            TimePoint retry_at, TimePoint now) {
    for (const Held& it : held_) {
      // A retransmission of a SYN that waits already.
      if (it.key == packet.flow && IsTcp(it.key)) {
        return;
      }
    }
    if (held_.size() >= config_.max_held || now - arrived >= kMaxHold) {
      policy_->OnFlowEnd(packet.flow, now);
      sink_->Drop(Code::kQueueFull);
      return;
    }
    held_.push_back({header,
                     packet.flow,
                     {packet.bytes.begin(), packet.bytes.end()},
                     arrived,
                     retry_at});
  }

  void PassOn(const Header& header, const Packet& packet, uint32_t hash,
              request::RowIndex row, request::InstanceId to, TimePoint now) {
    if (to == request::InstanceId() || to == config_.self ||
        rows_.table()->Find(to) == nullptr || rows_.IsDead(to)) {
      to = OtherUpstream(header, row);
    }
    if (to == request::InstanceId() || header.hops >= request::kMaxHops) {
      Refuse(packet, MayRefuse(header, row, now), now);
      return;
    }
    if (!directory_.RecordPassed(packet.flow, hash, to, now)) {
      sink_->Drop(Code::kQueueFull);
      return;
    }
    ++stats_.passed_on;
    const request::InstanceId owner = rows_.OwnerOf(row);
    if (owner != config_.self && owner != request::InstanceId()) {
      // The owner sends later copies to `to` without a detour.
      RowHandover named;
      named.service = config_.service;
      named.flows.push_back({packet.flow, to});
      named.last = false;
      sink_->Send(owner, named);
    }
    // `kChecked` allows the peer to refuse.
    const uint8_t flags = request::kPassedOn |
                          (MayRefuse(header, row, now) ? request::kChecked : 0);
    Forward(to, flags, header, packet, row);
  }

  // An upstream that may take a flow instead of this one; id 0 for none.
  request::InstanceId OtherUpstream(const Header& header,
                                    request::RowIndex row) const {
    const version::ForwardingTable& table = *rows_.table();
    const auto usable = [&](const version::UpstreamEntry& it) {
      return it.instance != config_.self && it.instance != header.sender &&
             !it.draining && !rows_.IsDead(it.instance);
    };
    const version::UpstreamEntry* owner = table.Find(rows_.OwnerOf(row));
    if (owner != nullptr && usable(*owner)) {
      return owner->instance;
    }
    const version::UpstreamIndex backup = table.backup[row.value];
    if (backup < table.upstreams.size() && usable(table.upstreams[backup])) {
      return table.upstreams[backup].instance;
    }
    const size_t n = table.upstreams.size();
    for (size_t i = 0; i < n; ++i) {
      const auto& it = table.upstreams[(row.value + i) % n];
      if (usable(it)) {
        return it.instance;
      }
    }
    return {};
  }

  // Whether it is known that nothing of the flow reached any upstream. A
  // sidecar that received the packet from an owner relies on the owner for
  // what happened elsewhere.
  bool MayRefuse(const Header& header, request::RowIndex row,
                 TimePoint now) const {
    const bool elsewhere =
        (header.flags & (request::kPassedOn | request::kHolderKnown)) != 0
            ? (header.flags & request::kChecked) != 0
            : rows_.MayRefuse(row, now);
    return elsewhere && now >= no_refusal_until_ &&
           refused_.size() < kMaxRefusedRemembered;
  }

  void Refuse(const Packet& packet, bool may_refuse, TimePoint now) {
    if (!IsTcp(packet.flow) || !may_refuse) {
      // The caller tries again; its next packet may be accepted.
      sink_->Drop(draining_ ? Code::kDraining : Code::kNoUpstream);
      return;
    }
    ++stats_.refused;
    refused_[packet.flow] = {packet.sequence, now};
    sink_->Answer(BuildRefusal(packet));
    sink_->Drop(Code::kRefusedNotRun);
  }

  // A copy of a refused SYN that arrives late must not reach an upstream.
  bool RefusedBefore(const Packet& packet) {
    const auto it = refused_.find(packet.flow);
    if (it == refused_.end()) {
      return false;
    }
    if (it->second.isn != packet.sequence) {
      refused_.erase(it);
      return false;
    }
    sink_->Answer(BuildRefusal(packet));
    return true;
  }

  // Rule 2. Returns false when the packet does not belong to the flow that is
  // held here.
  bool FromCaller(Flow* flow, const Packet& packet, TimePoint now) {
    if (!IsTcp(flow->key)) {
      flows_.Place(flow, FlowState::kDatagram, now);
      sink_->Deliver(packet.bytes);
      return true;
    }
    if (packet.syn) {
      if (packet.ack) {
        sink_->Drop(Code::kUnknownFlow);
        return true;
      }
      const bool repeated = packet.sequence == flow->caller_isn;
      const bool unanswered =
          flow->state == FlowState::kHalfOpen && !flow->syn_ack_seen;
      if (!repeated && (flow->state == FlowState::kClosing || unanswered)) {
        EndFlow(flow, now);
        return false;
      }
      if (repeated) {
        sink_->Deliver(packet.bytes);
      } else {
        Challenge(*flow);
      }
      return true;
    }
    if (packet.rst) {
      const bool half_open = flow->state == FlowState::kHalfOpen;
      const bool acknowledged = packet.sequence == flow->upstream_ack;
      const bool ends =
          packet.sequence == flow->caller_next || (acknowledged && !half_open);
      if (half_open && !ends && !acknowledged) {
        return false;
      }
      // On a half-open flow it may end an old connection that the upstream
      // still has from the caller's port; the caller repeats its SYN then.
      DeliverRestored(*flow, packet);
      if (ends) {
        EndFlow(flow, now);
      }
      return true;
    }
    if (!packet.ack || !Fits(*flow, packet)) {
      return false;
    }
    OnCallerSegment(flow, packet, now);
    return true;
  }

  // Answers the SYN of a caller that uses the port of an open flow again (RFC
  // 5961, section 4): the caller resets the old flow and repeats its SYN. The
  // upstream does not see the SYN, so that the new flow can still be refused.
  void Challenge(const Flow& flow) {
    EmptySegment segment;
    segment.flow = request::Reverse(flow.key);
    segment.ack = true;
    segment.sequence = flow.upstream_next;
    segment.acknowledgment = flow.upstream_ack;
    sink_->Answer(BuildSegment(segment));
  }

  bool Fits(const Flow& flow, const Packet& packet) const {
    if (flow.state == FlowState::kHalfOpen) {
      return flow.syn_ack_seen && packet.acknowledgment == flow.upstream_next;
    }
    const uint32_t unacknowledged = flow.upstream_next - packet.acknowledgment;
    const uint32_t offset = packet.sequence - flow.upstream_ack;
    return unacknowledged <= kMaxWindow &&
           offset + kMaxWindow <= 2 * kMaxWindow;
  }

  void OnCallerSegment(Flow* flow, const Packet& packet, TimePoint now) {
    const request::FlowKey key = flow->key;
    if (flow->state == FlowState::kHalfOpen) {
      flows_.Place(flow, FlowState::kOpen, now);
      directory_.Erase(key);
      detector_.OnNewFlow(now);
    }
    if (packet.ts_value) {
      flow->caller_ts = *packet.ts_value;
      flow->has_timestamps = true;
    }
    if (After(SegmentEnd(packet), flow->caller_next)) {
      flow->caller_next = SegmentEnd(packet);
    }
    flow->caller_fin = flow->caller_fin || packet.fin;
    const bool answer_acknowledged =
        flow->busy && flow->answer_ended &&
        !After(flow->answer_end, packet.acknowledgment);
    const bool request = packet.payload_size > 0 && !flow->busy;
    if (answer_acknowledged) {
      flow->busy = packet.payload_size > 0;
      flow->answer_ended = false;
    }
    if (request) {
      flow->busy = true;
      flow->answer_ended = false;
    }
    DeliverRestored(*flow, packet);
    Touch(flow, true, now);
    policy_event_ = policy_event_ || answer_acknowledged || request;
    if (answer_acknowledged) {
      policy_->OnResponseComplete(key, now);
    }
    if (request || (answer_acknowledged && packet.payload_size > 0)) {
      policy_->OnRequest(key, now);
    }
  }

  void OnUpstreamSegment(Flow* flow, const Packet& packet, TimePoint now) {
    if (packet.rst) {
      if (flow->state == FlowState::kHalfOpen) {
        policy_->OnUpstreamRejected(flow->key, now);
        policy_event_ = true;
      }
      AnswerHinted(packet);
      EndFlow(flow, now);
      return;
    }
    const bool probed = flow->state == FlowState::kProbed;
    if (packet.syn) {
      flow->syn_ack_seen = true;
      flow->upstream_next = packet.sequence + 1;
      flow->upstream_ack = packet.acknowledgment;
      flow->caller_isn = packet.acknowledgment - 1;
    } else {
      if (flow->state == FlowState::kHalfOpen && flow->syn_ack_seen &&
          packet.sequence == flow->upstream_next) {
        // The upstream completed the handshake before a restart here.
        flows_.Place(flow, FlowState::kOpen, now);
      }
      if (After(SegmentEnd(packet), flow->upstream_next)) {
        flow->upstream_next = SegmentEnd(packet);
      }
      const bool challenge =
          flow->state == FlowState::kHalfOpen && !flow->syn_ack_seen;
      if (packet.ack &&
          (challenge || After(packet.acknowledgment, flow->upstream_ack))) {
        flow->upstream_ack = packet.acknowledgment;
      }
      if (packet.fin || (packet.psh && packet.payload_size > 0)) {
        flow->answer_ended = true;
        flow->answer_end = SegmentEnd(packet);
      } else if (packet.payload_size > 0 &&
                 After(SegmentEnd(packet), flow->answer_end)) {
        flow->answer_ended = false;
      }
      if (packet.payload_size > 0 || packet.fin) {
        policy_->OnResponseSegment(flow->key, packet.psh || packet.fin, now);
        policy_event_ = true;
      }
    }
    flow->upstream_fin = flow->upstream_fin || packet.fin;
    if (packet.ts_value) {
      flow->upstream_ts = *packet.ts_value;
    }
    // An answer to the probe is of no use to the caller.
    const bool only_answer = probed && packet.payload_size == 0 &&
                             !packet.fin && !packet.syn &&
                             packet.acknowledgment == flow->upstream_ack;
    if (!only_answer) {
      AnswerHinted(packet);
    }
    if (flow->state != FlowState::kHalfOpen) {
      Touch(flow, false, now);
    }
  }

  // A packet of one side was seen.
  void Touch(Flow* flow, bool from_caller, TimePoint now) {
    if (flow->state == FlowState::kClosing) {
      flows_.Place(flow, FlowState::kClosing, now);
    } else if (flow->caller_fin && flow->upstream_fin) {
      flows_.Place(flow, FlowState::kClosing, now);
      policy_->OnFlowEnd(flow->key, now);
      policy_event_ = true;
    } else if (flow->state == FlowState::kOpen) {
      flows_.Place(flow, FlowState::kOpen, now);
    } else if (SilentDetector::OnAnswer(flow, from_caller)) {
      flow->probes = 0;
      flows_.Place(flow, FlowState::kOpen, now);
    }
  }

  void EndFlow(Flow* flow, TimePoint now) {
    const request::FlowKey key = flow->key;
    const bool ended = flow->state == FlowState::kClosing;
    if (rows_.OwnerOf(RowOf(flow->hash)) != config_.self) {
      registrations_[key] = false;
    }
    flows_.Erase(flow);
    if (!ended) {
      policy_->OnFlowEnd(key, now);
      policy_event_ = true;
    }
  }

  void OnEvict(const Flow& flow) {
    ++stats_.evicted;
    // Its SYN reached the upstream, which nobody will remember.
    no_refusal_until_ = now_ + RowOwnership::kNoRefusal;
    policy_->OnFlowEnd(flow.key, now_);
  }

  void DeliverRestored(const Flow& flow, const Packet& packet) {
    if (!config_.timestamp_hint || !packet.ts_echo || !packet.ack) {
      sink_->Deliver(packet.bytes);
      return;
    }
    scratch_.assign(packet.bytes.begin(), packet.bytes.end());
    ReplaceTimestampEcho(
        packet, request::RestoreTimestamp(*packet.ts_echo, flow.upstream_ts),
        scratch_);
    sink_->Deliver(scratch_);
  }

  void AnswerHinted(const Packet& packet) {
    if (!config_.timestamp_hint || !packet.ts_value) {
      sink_->Answer(packet.bytes);
      return;
    }
    scratch_.assign(packet.bytes.begin(), packet.bytes.end());
    ReplaceTimestampValue(packet, Hinted(*packet.ts_value), scratch_);
    sink_->Answer(scratch_);
  }

  uint32_t Hinted(uint32_t value) const {
    const auto index = rows_.table() == nullptr
                           ? std::nullopt
                           : rows_.table()->IndexOf(config_.self);
    return request::ExtendTimestamp(value,
                                    index.value_or(request::kNoHolderHint));
  }

  // Rule 7. Asks the local upstream whether it knows the flow.
  void ProbeUpstream(const Header& header, const Packet& packet,
                     TimePoint now) {
    if (!IsTcp(packet.flow) || packet.rst || !packet.ack || packet.syn) {
      sink_->Drop(Code::kUnknownFlow);
      return;
    }
    if (probes_.contains(packet.flow)) {
      return;
    }
    if (probes_.size() >= config_.max_probes || !SpendRecovery(now)) {
      sink_->Drop(Code::kUnknownFlow);
      return;
    }
    probes_[packet.flow] = {
        header, {packet.bytes.begin(), packet.bytes.end()}, now};
    ++stats_.probes;
    sink_->Deliver(BuildProbe(packet));
  }

  // The holder of an unknown flow may have restarted together with this
  // sidecar, so that no directory names it. Only the upstream that knows the
  // flow answers its probe.
  void AskPeers(const Header& header, const Packet& packet,
                request::RowIndex row, TimePoint now) {
    if (!IsTcp(packet.flow) || packet.rst || !packet.ack || packet.syn ||
        !SpendRecovery(now)) {
      return;
    }
    const auto& upstreams = rows_.table()->upstreams;
    const size_t n = upstreams.size();
    size_t asked = 0;
    // A retransmission asks the peers after those asked before.
    const size_t start = n <= kMaxPeersAsked ? 0 : next_asked_;
    for (size_t i = 0; i < n && asked < kMaxPeersAsked; ++i) {
      const auto& it = upstreams[(start + i) % n];
      // The sender may be the holder, named by a hint, and may have restarted.
      if (it.instance != config_.self && !rows_.IsDead(it.instance)) {
        ++asked;
        Forward(it.instance, request::kAskPrevious, header, packet, row);
      }
    }
    next_asked_ = n == 0 ? 0 : (start + kMaxPeersAsked) % n;
  }

  bool SpendRecovery(TimePoint now) {
    if (now - recovery_since_ >= std::chrono::seconds(1)) {
      recovery_since_ = now;
      recoveries_ = 0;
    }
    return recoveries_++ < config_.max_recoveries_per_second;
  }

  // A packet of the upstream for a flow that is not known here: after a
  // restart, after an eviction, or an answer to a probe.
  Flow* Adopt(const request::FlowKey& key, const Packet& packet,
              TimePoint now) {
    const auto probe = probes_.find(key);
    const bool asked = probe != probes_.end();
    if (packet.rst) {
      if (asked) {
        if ((probe->second.header.flags & request::kHolderKnown) != 0) {
          sink_->Send(probe->second.header.sender,
                      HolderWithdraw{config_.service, {key}});
        }
        probes_.erase(probe);
      }
      // It answers a packet that may belong to a flow held elsewhere.
      sink_->Drop(Code::kUnknownFlow);
      return nullptr;
    }
    FlowState state = FlowState::kOpen;
    if (!IsTcp(key)) {
      state = FlowState::kDatagram;
    } else if (packet.syn) {
      state = FlowState::kHalfOpen;
    }
    Flow* flow = flows_.Insert(key, state, now);
    if (flow == nullptr) {
      sink_->Drop(Code::kFlowTableFull);
      return nullptr;
    }
    ++stats_.adopted;
    flow->hash = HashOf(key);
    flow->syn_ack_seen = packet.syn;
    flow->upstream_next = SegmentEnd(packet);
    flow->upstream_ack = packet.acknowledgment;
    flow->caller_next = packet.acknowledgment;
    flow->caller_isn = packet.acknowledgment - 1;
    flow->upstream_ts = packet.ts_value.value_or(0);
    flow->caller_ts = packet.ts_echo.value_or(0);
    flow->has_timestamps = packet.ts_value.has_value();
    directory_.Erase(key);
    if (rows_.OwnerOf(RowOf(flow->hash)) != config_.self) {
      registrations_[key] = true;
    }
    if (!asked || packet.syn) {
      return flow;
    }
    const Probe held = std::move(probe->second);
    probes_.erase(probe);
    request::Failure failure;
    const auto waiting = request::ParsePacket(held.bytes, &failure);
    if (waiting && !FromCaller(flow, *waiting, now)) {
      sink_->Drop(Code::kWrongAcknowledgment);
    }
    if (packet.payload_size > 0 || packet.fin) {
      return flows_.Find(key);
    }
    return nullptr;
  }

  void OnMessage(request::InstanceId from, const RowClaim& claim,
                 TimePoint now) {
    if (claim.service != config_.service) {
      return;
    }
    RowHandover answer;
    answer.service = claim.service;
    answer.version = claim.version;
    answer.last = false;
    const auto given = rows_.OnClaim(from, claim, now);
    const auto part = [&](const request::FlowKey& key,
                          request::InstanceId holder) {
      answer.flows.push_back({key, holder});
      if (answer.flows.size() >= kFlowsPerMessage) {
        sink_->Send(from, answer);
        answer.flows.clear();
      }
    };
    std::vector<bool> claimed(
        rows_.table() == nullptr ? 1 : rows_.table()->owner.size());
    for (const request::RowIndex row : claim.rows) {
      if (row.value < claimed.size()) {
        claimed[row.value] = true;
      }
    }
    flows_.ForEach([&](const Flow& flow) {
      if (claimed[RowOf(flow.hash).value]) {
        part(flow.key, config_.self);
      }
    });
    directory_.ForEach(
        [&](const request::FlowKey& key, const FlowDirectory::Entry& entry) {
          if (claimed[RowOf(entry.hash).value] && entry.holder != from) {
            part(key, entry.holder);
          }
        });
    // Late copies of refused first packets have to come back here.
    for (const auto& [key, refused] : refused_) {
      if (claimed[RowOf(HashOf(key)).value]) {
        part(key, config_.self);
      }
    }
    answer.rows = given;
    answer.last = true;
    answer.history_complete =
        now >= no_refusal_until_ &&
        std::all_of(given.begin(), given.end(), [&](request::RowIndex row) {
          return rows_.HistoryComplete(row, now);
        });
    sink_->Send(from, answer);
    ReleaseHeld(now);
  }

  void OnMessage(request::InstanceId from, const RowHandover& handover,
                 TimePoint now) {
    if (handover.service != config_.service) {
      return;
    }
    for (const FlowHolder& it : handover.flows) {
      const FlowDirectory::Entry* entry = directory_.Find(it.flow);
      // Without a version it is no handover but news of a single flow.
      const bool news = handover.version == request::TableVersion();
      // What a holder says of itself goes before what others say.
      const bool known = entry != nullptr && it.holder != from &&
                         entry->round != FlowDirectory::kUnconfirmed;
      if (it.holder == config_.self || known) {
        continue;
      }
      if (!news) {
        Name(it.flow, it.holder, now);
      } else if (!directory_.RecordPassed(it.flow, HashOf(it.flow), it.holder,
                                          now)) {
        sink_->Drop(Code::kQueueFull);
      }
    }
    rows_.OnHandover(from, handover, now);
    if (handover.last) {
      ReleaseHeld(now);
    }
  }

  void OnMessage(request::InstanceId from, const HolderRegister& message,
                 TimePoint now) {
    if (message.service != config_.service) {
      return;
    }
    std::map<request::InstanceId, RowHandover> relayed;
    for (const request::FlowKey& key : message.flows) {
      Name(key, from, now);
      const request::RowIndex row = RowOf(HashOf(key));
      const RowState state = rows_.state(row);
      const request::InstanceId owner = rows_.OwnerOf(row);
      if ((state == RowState::kNotOwned || state == RowState::kCeded) &&
          owner != request::InstanceId() && owner != from &&
          owner != config_.self) {
        relayed[owner].flows.push_back({key, from});
      }
    }
    for (auto& [owner, part] : relayed) {
      part.service = config_.service;
      part.last = false;
      sink_->Send(owner, part);
    }
    if (message.complete) {
      directory_.FinishRegistration(from);
    }
  }

  void OnMessage(request::InstanceId from, const HolderWithdraw& message,
                 TimePoint /*now*/) {
    if (message.service == config_.service) {
      for (const request::FlowKey& key : message.flows) {
        directory_.Withdraw(key, from);
      }
    }
  }

  void OnMessage(request::InstanceId from, const LoadReport& report,
                 TimePoint now) {
    if (report.service == config_.service) {
      policy_->OnLoadReport(from, report, now);
      policy_event_ = true;
    }
  }

  void Name(const request::FlowKey& key, request::InstanceId holder,
            TimePoint now) {
    // Also for a flow that is open here: it may be an old one of a caller that
    // uses its port again.
    if (!directory_.RecordNamed(key, HashOf(key), holder, now)) {
      sink_->Drop(Code::kQueueFull);
    }
  }

  void SendClaims(TimePoint now) {
    for (auto& it : rows_.Tick(now)) {
      sink_->Send(it.peer, it.claim);
    }
  }

  // Names the flows of rows that got another owner to it.
  void RegisterMoved() {
    if (rows_.table() == nullptr ||
        registered_generation_ == rows_.generation()) {
      return;
    }
    registered_generation_ = rows_.generation();
    const size_t n = rows_.table()->owner.size();
    registered_with_.resize(n);
    std::vector<bool> moved(n);
    for (uint32_t i = 0; i < n; ++i) {
      const request::InstanceId owner = rows_.OwnerOf({i});
      moved[i] = owner != registered_with_[i] && owner != config_.self;
      registered_with_[i] = owner;
    }
    flows_.ForEach([&](const Flow& flow) {
      if (moved[RowOf(flow.hash).value]) {
        registrations_[flow.key] = true;
      }
    });
  }

  // Names all flows to their owners, so that owners forget those whose
  // withdrawal was lost.
  void RegisterAll() {
    if (rows_.table() == nullptr) {
      return;
    }
    std::map<request::InstanceId, HolderRegister> messages;
    for (const version::UpstreamEntry& it : rows_.table()->upstreams) {
      if (it.instance != config_.self && !rows_.IsDead(it.instance)) {
        messages[it.instance].service = config_.service;
      }
    }
    flows_.ForEach([&](const Flow& flow) {
      const auto it = messages.find(rows_.OwnerOf(RowOf(flow.hash)));
      if (it != messages.end()) {
        it->second.flows.push_back(flow.key);
      }
    });
    for (auto& [owner, message] : messages) {
      SendParts(owner, message.flows, true);
    }
  }

  void SendParts(request::InstanceId owner,
                 const std::vector<request::FlowKey>& flows, bool complete) {
    size_t sent = 0;
    do {
      const size_t n = std::min(kFlowsPerMessage, flows.size() - sent);
      HolderRegister part;
      part.service = config_.service;
      part.flows.assign(flows.begin() + static_cast<ptrdiff_t>(sent),
                        flows.begin() + static_cast<ptrdiff_t>(sent + n));
      sent += n;
      part.complete = complete && sent == flows.size();
      sink_->Send(owner, part);
    } while (sent < flows.size());
  }

  void FlushRegistrations() {
    if (registrations_.empty()) {
      return;
    }
    std::map<request::InstanceId,
             std::pair<std::vector<request::FlowKey>, HolderWithdraw>>
        messages;
    for (const auto& [key, held] : registrations_) {
      const request::InstanceId owner = rows_.OwnerOf(RowOf(HashOf(key)));
      if (owner != request::InstanceId() && owner != config_.self) {
        auto& [registered, withdrawn] = messages[owner];
        (held ? registered : withdrawn.flows).push_back(key);
      }
    }
    registrations_.clear();
    for (auto& [owner, it] : messages) {
      if (!it.first.empty()) {
        SendParts(owner, it.first, false);
      }
      if (!it.second.flows.empty()) {
        it.second.service = config_.service;
        sink_->Send(owner, it.second);
      }
    }
  }

  // Decides again on the first packets that wait.
  void ReleaseHeld(TimePoint now) {
    if (held_.empty() || releasing_) {
      return;
    }
    releasing_ = true;
    const bool all = policy_event_ || draining_;
    std::deque<Held> waiting;
    waiting.swap(held_);
    for (Held& it : waiting) {
      const request::RowIndex row = RowOf(HashOf(it.key));
      const RowState state = rows_.state(row);
      const bool named =
          (it.header.flags & (request::kPassedOn | request::kHolderKnown)) != 0;
      if (now - it.since >= kMaxHold) {
        policy_->OnFlowEnd(it.key, now);
        sink_->Drop(Code::kQueueFull);
        continue;
      }
      const bool due = all || it.retry_at <= now || draining_ ||
                       (state != RowState::kOwned && !named);
      const bool taking = state == RowState::kTaking && !named &&
                          (it.header.flags & request::kChecked) == 0;
      if (!due || taking) {
        held_.push_back(std::move(it));
        continue;
      }
      request::Failure failure;
      const auto packet = request::ParsePacket(it.bytes, &failure);
      if (!packet) {
        continue;
      }
      const bool mine = named || state == RowState::kOwned;
      if (mine && flows_.Find(it.key) == nullptr &&
          directory_.Find(it.key) == nullptr) {
        Admit(it.header, *packet, HashOf(it.key), row, it.since, now);
      } else {
        Route(it.header, *packet, now);
      }
    }
    releasing_ = false;
  }

  void ExpireFlows(TimePoint now) {
    const auto expire = [&](FlowState state, std::chrono::seconds life) {
      for (Flow* flow = flows_.Oldest(state);
           flow != nullptr && now - flow->placed >= life;
           flow = flows_.Oldest(state)) {
        EndFlow(flow, now);
      }
    };
    expire(FlowState::kHalfOpen, kHalfOpenLife);
    expire(FlowState::kClosing, kClosingLife);
    expire(FlowState::kDatagram, kDatagramLife);
  }

  void CheckSilent(TimePoint now) {
    for (const FlowState state : {FlowState::kOpen, FlowState::kProbed}) {
      for (Flow* flow = flows_.Oldest(state); flow != nullptr;
           flow = flows_.Oldest(state)) {
        const auto action = detector_.Check(*flow, now);
        if (action == SilentDetector::Action::kWait) {
          break;
        }
        if (action == SilentDetector::Action::kEnd) {
          EndSilent(flow, now);
        } else {
          ProbeBothSides(flow, now);
        }
      }
    }
  }

  void ProbeBothSides(Flow* flow, TimePoint now) {
    if (flow->probes == 0) {
      flow->caller_answered = false;
      flow->upstream_answered = false;
    }
    flow->probes = static_cast<uint8_t>(std::min(flow->probes + 1, 250));
    flows_.Place(flow, FlowState::kProbed, now);
    EmptySegment segment;
    segment.ack = true;
    if (!flow->upstream_answered) {
      segment.flow = flow->key;
      segment.sequence = flow->upstream_ack - 1;
      segment.acknowledgment = flow->upstream_next;
      if (flow->has_timestamps) {
        segment.ts_value = flow->caller_ts;
        segment.ts_echo = flow->upstream_ts;
      }
      sink_->Deliver(BuildSegment(segment));
    }
    if (!flow->caller_answered) {
      segment.flow = request::Reverse(flow->key);
      segment.sequence = flow->upstream_next - 1;
      segment.acknowledgment = flow->caller_next;
      if (flow->has_timestamps) {
        segment.ts_value = config_.timestamp_hint ? Hinted(flow->upstream_ts)
                                                  : flow->upstream_ts;
        segment.ts_echo = flow->caller_ts;
      }
      sink_->Answer(BuildSegment(segment));
    }
  }

  void EndSilent(Flow* flow, TimePoint now) {
    ++stats_.silent_ended;
    EmptySegment segment;
    segment.rst = true;
    segment.ack = true;
    segment.flow = flow->key;
    segment.sequence = flow->upstream_ack;
    segment.acknowledgment = flow->upstream_next;
    sink_->Deliver(BuildSegment(segment));
    segment.flow = request::Reverse(flow->key);
    segment.sequence = flow->upstream_next;
    segment.acknowledgment = flow->caller_next;
    sink_->Answer(BuildSegment(segment));
    sink_->Drop(Code::kEndedUnknown);
    EndFlow(flow, now);
  }

  SidecarRouterConfig config_;
  S* sink_;
  P* policy_;
  FlowTable flows_;
  FlowDirectory directory_;
  RowOwnership rows_;
  SilentDetector detector_;
  SidecarRouterStats stats_;
  TimePoint now_;
  bool draining_ = false;
  bool drained_by_table_ = false;
  // Until then a flow may have reached the upstream without being known here.
  TimePoint no_refusal_until_;
  TimePoint next_registration_;
  std::unordered_map<request::InstanceId, request::Incarnation> incarnations_;
  std::deque<Held> held_;
  // The admission policy learned something since the last decision on held
  // packets and the last reports.
  bool policy_event_ = false;
  bool reports_due_ = false;
  bool releasing_ = false;
  std::unordered_map<request::FlowKey, Probe, request::FlowKeyHash> probes_;
  absl::flat_hash_map<request::FlowKey, Refused, request::FlowKeyHash> refused_;
  // Flows to name (true) or withdraw (false) with the next tick.
  absl::flat_hash_map<request::FlowKey, bool, request::FlowKeyHash>
      registrations_;
  std::vector<request::InstanceId> registered_with_;
  uint64_t registered_generation_ = kNeverRegistered;
  TimePoint recovery_since_{};
  size_t recoveries_ = 0;
  size_t next_asked_ = 0;
  std::vector<std::byte> scratch_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_SIDECAR_ROUTER_H_
