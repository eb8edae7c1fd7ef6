#include "kumquatvalve/connection/load_view.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kumquatvalve::connection {
namespace {

/// Preference for a peer of the own zone, as a share of slots. Larger than the
/// differences that come from the age of equal reports, smaller than one slot
/// of an upstream with up to 16 slots.
constexpr double kSameZoneBonus = 0.05;

/// Pseudo-random value in [0, 0.01) that decides between equal peers.
double TieBreak(uint64_t seed, request::InstanceId instance) {
  uint64_t x = seed ^ (instance.value * 0x9e3779b97f4a7c15ULL);
  x ^= x >> 31;
  x *= 0xbf58476d1ce4e5b9ULL;
  x ^= x >> 29;
  return static_cast<double>(x >> 11) / static_cast<double>(1ULL << 53) * 0.01;
}

bool HasFreeSlots(const LoadReport& report) {
  return report.busy < report.limit;
}

}  // namespace

LoadView::LoadView(request::InstanceId self, const Settings& settings)
    : self_(self), settings_(settings), tokens_(settings.burst_reports) {}

void LoadView::OnTable(const version::ForwardingTable& table) {
  const version::UpstreamEntry* const self = table.Find(self_);
  std::vector<const version::UpstreamEntry*> sorted;
  for (const version::UpstreamEntry& it : table.upstreams) {
    sorted.push_back(&it);
  }
  std::sort(sorted.begin(), sorted.end(), [](const auto* a, const auto* b) {
    return a->instance < b->instance;
  });
  std::vector<Peer> peers;
  const auto add = [&](const version::UpstreamEntry& entry) {
    const auto has_instance = [&](const Peer& it) {
      return it.instance == entry.instance;
    };
    if (entry.instance == self_ ||
        std::any_of(peers.begin(), peers.end(), has_instance)) {
      return;
    }
    Peer peer;
    if (Peer* const existing = Find(entry.instance)) {
      peer = std::move(*existing);
    }
    peer.instance = entry.instance;
    peer.same_zone = self != nullptr && self->zone == entry.zone;
    peers.push_back(std::move(peer));
  };
  const auto own =
      std::lower_bound(sorted.begin(), sorted.end(), self_,
                       [](const auto* entry, request::InstanceId id) {
                         return entry->instance < id;
                       });
  const size_t position = static_cast<size_t>(own - sorted.begin());
  for (size_t i = 1; i <= kMaxPeers / 2 && i < sorted.size(); ++i) {
    add(*sorted[(position + i) % sorted.size()]);
    add(*sorted[(position + sorted.size() - i) % sorted.size()]);
  }
  peers_ = std::move(peers);
}

void LoadView::OnReport(request::InstanceId from, const LoadReport& report,
                        TimePoint now) {
  Peer* const peer = Find(from);
  if (peer == nullptr) {
    return;
  }
  peer->report = report;
  peer->reported_at = now;
  if (peer->last_sent && HasFreeSlots(report)) {
    // The peer replied to the request for slots and will not do so again.
    peer->last_sent->waiting -=
        std::min(peer->last_sent->waiting, report.limit - report.busy);
  }
  while (!peer->passed_at.empty() &&
         peer->passed_at.front() + settings_.report_lag < now) {
    peer->passed_at.pop_front();
  }
}

void LoadView::OnPeerRemoved(request::InstanceId peer) {
  if (Peer* const found = Find(peer)) {
    found->report.reset();
    found->passed_at.clear();
    found->last_sent.reset();
  }
}

void LoadView::OnPassedOn(request::InstanceId peer, TimePoint now) {
  if (Peer* const found = Find(peer)) {
    found->passed_at.push_back(now);
  }
}

double LoadView::FreeSlots(request::InstanceId peer, TimePoint now) const {
  const Peer* const found = Find(peer);
  return found == nullptr ? 0 : EstimateFreeSlots(*found, now);
}

std::optional<request::InstanceId> LoadView::BestPeer(double min_free,
                                                      uint64_t seed,
                                                      TimePoint now) const {
  std::optional<request::InstanceId> best;
  double best_score = 0;
  for (const Peer& it : peers_) {
    const double free = EstimateFreeSlots(it, now);
    if (free < min_free || free <= 0) {
      continue;
    }
    const double score = free / it.report->limit +
                         (it.same_zone ? kSameZoneBonus : 0) +
                         TieBreak(seed, it.instance);
    if (!best || score > best_score) {
      best = it.instance;
      best_score = score;
    }
  }
  return best;
}

