#ifndef KUMQUATVALVE_VERSION_ADMISSION_H_
#define KUMQUATVALVE_VERSION_ADMISSION_H_

#include <map>
#include <span>
#include <string>
#include <vector>

#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/version/forwarding_table.h"
#include "kumquatvalve/version/service_spec.h"
#include "kumquatvalve/version/subtree.h"

namespace kumquatvalve::version {

/// What an upstream announced through its sidecar.
struct AnnouncedUpstream {
  request::InstanceName name;
  /// The service that it wants to serve.
  ServicePath service;
  std::map<std::string, std::string> labels;
  /// With the announced weight and slots.
  UpstreamEntry entry;
};

/// True when the announcement names the service and has all labels that the
/// service asks for.
bool IsAdmitted(const ServicePath& path, const ServiceSpec& spec,
                const AnnouncedUpstream& upstream);

/// The upstreams of a service, with the weights and slots of its settings,
/// sorted by instance. Of two that announce the same data endpoint only the
/// one with the larger incarnation is taken: the address was reused, and
/// packets for the earlier one would reach the later one.
std::vector<UpstreamEntry> AdmittedUpstreams(
    const ServicePath& path, const ServiceSpec& spec,
    std::span<const AnnouncedUpstream> announced);

}  // namespace kumquatvalve::version

#endif  // KUMQUATVALVE_VERSION_ADMISSION_H_
