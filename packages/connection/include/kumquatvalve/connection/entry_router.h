#ifndef KUMQUATVALVE_CONNECTION_ENTRY_ROUTER_H_
#define KUMQUATVALVE_CONNECTION_ENTRY_ROUTER_H_

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "kumquatvalve/connection/address_history.h"
#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/connection/early_refusal.h"
#include "kumquatvalve/connection/entry_decision.h"
#include "kumquatvalve/connection/flow_locator.h"
#include "kumquatvalve/connection/hello_schedule.h"
#include "kumquatvalve/connection/placement.h"
#include "kumquatvalve/connection/placement_subset.h"
#include "kumquatvalve/connection/stale_records.h"
#include "kumquatvalve/connection/upstream_set.h"
#include "kumquatvalve/request/flow_key.h"
#include "kumquatvalve/request/hop_message.h"
#include "kumquatvalve/request/packet.h"
#include "kumquatvalve/version/route_map.h"

namespace kumquatvalve::connection {

/// Identity and limits of an `EntryRouter`.
struct EntryRouterConfig {
  request::AvailabilityZone zone;
  /// Maximum number of flows in the flow table. The holder of a flow that is
  /// not in the table is found by queries to the sidecars.
  size_t max_flows = 100000;
  /// Seed of the random choices among upstreams; must not be 0.
  uint64_t seed = 1;
  /// Zones can be evacuated: new flows are dropped until `OnEvacuatedZones` was
  /// called, since until then any zone may be evacuated.
  bool awaits_evacuated_zones = false;
};

/// Routes callers' packets at an entry instance: places new flows at upstreams,
/// forwards packets to the holders of their flows, and refuses flows that no
/// upstream takes. Performs no I/O and reads no clock: its decisions depend
/// only on packets, messages of sidecars, routes, upstream records and the
/// passed-in time (docs/platform.md). Not thread-safe.
template <EntrySink S>
class EntryRouter {
 public:
  /// `sink` must outlive the router.
  EntryRouter(EntryRouterConfig config, S* sink)
      : config_(std::move(config)),
        random_(config_.seed),
        sink_(sink),
        upstreams_(config_.zone) {}

  EntryRouter(const EntryRouter&) = delete;
  EntryRouter& operator=(const EntryRouter&) = delete;

  /// Applies a version of the routes unless it is older than the current one.
  /// @return whether it was applied.
  bool OnRoutes(std::shared_ptr<const version::RouteMap> routes,
                TimePoint now) {
    if (routes_ != nullptr && routes->revision < routes_->revision) {
      return false;
    }
    history_.OnRoutes(routes_.get(), *routes, now);
    routes_ = std::move(routes);
    uses_priorities_ = version::HasDifferentPriorities(*routes_);
    return true;
  }

  /// Merges what another entry instance knows about earlier services of
  /// addresses.
  void OnAddressHistory(const AddressHistoryReport& report, TimePoint now) {
    history_.OnReport(report, now);
    locator_.OnAddressHistory(now);
  }

  /// The routes include every version that the store had accepted by
  /// `complete_at`. An open flow without a route is reset only when they are at
  /// least as new as its packet.
  void OnRoutesComplete(TimePoint complete_at, TimePoint now) {
    locator_.OnRoutesComplete(complete_at, now);
  }

  /// Sets whether the other entry instances have been asked for records that
  /// the store may have lost before this process started. Until then no flow is
  /// taken for lost. Initially true.
  void SetPeersAsked(bool asked) { locator_.SetPeersAsked(asked); }

  /// Replaces the upstream records.
  /// @param complete_at the records include every change that the store had
  ///   accepted by this time.
  void OnUpstreamRecords(std::span<const version::UpstreamRecord> records,
                         TimePoint complete_at, TimePoint now) {
    for (const request::Endpoint& it : upstreams_.Replace(records, now)) {
      locator_.OnServiceChanged(it);
    }
    UpdateHelloSchedule();
    upstreams_received_ = true;
    SendHellos(now);
    locator_.OnRecords(complete_at, now);
  }

