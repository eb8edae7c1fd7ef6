#ifndef KUMQUATVALVE_CONNECTION_ZONE_EVACUATION_H_
#define KUMQUATVALVE_CONNECTION_ZONE_EVACUATION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/request/ids.h"

namespace kumquatvalve::connection {

/// The availability zones that get no new flows, with the time at which this
/// process learned of each evacuation.
using EvacuatedZones = std::map<request::AvailabilityZone, TimePoint>;

/// All zones that were evacuated at one version of the store.
struct EvacuationList {
  request::TableVersion version;
  std::set<request::AvailabilityZone> zones;

  friend bool operator==(const EvacuationList&,
                         const EvacuationList&) = default;
};

/// Difference between two sets of evacuated zones.
struct EvacuationChange {
  std::vector<request::AvailabilityZone> evacuated;
  std::vector<request::AvailabilityZone> ended;
};

/// Where an `EvacuationList` comes from.
enum class EvacuationSource : uint8_t { kStore, kPeer };

constexpr std::string_view Name(EvacuationSource source) {
  return source == EvacuationSource::kStore ? "store" : "peer";
}

/// Decides which availability zones are evacuated. Load pattern: operators
/// evacuate a zone with a third of the upstreams, and end the evacuation, while
/// parts of the fleet cannot reach the store. A list replaces the set as a
/// whole, but only one that is not older: a late list, or a peer that was cut
/// off, must not end an evacuation or renew one that has ended. Without a list
/// the set in force stays.
class ZoneEvacuation {
 public:
  /// Applies a list. One of the store is applied unless it is older than the
  /// set in force, one of a peer only when it is newer.
  /// @return nothing when the list was not applied.
  std::optional<EvacuationChange> OnList(const EvacuationList& list,
                                         EvacuationSource source,
                                         TimePoint now);

  /// Ends evacuations that were held for `kMaxEraHold`.
  /// @return nothing when there are none.
  std::optional<EvacuationChange> OnTick(TimePoint now);

  /// Whether a list has been applied. Before that, any zone may be evacuated.
  bool known() const { return version_.has_value(); }

  const EvacuatedZones& zones() const { return zones_; }

  /// Returns the set in force, to be sent to peers; nothing when none is known.
  std::optional<EvacuationList> Report() const;

 private:
  bool IsApplicable(const EvacuationList& list, EvacuationSource source) const;

  /// Version of the set in force.
  std::optional<request::TableVersion> version_;
  EvacuatedZones zones_;
  /// Zones that the lists of the current era lack, with the end of the hold.
  EvacuatedZones held_until_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_ZONE_EVACUATION_H_
