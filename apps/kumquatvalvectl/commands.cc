#include "commands.h"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <map>
#include <random>
#include <sstream>
#include <string_view>
#include <thread>
#include <utility>

#include "kumquatvalve/process/fleet_view.h"
#include "kumquatvalve/process/object_client.h"
#include "kumquatvalve/process/service_editor.h"
#include "kumquatvalve/process/table_codec.h"
#include "kumquatvalve/version/service_spec.h"
#include "kumquatvalve/version/settings_reader.h"
#include "kumquatvalve/version/settings_schema.h"

namespace kumquatvalve::ctl {
namespace {

using process::MemberView;
using process::ObjectClient;
using request::Failure;
using request::ResultCode;
using request::TableVersion;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using version::ServicePath;
using Editor = process::ServiceEditor<ObjectClient>;

// Few commands run at the same time, so a command may call more often than a
// daemon. Its retries are limited by `give_up_after` instead of a long backoff.
constexpr process::CallBudgetSettings kCallBudget{
    .calls_per_second = 10,
    .burst = 20,
    .initial_backoff = milliseconds(100),
    .max_backoff = milliseconds(2000),
    .failures_to_open = 20,
    .min_open_duration = milliseconds(2000)};

constexpr milliseconds kPollInterval{500};

struct CommandHelp {
  std::string_view name;
  std::string_view usage;
  std::string_view text;
};

constexpr CommandHelp kCommands[] = {
    {"apply", "apply FILE --team=TEAM [--wait]",
     "Creates the services of FILE that do not exist and changes those that "
     "differ.\nServices whose settings are the same are not written."},
    {"create", "create FILE --team=TEAM [--wait]",
     "Creates the services of FILE; fails with E403 for a service that "
     "exists."},
    {"change", "change FILE --team=TEAM [--if_version=N] [--wait]",
     "Changes the services of FILE; fails with E402 for a service that does "
     "not "
     "exist and,\nwith --if_version, with E401 for a service that has another "
     "version."},
    {"remove", "remove PATH --team=TEAM [--if_version=N]",
     "Removes the service /teams/TEAM/services/NAME."},
    {"show", "show services|upstreams|versions|health [PATH]",
     "services: the services with version and last change; with PATH its "
     "settings.\nupstreams: the sidecars of all services or of PATH.\n"
     "versions: how many members have each service's version in force, and "
     "which members do not.\nhealth: all members with state and applied "
     "revision."},
    {"drain", "drain INSTANCE --team=TEAM [--undo] [--wait]",
     "Stops new flows to the upstream of INSTANCE; open flows continue. "
     "With --undo\nit gets new flows again."},
    {"check", "check FILE",
     "Checks a file of services (key `services`) or of process settings "
     "without applying\nit, and reports all errors."},
    {"settings-reference", "settings-reference", "Prints docs/settings.md."},
};

std::string NewOperationId() {
  std::random_device random;
  std::ostringstream id;
  id << std::hex << std::setfill('0');
  for (int i = 0; i < 4; ++i) {
    id << std::setw(8) << random();
  }
  return id.str();
}

std::string CurrentTimeText() {
  const std::time_t now = std::time(nullptr);
  std::tm utc{};
  gmtime_r(&now, &utc);
  std::ostringstream text;
  text << std::put_time(&utc, "%Y-%m-%dT%H:%M:%SZ");
  return text.str();
}

template <typename T>
std::string ToText(const T& value) {
  std::ostringstream text;
  text << value;
  return text.str();
}

// State of one run of a command.
class CommandRun {
 public:
  CommandRun(const Options& options, std::ostream* out, std::ostream* errors,
             std::ostream* progress)
      : options_(options),
        out_(*out),
        errors_(*errors),
        progress_(*progress),
        client_(options.object_api, kCallBudget, std::random_device()()),
        editor_(&client_, options.team,
                [this](const Failure& failure) {
                  return WaitForNextCall(failure);
                }),
        give_up_at_(steady_clock::now() + options.give_up_after) {}

  ResultCode WriteServices(const std::string& file, Editor::Mode mode) {
    std::vector<version::SettingsError> setting_errors;
    const auto text = version::ReadSettingsFile(file, &setting_errors);
    const auto services =
        text ? version::ParseServices(*text, file, &setting_errors)
             : std::nullopt;
    if (!services) {
      return PrintErrors(setting_errors);
    }
    ResultCode result = ResultCode::kOk;
    std::vector<std::pair<ServicePath, TableVersion>> accepted;
    Listing listing{{"service", "version", "result"}, {}};
    for (const auto& [path, spec] : *services) {
      Failure failure;
      const auto change = editor_.Write(ToString(path), spec, NewOperation(),
                                        mode, options_.if_version, &failure);
      if (!change) {
        result = PrintErrors(failure);
        listing.rows.push_back(
            {ToString(path), "-", std::string(Name(failure.code))});
        continue;
      }
      accepted.emplace_back(path, change->version);
      listing.rows.push_back({ToString(path), ToText(change->version.value),
                              change->unchanged ? "unchanged" : "accepted"});
    }
    Print(listing, options_.output, &out_);
    const ResultCode wait_result = WaitUntilInForce(accepted);
    return result != ResultCode::kOk ? result : wait_result;
  }

