#include "kumquatvalve/connection/identity_tracker.h"

namespace kumquatvalve::connection {

bool IdentityTracker::OnHeartbeat(const UpstreamHeartbeat& heartbeat) {
  const UpstreamIdentity& identity = heartbeat.identity;
  if (identity.boot_ms < newest_boot_ms_) {
    return false;
  }
  const bool same_boot = identity.boot_ms == newest_boot_ms_;
  if (same_boot && (departed_ || heartbeat.sequence <= sequence_)) {
    return false;
  }
  newest_boot_ms_ = identity.boot_ms;
  sequence_ = heartbeat.sequence;
  departed_ = false;
  current_ = identity;
  return true;
}

bool IdentityTracker::OnDeparture(std::string_view instance, uint64_t boot_ms) {
  const bool current = current_ && current_->instance == instance &&
                       (boot_ms == 0 || boot_ms == current_->boot_ms);
  if (current) {
    departed_ = true;
    current_.reset();
  }
  return current;
}

}  // namespace kumquatvalve::connection
