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

/// Identity and limits of a `SidecarRouter`.
struct SidecarRouterConfig {
  request::InstanceId self;
  request::Incarnation incarnation;
  request::ServiceId service;
  /// Key of the flow hash that chooses rows; all entry instances and sidecars
  /// must have the same.
  request::HashKey hash_key{};
  /// Flows that the upstream may hold.
  size_t max_flows = 200000;
  /// Flows of the own rows that are recorded as held by peers.
  size_t max_directory = 200000;
  /// First packets that may wait for a slot or for the end of a row takeover.
  size_t max_held = 256;
  /// Packets of unknown flows that may wait for the upstream's reply to a
  /// probe.
  size_t max_probes = 4096;
  /// Unknown flows probed at the upstream or queried at the peers, per second.
  size_t max_recoveries_per_second = 4000;
  /// Whether to encode the holder in the TCP timestamps that callers see. Must
  /// not change while flows are open.
  bool timestamp_hint = true;
  SilentSettings silent;
};

/// A peer's state in the membership view.
enum class PeerState : uint8_t { kAlive, kDead };

/// Totals since the start.
struct SidecarRouterStats {
  /// New flows delivered to the upstream.
  uint64_t admitted = 0;
  /// First packets passed on to a peer instead of admitted here.
  uint64_t passed_on = 0;
  /// New flows that got a reset.
  uint64_t refused = 0;
  /// Flows learned from the upstream's own packets.
  uint64_t adopted = 0;
  /// Half-open flows removed from a full flow table.
  uint64_t evicted = 0;
  /// Packets forwarded to the holder or the owner of the row.
  uint64_t second_hops = 0;
  /// Silent flows (see `SilentDetector`) that were reset on both sides.
  uint64_t silent_ended = 0;
  /// Probes sent to the upstream about unknown flows.
  uint64_t probes = 0;
};

/// Routes packets at a sidecar (docs/routing.md): admits, holds, passes on or
/// refuses new flows, and forwards packets of open flows to their holders.
/// Performs no I/O and reads no clock: its decisions depend only on the
/// packets, peer messages, tables and times that are passed in, and results go
/// to the sink. Not thread-safe; times must not decrease from call to call.
template <RouterSink S, AdmissionPolicy P>
class SidecarRouter {
 public:
  using TablePtr = RowOwnership::TablePtr;

  /// A longer interval between two calls means that the process was paused:
  /// peers may have taken over its rows, so it claims them again before it
  /// admits a flow.
  static constexpr std::chrono::milliseconds kPauseThreshold{700};
  /// How long a first packet is held. A caller retransmits its SYN after 1 s,
  /// so holding a packet much longer is of no use.
  static constexpr std::chrono::milliseconds kMaxHoldTime{3000};
  /// Flows that stay in a state for this long are removed.
  static constexpr std::chrono::seconds kHalfOpenTimeout{70};
  static constexpr std::chrono::seconds kClosingTimeout{10};
  static constexpr std::chrono::seconds kDatagramTimeout{60};
  /// How long the upstream may take to reply to a probe.
  static constexpr std::chrono::seconds kProbeTimeout{1};
  /// How often a holder registers all its flows with the owners of their rows.
  static constexpr std::chrono::seconds kFullRegistrationInterval{300};

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
        no_refusal_until_(now + RowOwnership::kNoRefusalPeriod),
        next_registration_(now + kFullRegistrationInterval) {}

  SidecarRouter(const SidecarRouter&) = delete;
  SidecarRouter& operator=(const SidecarRouter&) = delete;

  /// Routes a caller's packet that an entry instance or a peer forwarded; the
  /// source of `packet` is the caller. A packet for another service, instance
  /// or incarnation is dropped.
  void OnForwarded(const request::ForwardHeader& header,
                   const request::ParsedPacket& packet, TimePoint now) {
    AdvanceClock(now);
    if (header.service != config_.service || header.target != config_.self) {
      sink_->Drop(request::ResultCode::kWrongService);
      return;
    }
    if (header.target_incarnation != config_.incarnation) {
      sink_->Drop(request::ResultCode::kWrongIncarnation);
      return;
    }
    Route(header, packet, now);
    HandlePolicyChanges(now);
  }

  /// Passes a packet of the local upstream to the caller. A flow that is not
  /// known here is adopted, since the upstream holds it.
  void OnUpstreamPacket(const request::ParsedPacket& packet, TimePoint now) {
    AdvanceClock(now);
    const request::FlowKey key = request::Reverse(packet.flow);
    Flow* flow = flows_.Find(key);
    if (flow == nullptr) {
      flow = Adopt(key, packet, now);
      if (flow == nullptr) {
        return;
      }
    }
    if (key.protocol == IPPROTO_UDP) {
      flows_.MoveToState(flow, FlowState::kDatagram, now);
      sink_->Answer(packet.bytes);
      return;
    }
    OnUpstreamSegment(flow, packet, now);
    HandlePolicyChanges(now);
  }

  /// Handles a control message of another sidecar of the service.
  void OnPeerMessage(request::InstanceId from, const PeerMessage& message,
                     TimePoint now) {
    AdvanceClock(now);
    std::visit([&](const auto& it) { OnMessage(from, it, now); }, message);
    HandlePolicyChanges(now);
  }

  /// Applies a forwarding table; one that is not newer is ignored. May start or
  /// end a drain and claims the rows that this sidecar now owns.
  void OnTable(TablePtr table, TimePoint now) {
    AdvanceClock(now);
    if (rows_.OnTable(std::move(table), now)) {
      policy_->OnTable(*rows_.table(), now);
      ApplyTableDrain(now);
      SendClaims(now);
      RegisterFlowsOfMovedRows();
    }
  }