  /// Replaces the zones whose upstreams get no new flows. Flows that were
  /// offered before stay where they are.
  void OnEvacuatedZones(EvacuatedZones zones) {
    upstreams_.SetEvacuatedZones(std::move(zones));
    evacuated_zones_received_ = true;
  }

  /// A caller's packet that arrived from the routers. Dropped before the first
  /// routes and upstream records.
  void OnCallerPacket(const request::ParsedPacket& packet, TimePoint now) {
    if (routes_ == nullptr || !upstreams_received_) {
      return;
    }
    const version::Route* route = routes_->Find(packet.flow.service);
    if (route == nullptr) {
      OnUnroutedPacket(packet, now);
      return;
    }
    const auto it = flows_.find(packet.flow);
    if (packet.IsFirst()) {
      if (config_.awaits_evacuated_zones && !evacuated_zones_received_) {
        return;
      }
      it == flows_.end() || it->second.caller_isn != packet.sequence
          ? OnNewFlow(packet, *route, now)
          : OnRetransmittedFirstPacket(&it->second, packet, *route, now);
      return;
    }
    if (it == flows_.end() || it->second.HasAmbiguousHolder()) {
      locator_.LocateHolder(packet, now);
      return;
    }
    Flow& flow = it->second;
    flow.last_packet_at = now;
    flow.open = true;
    flow.ended = flow.ended || packet.fin || packet.rst;
    Forward(flow.holder, flow.service, packet.bytes, {}, now);
  }

  /// A message that arrived from a sidecar.
  /// @param packet the bytes that follow the message: a caller's packet, flow
  ///   fingerprints or nothing.
  void OnHopMessage(const request::Endpoint& from,
                    const request::HopMessage& message,
                    std::span<const std::byte> packet, TimePoint now) {
    UpstreamView* view = upstreams_.Find(from);
    if (view != nullptr) {
      view->OnMessageReceived(now);
    }
    switch (message.kind) {
      case request::HopKind::kLoad:
        if (view != nullptr) {
          view->OnLoadReport(message, now);
        }
        return;
      case request::HopKind::kHeld:
        OnHeld(from, message, now);
        return;
      case request::HopKind::kNotHeld:
        OnNotHeld(from, message.flow, now);
        return;
      case request::HopKind::kInconclusive:
        locator_.OnInconclusive(from, message.flow,
                                message.missed_only_first_flows
                                    ? FlowSearch::Missed::kFirstFlows
                                    : FlowSearch::Missed::kAny,
                                now);
        return;
      case request::HopKind::kFlows:
        locator_.OnFlowList(from, message.list, packet, now);
        return;
      case request::HopKind::kReturned:
        OnReturned(from, message.reason, packet, now);
        return;
      case request::HopKind::kPacket:
      case request::HopKind::kLocate:
      case request::HopKind::kHello:
      case request::HopKind::kList:
      case request::HopKind::kUnlisted:
      case request::HopKind::kServiceLimits:
        return;
    }
  }

  /// Runs timeouts; has to be called at least every `kTick`.
  void OnTick(TimePoint now) {
    upstreams_.ExpireUnlisted(now);
    SendHellos(now);
    locator_.OnTick(now);
    if (now >= next_sweep_at_) {
      next_sweep_at_ = now + kSweepInterval;
      ExpireFlows(now);
      history_.Expire(now);
      for (const auto& it : stale_records_.FindStale(upstreams_, now)) {
        sink_->RemoveRecord(it);
      }
    }
  }

  /// Longest time between two calls of `OnTick`.
  static constexpr std::chrono::milliseconds kTick{50};

  size_t flows() const { return flows_.size(); }
  const version::RouteMap* routes() const { return routes_.get(); }
  const UpstreamSet& upstreams() const { return upstreams_; }
  const AddressHistory& address_history() const { return history_; }

