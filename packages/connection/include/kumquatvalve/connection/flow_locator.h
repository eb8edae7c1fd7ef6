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
#include "kumquatvalve/connection/flow_search.h"
#include "kumquatvalve/request/flow_key.h"
#include "kumquatvalve/request/hop_message.h"
#include "kumquatvalve/request/packet.h"

namespace kumquatvalve::connection {

/// What a locator needs of the entry instance.
template <typename H>
concept LocatorHost = requires(H host, const request::Endpoint& endpoint,
                               const request::HopMessage& message,
                               const request::ParsedPacket& packet,
                               std::span<const std::byte> bytes,
                               const EntryDecision& decision, TimePoint now) {
  // Sidecars that may hold flows to an address.
  { host.SidecarsOf(endpoint) } -> std::same_as<std::vector<request::Endpoint>>;
  // All sidecars.
  { host.Sidecars() } -> std::same_as<std::vector<request::Endpoint>>;
  { host.IsGone(endpoint, now) } -> std::same_as<bool>;
  // Sends a message without packet to a sidecar.
  host.Ask(endpoint, message);
  // Asks an upstream about a flow by a packet of it.
  host.Probe(endpoint, bytes, now);
  host.Reset(packet);
  { host.Parse(bytes) } -> std::same_as<std::optional<request::ParsedPacket>>;
  // Reads the upstream records from the store; `OnRecords` follows.
  host.RefreshRecords();
  host.Decided(decision);
};

/// Finds the holders of flows that this entry instance did not place, and tells
/// callers whose flows no upstream holds any more. Calls come from one thread.
template <typename H>
class FlowLocator {
 public:
  /// `host` must outlive the locator.
  explicit FlowLocator(H* host) : host_(host) {}

  /// A packet of a flow whose holder is not known.
  void Find(const request::ParsedPacket& packet, TimePoint now) {
    if (lost_.contains(packet.flow)) {
      ResetLost(packet);
      return;
    }
    const auto [it, inserted] = searches_.try_emplace(packet.flow, now);
    FlowSearch& search = it->second;
    search.Keep(packet.bytes,
                searches_.size() > kManySearches ? 1 : kMostKeptPackets);
    if (inserted && searches_.size() > kMaxSearches) {
      searches_.erase(it);
      return;
    }
    if (inserted || now - search.asked_at() >= FlowSearch::kAnswerTime) {
      AskAll(&search, packet, now);
    }
  }

  /// The holder is known: ends the search and returns it with its packets.
  std::optional<FlowSearch> Take(const request::FlowKey& key) {
    const auto it = searches_.find(key);
    if (it == searches_.end()) {
      return std::nullopt;
    }
    std::optional<FlowSearch> search(std::move(it->second));
    searches_.erase(it);
    return search;
  }

  void OnNotHeld(const request::Endpoint& from, const request::FlowKey& key,
                 TimePoint now) {
    const auto it = searches_.find(key);
    if (it != searches_.end()) {
      it->second.OnDenied(from);
      Continue(it, now);
    }
  }

  void OnUnsure(const request::Endpoint& from, const request::FlowKey& key,
                TimePoint now) {
    const auto it = searches_.find(key);
    if (it != searches_.end()) {
      it->second.OnUnsure(from);
      Continue(it, now);
    }
  }

  /// A part of the list of a sidecar's flows.
  void OnFlows(const request::Endpoint& from, const request::FlowList& list,
               std::span<const std::byte> fingerprints, TimePoint now) {
    if (listing_.running()) {
      listing_.OnPart(from, list, request::DecodeFingerprints(fingerprints));
      EndFinishedRound(now);
    }
  }

  /// The upstream records changed or were read again.
  /// @param complete_at they hold every change that the store had taken then.
  void OnRecords(TimePoint complete_at, TimePoint now) {
    records_complete_at_ = std::max(records_complete_at_, complete_at);
    ContinueAll(now);
  }

  void OnTick(TimePoint now) {
    EndFinishedRound(now);
    if (now >= next_check_) {
      next_check_ = now + FlowSearch::kAnswerTime;
      ContinueAll(now);
    }
    if (list_wanted_) {
      WantList(now);
    }
    if (records_wanted_) {
      WantRecords(now);
    }
    absl::erase_if(lost_,
                   [&](const auto& it) { return now - it.second > kLostLife; });
  }

 private:
  using Milliseconds = std::chrono::milliseconds;
  using Searches = std::map<request::FlowKey, FlowSearch>;
  using Sidecars = std::vector<request::Endpoint>;

