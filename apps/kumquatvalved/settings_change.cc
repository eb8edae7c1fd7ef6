#include "settings_change.h"

namespace kumquatvalve::daemon {

SettingsChange CompareSettings(const version::ProcessSettings& before,
                               const version::ProcessSettings& after) {
  SettingsChange change;
  const auto append_if_changed = [](bool unchanged, const char* key,
                                    std::vector<std::string>* keys) {
    if (!unchanged) {
      keys->emplace_back(key);
    }
  };
  append_if_changed(before.drain_timeout == after.drain_timeout,
                    "drain_timeout", &change.applied);
  auto* restart_keys = &change.needs_restart;
  append_if_changed(before.instance == after.instance, "instance",
                    restart_keys);
  append_if_changed(before.availability_zone == after.availability_zone,
                    "availability_zone", restart_keys);
  append_if_changed(before.region == after.region, "region", restart_keys);
  append_if_changed(before.data == after.data, "data", restart_keys);
  append_if_changed(before.control == after.control, "control", restart_keys);
  append_if_changed(before.status == after.status, "status", restart_keys);
  append_if_changed(before.fabric == after.fabric, "fabric", restart_keys);
  append_if_changed(before.keys.flow_hash == after.keys.flow_hash &&
                        before.keys.forward == after.keys.forward,
                    "keys", restart_keys);
  append_if_changed(before.traffic_threads == after.traffic_threads,
                    "traffic_threads", restart_keys);
  append_if_changed(before.trace_file == after.trace_file &&
                        before.trace_one_in == after.trace_one_in,
                    "trace", restart_keys);
  append_if_changed(before.log_format == after.log_format &&
                        before.log_level == after.log_level,
                    "log", restart_keys);
  return change;
}

}  // namespace kumquatvalve::daemon