  ResultCode Remove(const std::string& path) {
    Failure failure;
    const auto change = editor_.Remove(path, options_.if_version, &failure);
    if (!change) {
      return PrintErrors(failure);
    }
    Print({{"service", "version", "result"},
           {{path, ToText(change->version.value), "removed"}}},
          options_.output, &out_);
    return ResultCode::kOk;
  }

  ResultCode ShowServices(const std::optional<ServicePath>& path_filter) {
    Failure failure;
    const auto services = editor_.List(&failure);
    if (!services) {
      return PrintErrors(failure);
    }
    if (path_filter) {
      const auto it = services->find(*path_filter);
      if (it == services->end()) {
        return PrintErrors({ResultCode::kNotFound,
                            ToString(*path_filter) + " does not exist"});
      }
      out_ << version::WriteServiceYaml(*path_filter, it->second.second.spec);
      return ResultCode::kOk;
    }
    Listing listing{{"service", "version", "addresses", "slots", "changed",
                     "by", "operation"},
                    {}};
    for (const auto& [path, stored] : *services) {
      std::string addresses;
      for (const auto& it : stored.second.spec.addresses) {
        addresses += (addresses.empty() ? "" : ",") + version::ToString(it);
      }
      const uint32_t slots = stored.second.spec.slots;
      listing.rows.push_back(
          {ToString(path), ToText(stored.first.value), addresses,
           slots == 0 ? "announced" : ToText(slots),
           stored.second.operation.time, stored.second.operation.by,
           stored.second.operation.id});
    }
    Print(listing, options_.output, &out_);
    return ResultCode::kOk;
  }

  ResultCode ShowMembers(bool upstreams_only,
                         const std::optional<ServicePath>& path_filter) {
    Failure failure;
    const auto members = ReadMembers(&failure);
    if (!members) {
      return PrintErrors(failure);
    }
    Listing listing{{"instance", "role", "zone", "state", "applied", "service",
                     "draining", "open_flows"},
                    {}};
    for (const MemberView& it : *members) {
      if ((upstreams_only && it.role != "sidecar") ||
          (path_filter && it.service != *path_filter)) {
        continue;
      }
      listing.rows.push_back({it.instance.text(), it.role, it.zone.text(),
                              it.state, ToText(it.applied_version.value),
                              it.service ? ToString(*it.service) : "-",
                              it.draining ? "yes" : "no",
                              ToText(it.open_flows)});
    }
    Print(listing, options_.output, &out_);
    return ResultCode::kOk;
  }

  ResultCode ShowVersions(const std::optional<ServicePath>& path_filter) {
    Failure failure;
    const auto services = editor_.List(&failure);
    const auto members = services ? ReadMembers(&failure) : std::nullopt;
    const auto tables = members ? ReadTables(&failure) : std::nullopt;
    if (!tables) {
      return PrintErrors(failure);
    }
    Listing listing{{"service", "version", "table", "in_force", "missing"}, {}};
    for (const auto& [path, stored] : *services) {
      if (path_filter && path != *path_filter) {
        continue;
      }
      const auto table = FindTableVersion(*tables, path, stored.first);
      if (!table) {
        listing.rows.push_back(
            {ToString(path), ToText(stored.first.value), "-", "-", "-"});
        continue;
      }
      const auto count = process::CountInForce(*members, path, *table);
      std::string missing;
      for (const auto& it : count.missing) {
        missing += (missing.empty() ? "" : ",") + it.text();
      }
      listing.rows.push_back(
          {ToString(path), ToText(stored.first.value), ToText(table->value),
           ToText(count.confirmed) + "/" + ToText(count.expected),
           missing.empty() ? "-" : missing});
    }
    Print(listing, options_.output, &out_);
    return ResultCode::kOk;
  }

