#ifndef KUMQUATVALVE_PROCESS_DECISION_LOG_H_
#define KUMQUATVALVE_PROCESS_DECISION_LOG_H_

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>

#include "kumquatvalve/connection/entry_router.h"
#include "kumquatvalve/connection/upstream_gate.h"
#include "kumquatvalve/process/log_event.h"
#include "kumquatvalve/process/logging.h"

namespace kumquatvalve::process {

/// Logs decisions about flows within a budget, and counts them all. The
/// ordinary ones are sampled; each kind that ends or moves a flow has a budget
/// of lines a second, and the next line tells how many were left out. Used by
/// one thread; the counts may be read by any.
class DecisionLog {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// `logger` must outlive this object.
  explicit DecisionLog(const Logger* logger) : logger_(logger) {}

  void OnEntryDecision(const connection::EntryDecision& decision,
                       TimePoint now);
  void OnGateDecision(const connection::GateDecision& decision, TimePoint now);

  uint64_t EntryCount(connection::EntryVerdict verdict) const {
    return entry_counts_[static_cast<size_t>(verdict)];
  }
  uint64_t GateCount(connection::GateVerdict verdict) const {
    return gate_counts_[static_cast<size_t>(verdict)];
  }

 private:
  // Lines a second of one verdict.
  static constexpr uint32_t kBudget = 5;
  // One of this many ordinary flows is logged.
  static constexpr uint64_t kSampled = 64;

  struct Budget {
    TimePoint since;
    uint32_t used = 0;
    uint64_t left_out = 0;
  };

  // Whether a line may be written; if so `left_out` is what was not written
  // before.
  static bool Take(Budget* budget, TimePoint now, uint64_t* left_out);

  const Logger* logger_;
  std::array<std::atomic<uint64_t>, connection::kEntryVerdicts> entry_counts_{};
  std::array<std::atomic<uint64_t>, connection::kGateVerdicts> gate_counts_{};
  std::array<Budget, connection::kEntryVerdicts> entry_budgets_{};
  std::array<Budget, connection::kGateVerdicts> gate_budgets_{};
};

/// The id of a flow in logs: "CALLER>SERVICE", both as address and port.
std::string FlowId(const request::FlowKey& flow);

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_DECISION_LOG_H_
