#ifndef KUMQUATVALVE_CONNECTION_ENTRY_ROUTER_H_
#define KUMQUATVALVE_CONNECTION_ENTRY_ROUTER_H_

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/connection/entry_decision.h"
#include "kumquatvalve/connection/flow_locator.h"
#include "kumquatvalve/connection/placement.h"
#include "kumquatvalve/connection/stale_records.h"
#include "kumquatvalve/connection/upstream_set.h"
#include "kumquatvalve/request/flow_key.h"
#include "kumquatvalve/request/hop_message.h"
#include "kumquatvalve/request/packet.h"
#include "kumquatvalve/version/route_map.h"

namespace kumquatvalve::connection {

struct EntryRouterConfig {
  request::AvailabilityZone zone;
  /// Flows remembered at most; beyond it the holder of a flow is asked for.
  size_t max_flows = 100000;
  uint64_t seed = 1;
};

/// The decisions of an entry instance about callers' packets: a function of
/// packets, messages of sidecars, routes, upstream records and a passed-in
/// clock (docs/platform.md). Calls come from one thread.
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

  /// Puts a version of the configuration in force; an older one is ignored.
  /// @return whether it is in force now.
  bool OnRoutes(std::shared_ptr<const version::RouteMap> routes) {
    if (routes_ != nullptr && routes->revision < routes_->revision) {
      return false;
    }
    if (routes_ != nullptr) {
      RememberServices(*routes_);
    }
    routes_ = std::move(routes);
    return true;
  }

  /// Whether the routes in force are known to be the newest: the store told
  /// them and still answers. At first they are taken to be.
  void OnRoutesState(bool current) { routes_current_ = current; }

  /// Replaces the upstream records.
  /// @param complete_at the records hold every change that the store had taken
  ///   at this time.
  void OnUpstreams(std::span<const version::UpstreamRecord> records,
                   TimePoint complete_at, TimePoint now) {
    upstreams_.Replace(records, now);
    upstreams_known_ = true;
    GreetUpstreams(now);
    locator_.OnRecords(complete_at, now);
  }

  /// A packet that came from the routers.
  void OnCallerPacket(const request::ParsedPacket& packet, TimePoint now) {
    if (routes_ == nullptr || !upstreams_known_) {
      return;
    }
    const version::Route* route = routes_->Find(packet.flow.service);
    if (route == nullptr) {
      OnUnrouted(packet);
      return;
    }
    const auto it = flows_.find(packet.flow);
    if (packet.IsFirst()) {
      it == flows_.end() || it->second.caller_isn != packet.sequence
          ? OnNewFlow(packet, *route, now)
          : OnFirstPacketCopy(&it->second, packet, *route, now);
      return;
    }
    if (it == flows_.end() || it->second.Ambiguous()) {
      locator_.Find(packet, now);
      return;
    }
    Flow& flow = it->second;
    flow.last_packet = now;
    flow.open = true;
    flow.ended = flow.ended || packet.fin || packet.rst;
    Forward(flow.holder, packet.bytes, {}, now);
  }

  /// A datagram of a sidecar.
  void OnHopMessage(const request::Endpoint& from,
                    const request::HopMessage& message,
                    std::span<const std::byte> packet, TimePoint now) {
    UpstreamView* view = upstreams_.Find(from);
    if (view != nullptr) {
      view->OnHeard(now);
    }
    switch (message.kind) {
      case request::HopKind::kLoad:
        if (view != nullptr) {
          view->OnLoad(message, now);
        }
        return;
      case request::HopKind::kHeld:
        OnHeld(from, message.flow, now);
        return;
      case request::HopKind::kNotHeld:
        OnNotHeld(from, message.flow, now);
        return;
      case request::HopKind::kInconclusive:
        locator_.OnUnsure(from, message.flow, now);
        return;
      case request::HopKind::kFlows:
        locator_.OnFlows(from, message.list, packet, now);
        return;
      case request::HopKind::kReturned:
        OnReturned(from, message.reason, packet, now);
        return;
      case request::HopKind::kPacket:
      case request::HopKind::kLocate:
      case request::HopKind::kHello:
      case request::HopKind::kList:
      case request::HopKind::kUnlisted:
        return;
    }
  }

