#include "kumquatvalve/connection/warm_up_limit.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "kumquatvalve/request/hop_message.h"

namespace kumquatvalve::connection {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr double kTenthsPerUnit = 10;

// With one token at most, a rate just below `slack` gives no more than `slack`
// packets in any second, both ends included.
constexpr double kShareOfSlackWithoutRate = 0.95;

// A rate of 0 stands for no limit, the loosest one.
uint32_t Looseness(uint16_t tenths) {
  return tenths == 0 ? std::numeric_limits<uint32_t>::max() : tenths;
}

}  // namespace

void WarmUpLimit::OnStart(uint64_t incarnation_ms, TimePoint now) {
  Advance(now);
  incarnation_ms_ = incarnation_ms;
  Advance(now);
}

void WarmUpLimit::OnHeartbeat(uint64_t incarnation_ms,
                              std::chrono::milliseconds left, TimePoint now) {
  Advance(now);
  announced_incarnation_ms_ = incarnation_ms;
  cold_until_ = now + left;
  Advance(now);
}

void WarmUpLimit::OnRate(uint16_t per_second_tenths, TimePoint now) {
  const bool is_looser =
      rate_tenths_ && Looseness(per_second_tenths) > Looseness(*rate_tenths_);
  if (is_looser && now - rate_received_at_ < kRateHold) {
    return;
  }
  Advance(now);
  rate_tenths_ = per_second_tenths;
  rate_received_at_ = now;
  Advance(now);
}

WarmUpLimit::Bucket WarmUpLimit::CurrentBucket() const {
  const double slack = slack_.value_or(0);
  if (!rate_tenths_) {
    return {slack * kShareOfSlackWithoutRate, 1};
  }
  const double rate = *rate_tenths_ / kTenthsPerUnit;
  // A bucket that holds less than one token never admits a packet.
  const double depth = std::max(slack, 1.0);
  return {std::max(0.0, std::min(rate, kExcess * rate + slack - depth)), depth};
}

bool WarmUpLimit::IsCold(TimePoint now) const {
  return announced_incarnation_ms_ != incarnation_ms_ || now < cold_until_;
}

void WarmUpLimit::Advance(TimePoint now) {
  const bool was_limiting = limiting_;
  limiting_ = slack_ && rate_tenths_ != 0 && IsCold(now);
  if (!limiting_ || !was_limiting) {
    tokens_ = 0;
  } else {
    const Bucket bucket = CurrentBucket();
    const double added =
        std::max(0.0, Seconds(now - advanced_at_).count()) * bucket.per_second;
    tokens_ = std::min(bucket.depth, tokens_ + added);
  }
  advanced_at_ = now;
}

void WarmUpLimit::OnFirstPacket() {
  if (limiting_) {
    tokens_ = std::max(0.0, tokens_ - 1);
  }
}

OfferAction WarmUpLimit::Restrict(OfferAction action, bool final_offer,
                                  std::chrono::milliseconds wait_limit,
                                  size_t waiting) const {
  const bool has_token = tokens_ >= static_cast<double>(waiting) + 1;
  if (!limiting_ || action == OfferAction::kReturn || has_token) {
    return action;
  }
  const double missing = static_cast<double>(waiting) + 1 - tokens_;
  const bool in_time =
      missing <= Seconds(wait_limit).count() * CurrentBucket().per_second;
  return final_offer && wait_limit.count() > 0 && in_time
             ? OfferAction::kWait
             : OfferAction::kReturn;
}

std::optional<uint8_t> WarmUpLimit::Allowance(size_t waiting) const {
  if (!limiting_) {
    return std::nullopt;
  }
  return static_cast<uint8_t>(
      std::clamp(std::floor(tokens_) - static_cast<double>(waiting), 0.0,
                 static_cast<double>(request::kMaxWarmUpAllowance)));
}

}  // namespace kumquatvalve::connection
