#ifndef KUMQUATVALVE_REQUEST_ROUTE_DECISION_H_
#define KUMQUATVALVE_REQUEST_ROUTE_DECISION_H_

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <type_traits>

#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/flow_hash.h"
#include "kumquatvalve/request/forward_header.h"
#include "kumquatvalve/request/holder_hint.h"
#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/request/packet.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::request {

/// A sidecar according to the forwarding table and the membership view.
struct RouteTarget {
  InstanceId instance;
  /// The newest incarnation that is known.
  Incarnation incarnation;
  Endpoint data;
  /// Membership says that the instance is dead or has left.
  bool dead = false;
};

/// A service's forwarding table.
template <typename R>
concept RouteRows = requires(const R& rows, uint64_t flow_hash, RowIndex row,
                             size_t index) {
  { rows.service() } -> std::convertible_to<ServiceId>;
  { rows.version() } -> std::convertible_to<TableVersion>;
  { rows.RowOf(flow_hash) } -> std::convertible_to<RowIndex>;
  // Null when the row has no owner or no backup.
  { rows.Owner(row) } -> std::convertible_to<const RouteTarget*>;
  { rows.Backup(row) } -> std::convertible_to<const RouteTarget*>;
  // An upstream by its index in the service's list, null beyond the list.
  { rows.Upstream(index) } -> std::convertible_to<const RouteTarget*>;
};

/// An immutable snapshot of all forwarding tables, the input of a routing
/// decision.
template <typename T>
concept TableView = requires(const T& tables, const Endpoint& service,
                             uint8_t protocol) {
  { tables.self() } -> std::convertible_to<InstanceId>;
  { tables.flow_hash_key() } -> std::convertible_to<const HashKey&>;
  requires RouteRows<
      std::remove_cvref_t<decltype(*tables.Find(service, protocol))>>;
};

/// Where to send a caller's packet.
struct RouteDecision {
  /// `kOk`, or why the packet is dropped: `kNoService`, `kNoUpstream`.
  ResultCode code = ResultCode::kNoUpstream;
  ForwardHeader header;
  /// The data endpoint of `header.target`.
  Endpoint to;
  /// Keyed hash of the flow, 0 when no service has the address.
  uint64_t flow_hash = 0;
};

/// Chooses the sidecar for a caller's packet: the owner of the flow's row or,
/// while membership has the owner as dead, the row's backup. When both are
/// dead, the packet goes to the owner, since membership may be wrong and no
/// other sidecar can know the flow. A packet after the first whose timestamp
/// echo names a holder that is alive goes directly there; a holder that does
/// not know the flow forwards it to the owner.
template <TableView T>
RouteDecision DecideRoute(const T& tables, const ParsedPacket& packet) {
  RouteDecision decision;
  const auto* rows = tables.Find(packet.flow.service, packet.flow.protocol);
  if (rows == nullptr) {
    decision.code = ResultCode::kNoService;
    return decision;
  }
  decision.flow_hash = HashFlow(tables.flow_hash_key(), packet.flow);
  const RowIndex row = rows->RowOf(decision.flow_hash);
  const RouteTarget* target = rows->Owner(row);
  decision.header.flags = kToOwner;
  if (target == nullptr || target->dead) {
    const RouteTarget* backup = rows->Backup(row);
    if (backup != nullptr && (!backup->dead || target == nullptr)) {
      target = backup;
      decision.header.flags = kOwnerFailed;
    }
  }
  if (!packet.IsFirst() && packet.ts_echo) {
    const std::optional<size_t> hint = DecodeHolderHint(*packet.ts_echo);
    const RouteTarget* holder = hint ? rows->Upstream(*hint) : nullptr;
    if (holder != nullptr && holder != target && !holder->dead) {
      target = holder;
      decision.header.flags = kHinted;
    }
  }
  if (target == nullptr) {
    return decision;
  }
  decision.code = ResultCode::kOk;
  decision.header.hops = 1;
  decision.header.row = row;
  decision.header.service = rows->service();
  decision.header.version = rows->version();
  decision.header.sender = tables.self();
  decision.header.target = target->instance;
  decision.header.target_incarnation = target->incarnation;
  decision.to = target->data;
  return decision;
}

}  // namespace kumquatvalve::request

#endif  // KUMQUATVALVE_REQUEST_ROUTE_DECISION_H_
