#include "kumquatvalve/connection/work_tracker.h"

#include <algorithm>

namespace kumquatvalve::connection {
namespace {

/// A new value has the weight 1/16 in the moving mean, which reflects about the
/// last 16 values.
constexpr int kReservationMeanWindow = 16;
/// Number of recent responses that the share of continued ones reflects.
constexpr double kContinuedShareWindow = 64;

}  // namespace

WorkTracker::WorkTracker(const Settings& settings) : settings_(settings) {}

void WorkTracker::Reserve(const request::FlowKey& flow, TimePoint now) {
  const auto [it, is_new] = slots_.try_emplace(flow);
  if (!is_new) {
    return;
  }
  it->second.started_at = now;
  it->second.generation = next_generation_++;
  ++reserved_;
  expiry_.push_back({now + ReservationTime(), flow, it->second.generation});
}

void WorkTracker::OnRequest(const request::FlowKey& flow, TimePoint now) {
  const auto [it, is_new] = slots_.try_emplace(flow);
  if (!is_new && it->second.busy) {
    if (it->second.pushed) {
      // The next request arrived before the last response was acknowledged.
      it->second.pushed = false;
      --pushed_;
    }
    return;
  }
  if (!is_new) {
    mean_reservation_ += (now - it->second.started_at - mean_reservation_) /
                         kReservationMeanWindow;
    --reserved_;
  }
  it->second = {true, false, false, now, next_generation_++};
  ++busy_;
}

void WorkTracker::OnAnswerSegment(const request::FlowKey& flow, bool pushed,
                                  TimePoint /*now*/) {
  const auto it = slots_.find(flow);
  if (it == slots_.end() || !it->second.busy) {
    return;
  }
  Slot& slot = it->second;
  if (slot.pushed) {
    slot.continued = true;
    --pushed_;
  }
  slot.pushed = pushed;
  pushed_ += pushed ? 1 : 0;
}

std::optional<WorkTracker::Duration> WorkTracker::OnAnswerComplete(
    const request::FlowKey& flow, TimePoint now) {
  const auto it = slots_.find(flow);
  if (it == slots_.end() || !it->second.busy) {
    return std::nullopt;
  }
  const Duration work = now - it->second.started_at;
  continued_share_ += ((it->second.continued ? 1 : 0) - continued_share_) /
                      kContinuedShareWindow;
  RemoveFromCounts(it->second);
  slots_.erase(it);
  return work;
}

bool WorkTracker::OnFlowEnd(const request::FlowKey& flow) {
  const auto it = slots_.find(flow);
  if (it == slots_.end()) {
    return false;
  }
  RemoveFromCounts(it->second);
  slots_.erase(it);
  return true;
}

void WorkTracker::Expire(TimePoint now) {
  // Later reservations may be shorter when the mean time fell. They then expire
  // together with the ones before them, after at most `max_reservation`.
  while (!expiry_.empty() && expiry_.front().expires_at <= now) {
    const auto it = slots_.find(expiry_.front().flow);
    if (it != slots_.end() && !it->second.busy &&
        it->second.generation == expiry_.front().generation) {
      slots_.erase(it);
      --reserved_;
    }
    expiry_.pop_front();
  }
}

void WorkTracker::RemoveFromCounts(const Slot& slot) {
  if (!slot.busy) {
    --reserved_;
    return;
  }
  --busy_;
  pushed_ -= slot.pushed ? 1 : 0;
}

WorkTracker::Duration WorkTracker::ReservationTime() const {
  return std::clamp(mean_reservation_ * settings_.reservation_factor,
                    settings_.min_reservation, settings_.max_reservation);
}

}  // namespace kumquatvalve::connection
