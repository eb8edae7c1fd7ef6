#include "kumquatvalve/connection/service_limit_notice.h"

namespace kumquatvalve::connection {

bool ServiceLimitNotice::Take(uint16_t per_second_tenths,
                              bool reports_allowance, TimePoint now) {
  const bool is_new = per_second_tenths != sent_.value_or(0);
  if (!is_new) {
    const bool may_be_lost = sent_ && repeats_ < kRepeats;
    if ((!may_be_lost && !reports_allowance) ||
        (sent_ && now - sent_at_ < kInterval)) {
      return false;
    }
  }
  repeats_ = is_new ? 0 : repeats_ + 1;
  sent_ = per_second_tenths;
  sent_at_ = now;
  return true;
}

}  // namespace kumquatvalve::connection
