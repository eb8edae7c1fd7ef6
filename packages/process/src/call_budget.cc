#include "kumquatvalve/process/call_budget.h"

#include <algorithm>

namespace kumquatvalve::process {
namespace {

using std::chrono::duration;
using std::chrono::duration_cast;

// 2^20 times the initial backoff exceeds any limit.
constexpr uint32_t kMaxDoublings = 20;

}  // namespace

CallBudget::CallBudget(const CallBudgetSettings& settings, uint64_t seed)
    : settings_(settings), random_(seed), tokens_(settings.burst) {}

double CallBudget::TokensAt(TimePoint now) const {
  if (!started_ || now <= refilled_at_) {
    return tokens_;
  }
  const double seconds = duration<double>(now - refilled_at_).count();
  return std::min(settings_.burst,
                  tokens_ + seconds * settings_.calls_per_second);
}

bool CallBudget::TryAcquire(TimePoint now) {
  if (NextCallAt(now) > now) {
    return false;
  }
  tokens_ = TokensAt(now) - 1;
  refilled_at_ = started_ ? std::max(now, refilled_at_) : now;
  started_ = true;
  if (circuit_open()) {
    trial_pending_ = true;
    trial_until_ = now + settings_.max_backoff;
  }
  return true;
}

void CallBudget::OnResponse() {
  failures_ = 0;
  trial_pending_ = false;
  retry_at_ = {};
}

void CallBudget::OnFailure(TimePoint now) {
  trial_pending_ = false;
  const uint32_t doublings = std::min(failures_, kMaxDoublings);
  ++failures_;
  const auto max_wait = std::min<Duration>(
      settings_.max_backoff, settings_.initial_backoff * (1LL << doublings));
  // Jitter over the upper half only: the mean backoff keeps growing.
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  auto wait = duration_cast<Duration>(max_wait * jitter(random_));
  if (circuit_open()) {
    wait = std::max(wait, duration_cast<Duration>(settings_.min_open_duration *
                                                  (0.5 + jitter(random_))));
  }
  retry_at_ = std::max(retry_at_, now + wait);
}

CallBudget::TimePoint CallBudget::NextCallAt(TimePoint now) const {
  TimePoint next = now;
  const double missing_tokens = 1 - TokensAt(now);
  if (missing_tokens > 0) {
    // Rounded up, so that a call at the returned time finds a whole token.
    next += duration_cast<Duration>(
                duration<double>(missing_tokens / settings_.calls_per_second)) +
            Duration(1);
  }
  next = std::max(next, retry_at_);
  return trial_pending_ ? std::max(next, trial_until_) : next;
}

}  // namespace kumquatvalve::process
