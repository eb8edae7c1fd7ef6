#ifndef KUMQUATVALVE_CONNECTION_UPSTREAM_SET_H_
#define KUMQUATVALVE_CONNECTION_UPSTREAM_SET_H_

#include <map>
#include <span>
#include <vector>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/connection/upstream_view.h"
#include "kumquatvalve/request/hop_message.h"
#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/version/route_map.h"

namespace kumquatvalve::connection {

/// The upstreams that an entry instance knows of, by the address of their
/// sidecars.
class UpstreamSet {
 public:
  /// @param zone the availability zone of the entry instance.
  explicit UpstreamSet(request::AvailabilityZone zone);

  /// Replaces the records; what was learned about upstreams that are still the
  /// same is kept. An upstream whose record is missing stays known while its
  /// sidecar lives and does not say that it leaves: the store may have lost the
  /// record, and its open flows have to be found.
  void Replace(std::span<const version::UpstreamRecord> records, TimePoint now);

  /// Forgets upstreams without a record whose sidecars are gone or leave.
  void Expire(TimePoint now);

  /// Null when no upstream has the sidecar.
  UpstreamView* Find(const request::Endpoint& sidecar);
  const UpstreamView* Find(const request::Endpoint& sidecar) const;

  /// Upstreams of a service that may take a new flow and are not excluded; when
  /// there are none, those that may take it as a last resort.
  std::vector<UpstreamView*> Takers(request::ServiceTag service,
                                    std::span<const request::Endpoint> excluded,
                                    TimePoint now);

  /// Sidecars of all upstreams of these services.
  std::vector<request::Endpoint> SidecarsOf(
      std::span<const request::ServiceTag> services) const;

  std::map<request::Endpoint, UpstreamView>& views() { return views_; }
  const std::map<request::Endpoint, UpstreamView>& views() const {
    return views_;
  }

 private:
  request::AvailabilityZone zone_;
  std::map<request::Endpoint, UpstreamView> views_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_UPSTREAM_SET_H_
