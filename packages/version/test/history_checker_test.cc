#include "kumquatvalve/version/history_checker.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

namespace kumquatvalve::version {
namespace {

using Kind = HistoryOperation::Kind;
using Outcome = HistoryOperation::Outcome;
using ViolationKind = HistoryViolation::Kind;

HistoryOperation Make(Kind kind, int from, int to, const std::string& value,
                      uint64_t expected, uint64_t version,
                      Outcome outcome = Outcome::kDone,
                      const std::string& process = "a") {
  HistoryOperation it;
  it.process = process;
  it.path = "/p";
  it.kind = kind;
  it.outcome = outcome;
  it.value = value;
  it.expected = expected;
  it.version = version;
  it.invoked = HistoryOperation::TimePoint(std::chrono::seconds(from));
  it.completed = HistoryOperation::TimePoint(std::chrono::seconds(to));
  return it;
}

HistoryOperation Write(int from, int to, const std::string& value,
                       uint64_t expected, uint64_t version,
                       Outcome outcome = Outcome::kDone) {
  return Make(Kind::kWrite, from, to, value, expected, version, outcome);
}

HistoryOperation Read(int from, int to, const std::string& value,
                      uint64_t version) {
  return Make(Kind::kRead, from, to, value, 0, version);
}

HistoryOperation Apply(int at, const std::string& value, uint64_t version,
                       const std::string& process = "a") {
  return Make(Kind::kApply, at, at, value, 0, version, Outcome::kDone, process);
}

HistoryOperation Delete(int from, int to, uint64_t expected, uint64_t version,
                        Outcome outcome = Outcome::kDone) {
  return Make(Kind::kDelete, from, to, "", expected, version, outcome);
}

std::set<ViolationKind> ViolationKinds(
    const std::vector<HistoryOperation>& history) {
  std::set<ViolationKind> kinds;
  for (const HistoryViolation& it : CheckHistory(history)) {
    kinds.insert(it.kind);
  }
  return kinds;
}

// One of two deletions with an unknown outcome took effect; the other one,
// which was recorded later, expected an older version.
TEST_CASE(
    "history_checker: a deleted version is assigned to the deletion that "
    "expected the replaced one") {
  std::vector<HistoryOperation> history = {
      Write(1, 2, "x", 0, 1), Write(3, 4, "y", 1, 2),
      Delete(5, 7, 2, 0, Outcome::kUnknown),
      Delete(3, 8, 1, 0, Outcome::kUnknown), Apply(9, "", 3)};
  CHECK(ViolationKinds(history).empty());
  // Without the one that fits, the order of writes is violated.
  history.erase(history.begin() + 2);
  CHECK(ViolationKinds(history) == std::set{ViolationKind::kLostUpdate});
}

// Guards against false alarms: linearizable histories must have no violations.
TEST_CASE("history_checker: linearizable histories have no violations") {
  const std::vector<std::vector<HistoryOperation>> histories = {
      {},
      {Write(1, 2, "x", 0, 1), Read(3, 4, "x", 1)},
      // Concurrent operations in either order.
      {Write(1, 9, "x", 0, 1), Read(2, 3, "", 0), Read(4, 5, "x", 1)},
      // Writes whose response was lost: their value is seen later, or never.
      {Write(1, 2, "x", 0, 0, Outcome::kUnknown), Read(3, 4, "x", 1)},
      {Write(1, 2, "x", 0, 0, Outcome::kUnknown), Read(3, 4, "", 0)},
      {Write(1, 2, "x", 0, 0, Outcome::kUnknown), Read(3, 4, "", 0),
       Read(5, 6, "x", 1)},
      // Two operators write concurrently; one of them gets a conflict.
      {Write(1, 2, "x", 0, 1), Write(3, 5, "y", 1, 2),
       Write(3, 5, "z", 1, 0, Outcome::kConditionFailed)},
      // Deleted, then created again.
      {Write(1, 2, "x", 0, 1), Delete(3, 4, 1, 5), Read(5, 6, "", 0),
       Write(7, 8, "y", 0, 9)},
      {Write(1, 2, "x", 0, 1), Delete(3, 4, 1, 0, Outcome::kUnknown),
       Read(5, 6, "", 0), Write(7, 8, "y", 0, 9), Apply(9, "", 5, "b")},
      // A process may apply an older version than another process, as long as
      // its own versions never decrease.
      {Write(1, 2, "x", 0, 1), Write(3, 4, "y", 1, 2), Apply(5, "x", 1),
       Apply(6, "y", 2), Apply(7, "x", 1, "b")},
  };
  for (size_t i = 0; i < histories.size(); ++i) {
    INFO("history " << i);
    for (const HistoryViolation& it : CheckHistory(histories[i])) {
      FAIL_CHECK(Name(it.kind) << " " << it.detail);
    }
  }
}

// Guards against missed violations: each kind of fault of the store or a client
// must be reported.
TEST_CASE("history_checker: each kind of violation is reported as its kind") {
  struct InvalidHistory {
    ViolationKind kind;
    std::vector<HistoryOperation> history;
  };
  const std::vector<InvalidHistory> histories = {
      {ViolationKind::kLostUpdate,
       {Write(1, 2, "x", 0, 1), Write(3, 6, "y", 1, 2),
        Write(3, 6, "z", 1, 3)}},
      {ViolationKind::kLostUpdate,
       {Write(1, 5, "x", 0, 1), Write(1, 5, "y", 0, 2)}},
      {ViolationKind::kStaleRead,
       {Write(1, 2, "x", 0, 1), Write(3, 4, "y", 1, 2), Read(5, 6, "x", 1)}},
      {ViolationKind::kStaleRead, {Write(1, 2, "x", 0, 1), Read(3, 4, "", 0)}},
      {ViolationKind::kStaleRead,
       {Write(1, 9, "x", 0, 1), Write(1, 9, "y", 1, 2), Read(2, 3, "y", 2),
        Read(4, 5, "x", 1)}},
      {ViolationKind::kRevertedVersion,
       {Write(1, 2, "x", 0, 1), Write(3, 4, "y", 1, 2), Apply(5, "y", 2),
        Apply(6, "x", 1)}},
      {ViolationKind::kRevertedVersion,
       {Write(1, 2, "x", 0, 1), Delete(3, 4, 1, 2), Apply(5, "", 2),
        Apply(6, "x", 1)}},
      {ViolationKind::kPhantomVersion, {Read(1, 2, "x", 1)}},
      {ViolationKind::kPhantomVersion,
       {Read(1, 2, "x", 1), Write(3, 4, "x", 0, 1)}},
      {ViolationKind::kPhantomVersion,
       {Write(1, 2, "x", 0, 1), Write(3, 4, "y", 1, 2), Apply(5, "x", 2)}},
      {ViolationKind::kPhantomVersion,
       {Write(1, 2, "x", 0, 1), Apply(3, "", 2)}},
      {ViolationKind::kDoubleApply,
       {Write(1, 4, "x", 0, 0, Outcome::kUnknown), Read(5, 6, "x", 1),
        Read(7, 8, "x", 2)}},
      {ViolationKind::kUntrueRefusal,
       {Write(1, 2, "x", 0, 0, Outcome::kNotDone), Read(3, 4, "x", 1)}},
      {ViolationKind::kUntrueRefusal,
       {Write(1, 2, "x", 0, 0, Outcome::kConditionFailed), Apply(3, "x", 1)}},
      {ViolationKind::kFalseConflict,
       {Write(1, 2, "x", 0, 1),
        Write(3, 4, "y", 1, 0, Outcome::kConditionFailed)}},
      {ViolationKind::kFalseConflict,
       {Write(1, 2, "x", 0, 0, Outcome::kConditionFailed)}},
  };
  for (size_t i = 0; i < histories.size(); ++i) {
    INFO("history " << i << " " << Name(histories[i].kind));
    CHECK(ViolationKinds(histories[i].history).contains(histories[i].kind));
  }
}

// The version order of one path must not be applied to another path.
TEST_CASE("history_checker: versions of different paths are independent") {
  std::vector<HistoryOperation> history = {Write(1, 2, "x", 0, 5),
                                           Write(3, 4, "y", 0, 2)};
  CHECK_FALSE(CheckHistory(history).empty());
  history[1].path = "/q";
  CHECK(CheckHistory(history).empty());
}

}  // namespace
}  // namespace kumquatvalve::version
