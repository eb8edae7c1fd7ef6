#include "kumquatvalve/connection/identity_tracker.h"

#include <algorithm>

namespace kumquatvalve::connection {
namespace {

// Clocks of two machines differ by seconds, also while one is being adjusted.
// An upstream from further ahead would keep out all later ones.
constexpr uint64_t kMaxClockDifferenceMs = 60000;

// Heartbeats that arrive closer together were delayed together, for example
// while the sidecar was paused, and may all be of an upstream that has crashed.
constexpr std::chrono::milliseconds kMinHeartbeatSpacing{300};

}  // namespace

HeartbeatVerdict IdentityTracker::OnHeartbeat(
    const UpstreamHeartbeat& heartbeat, uint64_t now_ms, TimePoint now) {
  const UpstreamIdentity& identity = heartbeat.identity;
  if (!service_.empty() && identity.service != service_) {
    return HeartbeatVerdict::kOtherService;
  }
  if (identity.incarnation_ms > now_ms + kMaxClockDifferenceMs) {
    return HeartbeatVerdict::kFromFuture;
  }
  if (IsEarlier(identity.incarnation_ms)) {
    if (!ReplacesNewest(heartbeat, now)) {
      return HeartbeatVerdict::kEarlierIncarnation;
    }
    replaced_incarnation_ms_ =
        std::max(replaced_incarnation_ms_, newest_incarnation_ms_);
  }
  const bool same_incarnation =
      identity.incarnation_ms == newest_incarnation_ms_;
  const bool after_last = !sequence_ || heartbeat.sequence > *sequence_;
  if (same_incarnation && (deregistered_ || !after_last)) {
    return HeartbeatVerdict::kLate;
  }
  drain_stored_ = drain_stored_ && same_incarnation;
  candidate_.reset();
  newest_incarnation_ms_ = identity.incarnation_ms;
  sequence_ = heartbeat.sequence;
  deregistered_ = false;
  current_ = identity;
  current_->draining = identity.draining || drain_stored_;
  return HeartbeatVerdict::kAccepted;
}

bool IdentityTracker::ReplacesNewest(const UpstreamHeartbeat& heartbeat,
                                     TimePoint now) {
  const uint64_t incarnation_ms = heartbeat.identity.incarnation_ms;
  if (!candidate_ || candidate_->incarnation_ms != incarnation_ms) {
    candidate_ = {incarnation_ms, heartbeat.sequence, 1, now};
    return false;
  }
  if (heartbeat.sequence <= candidate_->sequence) {
    return false;
  }
  candidate_->sequence = heartbeat.sequence;
  if (now - candidate_->last_counted_at >= kMinHeartbeatSpacing) {
    candidate_->last_counted_at = now;
    ++candidate_->heartbeats;
  }
  return candidate_->heartbeats >= kHeartbeatsToReplace;
}

bool IdentityTracker::OnStoredRecord(uint64_t incarnation_ms, bool draining,
                                     uint64_t now_ms) {
  if (incarnation_ms > now_ms + kMaxClockDifferenceMs ||
      IsEarlier(incarnation_ms)) {
    return false;
  }
  if (incarnation_ms > newest_incarnation_ms_) {
    newest_incarnation_ms_ = incarnation_ms;
    sequence_.reset();
    deregistered_ = false;
    drain_stored_ = draining;
    const bool changed = current_.has_value();
    current_.reset();
    return changed;
  }
  drain_stored_ = drain_stored_ || draining;
  if (current_ && drain_stored_ && !current_->draining) {
    current_->draining = true;
    return true;
  }
  return false;
}

bool IdentityTracker::OnDeparture(std::string_view instance,
                                  uint64_t incarnation_ms) {
  const bool current =
      current_ && current_->instance == instance &&
      (incarnation_ms == 0 || incarnation_ms == current_->incarnation_ms);
  if (current) {
    deregistered_ = true;
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