  /// To be called every `kTick`.
  void OnTick(TimePoint now) {
    upstreams_.Expire(now);
    GreetUpstreams(now);
    locator_.OnTick(now);
    if (now >= next_sweep_) {
      next_sweep_ = now + kSweepPeriod;
      ExpireFlows(now);
      for (const auto& it : stale_records_.Find(upstreams_, now)) {
        sink_->RemoveRecord(it);
      }
    }
  }

  /// Longest time between two calls of `OnTick`.
  static constexpr std::chrono::milliseconds kTick{50};

  size_t flows() const { return flows_.size(); }
  const version::RouteMap* routes() const { return routes_.get(); }
  const UpstreamSet& upstreams() const { return upstreams_; }

 private:
  // What the locator may do.
  class Host {
   public:
    explicit Host(EntryRouter* router) : router_(router) {}

    std::vector<request::Endpoint> SidecarsOf(
        const request::Endpoint& address) const {
      return router_->SidecarsOf(address);
    }
    std::vector<request::Endpoint> Sidecars() const {
      std::vector<request::Endpoint> sidecars;
      for (const auto& [sidecar, view] : router_->upstreams_.views()) {
        sidecars.push_back(sidecar);
      }
      return sidecars;
    }
    bool IsGone(const request::Endpoint& sidecar, TimePoint now) const {
      const UpstreamView* view = router_->upstreams_.Find(sidecar);
      return view == nullptr || view->Gone(now);
    }
    void Ask(const request::Endpoint& sidecar,
             const request::HopMessage& message) {
      request::HopMessage tagged = message;
      tagged.service = router_->TagOf(sidecar);
      router_->sink_->Send(sidecar, tagged, {});
    }
    void Probe(const request::Endpoint& sidecar,
               std::span<const std::byte> packet, TimePoint now) {
      router_->Forward(sidecar, packet, {.probe = true}, now);
    }
    void Reset(const request::ParsedPacket& packet) {
      router_->sink_->Reset(packet);
    }
    std::optional<request::ParsedPacket> Parse(
        std::span<const std::byte> packet) {
      return router_->sink_->Parse(packet);
    }
    void RefreshRecords() { router_->sink_->RefreshRecords(); }
    void Decided(const EntryDecision& decision) {
      router_->Report(decision.verdict, decision.flow,
                      router_->routes_->Find(decision.flow.service),
                      decision.sidecar);
    }

   private:
    EntryRouter* router_;
  };

  using Milliseconds = std::chrono::milliseconds;

  // Offers of one flow at most: an offer takes about 1 ms, and a flow that was
  // returned so often meets an overload or a service that is leaving.
  static constexpr size_t kMaxOffers = 5;
  // After this many offers the flow waits where it is placed.
  static constexpr size_t kQueueFullOffers = 3;
  // A caller gives up 1.4 s after its first packet; the rest is for the way.
  static constexpr Milliseconds kOpeningPatience{1200};
  // Ended flows stay known for the retransmissions of their last packets.
  static constexpr Milliseconds kEndedLife{4000};
  // A caller sends no copies of its first packet after 1.4 s.
  static constexpr Milliseconds kOpeningLife{2000};
  static constexpr Milliseconds kSweepPeriod{1000};
  // Idle upstreams are asked for a report this often.
  static constexpr Milliseconds kHelloPeriod{1000};

  // Cost of placing a flow in another zone, as latency. A short exchange
  // carries about 3 kB between zones, a bulk one 40 kB.
  static constexpr std::chrono::microseconds kShortZoneCost{12000};
  static constexpr std::chrono::microseconds kBulkZoneCost{150000};

