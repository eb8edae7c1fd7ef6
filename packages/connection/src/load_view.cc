#include "kumquatvalve/connection/load_view.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kumquatvalve::connection {
namespace {

/// Larger than the differences that come from the age of equal reports, smaller
/// than one slot of an upstream with up to 16 slots.
constexpr double kNearBonus = 0.05;

/// Spreads the choice among equal peers over [0, 0.01).
double TieBreak(uint64_t seed, request::InstanceId instance) {
  uint64_t x = seed ^ (instance.value * 0x9e3779b97f4a7c15ULL);
  x ^= x >> 31;
  x *= 0xbf58476d1ce4e5b9ULL;
  x ^= x >> 29;
  return static_cast<double>(x >> 11) / static_cast<double>(1ULL << 53) * 0.01;
}

bool HasRoom(const LoadReport& report) { return report.busy < report.limit; }

}  // namespace

LoadView::LoadView(request::InstanceId self, const Settings& settings)
    : self_(self), settings_(settings), tokens_(settings.burst_reports) {}

void LoadView::OnTable(const version::ForwardingTable& table) {
  const version::UpstreamEntry* const self = table.Find(self_);
  std::vector<const version::UpstreamEntry*> ring;
  for (const version::UpstreamEntry& it : table.upstreams) {
    ring.push_back(&it);
  }
  std::sort(ring.begin(), ring.end(), [](const auto* a, const auto* b) {
    return a->instance < b->instance;
  });
  std::vector<Peer> peers;
  const auto add = [&](const version::UpstreamEntry& entry) {
    const auto same = [&](const Peer& it) {
      return it.instance == entry.instance;
    };
    if (entry.instance == self_ ||
        std::any_of(peers.begin(), peers.end(), same)) {
      return;
    }
    Peer peer;
    if (Peer* const known = Find(entry.instance)) {
      peer = std::move(*known);
    }
    peer.instance = entry.instance;
    peer.near = self != nullptr && self->zone == entry.zone;
    peers.push_back(std::move(peer));
  };
  const auto own =
      std::lower_bound(ring.begin(), ring.end(), self_,
                       [](const auto* entry, request::InstanceId id) {
                         return entry->instance < id;
                       });
  const size_t position = static_cast<size_t>(own - ring.begin());
  for (size_t i = 1; i <= kMaxPeers / 2 && i < ring.size(); ++i) {
    add(*ring[(position + i) % ring.size()]);
    add(*ring[(position + ring.size() - i) % ring.size()]);
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
  if (peer->told && HasRoom(report)) {
    // The peer answered the call for a slot and will not do so again.
    peer->told->waiting -=
        std::min(peer->told->waiting, report.limit - report.busy);
  }
  while (!peer->passed.empty() &&
         peer->passed.front() + settings_.settle < now) {
    peer->passed.pop_front();
  }
}

void LoadView::OnPeerRemoved(request::InstanceId peer) {
  if (Peer* const found = Find(peer)) {
    found->report.reset();
    found->passed.clear();
    found->told.reset();
  }
}

void LoadView::OnPassed(request::InstanceId peer, TimePoint now) {
  if (Peer* const found = Find(peer)) {
    found->passed.push_back(now);
  }
}

double LoadView::FreeSlots(request::InstanceId peer, TimePoint now) const {
  const Peer* const found = Find(peer);
  return found == nullptr ? 0 : FreeSlotsOf(*found, now);
}

std::optional<request::InstanceId> LoadView::BestPeer(double at_least,
                                                      uint64_t seed,
                                                      TimePoint now) const {
  std::optional<request::InstanceId> best;
  double best_score = 0;
  for (const Peer& it : peers_) {
    const double free = FreeSlotsOf(it, now);
    if (free < at_least || free <= 0) {
      continue;
    }
    const double score = free / it.report->limit + (it.near ? kNearBonus : 0) +
                         TieBreak(seed, it.instance);
    if (!best || score > best_score) {
      best = it.instance;
      best_score = score;
    }
  }
  return best;
}

std::optional<double> LoadView::MeanUse(TimePoint now) const {
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
  // A free slot is told at once to one peer only: if all waiting peers learned
  // of it together, all but one of their flows would be passed in vain.
  const Peer* most_waiting = nullptr;
  for (const Peer& it : peers_) {
    if (it.report && it.report->waiting > 0 &&
        now - it.reported_at <= settings_.call_lifetime &&
        (most_waiting == nullptr ||
         it.report->waiting > most_waiting->report->waiting)) {
      most_waiting = &it;
    }
  }
  // Starts with another peer each time, so that a spent budget does not always
  // leave out the same ones.
  first_told_ = peers_.empty() ? 0 : (first_told_ + 1) % peers_.size();
  for (size_t i = 0; i < peers_.size() && tokens_ >= 1; ++i) {
    Peer& it = peers_[(first_told_ + i) % peers_.size()];
    if (IsDue(it, own, &it == most_waiting, now)) {
      it.told = own;
      it.told_at = now;
      if (it.report && HasRoom(own)) {
        // The other half of the agreement in `OnReport`.
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

double LoadView::FreeSlotsOf(const Peer& peer, TimePoint now) const {
  if (!peer.report) {
    return 0;
  }
  const double free = static_cast<double>(peer.report->limit) -
                      static_cast<double>(peer.report->busy) -
                      static_cast<double>(peer.passed.size());
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
  if (!peer.told) {
    return true;
  }
  const bool changed = peer.told->busy != own.busy ||
                       peer.told->limit != own.limit ||
                       peer.told->waiting != own.waiting;
  const Duration age = now - peer.told_at;
  if (age >= settings_.max_interval) {
    return true;
  }
  // A slot for a flow that waits, and a call for one, are worth any token.
  if (most_waiting && HasRoom(own) && own.waiting == 0) {
    return true;
  }
  if (!changed) {
    return false;
  }
  if (own.waiting > 0 && peer.told->waiting == 0) {
    return true;
  }
  return tokens_ > settings_.burst_reports / 2 &&
         age >= settings_.min_interval &&
         (HasRoom(own) != HasRoom(*peer.told) ||
          (own.waiting > 0) != (peer.told->waiting > 0));
}

}  // namespace kumquatvalve::connection
