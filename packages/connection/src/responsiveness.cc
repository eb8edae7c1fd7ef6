#include "kumquatvalve/connection/responsiveness.h"

#include <algorithm>

namespace kumquatvalve::connection {

void Responsiveness::OnFirstPacket(TimePoint now) {
  if (!first_unanswered_at_) {
    first_unanswered_at_ = now;
  }
  if (!unresponsive_) {
    return;
  }
  next_trial_at_ = now + kTrialInterval;
  heartbeat_since_trial_ = false;
  invitation_interval_ =
      std::min(2 * invitation_interval_, kMaxInvitationInterval);
  next_invitation_at_ = now + invitation_interval_;
}

bool Responsiveness::OnUpstreamPacket() {
  const bool was_unresponsive = unresponsive_;
  first_unanswered_at_.reset();
  unresponsive_ = false;
  return was_unresponsive;
}

void Responsiveness::OnNewIncarnation() { *this = Responsiveness(); }

void Responsiveness::OnHeartbeat() { heartbeat_since_trial_ = unresponsive_; }

bool Responsiveness::CheckTimeout(TimePoint now) {
  if (!first_unanswered_at_ || unresponsive_ ||
      now - *first_unanswered_at_ < kUnresponsiveTimeout) {
    return false;
  }
  unresponsive_ = true;
  next_trial_at_ = now + kTrialInterval;
  heartbeat_since_trial_ = false;
  invitation_interval_ = kMinInvitationInterval;
  next_invitation_at_ = now + invitation_interval_;
  return true;
}

bool Responsiveness::IsResponseLate(TimePoint now) const {
  return first_unanswered_at_ &&
         now - *first_unanswered_at_ > kLateResponseTimeout;
}

}  // namespace kumquatvalve::connection
