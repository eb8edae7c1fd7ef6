#ifndef KUMQUATVALVE_APPS_KUMQUATVALVECTL_COMMANDS_H_
#define KUMQUATVALVE_APPS_KUMQUATVALVECTL_COMMANDS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/request/result_code.h"
#include "kumquatvalve/version/process_settings.h"
#include "output.h"

namespace kumquatvalve::ctl {

/// Values of the command line flags, which all commands share.
struct Options {
  version::ObjectApiSettings object_api;
  /// Team whose services are changed.
  request::TeamName team;
  /// Name of the operator that is stored with each change.
  std::string by;
  OutputFormat output = OutputFormat::kTable;
  /// Wait until a change is in force at all members concerned.
  bool wait = false;
  std::chrono::milliseconds wait_timeout{30000};
  /// Maximum time for which a command retries while the object API is
  /// unavailable.
  std::chrono::milliseconds give_up_after{20000};
  /// Change or remove a service only when it has this version.
  std::optional<request::TableVersion> if_version;
  /// `drain` allows new flows again.
  bool undo = false;
};

/// Runs one command and prints its result to `out`.
/// @param arguments the command and its operands.
/// @param errors receives one line per error.
/// @param progress receives progress lines while the command waits.
/// @return `kOk`, or the code of the last error.
request::ResultCode RunCommand(const std::vector<std::string>& arguments,
                               const Options& options, std::ostream* out,
                               std::ostream* errors, std::ostream* progress);

/// Returns the help text of a command, or that of the program for an unknown
/// command.
std::string HelpText(const std::string& command);

}  // namespace kumquatvalve::ctl

#endif  // KUMQUATVALVE_APPS_KUMQUATVALVECTL_COMMANDS_H_
