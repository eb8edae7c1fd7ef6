#ifndef KUMQUATVALVE_CONNECTION_PEER_MESSAGE_H_
#define KUMQUATVALVE_CONNECTION_PEER_MESSAGE_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "kumquatvalve/request/flow_key.h"
#include "kumquatvalve/request/ids.h"

namespace kumquatvalve::connection {

/// Which sidecar holds a flow.
struct FlowHolder {
  request::FlowKey flow;
  request::InstanceId holder;

  friend bool operator==(const FlowHolder&, const FlowHolder&) = default;
};

/// New owner to its peers: the sender claims these rows, which it owns by the
/// table with this version.
struct RowClaim {
  request::ServiceId service;
  request::TableVersion version;
  std::vector<request::RowIndex> rows;
};

/// Reply to a `RowClaim`: the rows that the sender cedes, and the flows of the
/// claimed rows that it holds or knows the holder of. A long reply is split
/// into parts.
struct RowHandover {
  request::ServiceId service;
  request::TableVersion version;
  std::vector<request::RowIndex> rows;
  std::vector<FlowHolder> flows;
  /// True in the last part, which completes the handover of the rows.
  bool last = true;
  /// True when the sender has a record of every flow of the rows whose SYN may
  /// have reached an upstream in the last 70 s. Otherwise the claimant refuses
  /// no flow for that time; see `RowOwnership::kNoRefusalPeriod`.
  bool history_complete = false;
};

/// Holder to owner: flows of the owner's rows that the sender holds.
struct HolderRegister {
  request::ServiceId service;
  std::vector<request::FlowKey> flows;
  /// True in the last message of a complete registration of all the sender's
  /// flows of the owner's rows.
  bool complete = false;
};

/// Holder to owner: registered flows that ended.
struct HolderWithdraw {
  request::ServiceId service;
  std::vector<request::FlowKey> flows;
};

/// Load of an upstream, measured by its sidecar from the traffic.
struct LoadReport {
  request::ServiceId service;
  /// Requests in progress and slots reserved for admitted flows.
  uint32_t busy = 0;
  /// Requests that the upstream may work on at once; 0 while draining.
  uint32_t limit = 0;
  /// First packets that are held until a slot is free.
  uint32_t waiting = 0;
};

/// Messages between the sidecars of one service.
using PeerMessage = std::variant<RowClaim, RowHandover, HolderRegister,
                                 HolderWithdraw, LoadReport>;

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_PEER_MESSAGE_H_