  // A caller sends again at most 1.6 s after the last packet and starts another
  // search.
  static constexpr Milliseconds kSearchLife{2000};
  static constexpr size_t kMaxSearches = 4096;
  // Packets kept for a search: 8 MB at most, in packets of 1,200 bytes.
  static constexpr size_t kMostKeptPackets = 8;
  static constexpr size_t kManySearches = 512;
  // Up to so many flows are asked for one by one. A list of 300 flows has the
  // size of about 14 questions.
  static constexpr size_t kFewSearches = 8;
  // Pause between the begins of two rounds of lists.
  static constexpr Milliseconds kListPause{100};
  // Upstream records are read again at most this often while lost flows wait
  // for that.
  static constexpr Milliseconds kRecordsPause{250};
  // A caller that was told of the loss of its flow sends nothing more.
  static constexpr Milliseconds kLostLife{4000};
  static constexpr size_t kMostLost = 20000;

  // Asks all sidecars that may hold the flow, or waits for their lists.
  void AskAll(FlowSearch* search, const request::ParsedPacket& packet,
              TimePoint now) {
    if (searches_.size() > kFewSearches) {
      WantList(now);
      return;
    }
    for (const request::Endpoint& it : host_->SidecarsOf(packet.flow.service)) {
      if (!search->Denied(it)) {
        AskOne(search, packet, it, now);
      }
    }
  }

  void AskOne(FlowSearch* search, const request::ParsedPacket& packet,
              const request::Endpoint& sidecar, TimePoint now) {
    request::HopMessage message;
    message.kind = request::HopKind::kLocate;
    message.flow = packet.flow;
    message.acknowledgment = packet.acknowledgment;
    search->Ask(sidecar, now);
    host_->Ask(sidecar, message);
  }

  void WantList(TimePoint now) {
    list_wanted_ = listing_.running() || now < next_list_;
    if (list_wanted_) {
      return;
    }
    next_list_ = now + kListPause;
    const Sidecars sidecars = host_->Sidecars();
    Sidecars awaited;
    for (const request::Endpoint& it : sidecars) {
      if (!host_->IsGone(it, now)) {
        awaited.push_back(it);
      }
    }
    listing_.Start(std::move(awaited), now);
    request::HopMessage message;
    message.kind = request::HopKind::kList;
    message.list.round = listing_.round();
    for (const request::Endpoint& it : sidecars) {
      host_->Ask(it, message);
    }
  }

  // Applies the lists to the searches that began before the round.
  void EndFinishedRound(TimePoint now) {
    if (!listing_.running() || !listing_.Finished(now)) {
      return;
    }
    listing_.End();
    std::map<request::Endpoint, Sidecars> sidecars_by_address;
    for (auto it = searches_.begin(); it != searches_.end();) {
      const auto current = it++;
      if (current->second.since() > listing_.started()) {
        list_wanted_ = true;
        continue;
      }
      const request::Endpoint& address = current->first.service;
      const auto known = sidecars_by_address.find(address);
      const Sidecars& sidecars =
          known != sidecars_by_address.end()
              ? known->second
              : sidecars_by_address.emplace(address, host_->SidecarsOf(address))
                    .first->second;
      ApplyList(current, sidecars, now);
    }
  }

  void ApplyList(typename Searches::iterator it, const Sidecars& sidecars,
                 TimePoint now) {
    FlowSearch& search = it->second;
    const auto packet = host_->Parse(search.packets().front());
    if (!packet) {
      return;
    }
    const uint32_t fingerprint = request::FlowFingerprint(it->first);
    for (const request::Endpoint& sidecar : sidecars) {
      if (search.Denied(sidecar)) {
        continue;
      }
      switch (listing_.WordOf(sidecar, fingerprint)) {
        case FlowListing::Word::kSilent:
          search.Ask(sidecar, listing_.started());
          break;
        case FlowListing::Word::kMayHold:
          AskOne(&search, *packet, sidecar, now);
          break;
        case FlowListing::Word::kDenies:
          search.Ask(sidecar, now);
          search.OnDenied(sidecar);
          break;
        case FlowListing::Word::kUnsure:
          search.Ask(sidecar, now);
          search.OnUnsure(sidecar);
          break;
      }
    }
    Continue(it, now);
  }

  // Takes the next step of a search, which may end it.
  void Continue(typename Searches::iterator it, TimePoint now) {
    FlowSearch& search = it->second;
    const auto gone = [this, now](const request::Endpoint& sidecar) {
      return host_->IsGone(sidecar, now);
    };
    switch (search.Next(now, gone)) {
      case FlowSearch::Step::kWait:
        return;
      case FlowSearch::Step::kProbe:
        for (const request::Endpoint& sidecar : search.TakeUnsure()) {
          host_->Probe(sidecar, search.packets().front(), now);
        }
        return;
      case FlowSearch::Step::kDenied:
        OnDeniedByAll(it, now);
        return;
    }
  }