  /// Applies a peer's state from the membership view. A larger incarnation is a
  /// restart of the peer; a smaller one than known is ignored.
  void OnPeerState(request::InstanceId instance,
                   request::Incarnation incarnation, PeerState state,
                   TimePoint now) {
    AdvanceClock(now);
    request::Incarnation& last_known = incarnations_[instance];
    if (incarnation < last_known) {
      return;
    }
    if (last_known < incarnation && last_known.value != 0) {
      directory_.RetainAfterRestart(instance);
      for (auto& it : registered_with_) {
        if (it == instance) {
          it = {};
        }
      }
      registered_generation_ = kNeverRegistered;
    }
    // A peer that died or restarted may have delivered SYNs that no process has
    // a record of.
    if (state == PeerState::kDead ||
        (last_known < incarnation && last_known.value != 0)) {
      no_refusal_until_ = now + RowOwnership::kNoRefusalPeriod;
    }
    last_known = incarnation;
    rows_.OnPeerState(instance, state == PeerState::kAlive, now);
    if (state == PeerState::kDead) {
      policy_->OnPeerRemoved(instance, now);
    }
    SendClaims(now);
    RegisterFlowsOfMovedRows();
  }

  /// Replaces the incarnation of this sidecar, which forwarded packets have to
  /// name.
  void SetIncarnation(request::Incarnation incarnation) {
    config_.incarnation = incarnation;
  }

  /// Applies the state of the membership lease: without a valid lease no new
  /// flow is admitted.
  void OnLeaseState(bool valid, TimePoint now) {
    AdvanceClock(now);
    rows_.OnLease(valid, now);
    SendClaims(now);
  }

  /// Runs the periodic work: claims, registrations, held packets, timeouts and
  /// load reports. To be called at least every 100 ms, and more often while
  /// first packets are held, since the admission policy sets the times at which
  /// it decides on them again.
  void OnTick(TimePoint now) {
    AdvanceClock(now);
    SendClaims(now);
    RegisterFlowsOfMovedRows();
    ReleaseHeld(now);
    ExpireFlows(now);
    CheckSilentFlows(now);
    directory_.Expire(now);
    std::erase_if(pending_probes_, [&](const auto& it) {
      return now - it.second.since >= kProbeTimeout;
    });
    absl::erase_if(refused_syns_, [&](const auto& it) {
      return now - it.second.since >= RowOwnership::kNoRefusalPeriod;
    });
    if (now >= next_registration_) {
      next_registration_ = now + kFullRegistrationInterval;
      RegisterAllFlows();
    }
    FlushRegistrations();
    SendReports(now);
  }

  /// Stops admitting new flows for good; open flows continue.
  void StartDrain(TimePoint now) {
    AdvanceClock(now);
    stopping_ = true;
    UpdateDrain(now);
  }

  /// Sets whether the upstream may get new flows; initially true. While it may
  /// not, they are passed on as in a drain.
  void SetAdmitting(bool admitting, TimePoint now) {
    AdvanceClock(now);
    admitting_ = admitting;
    UpdateDrain(now);
  }

  /// Number of flows that a drain has to wait for.
  size_t OpenFlows() const { return flows_.open(); }

  const SidecarRouterStats& stats() const { return stats_; }
  const FlowTable& flows() const { return flows_; }
  const FlowDirectory& directory() const { return directory_; }
  const RowOwnership& rows() const { return rows_; }

 private:
  using Header = request::ForwardHeader;
  using Packet = request::ParsedPacket;
  using Code = request::ResultCode;

  // Upper bound, in bytes, of the data in flight in one direction; larger than
  // the TCP buffers of any operating system in use. A segment outside this
  // window belongs to another connection with the same addresses.
  static constexpr uint32_t kMaxWindowBytes = 1U << 26;
  static constexpr size_t kMaxPeersQueried = 8;
  static constexpr size_t kMaxFlowsPerMessage = 512;
  static constexpr size_t kMaxRefusedSyns = 65536;
  static constexpr uint64_t kNeverRegistered =
      std::numeric_limits<uint64_t>::max();

  /// A first packet that waits for a slot or for the end of a row takeover.
  struct HeldPacket {
    Header header;
    request::FlowKey key;
    std::vector<std::byte> bytes;
    /// When this sidecar received the packet first.
    TimePoint since;
    /// When the admission policy decides on it again, at the latest.
    TimePoint retry_at;
  };
  /// A packet of an unknown flow that waits for the upstream's reply to a
  /// probe.
  struct PendingProbe {
    Header header;
    std::vector<std::byte> bytes;
    TimePoint since;
  };
  /// A refused SYN, kept to answer its late duplicates with the same reset.
  struct RefusedSyn {
    uint32_t isn = 0;
    TimePoint since;
  };

  static bool IsTcp(const request::FlowKey& key) {
    return key.protocol == IPPROTO_TCP;
  }
  static bool IsSequenceAfter(uint32_t a, uint32_t b) {
    return static_cast<int32_t>(a - b) > 0;
  }
  // The sequence number after the segment.
  static uint32_t SegmentEnd(const Packet& packet) {
    return packet.sequence + packet.payload_size + (packet.syn ? 1 : 0) +
           (packet.fin ? 1 : 0);
  }

  // Claims the own rows again when the process was paused; see
  // `kPauseThreshold`.
  void AdvanceClock(TimePoint now) {
    const bool paused = now - now_ > kPauseThreshold;
    now_ = std::max(now_, now);
    if (paused && rows_.lease_valid()) {
      rows_.OnLease(false, now);
      rows_.OnLease(true, now);
      SendClaims(now);
    }
  }

