#include "kumquatvalve/version/admission.h"

#include <algorithm>

namespace kumquatvalve::version {

bool IsAdmitted(const ServicePath& path, const ServiceSpec& spec,
                const AnnouncedUpstream& upstream) {
  if (upstream.service != path) {
    return false;
  }
  return std::all_of(spec.admit_labels.begin(), spec.admit_labels.end(),
                     [&](const auto& required) {
                       const auto it = upstream.labels.find(required.first);
                       return it != upstream.labels.end() &&
                              it->second == required.second;
                     });
}

std::vector<UpstreamEntry> AdmittedUpstreams(
    const ServicePath& path, const ServiceSpec& spec,
    std::span<const AnnouncedUpstream> announced) {
  // Address reuse is detected across the announcements of all services: the
  // later instance may serve another service.
  std::map<request::Endpoint, const AnnouncedUpstream*> latest;
  for (const AnnouncedUpstream& it : announced) {
    const AnnouncedUpstream*& latest_announced = latest[it.entry.data];
    const auto rank = [](const AnnouncedUpstream& upstream) {
      return std::pair(upstream.entry.incarnation, upstream.entry.instance);
    };
    if (latest_announced == nullptr || rank(*latest_announced) < rank(it)) {
      latest_announced = &it;
    }
  }
  std::vector<UpstreamEntry> admitted;
  for (const AnnouncedUpstream& it : announced) {
    if (latest[it.entry.data] != &it || !IsAdmitted(path, spec, it)) {
      continue;
    }
    UpstreamEntry entry = it.entry;
    if (const auto weight = spec.weights.find(it.name);
        weight != spec.weights.end()) {
      entry.weight = weight->second;
    }
    if (spec.slots != 0) {
      entry.slots = spec.slots;
    }
    entry.draining = entry.draining || spec.draining.contains(it.name);
    admitted.push_back(entry);
  }
  std::sort(admitted.begin(), admitted.end(),
            [](const UpstreamEntry& a, const UpstreamEntry& b) {
              return a.instance < b.instance;
            });
  return admitted;
}

}  // namespace kumquatvalve::version