 private:
  // Implements `LocatorHost` for the router's locator.
  class LocatorAdapter {
   public:
    explicit LocatorAdapter(EntryRouter* router) : router_(router) {}

    std::vector<request::Endpoint> SidecarsForAddress(
        const request::Endpoint& address) const {
      return router_->SidecarsForAddress(address);
    }
    bool KnowsEarlierServices(TimePoint now) const {
      return router_->history_.IsComplete(now);
    }
    bool IsRouted(const request::Endpoint& address) const {
      return router_->routes_->Find(address) != nullptr;
    }
    std::vector<request::Endpoint> AllSidecars() const {
      std::vector<request::Endpoint> sidecars;
      for (const auto& [sidecar, view] : router_->upstreams_.views()) {
        sidecars.push_back(sidecar);
      }
      return sidecars;
    }
    bool IsPresumedDead(const request::Endpoint& sidecar, TimePoint now) const {
      const UpstreamView* view = router_->upstreams_.Find(sidecar);
      return view == nullptr || view->IsPresumedDead(now);
    }
    bool IsSameZone(const request::Endpoint& sidecar) const {
      const UpstreamView* view = router_->upstreams_.Find(sidecar);
      return view != nullptr && view->same_zone();
    }
    void SendQuery(const request::Endpoint& sidecar,
                   const request::HopMessage& message) {
      request::HopMessage tagged = message;
      tagged.service = router_->ServiceTagOfSidecar(sidecar);
      router_->sink_->Send(sidecar, tagged, {});
    }
    void SendProbe(const request::Endpoint& sidecar,
                   std::span<const std::byte> packet, TimePoint now) {
      const auto parsed = router_->sink_->Parse(packet);
      const request::ServiceTag tag = router_->ServiceTagOfSidecar(sidecar);
      // Another service may have taken over the sidecar's address meanwhile.
      if (parsed &&
          Contains(router_->TagsForAddress(parsed->flow.service), tag)) {
        router_->Forward(sidecar, tag, packet, {.probe = true}, now);
      }
    }
    void Reset(const request::ParsedPacket& packet) {
      router_->sink_->Reset(packet);
    }
    std::optional<request::ParsedPacket> Parse(
        std::span<const std::byte> packet) {
      return router_->sink_->Parse(packet);
    }
    void RefreshRecords() { router_->sink_->RefreshRecords(); }
    void RefreshRoutes() { router_->sink_->RefreshRoutes(); }
    void AskPeers() { router_->sink_->AskPeers(); }
    void RecordDecision(const EntryDecision& decision) {
      router_->RecordVerdict(decision.verdict, decision.flow,
                             router_->routes_->Find(decision.flow.service),
                             decision.sidecar);
    }

   private:
    static bool Contains(const std::vector<request::ServiceTag>& tags,
                         request::ServiceTag tag) {
      return std::find(tags.begin(), tags.end(), tag) != tags.end();
    }

    EntryRouter* router_;
  };

  using Milliseconds = std::chrono::milliseconds;

  // An offer takes about 1 ms, and a flow that was returned this often meets an
  // overload or a service that is shutting down.
  static constexpr size_t kMaxOffers = 5;
  // From this offer on, offers are final: the flow may wait at the chosen
  // sidecar for a free slot.
  static constexpr size_t kFinalOfferNumber = 3;
  // A caller gives up 1.4 s after its first packet; the difference covers the
  // path of the packets.
  static constexpr Milliseconds kMaxOpeningWait{1200};
  // A limit of 0 stands for flows that do not wait.
  static constexpr Milliseconds kMinWait{1};
  // Ended flows are retained for retransmissions of their last packets.
  static constexpr Milliseconds kEndedFlowTtl{4000};
  // A caller retransmits its first packet for at most 1.4 s.
  static constexpr Milliseconds kOpeningFlowTtl{2000};
  static constexpr Milliseconds kSweepInterval{1000};
  // Minimum time between two renewals of the watch of the upstream records. A
  // store that is available answers within some tens of milliseconds.
  static constexpr Milliseconds kWatchRenewalInterval{2500};

