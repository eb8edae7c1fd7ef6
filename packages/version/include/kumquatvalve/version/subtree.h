#ifndef KUMQUATVALVE_VERSION_SUBTREE_H_
#define KUMQUATVALVE_VERSION_SUBTREE_H_

#include <optional>
#include <string>
#include <string_view>

#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::version {

/// All services are stored under this path.
inline constexpr std::string_view kTeamsPrefix = "/teams/";

/// Path of a service's settings in the store.
struct ServicePath {
  request::TeamName team;
  request::ServiceName service;

  friend auto operator<=>(const ServicePath&, const ServicePath&) = default;
};

/// Returns "/teams/TEAM/services/NAME".
std::string ToString(const ServicePath& path);

/// Parses "/teams/TEAM/services/NAME".
/// @return nothing and `kBadPath` for any other form, or `kBadName` when the
///   team or the service is not a valid name.
std::optional<ServicePath> ParseServicePath(std::string_view path,
                                            request::Failure* failure);

/// Checks that `path` is a service of `team`. Called before a write to the
/// store, and again where settings are applied, since another client may have
/// written the object.
/// @return the service's path, or nothing and `kOutsideSubtree`, `kBadPath` or
///   `kBadName`.
std::optional<ServicePath> CheckSubtree(const request::TeamName& team,
                                        std::string_view path,
                                        request::Failure* failure);

}  // namespace kumquatvalve::version

#endif  // KUMQUATVALVE_VERSION_SUBTREE_H_