  // Decides again on held packets and sends load reports if the last event
  // changed the state of the admission policy.
  void HandlePolicyChanges(TimePoint now) {
    if (policy_changed_) {
      ReleaseHeld(now);
    }
    if (policy_changed_ || reports_due_) {
      SendReports(now);
    }
  }

  void ApplyTableDrain(TimePoint now) {
    const version::UpstreamEntry* self = rows_.table()->Find(config_.self);
    drained_by_table_ = self != nullptr && self->draining;
    UpdateDrain(now);
  }

  // Starts or ends the drain. A drain that an operator set in the table can be
  // cancelled; a drain because this process stops cannot.
  void UpdateDrain(TimePoint now) {
    const bool drain = stopping_ || drained_by_table_ || !admitting_;
    if (drain == draining_) {
      return;
    }
    draining_ = drain;
    if (!drain) {
      policy_->EndDrain(now);
      return;
    }
    policy_->StartDrain(now);
    ReleaseHeld(now);
    policy_changed_ = true;
    SendReports(now);
  }

  void SendReports(TimePoint now) {
    policy_changed_ = false;
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

  // Applies the routing rules of docs/design.md, section 2, from rule 2 on; the
  // rule numbers in the comments below refer to them.
  void Route(const Header& header, const Packet& packet, TimePoint now) {
    const request::FlowKey& key = packet.flow;
    Flow* flow = flows_.Find(key);
    if (flow != nullptr && HandleCallerPacket(flow, packet, now)) {
      return;
    }
    const bool mismatch = flow != nullptr && flows_.Find(key) != nullptr;
    const bool first = packet.IsFirst();
    if (first && RepeatRefusal(packet)) {
      return;
    }
    const uint32_t hash = HashOf(key);
    const request::RowIndex row = RowOf(hash);
    if (ForwardToKnownHolder(header, packet, row, now)) {
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
      if ((header.flags & request::kQueryPeer) == 0) {
        QueryPeers(header, packet, row, now);
      }
      return;
    }
    const bool sent_to_holder =
        (header.flags & (request::kHolderKnown | request::kPassedOn)) != 0;
    if (sent_to_holder) {
      first ? Admit(header, packet, hash, row, now, now)
            : ProbeUpstream(header, packet, now);
      return;
    }
    if ((header.flags & request::kQueryPeer) != 0) {
      HandlePeerQuery(header, packet, hash, row, now);
      return;
    }
    switch (rows_.state(row)) {
      case RowState::kNotOwned:
      case RowState::kCeded:
        ForwardToOwner(header, packet, row);
        return;
      case RowState::kTakingOver:
        RouteDuringTakeover(header, packet, hash, row, now);
        return;
      case RowState::kOwned:
        if (first) {
          Admit(header, packet, hash, row, now, now);
        } else {
          ProbeUpstream(header, packet, now);
          QueryPeers(header, packet, row, now);
        }
        return;
    }
  }

  // Rule 3: forwards the packet to the holder that the directory names. Returns
  // false when there is none; an entry that cannot be right is erased.
  bool ForwardToKnownHolder(const Header& header, const Packet& packet,
                            request::RowIndex row, TimePoint now) {
    FlowDirectory::Entry* entry = directory_.Find(packet.flow);
    if (entry == nullptr) {
      return false;
    }
    // A holder without a free slot passed the flow on to this sidecar;
    // following an unconfirmed entry could send the packet around in a loop.
    const bool passed_back = (header.flags & request::kPassedOn) != 0 &&
                             (entry->holder == header.sender ||
                              entry->round == FlowDirectory::kUnconfirmed);
    // Two sidecars name each other as holder: the upstream is probed instead.
    const bool held_by_sender = (header.flags & request::kHolderKnown) != 0 &&
                                entry->holder == header.sender;
    // The packet has used all its hops, so it could not reach the unconfirmed
    // holder.
    const bool too_many_hops = packet.IsFirst() &&
                               header.hops >= request::kMaxHops &&
                               entry->round == FlowDirectory::kUnconfirmed;
    const bool unusable = passed_back || held_by_sender || too_many_hops ||
                          entry->holder == config_.self ||
                          (packet.IsFirst() && rows_.IsDead(entry->holder));
    if (unusable) {
      directory_.Erase(packet.flow);
      return false;
    }
    entry->last_used_at = now;
    ++stats_.second_hops;
    Forward(entry->holder, request::kHolderKnown, header, packet, row);
    return true;
  }

  // Rule 4: forwards the packet to the owner of the row.
  void ForwardToOwner(const Header& header, const Packet& packet,
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

  // Rule 5 at the new owner, while its takeover of the row is not complete: it
  // queries the previous owner about a first packet, or holds the packet when
  // there is none to query. Other packets go to the upstream as probes and to
  // the peers as queries.
  void RouteDuringTakeover(const Header& header, const Packet& packet,
                           uint32_t hash, request::RowIndex row,
                           TimePoint now) {
    if (!packet.IsFirst()) {
      ProbeUpstream(header, packet, now);
      QueryPeers(header, packet, row, now);
      return;
    }
    if ((header.flags & request::kNotOpenElsewhere) != 0) {
      Admit(header, packet, hash, row, now, now);
      return;
    }
    const request::InstanceId previous = rows_.PreviousOwnerOf(row);
    if (previous != request::InstanceId()) {
      Forward(previous, request::kQueryPeer, header, packet, row);
    } else {
      HoldPacket(header, packet, now, now, now);
    }
  }

  // Rule 5 at the peer that a new owner queries: a first packet goes back to
  // the new owner, marked as not open elsewhere. Another packet goes to the
  // upstream as a probe.
  void HandlePeerQuery(const Header& header, const Packet& packet,
                       uint32_t hash, request::RowIndex row, TimePoint now) {
    if (!packet.IsFirst()) {
      ProbeUpstream(header, packet, now);
      return;
    }
    // The querying owner will admit the flow, so retransmissions that still
    // arrive here have to go there too.
    if (std::erase_if(held_packets_, [&](const HeldPacket& it) {
          return it.key == packet.flow;
        }) > 0) {
      policy_->OnFlowEnd(packet.flow, now);
    }
    if (!directory_.RecordPassedOn(packet.flow, hash, header.sender, now)) {
      sink_->Drop(Code::kQueueFull);
      return;
    }
    Forward(header.sender, request::kToOwner | request::kNotOpenElsewhere,
            header, packet, row);
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

  // Rule 6: applies the admission policy to a first packet. `arrived` is when
  // this sidecar received it first.
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
        DeliverNewFlow(packet, hash, row, now);
        return;
      case Admission::Kind::kHold:
        HoldPacket(header, packet, arrived, admission.retry_at, now);
        return;
      case Admission::Kind::kPass:
        PassOn(header, packet, hash, row, admission.pass_to, now);
        return;
      case Admission::Kind::kRefuse:
        Refuse(packet, MayRefuse(header, row, now), now);
        return;
    }
  }

  // Adds an admitted flow to the flow table and delivers its first packet.
  // Drops the packet when the table is full and has no half-open flow.
  void DeliverNewFlow(const Packet& packet, uint32_t hash,
                      request::RowIndex row, TimePoint now) {
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
    refused_syns_.erase(packet.flow);
    if (rows_.OwnerOf(row) != config_.self) {
      registrations_[packet.flow] = true;
    }
    sink_->Deliver(packet.bytes);
  }

  // Holds a first packet until `retry_at`. Drops it when `max_held` packets are
  // held or `kMaxHoldTime` has passed since `arrived`.
  void HoldPacket(const Header& header, const Packet& packet, TimePoint arrived,
                  TimePoint retry_at, TimePoint now) {
    for (const HeldPacket& it : held_packets_) {
      // The SYN is a retransmission of one that is already held.
      if (it.key == packet.flow && IsTcp(it.key)) {
        return;
      }
    }
    if (held_packets_.size() >= config_.max_held ||
        now - arrived >= kMaxHoldTime) {
      policy_->OnFlowEnd(packet.flow, now);
      sink_->Drop(Code::kQueueFull);
      return;
    }
    held_packets_.push_back({header,
                             packet.flow,
                             {packet.bytes.begin(), packet.bytes.end()},
                             arrived,
                             retry_at});
  }

  // Forwards a first packet to the upstream `to`, or to another one when `to`
  // cannot be used. Calls `Refuse` when there is none or no hop is left.
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
    if (!directory_.RecordPassedOn(packet.flow, hash, to, now)) {
      sink_->Drop(Code::kQueueFull);
      return;
    }
    ++stats_.passed_on;
    const request::InstanceId owner = rows_.OwnerOf(row);
    if (owner != config_.self && owner != request::InstanceId()) {
      // The owner then sends retransmissions to `to` directly.
      RowHandover passed_to;
      passed_to.service = config_.service;
      passed_to.flows.push_back({packet.flow, to});
      passed_to.last = false;
      sink_->Send(owner, passed_to);
    }
    // `kNotOpenElsewhere` allows the peer to refuse.
    const uint8_t flags =
        request::kPassedOn |
        (MayRefuse(header, row, now) ? request::kNotOpenElsewhere : 0);
    Forward(to, flags, header, packet, row);
  }

