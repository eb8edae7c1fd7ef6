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
using Wrong = HistoryViolation::Kind;
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
    CheckValues();
    CheckChain();
    CheckRealTime();
    CheckProcesses();
  }

 private:
  // What is known of one version of the path.
  struct Version {
    std::string value;
    bool deleted = false;
    const HistoryOperation* writer = nullptr;
  };

  void Report(Wrong kind, uint64_t version, const std::string& text) {
    violations_.push_back(
        {kind, path_ + " version " + std::to_string(version) + ": " + text});
  }

  void AddVersion(uint64_t version, const std::string& value, bool deleted) {
    const auto [it, added] =
        versions_.emplace(version, Version{value, deleted, nullptr});
    if (!added &&
        (it->second.value != value || it->second.deleted != deleted)) {
      Report(Wrong::kPhantomVersion, version,
             "is both '" + it->second.value + "' and '" + value + "'");
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

  // Each version was written by one operation, and each operation wrote at
  // most one version.
  void CheckValues() {
    std::map<std::string, uint64_t> version_of;
    std::set<const HistoryOperation*> used_deletes;
    for (auto& [version, known] : versions_) {
      if (known.deleted) {
        known.writer = FindDelete(version, &used_deletes);
        if (known.writer == nullptr) {
          Report(Wrong::kPhantomVersion, version, "nobody deleted the object");
        }
        continue;
      }
      const auto write = writes_.find(known.value);
      if (write == writes_.end()) {
        Report(Wrong::kPhantomVersion, version,
               "nobody wrote '" + known.value + "'");
        continue;
      }
      known.writer = write->second;
      const auto [earlier, added] = version_of.emplace(known.value, version);
      if (!added) {
        Report(Wrong::kDoubleApply, version,
               "'" + known.value + "' is also version " +
                   std::to_string(earlier->second));
      }
      if (known.writer->outcome == Outcome::kConditionFailed ||
          known.writer->outcome == Outcome::kNotDone) {
        Report(Wrong::kUntrueRefusal, version,
               "'" + known.value + "' was reported as not done");
      }
    }
    for (const HistoryOperation* it : operations_) {
      const auto known = versions_.find(it->version);
      if (!IsWrite(*it) && it->outcome == Outcome::kDone &&
          known != versions_.end() && known->second.writer != nullptr &&
          known->second.writer->invoked > it->completed) {
        Report(Wrong::kPhantomVersion, it->version,
               "was seen by " + it->process + " before it was written");
      }
    }
  }

  const HistoryOperation* FindDelete(uint64_t version,
                                     std::set<const HistoryOperation*>* used) {
    const HistoryOperation* lost = nullptr;
    for (const HistoryOperation* it : operations_) {
      if (it->kind != Kind::kDelete) {
        continue;
      }
      if (it->outcome == Outcome::kDone && it->version == version) {
        return it;
      }
      if (it->outcome == Outcome::kUnknown && it->expected < version &&
          !used->contains(it)) {
        lost = it;
      }
    }
    if (lost != nullptr) {
      used->insert(lost);
    }
    return lost;
  }

  // The state that `expected` 0 stands for is also left by a deletion.
  static bool Follows(const HistoryOperation& write, uint64_t before,
                      bool before_deleted) {
    return write.expected == 0 ? before == 0 || before_deleted
                               : !before_deleted && write.expected == before;
  }

  // Unknown writes that nobody saw may stand between two known versions, so a
  // gap is wrong only when they cannot fill it.
  void CheckChain() {
    uint64_t before = 0;
    bool before_deleted = false;
    for (const auto& [version, known] : versions_) {
      if (known.writer != nullptr) {
        const HistoryOperation& write = *known.writer;
        if (!Follows(write, before, before_deleted) &&
            !MayHaveHiddenVersion(write, before, version)) {
          Report(Wrong::kLostUpdate, version,
                 "expected version " + std::to_string(write.expected) +
                     " and followed " + std::to_string(before));
        }
      }
      before = version;
      before_deleted = known.deleted;
    }
  }

  // True when a lost deletion between `before` and `version` can be what the
  // write found. A lost write cannot: nobody can expect a version that nobody
  // saw.
  bool MayHaveHiddenVersion(const HistoryOperation& write, uint64_t before,
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

  // Versions agree with the order of completed and later invoked operations.
  void CheckRealTime() {
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
      // The newest version completed before this operation began.
      const auto next = std::lower_bound(completed.begin(), completed.end(),
                                         std::pair(it->invoked, uint64_t{0}));
      const uint64_t least =
          next == completed.begin() ? 0 : std::prev(next)->second;
      CheckAgainst(*it, least);
    }
  }

  void CheckAgainst(const HistoryOperation& it, uint64_t least) {
    if (it.outcome == Outcome::kConditionFailed) {
      const bool held =
          it.expected == 0
              ? least == 0 || versions_.at(least).deleted
              : it.expected == least && !versions_.at(least).deleted;
      if (held && !MayChangeBefore(least, it)) {
        Report(Wrong::kFalseConflict, least,
               it.process + " was refused '" + it.value + "'");
      }
      return;
    }
    if (it.outcome != Outcome::kDone) {
      return;
    }
    if (it.version != 0) {
      const bool stale = IsWrite(it) ? it.version <= least : it.version < least;
      if (stale) {
        Report(Wrong::kStaleRead, it.version,
               it.process + " saw it after version " + std::to_string(least));
      }
      return;
    }
    // A read that found nothing.
    if (it.kind == Kind::kRead && least != 0 && !versions_.at(least).deleted &&
        !MayBeDeletedBefore(least, it)) {
      Report(
          Wrong::kStaleRead, 0,
          it.process + " found nothing after version " + std::to_string(least));
    }
  }

  // True when another write may have taken effect after version `least` and
  // before `it` completed.
  bool MayChangeBefore(uint64_t least, const HistoryOperation& it) const {
    return std::any_of(
        operations_.begin(), operations_.end(),
        [&](const HistoryOperation* other) {
          return other != &it && IsWrite(*other) &&
                 other->invoked <= it.completed &&
                 (other->outcome == Outcome::kUnknown ||
                  (other->outcome == Outcome::kDone && other->version > least));
        });
  }

  bool MayBeDeletedBefore(uint64_t least, const HistoryOperation& it) const {
    return std::any_of(
        operations_.begin(), operations_.end(),
        [&](const HistoryOperation* other) {
          return other->kind == Kind::kDelete &&
                 other->invoked <= it.completed &&
                 (other->outcome == Outcome::kUnknown ||
                  (other->outcome == Outcome::kDone && other->version > least));
        });
  }

  void CheckProcesses() {
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
          Report(
              Wrong::kRevertedVersion, it->version,
              process + " had version " + std::to_string(newest) + " in force");
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
    case Wrong::kLostUpdate:
      return "lost_update";
    case Wrong::kStaleRead:
      return "stale_read";
    case Wrong::kRevertedVersion:
      return "reverted_version";
    case Wrong::kPhantomVersion:
      return "phantom_version";
    case Wrong::kDoubleApply:
      return "double_apply";
    case Wrong::kUntrueRefusal:
      return "untrue_refusal";
    case Wrong::kFalseConflict:
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
