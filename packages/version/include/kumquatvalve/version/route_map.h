#ifndef KUMQUATVALVE_VERSION_ROUTE_MAP_H_
#define KUMQUATVALVE_VERSION_ROUTE_MAP_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/hop_message.h"
#include "kumquatvalve/request/ids.h"

namespace kumquatvalve::version {

/// How much a route's requests carry.
enum class TrafficShape : uint8_t {
  /// Requests and answers of a few packets.
  kShort,
  /// Uploads or downloads of many packets.
  kBulk,
};

/// A service and its share of a route's new flows.
struct RouteShare {
  request::ServiceName service;
  request::ServiceTag tag;
  uint32_t weight = 1;

  friend bool operator==(const RouteShare&, const RouteShare&) = default;
};

/// Where new flows to one service address go.
struct Route {
  std::string name;
  std::vector<RouteShare> shares;
  TrafficShape shape = TrafficShape::kShort;
  /// Callers wait no longer than this for an answer.
  std::chrono::milliseconds timeout{0};
  /// An answer within this time has its full value.
  std::chrono::milliseconds target_latency{0};
  /// 0 is the most important.
  uint32_t priority = 0;

  friend bool operator==(const Route&, const Route&) = default;
};

/// One version of the configuration, as far as packets depend on it.
struct RouteMap {
  /// Store revision of the object; a larger one is newer.
  uint64_t revision = 0;
  /// The operator's own number of the version.
  uint64_t version = 0;
  std::map<request::Endpoint, Route> routes;
  /// A flow without packets for this long may be forgotten.
  std::chrono::milliseconds idle_timeout{15000};

  const Route* Find(const request::Endpoint& address) const {
    const auto it = routes.find(address);
    return it == routes.end() ? nullptr : &it->second;
  }
};

/// What the store says of one upstream: written by the sidecar beside it, read
/// by the entry instances.
struct UpstreamRecord {
  /// Where the sidecar takes hop messages; names the record.
  request::Endpoint sidecar;
  request::ServiceName service;
  request::AvailabilityZone zone;
  /// Name that the upstream gave itself.
  std::string instance;
  /// Start of the upstream, Unix time in milliseconds.
  uint64_t incarnation_ms = 0;
  uint32_t slots = 0;
  bool draining = false;

  friend bool operator==(const UpstreamRecord&,
                         const UpstreamRecord&) = default;
};

}  // namespace kumquatvalve::version

#endif  // KUMQUATVALVE_VERSION_ROUTE_MAP_H_
