#include "kumquatvalve/version/history_checker.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

namespace kumquatvalve::version {
namespace {

using Kind = HistoryOperation::Kind;
using Outcome = HistoryOperation::Outcome;
using Wrong = HistoryViolation::Kind;

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

std::set<Wrong> KindsIn(const std::vector<HistoryOperation>& history) {
  std::set<Wrong> kinds;
  for (const HistoryViolation& it : CheckHistory(history)) {
    kinds.insert(it.kind);
  }
  return kinds;
}

// A checker that rejects right histories makes its users ignore it.
TEST_CASE("history_checker: right histories are accepted") {
  const std::vector<std::vector<HistoryOperation>> histories = {
      {},
      {Write(1, 2, "x", 0, 1), Read(3, 4, "x", 1)},
      // Concurrent operations in either order.
      {Write(1, 9, "x", 0, 1), Read(2, 3, "", 0), Read(4, 5, "x", 1)},
      // Lost answers: seen, or never seen.
      {Write(1, 2, "x", 0, 0, Outcome::kUnknown), Read(3, 4, "x", 1)},
      {Write(1, 2, "x", 0, 0, Outcome::kUnknown), Read(3, 4, "", 0)},
      {Write(1, 2, "x", 0, 0, Outcome::kUnknown), Read(3, 4, "", 0),
       Read(5, 6, "x", 1)},
      // Two operators, one wins.
      {Write(1, 2, "x", 0, 1), Write(3, 5, "y", 1, 2),
       Write(3, 5, "z", 1, 0, Outcome::kConditionFailed)},
      // Deleted and created again.
      {Write(1, 2, "x", 0, 1), Delete(3, 4, 1, 5), Read(5, 6, "", 0),
       Write(7, 8, "y", 0, 9)},
      {Write(1, 2, "x", 0, 1), Delete(3, 4, 1, 0, Outcome::kUnknown),
       Read(5, 6, "", 0), Write(7, 8, "y", 0, 9), Apply(9, "", 5, "b")},
      // A process that is behind, but never goes back.
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

// Each fault that the store or a client may have must be found.
TEST_CASE("history_checker: wrong histories are rejected for their fault") {
  struct BadHistory {
    Wrong kind;
    std::vector<HistoryOperation> history;
  };
  const std::vector<BadHistory> histories = {
      {Wrong::kLostUpdate,
       {Write(1, 2, "x", 0, 1), Write(3, 6, "y", 1, 2),
        Write(3, 6, "z", 1, 3)}},
      {Wrong::kLostUpdate, {Write(1, 5, "x", 0, 1), Write(1, 5, "y", 0, 2)}},
      {Wrong::kStaleRead,
       {Write(1, 2, "x", 0, 1), Write(3, 4, "y", 1, 2), Read(5, 6, "x", 1)}},
      {Wrong::kStaleRead, {Write(1, 2, "x", 0, 1), Read(3, 4, "", 0)}},
      {Wrong::kStaleRead,
       {Write(1, 9, "x", 0, 1), Write(1, 9, "y", 1, 2), Read(2, 3, "y", 2),
        Read(4, 5, "x", 1)}},
      {Wrong::kRevertedVersion,
       {Write(1, 2, "x", 0, 1), Write(3, 4, "y", 1, 2), Apply(5, "y", 2),
        Apply(6, "x", 1)}},
      {Wrong::kRevertedVersion,
       {Write(1, 2, "x", 0, 1), Delete(3, 4, 1, 2), Apply(5, "", 2),
        Apply(6, "x", 1)}},
      {Wrong::kPhantomVersion, {Read(1, 2, "x", 1)}},
      {Wrong::kPhantomVersion, {Read(1, 2, "x", 1), Write(3, 4, "x", 0, 1)}},
      {Wrong::kPhantomVersion,
       {Write(1, 2, "x", 0, 1), Write(3, 4, "y", 1, 2), Apply(5, "x", 2)}},
      {Wrong::kPhantomVersion, {Write(1, 2, "x", 0, 1), Apply(3, "", 2)}},
      {Wrong::kDoubleApply,
       {Write(1, 4, "x", 0, 0, Outcome::kUnknown), Read(5, 6, "x", 1),
        Read(7, 8, "x", 2)}},
      {Wrong::kUntrueRefusal,
       {Write(1, 2, "x", 0, 0, Outcome::kNotDone), Read(3, 4, "x", 1)}},
      {Wrong::kUntrueRefusal,
       {Write(1, 2, "x", 0, 0, Outcome::kConditionFailed), Apply(3, "x", 1)}},
      {Wrong::kFalseConflict,
       {Write(1, 2, "x", 0, 1),
        Write(3, 4, "y", 1, 0, Outcome::kConditionFailed)}},
      {Wrong::kFalseConflict,
       {Write(1, 2, "x", 0, 0, Outcome::kConditionFailed)}},
  };
  for (size_t i = 0; i < histories.size(); ++i) {
    INFO("history " << i << " " << Name(histories[i].kind));
    CHECK(KindsIn(histories[i].history).contains(histories[i].kind));
  }
}

// Objects of different paths have their own order.
TEST_CASE("history_checker: paths are checked apart") {
  std::vector<HistoryOperation> history = {Write(1, 2, "x", 0, 5),
                                           Write(3, 4, "y", 0, 2)};
  CHECK_FALSE(CheckHistory(history).empty());
  history[1].path = "/q";
  CHECK(CheckHistory(history).empty());
}

}  // namespace
}  // namespace kumquatvalve::version
