#ifndef KUMQUATVALVE_VERSION_NODE_SETTINGS_H_
#define KUMQUATVALVE_VERSION_NODE_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/version/process_settings.h"
#include "kumquatvalve/version/settings_reader.h"

namespace kumquatvalve::version {

/// Settings of a store-controlled sidecar that concern its upstream.
struct NodeUpstreamSettings {
  /// UDP endpoint at which the upstream receives packets.
  request::Endpoint packets;
  /// UDP endpoint at which the sidecar receives the packets that the upstream
  /// sends.
  request::Endpoint outbound;
  /// HTTP endpoint at which the sidecar receives the upstream's heartbeats.
  request::Endpoint announce;
  /// Service of the upstream. Heartbeats that name another one are rejected.
  request::ServiceName service;
  /// Time between the end of an upstream and the next use of its address, at
  /// least.
  std::chrono::milliseconds address_reuse{2000};
  /// First packets that a cold upstream may get in a second beyond those of its
  /// service's rate; empty when first packets are not limited.
  std::optional<double> warm_up_slack;
};

/// Settings of a process that gets its configuration from the platform's store.
struct NodeSettings {
  Role role = Role::kEntry;
  request::InstanceName instance;
  request::AvailabilityZone availability_zone;
  /// UDP endpoint that receives packets from the routers (entry) or hop
  /// messages from entry instances (sidecar).
  request::Endpoint packets;
  /// UDP endpoint that receives hop messages of sidecars; only for
  /// `Role::kEntry`.
  request::Endpoint hops;
  /// HTTP endpoint that serves /metrics, /healthz, /readyz and /status.
  request::Endpoint status;
  /// HTTP endpoint for queries of other entry instances, and for records of
  /// sidecars while the store does not serve them; only for `Role::kEntry`.
  std::optional<request::Endpoint> peer_listen;
  /// `peer_listen` endpoints of some entry instances; they may be out of date.
  std::vector<request::Endpoint> peers;
  /// Base address of the store, for example "http://127.0.0.1:9000".
  std::string store_url;
  /// Only for `Role::kSidecar`.
  std::optional<NodeUpstreamSettings> upstream;
  std::string log_level = "info";
  /// Maximum time between a termination signal and the exit of the process.
  std::chrono::milliseconds stop_timeout{6000};
  /// A configuration must be in force this long after the store accepted it;
  /// only for `Role::kEntry`.
  std::chrono::milliseconds configuration_apply_limit{3000};
  /// The evacuation of a zone must be in force this long after the store
  /// accepted it. Empty: evacuations are not followed. Only for `Role::kEntry`.
  std::optional<std::chrono::milliseconds> evacuation_apply_limit;
  /// Values of the platform that could not be used as they are, and what is
  /// used in their place.
  std::vector<SettingsError> adjustments;
};

/// A setting that the environment gives in place of the file, for deployments
/// whose settings template cannot leave a key out.
struct SettingOverride {
  /// Full key with its sections, for example "upstream.warm_up.slack".
  std::string_view key;
  /// Value as in a file; empty to keep what the file says.
  std::string value;
};

/// Reads and validates a settings file of a store-controlled process.
/// @param overrides validated as if the file had them.
/// @return nothing when the file has errors; all of them are appended to
///   `errors`.
std::optional<NodeSettings> LoadNodeSettings(
    const std::string& file, std::span<const SettingOverride> overrides,
    std::vector<SettingsError>* errors);

/// Like `LoadNodeSettings`, but from a text; `file` is the file name in errors.
std::optional<NodeSettings> ParseNodeSettings(
    const std::string& text, const std::string& file,
    std::vector<SettingsError>* errors,
    std::span<const SettingOverride> overrides = {});

}  // namespace kumquatvalve::version

#endif  // KUMQUATVALVE_VERSION_NODE_SETTINGS_H_
