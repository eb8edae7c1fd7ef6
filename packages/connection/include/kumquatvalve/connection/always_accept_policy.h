#ifndef KUMQUATVALVE_CONNECTION_ALWAYS_ACCEPT_POLICY_H_
#define KUMQUATVALVE_CONNECTION_ALWAYS_ACCEPT_POLICY_H_

#include <vector>

#include "kumquatvalve/connection/admission_policy.h"

namespace kumquatvalve::connection {

/// Admits every flow at the row's owner. For tests that do not concern load.
class AlwaysAcceptPolicy {
 public:
  Admission FirstPacket(const AdmissionRequest& /*request*/,
                        TimePoint /*now*/) {
    Admission admission;
    admission.kind = Admission::Kind::kAccept;
    return admission;
  }
  void OnRequest(const request::FlowKey& /*flow*/, TimePoint /*now*/) {}
  void OnResponseSegment(const request::FlowKey& /*flow*/, bool /*pushed*/,
                         TimePoint /*now*/) {}
  void OnResponseComplete(const request::FlowKey& /*flow*/, TimePoint /*now*/) {
  }
  void OnUpstreamRejected(const request::FlowKey& /*flow*/, TimePoint /*now*/) {
  }
  void OnFlowEnd(const request::FlowKey& /*flow*/, TimePoint /*now*/) {}
  void OnLoadReport(request::InstanceId /*from*/, const LoadReport& /*report*/,
                    TimePoint /*now*/) {}
  void OnPeerRemoved(request::InstanceId /*from*/, TimePoint /*now*/) {}
  void OnTable(const version::ForwardingTable& /*table*/, TimePoint /*now*/) {}
  void StartDrain(TimePoint /*now*/) {}
  void EndDrain(TimePoint /*now*/) {}
  std::vector<AddressedReport> MakeReports(TimePoint /*now*/) { return {}; }
};
static_assert(AdmissionPolicy<AlwaysAcceptPolicy>);

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_ALWAYS_ACCEPT_POLICY_H_
