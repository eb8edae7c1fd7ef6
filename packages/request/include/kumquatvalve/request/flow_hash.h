#ifndef KUMQUATVALVE_REQUEST_FLOW_HASH_H_
#define KUMQUATVALVE_REQUEST_FLOW_HASH_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

#include "kumquatvalve/request/flow_key.h"

namespace kumquatvalve::request {

/// A 256-bit secret key. Without it a caller cannot choose ports so that all
/// its flows fall into one row.
using HashKey = std::array<uint64_t, 4>;

/// HighwayHash of a flow under a secret key. All entry instances and sidecars
/// have the same key, so that they choose the same row.
uint64_t HashFlow(const HashKey& key, const FlowKey& flow);

/// HighwayHash of bytes under a secret key, used as authentication tag of
/// headers.
uint64_t HashBytes(const HashKey& key, std::span<const std::byte> bytes);

}  // namespace kumquatvalve::request

#endif  // KUMQUATVALVE_REQUEST_FLOW_HASH_H_
