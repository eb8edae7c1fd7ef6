#ifndef APPS_KUMQUATVALVED_FLEET_H_
#define APPS_KUMQUATVALVED_FLEET_H_

#include <string>

namespace kumquatvalve::daemon {

/// Command line options of a process that is controlled by the fleet's own
/// relays.
struct FleetOptions {
  /// Expected role, "entry" or "sidecar"; empty to accept the role in the
  /// settings.
  std::string role;
  std::string settings_path;
  /// JSON file with forwarding tables and members; empty to receive them over
  /// the control channel.
  std::string tables_path;
};

/// Runs an entry instance or a sidecar until a termination signal; errors at
/// start go to standard error.
/// @return the exit status of the process.
int RunFleet(const FleetOptions& options);

}  // namespace kumquatvalve::daemon

#endif  // APPS_KUMQUATVALVED_FLEET_H_
