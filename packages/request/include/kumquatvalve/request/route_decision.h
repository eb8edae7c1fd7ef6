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

/// A sidecar as a forwarding table and the membership view name it.
struct RouteTarget {
  InstanceId instance;
  /// The newest incarnation that is known.
  Incarnation incarnation;
  Endpoint data;
  /// Membership says that the instance is dead or has left.
  bool dead = false;
};

/// The rows of one service.
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

/// What a routing decision needs to know: one immutable snapshot.
template <typename T>
concept TableView = requires(const T& tables, const Endpoint& service,
                             uint8_t protocol) {
  { tables.self() } -> std::convertible_to<InstanceId>;
  { tables.flow_hash_key() } -> std::convertible_to<const HashKey&>;
  requires RouteRows<
      std::remove_cvref_t<decltype(*tables.Find(service, protocol))>>;
};

/// Where a packet of a caller goes.
struct RouteDecision {
  /// `kOk`, or why the packet is dropped: `kNoService`, `kNoUpstream`.
  ResultCode code = ResultCode::kNoUpstream;
  ForwardHeader header;
  /// The data endpoint of `header.target`.
  Endpoint to;
  /// Keyed hash of the flow, 0 when no service has the address.
  uint64_t flow_hash = 0;
};

/// Chooses the sidecar for a packet from a caller: the owner of the flow's row
/// or, while membership says that the owner is dead, the row's backup. A dead
/// owner without a living backup still gets the packet, since membership may
/// be wrong and nobody else can know the flow. A later packet whose timestamp
/// echo names a living holder goes there directly; a holder that does not know
/// the flow sends it on to the owner.
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