  // Cost of placing a flow in another availability zone, expressed as latency.
  // A short request carries about 3 kB between zones, a bulk transfer 40 kB.
  static constexpr std::chrono::microseconds kShortCrossZoneCost{12000};
  static constexpr std::chrono::microseconds kBulkCrossZoneCost{150000};

  struct ForwardOptions {
    bool probe = false;
    bool final_offer = false;
    Milliseconds wait_limit{0};
    Milliseconds target_remaining{0};
    std::optional<uint8_t> priority;
  };

  struct Flow {
    request::Endpoint holder;
    /// The holder's service. The sidecar refuses the flow's packets once
    /// another service has taken over its address.
    request::ServiceTag service;
    uint32_t caller_isn = 0;
    /// The caller sent a packet after its first one, or a sidecar replied that
    /// it holds the flow.
    bool open = false;
    bool ended = false;
    TimePoint last_packet_at;
    /// When the caller sent its first packet, as far as that is known.
    TimePoint arrived_at;
    /// The last offer was final, and the flow may wait at the sidecar until
    /// then.
    std::optional<TimePoint> waits_until;
    /// Sidecars that the first packet was offered to.
    std::vector<request::Endpoint> offered;
    /// The offered sidecars that may still have the packet or that accept no
    /// new flows.
    std::vector<request::Endpoint> excluded;
    size_t offer_count = 0;
    /// Number of offers that a sidecar returned.
    size_t return_count = 0;
    request::ReturnReason last_return_reason = request::ReturnReason::kNone;
    /// The first packet was offered to another upstream while the previous one
    /// may have responded to it.
    bool duplicate_offer = false;

    bool HasAmbiguousHolder() const { return duplicate_offer && !open; }
  };

  request::ServiceTag ServiceTagOfSidecar(
      const request::Endpoint& sidecar) const {
    const UpstreamView* view = upstreams_.Find(sidecar);
    return view == nullptr ? request::ServiceTag() : view->tag();
  }

  void RecordVerdict(
      EntryVerdict verdict, const request::FlowKey& flow,
      const version::Route* route,
      const std::optional<request::Endpoint>& sidecar = std::nullopt) {
    EntryDecision decision;
    decision.verdict = verdict;
    decision.flow = flow;
    decision.route = route;
    decision.sidecar = sidecar;
    decision.route_revision = routes_->revision;
    sink_->RecordDecision(decision);
  }

  void OnUnroutedPacket(const request::ParsedPacket& packet, TimePoint now) {
    if (packet.rst) {
      return;
    }
    const bool was_known = flows_.erase(packet.flow) != 0;
    if (!was_known && !packet.IsFirst()) {
      // A newer version may have the route of an open flow that another
      // instance placed.
      locator_.LocateHolder(packet, now);
      return;
    }
    locator_.Forget(packet.flow);
    sink_->Reset(packet);
    RecordVerdict(
        was_known ? EntryVerdict::kRouteRemoved : EntryVerdict::kNoRoute,
        packet.flow, nullptr);
  }

  void OnNewFlow(const request::ParsedPacket& packet,
                 const version::Route& route, TimePoint now) {
    MakeRoomForFlow(now);
    // What is known of an earlier flow from the same port does not hold for
    // this one.
    locator_.Forget(packet.flow);
    Flow flow;
    flow.caller_isn = packet.sequence;
    flow.last_packet_at = now;
    flow.arrived_at = now - packet.waited;
    Offer(flow, packet, route, EntryVerdict::kPlaced, now);
  }

