#ifndef KUMQUATVALVE_VERSION_HISTORY_CHECKER_H_
#define KUMQUATVALVE_VERSION_HISTORY_CHECKER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatvalve::version {

/// One operation of a recorded run.
struct HistoryOperation {
  enum class Kind {
    /// Read of an object from the store.
    kRead,
    /// Conditional create or update.
    kWrite,
    /// Conditional deletion.
    kDelete,
    /// A process put a version in force.
    kApply,
  };
  enum class Outcome {
    /// Took effect; for reads and applies: has a result.
    kDone,
    /// The store said that the condition did not hold; it did not take effect.
    kConditionFailed,
    /// Certainly did not take effect, for another reason.
    kNotDone,
    /// The answer was lost.
    kUnknown,
  };
  using TimePoint = std::chrono::steady_clock::time_point;

  std::string process;
  std::string path;
  Kind kind = Kind::kRead;
  Outcome outcome = Outcome::kDone;
  /// Unique name of the written value, or the name that was read or applied;
  /// empty when the object did not exist.
  std::string value;
  /// Writes and deletions: the version that the object must have, 0 for none.
  uint64_t expected = 0;
  /// Writes and deletions that are done: the new version. Reads and applies:
  /// the object's version; 0 for a read that found nothing.
  uint64_t version = 0;
  TimePoint invoked;
  TimePoint completed;
};

/// A way in which a history is wrong.
struct HistoryViolation {
  enum class Kind {
    /// A write took effect over a version other than the expected one.
    kLostUpdate,
    /// An operation saw an older version than one completed before it.
    kStaleRead,
    /// A process put an older version in force than before.
    kRevertedVersion,
    /// A version or value that no operation wrote, or not by then.
    kPhantomVersion,
    /// One operation took effect at two versions.
    kDoubleApply,
    /// A write was reported as not done, but its value was seen.
    kUntrueRefusal,
    /// A condition was refused although it held all the time.
    kFalseConflict,
  };

  Kind kind;
  std::string detail;
};

std::string_view Name(HistoryViolation::Kind kind);

/// Decides whether the operations on each path are linearizable and no
/// process's versions go down. The store's versions give the order of writes,
/// so the check is exact: the history is linearizable when that order and the
/// order of completed and later invoked operations agree, and each write
/// follows the version that it expected.
std::vector<HistoryViolation> CheckHistory(
    const std::vector<HistoryOperation>& history);

}  // namespace kumquatvalve::version

#endif  // KUMQUATVALVE_VERSION_HISTORY_CHECKER_H_