  // An upstream that may take a flow instead of this one: the row's owner, its
  // backup, or any other that is alive and not draining; id 0 for none.
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

  // Whether it is certain that no packet of the flow reached any upstream. A
  // sidecar that received the packet from the row's owner relies on the owner's
  // knowledge of the other upstreams.
  bool MayRefuse(const Header& header, request::RowIndex row,
                 TimePoint now) const {
    const bool not_open_elsewhere =
        (header.flags & (request::kPassedOn | request::kHolderKnown)) != 0
            ? (header.flags & request::kNotOpenElsewhere) != 0
            : rows_.MayRefuse(row, now);
    return not_open_elsewhere && now >= no_refusal_until_ &&
           refused_syns_.size() < kMaxRefusedSyns;
  }

  // Refuses a TCP flow with a reset if `may_refuse`; otherwise only drops the
  // packet.
  void Refuse(const Packet& packet, bool may_refuse, TimePoint now) {
    if (!IsTcp(packet.flow) || !may_refuse) {
      // The caller will retransmit; that packet may be accepted.
      sink_->Drop(draining_ ? Code::kDraining : Code::kNoUpstream);
      return;
    }
    ++stats_.refused;
    refused_syns_[packet.flow] = {packet.sequence, now};
    sink_->Answer(BuildRefusal(packet));
    sink_->Drop(Code::kRefusedNotRun);
  }

  // Answers a late duplicate of a refused SYN with the same reset: it must not
  // reach an upstream. Returns false when the packet is not such a duplicate.
  bool RepeatRefusal(const Packet& packet) {
    const auto it = refused_syns_.find(packet.flow);
    if (it == refused_syns_.end()) {
      return false;
    }
    if (it->second.isn != packet.sequence) {
      refused_syns_.erase(it);
      return false;
    }
    sink_->Answer(BuildRefusal(packet));
    return true;
  }