  // Evicts a flow when the table is full. The holder of an evicted flow is
  // found again by queries to the sidecars when the flow's next packet arrives.
  void MakeRoomForFlow(TimePoint now) {
    if (flows_.size() >= config_.max_flows) {
      ExpireFlows(now);
    }
    if (flows_.size() >= config_.max_flows) {
      flows_.erase(flows_.begin());
    }
  }

  // Sends a first packet to the best upstream that is not excluded. Refuses the
  // flow when there is none or after `kMaxOffers`.
  void Offer(Flow flow, const request::ParsedPacket& packet,
             const version::Route& route, EntryVerdict verdict, TimePoint now) {
    EntryDecision decision;
    const Milliseconds waited = WaitedAtOffer(flow, packet, now);
    UpstreamView* view =
        ChooseCandidate(packet.flow, flow, route, waited, &decision, now);
    if (view == nullptr || flow.offer_count >= kMaxOffers) {
      decision.flow = packet.flow;
      decision.route = &route;
      decision.reason = flow.last_return_reason;
      Refuse(flow, packet, decision);
      return;
    }
    flow.holder = view->sidecar();
    flow.service = view->tag();
    const bool offered_before =
        std::find(flow.offered.begin(), flow.offered.end(), flow.holder) !=
        flow.offered.end();
    if (!offered_before) {
      flow.offered.push_back(flow.holder);
    }
    flow.excluded.push_back(flow.holder);
    ++flow.offer_count;
    const bool final_offer =
        offered_before || flow.offer_count >= kFinalOfferNumber;
    view->OnFlowPlaced();
    decision.verdict = verdict;
    decision.flow = packet.flow;
    decision.route = &route;
    decision.sidecar = flow.holder;
    decision.report_age = view->ReportAge(now);
    decision.route_revision = routes_->revision;
    const Milliseconds wait_limit = WaitLimit(waited, route);
    flow.waits_until.reset();
    if (final_offer) {
      // A flow that does not wait for a slot may wait for a heartbeat.
      flow.waits_until =
          now + (wait_limit.count() == 0 ? kMaxOpeningWait : wait_limit);
    }
    const request::Endpoint holder = flow.holder;
    const request::ServiceTag service = flow.service;
    flows_.insert_or_assign(packet.flow, std::move(flow));
    Forward(holder, service, packet.bytes,
            {.final_offer = final_offer,
             .wait_limit = wait_limit,
             .target_remaining =
                 std::max(Milliseconds(0), route.target_latency - waited),
             .priority = PriorityOf(route)},
            now);
    sink_->RecordDecision(decision);
  }

  // How long a flow may wait at a sidecar. At most half of the time that its
  // caller still waits, since a flow that opens late leaves too little time for
  // the response. Bulk transfers do not wait: they spend most of their time on
  // the network, so work in progress says little about free slots.
  static Milliseconds WaitLimit(Milliseconds waited,
                                const version::Route& route) {
    return route.shape == version::TrafficShape::kBulk
               ? Milliseconds(0)
               : std::max(kMinWait, std::min(kMaxOpeningWait - waited,
                                             (route.timeout - waited) / 2));
  }

  // How long the caller has been waiting. With priorities, the time that the
  // flow waited at sidecars that returned it counts too.
  Milliseconds WaitedAtOffer(const Flow& flow,
                             const request::ParsedPacket& packet,
                             TimePoint now) const {
    return uses_priorities_
               ? std::chrono::duration_cast<Milliseconds>(now - flow.arrived_at)
               : packet.waited;
  }

  // Sent only when the routes differ in priority: other deployments send the
  // same messages as without priorities.
  std::optional<uint8_t> PriorityOf(const version::Route& route) const {
    return uses_priorities_ ? std::optional<uint8_t>(std::min<uint32_t>(
                                  route.priority, request::kMaxHopPriority))
                            : std::nullopt;
  }

