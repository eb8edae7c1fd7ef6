#include "kumquatvalve/version/history_checker.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace kumquatvalve::version {
namespace {

using Kind = HistoryOperation::Kind;
using Outcome = HistoryOperation::Outcome;
using ViolationKind = HistoryViolation::Kind;
using TimePoint = HistoryOperation::TimePoint;

bool IsWrite(const HistoryOperation& it) {
  return it.kind == Kind::kWrite || it.kind == Kind::kDelete;
}

// Checks the operations on one path.
class PathChecker {
 public:
  PathChecker(std::string path, std::vector<HistoryViolation>* violations)
      : path_(std::move(path)), violations_(*violations) {}

  void Add(const HistoryOperation& operation) {
    operations_.push_back(&operation);
  }

  void Check() {
    for (const HistoryOperation* it : operations_) {
      if (it->kind == Kind::kWrite) {
        writes_[it->value] = it;
      }
    }
    CollectVersions();
    CheckWriters();
    CheckWriteOrder();
    CheckRealTimeOrder();
    CheckAppliedVersions();
  }

 private:
  // One version of the path, as derived from all operations that saw or wrote
  // it.
  struct Version {
    std::string value;
    bool deleted = false;
    const HistoryOperation* writer = nullptr;
  };

  void AddViolation(ViolationKind kind, uint64_t version,
                    const std::string& text) {
    violations_.push_back(
        {kind, path_ + " version " + std::to_string(version) + ": " + text});
  }

  void AddVersion(uint64_t version, const std::string& value, bool deleted) {
    const auto [it, added] =
        versions_.emplace(version, Version{value, deleted, nullptr});
    if (!added &&
        (it->second.value != value || it->second.deleted != deleted)) {
      AddViolation(
          ViolationKind::kPhantomVersion, version,
          "has the values '" + it->second.value + "' and '" + value + "'");
    }
  }

  void CollectVersions() {
    for (const HistoryOperation* it : operations_) {
      if (it->outcome != Outcome::kDone || it->version == 0) {
        continue;
      }
      const bool deleted = it->kind == Kind::kDelete ||
                           (it->kind == Kind::kApply && it->value.empty());
      AddVersion(it->version, deleted ? "" : it->value, deleted);
    }
  }

  // Checks that each version was written by one operation, that each operation
  // wrote at most one version, and that no version was seen before its write
  // was invoked.
  void CheckWriters() {
    std::map<std::string, uint64_t> version_of;
    std::set<const HistoryOperation*> used_deletes;
    uint64_t replaced = 0;
    for (auto& [version, version_state] : versions_) {
      const uint64_t before = std::exchange(replaced, version);
      if (version_state.deleted) {
        version_state.writer = FindDelete(before, version, &used_deletes);
        if (version_state.writer == nullptr) {
          AddViolation(ViolationKind::kPhantomVersion, version,
                       "no operation deleted the object");
        }
        continue;
      }
      const auto write = writes_.find(version_state.value);
      if (write == writes_.end()) {
        AddViolation(ViolationKind::kPhantomVersion, version,
                     "no operation wrote '" + version_state.value + "'");
        continue;
      }
      version_state.writer = write->second;
      const auto [earlier, added] =
          version_of.emplace(version_state.value, version);
      if (!added) {
        AddViolation(ViolationKind::kDoubleApply, version,
                     "'" + version_state.value +
                         "' was also written as version " +
                         std::to_string(earlier->second));
      }
      if (version_state.writer->outcome == Outcome::kConditionFailed ||
          version_state.writer->outcome == Outcome::kNotDone) {
        AddViolation(
            ViolationKind::kUntrueRefusal, version,
            "'" + version_state.value + "' was reported as not written");
      }
    }
    for (const HistoryOperation* it : operations_) {
      const auto version_state = versions_.find(it->version);
      if (!IsWrite(*it) && it->outcome == Outcome::kDone &&
          version_state != versions_.end() &&
          version_state->second.writer != nullptr &&
          version_state->second.writer->invoked > it->completed) {
        AddViolation(ViolationKind::kPhantomVersion, it->version,
                     "was seen by " + it->process + " before it was written");
      }
    }
  }

