#ifndef APPS_KUMQUATVALVED_FLEET_H_
#define APPS_KUMQUATVALVED_FLEET_H_

#include <string>

namespace kumquatvalve::daemon {

/// Command line of a process that is controlled by the fleet's own relays.
struct FleetOptions {
  /// "entry" or "sidecar"; empty to take the one in the settings.
  std::string role;
  std::string settings_path;
  /// JSON file with tables and members; empty to use the control channel.
  std::string tables_path;
};

/// Runs an entry instance or a sidecar until a termination signal.
/// @return the exit status of the process.
int RunFleet(const FleetOptions& options);

}  // namespace kumquatvalve::daemon

#endif  // APPS_KUMQUATVALVED_FLEET_H_
