#include "kumquatvalve/process/decision_log.h"

#include <chrono>
#include <optional>

namespace kumquatvalve::process {
namespace {

// Age in milliseconds; "" when there is no such event.
std::string AgeText(const std::optional<DecisionLog::TimePoint>& at,
                    DecisionLog::TimePoint now) {
  return at ? std::to_string(
                  std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                                        *at)
                      .count())
            : "";
}

// The reason of the last return; "evacuated" when the flow was not offered to
// any upstream because of evacuated zones.
std::string ReasonText(const connection::EntryDecision& decision) {
  return decision.zone_evacuated &&
                 decision.reason == request::ReturnReason::kNone
             ? "evacuated"
             : std::string(Name(decision.reason));
}

LogEvent EventOf(connection::EntryVerdict verdict) {
  return verdict == connection::EntryVerdict::kServiceFull
             ? LogEvent::kServiceFull
             : LogEvent::kFlowDecided;
}

LogEvent EventOf(connection::GateVerdict verdict) {
  switch (verdict) {
    case connection::GateVerdict::kEvicted:
    case connection::GateVerdict::kUnservable:
    case connection::GateVerdict::kWaitExpired:
      return LogEvent::kWaitingReturned;
    default:
      return LogEvent::kUpstreamDecided;
  }
}

}  // namespace

std::string FlowId(const request::FlowKey& flow) {
  return request::ToString(flow.caller) + ">" + request::ToString(flow.service);
}

bool DecisionLog::AllowLine(LineLimit* limit, TimePoint now,
                            uint64_t* left_out) {
  if (now - limit->second_started_at >= std::chrono::seconds(1)) {
    limit->second_started_at = now;
    limit->lines = 0;
  }
  if (limit->lines >= kMaxLinesPerSecond) {
    ++limit->left_out;
    return false;
  }
  ++limit->lines;
  *left_out = limit->left_out;
  limit->left_out = 0;
  return true;
}

void DecisionLog::LogEntryDecision(const connection::EntryDecision& decision,
                                   TimePoint now) {
  const auto index = static_cast<size_t>(decision.verdict);
  const uint64_t n = ++entry_counts_[index];
  const bool sampled = decision.verdict == connection::EntryVerdict::kPlaced;
  uint64_t left_out = 0;
  if (sampled && n % kSamplingInterval != 1) {
    return;
  }
  if (!AllowLine(&entry_limits_[index], now, &left_out)) {
    return;
  }
  logger_->Log(
      sampled ? LogLevel::kInfo : LogLevel::kWarning, EventOf(decision.verdict),
      Name(decision.verdict),
      {{"flow", FlowId(decision.flow)},
       {"route", decision.route == nullptr ? "" : decision.route->name},
       {"sidecar",
        decision.sidecar ? request::ToString(*decision.sidecar) : ""},
       {"reason", ReasonText(decision)},
       {"report_age_ms", std::to_string(decision.report_age.count())},
       {"expected_wait_us", std::to_string(decision.expected_wait.count())},
       {"route_revision", std::to_string(decision.route_revision.value)},
       {"route_era", std::to_string(decision.route_revision.era)},
       {"left_out", std::to_string(left_out)}});
}

void DecisionLog::LogGateDecision(const connection::GateDecision& decision,
                                  TimePoint now) {
  const auto index = static_cast<size_t>(decision.verdict);
  const uint64_t n = ++gate_counts_[index];
  const bool sampled = decision.verdict == connection::GateVerdict::kAdmitted;
  uint64_t left_out = 0;
  if (sampled && n % kSamplingInterval != 1) {
    return;
  }
  if (!AllowLine(&gate_limits_[index], now, &left_out)) {
    return;
  }
  logger_->Log(
      sampled ? LogLevel::kInfo : LogLevel::kWarning, EventOf(decision.verdict),
      Name(decision.verdict),
      {{"flow", FlowId(decision.flow)},
       {"reason", std::string(Name(decision.reason))},
       {"in_progress", std::to_string(decision.in_progress)},
       {"opening", std::to_string(decision.opening)},
       {"waiting", std::to_string(decision.waiting)},
       {"lease", std::string(Name(decision.lease))},
       {"heartbeat_age_ms", AgeText(decision.heartbeat_at, now)},
       {"other_service_age_ms", AgeText(decision.other_service_at, now)},
       {"left_out", std::to_string(left_out)}});
}

}  // namespace kumquatvalve::process
