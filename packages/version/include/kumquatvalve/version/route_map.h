#ifndef KUMQUATVALVE_VERSION_ROUTE_MAP_H_
#define KUMQUATVALVE_VERSION_ROUTE_MAP_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/hop_message.h"
#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/request/start_order.h"

namespace kumquatvalve::version {

/// Typical amount of data in the requests and responses of a route.
enum class TrafficShape : uint8_t {
  /// Requests and responses of a few packets.
  kShort,
  /// Uploads or downloads of many packets.
  kBulk,
};

/// A service and its share of a route's new flows.
struct RouteShare {
  request::ServiceName service;
  request::ServiceTag tag;
  /// Share of the route's new flows relative to the other weights.
  uint32_t weight = 1;

  friend bool operator==(const RouteShare&, const RouteShare&) = default;
};

/// Distribution of the new flows to one service address over services.
struct Route {
  std::string name;
  std::vector<RouteShare> shares;
  TrafficShape shape = TrafficShape::kShort;
  /// Callers give up after waiting this long for a response.
  std::chrono::milliseconds timeout{0};
  /// A response within this time has its full value to the caller.
  std::chrono::milliseconds target_latency{0};
  /// 0 is the highest priority.
  uint32_t priority = 0;

  friend bool operator==(const Route&, const Route&) = default;
};

/// The part of one configuration version that determines how packets are
/// forwarded.
struct RouteMap {
  /// Store revision of the object; a larger one is newer.
  request::TableVersion revision;
  /// Version number that the operator assigned.
  uint64_t version = 0;
  std::map<request::Endpoint, Route> routes;
  /// A flow that has had no packets for this long may be removed from flow
  /// tables.
  std::chrono::milliseconds idle_timeout{15000};
  /// First packets that a cold upstream of a service can handle, in tenths of
  /// a packet a second. Services without a limit are left out.
  std::map<request::ServiceTag, uint16_t> warm_up_per_second_tenths;

  /// Returns the rate of a service in `warm_up_per_second_tenths`, 0 when there
  /// is no limit.
  uint16_t WarmUpPerSecondTenths(request::ServiceTag service) const {
    const auto it = warm_up_per_second_tenths.find(service);
    return it == warm_up_per_second_tenths.end() ? 0 : it->second;
  }

  /// Returns the route of an address, or null when there is none.
  const Route* Find(const request::Endpoint& address) const {
    const auto it = routes.find(address);
    return it == routes.end() ? nullptr : &it->second;
  }
};

/// Whether some routes are more urgent than others.
inline bool HasDifferentPriorities(const RouteMap& map) {
  return std::any_of(map.routes.begin(), map.routes.end(), [&](const auto& it) {
    return it.second.priority != map.routes.begin()->second.priority;
  });
}

/// Record of one upstream in the store: written by the sidecar beside it, read
/// by the entry instances.
struct UpstreamRecord {
  /// UDP endpoint at which the sidecar receives hop messages; the key of the
  /// record.
  request::Endpoint sidecar;
  request::ServiceName service;
  request::AvailabilityZone zone;
  /// Instance name that the upstream announced.
  std::string instance;
  /// Start time of the upstream, Unix time in milliseconds.
  uint64_t incarnation_ms = 0;
  /// Position of this start among those of the sidecar's upstreams; 0 when that
  /// is `incarnation_ms`, see `OrderOf`.
  request::StartOrder order;
  /// Number of requests that the upstream processes concurrently.
  uint32_t slots = 0;
  bool draining = false;
  /// The store has gone back in time and lacks this record; its sidecar has to
  /// write it again. Not part of the stored record.
  bool missing_in_store = false;

  friend bool operator==(const UpstreamRecord&,
                         const UpstreamRecord&) = default;
};

/// Returns the position of the record's upstream among the starts of the
/// sidecar's upstreams.
inline request::StartOrder OrderOf(const UpstreamRecord& record) {
  return std::max(record.order, request::StartOrder{record.incarnation_ms});
}

/// Whether both records describe the same start of an upstream.
inline bool IsSameStart(const UpstreamRecord& a, const UpstreamRecord& b) {
  return a.sidecar == b.sidecar && a.service == b.service &&
         a.instance == b.instance && a.incarnation_ms == b.incarnation_ms;
}

}  // namespace kumquatvalve::version

#endif  // KUMQUATVALVE_VERSION_ROUTE_MAP_H_
