#include "kumquatvalve/connection/upstream_set.h"

#include <algorithm>
#include <utility>

namespace kumquatvalve::connection {
namespace {

template <typename T>
bool Contains(std::span<const T> values, const T& value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

}  // namespace

UpstreamSet::UpstreamSet(request::AvailabilityZone zone)
    : zone_(std::move(zone)) {}

void UpstreamSet::Replace(std::span<const version::UpstreamRecord> records,
                          TimePoint now) {
  std::map<request::Endpoint, UpstreamView> next;
  for (const version::UpstreamRecord& it : records) {
    const UpstreamView* old = Find(it.sidecar);
    UpstreamView view =
        old != nullptr && old->Same(it) ? *old : UpstreamView(it, now);
    view.OnRecord(it, it.zone == zone_);
    next.emplace(it.sidecar, std::move(view));
  }
  for (auto& [sidecar, view] : views_) {
    if (!next.contains(sidecar) && view.OutlivesRecord(now)) {
      view.OnUnlisted(now);
      next.emplace(sidecar, std::move(view));
    }
  }
  views_ = std::move(next);
}

void UpstreamSet::Expire(TimePoint now) {
  std::erase_if(views_, [now](const auto& it) {
    return !it.second.listed() && !it.second.OutlivesRecord(now);
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

std::vector<UpstreamView*> UpstreamSet::Takers(
    request::ServiceTag service, std::span<const request::Endpoint> excluded,
    TimePoint now) {
  std::vector<UpstreamView*> takers;
  for (const bool last_resort : {false, true}) {
    for (auto& [sidecar, view] : views_) {
      if (view.tag() == service && !Contains(excluded, sidecar) &&
          view.AcceptsNewFlows(now, last_resort)) {
        takers.push_back(&view);
      }
    }
    if (!takers.empty()) {
      break;
    }
  }
  return takers;
}

std::vector<request::Endpoint> UpstreamSet::SidecarsOf(
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