  // Finds the operation that deleted the object at `version`: the one that
  // reported it, or else one with an unknown outcome. Of these, the ones that
  // expected the replaced version `before` go first: another one can only have
  // taken effect elsewhere.
  const HistoryOperation* FindDelete(uint64_t before, uint64_t version,
                                     std::set<const HistoryOperation*>* used) {
    const HistoryOperation* unknown_delete = nullptr;
    for (const HistoryOperation* it : operations_) {
      if (it->kind != Kind::kDelete) {
        continue;
      }
      if (it->outcome == Outcome::kDone && it->version == version) {
        return it;
      }
      const bool possible = it->outcome == Outcome::kUnknown &&
                            it->expected < version && !used->contains(it);
      if (possible && (unknown_delete == nullptr || it->expected == before)) {
        unknown_delete = it;
      }
    }
    if (unknown_delete != nullptr) {
      used->insert(unknown_delete);
    }
    return unknown_delete;
  }

  // `expected` 0 means that the object must not exist, which is also the state
  // after a deletion.
  static bool SatisfiesExpectedVersion(const HistoryOperation& write,
                                       uint64_t before, bool before_deleted) {
    return write.expected == 0 ? before == 0 || before_deleted
                               : !before_deleted && write.expected == before;
  }

  // Checks that each write replaced the version that it expected. Writes with
  // an unknown outcome may have created versions that no operation saw, so a
  // gap between two known versions is a violation only when no such write can
  // fill it.
  void CheckWriteOrder() {
    uint64_t before = 0;
    bool before_deleted = false;
    for (const auto& [version, version_state] : versions_) {
      if (version_state.writer != nullptr) {
        const HistoryOperation& write = *version_state.writer;
        if (!SatisfiesExpectedVersion(write, before, before_deleted) &&
            !MayFollowUnseenDeletion(write, before, version)) {
          AddViolation(ViolationKind::kLostUpdate, version,
                       "the write expected version " +
                           std::to_string(write.expected) +
                           " but replaced version " + std::to_string(before));
        }
      }
      before = version;
      before_deleted = version_state.deleted;
    }
  }

  // True when a deletion with an unknown outcome may have produced the state
  // that the write found, between versions `before` and `version`. A write with
  // an unknown outcome is no explanation: its version was never seen, so no
  // operation can expect it.
  bool MayFollowUnseenDeletion(const HistoryOperation& write, uint64_t before,
                               uint64_t version) const {
    return write.expected == 0 &&
           std::any_of(operations_.begin(), operations_.end(),
                       [&](const HistoryOperation* it) {
                         return it->kind == Kind::kDelete &&
                                it->outcome == Outcome::kUnknown &&
                                it->expected == before &&
                                it->expected < version &&
                                it->invoked < write.completed;
                       });
  }

  // Checks that versions agree with the real-time order: an operation that was
  // invoked after another completed must not see an older version.
  void CheckRealTimeOrder() {
    std::vector<std::pair<TimePoint, uint64_t>> completed;
    for (const HistoryOperation* it : operations_) {
      if (it->kind != Kind::kApply && it->outcome == Outcome::kDone &&
          it->version != 0) {
        completed.emplace_back(it->completed, it->version);
      }
    }
    std::sort(completed.begin(), completed.end());
    for (size_t i = 1; i < completed.size(); ++i) {
      completed[i].second =
          std::max(completed[i].second, completed[i - 1].second);
    }
    for (const HistoryOperation* it : operations_) {
      if (it->kind == Kind::kApply) {
        continue;
      }
      // The newest version that was completed before this operation was
      // invoked.
      const auto next = std::lower_bound(completed.begin(), completed.end(),
                                         std::pair(it->invoked, uint64_t{0}));
      const uint64_t newest_completed =
          next == completed.begin() ? 0 : std::prev(next)->second;
      CheckNotOlderThan(*it, newest_completed);
    }
  }