  // Ends the flow with a reset, but only when every offer was returned:
  // otherwise an upstream may have accepted it.
  void Refuse(const Flow& flow, const request::ParsedPacket& packet,
              EntryDecision decision) {
    const bool all_returned = flow.offer_count == flow.return_count;
    if (all_returned) {
      flows_.erase(packet.flow);
      sink_->Reset(packet);
    }
    decision.zone_evacuated = decision.zone_evacuated && all_returned;
    decision.route_revision = routes_->revision;
    sink_->RecordDecision(decision);
  }

  const version::RouteShare* PickShare(const version::Route& route) {
    uint64_t total = 0;
    for (const version::RouteShare& it : route.shares) {
      total += it.weight;
    }
    if (total == 0) {
      return nullptr;
    }
    uint64_t offset = NextRandom() % total;
    for (const version::RouteShare& it : route.shares) {
      if (offset < it.weight) {
        return &it;
      }
      offset -= it.weight;
    }
    return nullptr;
  }

  UpstreamView* ChooseCandidate(const request::FlowKey& key, const Flow& flow,
                                const version::Route& route,
                                Milliseconds waited, EntryDecision* decision,
                                TimePoint now) {
    const std::span<const request::Endpoint> excluded = flow.excluded;
    decision->verdict =
        excluded.empty() ? EntryVerdict::kNoUpstream : EntryVerdict::kNotTaken;
    const version::RouteShare* share = PickShare(route);
    if (share == nullptr) {
      return nullptr;
    }
    const auto views = upstreams_.Candidates(share->tag, excluded, now);
    std::vector<PlacementCandidate> candidates;
    candidates.reserve(views.size());
    std::vector<request::Endpoint> sidecars;
    sidecars.reserve(views.size());
    for (const UpstreamView* it : views) {
      candidates.push_back(it->Candidate());
      sidecars.push_back(it->sidecar());
    }
    PlacementSettings settings;
    settings.zone_cost = route.shape == version::TrafficShape::kBulk
                             ? kBulkCrossZoneCost
                             : kShortCrossZoneCost;
    if (!uses_priorities_) {
      settings.max_expected_wait = route.timeout;
    } else if (IsServiceFull(ReportsOf(views, now), route.timeout - waited)) {
      decision->verdict = EntryVerdict::kServiceFull;
      return nullptr;
    }
    const auto [placement, subset_use] = ChooseFromSubset(
        key, sidecars, candidates, flow.offer_count, settings, NextRandom());
    decision->subset_use = subset_use;
    decision->expected_wait = placement.expected_wait;
    if (!placement.chosen) {
      decision->zone_evacuated =
          views.empty() &&
          upstreams_.HasEvacuatedCandidate(share->tag, excluded, now);
      if (!views.empty()) {
        decision->verdict = EntryVerdict::kOverloaded;
      } else if (excluded.empty() && !decision->zone_evacuated) {
        RenewRecordWatch(now);
      }
      return nullptr;
    }
    return views[*placement.chosen];
  }

  static std::vector<ReportedUpstream> ReportsOf(
      const std::vector<UpstreamView*>& views, TimePoint now) {
    std::vector<ReportedUpstream> reports;
    reports.reserve(views.size());
    for (const UpstreamView* it : views) {
      reports.push_back({it->load(), it->ReportAge(now)});
    }
    return reports;
  }

  // No upstream of a service takes flows, or one is of another service than its
  // record says. Load pattern: upstreams of a service are replaced while the
  // connection of the call that waits for changes of their records delivers
  // nothing any more. The call's own timeout would pass before their successors
  // are known.
  void RenewRecordWatch(TimePoint now) {
    if (now >= next_watch_renewal_at_) {
      next_watch_renewal_at_ = now + kWatchRenewalInterval;
      sink_->RenewRecordWatch();
    }
  }

