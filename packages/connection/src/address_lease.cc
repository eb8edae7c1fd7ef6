#include "kumquatvalve/connection/address_lease.h"

#include <algorithm>

namespace kumquatvalve::connection {
namespace {

using std::chrono::milliseconds;

// An upstream whose address may be used again at once gets first packets for
// this long after each sign of it.
constexpr milliseconds kMinDuration{250};

// Heartbeats that arrive closer together may have been delayed together, and
// then their order says nothing.
constexpr milliseconds kMinMessageSpacing{300};

}  // namespace

std::string_view Name(LeaseState state) {
  switch (state) {
    case LeaseState::kLapsed:
      return "lapsed";
    case LeaseState::kHeld:
      return "held";
    case LeaseState::kContested:
      return "contested";
  }
  return "";
}

milliseconds LeaseDuration(milliseconds reuse_delay) {
  return std::max(reuse_delay - kMaxDeliveryDelay, kMinDuration);
}

LeaseState AddressLease::State(TimePoint now) const {
  if (contested_) {
    return LeaseState::kContested;
  }
  return proven_at_ && now - *proven_at_ < duration_ ? LeaseState::kHeld
                                                     : LeaseState::kLapsed;
}

void AddressLease::OnHeartbeat(TimePoint sent_after, TimePoint now) {
  if (contender_ && !CountAgainstContender(sent_after)) {
    return;
  }
  if (now - sent_after < duration_) {
    contested_ = false;
    proven_at_ = std::max(proven_at_.value_or(sent_after), sent_after);
  }
}

bool AddressLease::CountAgainstContender(TimePoint sent_after) {
  Contender& it = *contender_;
  if (!it.last_upstream_message_at ||
      sent_after - *it.last_upstream_message_at >= kMinMessageSpacing) {
    it.last_upstream_message_at = sent_after;
    ++it.upstream_messages;
    it.dismissed = it.upstream_messages >= kMessagesToDismiss;
  }
  const bool is_later = sent_after - it.last_message_at >= kMinMessageSpacing;
  return !contested_ || it.dismissed || (it.messages == 1 && is_later);
}

void AddressLease::OnOtherService(const OtherServiceHeartbeat& heartbeat,
                                  TimePoint now) {
  const bool same = contender_ && contender_->start == heartbeat.start &&
                    contender_->service == heartbeat.service;
  if (!same) {
    contender_ = Contender{.service = heartbeat.service,
                           .start = heartbeat.start,
                           .sequence = heartbeat.sequence,
                           .last_message_at = now};
    contested_ = true;
    return;
  }
  if (heartbeat.sequence <= contender_->sequence) {
    return;
  }
  contender_->sequence = heartbeat.sequence;
  if (contender_->dismissed && State(now) == LeaseState::kHeld) {
    return;
  }
  if (contender_->dismissed) {
    contender_->dismissed = false;
    contender_->upstream_messages = 0;
  }
  ++contender_->messages;
  contender_->last_message_at = now;
  contested_ = true;
}

void AddressLease::OnPacket(TimePoint sent_after, TimePoint now) {
  if (State(now) == LeaseState::kHeld) {
    proven_at_ = std::max(*proven_at_, sent_after);
  }
}

void AddressLease::OnSuspension(milliseconds time) {
  if (proven_at_) {
    *proven_at_ -= time;
  }
}

}  // namespace kumquatvalve::connection
