#include "kumquatvalve/connection/early_refusal.h"

#include <algorithm>

#include "kumquatvalve/connection/placement.h"

namespace kumquatvalve::connection {
namespace {

using std::chrono::microseconds;

// Sidecars report every 100 ms while they get packets, so at least four reports
// in a row are missing.
constexpr std::chrono::milliseconds kMaxReportAge{500};

bool IsFull(const ReportedUpstream& upstream, microseconds time_left) {
  if (upstream.report_age > kMaxReportAge || upstream.load.slots == 0) {
    return false;
  }
  PlacementCandidate candidate;
  candidate.slots = upstream.load.slots;
  candidate.in_progress =
      static_cast<double>(upstream.load.in_progress) + upstream.load.opening;
  candidate.service_time = upstream.load.service_time_us != 0
                               ? microseconds(upstream.load.service_time_us)
                               : kDefaultServiceTime;
  return ExpectedWait(candidate) + candidate.service_time > time_left;
}

}  // namespace

bool IsServiceFull(std::span<const ReportedUpstream> upstreams,
                   std::chrono::milliseconds time_left) {
  return !upstreams.empty() &&
         std::all_of(upstreams.begin(), upstreams.end(),
                     [&](const auto& it) { return IsFull(it, time_left); });
}

}  // namespace kumquatvalve::connection
