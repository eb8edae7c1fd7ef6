#include "kumquatvalve/process/decision_log.h"

#include <netinet/in.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace kumquatvalve::process {
namespace {

using connection::EntryVerdict;

// Redirects standard output to a temporary file during its lifetime.
class CapturedOutput {
 public:
  CapturedOutput() : file_(std::tmpfile()), saved_stdout_(dup(STDOUT_FILENO)) {
    std::cout.flush();
    dup2(fileno(file_), STDOUT_FILENO);
  }
  ~CapturedOutput() {
    dup2(saved_stdout_, STDOUT_FILENO);
    close(saved_stdout_);
    std::fclose(file_);
  }
  CapturedOutput(const CapturedOutput&) = delete;
  CapturedOutput& operator=(const CapturedOutput&) = delete;

  std::vector<nlohmann::json> Lines() {
    std::rewind(file_);
    std::vector<nlohmann::json> lines;
    std::string line;
    for (int c = std::fgetc(file_); c != EOF; c = std::fgetc(file_)) {
      if (c == '\n') {
        lines.push_back(nlohmann::json::parse(line)["log"]);
        line.clear();
      } else {
        line += static_cast<char>(c);
      }
    }
    return lines;
  }

 private:
  std::FILE* file_;
  int saved_stdout_;
};

connection::EntryDecision Decision(EntryVerdict verdict) {
  request::Failure failure;
  connection::EntryDecision decision;
  decision.verdict = verdict;
  decision.flow = {*request::ParseEndpoint("100.64.0.7:40001", &failure),
                   *request::ParseEndpoint("198.18.0.1:443", &failure),
                   IPPROTO_TCP};
  decision.route_revision = {12, 3};
  return decision;
}

TEST_CASE("decision_log: a line has the flow, the inputs and the verdict") {
  CapturedOutput output;
  const Logger logger("e-1", LogFormat::kJson, LogLevel::kInfo);
  DecisionLog log(&logger);
  log.LogEntryDecision(Decision(EntryVerdict::kOverloaded),
                       std::chrono::steady_clock::now());
  const auto lines = output.Lines();
  REQUIRE(lines.size() == 1);
  CHECK(lines[0]["msg"] == "overloaded");
  CHECK(lines[0]["flow"] == "100.64.0.7:40001>198.18.0.1:443");
  CHECK(lines[0]["route_revision"] == "12");
  CHECK(lines[0]["route_era"] == "3");
}

TEST_CASE(
    "decision_log: lines per second are limited and the next one counts the "
    "suppressed ones") {
  CapturedOutput output;
  const Logger logger("e-1", LogFormat::kJson, LogLevel::kInfo);
  DecisionLog log(&logger);
  const auto now = std::chrono::steady_clock::now();
  for (int i = 0; i < 1000; ++i) {
    log.LogEntryDecision(Decision(EntryVerdict::kNoRoute), now);
  }
  log.LogEntryDecision(Decision(EntryVerdict::kNoRoute),
                       now + std::chrono::seconds(1));
  const auto lines = output.Lines();
  // docs/OPERATIONS.md promises 5 lines per second and verdict.
  REQUIRE(lines.size() == 6);
  CHECK(lines.back()["left_out"] == "995");
  CHECK(log.EntryCount(EntryVerdict::kNoRoute) == 1001);
}

TEST_CASE("decision_log: one of 64 placed flows is logged") {
  CapturedOutput output;
  const Logger logger("e-1", LogFormat::kJson, LogLevel::kInfo);
  DecisionLog log(&logger);
  for (int i = 0; i < 128; ++i) {
    log.LogEntryDecision(Decision(EntryVerdict::kPlaced),
                         std::chrono::steady_clock::now());
  }
  CHECK(output.Lines().size() == 2);
}

TEST_CASE("decision_log: a closed standard output does not end the process") {
  const int saved_stdout = dup(STDOUT_FILENO);
  std::cout.flush();
  close(STDOUT_FILENO);
  const Logger logger("e-1", LogFormat::kJson, LogLevel::kInfo);
  DecisionLog log(&logger);
  log.LogEntryDecision(Decision(EntryVerdict::kNoRoute),
                       std::chrono::steady_clock::now());
  dup2(saved_stdout, STDOUT_FILENO);
  close(saved_stdout);
  CHECK(log.EntryCount(EntryVerdict::kNoRoute) == 1);
}

TEST_CASE(
    "decision_log: a sidecar's decisions state how old the last heartbeats of "
    "its upstream and of another service are") {
  CapturedOutput output;
  const Logger logger("s-1", LogFormat::kJson, LogLevel::kInfo);
  DecisionLog log(&logger);
  const DecisionLog::TimePoint now{std::chrono::hours(1)};
  connection::GateDecision decision;
  decision.verdict = connection::GateVerdict::kReturned;
  log.LogGateDecision(decision, now);
  decision.heartbeat_at = now - std::chrono::milliseconds(2400);
  decision.other_service_at = now - std::chrono::milliseconds(7);
  log.LogGateDecision(decision, now);
  const auto lines = output.Lines();
  REQUIRE(lines.size() == 2);
  CHECK(lines[0]["heartbeat_age_ms"] == "");
  CHECK(lines[0]["other_service_age_ms"] == "");
  CHECK(lines[1]["heartbeat_age_ms"] == "2400");
  CHECK(lines[1]["other_service_age_ms"] == "7");
}

// Guards against flows that a full queue returned unnoticed among all others.
TEST_CASE(
    "decision_log: refusals under overload have event numbers of their own") {
  CapturedOutput output;
  const Logger logger("s-1", LogFormat::kJson, LogLevel::kInfo);
  DecisionLog log(&logger);
  const DecisionLog::TimePoint now{std::chrono::hours(1)};
  for (const auto verdict :
       {connection::GateVerdict::kEvicted, connection::GateVerdict::kUnservable,
        connection::GateVerdict::kWaitExpired}) {
    connection::GateDecision decision;
    decision.verdict = verdict;
    log.LogGateDecision(decision, now);
    CHECK(log.GateCount(verdict) == 1);
  }
  log.LogEntryDecision(Decision(EntryVerdict::kServiceFull), now);
  const auto lines = output.Lines();
  REQUIRE(lines.size() == 4);
  CHECK(lines[0]["event"] == 1212);
  CHECK(lines[1]["msg"] == "unservable");
  CHECK(lines[2]["event"] == 1212);
  CHECK(lines[3]["event"] == 1211);
}

TEST_CASE("decision_log: a slow log reader does not block the process") {
  int pipe_fds[2] = {};
  REQUIRE(pipe(pipe_fds) == 0);
  const int saved_stdout = dup(STDOUT_FILENO);
  std::cout.flush();
  dup2(pipe_fds[1], STDOUT_FILENO);
  const Logger logger("e-1", LogFormat::kJson, LogLevel::kInfo);
  // About 400 kB, more than a pipe buffers.
  for (int i = 0; i < 2000; ++i) {
    logger.Log(LogLevel::kInfo, LogEvent::kFlowDecided, std::string(100, 'x'),
               {});
  }
  dup2(saved_stdout, STDOUT_FILENO);
  close(saved_stdout);
  close(pipe_fds[0]);
  close(pipe_fds[1]);
  SUCCEED();
}

}  // namespace
}  // namespace kumquatvalve::process