  struct ForwardOptions {
    bool probe = false;
    bool final_offer = false;
    Milliseconds max_wait{0};
  };

  struct Flow {
    request::Endpoint holder;
    uint32_t caller_isn = 0;
    /// The caller answered an upstream's SYN-ACK.
    bool open = false;
    bool ended = false;
    TimePoint last_packet;
    /// Sidecars that the first packet was offered to.
    std::vector<request::Endpoint> offered;
    /// Those of them that may still have it or that take no flows.
    std::vector<request::Endpoint> excluded;
    size_t offers = 0;
    /// Offers that the sidecar returned.
    size_t returned = 0;
    /// Two upstreams may have answered the first packet.
    bool twice = false;

    bool Ambiguous() const { return twice && !open; }
  };

  request::ServiceTag TagOf(const request::Endpoint& sidecar) const {
    const UpstreamView* view = upstreams_.Find(sidecar);
    return view == nullptr ? request::ServiceTag() : view->tag();
  }

  // Services that an address led to in earlier versions may still hold flows.
  void RememberServices(const version::RouteMap& routes) {
    for (const auto& [address, route] : routes.routes) {
      std::vector<request::ServiceTag>& known = earlier_services_[address];
      for (const version::RouteShare& it : route.shares) {
        if (std::find(known.begin(), known.end(), it.tag) == known.end()) {
          known.push_back(it.tag);
        }
      }
    }
  }

  void Report(EntryVerdict verdict, const request::FlowKey& flow,
              const version::Route* route,
              const std::optional<request::Endpoint>& sidecar = std::nullopt) {
    EntryDecision decision;
    decision.verdict = verdict;
    decision.flow = flow;
    decision.route = route;
    decision.sidecar = sidecar;
    decision.route_revision = routes_->revision;
    sink_->Decided(decision);
  }

  void OnUnrouted(const request::ParsedPacket& packet) {
    if (packet.rst) {
      return;
    }
    const bool known = flows_.erase(packet.flow) != 0;
    // A newer version may have the route; another instance opened the flow.
    if (packet.IsFirst() || routes_current_) {
      sink_->Reset(packet);
    }
    Report(known ? EntryVerdict::kRouteRemoved : EntryVerdict::kNoRoute,
           packet.flow, nullptr);
  }

  void OnNewFlow(const request::ParsedPacket& packet,
                 const version::Route& route, TimePoint now) {
    if (flows_.size() >= config_.max_flows) {
      ExpireFlows(now);
      if (flows_.size() >= config_.max_flows) {
        // Its sidecar still knows it.
        flows_.erase(flows_.begin());
      }
    }
    Flow flow;
    flow.caller_isn = packet.sequence;
    flow.last_packet = now;
    Offer(flow, packet, route, EntryVerdict::kPlaced, now);
  }

  // Sends a first packet to the best upstream that is not excluded.
  void Offer(Flow flow, const request::ParsedPacket& packet,
             const version::Route& route, EntryVerdict verdict, TimePoint now) {
    EntryDecision decision;
    UpstreamView* view = Choose(route, flow.excluded, &decision, now);
    if (view == nullptr || flow.offers >= kMaxOffers) {
      Refuse(flow, packet, decision.verdict, route);
      return;
    }
    flow.holder = view->sidecar();
    const bool offered_before =
        std::find(flow.offered.begin(), flow.offered.end(), flow.holder) !=
        flow.offered.end();
    if (!offered_before) {
      flow.offered.push_back(flow.holder);
    }
    flow.excluded.push_back(flow.holder);
    ++flow.offers;
    const bool final_offer = offered_before || flow.offers >= kQueueFullOffers;
    view->OnPlaced();
    decision.verdict = verdict;
    decision.flow = packet.flow;
    decision.route = &route;
    decision.sidecar = flow.holder;
    decision.report_age = view->ReportAge(now);
    decision.route_revision = routes_->revision;
    const request::Endpoint holder = flow.holder;
    flows_.insert_or_assign(packet.flow, std::move(flow));
    Forward(holder, packet.bytes,
            {.final_offer = final_offer, .max_wait = PatienceOf(packet, route)},
            now);
    sink_->Decided(decision);
  }

