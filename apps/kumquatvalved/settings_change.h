#ifndef KUMQUATVALVE_APPS_KUMQUATVALVED_SETTINGS_CHANGE_H_
#define KUMQUATVALVE_APPS_KUMQUATVALVED_SETTINGS_CHANGE_H_

#include <string>
#include <vector>

#include "kumquatvalve/version/process_settings.h"

namespace kumquatvalve::daemon {

/// The keys that differ between the settings in force and a reloaded file.
struct SettingsChange {
  /// Changed keys that take effect at once.
  std::vector<std::string> applied;
  /// Changed keys that take effect at the next start.
  std::vector<std::string> needs_restart;
};

/// Compares the settings in force with those of a reloaded file.
SettingsChange CompareSettings(const version::ProcessSettings& before,
                               const version::ProcessSettings& after);

}  // namespace kumquatvalve::daemon

#endif  // KUMQUATVALVE_APPS_KUMQUATVALVED_SETTINGS_CHANGE_H_
