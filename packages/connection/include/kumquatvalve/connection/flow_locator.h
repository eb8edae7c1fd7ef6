#ifndef KUMQUATVALVE_CONNECTION_FLOW_LOCATOR_H_
#define KUMQUATVALVE_CONNECTION_FLOW_LOCATOR_H_

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <chrono>
#include <concepts>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/connection/entry_decision.h"
#include "kumquatvalve/connection/flow_listing.h"
#include "kumquatvalve/connection/flow_queue.h"
#include "kumquatvalve/connection/flow_search.h"
#include "kumquatvalve/connection/probe_order.h"
#include "kumquatvalve/connection/probe_window.h"
#include "kumquatvalve/request/flow_key.h"
#include "kumquatvalve/request/hop_message.h"
#include "kumquatvalve/request/packet.h"

namespace kumquatvalve::connection {

/// What a `FlowLocator` needs from the entry instance around it.
template <typename H>
concept LocatorHost = requires(H host, const request::Endpoint& endpoint,
                               const request::HopMessage& message,
                               const request::ParsedPacket& packet,
                               std::span<const std::byte> bytes,
                               const EntryDecision& decision, TimePoint now) {
  // The sidecars of the services that a service address is known to be or to
  // have been routed to. An earlier process may have known others.
  {
    host.SidecarsForAddress(endpoint)
    } -> std::same_as<std::vector<request::Endpoint>>;
  { host.AllSidecars() } -> std::same_as<std::vector<request::Endpoint>>;
  // Whether `SidecarsForAddress` leaves out no service that an address was
  // routed to within the time for which flows have to be retained.
  { host.KnowsEarlierServices(now) } -> std::same_as<bool>;
  // Whether the routes in force have the service address.
  { host.IsRouted(endpoint) } -> std::same_as<bool>;
  { host.IsPresumedDead(endpoint, now) } -> std::same_as<bool>;
  // Whether the sidecar is in the availability zone of this instance.
  { host.IsSameZone(endpoint) } -> std::same_as<bool>;
  // Sends a message without a packet to a sidecar.
  host.SendQuery(endpoint, message);
  // Sends a packet of a flow to an upstream to find out whether it holds the
  // flow.
  host.SendProbe(endpoint, bytes, now);
  // Resets the flow of a caller's packet.
  host.Reset(packet);
  // Empty for a malformed packet.
  { host.Parse(bytes) } -> std::same_as<std::optional<request::ParsedPacket>>;
  // Starts to read the upstream records from the store; `OnRecords` is called
  // with the result.
  host.RefreshRecords();
  // Starts to read the routes from the store; `OnRoutesComplete` is called with
  // the result.
  host.RefreshRoutes();
  // Starts to ask other entry instances for their records; `SetPeersAsked` is
  // called with the result.
  host.AskPeers();
  host.RecordDecision(decision);
};

/// Finds the holders of flows that are not in this entry instance's table, and
/// resets flows that no upstream holds any more. Load pattern: a route gets
/// another service and then the entry instances are restarted, so that none
/// knows the service of the flows that were opened before. Before a flow is
/// taken for lost, the sidecars of all services are therefore queried; their
/// upstreams get no packet of it. When the sidecars were restarted too, they
/// may not know either: until it is known which services the address had, such
/// a flow is not taken for lost. Not thread-safe.
template <typename H>
class FlowLocator {
 public:
  /// `host` must outlive the locator.
  explicit FlowLocator(H* host) : host_(host) {}

  /// Starts or continues the search for the holder of a packet's flow. A packet
  /// that would start a search beyond `kMaxSearches` is dropped. While no route
  /// has the flow's address, the search waits until the routes are at least as
  /// new as the packet, and the flow is reset if they still lack the address. A
  /// flow that is known to be lost is not searched for: its packets with
  /// payload or a FIN are answered with a reset, the others are dropped.
  void LocateHolder(const request::ParsedPacket& packet, TimePoint now) {
    if (lost_flows_.contains(packet.flow)) {
      ResetLostFlow(packet);
      return;
    }
    const auto [it, inserted] = searches_.try_emplace(packet.flow, now);
    FlowSearch& search = it->second;
    search.KeepPacket(packet.bytes, searches_.size() > kMaxMultiPacketSearches
                                        ? 1
                                        : kMaxPacketsPerSearch);
    if (inserted && searches_.size() > kMaxSearches) {
      searches_.erase(it);
      return;
    }
    if (!host_->IsRouted(packet.flow.service)) {
      if (inserted) {
        RecordVerdict(EntryVerdict::kRouteUnknown, packet.flow, std::nullopt);
      }
      ContinueSearch(it, now);
      return;
    }
    if (inserted || now - search.last_query_at() >= FlowSearch::kReplyTimeout) {
      QueryCandidates(&search, packet, now);
    }
  }

