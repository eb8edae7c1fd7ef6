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

/// Counts all decisions about flows and logs a limited number of them. Of flows
/// that were placed or admitted a sample is logged. Every verdict has a limit
/// of lines per second; the next line that is written has the number of those
/// suppressed before it in its field `left_out`. One thread logs; any thread
/// may read the counts.
class DecisionLog {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// `logger` must outlive this object.
  explicit DecisionLog(const Logger* logger) : logger_(logger) {}

  /// Counts a decision of an entry instance and logs it within the limits.
  void LogEntryDecision(const connection::EntryDecision& decision,
                        TimePoint now);
  /// Counts a decision of a sidecar's gate and logs it within the limits.
  void LogGateDecision(const connection::GateDecision& decision, TimePoint now);

  /// Number of decisions with this verdict since the start.
  uint64_t EntryCount(connection::EntryVerdict verdict) const {
    return entry_counts_[static_cast<size_t>(verdict)];
  }
  uint64_t GateCount(connection::GateVerdict verdict) const {
    return gate_counts_[static_cast<size_t>(verdict)];
  }

 private:
  // Limit for each verdict.
  static constexpr uint32_t kMaxLinesPerSecond = 5;
  // One of this many placed or admitted flows is logged.
  static constexpr uint64_t kSamplingInterval = 64;

  struct LineLimit {
    TimePoint second_started_at;
    uint32_t lines = 0;
    uint64_t left_out = 0;
  };

  // Whether a line may be written now; if so, sets `left_out` to the number of
  // lines suppressed since the last one.
  static bool AllowLine(LineLimit* limit, TimePoint now, uint64_t* left_out);

  const Logger* logger_;
  std::array<std::atomic<uint64_t>, connection::kEntryVerdicts> entry_counts_{};
  std::array<std::atomic<uint64_t>, connection::kGateVerdicts> gate_counts_{};
  std::array<LineLimit, connection::kEntryVerdicts> entry_limits_{};
  std::array<LineLimit, connection::kGateVerdicts> gate_limits_{};
};

/// Returns the identifier of a flow in logs, "CALLER>SERVICE", each written as
/// address and port.
std::string FlowId(const request::FlowKey& flow);

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_DECISION_LOG_H_
