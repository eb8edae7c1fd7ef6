#include "kumquatvalve/connection/zone_evacuation.h"

#include <utility>

#include "kumquatvalve/connection/store_era.h"

namespace kumquatvalve::connection {

std::optional<EvacuationChange> ZoneEvacuation::OnList(
    const EvacuationList& list, EvacuationSource source, TimePoint now) {
  if (!IsApplicable(list, source)) {
    return std::nullopt;
  }
  if (version_ && list.version.era > version_->era) {
    held_until_.clear();
    for (const auto& [zone, since] : zones_) {
      held_until_.emplace(zone, now + kMaxEraHold);
    }
  }
  std::erase_if(held_until_, [&](const auto& it) {
    return list.zones.contains(it.first) || now >= it.second;
  });
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
    if (held_until_.contains(zone)) {
      updated.emplace(zone, since);
    } else if (!updated.contains(zone)) {
      change.ended.push_back(zone);
    }
  }
  version_ = list.version;
  zones_ = std::move(updated);
  return change;
}

std::optional<EvacuationChange> ZoneEvacuation::OnTick(TimePoint now) {
  EvacuationChange change;
  std::erase_if(held_until_, [&](const auto& it) {
    const bool is_over = now >= it.second;
    if (is_over) {
      change.ended.push_back(it.first);
      zones_.erase(it.first);
    }
    return is_over;
  });
  return change.ended.empty() ? std::nullopt : std::optional(std::move(change));
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
