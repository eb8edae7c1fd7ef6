#ifndef KUMQUATVALVE_CONNECTION_SERVICE_TIME_ESTIMATE_H_
#define KUMQUATVALVE_CONNECTION_SERVICE_TIME_ESTIMATE_H_

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "kumquatvalve/connection/admission_policy.h"

namespace kumquatvalve::connection {

/// Moving mean of an upstream's processing time of one request. An upstream
/// that looks slow gets no requests while its peers have free slots, and so
/// would look slow for ever: the mean is forgotten some time after the last
/// request.
class ServiceTimeEstimate {
 public:
  using Microseconds = std::chrono::duration<double, std::micro>;

  /// A request was processed in `time`.
  void Add(Microseconds time, TimePoint now) {
    Forget(now);
    ++count_;
    const double weight =
        std::max(kMinWeight, 1.0 / static_cast<double>(count_));
    mean_ += (time - mean_) * weight;
    last_at_ = now;
  }

  /// The mean, at least 1 us; 0 when no request was processed lately.
  std::chrono::microseconds Value(TimePoint now) {
    Forget(now);
    const auto mean = std::chrono::duration_cast<std::chrono::microseconds>(
        Microseconds(mean_));
    return count_ == 0 ? std::chrono::microseconds(0)
                       : std::max(mean, std::chrono::microseconds(1));
  }

  /// Time after the last request until the mean is forgotten. A disturbed
  /// upstream stays slow for about as long.
  static constexpr std::chrono::seconds kTtl{5};

 private:
  // Weight of one request after the first 20.
  static constexpr double kMinWeight = 0.05;

  void Forget(TimePoint now) {
    if (count_ != 0 && now - last_at_ > kTtl) {
      count_ = 0;
      mean_ = Microseconds(0);
    }
  }

  Microseconds mean_{0};
  size_t count_ = 0;
  TimePoint last_at_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_SERVICE_TIME_ESTIMATE_H_