  /// Ends the search for a flow whose holder is known now.
  /// @param holder the sidecar that replied.
  /// @return the search with the kept packets, which the caller has to forward;
  ///   empty when there is no search for the flow.
  std::optional<FlowSearch> TakeSearch(const request::FlowKey& key,
                                       const request::Endpoint& holder) {
    probe_window_.OnReply(key, holder);
    const auto it = searches_.find(key);
    if (it == searches_.end()) {
      return std::nullopt;
    }
    std::optional<FlowSearch> search(std::move(it->second));
    searches_.erase(it);
    return search;
  }

  /// A new flow has the key: drops what is known of an earlier one.
  void Forget(const request::FlowKey& key) {
    searches_.erase(key);
    lost_flows_.erase(key);
  }

  /// A sidecar replied that its upstream does not hold the flow. When no
  /// sidecar holds it, the search ends, and the flow is reset if it is an open
  /// one.
  void OnNotHeld(const request::Endpoint& from, const request::FlowKey& key,
                 TimePoint now) {
    probe_window_.OnReply(key, from);
    const auto it = searches_.find(key);
    if (it != searches_.end()) {
      it->second.OnNotHeld(from);
      ContinueSearch(it, now);
    }
    SendDueProbes(now);
  }

  /// A sidecar replied that it cannot know whether its upstream holds the flow.
  /// Its upstream is probed unless another sidecar replies that it holds the
  /// flow.
  void OnInconclusive(const request::Endpoint& from,
                      const request::FlowKey& key, FlowSearch::Missed missed,
                      TimePoint now) {
    const auto it = searches_.find(key);
    if (it != searches_.end()) {
      it->second.OnInconclusive(from, missed);
      ContinueSearch(it, now);
    }
  }

  /// One part of the list of a sidecar's flows.
  void OnFlowList(const request::Endpoint& from, const request::FlowList& list,
                  std::span<const std::byte> fingerprints, TimePoint now) {
    if (listing_.running()) {
      listing_.OnReplyPart(from, list,
                           request::DecodeFingerprints(fingerprints));
      FinishRoundIfOver(now);
    }
  }

  /// The sidecar was not known as one of its service before. Its replies so far
  /// say nothing: a sidecar that is queried as one of another service replies
  /// that it does not hold the flow. To be called before `OnRecords`.
  void OnServiceChanged(const request::Endpoint& sidecar) {
    listing_.Forget(sidecar);
    for (auto& [key, search] : searches_) {
      search.Forget(sidecar);
    }
  }

  /// The upstream records changed or were read again.
  /// @param complete_at the records include every change that the store had
  ///   accepted by this time.
  void OnRecords(TimePoint complete_at, TimePoint now) {
    records_complete_at_ = std::max(records_complete_at_, complete_at);
    ContinueSearches(now);
  }

  /// The routes changed or were read again.
  /// @param complete_at they include every version that the store had accepted
  ///   by this time.
  void OnRoutesComplete(TimePoint complete_at, TimePoint now) {
    routes_complete_at_ = std::max(routes_complete_at_, complete_at);
    ContinueSearches(now);
  }

  /// More is known about earlier services of addresses.
  void OnAddressHistory(TimePoint now) { ContinueSearches(now); }

  /// Sets whether the other entry instances have been asked for their records
  /// since this process started, or need not be asked. Until then no flow is
  /// taken for lost. Initially true.
  void SetPeersAsked(bool asked) { peers_asked_ = asked; }

  /// Runs timeouts and sends due queries.
  void OnTick(TimePoint now) {
    FinishRoundIfOver(now);
    SendDueProbes(now);
    if (now >= next_check_at_) {
      next_check_at_ = now + FlowSearch::kReplyTimeout;
      ContinueSearches(now);
    }
    if (list_pending_) {
      RequestLists(now);
    }
    if (refresh_pending_) {
      RequestRecords(now);
    }
    absl::erase_if(lost_flows_, [&](const auto& it) {
      return now - it.second > kLostFlowTtl;
    });
  }

