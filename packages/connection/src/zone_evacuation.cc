#include "kumquatvalve/connection/zone_evacuation.h"

#include <utility>

namespace kumquatvalve::connection {

std::optional<EvacuationChange> ZoneEvacuation::OnList(
    const EvacuationList& list, EvacuationSource source, TimePoint now) {
  if (!IsApplicable(list, source)) {
    return std::nullopt;
  }
  EvacuationChange change;
  EvacuatedZones updated;
  for (const request::AvailabilityZone& it : list.zones) {
    const auto previous = zones_.find(it);
    if (previous == zones_.end()) {
      change.evacuated.push_back(it);
    }
    updated.emplace(it, previous == zones_.end() ? now : previous->second);
  }
  for (const auto& [zone, since] : zones_) {
    if (!updated.contains(zone)) {
      change.ended.push_back(zone);
    }
  }
  version_ = list.version;
  zones_ = std::move(updated);
  return change;
}

std::optional<EvacuationList> ZoneEvacuation::Report() const {
  if (!version_) {
    return std::nullopt;
  }
  EvacuationList list{*version_, {}};
  for (const auto& [zone, since] : zones_) {
    list.zones.insert(zone);
  }
  return list;
}

bool ZoneEvacuation::IsApplicable(const EvacuationList& list,
                                  EvacuationSource source) const {
  if (!version_) {
    return true;
  }
  // A list of several pages has the version of its first page, so two sets of
  // the same version can differ. The store's own answer counts then.
  return source == EvacuationSource::kStore ? list.version >= *version_
                                            : list.version > *version_;
}

}  // namespace kumquatvalve::connection
