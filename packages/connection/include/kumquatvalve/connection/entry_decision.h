#ifndef KUMQUATVALVE_CONNECTION_ENTRY_DECISION_H_
#define KUMQUATVALVE_CONNECTION_ENTRY_DECISION_H_

#include <array>
#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "kumquatvalve/connection/placement_subset.h"
#include "kumquatvalve/request/flow_key.h"
#include "kumquatvalve/request/hop_message.h"
#include "kumquatvalve/request/packet.h"
#include "kumquatvalve/version/route_map.h"

namespace kumquatvalve::connection {

/// Why an entry instance decided as it did about a flow; for logs and counters.
enum class EntryVerdict : uint8_t {
  /// A new flow was sent to an upstream.
  kPlaced,
  /// A new flow was sent to another upstream after the first one returned it or
  /// became unresponsive.
  kPlacedAgain,
  /// No route has the address.
  kNoRoute,
  /// The route has no upstream that accepts new flows.
  kNoUpstream,
  /// The expected wait for a slot exceeds the route's timeout.
  kOverloaded,
  /// Every upstream that was tried returned the flow.
  kNotTaken,
  /// A lookup found the holder of a flow that was not in this instance's table.
  kLocated,
  /// The lookup ended without a result: no sidecar holds the flow, or replies
  /// were missing when it timed out.
  kNotLocated,
  /// The route of an open flow was removed.
  kRouteRemoved,
  /// No upstream holds the open flow any more; its caller gets a reset.
  kFlowLost,
  /// A packet of an open flow has no route. The routes are read again before
  /// the flow is reset, since another instance may know a newer version.
  kRouteUnknown,
  /// Every upstream of the service has reported that it cannot serve a new flow
  /// within the route's timeout.
  kServiceFull,
};

inline constexpr size_t kEntryVerdicts = 12;

constexpr std::string_view Name(EntryVerdict verdict) {
  constexpr std::array<std::string_view, kEntryVerdicts> kNames = {
      "placed",        "placed_again", "no_route",      "no_upstream",
      "overloaded",    "not_taken",    "located",       "not_located",
      "route_removed", "flow_lost",    "route_unknown", "service_full"};
  return kNames[static_cast<size_t>(verdict)];
}

/// A decision about a flow with the inputs that led to it.
struct EntryDecision {
  EntryVerdict verdict = EntryVerdict::kPlaced;
  request::FlowKey flow;
  /// Null when no route has the address.
  const version::Route* route = nullptr;
  /// The chosen sidecar, if any.
  std::optional<request::Endpoint> sidecar;
  /// Age of the load report that the placement used.
  std::chrono::milliseconds report_age{0};
  /// Expected wait for a slot at the chosen upstream.
  std::chrono::microseconds expected_wait{0};
  SubsetUse subset_use = SubsetUse::kNone;
  /// Store revision of the routes in force.
  request::TableVersion route_revision;
  request::ReturnReason reason = request::ReturnReason::kNone;
  /// The flow was refused while the only upstreams left for it are in evacuated
  /// zones.
  bool zone_evacuated = false;
};

/// The effects of an entry router, implemented by the process around it.
template <typename S>
concept EntrySink = requires(S sink, const request::Endpoint& to,
                             const request::HopMessage& message,
                             std::span<const std::byte> packet,
                             const request::ParsedPacket& parsed,
                             const version::UpstreamRecord& record,
                             const EntryDecision& decision) {
  // Sends a message, followed by a packet or nothing, to a sidecar.
  sink.Send(to, message, packet);
  // Resets the flow of a caller's packet.
  sink.Reset(parsed);
  // Parses the bytes of a packet; empty for a malformed one.
  { sink.Parse(packet) } -> std::same_as<std::optional<request::ParsedPacket>>;
  // Starts to read the upstream records from the store; the result arrives
  // through `OnUpstreamRecords`.
  sink.RefreshRecords();
  // Makes a new call for changes of the upstream records in place of the one
  // that waits at the store, whose connection may deliver nothing any more.
  sink.RenewRecordWatch();
  // Starts to read the routes from the store; the result arrives through
  // `OnRoutes`, if it is newer, and `OnRoutesComplete`.
  sink.RefreshRoutes();
  // Asks other entry instances for records that the store may have lost;
  // `SetPeersAsked` is called with the result.
  sink.AskPeers();
  // Removes the record of an upstream on a dead machine from the store.
  sink.RemoveRecord(record);
  sink.RecordDecision(decision);
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_ENTRY_DECISION_H_
