#ifndef KUMQUATVALVE_STANDINS_OBJECT_STORE_H_
#define KUMQUATVALVE_STANDINS_OBJECT_STORE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "kumquatvalve/process/object_api.h"

namespace kumquatvalve::standins {

/// The objects of the object API stand-in, with versions, conditional writes
/// and a bounded event log for watches. Not thread-safe.
class ObjectStore {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  enum class Outcome { kOk, kNotFound, kPreconditionFailed };

  struct WriteResult {
    Outcome outcome = Outcome::kOk;
    /// The object's version after the call, 0 when it did not exist. After a
    /// successful deletion, the revision of the deletion.
    uint64_t version = 0;
  };

  /// Faults in the delivery of events to watches.
  struct WatchFaults {
    /// Events are delivered this long after they were logged.
    std::chrono::milliseconds delay{0};
    /// Every response with events repeats the last events up to `since`.
    bool repeat_events = false;
    /// The events of a response are in random order.
    bool shuffle = false;
  };

  /// @param log_limit maximum number of logged events; a watch from an older
  ///   revision fails.
  /// @param seed of the random order of shuffled events.
  explicit ObjectStore(size_t log_limit = 10000, uint64_t seed = 1)
      : log_limit_(log_limit), random_(seed) {}

  std::optional<process::StoredObject> Read(const std::string& path) const;
  process::ObjectList List(const std::string& prefix) const;

  /// Creates or replaces an object; fails with `kPreconditionFailed`.
  /// @param expected_version required version, 0: the object must not exist.
  WriteResult Put(const std::string& path, uint64_t expected_version,
                  const std::string& body, TimePoint now);
  /// Deletes an object; fails with `kNotFound` or `kPreconditionFailed`.
  WriteResult Delete(const std::string& path, uint64_t expected_version,
                     TimePoint now);

  /// Returns the events after revision `since` without waiting. Nothing when
  /// the log no longer reaches back that far or `since` is in the future.
  std::optional<process::WatchAnswer> EventsSince(const std::string& prefix,
                                                  uint64_t since,
                                                  const WatchFaults& faults,
                                                  TimePoint now);

  uint64_t revision() const { return revision_; }

  /// Drops the whole event log, as a store does in a compaction.
  void DropLog();

 private:
  struct LoggedEvent {
    process::ObjectEvent event;
    TimePoint logged_at;
  };

  void AppendToLog(process::ObjectEvent event, TimePoint now);

  size_t log_limit_;
  std::mt19937_64 random_;
  uint64_t revision_ = 0;
  std::map<std::string, process::StoredObject> objects_;
  std::deque<LoggedEvent> log_;
  /// Revision of the newest event that was dropped from the log.
  uint64_t last_dropped_revision_ = 0;
};

}  // namespace kumquatvalve::standins

#endif  // KUMQUATVALVE_STANDINS_OBJECT_STORE_H_
