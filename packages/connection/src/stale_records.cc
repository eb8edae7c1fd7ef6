#include "kumquatvalve/connection/stale_records.h"

#include <cstddef>

namespace kumquatvalve::connection {
namespace {

using std::chrono::milliseconds;

// Machines are cut off, frozen or without power for up to 15 s in the brief's
// deployments, and restarts take a few seconds.
constexpr milliseconds kStaleAfter{60000};
constexpr uint64_t kSpreadMs = 30000;

// At most one of so many upstreams of a service may be silent.
constexpr size_t kSilentShare = 3;

struct ServiceCount {
  size_t all = 0;
  size_t silent = 0;
};

}  // namespace

StaleRecords::StaleRecords(uint64_t seed)
    : after_(kStaleAfter +
             milliseconds(static_cast<int64_t>(seed % kSpreadMs))) {}

std::vector<version::UpstreamRecord> StaleRecords::Find(
    const UpstreamSet& upstreams, TimePoint now) {
  std::map<request::ServiceTag, ServiceCount> counts;
  for (const auto& [sidecar, view] : upstreams.views()) {
    ServiceCount& count = counts[view.tag()];
    ++count.all;
    count.silent += view.Gone(now) ? 1 : 0;
  }
  std::vector<version::UpstreamRecord> found;
  for (const auto& [sidecar, view] : upstreams.views()) {
    const ServiceCount& count = counts[view.tag()];
    const uint64_t incarnation = view.record().incarnation_ms;
    const auto known = removed_.find(sidecar);
    const bool removed =
        known != removed_.end() && known->second == incarnation;
    if (view.listed() && !removed && view.SilentTime(now) >= after_ &&
        count.silent * kSilentShare <= count.all) {
      removed_[sidecar] = incarnation;
      found.push_back(view.record());
    }
  }
  return found;
}

}  // namespace kumquatvalve::connection
