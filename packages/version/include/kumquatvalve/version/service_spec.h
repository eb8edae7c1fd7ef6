#ifndef KUMQUATVALVE_VERSION_SERVICE_SPEC_H_
#define KUMQUATVALVE_VERSION_SERVICE_SPEC_H_

#include <yaml-cpp/yaml.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/request/result_code.h"
#include "kumquatvalve/version/service_table.h"
#include "kumquatvalve/version/settings_reader.h"
#include "kumquatvalve/version/subtree.h"
#include "kumquatvalve/version/table_builder.h"

namespace kumquatvalve::version {

/// Parses a service address such as "127.0.0.1:80/tcp" or "[::1]:53/udp".
/// @return nothing and `kBadAddress` for any other text.
std::optional<ServiceAddress> ParseServiceAddress(std::string_view text,
                                                  request::Failure* failure);

/// Writes an address in the form that `ParseServiceAddress` reads.
std::string ToString(const ServiceAddress& address);

/// Which peers new flows are passed on to first.
enum class ZonePreference { kNone, kSameZone };

/// Idle time, interval and number of the probes that detect half-open flows.
struct SilentProbeSpec {
  /// An open flow without packets for this long is probed.
  std::chrono::milliseconds idle{60000};
  /// Interval between the probes of a flow.
  std::chrono::milliseconds interval{2000};
  /// Number of unanswered probes after which a flow is ended.
  uint32_t count = 5;

  friend bool operator==(const SilentProbeSpec&,
                         const SilentProbeSpec&) = default;
};

/// Settings of a service; docs/settings.md describes the keys.
struct ServiceSpec {
  std::vector<ServiceAddress> addresses;
  /// Labels that an announcement must have for its upstream to be admitted.
  std::map<std::string, std::string> admit_labels;
  /// Slots of each upstream; 0 to use the announced number.
  uint32_t slots = 0;
  /// Weights that override the announced ones, by instance.
  std::map<request::InstanceName, uint32_t> weights;
  /// Instances that an operator has set to drain.
  std::set<request::InstanceName> draining;
  uint32_t rows = kDefaultRows;
  /// Maximum number of first packets that wait in a sidecar's queue.
  uint32_t max_waiting = 128;
  /// Queue timeout: the maximum time that a first packet waits.
  std::chrono::milliseconds deadline{900};
  /// Retried connects that are admitted, as a fraction of first connects.
  double retry_budget = 0.2;
  /// Whether new flows are passed on to peers of the same availability zone
  /// first.
  ZonePreference zone_preference = ZonePreference::kNone;
  SilentProbeSpec silent_probe;

  friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

/// The last change of a stored service and who made it. The operator's client
/// chooses the id before the write; when the response is lost, it reads the
/// object and compares the id to find out whether the write took effect.
struct Operation {
  std::string id;
  /// RFC 3339 time of the operator's clock; for display only, never compared.
  std::string time;
  /// Name of the operator.
  std::string by;

  friend bool operator==(const Operation&, const Operation&) = default;
};

/// An earlier accepted change of a stored service.
struct EarlierOperation {
  std::string id;
  request::TableVersion version;

  friend bool operator==(const EarlierOperation&,
                         const EarlierOperation&) = default;
};

/// Maximum number of earlier operations in a stored service. A client that lost
/// the response to its write finds the write among them, unless more changes
/// than this were made before it could read the object.
inline constexpr size_t kMaxEarlierOperations = 16;

/// A service in the form in which the store keeps it.
struct StoredService {
  ServicePath path;
  ServiceSpec spec;
  Operation operation;
  /// Store revision at which the service was created. 0 in the object's first
  /// version, where it equals the version of the object.
  request::ServiceId created;
  /// Oldest first, at most `kMaxEarlierOperations`.
  std::vector<EarlierOperation> earlier;

  /// Returns the service's id, the store revision at which it was created.
  /// @param version version of the stored object.
  request::ServiceId Id(request::TableVersion version) const {
    return created.value != 0 ? created : request::ServiceId{version.value};
  }

  friend bool operator==(const StoredService&, const StoredService&) = default;
};

/// Parses an operator's file of the form `services: {PATH: {...}}`.
/// @return nothing when the file has errors; all of them are appended to
///   `errors`.
std::optional<std::map<ServicePath, ServiceSpec>> ParseServices(
    const std::string& text, const std::string& file,
    std::vector<SettingsError>* errors);

/// Reads and validates the settings of one service from a YAML map.
/// @param prefix prepended to the keys in errors.
/// @return nothing when the map has errors; all of them are appended to
///   `errors`.
std::optional<ServiceSpec> ReadServiceSpec(const YAML::Node& node,
                                           const std::string& file,
                                           const std::string& prefix,
                                           std::vector<SettingsError>* errors);

/// Returns the JSON body under which the service is stored.
std::string WriteStoredService(const StoredService& service);

/// Parses a stored service and validates it again.
/// @param path the object's path in the store; a body that names another path
///   is rejected with `kOutsideSubtree`.
/// @return nothing and the first error in `failure` for an invalid body.
std::optional<StoredService> ReadStoredService(std::string_view path,
                                               const std::string& body,
                                               request::Failure* failure);

/// Returns the settings as an operator's file that `ParseServices` reads.
std::string WriteServiceYaml(const ServicePath& path, const ServiceSpec& spec);

/// Checks that no address of `spec` belongs to another service in `others`; an
/// entry of `path` itself is ignored.
/// @return false on a conflict, with `kOverlappingAddress` and the other
///   service's path in `failure`.
bool CheckAddresses(const ServicePath& path, const ServiceSpec& spec,
                    const std::map<ServicePath, ServiceSpec>& others,
                    request::Failure* failure);

/// Maps each address to its service. When two operators create services
/// concurrently, both can pass `CheckAddresses`; every process then assigns the
/// address to the service that was created first.
std::map<ServiceAddress, request::ServiceId> AssignAddresses(
    const std::map<request::ServiceId, ServiceSpec>& services);

}  // namespace kumquatvalve::version

#endif  // KUMQUATVALVE_VERSION_SERVICE_SPEC_H_
