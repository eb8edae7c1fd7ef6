#ifndef KUMQUATVALVE_CONNECTION_PROBE_ORDER_H_
#define KUMQUATVALVE_CONNECTION_PROBE_ORDER_H_

#include <cstddef>
#include <functional>
#include <span>
#include <vector>

#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/flow_key.h"

namespace kumquatvalve::connection {

/// Selects the upstreams that get a packet of a flow next, to find out whether
/// they hold it. Load pattern: all processes are killed while their upstreams
/// live, and thousands of open flows are searched for at the same time. One
/// packet of each flow to every upstream fills the links of small instances for
/// many seconds, so the likely holders are probed first, in batches that
/// double: those that rank highest for the flow, own availability zone first,
/// as placement prefers them.
/// @param candidates sidecars whose upstreams may hold the flow.
/// @param same_zone whether a sidecar is in the zone of this entry instance.
/// @param batch number of earlier batches for this flow.
std::vector<request::Endpoint> NextToProbe(
    const request::FlowKey& flow, std::span<const request::Endpoint> candidates,
    const std::function<bool(const request::Endpoint&)>& same_zone,
    size_t batch);

/// Number of upstreams in the first batch: placement chooses among as many.
inline constexpr size_t kFirstProbeBatch = 4;

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_PROBE_ORDER_H_