  // A flow that opens late in the caller's time limit leaves no time for the
  // answer: half of it is for waiting. Bulk transfers do not wait: most of
  // their time goes by on the way, so that work in progress says little about
  // free slots.
  static Milliseconds PatienceOf(const request::ParsedPacket& packet,
                                 const version::Route& route) {
    return route.shape == version::TrafficShape::kBulk
               ? Milliseconds(0)
               : std::min(kOpeningPatience - packet.waited, route.timeout / 2);
  }

  // A reset is true only when no upstream can have taken the flow.
  void Refuse(const Flow& flow, const request::ParsedPacket& packet,
              EntryVerdict verdict, const version::Route& route) {
    const bool nothing_open = flow.offers == flow.returned;
    if (nothing_open) {
      flows_.erase(packet.flow);
      sink_->Reset(packet);
    }
    Report(verdict, packet.flow, &route);
  }

  const version::RouteShare* PickShare(const version::Route& route) {
    uint64_t total = 0;
    for (const version::RouteShare& it : route.shares) {
      total += it.weight;
    }
    if (total == 0) {
      return nullptr;
    }
    uint64_t at = NextRandom() % total;
    for (const version::RouteShare& it : route.shares) {
      if (at < it.weight) {
        return &it;
      }
      at -= it.weight;
    }
    return nullptr;
  }

  UpstreamView* Choose(const version::Route& route,
                       std::span<const request::Endpoint> excluded,
                       EntryDecision* decision, TimePoint now) {
    decision->verdict =
        excluded.empty() ? EntryVerdict::kNoUpstream : EntryVerdict::kNotTaken;
    const version::RouteShare* share = PickShare(route);
    if (share == nullptr) {
      return nullptr;
    }
    const auto views = upstreams_.Takers(share->tag, excluded, now);
    std::vector<PlacementCandidate> candidates;
    candidates.reserve(views.size());
    for (const UpstreamView* it : views) {
      candidates.push_back(it->Candidate());
    }
    PlacementSettings settings;
    settings.zone_cost = route.shape == version::TrafficShape::kBulk
                             ? kBulkZoneCost
                             : kShortZoneCost;
    settings.longest_wait = route.timeout;
    const Placement placement =
        ChooseUpstream(candidates, settings, NextRandom());
    decision->expected_wait = placement.wait;
    if (!placement.chosen) {
      if (!views.empty()) {
        decision->verdict = EntryVerdict::kOverloaded;
      }
      return nullptr;
    }
    return views[*placement.chosen];
  }

  // The caller got no answer to its first packet within 200 or 600 ms.
  void OnFirstPacketCopy(Flow* flow, const request::ParsedPacket& packet,
                         const version::Route& route, TimePoint now) {
    flow->last_packet = now;
    const UpstreamView* view = upstreams_.Find(flow->holder);
    const bool alive = view != nullptr && view->MayTake(now, false);
    if (flow->open || alive) {
      Forward(flow->holder, packet.bytes, {}, now);
      return;
    }
    Flow again = *flow;
    again.twice = true;
    Offer(std::move(again), packet, route, EntryVerdict::kPlacedAgain, now);
  }

  void OnReturned(const request::Endpoint& from, request::ReturnReason reason,
                  std::span<const std::byte> bytes, TimePoint now) {
    const auto packet = sink_->Parse(bytes);
    if (!packet || routes_ == nullptr) {
      return;
    }
    if (UpstreamView* view = upstreams_.Find(from); view != nullptr) {
      view->OnReturned(reason, now);
    }
    const auto it = flows_.find(packet->flow);
    const version::Route* route = routes_->Find(packet->flow.service);
    if (it == flows_.end() || route == nullptr || it->second.holder != from ||
        it->second.open || !packet->IsFirst()) {
      return;
    }
    Flow flow = it->second;
    ++flow.returned;
    if (reason == request::ReturnReason::kQueueFull) {
      // Its queue may still be the shortest way to an answer.
      std::erase(flow.excluded, from);
    }
    Offer(std::move(flow), *packet, *route, EntryVerdict::kPlacedAgain, now);
  }

