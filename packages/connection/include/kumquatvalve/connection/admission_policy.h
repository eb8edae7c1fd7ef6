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

/// Time since an arbitrary start; the same clock for all calls of an object.
using TimePoint = std::chrono::steady_clock::time_point;

/// What to do with the first packet of a flow.
struct Admission {
  enum class Kind {
    /// The flow is taken here and a slot is reserved for it.
    kAccept,
    /// The first packet waits here. Ask again, in the order of arrival, when
    /// `retry_at` has come and after each call of
    /// OnAnswerSegment with `pushed`, OnAnswerComplete, OnUpstreamRefused,
    /// OnFlowEnd, OnLoadReport, OnPeerGone, OnTable and
    /// StartDrain. OnFlowEnd tells that a held packet's caller is gone.
    kHold,
    /// The first packet goes to the sidecar `pass_to`.
    kPass,
    /// The flow is refused; nothing of it reached an upstream.
    kRefuse,
  };

  Kind kind = Kind::kRefuse;
  request::InstanceId pass_to;
  TimePoint retry_at;
};

/// What is known about the first packet that asks for admission.
struct AdmissionRequest {
  request::FlowKey flow;
  /// Sidecars that passed this packet on so far.
  uint8_t passed = 0;
  /// When this sidecar first saw the packet.
  TimePoint arrived;
};

/// A load report and the sidecar that it goes to.
struct AddressedReport {
  request::InstanceId to;
  LoadReport report;
};

/// Decides which sidecar takes a new flow, from the traffic of its own upstream
/// and the load reports of its peers.
template <typename P>
concept AdmissionPolicy = requires(P policy, const P const_policy,
                                   const AdmissionRequest& request,
                                   const request::FlowKey& flow,
                                   request::InstanceId from,
                                   const LoadReport& report, bool pushed,
                                   const version::ForwardingTable& table,
                                   TimePoint now) {
  { policy.FirstPacket(request, now) } -> std::same_as<Admission>;
  // The first payload byte of a request came from the caller.
  policy.OnRequest(flow, now);
  // A response segment with payload went to the caller; `pushed` when it has
  // PSH or FIN, so that the upstream may be done before the caller acknowledged
  // everything.
  policy.OnResponseSegment(flow, pushed, now);
  // The upstream's response to the request is complete and acknowledged.
  policy.OnResponseComplete(flow, now);
  // The upstream reset a flow that had no response yet.
  policy.OnUpstreamRejected(flow, now);
  // The flow ended in any way; frees what it holds.
  policy.OnFlowEnd(flow, now);
  policy.OnLoadReport(from, report, now);
  // A peer left or died; its load is unknown from now on.
  policy.OnPeerRemoved(from, now);
  // A table is in force: names the peers, their zones and all slots.
  policy.OnTable(table, now);
  policy.StartDrain(now);
  // An operator took a drain back.
  policy.EndDrain(now);
  // The reports to send now; call after each event and on each tick. The policy
  // keeps them inside its share of the control budget.
  { policy.MakeReports(now) } -> std::same_as<std::vector<AddressedReport>>;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_ADMISSION_POLICY_H_
