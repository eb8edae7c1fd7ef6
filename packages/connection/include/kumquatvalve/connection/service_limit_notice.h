#ifndef KUMQUATVALVE_CONNECTION_SERVICE_LIMIT_NOTICE_H_
#define KUMQUATVALVE_CONNECTION_SERVICE_LIMIT_NOTICE_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "kumquatvalve/connection/admission_policy.h"

namespace kumquatvalve::connection {

/// Decides when an entry instance sends the warm-up rate of its configuration
/// to the sidecar of one start of an upstream. Load pattern: upstreams become
/// cold when they start, also those beside a sidecar that restarts or whose
/// datagrams are lost. A rate is sent when it is new and `kRepeats` times
/// more, and again while the sidecar reports an allowance, since the process
/// that got it may have been replaced. Without a rate nothing is sent, except
/// to a sidecar that reports an allowance and so limits its upstream without
/// need.
class ServiceLimitNotice {
 public:
  /// @param per_second_tenths rate of the configuration in force; 0 when it has
  ///   none.
  /// @param reports_allowance the last load report has an allowance.
  /// @return whether the rate has to be sent now; then it counts as sent.
  bool Take(uint16_t per_second_tenths, bool reports_allowance, TimePoint now);

  static constexpr std::chrono::milliseconds kInterval{1000};
  /// A datagram is lost rarely; three in a row only on a link that is down.
  static constexpr int kRepeats = 2;

 private:
  /// The rate that was sent last; empty before the first.
  std::optional<uint16_t> sent_;
  TimePoint sent_at_;
  int repeats_ = 0;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_SERVICE_LIMIT_NOTICE_H_
