#ifndef KUMQUATVALVE_CONNECTION_UPSTREAM_SET_H_
#define KUMQUATVALVE_CONNECTION_UPSTREAM_SET_H_

#include <map>
#include <span>
#include <vector>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/connection/upstream_view.h"
#include "kumquatvalve/connection/zone_evacuation.h"
#include "kumquatvalve/request/hop_message.h"
#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/version/route_map.h"

namespace kumquatvalve::connection {

/// The upstreams that an entry instance knows, by the address of their
/// sidecars.
class UpstreamSet {
 public:
  /// @param zone the availability zone of the entry instance.
  explicit UpstreamSet(request::AvailabilityZone zone);

  /// Replaces the records and keeps the state of upstreams whose incarnation is
  /// unchanged. An upstream whose record is missing is kept while its sidecar
  /// is alive and reports no drain: the store may have lost the record, and
  /// open flows of the upstream still have to be found.
  /// @return the sidecars that were not known as ones of their service before.
  std::vector<request::Endpoint> Replace(
      std::span<const version::UpstreamRecord> records, TimePoint now);

  /// Removes upstreams without a record whose sidecars are presumed dead or
  /// report a drain.
  void ExpireUnlisted(TimePoint now);

  /// Null when no upstream has the sidecar.
  UpstreamView* Find(const request::Endpoint& sidecar);
  const UpstreamView* Find(const request::Endpoint& sidecar) const;

  /// Replaces the evacuated zones.
  void SetEvacuatedZones(EvacuatedZones zones);
  const EvacuatedZones& evacuated_zones() const { return evacuated_zones_; }
  /// Whether the upstream's zone is evacuated, so that it gets no new flows.
  bool IsEvacuated(const UpstreamView& view) const;

  /// The upstreams of a service that accept new flows and are not excluded;
  /// when there are none, those that accept them as a last resort. Upstreams of
  /// evacuated zones are left out in both cases, and cold ones that may get no
  /// more first packets while there are others.
  std::vector<UpstreamView*> Candidates(
      request::ServiceTag service, std::span<const request::Endpoint> excluded,
      TimePoint now);

  /// Whether an upstream of the service would accept new flows as a last resort
  /// if its zone were not evacuated.
  bool HasEvacuatedCandidate(request::ServiceTag service,
                             std::span<const request::Endpoint> excluded,
                             TimePoint now) const;

  /// The sidecars of all upstreams of these services, also of those that accept
  /// no new flows.
  std::vector<request::Endpoint> SidecarsForServices(
      std::span<const request::ServiceTag> services) const;

  std::map<request::Endpoint, UpstreamView>& views() { return views_; }
  const std::map<request::Endpoint, UpstreamView>& views() const {
    return views_;
  }

 private:
  request::AvailabilityZone zone_;
  std::map<request::Endpoint, UpstreamView> views_;
  EvacuatedZones evacuated_zones_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_UPSTREAM_SET_H_