  // A retransmitted first packet: the caller got no response within 200 or 600
  // ms.
  void OnRetransmittedFirstPacket(Flow* flow,
                                  const request::ParsedPacket& packet,
                                  const version::Route& route, TimePoint now) {
    flow->last_packet_at = now;
    const UpstreamView* view = upstreams_.Find(flow->holder);
    const bool alive = view != nullptr && view->tag() == flow->service &&
                       view->AcceptsNewFlows(now, false);
    if (flow->open || alive) {
      Forward(flow->holder, flow->service, packet.bytes,
              {.priority = PriorityOf(route)}, now);
      return;
    }
    Flow retried = *flow;
    retried.duplicate_offer = true;
    Offer(std::move(retried), packet, route, EntryVerdict::kPlacedAgain, now);
  }

  void OnReturned(const request::Endpoint& from, request::ReturnReason reason,
                  std::span<const std::byte> bytes, TimePoint now) {
    const auto packet = sink_->Parse(bytes);
    if (!packet || routes_ == nullptr) {
      return;
    }
    if (UpstreamView* view = upstreams_.Find(from); view != nullptr) {
      view->OnFlowReturned(reason, now);
    }
    if (reason == request::ReturnReason::kWrongService) {
      RenewRecordWatch(now);
    }
    const auto it = flows_.find(packet->flow);
    const version::Route* route = routes_->Find(packet->flow.service);
    if (it == flows_.end() || route == nullptr || it->second.holder != from ||
        it->second.open || !packet->IsFirst() ||
        packet->sequence != it->second.caller_isn) {
      return;
    }
    Flow flow = it->second;
    ++flow.return_count;
    flow.last_return_reason = reason;
    if (reason == request::ReturnReason::kQueueFull) {
      if (flow.waits_until && now >= *flow.waits_until) {
        // It waited for as long as it may.
        EntryDecision decision;
        decision.verdict = EntryVerdict::kNotTaken;
        decision.flow = packet->flow;
        decision.route = route;
        decision.sidecar = from;
        decision.reason = reason;
        Refuse(flow, *packet, decision);
        return;
      }
      // The sidecar's queue may still have the shortest expected wait, so the
      // flow may be offered to it again. With priorities, the return of a final
      // offer means that all flows in the queue are worth more.
      if (!uses_priorities_ || !flow.waits_until) {
        std::erase(flow.excluded, from);
      }
    }
    Offer(std::move(flow), *packet, *route, EntryVerdict::kPlacedAgain, now);
  }

  // Services that an address is or was routed to.
  std::vector<request::ServiceTag> TagsForAddress(
      const request::Endpoint& address) const {
    std::vector<request::ServiceTag> tags = history_.ServicesOf(address);
    if (const version::Route* route = routes_->Find(address)) {
      for (const version::RouteShare& it : route->shares) {
        tags.push_back(it.tag);
      }
    }
    return tags;
  }

  std::vector<request::Endpoint> SidecarsForAddress(
      const request::Endpoint& address) const {
    return upstreams_.SidecarsForServices(TagsForAddress(address));
  }

  void OnHeld(const request::Endpoint& from, const request::HopMessage& reply,
              TimePoint now) {
    const request::FlowKey& key = reply.flow;
    // Without a search the reply is late: the flow was found meanwhile, or its
    // caller has opened another one from the same port.
    const auto search = locator_.TakeSearch(key, from);
    if (!search) {
      return;
    }
    if (!flows_.contains(key)) {
      MakeRoomForFlow(now);
    }
    Flow& flow = flows_[key];
    flow.holder = from;
    flow.service = reply.service;
    flow.open = true;
    flow.duplicate_offer = false;
    flow.last_packet_at = now;
    for (size_t i = 0; i < search->packets().size(); ++i) {
      // The probe has already delivered the first kept packet to this sidecar.
      const bool already_sent = search->WasProbed(from) && i == 0;
      if (!already_sent) {
        Forward(from, reply.service, search->packets()[i], {}, now);
      }
    }
    RecordVerdict(EntryVerdict::kLocated, key, routes_->Find(key.service),
                  from);
  }

