#include "kumquatvalve/connection/upstream_set.h"

#include <algorithm>
#include <utility>

namespace kumquatvalve::connection {
namespace {

template <typename T>
bool Contains(std::span<const T> values, const T& value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

// Leaves out cold upstreams without allowance while there are others.
void PreferWarmUpAllowance(std::vector<UpstreamView*>* candidates) {
  const auto end =
      std::partition(candidates->begin(), candidates->end(),
                     [](const auto* it) { return it->HasWarmUpAllowance(); });
  if (end != candidates->begin()) {
    candidates->erase(end, candidates->end());
  }
}

}  // namespace

UpstreamSet::UpstreamSet(request::AvailabilityZone zone)
    : zone_(std::move(zone)) {}

std::vector<request::Endpoint> UpstreamSet::Replace(
    std::span<const version::UpstreamRecord> records, TimePoint now) {
  std::map<request::Endpoint, UpstreamView> updated;
  std::vector<request::Endpoint> of_new_service;
  for (const version::UpstreamRecord& it : records) {
    const UpstreamView* previous = Find(it.sidecar);
    UpstreamView view = previous != nullptr && previous->IsSameIncarnation(it)
                            ? *previous
                            : UpstreamView(it, now);
    view.OnRecord(it, it.zone == zone_);
    if (previous == nullptr || previous->tag() != view.tag()) {
      of_new_service.push_back(it.sidecar);
    }
    updated.emplace(it.sidecar, std::move(view));
  }
  for (auto& [sidecar, view] : views_) {
    if (!updated.contains(sidecar) && view.ShouldKeepWithoutRecord(now)) {
      view.OnUnlisted(now);
      updated.emplace(sidecar, std::move(view));
    }
  }
  views_ = std::move(updated);
  return of_new_service;
}

void UpstreamSet::ExpireUnlisted(TimePoint now) {
  std::erase_if(views_, [now](const auto& it) {
    return !it.second.listed() && !it.second.ShouldKeepWithoutRecord(now);
  });
}

UpstreamView* UpstreamSet::Find(const request::Endpoint& sidecar) {
  const auto it = views_.find(sidecar);
  return it == views_.end() ? nullptr : &it->second;
}

const UpstreamView* UpstreamSet::Find(const request::Endpoint& sidecar) const {
  const auto it = views_.find(sidecar);
  return it == views_.end() ? nullptr : &it->second;
}

void UpstreamSet::SetEvacuatedZones(EvacuatedZones zones) {
  evacuated_zones_ = std::move(zones);
}

bool UpstreamSet::IsEvacuated(const UpstreamView& view) const {
  return !evacuated_zones_.empty() &&
         evacuated_zones_.contains(view.record().zone);
}

std::vector<UpstreamView*> UpstreamSet::Candidates(
    request::ServiceTag service, std::span<const request::Endpoint> excluded,
    TimePoint now) {
  std::vector<UpstreamView*> candidates;
  for (const bool last_resort : {false, true}) {
    for (auto& [sidecar, view] : views_) {
      if (view.tag() == service && !Contains(excluded, sidecar) &&
          view.AcceptsNewFlows(now, last_resort) && !IsEvacuated(view)) {
        candidates.push_back(&view);
      }
    }
    if (!candidates.empty()) {
      break;
    }
  }
  PreferWarmUpAllowance(&candidates);
  return candidates;
}

bool UpstreamSet::HasEvacuatedCandidate(
    request::ServiceTag service, std::span<const request::Endpoint> excluded,
    TimePoint now) const {
  return std::any_of(views_.begin(), views_.end(), [&](const auto& it) {
    const UpstreamView& view = it.second;
    return view.tag() == service && IsEvacuated(view) &&
           !Contains(excluded, it.first) && view.AcceptsNewFlows(now, true);
  });
}

std::vector<request::Endpoint> UpstreamSet::SidecarsForServices(
    std::span<const request::ServiceTag> services) const {
  std::vector<request::Endpoint> sidecars;
  for (const auto& [sidecar, view] : views_) {
    if (Contains(services, view.tag())) {
      sidecars.push_back(sidecar);
    }
  }
  return sidecars;
}

}  // namespace kumquatvalve::connection
