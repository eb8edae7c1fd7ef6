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

/// One member as listed in the summary object `/members/<zone>` of its zone.
struct MemberView {
  request::InstanceName instance;
  request::AvailabilityZone zone;
  request::Region region;
  /// "entry" or "sidecar".
  std::string role;
  /// "alive", "suspected", "dead" or "left".
  std::string state;
  request::Incarnation incarnation;
  /// Store revision up to which the member has applied all changes.
  request::TableVersion applied_version;
  uint64_t open_flows = 0;
  /// Set only for sidecars whose upstream announced itself.
  std::optional<version::ServicePath> service;
  bool draining = false;
};

/// Parses the members listed in a summary object.
/// @return nothing and `kBadAnswer` when the body cannot be parsed.
std::optional<std::vector<MemberView>> ParseZoneSummary(
    const StoredObject& object, request::Failure* failure);

/// How many of the members that need a version have applied it.
struct InForce {
  uint32_t confirmed = 0;
  uint32_t expected = 0;
  /// Instances that have not applied the version, in the order of the members.
  std::vector<request::InstanceName> missing;

  /// True when at least one member needs the version and none lacks it.
  bool everywhere() const { return confirmed == expected && expected != 0; }
};

/// Counts the members that have applied store revision `version`, out of all
/// entry instances and the sidecars of the service that are alive or suspected.
InForce CountInForce(std::span<const MemberView> members,
                     const version::ServicePath& service,
                     request::TableVersion version);

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_FLEET_VIEW_H_