 private:
  using Milliseconds = std::chrono::milliseconds;
  using Searches = std::map<request::FlowKey, FlowSearch>;
  using SidecarList = std::vector<request::Endpoint>;
  using Probing = FlowSearch::Probing;

  // A caller retransmits at most 1.6 s after its last packet, which starts
  // another search.
  static constexpr Milliseconds kSearchTimeout{2000};
  static constexpr size_t kMaxSearches = 4096;
  // At most 8 MB in all, with packets of 1,200 bytes.
  static constexpr size_t kMaxPacketsPerSearch = 8;
  // With more searches, each search keeps only one packet.
  static constexpr size_t kMaxMultiPacketSearches = 512;
  // Up to this many searches send a query for each flow; more use lists of all
  // flows. A list of 300 flows has the size of about 14 queries.
  static constexpr size_t kMaxSearchesByQuery = 8;
  // Minimum time between the starts of two rounds of lists.
  static constexpr Milliseconds kListInterval{100};
  // Minimum time between two reads of the upstream records, or of the routes,
  // while flows wait for newer ones.
  static constexpr Milliseconds kRefreshInterval{250};
  // A small instance takes up to a second to read large routes.
  static constexpr Milliseconds kRoutesReadTimeout{2000};
  // A caller whose flow was reset sends no more packets.
  static constexpr Milliseconds kLostFlowTtl{4000};
  static constexpr size_t kMaxLostFlows = 20000;

  // Queries all sidecars that may hold the flow, or requests lists when there
  // are many searches.
  void QueryCandidates(FlowSearch* search, const request::ParsedPacket& packet,
                       TimePoint now) {
    if (searches_.size() > kMaxSearchesByQuery) {
      RequestLists(now);
      return;
    }
    for (const request::Endpoint& it :
         SidecarsFor(*search, packet.flow.service)) {
      if (!search->RepliedNotHeld(it)) {
        QuerySidecar(search, packet, it, now);
      }
    }
  }

  // The sidecars that the search has to query. None while the address has no
  // route: a flow of a removed route must not be forwarded.
  SidecarList SidecarsFor(const FlowSearch& search,
                          const request::Endpoint& address) const {
    if (!host_->IsRouted(address)) {
      return {};
    }
    return search.widened() ? host_->AllSidecars()
                            : host_->SidecarsForAddress(address);
  }

  FlowSearch::IsPresumedDead DeathCheck(TimePoint now) const {
    return [this, now](const request::Endpoint& sidecar) {
      return host_->IsPresumedDead(sidecar, now);
    };
  }

  static Probing ProbingOf(const request::Endpoint& sidecar,
                           const SidecarList& own) {
    return std::find(own.begin(), own.end(), sidecar) != own.end()
               ? Probing::kAllowed
               : Probing::kForbidden;
  }

  void QuerySidecar(FlowSearch* search, const request::ParsedPacket& packet,
                    const request::Endpoint& sidecar, TimePoint now,
                    Probing probing = Probing::kAllowed) {
    request::HopMessage message;
    message.kind = request::HopKind::kLocate;
    message.flow = packet.flow;
    message.acknowledgment = packet.acknowledgment;
    search->MarkQueried(sidecar, now, probing);
    host_->SendQuery(sidecar, message);
  }

  void RequestLists(TimePoint now) {
    list_pending_ = listing_.running() || now < next_list_at_;
    if (list_pending_) {
      return;
    }
    next_list_at_ = now + kListInterval;
    const SidecarList sidecars = host_->AllSidecars();
    SidecarList awaited;
    for (const request::Endpoint& it : sidecars) {
      if (!host_->IsPresumedDead(it, now)) {
        awaited.push_back(it);
      }
    }
    listing_.StartRound(std::move(awaited), now);
    request::HopMessage message;
    message.kind = request::HopKind::kList;
    message.list.round = listing_.round();
    for (const request::Endpoint& it : sidecars) {
      host_->SendQuery(it, message);
    }
  }

  // Ends a round that is over and applies its lists to the searches that
  // started before it.
  void FinishRoundIfOver(TimePoint now) {
    if (!listing_.running() || !listing_.IsRoundOver(now)) {
      return;
    }
    listing_.EndRound();
    const SidecarList all_sidecars = host_->AllSidecars();
    std::map<request::Endpoint, SidecarList> sidecars_by_address;
    for (auto it = searches_.begin(); it != searches_.end();) {
      const auto current = it++;
      if (current->second.started_at() > listing_.started_at()) {
        list_pending_ = true;
        continue;
      }
      const request::Endpoint& address = current->first.service;
      if (!host_->IsRouted(address)) {
        continue;
      }
      const auto cached = sidecars_by_address.find(address);
      const SidecarList& sidecars =
          cached != sidecars_by_address.end()
              ? cached->second
              : sidecars_by_address
                    .emplace(address, host_->SidecarsForAddress(address))
                    .first->second;
      ApplyListResults(current, sidecars,
                       current->second.widened() ? all_sidecars : sidecars,
                       now);
    }
  }