  ResultCode Drain(const std::string& instance) {
    Failure failure;
    const auto members = ReadMembers(&failure);
    if (!members) {
      return PrintErrors(failure);
    }
    const auto member = std::find_if(
        members->begin(), members->end(), [&](const MemberView& it) {
          return it.instance.text() == instance && it.service.has_value();
        });
    if (member == members->end()) {
      return PrintErrors({ResultCode::kNotFound,
                          "no member '" + instance +
                              "' is an upstream's sidecar with a service"});
    }
    const auto services = editor_.List(&failure);
    if (!services) {
      return PrintErrors(failure);
    }
    const auto stored = services->find(*member->service);
    if (stored == services->end()) {
      return PrintErrors({ResultCode::kNotFound,
                          ToString(*member->service) + " does not exist"});
    }
    version::ServiceSpec spec = stored->second.second.spec;
    if (options_.undo) {
      spec.draining.erase(member->instance);
    } else {
      spec.draining.insert(member->instance);
    }
    const auto change =
        editor_.Write(ToString(stored->first), spec, NewOperation(),
                      Editor::Mode::kChange, stored->second.first, &failure);
    if (!change) {
      return PrintErrors(failure);
    }
    Print({{"instance", "service", "version", "result"},
           {{instance, ToString(stored->first), ToText(change->version.value),
             options_.undo ? "takes new flows" : "draining"}}},
          options_.output, &out_);
    return WaitUntilInForce({{stored->first, change->version}});
  }

  ResultCode CheckFile(const std::string& file) {
    std::vector<version::SettingsError> setting_errors;
    const auto text = version::ReadSettingsFile(file, &setting_errors);
    const auto root =
        text ? version::ParseYaml(*text, file, &setting_errors) : std::nullopt;
    if (!root) {
      return PrintErrors(setting_errors);
    }
    const bool services = root->IsMap() && (*root)["services"];
    const bool valid =
        services
            ? version::ParseServices(*text, file, &setting_errors).has_value()
            : version::ParseProcessSettings(*text, file, &setting_errors)
                  .has_value();
    if (!valid) {
      return PrintErrors(setting_errors);
    }
    out_ << file << ": no errors\n";
    return ResultCode::kOk;
  }

  ResultCode PrintErrors(const Failure& failure) {
    errors_ << request::ToString(failure) << "\n";
    return failure.code;
  }

 private:
  ResultCode PrintErrors(
      const std::vector<version::SettingsError>& setting_errors) {
    for (const auto& it : setting_errors) {
      errors_ << version::ToString(it) << "\n";
    }
    return setting_errors.empty() ? ResultCode::kOk
                                  : setting_errors.back().code;
  }

  version::Operation NewOperation() const {
    return {NewOperationId(), CurrentTimeText(), options_.by};
  }

  // Sleeps until the call budget allows the next call. Returns false when that
  // is after the command's deadline.
  bool WaitForNextCall(const Failure& failure) {
    const auto next =
        std::max(client_.NextCallAt(), steady_clock::now() + milliseconds(1));
    if (next > give_up_at_) {
      return false;
    }
    progress_ << "retrying after: " << request::ToString(failure) << "\n";
    std::this_thread::sleep_until(next);
    return true;
  }

  std::optional<process::ObjectList> ListObjects(const std::string& prefix,
                                                 Failure* failure) {
    while (true) {
      auto list = client_.List(prefix, failure);
      const bool transient = failure->code == ResultCode::kStoreUnavailable ||
                             failure->code == ResultCode::kCallBudgetSpent;
      if (list || !transient || !WaitForNextCall(*failure)) {
        return list;
      }
    }
  }

  std::optional<std::vector<MemberView>> ReadMembers(Failure* failure) {
    const auto list = ListObjects("/members/", failure);
    if (!list) {
      return std::nullopt;
    }
    std::vector<MemberView> members;
    for (const auto& it : list->items) {
      const auto zone = process::ParseZoneSummary(it, failure);
      if (!zone) {
        return std::nullopt;
      }
      members.insert(members.end(), zone->begin(), zone->end());
    }
    return members;
  }

  std::optional<std::vector<process::PublishedTable>> ReadTables(
      Failure* failure) {
    const auto list = ListObjects("/tables/", failure);
    if (!list) {
      return std::nullopt;
    }
    std::vector<process::PublishedTable> tables;
    for (const auto& it : list->items) {
      auto table = process::ReadTable(it.body, it.version, failure);
      if (!table) {
        return std::nullopt;
      }
      tables.push_back(std::move(*table));
    }
    return tables;
  }

  // Returns the version of the table that was built from `version` of the
  // service or a later one, or nothing when it is not written yet.
  static std::optional<TableVersion> FindTableVersion(
      const std::vector<process::PublishedTable>& tables,
      const ServicePath& path, TableVersion version) {
    for (const auto& it : tables) {
      if (it.path == ToString(path) && it.spec_version >= version) {
        return it.table.version;
      }
    }
    return std::nullopt;
  }

