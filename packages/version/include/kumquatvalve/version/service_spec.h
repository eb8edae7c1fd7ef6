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

/// Parses "127.0.0.1:80/tcp" or "[::1]:53/udp".
/// @return nothing and `kBadAddress` for any other text.
std::optional<ServiceAddress> ParseServiceAddress(std::string_view text,
                                                  request::Failure* failure);

/// Writes an address in the form that `ParseServiceAddress` reads.
std::string ToString(const ServiceAddress& address);

enum class ZonePreference { kNone, kSameZone };

/// When open flows that went silent are probed and ended.
struct SilentProbeSpec {
  std::chrono::milliseconds idle{60000};
  std::chrono::milliseconds interval{2000};
  uint32_t count = 5;

  friend bool operator==(const SilentProbeSpec&,
                         const SilentProbeSpec&) = default;
};

/// Settings of a service; docs/settings.md has the keys.
struct ServiceSpec {
  std::vector<ServiceAddress> addresses;
  /// Labels that an admitted announcement must have.
  std::map<std::string, std::string> admit_labels;
  /// Slots of each upstream; 0 takes what it announces.
  uint32_t slots = 0;
  /// Weights in place of announced ones.
  std::map<request::InstanceName, uint32_t> weights;
  /// Instances that an operator drains.
  std::set<request::InstanceName> draining;
  uint32_t rows = kDefaultRows;
  /// Most first packets that a sidecar holds at once.
  uint32_t max_waiting = 128;
  /// Longest time that a first packet is held.
  std::chrono::milliseconds deadline{900};
  /// Admitted repeated connects, as a share of first ones.
  double retry_budget = 0.2;
  ZonePreference zone_preference = ZonePreference::kNone;
  SilentProbeSpec silent_probe;

  friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

/// Who made the last change of a stored service. The id is chosen by the
/// operator's client before the write, so that a write whose answer was lost
/// can be recognized by reading the object.
struct Operation {
  std::string id;
  /// RFC 3339, from the operator's clock; shown, never compared.
  std::string time;
  std::string by;

  friend bool operator==(const Operation&, const Operation&) = default;
};

/// An accepted change that a stored service was built on.
struct EarlierOperation {
  std::string id;
  request::TableVersion version;

  friend bool operator==(const EarlierOperation&,
                         const EarlierOperation&) = default;
};

/// Earlier operations that a stored service names. An operator's client whose
/// answer was lost finds its write among them unless more changes than this
/// followed before it could read.
inline constexpr size_t kMaxEarlierOperations = 16;

/// A service as it is stored.
struct StoredService {
  ServicePath path;
  ServiceSpec spec;
  Operation operation;
  /// Store revision at which the service was created; 0 in the object's first
  /// version, whose own version it is.
  request::ServiceId created;
  /// Oldest first, at most `kMaxEarlierOperations`.
  std::vector<EarlierOperation> earlier;

  /// @param version of the stored object.
  request::ServiceId Id(request::TableVersion version) const {
    return created.value != 0 ? created : request::ServiceId{version.value};
  }

  friend bool operator==(const StoredService&, const StoredService&) = default;
};

/// The services of an operators' file `services: {PATH: {...}}`.
/// @return nothing when there was any fault; `errors` has all of them.
std::optional<std::map<ServicePath, ServiceSpec>> ParseServices(
    const std::string& text, const std::string& file,
    std::vector<SettingsError>* errors);

/// Reads one service from a YAML map.
std::optional<ServiceSpec> ReadServiceSpec(const YAML::Node& node,
                                           const std::string& file,
                                           const std::string& prefix,
                                           std::vector<SettingsError>* errors);

/// The JSON form in the store.
std::string WriteStoredService(const StoredService& service);

/// Reads a stored service and checks it again.
/// @param path where the object is stored; a body that names another path is
///   refused with `kOutsideSubtree`.
/// @return nothing and the first fault otherwise.
std::optional<StoredService> ReadStoredService(std::string_view path,
                                               const std::string& body,
                                               request::Failure* failure);

/// The YAML form of a service's settings in an operators' file.
std::string WriteServiceYaml(const ServicePath& path, const ServiceSpec& spec);

/// Checks that no address of `spec` belongs to another service.
/// @return false and `kOverlappingAddress`, which names the other service.
bool CheckAddresses(const ServicePath& path, const ServiceSpec& spec,
                    const std::map<ServicePath, ServiceSpec>& others,
                    request::Failure* failure);

/// Which service each address leads to. Two operators that create services at
/// the same time can both pass `CheckAddresses`; the address then belongs to
/// the service that was created first, at every process.
std::map<ServiceAddress, request::ServiceId> AssignAddresses(
    const std::map<request::ServiceId, ServiceSpec>& services);

}  // namespace kumquatvalve::version

#endif  // KUMQUATVALVE_VERSION_SERVICE_SPEC_H_