  // Rule 2: handles a caller's packet for a flow that is held here. Returns
  // false when the packet does not belong to that flow.
  bool HandleCallerPacket(Flow* flow, const Packet& packet, TimePoint now) {
    if (!IsTcp(flow->key)) {
      flows_.MoveToState(flow, FlowState::kDatagram, now);
      sink_->Deliver(packet.bytes);
      return true;
    }
    if (packet.syn) {
      if (packet.ack) {
        sink_->Drop(Code::kUnknownFlow);
        return true;
      }
      const bool retransmitted = packet.sequence == flow->caller_isn;
      const bool unanswered =
          flow->state == FlowState::kHalfOpen && !flow->syn_ack_seen;
      if (!retransmitted &&
          (flow->state == FlowState::kClosing || unanswered)) {
        EndFlow(flow, now);
        return false;
      }
      if (retransmitted) {
        sink_->Deliver(packet.bytes);
      } else {
        SendChallengeAck(*flow);
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
      // On a half-open flow the reset may be for an old connection that the
      // upstream still has with the caller's port; the caller then retransmits
      // its SYN.
      DeliverWithRestoredTimestamp(*flow, packet);
      if (ends) {
        EndFlow(flow, now);
      }
      return true;
    }
    if (!packet.ack || !BelongsToFlow(*flow, packet)) {
      return false;
    }
    OnCallerSegment(flow, packet, now);
    return true;
  }

  // Answers a SYN that reuses the port of an open flow with a challenge ACK
  // (RFC 5961, section 4): the caller resets the old flow and retransmits its
  // SYN. The upstream does not see the SYN, so the new flow can still be
  // refused.
  void SendChallengeAck(const Flow& flow) {
    EmptySegment segment;
    segment.flow = request::Reverse(flow.key);
    segment.ack = true;
    segment.sequence = flow.upstream_next;
    segment.acknowledgment = flow.upstream_ack;
    sink_->Answer(BuildSegment(segment));
  }

  // Whether a caller's segment lies inside the flow's window or, on a half-open
  // flow, completes the handshake that the upstream began.
  bool BelongsToFlow(const Flow& flow, const Packet& packet) const {
    if (flow.state == FlowState::kHalfOpen) {
      return flow.syn_ack_seen && packet.acknowledgment == flow.upstream_next;
    }
    const uint32_t unacknowledged = flow.upstream_next - packet.acknowledgment;
    const uint32_t offset = packet.sequence - flow.upstream_ack;
    return unacknowledged <= kMaxWindowBytes &&
           offset + kMaxWindowBytes <= 2 * kMaxWindowBytes;
  }

  void OnCallerSegment(Flow* flow, const Packet& packet, TimePoint now) {
    const request::FlowKey key = flow->key;
    if (flow->state == FlowState::kHalfOpen) {
      flows_.MoveToState(flow, FlowState::kOpen, now);
      directory_.Erase(key);
      detector_.OnNewFlow(now);
    }
    if (packet.ts_value) {
      flow->caller_ts = *packet.ts_value;
      flow->has_timestamps = true;
    }
    if (IsSequenceAfter(SegmentEnd(packet), flow->caller_next)) {
      flow->caller_next = SegmentEnd(packet);
    }
    flow->caller_fin = flow->caller_fin || packet.fin;
    const bool response_acknowledged =
        flow->busy && flow->response_ended &&
        !IsSequenceAfter(flow->response_end, packet.acknowledgment);
    const bool request = packet.payload_size > 0 && !flow->busy;
    if (response_acknowledged) {
      flow->busy = packet.payload_size > 0;
      flow->response_ended = false;
    }
    if (request) {
      flow->busy = true;
      flow->response_ended = false;
    }
    DeliverWithRestoredTimestamp(*flow, packet);
    RecordActivity(flow, true, now);
    policy_changed_ = policy_changed_ || response_acknowledged || request;
    if (response_acknowledged) {
      policy_->OnResponseComplete(key, now);
    }
    if (request || (response_acknowledged && packet.payload_size > 0)) {
      policy_->OnRequest(key, now);
    }
  }

  void OnUpstreamSegment(Flow* flow, const Packet& packet, TimePoint now) {
    if (packet.rst) {
      if (flow->state == FlowState::kHalfOpen) {
        policy_->OnUpstreamRejected(flow->key, now);
        policy_changed_ = true;
      }
      AnswerWithHolderHint(packet);
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
        // The upstream completed the handshake before this sidecar restarted.
        flows_.MoveToState(flow, FlowState::kOpen, now);
      }
      if (IsSequenceAfter(SegmentEnd(packet), flow->upstream_next)) {
        flow->upstream_next = SegmentEnd(packet);
      }
      const bool challenge =
          flow->state == FlowState::kHalfOpen && !flow->syn_ack_seen;
      if (packet.ack && (challenge || IsSequenceAfter(packet.acknowledgment,
                                                      flow->upstream_ack))) {
        flow->upstream_ack = packet.acknowledgment;
      }
      if (packet.fin || (packet.psh && packet.payload_size > 0)) {
        flow->response_ended = true;
        flow->response_end = SegmentEnd(packet);
      } else if (packet.payload_size > 0 &&
                 IsSequenceAfter(SegmentEnd(packet), flow->response_end)) {
        flow->response_ended = false;
      }
      if (packet.payload_size > 0 || packet.fin) {
        policy_->OnResponseSegment(flow->key, packet.psh || packet.fin, now);
        policy_changed_ = true;
      }
    }
    flow->upstream_fin = flow->upstream_fin || packet.fin;
    if (packet.ts_value) {
      flow->upstream_ts = *packet.ts_value;
    }
    // A bare reply to the probe is not passed to the caller, who did not send
    // the probe.
    const bool only_probe_reply = probed && packet.payload_size == 0 &&
                                  !packet.fin && !packet.syn &&
                                  packet.acknowledgment == flow->upstream_ack;
    if (!only_probe_reply) {
      AnswerWithHolderHint(packet);
    }
    if (flow->state != FlowState::kHalfOpen) {
      RecordActivity(flow, false, now);
    }
  }

