#ifndef KUMQUATVALVE_VERSION_NODE_SETTINGS_H_
#define KUMQUATVALVE_VERSION_NODE_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/version/process_settings.h"
#include "kumquatvalve/version/settings_reader.h"

namespace kumquatvalve::version {

/// What a sidecar that is controlled through the store knows about its
/// upstream.
struct NodeUpstreamSettings {
  /// Where the upstream takes packets.
  request::Endpoint packets;
  /// Takes the packets that the upstream sends.
  request::Endpoint outbound;
  /// Takes the upstream's heartbeats, HTTP.
  request::Endpoint announce;
  /// Service of the upstream until it names one itself.
  request::ServiceName service;
};

/// Settings of a process that is controlled through the store.
struct NodeSettings {
  Role role = Role::kEntry;
  request::InstanceName instance;
  request::AvailabilityZone availability_zone;
  /// Takes packets from the routers (entry) or hop messages (sidecar).
  request::Endpoint packets;
  /// Takes hop messages of sidecars; only for `Role::kEntry`.
  request::Endpoint hops;
  /// Serves /metrics, /healthz, /readyz and /status over HTTP.
  request::Endpoint status;
  /// Takes questions of entry instances and records of sidecars that the store
  /// does not serve, HTTP; only for `Role::kEntry`.
  std::optional<request::Endpoint> peer_listen;
  /// Where some entry instances take them; they may be stale.
  std::vector<request::Endpoint> peers;
  /// Base address of the store, for example "http://127.0.0.1:9000".
  std::string store_url;
  /// Only for `Role::kSidecar`.
  std::optional<NodeUpstreamSettings> upstream;
  std::string log_level = "info";
  /// Longest time between a termination signal and the end of the process.
  std::chrono::seconds stop_timeout{6};
};

/// Reads and checks the settings of a process controlled through the store.
/// @return nothing when there was any fault; `errors` has all of them.
std::optional<NodeSettings> LoadNodeSettings(
    const std::string& file, std::vector<SettingsError>* errors);

/// The same from a text; `file` stands in errors.
std::optional<NodeSettings> ParseNodeSettings(
    const std::string& text, const std::string& file,
    std::vector<SettingsError>* errors);

}  // namespace kumquatvalve::version

#endif  // KUMQUATVALVE_VERSION_NODE_SETTINGS_H_