  // Sidecars of the services that an address leads to now or led to before.
  std::vector<request::Endpoint> SidecarsOf(
      const request::Endpoint& address) const {
    std::vector<request::ServiceTag> tags;
    if (const auto it = earlier_services_.find(address);
        it != earlier_services_.end()) {
      tags = it->second;
    }
    if (const version::Route* route = routes_->Find(address)) {
      for (const version::RouteShare& it : route->shares) {
        tags.push_back(it.tag);
      }
    }
    return upstreams_.SidecarsOf(tags);
  }

  void OnHeld(const request::Endpoint& from, const request::FlowKey& key,
              TimePoint now) {
    Flow& flow = flows_[key];
    flow.holder = from;
    flow.open = true;
    flow.twice = false;
    flow.last_packet = now;
    const auto search = locator_.Take(key);
    if (!search) {
      return;
    }
    for (size_t i = 0; i < search->packets().size(); ++i) {
      // A probe carried the first packet to this sidecar already.
      const bool sent = search->probed() && i == 0;
      if (!sent) {
        Forward(from, search->packets()[i], {}, now);
      }
    }
    Report(EntryVerdict::kLocated, key, routes_->Find(key.service), from);
  }

  void OnNotHeld(const request::Endpoint& from, const request::FlowKey& key,
                 TimePoint now) {
    const auto flow = flows_.find(key);
    if (flow != flows_.end() && flow->second.holder == from) {
      flows_.erase(flow);
    }
    locator_.OnNotHeld(from, key, now);
  }

  void Forward(const request::Endpoint& sidecar,
               std::span<const std::byte> packet, ForwardOptions options,
               TimePoint now) {
    UpstreamView* view = upstreams_.Find(sidecar);
    if (view == nullptr) {
      return;
    }
    request::HopMessage message;
    message.kind = request::HopKind::kPacket;
    message.service = view->tag();
    message.probe = options.probe;
    message.final_offer = options.final_offer;
    message.max_wait = options.max_wait;
    view->OnSent(now);
    sink_->Send(sidecar, message, packet);
  }

  void GreetUpstreams(TimePoint now) {
    for (auto& [sidecar, view] : upstreams_.views()) {
      if (view.GreetingDue(now, kHelloPeriod)) {
        request::HopMessage message;
        message.kind = view.listed() ? request::HopKind::kHello
                                     : request::HopKind::kUnlisted;
        message.service = view.tag();
        view.OnGreeted(now);
        sink_->Send(sidecar, message, {});
      }
    }
  }

  void ExpireFlows(TimePoint now) {
    const Milliseconds idle =
        routes_ == nullptr ? Milliseconds(0) : routes_->idle_timeout;
    absl::erase_if(flows_, [&](const auto& it) {
      const Flow& flow = it.second;
      const auto age = now - flow.last_packet;
      if (flow.ended) {
        return age > kEndedLife;
      }
      return flow.open ? age > idle : age > kOpeningLife;
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
  bool routes_current_ = true;
  std::map<request::Endpoint, std::vector<request::ServiceTag>>
      earlier_services_;
  UpstreamSet upstreams_;
  absl::flat_hash_map<request::FlowKey, Flow, request::FlowKeyHash> flows_;
  StaleRecords stale_records_{config_.seed};
  Host host_{this};
  FlowLocator<Host> locator_{&host_};
  bool upstreams_known_ = false;
  TimePoint next_sweep_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_ENTRY_ROUTER_H_