std::optional<double> LoadView::MeanUtilization(TimePoint now) const {
  double busy = 0;
  double limit = 0;
  for (const Peer& it : peers_) {
    if (it.report && it.report->limit > 0 &&
        now - it.reported_at <= 2 * settings_.max_interval) {
      busy += it.report->busy;
      limit += it.report->limit;
    }
  }
  if (limit == 0) {
    return std::nullopt;
  }
  return busy / limit;
}

std::vector<AddressedReport> LoadView::MakeReports(const LoadReport& own,
                                                   TimePoint now) {
  const double elapsed_s =
      std::chrono::duration<double>(now - refilled_at_).count();
  tokens_ = std::min(settings_.burst_reports,
                     tokens_ + std::max(0.0, elapsed_s) *
                                   settings_.bytes_per_second / kReportBytes);
  refilled_at_ = now;
  std::vector<AddressedReport> reports;
  // A free slot is reported at once to only one peer: if all waiting peers
  // learned of it together, all but one of the flows that they pass on would
  // find no free slot.
  const Peer* most_waiting = nullptr;
  for (const Peer& it : peers_) {
    if (it.report && it.report->waiting > 0 &&
        now - it.reported_at <= settings_.slot_request_ttl &&
        (most_waiting == nullptr ||
         it.report->waiting > most_waiting->report->waiting)) {
      most_waiting = &it;
    }
  }
  // Starts with the next peer each time, so that a spent budget does not always
  // omit the same peers.
  first_recipient_ =
      peers_.empty() ? 0 : (first_recipient_ + 1) % peers_.size();
  for (size_t i = 0; i < peers_.size() && tokens_ >= 1; ++i) {
    Peer& it = peers_[(first_recipient_ + i) % peers_.size()];
    if (IsDue(it, own, &it == most_waiting, now)) {
      it.last_sent = own;
      it.last_sent_at = now;
      if (it.report && HasFreeSlots(own)) {
        // The peer does the same with its count in `OnReport`.
        it.report->waiting -=
            std::min(it.report->waiting, own.limit - own.busy);
      }
      tokens_ -= 1;
      sent_bytes_ += kReportBytes;
      reports.push_back({it.instance, own});
    }
  }
  return reports;
}

LoadView::Peer* LoadView::Find(request::InstanceId instance) {
  return const_cast<Peer*>(std::as_const(*this).Find(instance));
}

const LoadView::Peer* LoadView::Find(request::InstanceId instance) const {
  const auto it =
      std::find_if(peers_.begin(), peers_.end(),
                   [&](const Peer& peer) { return peer.instance == instance; });
  return it == peers_.end() ? nullptr : &*it;
}

double LoadView::EstimateFreeSlots(const Peer& peer, TimePoint now) const {
  if (!peer.report) {
    return 0;
  }
  const double free = static_cast<double>(peer.report->limit) -
                      static_cast<double>(peer.report->busy) -
                      static_cast<double>(peer.passed_at.size());
  if (free <= 0 || peer.report->waiting > 0) {
    return 0;
  }
  const double half_lives =
      std::chrono::duration<double>(now - peer.reported_at) /
      std::chrono::duration<double>(settings_.half_life);
  return free * std::exp2(-half_lives);
}

bool LoadView::IsDue(const Peer& peer, const LoadReport& own, bool most_waiting,
                     TimePoint now) const {
  if (!peer.last_sent) {
    return true;
  }
  const bool changed = peer.last_sent->busy != own.busy ||
                       peer.last_sent->limit != own.limit ||
                       peer.last_sent->waiting != own.waiting;
  const Duration age = now - peer.last_sent_at;
  if (age >= settings_.max_interval) {
    return true;
  }
  // Offers of a slot to a waiting peer are sent as long as any token is left,
  // and so are requests for a slot below.
  if (most_waiting && HasFreeSlots(own) && own.waiting == 0) {
    return true;
  }
  if (!changed) {
    return false;
  }
  if (own.waiting > 0 && peer.last_sent->waiting == 0) {
    return true;
  }
  return tokens_ > settings_.burst_reports / 2 &&
         age >= settings_.min_interval &&
         (HasFreeSlots(own) != HasFreeSlots(*peer.last_sent) ||
          (own.waiting > 0) != (peer.last_sent->waiting > 0));
}

}  // namespace kumquatvalve::connection
