#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "commands.h"
#include "kumquatvalve/request/result_code.h"

ABSL_FLAG(std::vector<std::string>, api, {"http://127.0.0.1:9000"},
          "base addresses of the object API, tried in order");
ABSL_FLAG(std::string, token_file, "", "file with the bearer token");
ABSL_FLAG(std::string, team, "", "team whose subtree is changed");
ABSL_FLAG(std::string, by, "",
          "operator's name that is stored with each change; default: the team");
ABSL_FLAG(std::string, output, "table", "table, json or yaml");
ABSL_FLAG(bool, wait, false, "wait until the change is in force everywhere");
ABSL_FLAG(uint32_t, wait_timeout_ms, 30000, "timeout of --wait");
ABSL_FLAG(uint32_t, timeout_ms, 2000, "timeout of one call");
ABSL_FLAG(uint32_t, give_up_after_ms, 20000,
          "maximum time of retries while the object API is unavailable");
ABSL_FLAG(uint64_t, if_version, 0,
          "fail unless the service has this version; 0 to accept any version");
ABSL_FLAG(bool, undo, false, "drain: allow new flows again");

int main(int argc, char** argv) {
  namespace ctl = kumquatvalve::ctl;
  namespace request = kumquatvalve::request;
  // Handled here, because Abseil's own --help lists only flags, not commands.
  std::string command;
  bool help = false;
  for (int i = 1; i < argc; ++i) {
    const std::string_view it = argv[i];
    help = help || it == "--help" || it == "-help";
    if (command.empty() && !it.starts_with("-")) {
      command = it;
    }
  }
  if (help || command == "help") {
    std::cout << ctl::HelpText(command);
    return EXIT_SUCCESS;
  }
  absl::SetProgramUsageMessage(ctl::HelpText(""));
  const std::vector<char*> positional = absl::ParseCommandLine(argc, argv);
  const std::vector<std::string> arguments(positional.begin() + 1,
                                           positional.end());
  ctl::Options options;
  options.object_api.urls = absl::GetFlag(FLAGS_api);
  options.object_api.token_file = absl::GetFlag(FLAGS_token_file);
  options.object_api.timeout =
      std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms));
  options.team = request::TeamName(absl::GetFlag(FLAGS_team));
  options.by = absl::GetFlag(FLAGS_by);
  if (options.by.empty()) {
    options.by = options.team.text();
  }
  options.wait = absl::GetFlag(FLAGS_wait);
  options.wait_timeout =
      std::chrono::milliseconds(absl::GetFlag(FLAGS_wait_timeout_ms));
  options.give_up_after =
      std::chrono::milliseconds(absl::GetFlag(FLAGS_give_up_after_ms));
  if (const uint64_t version = absl::GetFlag(FLAGS_if_version); version != 0) {
    options.if_version = request::TableVersion{version};
  }
  options.undo = absl::GetFlag(FLAGS_undo);
  const auto output = ctl::ParseOutputFormat(absl::GetFlag(FLAGS_output));
  if (!output) {
    std::cerr << request::ToString({request::ResultCode::kBadUsage,
                                    "--output must be table, json or yaml"})
              << "\n";
    return request::ExitStatus(request::ResultCode::kBadUsage);
  }
  options.output = *output;
  return request::ExitStatus(
      ctl::RunCommand(arguments, options, &std::cout, &std::cerr, &std::cerr));
}
