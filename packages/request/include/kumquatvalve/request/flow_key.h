#ifndef KUMQUATVALVE_REQUEST_FLOW_KEY_H_
#define KUMQUATVALVE_REQUEST_FLOW_KEY_H_

#include <compare>
#include <cstddef>
#include <cstdint>

#include "kumquatvalve/request/endpoint.h"

namespace kumquatvalve::request {

/// The 5-tuple that identifies a flow, always from the caller's side, so that
/// packets of both directions have the same key.
struct FlowKey {
  Endpoint caller;
  Endpoint service;
  /// IPPROTO_TCP or IPPROTO_UDP.
  uint8_t protocol = 0;

  friend auto operator<=>(const FlowKey&, const FlowKey&) = default;
};

/// The key with caller and service exchanged.
FlowKey Reverse(const FlowKey& key);

/// Unkeyed hash for in-process tables, whose size must be bounded by other
/// means. Rows are chosen with the keyed hash of flow_hash.h instead.
struct FlowKeyHash {
  size_t operator()(const FlowKey& key) const;
};

}  // namespace kumquatvalve::request

#endif  // KUMQUATVALVE_REQUEST_FLOW_KEY_H_
