#include "kumquatvalve/connection/retry_budget.h"

#include <algorithm>
#include <string_view>

namespace kumquatvalve::connection {

RetryBudget::RetryBudget(const Settings& settings)
    : settings_(settings), tokens_(settings.burst) {}

void RetryBudget::OnAdmitted(TimePoint now) {
  Refill(now);
  tokens_ = std::min(settings_.burst, tokens_ + settings_.ratio);
}

void RetryBudget::OnRefused(const request::Endpoint& caller, TimePoint now) {
  ExpireRefused(now);
  const auto it = refused_.find(caller.address);
  if (it == refused_.end() && refused_.size() >= settings_.max_callers) {
    return;
  }
  refused_[caller.address] = now;
  if (it == refused_.end()) {
    expiry_queue_.emplace_back(now, caller.address);
  }
}

bool RetryBudget::IsRetry(const request::Endpoint& caller, TimePoint now) {
  ExpireRefused(now);
  return refused_.contains(caller.address);
}

bool RetryBudget::TrySpend(TimePoint now) {
  Refill(now);
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

size_t RetryBudget::AddressHash::operator()(const Address& address) const {
  return std::hash<std::string_view>()(std::string_view(
      reinterpret_cast<const char*>(address.data()), address.size()));
}

void RetryBudget::Refill(TimePoint now) {
  const double elapsed_s =
      std::chrono::duration<double>(now - refilled_at_).count();
  tokens_ = std::min(settings_.burst,
                     tokens_ + std::max(0.0, elapsed_s) * settings_.per_second);
  refilled_at_ = now;
}

void RetryBudget::ExpireRefused(TimePoint now) {
  while (!expiry_queue_.empty() &&
         now - expiry_queue_.front().first > settings_.retry_window) {
    const Address address = expiry_queue_.front().second;
    expiry_queue_.pop_front();
    const auto it = refused_.find(address);
    if (now - it->second > settings_.retry_window) {
      refused_.erase(it);
    } else {
      // The caller was refused again, which extends its window.
      expiry_queue_.emplace_back(it->second, address);
    }
  }
}

}  // namespace kumquatvalve::connection
