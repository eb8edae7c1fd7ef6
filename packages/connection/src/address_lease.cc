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

void AddressLease::OnHeartbeat(const HeartbeatId& heartbeat,
                               TimePoint sent_after, TimePoint now) {
  CountAgainstContender(sent_after);
  if (now - sent_after >= duration_) {
    return;
  }
  const bool is_held = State(now) == LeaseState::kHeld;
  if (is_held || IsConfirmed(heartbeat, sent_after)) {
    Grant(heartbeat.start, sent_after);
  } else if (IsLaterThanContender(sent_after) &&
             !(unconfirmed_ && unconfirmed_->start == heartbeat.start)) {
    unconfirmed_ = {heartbeat.start, sent_after};
  }
}

bool AddressLease::IsConfirmed(const HeartbeatId& heartbeat,
                               TimePoint sent_after) const {
  if (contested_ && contender_->dismissed) {
    return true;
  }
  if (!IsLaterThanContender(sent_after)) {
    return false;
  }
  const bool is_first_of_start =
      !contested_ && heartbeat.sequence <= LatestStart::kMaxMissedMessages &&
      proven_start_ != heartbeat.start;
  // Two late heartbeats may arrive between two of the other service. Only its
  // silence shows that it is not the one behind the address.
  const bool other_is_silent =
      !contested_ || sent_after - contender_->last_message_at >= duration_;
  const bool is_second =
      unconfirmed_ && unconfirmed_->start == heartbeat.start &&
      sent_after - unconfirmed_->sent_after >= kMinMessageSpacing &&
      other_is_silent;
  const auto& packet_at =
      contested_ ? admitted_flow_packet_at_ : flow_packet_at_;
  const bool holds_flows = packet_at && sent_after - *packet_at < duration_ &&
                           IsLaterThanContender(*packet_at);
  return is_first_of_start || is_second || holds_flows;
}

bool AddressLease::IsLaterThanContender(TimePoint sent_after) const {
  return !contested_ ||
         sent_after - contender_->last_message_at >= kMinMessageSpacing;
}

void AddressLease::Grant(const StartId& start, TimePoint proven_at) {
  contested_ = false;
  unconfirmed_.reset();
  proven_start_ = start;
  proven_at_ = std::max(proven_at_.value_or(proven_at), proven_at);
}

void AddressLease::CountAgainstContender(TimePoint sent_after) {
  if (!contender_) {
    return;
  }
  contender_->messages_since_upstream = 0;
  auto& last = contender_->last_upstream_message_at;
  if (!last || sent_after - *last >= kMinMessageSpacing) {
    last = sent_after;
    ++contender_->upstream_messages;
    contender_->dismissed = contender_->upstream_messages >= kMessagesToDismiss;
  }
}

void AddressLease::OnOtherService(const HeartbeatId& heartbeat, TimePoint now) {
  const bool same = contender_ && contender_->start == heartbeat.start &&
                    contender_->service == heartbeat.service;
  if (same && heartbeat.sequence <= contender_->sequence) {
    return;
  }
  const bool ends_dismissal =
      same && contender_->dismissed &&
      (++contender_->messages_since_upstream >= kMessagesToDismiss ||
       State(now) != LeaseState::kHeld);
  if (!same || ends_dismissal) {
    contender_ =
        Contender{.service = heartbeat.service, .start = heartbeat.start};
  }
  contender_->sequence = heartbeat.sequence;
  if (contender_->dismissed) {
    return;
  }
  contender_->last_message_at = now;
  contested_ = true;
  unconfirmed_.reset();
}

void AddressLease::OnPacket(PacketEvidence evidence, TimePoint sent_after,
                            TimePoint now) {
  if (evidence != PacketEvidence::kRunning) {
    flow_packet_at_ = sent_after;
  }
  if (evidence == PacketEvidence::kHoldsAdmittedFlow) {
    admitted_flow_packet_at_ = sent_after;
  }
  const bool confirms = contested_
                            ? evidence == PacketEvidence::kHoldsAdmittedFlow
                            : evidence != PacketEvidence::kRunning;
  if (State(now) == LeaseState::kHeld) {
    proven_at_ = std::max(*proven_at_, sent_after);
  } else if (confirms && unconfirmed_ && now - sent_after < duration_ &&
             sent_after - unconfirmed_->sent_after < duration_ &&
             IsLaterThanContender(sent_after)) {
    Grant(unconfirmed_->start, sent_after);
  }
}

void AddressLease::OnSuspension(milliseconds time) {
  for (auto* it : {&proven_at_, &flow_packet_at_, &admitted_flow_packet_at_}) {
    if (*it) {
      **it -= time;
    }
  }
  unconfirmed_.reset();
}

}  // namespace kumquatvalve::connection