  // Records that a packet of one side was seen, which may end a probe or close
  // the flow.
  void RecordActivity(Flow* flow, bool from_caller, TimePoint now) {
    if (flow->state == FlowState::kClosing) {
      flows_.MoveToState(flow, FlowState::kClosing, now);
    } else if (flow->caller_fin && flow->upstream_fin) {
      flows_.MoveToState(flow, FlowState::kClosing, now);
      policy_->OnFlowEnd(flow->key, now);
      policy_changed_ = true;
    } else if (flow->state == FlowState::kOpen) {
      flows_.MoveToState(flow, FlowState::kOpen, now);
    } else if (SilentDetector::OnReply(flow, from_caller)) {
      flow->probes = 0;
      flows_.MoveToState(flow, FlowState::kOpen, now);
    }
  }

  // Removes the flow from the table and frees its slot. When another sidecar
  // owns the row, the flow is also withdrawn there. Invalidates `flow`.
  void EndFlow(Flow* flow, TimePoint now) {
    const request::FlowKey key = flow->key;
    const bool already_closing = flow->state == FlowState::kClosing;
    if (rows_.OwnerOf(RowOf(flow->hash)) != config_.self) {
      registrations_[key] = false;
    }
    flows_.Erase(flow);
    if (!already_closing) {
      policy_->OnFlowEnd(key, now);
      policy_changed_ = true;
    }
  }

  void OnEvict(const Flow& flow) {
    ++stats_.evicted;
    // The flow's SYN reached the upstream, and no record of that is left.
    no_refusal_until_ = now_ + RowOwnership::kNoRefusalPeriod;
    policy_->OnFlowEnd(flow.key, now_);
  }