  void CheckNotOlderThan(const HistoryOperation& it,
                         uint64_t newest_completed) {
    if (it.outcome == Outcome::kConditionFailed) {
      const bool condition_held =
          it.expected == 0
              ? newest_completed == 0 || versions_.at(newest_completed).deleted
              : it.expected == newest_completed &&
                    !versions_.at(newest_completed).deleted;
      if (condition_held && !MayHaveChangedBefore(newest_completed, it)) {
        AddViolation(
            ViolationKind::kFalseConflict, newest_completed,
            it.process +
                " got a conflict although its condition held, writing '" +
                it.value + "'");
      }
      return;
    }
    if (it.outcome != Outcome::kDone) {
      return;
    }
    if (it.version != 0) {
      const bool stale = IsWrite(it) ? it.version <= newest_completed
                                     : it.version < newest_completed;
      if (stale) {
        AddViolation(ViolationKind::kStaleRead, it.version,
                     it.process + " saw it after the completion of version " +
                         std::to_string(newest_completed));
      }
      return;
    }
    // A read that found no object.
    if (it.kind == Kind::kRead && newest_completed != 0 &&
        !versions_.at(newest_completed).deleted &&
        !MayHaveBeenDeletedBefore(newest_completed, it)) {
      AddViolation(ViolationKind::kStaleRead, 0,
                   it.process +
                       " found no object after the completed version " +
                       std::to_string(newest_completed));
    }
  }

  // True when another write may have taken effect after version
  // `newest_completed` and before `it` completed.
  bool MayHaveChangedBefore(uint64_t newest_completed,
                            const HistoryOperation& it) const {
    return std::any_of(operations_.begin(), operations_.end(),
                       [&](const HistoryOperation* other) {
                         return other != &it && IsWrite(*other) &&
                                other->invoked <= it.completed &&
                                (other->outcome == Outcome::kUnknown ||
                                 (other->outcome == Outcome::kDone &&
                                  other->version > newest_completed));
                       });
  }

  bool MayHaveBeenDeletedBefore(uint64_t newest_completed,
                                const HistoryOperation& it) const {
    return std::any_of(operations_.begin(), operations_.end(),
                       [&](const HistoryOperation* other) {
                         return other->kind == Kind::kDelete &&
                                other->invoked <= it.completed &&
                                (other->outcome == Outcome::kUnknown ||
                                 (other->outcome == Outcome::kDone &&
                                  other->version > newest_completed));
                       });
  }

  void CheckAppliedVersions() {
    std::map<std::string, std::vector<const HistoryOperation*>> by_process;
    for (const HistoryOperation* it : operations_) {
      if (it->kind == Kind::kApply) {
        by_process[it->process].push_back(it);
      }
    }
    for (auto& [process, applies] : by_process) {
      std::stable_sort(applies.begin(), applies.end(),
                       [](const auto* a, const auto* b) {
                         return a->completed < b->completed;
                       });
      uint64_t newest = 0;
      for (const HistoryOperation* it : applies) {
        if (it->version < newest) {
          AddViolation(ViolationKind::kRevertedVersion, it->version,
                       process + " had already applied version " +
                           std::to_string(newest) + " before");
        }
        newest = std::max(newest, it->version);
      }
    }
  }

  std::string path_;
  std::vector<HistoryViolation>& violations_;
  std::vector<const HistoryOperation*> operations_;
  std::map<std::string, const HistoryOperation*> writes_;
  std::map<uint64_t, Version> versions_;
};

}  // namespace

std::string_view Name(HistoryViolation::Kind kind) {
  switch (kind) {
    case ViolationKind::kLostUpdate:
      return "lost_update";
    case ViolationKind::kStaleRead:
      return "stale_read";
    case ViolationKind::kRevertedVersion:
      return "reverted_version";
    case ViolationKind::kPhantomVersion:
      return "phantom_version";
    case ViolationKind::kDoubleApply:
      return "double_apply";
    case ViolationKind::kUntrueRefusal:
      return "untrue_refusal";
    case ViolationKind::kFalseConflict:
      return "false_conflict";
  }
  return "unknown";
}

std::vector<HistoryViolation> CheckHistory(
    const std::vector<HistoryOperation>& history) {
  std::vector<HistoryViolation> violations;
  std::map<std::string, PathChecker> paths;
  for (const HistoryOperation& it : history) {
    paths.try_emplace(it.path, it.path, &violations).first->second.Add(it);
  }
  for (auto& [path, checker] : paths) {
    checker.Check();
  }
  return violations;
}

}  // namespace kumquatvalve::version