  // @param own the sidecars of the services of the flow's address.
  // @param queried all sidecars that the search has to query.
  void ApplyListResults(typename Searches::iterator it, const SidecarList& own,
                        const SidecarList& queried, TimePoint now) {
    FlowSearch& search = it->second;
    const auto packet = host_->Parse(search.packets().front());
    if (!packet) {
      return;
    }
    for (const request::Endpoint& sidecar : queried) {
      if (!search.RepliedNotHeld(sidecar) &&
          !search.IsProbeInFlight(sidecar, now)) {
        ApplyListResult(&search, *packet, sidecar, ProbingOf(sidecar, own),
                        now);
      }
    }
    ContinueSearch(it, now);
  }

  // Applies what the sidecar's list in the last round says about the flow.
  void ApplyListResult(FlowSearch* search, const request::ParsedPacket& packet,
                       const request::Endpoint& sidecar, Probing probing,
                       TimePoint now) {
    const uint32_t fingerprint = request::FlowFingerprint(packet.flow);
    switch (listing_.ResultFor(sidecar, fingerprint)) {
      case FlowListing::Result::kNoReply:
        search->MarkQueried(sidecar, listing_.started_at(), probing);
        break;
      case FlowListing::Result::kMayHold:
        QuerySidecar(search, packet, sidecar, now, probing);
        break;
      case FlowListing::Result::kNotHeld:
        search->MarkQueried(sidecar, listing_.started_at(), probing);
        search->OnNotHeld(sidecar);
        break;
      case FlowListing::Result::kInconclusive:
        search->MarkQueried(sidecar, listing_.started_at(), probing);
        search->OnInconclusive(sidecar, FlowSearch::Missed::kAny);
        break;
      case FlowListing::Result::kInconclusiveForFirstFlows:
        search->MarkQueried(sidecar, listing_.started_at(), probing);
        search->OnInconclusive(sidecar, FlowSearch::Missed::kFirstFlows);
        break;
    }
  }

  // Extends the search to the sidecars that it has not queried: the address may
  // have been routed to their services before this process started.
  void Widen(FlowSearch* search, TimePoint now) {
    search->Widen();
    const auto packet = host_->Parse(search->packets().front());
    if (!packet) {
      return;
    }
    const SidecarList own = host_->SidecarsForAddress(packet->flow.service);
    const bool use_lists = searches_.size() > kMaxSearchesByQuery;
    const bool list_is_newer =
        !listing_.running() && listing_.started_at() >= search->started_at();
    for (const request::Endpoint& it : host_->AllSidecars()) {
      if (search->WasQueried(it)) {
        continue;
      }
      const Probing probing = ProbingOf(it, own);
      if (list_is_newer && listing_.HasReply(it)) {
        ApplyListResult(search, *packet, it, probing, now);
      } else if (use_lists) {
        search->MarkQueried(it, now, probing);
        list_pending_ = true;
      } else {
        QuerySidecar(search, *packet, it, now, probing);
      }
    }
  }

  // Takes the next step of a search; `it` is invalid afterwards when that ends
  // the search.
  void ContinueSearch(typename Searches::iterator it, TimePoint now) {
    FlowSearch& search = it->second;
    if (!host_->IsRouted(it->first.service)) {
      ContinueWithoutRoute(it, now);
      return;
    }
    const auto is_dead = DeathCheck(now);
    FlowSearch::Step step = search.NextStep(now, is_dead);
    const bool all_replied =
        step == FlowSearch::Step::kNotHeld || !search.HasQueries();
    if (all_replied && !search.widened()) {
      Widen(&search, now);
      step = search.NextStep(now, is_dead);
    }
    switch (step) {
      case FlowSearch::Step::kWait:
        return;
      case FlowSearch::Step::kProbe:
        probes_due_.Add(it->first);
        SendDueProbes(now);
        return;
      case FlowSearch::Step::kNotHeld:
        OnHeldNowhere(it, now);
        return;
    }
  }