  ResultCode WaitUntilInForce(
      const std::vector<std::pair<ServicePath, TableVersion>>& accepted) {
    if (!options_.wait || accepted.empty()) {
      return ResultCode::kOk;
    }
    const auto deadline = steady_clock::now() + options_.wait_timeout;
    give_up_at_ = deadline;
    std::string last_line;
    while (true) {
      Failure failure;
      const auto members = ReadMembers(&failure);
      const auto tables = members ? ReadTables(&failure) : std::nullopt;
      if (!tables) {
        return PrintErrors(failure);
      }
      bool everywhere = true;
      std::string state_line;
      for (const auto& [path, version] : accepted) {
        state_line += (state_line.empty() ? "" : ", ") + ToString(path) +
                      " version " + ToText(version.value) + ": ";
        const auto table = FindTableVersion(*tables, path, version);
        if (!table) {
          everywhere = false;
          state_line += "no table yet";
          continue;
        }
        const auto count = process::CountInForce(*members, path, *table);
        everywhere = everywhere && count.everywhere();
        state_line += "in force at " + ToText(count.confirmed) + " of " +
                      ToText(count.expected);
      }
      if (state_line != last_line) {
        progress_ << state_line << "\n";
        last_line = state_line;
      }
      if (everywhere) {
        return ResultCode::kOk;
      }
      if (steady_clock::now() >= deadline) {
        return PrintErrors({ResultCode::kNotInForce, state_line});
      }
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  const Options& options_;
  std::ostream& out_;
  std::ostream& errors_;
  std::ostream& progress_;
  ObjectClient client_;
  Editor editor_;
  steady_clock::time_point give_up_at_;
};

ResultCode Show(const std::vector<std::string>& arguments, CommandRun* run) {
  std::optional<ServicePath> path_filter;
  if (arguments.size() == 3) {
    Failure failure;
    path_filter = version::ParseServicePath(arguments[2], &failure);
    if (!path_filter) {
      return run->PrintErrors(failure);
    }
  }
  const std::string& subject = arguments[1];
  if (subject == "services") {
    return run->ShowServices(path_filter);
  }
  if (subject == "upstreams") {
    return run->ShowMembers(true, path_filter);
  }
  if (subject == "versions") {
    return run->ShowVersions(path_filter);
  }
  if (subject == "health") {
    return run->ShowMembers(false, path_filter);
  }
  return run->PrintErrors(
      {ResultCode::kBadUsage, "unknown subject of show: '" + subject + "'"});
}

}  // namespace

std::string HelpText(const std::string& command) {
  std::ostringstream text;
  for (const CommandHelp& it : kCommands) {
    if (it.name == command) {
      text << "usage: kumquatvalvectl " << it.usage << "\n\n"
           << it.text << "\n\n";
    }
  }
  if (text.str().empty()) {
    text << "usage: kumquatvalvectl COMMAND [OPERANDS] [FLAGS]\n\n";
    for (const CommandHelp& it : kCommands) {
      text << "  " << it.usage << "\n";
    }
    text << "\n`kumquatvalvectl COMMAND --help` explains a command.\n\n";
  }
  text << "Flags of all commands: --api=URL[,URL], --token_file=FILE, "
          "--output=table|json|yaml,\n--by=OPERATOR, --timeout_ms=N, "
          "--give_up_after_ms=N, --wait_timeout_ms=N.\n"
          "Exit status: 0, or 10 to 14 for errors E1xx to E5xx; "
          "docs/result-codes.md lists them.\n";
  return text.str();
}

ResultCode RunCommand(const std::vector<std::string>& arguments,
                      const Options& options, std::ostream* out,
                      std::ostream* errors, std::ostream* progress) {
  CommandRun run(options, out, errors, progress);
  const std::string command = arguments.empty() ? "" : arguments[0];
  const size_t operand_count = arguments.empty() ? 0 : arguments.size() - 1;
  if (command == "settings-reference" && operand_count == 0) {
    *out << version::SettingsReference();
    return ResultCode::kOk;
  }
  if (command == "check" && operand_count == 1) {
    return run.CheckFile(arguments[1]);
  }
  if (command == "show" && (operand_count == 1 || operand_count == 2)) {
    return Show(arguments, &run);
  }
  static const std::map<std::string, Editor::Mode, std::less<>> kModes = {
      {"apply", Editor::Mode::kCreateOrChange},
      {"create", Editor::Mode::kCreate},
      {"change", Editor::Mode::kChange}};
  const auto mode = kModes.find(command);
  const bool is_write =
      mode != kModes.end() || command == "remove" || command == "drain";
  if (!is_write || operand_count != 1) {
    *errors << HelpText(command);
    return run.PrintErrors(
        {ResultCode::kBadUsage,
         is_write ? command + " takes one operand"
                  : "'" + command +
                        "' is not a command or does not take these operands"});
  }
  if (options.team.empty()) {
    return run.PrintErrors(
        {ResultCode::kBadUsage, "the flag --team is required"});
  }
  if (mode != kModes.end()) {
    return run.WriteServices(arguments[1], mode->second);
  }
  return command == "remove" ? run.Remove(arguments[1])
                             : run.Drain(arguments[1]);
}

}  // namespace kumquatvalve::ctl
