#include "kumquatvalve/connection/store_era.h"

#include <algorithm>

namespace kumquatvalve::connection {
namespace {

using std::chrono::milliseconds;

// 300 processes that list within this time make 0.6 calls a millisecond.
constexpr milliseconds kMaxListDelay{500};
constexpr int kMaxDelayShareOfWatch = 10;

}  // namespace

milliseconds EraListDelay(milliseconds watch_timeout, uint64_t random) {
  const milliseconds longest =
      std::min(kMaxListDelay, watch_timeout / kMaxDelayShareOfWatch);
  const auto steps = static_cast<uint64_t>(longest.count()) + 1;
  return milliseconds(static_cast<int64_t>(random % steps));
}

EraVerdict EraHold::OnConfiguration(const ConfigurationVersion& in_force,
                                    const ConfigurationVersion& received,
                                    TimePoint now) {
  if (received.revision <= in_force.revision ||
      (held_ && received.revision <= *held_)) {
    return EraVerdict::kIgnore;
  }
  const bool written_since = received.revision.era == in_force.revision.era ||
                             (held_ && received.revision.era == held_->era);
  if (written_since || received.operator_version >= in_force.operator_version) {
    return EraVerdict::kTake;
  }
  held_ = received.revision;
  held_since_ = now;
  return EraVerdict::kHoldBack;
}

bool EraHold::IsOver(TimePoint now) const {
  return held_ && now - held_since_ >= kMaxEraHold - kEraHoldCheckInterval;
}

void EraHold::OnTaken(const request::TableVersion& revision) {
  if (held_ && *held_ <= revision) {
    held_.reset();
  }
}

bool IsNewerRecord(const version::UpstreamRecord& known,
                   const version::UpstreamRecord& stored) {
  if (version::IsSameStart(known, stored) &&
      known.draining != stored.draining) {
    return known.draining;
  }
  return version::OrderOf(known) > version::OrderOf(stored);
}

}  // namespace kumquatvalve::connection
