#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>

#ifdef KUMQUATVALVE_FLEET
#include "fleet.h"
#endif
#include "kumquatvalve/platform/node.h"
#include "kumquatvalve/request/result_code.h"

ABSL_FLAG(std::string, role, "", "entry or sidecar");
ABSL_FLAG(std::string, settings, "", "YAML settings file");
ABSL_FLAG(std::string, control, "fleet",
          "fleet: relays and forwarding tables; store: the platform's store");
ABSL_FLAG(std::string, static_tables, "",
          "JSON file with forwarding tables and members, reloaded when it "
          "changes; for "
          "tests and for a process without an object API");

namespace kumquatvalve::daemon {
namespace {

constexpr char kUsageLine[] =
    "kumquatvalved --control=fleet|store --role=entry|sidecar "
    "--settings=FILE\n"
    "Forwards packets as an entry instance or as the sidecar of an upstream.\n";

constexpr char kFlagsHelp[] =
    "\n"
    "  --control=fleet|store   the fleet's own relays, or the platform's "
    "store\n"
    "  --role=entry|sidecar    fleet: must match the role in the settings\n"
    "  --settings=FILE         YAML settings\n"
    "  --static_tables=FILE    fleet: JSON tables instead of the control "
    "channel\n";

// Empty when the variable is not set.
std::string Environment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

// Abseil's own --help exits with status 1.
bool IsHelpRequested(int argc, char** argv) {
  return std::any_of(argv + 1, argv + argc, [](std::string_view it) {
    return it == "--help" || it == "-help";
  });
}

int Main() {
  const std::string control = absl::GetFlag(FLAGS_control);
  if (control == "store") {
    const std::array<version::SettingOverride, 2> overrides = {{
        {"evacuation_apply_ms",
         Environment("KUMQUATVALVE_EVACUATION_APPLY_MS")},
        {"upstream.warm_up.slack", Environment("KUMQUATVALVE_WARM_UP_SLACK")},
    }};
    return platform::RunNode(absl::GetFlag(FLAGS_settings), overrides);
  }
#ifdef KUMQUATVALVE_FLEET
  if (control == "fleet") {
    return RunFleet({absl::GetFlag(FLAGS_role), absl::GetFlag(FLAGS_settings),
                     absl::GetFlag(FLAGS_static_tables)});
  }
#endif
  const request::Failure failure = {
      request::ResultCode::kBadUsage,
      "--control=" + control + " is unknown or not compiled into this program"};
  std::cerr << ToString(failure) << "\n";
  return request::ExitStatus(failure.code);
}

}  // namespace
}  // namespace kumquatvalve::daemon

int main(int argc, char** argv) {
  namespace daemon = kumquatvalve::daemon;
  if (daemon::IsHelpRequested(argc, argv)) {
    std::cout << daemon::kUsageLine << daemon::kFlagsHelp;
    return EXIT_SUCCESS;
  }
  absl::SetProgramUsageMessage(daemon::kUsageLine);
  absl::ParseCommandLine(argc, argv);
  return daemon::Main();
}