  void OnNotHeld(const request::Endpoint& from, const request::FlowKey& key,
                 TimePoint now) {
    const auto flow = flows_.find(key);
    if (flow != flows_.end() && flow->second.holder == from) {
      flows_.erase(flow);
    }
    locator_.OnNotHeld(from, key, now);
  }

  // @param service the service that the packet's flow was placed at.
  void Forward(const request::Endpoint& sidecar, request::ServiceTag service,
               std::span<const std::byte> packet, ForwardOptions options,
               TimePoint now) {
    UpstreamView* view = upstreams_.Find(sidecar);
    if (view == nullptr) {
      return;
    }
    request::HopMessage message;
    message.kind = request::HopKind::kPacket;
    message.service = service;
    message.probe = options.probe;
    message.final_offer = options.final_offer;
    message.max_wait = options.wait_limit;
    message.target_remaining = options.target_remaining;
    message.priority = options.priority;
    view->OnMessageSent(now);
    sink_->Send(sidecar, message, packet);
  }

  void UpdateHelloSchedule() {
    const auto& views = upstreams_.views();
    const auto same_zone = static_cast<size_t>(
        std::count_if(views.begin(), views.end(),
                      [](const auto& it) { return it.second.same_zone(); }));
    hello_schedule_.SetUpstreams(same_zone, views.size() - same_zone);
  }

  void SendHellos(TimePoint now) {
    for (auto& [sidecar, view] : upstreams_.views()) {
      const bool unanswered = view.UnresponsiveTime(now).count() != 0;
      if (view.IsHelloDue(
              now, hello_schedule_.Interval(view.same_zone(), unanswered))) {
        request::HopMessage message;
        message.kind = view.LacksRecord(now) ? request::HopKind::kUnlisted
                                             : request::HopKind::kHello;
        message.service = view.tag();
        view.OnHelloSent(now);
        sink_->Send(sidecar, message, {});
      }
      SendServiceLimit(&view, now);
    }
  }

  // Earlier versions drop the message, so no reaction is expected.
  void SendServiceLimit(UpstreamView* view, TimePoint now) {
    if (routes_ == nullptr) {
      return;
    }
    const uint16_t tenths = routes_->WarmUpPerSecondTenths(view->tag());
    if (view->TakeServiceLimit(tenths, now)) {
      request::HopMessage message;
      message.kind = request::HopKind::kServiceLimits;
      message.service = view->tag();
      message.warm_up_per_second_tenths = tenths;
      sink_->Send(view->sidecar(), message, {});
    }
  }

  void ExpireFlows(TimePoint now) {
    const Milliseconds idle =
        routes_ == nullptr ? Milliseconds(0) : routes_->idle_timeout;
    absl::erase_if(flows_, [&](const auto& it) {
      const Flow& flow = it.second;
      const auto age = now - flow.last_packet_at;
      if (flow.ended) {
        return age > kEndedFlowTtl;
      }
      return flow.open ? age > idle : age > kOpeningFlowTtl;
    });
  }

  uint64_t NextRandom() {
    // xorshift64
    random_ ^= random_ << 13;
    random_ ^= random_ >> 7;
    random_ ^= random_ << 17;
    return random_;
  }

  EntryRouterConfig config_;
  uint64_t random_;
  S* sink_;
  std::shared_ptr<const version::RouteMap> routes_;
  /// The routes differ in priority.
  bool uses_priorities_ = false;
  AddressHistory history_;
  UpstreamSet upstreams_;
  absl::flat_hash_map<request::FlowKey, Flow, request::FlowKeyHash> flows_;
  HelloSchedule hello_schedule_;
  StaleRecords stale_records_{config_.seed};
  LocatorAdapter host_{this};
  FlowLocator<LocatorAdapter> locator_{&host_};
  bool upstreams_received_ = false;
  bool evacuated_zones_received_ = false;
  TimePoint next_sweep_at_;
  TimePoint next_watch_renewal_at_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_ENTRY_ROUTER_H_
