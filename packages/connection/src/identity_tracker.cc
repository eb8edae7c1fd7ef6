#include "kumquatvalve/connection/identity_tracker.h"

namespace kumquatvalve::connection {

bool IdentityTracker::OnHeartbeat(const UpstreamHeartbeat& heartbeat) {
  const UpstreamIdentity& identity = heartbeat.identity;
  if (identity.incarnation_ms < newest_incarnation_ms_) {
    return false;
  }
  const bool same_incarnation =
      identity.incarnation_ms == newest_incarnation_ms_;
  if (same_incarnation && (deregistered_ || heartbeat.sequence <= sequence_)) {
    return false;
  }
  newest_incarnation_ms_ = identity.incarnation_ms;
  sequence_ = heartbeat.sequence;
  deregistered_ = false;
  current_ = identity;
  return true;
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

}  // namespace kumquatvalve::connection
