#ifndef KUMQUATVALVE_VERSION_PROCESS_SETTINGS_H_
#define KUMQUATVALVE_VERSION_PROCESS_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/flow_hash.h"
#include "kumquatvalve/request/ids.h"

namespace kumquatvalve::version {

/// What a process runs as: an entry instance or a sidecar.
enum class Role { kEntry, kSidecar };

/// Addresses of the platform's object API and limits for calls to it.
struct ObjectApiSettings {
  /// Base addresses, tried in order, for example "http://127.0.0.1:9000".
  std::vector<std::string> urls;
  /// File with the bearer token of each call; empty to send none.
  std::string token_file;
  /// Timeout of a call other than a watch (a long poll).
  std::chrono::milliseconds timeout{2000};
  /// Maximum rate of this process's calls, in calls per second; a pending watch
  /// counts as a call.
  double calls_per_second = 2;
};

/// Keys that all processes of a fleet share.
struct KeySettings {
  /// Key of the flow hash, which selects the row of a flow; must be the same in
  /// all processes.
  request::HashKey flow_hash{};
  /// Key of the authentication tag in forward headers; must be the same in all
  /// processes.
  request::HashKey forward{};
  /// CURVE key pair of the control channel in Z85; empty disables CURVE.
  std::string curve_public;
  std::string curve_secret;
  /// Public keys accepted in addition to `curve_public`, at most one; used
  /// while keys are rotated.
  std::vector<std::string> accepted_public;
};

/// Settings of a sidecar that concern its upstream.
struct UpstreamSettings {
  /// Endpoint at which the upstream receives packets, encapsulated in UDP.
  request::Endpoint data;
  /// HTTP endpoint at which the sidecar receives the upstream's announcements.
  request::Endpoint announce;
  /// Maximum number of open flows in the sidecar's flow table.
  uint32_t max_flows = 65536;
};

/// Settings of one `kumquatvalved` process, read at its start; docs/settings.md
/// lists those that can be changed while it runs.
struct ProcessSettings {
  Role role = Role::kEntry;
  request::InstanceName instance;
  request::AvailabilityZone availability_zone;
  request::Region region;
  /// UDP endpoint that receives packets from the fabric (entry) or from other
  /// processes of the fleet (sidecar).
  request::Endpoint data;
  /// TCP endpoint that receives control messages.
  request::Endpoint control;
  /// HTTP endpoint that serves /metrics, /healthz, /readyz and /status.
  request::Endpoint status;
  /// Endpoint of the fabric to which packets for callers are sent, encapsulated
  /// in UDP.
  request::Endpoint fabric;
  /// Control endpoints of some entry instances, used to join the fleet.
  std::vector<request::Endpoint> seeds;
  ObjectApiSettings object_api;
  KeySettings keys;
  /// Only for `Role::kSidecar`.
  std::optional<UpstreamSettings> upstream;
  /// Number of threads that forward packets, 1 to 64; 1 for a sidecar.
  uint32_t traffic_threads = 1;
  std::string log_format = "key_value";
  std::string log_level = "info";
  /// File to which trace spans are appended; empty disables tracing.
  std::string trace_file;
  /// Trace sampling: one packet out of this many is traced.
  uint32_t trace_one_in = 1000;
  /// Maximum time that a graceful shutdown waits for open flows to end.
  std::chrono::seconds drain_timeout{3600};
};

}  // namespace kumquatvalve::version

#endif  // KUMQUATVALVE_VERSION_PROCESS_SETTINGS_H_
