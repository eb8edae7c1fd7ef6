#ifndef KUMQUATVALVE_REQUEST_START_ORDER_H_
#define KUMQUATVALVE_REQUEST_START_ORDER_H_

#include <algorithm>
#include <cstdint>

#include "kumquatvalve/request/ids.h"

namespace kumquatvalve::request {

/// Position of a start among the starts of the same upstream or process: of two
/// starts the one with the larger order is the later one. In the unit of the
/// start times that it is derived from.
using StartOrder = NumberId<struct StartOrderTag, uint64_t>;

/// Returns the order of a start that is known to be later than the start with
/// order `previous`. It is the start time, which processes that know of no
/// earlier start agree on, unless the time of day was stepped back since.
/// Load pattern: a machine whose clock is stepped back by seconds, with several
/// starts on it before and after.
inline StartOrder OrderAfter(StartOrder previous, uint64_t start_time) {
  return {std::max(start_time, previous.value + 1)};
}

}  // namespace kumquatvalve::request

#endif  // KUMQUATVALVE_REQUEST_START_ORDER_H_