  // Searches go on with upstreams that have become known and with sidecars that
  // have not answered, since a datagram may have been lost; those that found
  // nothing end.
  void ContinueAll(TimePoint now) {
    const bool many = searches_.size() > kFewSearches;
    for (auto it = searches_.begin(); it != searches_.end();) {
      const auto current = it++;
      FlowSearch& search = current->second;
      if (now - search.since() >= kSearchLife) {
        Report(EntryVerdict::kNotLocated, current->first, search.FirstSilent());
        searches_.erase(current);
        continue;
      }
      AskNewcomers(&search, many, now);
      const request::FlowKey key = current->first;
      Continue(current, now);
      const auto same = searches_.find(key);
      if (!many && same != searches_.end()) {
        AskAgain(&same->second, now);
      }
    }
    if (many) {
      WantList(now);
    }
  }

  // Upstreams that became known after the search began may hold the flow.
  void AskNewcomers(FlowSearch* search, bool many, TimePoint now) {
    const auto packet = host_->Parse(search->packets().front());
    if (!packet) {
      return;
    }
    for (const request::Endpoint& it :
         host_->SidecarsOf(packet->flow.service)) {
      if (search->Asked(it)) {
        continue;
      }
      if (many) {
        // The next list has its answer.
        search->Ask(it, now);
      } else {
        AskOne(search, *packet, it, now);
      }
    }
  }

  void AskAgain(FlowSearch* search, TimePoint now) {
    const auto packet = host_->Parse(search->packets().front());
    if (!packet || now - search->asked_at() < FlowSearch::kAnswerTime) {
      return;
    }
    for (const request::Endpoint& it :
         host_->SidecarsOf(packet->flow.service)) {
      if (search->Silent(it)) {
        AskOne(search, *packet, it, now);
      }
    }
  }

  // No sidecar of the service holds the flow. Another entry instance may have
  // placed it at an upstream whose record has not come here yet, so the caller
  // is told only when the records are at least as new as the search.
  void OnDeniedByAll(typename Searches::iterator it, TimePoint now) {
    const auto bytes = PacketWithPayload(it->second);
    if (bytes.empty()) {
      // Packets without payload may belong to a flow that has ended.
      Report(EntryVerdict::kNotLocated, it->first, std::nullopt);
      searches_.erase(it);
      return;
    }
    if (records_complete_at_ < it->second.since()) {
      WantRecords(now);
      return;
    }
    if (lost_.size() < kMostLost) {
      lost_[it->first] = now;
    }
    searches_.erase(it);
    if (const auto packet = host_->Parse(bytes)) {
      ResetLost(*packet);
    }
  }

  // Empty when the search keeps no packet with payload.
  std::vector<std::byte> PacketWithPayload(const FlowSearch& search) {
    for (const std::vector<std::byte>& bytes : search.packets()) {
      const auto packet = host_->Parse(bytes);
      if (packet && packet->payload_size > 0) {
        return bytes;
      }
    }
    return {};
  }

  void ResetLost(const request::ParsedPacket& packet) {
    if (packet.payload_size == 0) {
      return;
    }
    host_->Reset(packet);
    Report(EntryVerdict::kFlowLost, packet.flow, std::nullopt);
  }

  void WantRecords(TimePoint now) {
    records_wanted_ = now < next_records_;
    if (!records_wanted_) {
      next_records_ = now + kRecordsPause;
      host_->RefreshRecords();
    }
  }

  // @param sidecar one that has not answered.
  void Report(EntryVerdict verdict, const request::FlowKey& flow,
              const std::optional<request::Endpoint>& sidecar) {
    EntryDecision decision;
    decision.verdict = verdict;
    decision.flow = flow;
    decision.sidecar = sidecar;
    host_->Decided(decision);
  }

  H* host_;
  Searches searches_;
  FlowListing listing_;
  bool list_wanted_ = false;
  TimePoint next_list_;
  /// Flows whose callers were told that no upstream holds them, and when.
  absl::flat_hash_map<request::FlowKey, TimePoint, request::FlowKeyHash> lost_;
  /// The records hold every change that the store had taken at this time.
  TimePoint records_complete_at_;
  bool records_wanted_ = false;
  TimePoint next_records_;
  TimePoint next_check_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_FLOW_LOCATOR_H_
