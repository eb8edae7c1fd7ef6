#include "kumquatvalve/connection/waiting_flows.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "kumquatvalve/connection/waiting_eviction.h"

namespace kumquatvalve::connection {
namespace {

// Position in the order of service; flows with equal ranks are served in the
// order of arrival.
auto RankOf(const WaitingFlow& flow, TimePoint now) {
  return std::tuple(flow.Class(), flow.retry, !flow.IsOnTime(now));
}

// Number of turns before that of a flow.
// @param higher flows of more urgent classes.
// @param same flows of the same class ahead of it.
// @param lower flows of less urgent classes.
size_t TurnsBefore(size_t higher, size_t same, size_t lower) {
  if (higher == 0) {
    return same + std::min(lower, same / (kOtherClassInterval - 1));
  }
  return std::min(higher + same, kOtherClassInterval * (same + 1) - 1);
}

// Flows ahead of another one, by class.
struct ClassCounts {
  size_t higher = 0;
  size_t same = 0;
  size_t lower = 0;
};

}  // namespace

bool WaitingFlows::Push(WaitingFlow flow) {
  if (flows_.size() >= kMaxWaiting) {
    return false;
  }
  flows_.push_back(std::move(flow));
  return true;
}

WaitingFlows::Addition WaitingFlows::Add(WaitingFlow flow,
                                         const OfferState& state,
                                         std::chrono::milliseconds wait_limit,
                                         TimePoint now) {
  Addition result;
  if (!flow.priority && !HasPriorities()) {
    result.added = Push(std::move(flow));
    return result;
  }
  LimitOnTime(&flow, state, now);
  const size_t room = std::min(kMaxWaiting, QueueRoom(state, wait_limit));
  if (flows_.size() >= room) {
    const auto evicted =
        ChooseLeastWorth(flows_, flow, room, EvictionScope::kAll, now);
    if (!evicted) {
      return result;
    }
    const auto it = flows_.begin() + static_cast<std::ptrdiff_t>(*evicted);
    WaitingFlow removed = std::move(*it);
    flows_.erase(it);
    // More flows than one may exceed the room after the service time has grown.
    OfferState after = state;
    after.waiting = CountAhead(flow, now);
    if (state.slots != 0 && ExpectedOpeningWait(after) > wait_limit) {
      flows_.insert(flows_.begin() + static_cast<std::ptrdiff_t>(*evicted),
                    std::move(removed));
      return result;
    }
    result.evicted = std::move(removed);
  }
  flows_.push_back(std::move(flow));
  result.added = true;
  return result;
}

void WaitingFlows::LimitOnTime(WaitingFlow* newcomer, const OfferState& state,
                               TimePoint now) {
  if (!newcomer->IsOnTime(now)) {
    return;
  }
  size_t on_time = 0;
  TimePoint latest = newcomer->on_time_until;
  for (const WaitingFlow& it : flows_) {
    on_time += it.IsOnTime(now) ? 1 : 0;
    latest = std::max(latest, it.on_time_until);
  }
  const size_t room = QueueRoom(
      state,
      std::chrono::duration_cast<std::chrono::milliseconds>(latest - now));
  if (on_time >= room) {
    const auto late =
        ChooseLeastWorth(flows_, *newcomer, room, EvictionScope::kOnTime, now);
    (late ? flows_[*late] : *newcomer).on_time_until = now;
  }
}

bool WaitingFlows::Contains(const request::FlowKey& flow) const {
  return std::any_of(flows_.begin(), flows_.end(),
                     [&](const WaitingFlow& it) { return it.flow == flow; });
}

std::optional<WaitingFlow> WaitingFlows::Pop(TimePoint now) {
  // The best flow, the oldest one of another class, and the best one of that
  // class.
  auto best = flows_.end();
  for (auto it = flows_.begin(); it != flows_.end(); ++it) {
    if (now < it->deadline &&
        (best == flows_.end() || RankOf(*it, now) < RankOf(*best, now))) {
      best = it;
    }
  }
  if (best == flows_.end()) {
    return std::nullopt;
  }
  auto other = flows_.end();
  for (auto it = flows_.begin(); it != flows_.end(); ++it) {
    if (now >= it->deadline || it->Class() == best->Class()) {
      continue;
    }
    if (other == flows_.end() || (it->Class() == other->Class() &&
                                  RankOf(*it, now) < RankOf(*other, now))) {
      other = it;
    }
  }
  if (other != flows_.end() && ++turns_of_most_urgent_ >= kOtherClassInterval) {
    turns_of_most_urgent_ = 0;
    best = other;
  }
  WaitingFlow flow = std::move(*best);
  flows_.erase(best);
  return flow;
}

size_t WaitingFlows::CountAhead(const WaitingFlow& flow, TimePoint now) const {
  ClassCounts counts;
  const auto rank = RankOf(flow, now);
  for (const WaitingFlow& it : flows_) {
    if (it.Class() != flow.Class()) {
      ++(it.Class() < flow.Class() ? counts.higher : counts.lower);
    } else if (RankOf(it, now) <= rank) {
      ++counts.same;
    }
  }
  return TurnsBefore(counts.higher, counts.same, counts.lower);
}

std::vector<WaitingFlow> WaitingFlows::TakeExpired(TimePoint now) {
  const auto expired = std::stable_partition(
      flows_.begin(), flows_.end(),
      [now](const WaitingFlow& it) { return now < it.deadline; });
  std::vector<WaitingFlow> taken(std::make_move_iterator(expired),
                                 std::make_move_iterator(flows_.end()));
  flows_.erase(expired, flows_.end());
  return taken;
}

std::vector<WaitingFlow> WaitingFlows::TakeUnservable(const OfferState& state,
                                                      TimePoint now) {
  std::vector<WaitingFlow> taken;
  if (state.slots == 0 || !HasPriorities()) {
    return taken;
  }
  std::vector<size_t> order(flows_.size());
  for (size_t i = 0; i < order.size(); ++i) {
    order[i] = i;
  }
  std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    return RankOf(flows_[a], now) < RankOf(flows_[b], now);
  });
  std::vector<bool> unservable(flows_.size());
  ClassCounts counts;
  counts.lower = flows_.size();
  std::optional<uint8_t> current_class;
  for (const size_t i : order) {
    const WaitingFlow& flow = flows_[i];
    if (current_class != flow.Class()) {
      current_class = flow.Class();
      counts.higher += std::exchange(counts.same, 0);
      counts.lower -= static_cast<size_t>(std::count_if(
          flows_.begin(), flows_.end(),
          [&](const WaitingFlow& it) { return it.Class() == *current_class; }));
    }
    OfferState at_turn = state;
    at_turn.waiting = TurnsBefore(counts.higher, counts.same, counts.lower);
    if (flow.priority && now + ExpectedOpeningWait(at_turn) > flow.deadline) {
      unservable[i] = true;
    } else {
      ++counts.same;
    }
  }
  std::deque<WaitingFlow> kept;
  for (size_t i = 0; i < flows_.size(); ++i) {
    if (unservable[i]) {
      taken.push_back(std::move(flows_[i]));
    } else {
      kept.push_back(std::move(flows_[i]));
    }
  }
  flows_ = std::move(kept);
  return taken;
}

std::vector<WaitingFlow> WaitingFlows::TakeAll() {
  std::vector<WaitingFlow> flows(std::make_move_iterator(flows_.begin()),
                                 std::make_move_iterator(flows_.end()));
  flows_.clear();
  return flows;
}

bool WaitingFlows::HasPriorities() const {
  return std::any_of(flows_.begin(), flows_.end(), [](const WaitingFlow& it) {
    return it.priority.has_value();
  });
}

}  // namespace kumquatvalve::connection
