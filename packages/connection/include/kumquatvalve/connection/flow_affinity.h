#ifndef KUMQUATVALVE_CONNECTION_FLOW_AFFINITY_H_
#define KUMQUATVALVE_CONNECTION_FLOW_AFFINITY_H_

#include <cstdint>

#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/flow_key.h"

namespace kumquatvalve::connection {

/// Score of a sidecar for a flow in rendezvous hashing: the sidecars with the
/// highest scores are the preferred ones. All processes compute the same score,
/// so a process that has lost its memory still knows which upstreams most
/// likely hold a flow.
uint64_t RankOf(const request::FlowKey& flow, const request::Endpoint& sidecar);

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_FLOW_AFFINITY_H_
