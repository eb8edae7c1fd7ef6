#ifndef KUMQUATVALVE_PROCESS_STORE_ERA_TRACKER_H_
#define KUMQUATVALVE_PROCESS_STORE_ERA_TRACKER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <utility>

namespace kumquatvalve::process {

/// The highest era of the store that any client of this process has seen. One
/// object is shared by all clients, so that a response to one of them tells all
/// that the store has gone back in time. Thread-safe.
class StoreEraTracker {
 public:
  /// @param rose called with the new and the previous era, on the thread whose
  ///   call got the response; it must not block. Two calls may overlap.
  explicit StoreEraTracker(std::function<void(uint64_t, uint64_t)> rose)
      : rose_(std::move(rose)) {}

  /// A response of the store has arrived.
  /// @return false when it is of an earlier era and must be ignored.
  bool OnResponse(uint64_t era) {
    uint64_t highest = highest_;
    while (highest < era) {
      if (highest_.compare_exchange_weak(highest, era)) {
        rose_(era, highest);
        return true;
      }
    }
    return era == highest;
  }

  uint64_t era() const { return highest_; }

 private:
  std::function<void(uint64_t, uint64_t)> rose_;
  std::atomic<uint64_t> highest_{0};
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_STORE_ERA_TRACKER_H_
