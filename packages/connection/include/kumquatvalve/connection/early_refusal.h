#ifndef KUMQUATVALVE_CONNECTION_EARLY_REFUSAL_H_
#define KUMQUATVALVE_CONNECTION_EARLY_REFUSAL_H_

#include <chrono>
#include <span>

#include "kumquatvalve/request/hop_message.h"

namespace kumquatvalve::connection {

/// An upstream that accepts new flows, as its sidecar reported it.
struct ReportedUpstream {
  request::UpstreamLoad load;
  /// Time since the last report.
  std::chrono::milliseconds report_age{0};
};

/// Whether a new flow to a service has to be refused without an offer. Load
/// pattern: a burst of more than twice what the upstreams can serve, in which
/// every flow is offered up to five times and returned each time. The service
/// is full when every upstream has reported so much work in progress and
/// waiting that a new request cannot get its response within `time_left`.
/// Reports that are older than 500 ms do not count: the upstream may have
/// become idle since.
/// @param time_left until the caller's time limit.
bool IsServiceFull(std::span<const ReportedUpstream> upstreams,
                   std::chrono::milliseconds time_left);

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_EARLY_REFUSAL_H_
