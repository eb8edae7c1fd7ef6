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

/// The announcement of an upstream, as its sidecar registered it.
struct AnnouncedUpstream {
  request::InstanceName name;
  /// The service that the upstream announces itself for.
  ServicePath service;
  std::map<std::string, std::string> labels;
  /// Table entry with the announced weight and slots.
  UpstreamEntry entry;
};

/// True when the announcement names the service `path` and has all labels that
/// `spec.admit_labels` requires.
bool IsAdmitted(const ServicePath& path, const ServiceSpec& spec,
                const AnnouncedUpstream& upstream);

/// Returns the upstreams admitted to a service, sorted by instance. Weights,
/// slots and draining state in the service's settings override the announced
/// ones. When two upstreams announce the same data endpoint, the address was
/// reused, and only the one with the larger incarnation is admitted: packets
/// for the earlier one would reach the later one.
std::vector<UpstreamEntry> AdmittedUpstreams(
    const ServicePath& path, const ServiceSpec& spec,
    std::span<const AnnouncedUpstream> announced);

}  // namespace kumquatvalve::version

#endif  // KUMQUATVALVE_VERSION_ADMISSION_H_
