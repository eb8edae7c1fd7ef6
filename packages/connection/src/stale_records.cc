#include "kumquatvalve/connection/stale_records.h"

#include <cstddef>

namespace kumquatvalve::connection {
namespace {

using std::chrono::milliseconds;

// Machines may be cut off, frozen or without power for up to 15 s, and restarts
// take a few seconds.
constexpr milliseconds kStaleAfter{60000};
constexpr uint64_t kMaxJitterMs = 30000;

// Records are removed only while at most one in this many upstreams of the
// service is presumed dead.
constexpr size_t kMinUpstreamsPerDead = 3;

struct ServiceCount {
  size_t all = 0;
  size_t dead = 0;
};

}  // namespace

StaleRecords::StaleRecords(uint64_t seed)
    : stale_after_(kStaleAfter +
                   milliseconds(static_cast<int64_t>(seed % kMaxJitterMs))) {}

std::vector<version::UpstreamRecord> StaleRecords::FindStale(
    const UpstreamSet& upstreams, TimePoint now) {
  std::map<request::ServiceTag, ServiceCount> counts;
  for (const auto& [sidecar, view] : upstreams.views()) {
    ServiceCount& count = counts[view.tag()];
    ++count.all;
    count.dead += view.IsPresumedDead(now) ? 1 : 0;
  }
  std::vector<version::UpstreamRecord> found;
  for (const auto& [sidecar, view] : upstreams.views()) {
    const ServiceCount& count = counts[view.tag()];
    const auto earlier = removed_.find(sidecar);
    const bool removed = earlier != removed_.end() &&
                         version::IsSameStart(earlier->second, view.record());
    if (view.listed() && !removed &&
        view.UnresponsiveTime(now) >= stale_after_ &&
        count.dead * kMinUpstreamsPerDead <= count.all) {
      removed_[sidecar] = view.record();
      found.push_back(view.record());
    }
  }
  return found;
}

}  // namespace kumquatvalve::connection