  // Sends probes of the searches that are due for some, in their order, as far
  // as the window allows.
  void SendDueProbes(TimePoint now) {
    for (size_t n = probe_window_.Available(now); n > 0;) {
      const auto flow = probes_due_.Take();
      if (!flow) {
        return;
      }
      const auto it = searches_.find(*flow);
      if (it == searches_.end() || !host_->IsRouted(flow->service) ||
          it->second.NextStep(now, DeathCheck(now)) !=
              FlowSearch::Step::kProbe) {
        continue;
      }
      n -= SendProbes(*flow, &it->second, n, now);
    }
  }

  // Sends the next batch of probes of a search, at most `max_probes`.
  // @return the number of probes.
  size_t SendProbes(const request::FlowKey& flow, FlowSearch* search,
                    size_t max_probes, TimePoint now) {
    const auto select = [&](std::span<const request::Endpoint> inconclusive,
                            size_t batch) {
      auto chosen = NextToProbe(
          flow, inconclusive,
          [this](const request::Endpoint& it) { return host_->IsSameZone(it); },
          batch);
      chosen.resize(std::min(chosen.size(), max_probes));
      return chosen;
    };
    const auto sidecars = search->TakeSidecarsToProbe(now, select);
    for (const request::Endpoint& it : sidecars) {
      probe_window_.OnSent(flow, it, now);
      host_->SendProbe(it, search->packets().front(), now);
    }
    return sidecars.size();
  }

  // Queries the sidecars of new upstreams and repeats queries without a reply,
  // since a datagram may have been lost. Ends searches that exceeded
  // `kSearchTimeout`.
  void ContinueSearches(TimePoint now) {
    const bool use_lists = searches_.size() > kMaxSearchesByQuery;
    bool reply_missing = false;
    for (auto it = searches_.begin(); it != searches_.end();) {
      const auto current = it++;
      FlowSearch& search = current->second;
      if (now - search.started_at() >= kSearchTimeout) {
        RecordVerdict(EntryVerdict::kNotLocated, current->first,
                      search.FirstWithoutReply());
        searches_.erase(current);
        continue;
      }
      QueryNewSidecars(&search, use_lists, now);
      const request::FlowKey key = current->first;
      ContinueSearch(current, now);
      const auto remaining = searches_.find(key);
      if (remaining == searches_.end()) {
        continue;
      }
      if (!use_lists) {
        RepeatQueries(&remaining->second, now);
      } else if (host_->IsRouted(key.service)) {
        reply_missing = reply_missing || remaining->second.AwaitsAnyReply();
      }
    }
    if (use_lists && reply_missing) {
      RequestLists(now);
    }
  }

  // Queries the sidecars of upstreams that became known after the search
  // started, since they may hold the flow. With `use_lists` they are only
  // marked: the next round of lists queries them.
  void QueryNewSidecars(FlowSearch* search, bool use_lists, TimePoint now) {
    const auto packet = host_->Parse(search->packets().front());
    if (!packet) {
      return;
    }
    const SidecarList own = host_->SidecarsForAddress(packet->flow.service);
    if (search->widened()) {
      for (const request::Endpoint& it : own) {
        search->AllowProbing(it);
      }
    }
    for (const request::Endpoint& it :
         SidecarsFor(*search, packet->flow.service)) {
      if (search->WasQueried(it)) {
        continue;
      }
      const Probing probing = ProbingOf(it, own);
      if (use_lists) {
        search->MarkQueried(it, now, probing);
      } else {
        QuerySidecar(search, *packet, it, now, probing);
      }
    }
  }

  void RepeatQueries(FlowSearch* search, TimePoint now) {
    const auto packet = host_->Parse(search->packets().front());
    if (!packet || now - search->last_query_at() < FlowSearch::kReplyTimeout) {
      return;
    }
    for (const request::Endpoint& it :
         SidecarsFor(*search, packet->flow.service)) {
      if (search->AwaitsReply(it)) {
        QuerySidecar(search, *packet, it, now);
      }
    }
  }

