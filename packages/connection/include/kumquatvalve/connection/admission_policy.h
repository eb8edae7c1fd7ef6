#ifndef KUMQUATVALVE_CONNECTION_ADMISSION_POLICY_H_
#define KUMQUATVALVE_CONNECTION_ADMISSION_POLICY_H_

#include <chrono>
#include <concepts>
#include <cstdint>
#include <vector>

#include "kumquatvalve/connection/peer_message.h"
#include "kumquatvalve/request/flow_key.h"
#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/version/forwarding_table.h"

namespace kumquatvalve::connection {

/// Monotonic time; all calls of one object must use the same clock.
using TimePoint = std::chrono::steady_clock::time_point;

/// What to do with the first packet of a flow.
struct Admission {
  enum class Kind {
    /// The flow is admitted here and a slot is reserved for it.
    kAccept,
    /// The first packet is held here. The router calls FirstPacket again, in
    /// the order of arrival, at `retry_at` and after each call of
    /// OnResponseSegment with `pushed`, OnResponseComplete, OnUpstreamRejected,
    /// OnFlowEnd, OnLoadReport, OnPeerRemoved, OnTable and StartDrain. For a
    /// held packet that is dropped it calls OnFlowEnd.
    kHold,
    /// The first packet is passed on to the sidecar `pass_to`.
    kPass,
    /// The flow is refused; none of its packets reached an upstream.
    kRefuse,
  };

  Kind kind = Kind::kRefuse;
  request::InstanceId pass_to;
  TimePoint retry_at;
};

/// The first packet of a flow, for which a policy decides on admission.
struct AdmissionRequest {
  request::FlowKey flow;
  /// How many sidecars passed this packet on so far.
  uint8_t passed = 0;
  /// When this sidecar received the packet first.
  TimePoint arrived;
};

/// A load report and its recipient.
struct AddressedReport {
  request::InstanceId to;
  LoadReport report;
};

/// Decides whether a sidecar admits, holds, passes on or refuses a new flow,
/// from the traffic of its own upstream and the load reports of its peers.
template <typename P>
concept AdmissionPolicy = requires(P policy, const P const_policy,
                                   const AdmissionRequest& request,
                                   const request::FlowKey& flow,
                                   request::InstanceId from,
                                   const LoadReport& report, bool pushed,
                                   const version::ForwardingTable& table,
                                   TimePoint now) {
  // Decides on a first packet, also again on one that is held.
  { policy.FirstPacket(request, now) } -> std::same_as<Admission>;
  // The caller sent the first payload byte of a request.
  policy.OnRequest(flow, now);
  // A response segment went to the caller. `pushed` is set when it has PSH or
  // FIN: then the upstream may have finished before the caller acknowledged
  // everything.
  policy.OnResponseSegment(flow, pushed, now);
  // The upstream's response to the request is complete and acknowledged.
  policy.OnResponseComplete(flow, now);
  // The upstream reset a half-open flow.
  policy.OnUpstreamRejected(flow, now);
  // The flow ended for any reason; its slot or its place in the queue is freed.
  policy.OnFlowEnd(flow, now);
  // A peer's load report arrived.
  policy.OnLoadReport(from, report, now);
  // A peer left or died; its load is unknown from now on.
  policy.OnPeerRemoved(from, now);
  // A new table is in force, with the peers, their zones and all slots.
  policy.OnTable(table, now);
  // From now on no new flow is admitted.
  policy.StartDrain(now);
  // An operator cancelled a drain.
  policy.EndDrain(now);
  // Returns the reports to send now, within the policy's share of the control
  // budget. To be called after each event and on each tick.
  { policy.MakeReports(now) } -> std::same_as<std::vector<AddressedReport>>;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_ADMISSION_POLICY_H_
