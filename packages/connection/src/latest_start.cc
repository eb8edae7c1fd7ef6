#include "kumquatvalve/connection/latest_start.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace kumquatvalve::connection {
namespace {

// Messages that arrive closer together were delayed together, for example while
// the receiver was paused, and may all be of a start that has ended.
constexpr std::chrono::milliseconds kMinMessageSpacing{300};

// More than two intervals between messages: a start that sent none for longer
// may have ended.
constexpr std::chrono::milliseconds kMaxSilence{3000};

}  // namespace

bool LatestStart::MessageCount::Add(uint64_t new_sequence, TimePoint now) {
  if (new_sequence <= sequence) {
    return false;
  }
  sequence = new_sequence;
  if (now - last_counted_at >= kMinMessageSpacing) {
    last_counted_at = now;
    ++messages;
  }
  return true;
}

StartVerdict LatestStart::OnMessage(const StartId& start, uint64_t sequence,
                                    TimePoint now) {
  const bool is_latest = latest_ == start;
  if (is_latest && received_ && sequence > received_->sequence) {
    if (ended_) {
      return StartVerdict::kRepeated;
    }
    received_->Add(sequence, now);
    candidate_.reset();
    NoteFirst();
    return StartVerdict::kLatest;
  }
  const MessageCount first_message{start, sequence, sequence, 1, now};
  if (is_latest && !received_) {
    received_ = first_message;
    candidate_.reset();
    return StartVerdict::kLatest;
  }
  const bool is_later = !latest_ || start.time_ms > order_.value;
  if (!is_later && !IsReplacement(start, sequence, now)) {
    return is_latest ? StartVerdict::kRepeated : StartVerdict::kEarlier;
  }
  latest_ = start;
  order_ = request::OrderAfter(order_, start.time_ms);
  ended_ = false;
  if (is_later) {
    received_ = first_message;
  } else {
    received_ = candidate_;
  }
  candidate_.reset();
  NoteFirst();
  return StartVerdict::kReplaced;
}

void LatestStart::NoteFirst() {
  if (!first_ && received_->messages >= kMessagesToReplace) {
    first_ = received_->start;
  }
}

bool LatestStart::IsReplacement(const StartId& start, uint64_t sequence,
                                TimePoint now) {
  const bool continues = candidate_ && candidate_->start == start &&
                         sequence >= candidate_->sequence;
  if (!continues) {
    candidate_ = {start, sequence, sequence, 1, now};
    return false;
  }
  return candidate_->Add(sequence, now) &&
         candidate_->messages >= kMessagesToReplace;
}

bool LatestStart::OnKnownStart(const StartId& start, request::StartOrder order,
                               TimePoint now) {
  if (latest_ == start) {
    order_ = std::max(order_, order);
    return false;
  }
  if (latest_ && order < order_) {
    return false;
  }
  if (received_ && received_->messages >= kMessagesToReplace &&
      now - received_->last_counted_at <= kMaxSilence) {
    OnEarlierOrder(order);
    return false;
  }
  candidate_ = std::exchange(received_, std::nullopt);
  latest_ = start;
  order_ = order;
  ended_ = false;
  return true;
}

void LatestStart::OnEarlierOrder(request::StartOrder order) {
  if (latest_ && order >= order_) {
    order_ = request::OrderAfter(order, latest_->time_ms);
  }
}

}  // namespace kumquatvalve::connection
