#include "kumquatvalve/process/store_era_tracker.h"

#include <catch2/catch.hpp>
#include <utility>
#include <vector>

namespace kumquatvalve::process {
namespace {

// Guards against state of the old era that a late response brings back, and
// against repeated lists for one rise.
TEST_CASE("store_era_tracker: each rise is reported once") {
  std::vector<std::pair<uint64_t, uint64_t>> rises;
  StoreEraTracker tracker([&rises](uint64_t era, uint64_t previous) {
    rises.emplace_back(era, previous);
  });
  CHECK(tracker.OnResponse(0));
  CHECK(rises.empty());
  CHECK(tracker.OnResponse(1));
  CHECK(tracker.OnResponse(1));
  CHECK_FALSE(tracker.OnResponse(0));
  CHECK(tracker.OnResponse(3));
  CHECK_FALSE(tracker.OnResponse(2));
  CHECK(tracker.era() == 3);
  CHECK(rises == std::vector<std::pair<uint64_t, uint64_t>>{{1, 0}, {3, 1}});
}

}  // namespace
}  // namespace kumquatvalve::process