  // No known sidecar of the service holds the flow. Another entry instance may
  // have placed it at an upstream whose record has not arrived here yet, so the
  // flow is reset only when the records are at least as new as the search.
  void OnHeldNowhere(typename Searches::iterator it, TimePoint now) {
    const auto bytes = FirstPacketToReset(it->second);
    if (bytes.empty()) {
      // A packet that only acknowledges may belong to a flow that has ended, so
      // there is nothing to reset.
      RecordVerdict(EntryVerdict::kNotLocated, it->first, std::nullopt);
      searches_.erase(it);
      return;
    }
    if (records_complete_at_ < it->second.started_at()) {
      RequestRecords(now);
      return;
    }
    if (!peers_asked_) {
      host_->AskPeers();
      return;
    }
    if (!host_->KnowsEarlierServices(now) &&
        it->second.HasUncertainReply(DeathCheck(now))) {
      // The search ends after `kSearchTimeout`; the caller's next packet starts
      // another one.
      return;
    }
    AddLostFlow(it->first, now);
    searches_.erase(it);
    if (const auto packet = host_->Parse(bytes)) {
      ResetLostFlow(*packet);
    }
  }

  // Resets the flow when its address has no route in routes that are at least
  // as new as the flow's packet; until then a newer version may have the route.
  void ContinueWithoutRoute(typename Searches::iterator it, TimePoint now) {
    if (routes_complete_at_ < it->second.started_at()) {
      RequestRoutes(now);
      return;
    }
    const auto packet = host_->Parse(it->second.packets().front());
    AddLostFlow(it->first, now);
    searches_.erase(it);
    if (packet) {
      host_->Reset(*packet);
      RecordVerdict(EntryVerdict::kNoRoute, packet->flow, std::nullopt);
    }
  }

  // Packets of the flow are reset without another search for a while.
  void AddLostFlow(const request::FlowKey& flow, TimePoint now) {
    if (lost_flows_.size() < kMaxLostFlows) {
      lost_flows_[flow] = now;
    }
  }

  // Whether the caller of a lost flow retransmits the packet until it gets a
  // response. Load pattern: after a power failure all callers close their idle
  // flows; each end is retransmitted for up to 12 s and would start a search
  // every time.
  static bool IsRetransmitted(const request::ParsedPacket& packet) {
    return packet.payload_size > 0 || packet.fin;
  }

  // Empty when the search has no such packet.
  std::vector<std::byte> FirstPacketToReset(const FlowSearch& search) {
    for (const std::vector<std::byte>& bytes : search.packets()) {
      const auto packet = host_->Parse(bytes);
      if (packet && IsRetransmitted(*packet)) {
        return bytes;
      }
    }
    return {};
  }

  void ResetLostFlow(const request::ParsedPacket& packet) {
    if (!IsRetransmitted(packet)) {
      return;
    }
    host_->Reset(packet);
    RecordVerdict(EntryVerdict::kFlowLost, packet.flow, std::nullopt);
  }

  void RequestRecords(TimePoint now) {
    refresh_pending_ = now < next_refresh_at_;
    if (!refresh_pending_) {
      next_refresh_at_ = now + kRefreshInterval;
      host_->RefreshRecords();
    }
  }

  // Called again by `ContinueSearches` while a search needs newer routes.
  void RequestRoutes(TimePoint now) {
    const bool reading = routes_complete_at_ < routes_requested_at_;
    if (now - routes_requested_at_ >=
        (reading ? kRoutesReadTimeout : kRefreshInterval)) {
      routes_requested_at_ = now;
      host_->RefreshRoutes();
    }
  }

  // Passes on a decision for logs and counters.
  // @param sidecar a sidecar whose reply is missing, if any.
  void RecordVerdict(EntryVerdict verdict, const request::FlowKey& flow,
                     const std::optional<request::Endpoint>& sidecar) {
    EntryDecision decision;
    decision.verdict = verdict;
    decision.flow = flow;
    decision.sidecar = sidecar;
    host_->RecordDecision(decision);
  }

  H* host_;
  Searches searches_;
  ProbeWindow probe_window_;
  /// Flows with sidecars to probe.
  FlowQueue probes_due_;
  FlowListing listing_;
  bool list_pending_ = false;
  TimePoint next_list_at_;
  /// Flows that were reset since no upstream holds them, with the time of the
  /// reset.
  absl::flat_hash_map<request::FlowKey, TimePoint, request::FlowKeyHash>
      lost_flows_;
  /// The records include every change that the store had accepted by this time.
  TimePoint records_complete_at_;
  bool peers_asked_ = true;
  bool refresh_pending_ = false;
  TimePoint next_refresh_at_;
  /// The routes include every version that the store had accepted by this time.
  TimePoint routes_complete_at_;
  TimePoint routes_requested_at_;
  TimePoint next_check_at_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_FLOW_LOCATOR_H_