  void DeliverWithRestoredTimestamp(const Flow& flow, const Packet& packet) {
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

  void AnswerWithHolderHint(const Packet& packet) {
    if (!config_.timestamp_hint || !packet.ts_value) {
      sink_->Answer(packet.bytes);
      return;
    }
    scratch_.assign(packet.bytes.begin(), packet.bytes.end());
    ReplaceTimestampValue(packet, AddHolderHint(*packet.ts_value), scratch_);
    sink_->Answer(scratch_);
  }

  uint32_t AddHolderHint(uint32_t value) const {
    const auto index = rows_.table() == nullptr
                           ? std::nullopt
                           : rows_.table()->IndexOf(config_.self);
    return request::ExtendTimestamp(value,
                                    index.value_or(request::kNoHolderHint));
  }

  // Rule 7: probes the local upstream to find out whether it holds the flow.
  // The packet waits for the reply. Drops it when it cannot be probed for, or
  // when `max_probes` or `max_recoveries_per_second` is reached.
  void ProbeUpstream(const Header& header, const Packet& packet,
                     TimePoint now) {
    if (!IsTcp(packet.flow) || packet.rst || !packet.ack || packet.syn) {
      sink_->Drop(Code::kUnknownFlow);
      return;
    }
    if (pending_probes_.contains(packet.flow)) {
      return;
    }
    if (pending_probes_.size() >= config_.max_probes ||
        !TrySpendRecovery(now)) {
      sink_->Drop(Code::kUnknownFlow);
      return;
    }
    pending_probes_[packet.flow] = {
        header, {packet.bytes.begin(), packet.bytes.end()}, now};
    ++stats_.probes;
    sink_->Deliver(BuildProbe(packet));
  }

  // Forwards a packet of an unknown flow to the peers, which probe their
  // upstreams. The holder may have restarted together with this sidecar, and
  // then no directory names it. Only the upstream that holds the flow replies
  // to the probe.
  void QueryPeers(const Header& header, const Packet& packet,
                  request::RowIndex row, TimePoint now) {
    if (!IsTcp(packet.flow) || packet.rst || !packet.ack || packet.syn ||
        !TrySpendRecovery(now)) {
      return;
    }
    const auto& upstreams = rows_.table()->upstreams;
    const size_t n = upstreams.size();
    size_t queried = 0;
    // When there are too many peers for one query, the caller's retransmission
    // queries the next ones.
    const size_t start = n <= kMaxPeersQueried ? 0 : next_queried_peer_;
    for (size_t i = 0; i < n && queried < kMaxPeersQueried; ++i) {
      const auto& it = upstreams[(start + i) % n];
      // The sender is queried as well: it may be the holder that a hint named,
      // and may have restarted.
      if (it.instance != config_.self && !rows_.IsDead(it.instance)) {
        ++queried;
        Forward(it.instance, request::kQueryPeer, header, packet, row);
      }
    }
    next_queried_peer_ = n == 0 ? 0 : (start + kMaxPeersQueried) % n;
  }

  // Counts one probe or query about an unknown flow. Returns false when
  // `max_recoveries_per_second` is reached.
  bool TrySpendRecovery(TimePoint now) {
    if (now - recovery_window_start_ >= std::chrono::seconds(1)) {
      recovery_window_start_ = now;
      recoveries_in_window_ = 0;
    }
    return recoveries_in_window_++ < config_.max_recoveries_per_second;
  }

  // Inserts the flow of an upstream's packet that is not known here: after a
  // restart, after an eviction, or on the reply to a probe. Returns null when
  // the packet must not be passed to the caller.
  Flow* Adopt(const request::FlowKey& key, const Packet& packet,
              TimePoint now) {
    const auto probe = pending_probes_.find(key);
    const bool was_probed = probe != pending_probes_.end();
    if (packet.rst) {
      if (was_probed) {
        if ((probe->second.header.flags & request::kHolderKnown) != 0) {
          sink_->Send(probe->second.header.sender,
                      HolderWithdraw{config_.service, {key}});
        }
        pending_probes_.erase(probe);
      }
      // The reset is not passed on: another upstream may hold the flow.
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
    if (!was_probed || packet.syn) {
      return flow;
    }
    const PendingProbe answered_probe = std::move(probe->second);
    pending_probes_.erase(probe);
    request::Failure failure;
    const auto waiting_packet =
        request::ParsePacket(answered_probe.bytes, &failure);
    if (waiting_packet && !HandleCallerPacket(flow, *waiting_packet, now)) {
      sink_->Drop(Code::kWrongAcknowledgment);
    }
    if (packet.payload_size > 0 || packet.fin) {
      return flows_.Find(key);
    }
    return nullptr;
  }

  // Replies with the ceded rows and the known holders of the claimed rows'
  // flows.
  void OnMessage(request::InstanceId from, const RowClaim& claim,
                 TimePoint now) {
    if (claim.service != config_.service) {
      return;
    }
    RowHandover reply;
    reply.service = claim.service;
    reply.version = claim.version;
    reply.last = false;
    const auto ceded = rows_.OnClaim(from, claim, now);
    const auto add_flow = [&](const request::FlowKey& key,
                              request::InstanceId holder) {
      reply.flows.push_back({key, holder});
      if (reply.flows.size() >= kMaxFlowsPerMessage) {
        sink_->Send(from, reply);
        reply.flows.clear();
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
        add_flow(flow.key, config_.self);
      }
    });
    directory_.ForEach(
        [&](const request::FlowKey& key, const FlowDirectory::Entry& entry) {
          if (claimed[RowOf(entry.hash).value] && entry.holder != from) {
            add_flow(key, entry.holder);
          }
        });
    // Late duplicates of refused first packets have to be sent back here.
    for (const auto& [key, refused] : refused_syns_) {
      if (claimed[RowOf(HashOf(key)).value]) {
        add_flow(key, config_.self);
      }
    }
    reply.rows = ceded;
    reply.last = true;
    reply.history_complete =
        now >= no_refusal_until_ &&
        std::all_of(ceded.begin(), ceded.end(), [&](request::RowIndex row) {
          return rows_.HistoryComplete(row, now);
        });
    sink_->Send(from, reply);
    ReleaseHeld(now);
  }

  // Records the holders of the flows that a peer handed over.
  void OnMessage(request::InstanceId from, const RowHandover& handover,
                 TimePoint now) {
    if (handover.service != config_.service) {
      return;
    }
    for (const FlowHolder& it : handover.flows) {
      const FlowDirectory::Entry* entry = directory_.Find(it.flow);
      // Without a version the message is not a handover: it announces where a
      // single flow was passed to.
      const bool single_flow = handover.version == request::TableVersion();
      // A holder's own registration takes precedence over other peers' entries.
      const bool registered_by_holder =
          entry != nullptr && it.holder != from &&
          entry->round != FlowDirectory::kUnconfirmed;
      if (it.holder == config_.self || registered_by_holder) {
        continue;
      }
      if (!single_flow) {
        RecordHolder(it.flow, it.holder, now);
      } else if (!directory_.RecordPassedOn(it.flow, HashOf(it.flow), it.holder,
                                            now)) {
        sink_->Drop(Code::kQueueFull);
      }
    }
    rows_.OnHandover(from, handover, now);
    if (handover.last) {
      ReleaseHeld(now);
    }
  }

  // Records the sender as holder of the flows. Flows of rows that have another
  // owner by now are also sent to that owner.
  void OnMessage(request::InstanceId from, const HolderRegister& message,
                 TimePoint now) {
    if (message.service != config_.service) {
      return;
    }
    std::map<request::InstanceId, RowHandover> relayed;
    for (const request::FlowKey& key : message.flows) {
      RecordHolder(key, from, now);
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
      policy_changed_ = true;
    }
  }

  void RecordHolder(const request::FlowKey& key, request::InstanceId holder,
                    TimePoint now) {
    // Recorded also for a flow that is open here: that may be an old flow of a
    // caller that reused its port.
    if (!directory_.RecordRegistered(key, HashOf(key), holder, now)) {
      sink_->Drop(Code::kQueueFull);
    }
  }

  void SendClaims(TimePoint now) {
    for (auto& it : rows_.MakeClaims(now)) {
      sink_->Send(it.peer, it.claim);
    }
  }

  // Schedules the registration of flows whose row has a new owner.
  void RegisterFlowsOfMovedRows() {
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

  // Registers all flows with the owners of their rows; the owners then erase
  // entries whose withdrawal was lost.
  void RegisterAllFlows() {
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
      SendRegistration(owner, message.flows, true);
    }
  }

  // Splits a registration into messages of at most `kMaxFlowsPerMessage` flows.
  void SendRegistration(request::InstanceId owner,
                        const std::vector<request::FlowKey>& flows,
                        bool complete) {
    size_t sent = 0;
    do {
      const size_t n = std::min(kMaxFlowsPerMessage, flows.size() - sent);
      HolderRegister part;
      part.service = config_.service;
      part.flows.assign(flows.begin() + static_cast<ptrdiff_t>(sent),
                        flows.begin() + static_cast<ptrdiff_t>(sent + n));
      sent += n;
      part.complete = complete && sent == flows.size();
      sink_->Send(owner, part);
    } while (sent < flows.size());
  }

  // Sends the pending registrations and withdrawals to the owners of the rows.
  void FlushRegistrations() {
    if (registrations_.empty()) {
      return;
    }
    std::map<request::InstanceId,
             std::pair<std::vector<request::FlowKey>, HolderWithdraw>>
        messages;
    for (const auto& [key, is_held] : registrations_) {
      const request::InstanceId owner = rows_.OwnerOf(RowOf(HashOf(key)));
      if (owner != request::InstanceId() && owner != config_.self) {
        auto& [registered, withdrawn] = messages[owner];
        (is_held ? registered : withdrawn.flows).push_back(key);
      }
    }
    registrations_.clear();
    for (auto& [owner, it] : messages) {
      if (!it.first.empty()) {
        SendRegistration(owner, it.first, false);
      }
      if (!it.second.flows.empty()) {
        it.second.service = config_.service;
        sink_->Send(owner, it.second);
      }
    }
  }

  // Decides again on the held first packets that are due.
  void ReleaseHeld(TimePoint now) {
    if (held_packets_.empty() || releasing_) {
      return;
    }
    releasing_ = true;
    const bool decide_all = policy_changed_ || draining_;
    std::deque<HeldPacket> held_before;
    held_before.swap(held_packets_);
    for (HeldPacket& it : held_before) {
      const request::RowIndex row = RowOf(HashOf(it.key));
      const RowState state = rows_.state(row);
      const bool sent_to_holder =
          (it.header.flags & (request::kPassedOn | request::kHolderKnown)) != 0;
      if (now - it.since >= kMaxHoldTime) {
        policy_->OnFlowEnd(it.key, now);
        sink_->Drop(Code::kQueueFull);
        continue;
      }
      const bool due = decide_all || it.retry_at <= now || draining_ ||
                       (state != RowState::kOwned && !sent_to_holder);
      const bool awaits_takeover =
          state == RowState::kTakingOver && !sent_to_holder &&
          (it.header.flags & request::kNotOpenElsewhere) == 0;
      if (!due || awaits_takeover) {
        held_packets_.push_back(std::move(it));
        continue;
      }
      request::Failure failure;
      const auto packet = request::ParsePacket(it.bytes, &failure);
      if (!packet) {
        continue;
      }
      const bool decided_here = sent_to_holder || state == RowState::kOwned;
      if (decided_here && flows_.Find(it.key) == nullptr &&
          directory_.Find(it.key) == nullptr) {
        Admit(it.header, *packet, HashOf(it.key), row, it.since, now);
      } else {
        Route(it.header, *packet, now);
      }
    }
    releasing_ = false;
  }

  void ExpireFlows(TimePoint now) {
    const auto expire = [&](FlowState state, std::chrono::seconds timeout) {
      for (Flow* flow = flows_.Oldest(state);
           flow != nullptr && now - flow->moved_at >= timeout;
           flow = flows_.Oldest(state)) {
        EndFlow(flow, now);
      }
    };
    expire(FlowState::kHalfOpen, kHalfOpenTimeout);
    expire(FlowState::kClosing, kClosingTimeout);
    expire(FlowState::kDatagram, kDatagramTimeout);
  }

  void CheckSilentFlows(TimePoint now) {
    for (const FlowState state : {FlowState::kOpen, FlowState::kProbed}) {
      for (Flow* flow = flows_.Oldest(state); flow != nullptr;
           flow = flows_.Oldest(state)) {
        const auto action = detector_.NextAction(*flow, now);
        if (action == SilentDetector::Action::kWait) {
          break;
        }
        if (action == SilentDetector::Action::kEnd) {
          EndSilentFlow(flow, now);
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
    flows_.MoveToState(flow, FlowState::kProbed, now);
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
        segment.ts_value = config_.timestamp_hint
                               ? AddHolderHint(flow->upstream_ts)
                               : flow->upstream_ts;
        segment.ts_echo = flow->caller_ts;
      }
      sink_->Answer(BuildSegment(segment));
    }
  }

  // Resets a silent flow on both sides and removes it.
  void EndSilentFlow(Flow* flow, TimePoint now) {
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
  // See `UpdateDrain`, which derives it from the next three.
  bool draining_ = false;
  bool stopping_ = false;
  bool drained_by_table_ = false;
  bool admitting_ = true;
  // Until then this sidecar has no complete record of the SYNs that reached its
  // upstream.
  TimePoint no_refusal_until_;
  TimePoint next_registration_;
  std::unordered_map<request::InstanceId, request::Incarnation> incarnations_;
  std::deque<HeldPacket> held_packets_;
  // The state of the admission policy changed since the last decision on held
  // packets (`policy_changed_`), or since the last load reports.
  bool policy_changed_ = false;
  bool reports_due_ = false;
  // `ReleaseHeld` is running; guards against a nested call.
  bool releasing_ = false;
  std::unordered_map<request::FlowKey, PendingProbe, request::FlowKeyHash>
      pending_probes_;
  absl::flat_hash_map<request::FlowKey, RefusedSyn, request::FlowKeyHash>
      refused_syns_;
  // Flows to register (true) or withdraw (false) on the next tick.
  absl::flat_hash_map<request::FlowKey, bool, request::FlowKeyHash>
      registrations_;
  // By row: the owner with which the row's flows were registered last.
  std::vector<request::InstanceId> registered_with_;
  // `RowOwnership::generation` at that time.
  uint64_t registered_generation_ = kNeverRegistered;
  TimePoint recovery_window_start_{};
  size_t recoveries_in_window_ = 0;
  size_t next_queried_peer_ = 0;
  std::vector<std::byte> scratch_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_SIDECAR_ROUTER_H_
