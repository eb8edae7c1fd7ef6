#include "kumquatvalve/connection/identity_tracker.h"

namespace kumquatvalve::connection {
namespace {

// Clocks of two machines differ by seconds, also while one is being adjusted.
// An upstream from further ahead would keep out all later ones.
constexpr uint64_t kMaxClockDifferenceMs = 60000;

// Sequence numbers begin at 0 or 1.
constexpr uint64_t kMaxFirstSequence = 1;

// Less than a sidecar process needs to end and the next one to start.
constexpr uint64_t kMaxFirstHeartbeatDelayMs = 100;

// The number alone does not show whether number 1 follows a lost number 0, and
// the time alone proves nothing, since the time of day may have been stepped.
bool IsFirst(const UpstreamHeartbeat& heartbeat, uint64_t now_ms) {
  const uint64_t start_ms = heartbeat.identity.incarnation_ms;
  return heartbeat.sequence <= kMaxFirstSequence && now_ms >= start_ms &&
         now_ms - start_ms <= kMaxFirstHeartbeatDelayMs;
}

}  // namespace

HeartbeatVerdict IdentityTracker::OnHeartbeat(
    const UpstreamHeartbeat& heartbeat, uint64_t now_ms, TimePoint now) {
  const UpstreamIdentity& identity = heartbeat.identity;
  if (!service_.empty() && identity.service != service_) {
    return HeartbeatVerdict::kOtherService;
  }
  const StartId start{identity.instance, identity.incarnation_ms};
  // The time of day may have been stepped back since the latest start.
  if (starts_.latest() != start &&
      identity.incarnation_ms > now_ms + kMaxClockDifferenceMs) {
    return HeartbeatVerdict::kFromFuture;
  }
  switch (starts_.OnMessage(start, heartbeat.sequence, now)) {
    case StartVerdict::kEarlier:
      return HeartbeatVerdict::kEarlierIncarnation;
    case StartVerdict::kRepeated:
      return identity.draining && current_ && !current_->draining
                 ? HeartbeatVerdict::kLateDrain
                 : HeartbeatVerdict::kLate;
    case StartVerdict::kReplaced:
      drain_recorded_ = false;
      first_heartbeat_received_ = IsFirst(heartbeat, now_ms);
      break;
    case StartVerdict::kLatest:
      break;
  }
  current_ = identity;
  UpdateCurrent();
  return HeartbeatVerdict::kAccepted;
}

bool IdentityTracker::UpdateCurrent() {
  if (!current_) {
    return false;
  }
  const UpstreamIdentity previous = *current_;
  current_->draining = current_->draining || drain_recorded_;
  current_->order = starts_.order();
  current_->started_after_sidecar = starts_.began_after_creation();
  current_->is_new = starts_.is_new();
  current_->first_heartbeat_received = first_heartbeat_received_;
  return *current_ != previous;
}

bool IdentityTracker::OnKnownRecord(const version::UpstreamRecord& record,
                                    uint64_t now_ms, TimePoint now) {
  const request::StartOrder order = version::OrderOf(record);
  if (order.value > now_ms + kMaxClockDifferenceMs) {
    return false;
  }
  const StartId start{record.instance, record.incarnation_ms};
  if (starts_.OnKnownStart(start, order, now)) {
    drain_recorded_ = record.draining;
    // The process that announced the start has received heartbeats of it.
    first_heartbeat_received_ = false;
    const bool changed = current_.has_value();
    current_.reset();
    return changed;
  }
  if (starts_.latest() == start) {
    drain_recorded_ = drain_recorded_ || record.draining;
  }
  return UpdateCurrent();
}

bool IdentityTracker::OnRecordOfOtherService(
    const version::UpstreamRecord& record, uint64_t now_ms) {
  const request::StartOrder order = version::OrderOf(record);
  if (order.value > now_ms + kMaxClockDifferenceMs) {
    return false;
  }
  starts_.OnEarlierOrder(order);
  return UpdateCurrent();
}

bool IdentityTracker::OnDeparture(std::string_view instance,
                                  uint64_t incarnation_ms) {
  const bool current =
      current_ && current_->instance == instance &&
      (incarnation_ms == 0 || incarnation_ms == current_->incarnation_ms);
  if (current) {
    starts_.OnEnd();
    current_.reset();
  }
  return current;
}

std::optional<uint64_t> RecordedIncarnation(
    const std::optional<version::UpstreamRecord>& stored,
    const request::Endpoint& sidecar, const request::ServiceName& service) {
  if (!stored) {
    return std::nullopt;
  }
  return stored->sidecar == sidecar && stored->service == service
             ? stored->incarnation_ms
             : 0;
}

}  // namespace kumquatvalve::connection
