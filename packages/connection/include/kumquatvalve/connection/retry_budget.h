#ifndef KUMQUATVALVE_CONNECTION_RETRY_BUDGET_H_
#define KUMQUATVALVE_CONNECTION_RETRY_BUDGET_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/request/endpoint.h"

namespace kumquatvalve::connection {

/// Token bucket that limits how many retries of refused callers are held or
/// passed on, so that retries do not add load while a service is full. A caller
/// is identified by its address, since a new connection comes from another
/// port.
class RetryBudget {
 public:
  struct Settings {
    /// Tokens added for each admitted flow; a retry takes one.
    double ratio = 0.1;
    /// Tokens added per second.
    double per_second = 1;
    /// Capacity of the bucket.
    double burst = 10;
    /// For how long after a refusal a new connection of the caller is a retry.
    TimePoint::duration retry_window = std::chrono::seconds(10);
    /// How many refused callers are tracked at most; others are not limited.
    size_t max_callers = 4096;
  };

  RetryBudget() : RetryBudget(Settings()) {}
  explicit RetryBudget(const Settings& settings);

  /// Adds the tokens for an admitted flow.
  void OnAdmitted(TimePoint now);
  /// Starts or extends the retry window of a refused caller.
  void OnRefused(const request::Endpoint& caller, TimePoint now);

  /// Whether the caller's address was refused within the retry window.
  bool IsRetry(const request::Endpoint& caller, TimePoint now);

  /// Takes one token.
  /// @return false when no whole token is left.
  bool TrySpend(TimePoint now);

  double tokens() const { return tokens_; }
  /// Number of tracked callers.
  size_t tracked_callers() const { return refused_.size(); }

 private:
  using Address = std::array<uint8_t, 16>;
  struct AddressHash {
    size_t operator()(const Address& address) const;
  };

  void Refill(TimePoint now);
  void ExpireRefused(TimePoint now);

  Settings settings_;
  double tokens_;
  TimePoint refilled_at_{};
  /// Time of the last refusal of each tracked caller.
  std::unordered_map<Address, TimePoint, AddressHash> refused_;
  std::deque<std::pair<TimePoint, Address>> expiry_queue_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_RETRY_BUDGET_H_
