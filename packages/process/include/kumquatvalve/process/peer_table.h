#ifndef KUMQUATVALVE_PROCESS_PEER_TABLE_H_
#define KUMQUATVALVE_PROCESS_PEER_TABLE_H_

#include <cstdint>
#include <unordered_map>

#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/ids.h"

namespace kumquatvalve::process {

/// State of an instance according to membership, in the order in which the
/// states follow each other.
enum class PeerState : uint8_t { kAlive, kSuspected, kDead, kLeft };

struct PeerInfo {
  request::Incarnation incarnation;
  PeerState state = PeerState::kAlive;
  /// Endpoint at which a sidecar receives forwarded packets (UDP).
  request::Endpoint data;

  friend bool operator==(const PeerInfo&, const PeerInfo&) = default;
};

/// All instances that membership has reported, dead ones included; the control
/// thread publishes a new table for each change.
using PeerTable = std::unordered_map<request::InstanceId, PeerInfo>;

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_PEER_TABLE_H_
