#ifndef KUMQUATVALVE_PROCESS_FLEET_VIEW_H_
#define KUMQUATVALVE_PROCESS_FLEET_VIEW_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "kumquatvalve/process/object_api.h"
#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/request/result_code.h"
#include "kumquatvalve/version/subtree.h"

namespace kumquatvalve::process {

/// One member as the summary `/members/<zone>` of its zone shows it.
struct MemberView {
  request::InstanceName instance;
  request::AvailabilityZone zone;
  request::Region region;
  /// "entry" or "sidecar".
  std::string role;
  /// "alive", "suspected", "dead" or "left".
  std::string state;
  request::Incarnation incarnation;
  /// Store revision up to which everything is applied there.
  request::TableVersion applied_version;
  uint64_t open_flows = 0;
  /// Only for sidecars whose upstream announced itself.
  std::optional<version::ServicePath> service;
  bool draining = false;
};

/// The members that a summary object names.
/// @return nothing and `kBadAnswer` when it cannot be read.
std::optional<std::vector<MemberView>> ParseZoneSummary(
    const StoredObject& object, request::Failure* failure);

/// How far a version is in force.
struct InForce {
  uint32_t confirmed = 0;
  uint32_t expected = 0;
  /// Instances that have not confirmed it, in the order of the members.
  std::vector<request::InstanceName> missing;

  bool everywhere() const { return confirmed == expected && expected != 0; }
};

/// Counts the members that have applied store revision `version`: all living
/// entry instances and the living sidecars of the service.
InForce CountInForce(std::span<const MemberView> members,
                     const version::ServicePath& service,
                     request::TableVersion version);

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_FLEET_VIEW_H_
