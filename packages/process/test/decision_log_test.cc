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

// Sends standard output to a file while it lives.
class CapturedOutput {
 public:
  CapturedOutput() : file_(std::tmpfile()), before_(dup(STDOUT_FILENO)) {
    std::cout.flush();
    dup2(fileno(file_), STDOUT_FILENO);
  }
  ~CapturedOutput() {
    dup2(before_, STDOUT_FILENO);
    close(before_);
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
  int before_;
};

connection::EntryDecision Decision(EntryVerdict verdict) {
  request::Failure failure;
  connection::EntryDecision decision;
  decision.verdict = verdict;
  decision.flow = {*request::ParseEndpoint("100.64.0.7:40001", &failure),
                   *request::ParseEndpoint("198.18.0.1:443", &failure),
                   IPPROTO_TCP};
  decision.route_revision = 12;
  return decision;
}

TEST_CASE("decision_log: a line tells the flow, the inputs and the verdict") {
  CapturedOutput output;
  const Logger logger("e-1", LogFormat::kJson, LogLevel::kInfo);
  DecisionLog log(&logger);
  log.OnEntryDecision(Decision(EntryVerdict::kOverloaded),
                      std::chrono::steady_clock::now());
  const auto lines = output.Lines();
  REQUIRE(lines.size() == 1);
  CHECK(lines[0]["msg"] == "overloaded");
  CHECK(lines[0]["flow"] == "100.64.0.7:40001>198.18.0.1:443");
  CHECK(lines[0]["route_revision"] == "12");
}

TEST_CASE("decision_log: lines are bounded and the next one counts the rest") {
  CapturedOutput output;
  const Logger logger("e-1", LogFormat::kJson, LogLevel::kInfo);
  DecisionLog log(&logger);
  const auto now = std::chrono::steady_clock::now();
  for (int i = 0; i < 1000; ++i) {
    log.OnEntryDecision(Decision(EntryVerdict::kNoRoute), now);
  }
  log.OnEntryDecision(Decision(EntryVerdict::kNoRoute),
                      now + std::chrono::seconds(1));
  const auto lines = output.Lines();
  // docs/OPERATIONS.md states 5 lines a second of each verdict.
  REQUIRE(lines.size() == 6);
  CHECK(lines.back()["left_out"] == "995");
  CHECK(log.EntryCount(EntryVerdict::kNoRoute) == 1001);
}

TEST_CASE("decision_log: of ordinary flows a sample is logged") {
  CapturedOutput output;
  const Logger logger("e-1", LogFormat::kJson, LogLevel::kInfo);
  DecisionLog log(&logger);
  for (int i = 0; i < 128; ++i) {
    log.OnEntryDecision(Decision(EntryVerdict::kPlaced),
                        std::chrono::steady_clock::now());
  }
  CHECK(output.Lines().size() == 2);
}

TEST_CASE("decision_log: a closed standard output does not end the process") {
  const int before = dup(STDOUT_FILENO);
  std::cout.flush();
  close(STDOUT_FILENO);
  const Logger logger("e-1", LogFormat::kJson, LogLevel::kInfo);
  DecisionLog log(&logger);
  log.OnEntryDecision(Decision(EntryVerdict::kNoRoute),
                      std::chrono::steady_clock::now());
  dup2(before, STDOUT_FILENO);
  close(before);
  CHECK(log.EntryCount(EntryVerdict::kNoRoute) == 1);
}

TEST_CASE("decision_log: a reader that is behind does not block the process") {
  int ends[2] = {};
  REQUIRE(pipe(ends) == 0);
  const int before = dup(STDOUT_FILENO);
  std::cout.flush();
  dup2(ends[1], STDOUT_FILENO);
  const Logger logger("e-1", LogFormat::kJson, LogLevel::kInfo);
  // About 400 kB, more than a pipe takes.
  for (int i = 0; i < 2000; ++i) {
    logger.Log(LogLevel::kInfo, LogEvent::kFlowDecided, std::string(100, 'x'),
               {});
  }
  dup2(before, STDOUT_FILENO);
  close(before);
  close(ends[0]);
  close(ends[1]);
  SUCCEED();
}

}  // namespace
}  // namespace kumquatvalve::process
