#ifndef KUMQUATVALVE_CONNECTION_ADDRESS_HISTORY_H_
#define KUMQUATVALVE_CONNECTION_ADDRESS_HISTORY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/version/route_map.h"

namespace kumquatvalve::connection {

/// What one entry instance knows about earlier services of addresses, to be
/// sent to another one. Times are ages, since processes share no clock.
struct AddressHistoryReport {
  struct Use {
    request::Endpoint address;
    request::ServiceName service;
    /// Time since the address was last routed to the service.
    std::chrono::milliseconds age{0};

    friend bool operator==(const Use&, const Use&) = default;
  };

  /// Revision of the routes in force; 0 before the first ones.
  request::TableVersion revision;
  /// The routes in force and `uses` have every service that an address was
  /// routed to within this time.
  std::chrono::milliseconds span{0};
  std::vector<Use> uses;
};

/// The services that addresses were routed to before: their upstreams may still
/// hold flows of callers of these addresses. Load pattern: a route gets another
/// service, and then all processes are restarted one after the other while
/// callers are idle. The store has only the latest configuration, so a process
/// that starts gets the history from one that has been running. Not
/// thread-safe.
class AddressHistory {
 public:
  /// The first routes, or a newer version of them, are in force.
  /// @param previous null for the first ones.
  void OnRoutes(const version::RouteMap* previous,
                const version::RouteMap& current, TimePoint now);

  /// Merges what another entry instance knows. Its span counts unless its
  /// routes were older than the first ones here: services that were replaced
  /// between the two are missing from both.
  void OnReport(const AddressHistoryReport& report, TimePoint now);

  /// Services that the address was routed to before, perhaps also the current
  /// one.
  std::vector<request::ServiceTag> ServicesOf(
      const request::Endpoint& address) const;

  /// Whether the history goes back for longer than flows have to be retained.
  bool IsComplete(TimePoint now) const;

  /// Removes services that an address was routed to `kRetention` ago.
  void Expire(TimePoint now);

  /// Returns what is known for another entry instance.
  AddressHistoryReport Report(TimePoint now) const;

  /// Callers expect no flow to last for longer, or to be idle for longer: the
  /// platform's bound `maxFlowS` of the known deployments.
  static constexpr std::chrono::milliseconds kFlowRetention{60000};

 private:
  using Use = std::pair<request::Endpoint, request::ServiceName>;

  // Flows may last for longer than they have to, so their upstreams are worth a
  // packet for a while.
  static constexpr std::chrono::milliseconds kRetention{600000};
  // Bounds the memory: an entry takes about 200 bytes.
  static constexpr size_t kMaxUses = 20000;

  /// Since when another instance knew all services up to a version of the
  /// routes.
  struct Coverage {
    request::TableVersion revision;
    TimePoint since;
  };

  void Add(const Use& use, TimePoint used_at);
  void Extend(const Coverage& coverage);

  /// When an address was last routed to a service.
  std::map<Use, TimePoint> uses_;
  /// Every service that an address was routed to since then is in `uses_` or
  /// in the routes; empty before the first routes.
  std::optional<TimePoint> known_since_;
  /// Revisions of the first and the current routes.
  request::TableVersion first_revision_;
  request::TableVersion revision_;
  /// From reports that arrived before the first routes.
  std::vector<Coverage> early_coverage_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_ADDRESS_HISTORY_H_
