#ifndef KUMQUATVALVE_VERSION_HISTORY_CHECKER_H_
#define KUMQUATVALVE_VERSION_HISTORY_CHECKER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatvalve::version {

/// One operation in the recorded history of a run.
struct HistoryOperation {
  enum class Kind {
    /// Read of an object from the store.
    kRead,
    /// Conditional create or update.
    kWrite,
    /// Conditional deletion.
    kDelete,
    /// A process started to use a version of its configuration.
    kApply,
  };
  enum class Outcome {
    /// The operation took effect; reads and applies have a result.
    kDone,
    /// The store reported that the expected version did not match; the
    /// operation did not take effect.
    kConditionFailed,
    /// The operation is known not to have taken effect, for another reason.
    kNotDone,
    /// The response was lost; the operation may or may not have taken effect.
    kUnknown,
  };
  using TimePoint = std::chrono::steady_clock::time_point;

  std::string process;
  std::string path;
  Kind kind = Kind::kRead;
  Outcome outcome = Outcome::kDone;
  /// Unique identifier of the value that was written, read or applied; empty
  /// when the object did not exist.
  std::string value;
  /// Writes and deletions: the version that the object must have for the
  /// operation to take effect; 0 when the object must not exist.
  uint64_t expected = 0;
  /// Writes and deletions with outcome `kDone`: the new version. Reads and
  /// applies: the object's version; 0 for a read that found no object.
  uint64_t version = 0;
  /// The operation took effect, if at all, between these two times.
  TimePoint invoked;
  TimePoint completed;
};

/// A consistency violation found in a history.
struct HistoryViolation {
  enum class Kind {
    /// A write replaced a version other than the expected one.
    kLostUpdate,
    /// An operation returned a version older than one that had been completed
    /// before the operation was invoked.
    kStaleRead,
    /// A process applied an older version than it had applied before.
    kRevertedVersion,
    /// A version or value was seen that no operation had written by that time.
    kPhantomVersion,
    /// One operation took effect at two versions.
    kDoubleApply,
    /// A write was reported as not done, but its value was seen in the store.
    kUntrueRefusal,
    /// A conditional operation was reported as a conflict although its
    /// condition held for its whole duration.
    kFalseConflict,
  };

  Kind kind;
  std::string detail;
};

/// Returns the name of a kind of violation, for example "lost_update".
std::string_view Name(HistoryViolation::Kind kind);

/// Checks that the operations on each path are linearizable and that the
/// versions that a process applies never decrease. The check is exact, because
/// the store's versions give the total order of writes: the history is
/// linearizable when this order agrees with the real-time order of operations
/// that do not overlap, and when each write replaced the version that it
/// expected.
std::vector<HistoryViolation> CheckHistory(
    const std::vector<HistoryOperation>& history);

}  // namespace kumquatvalve::version

#endif  // KUMQUATVALVE_VERSION_HISTORY_CHECKER_H_
