#include "commands.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "kumquatvalve/process/object_client.h"
#include "kumquatvalve/process/table_codec.h"
#include "kumquatvalve/version/settings_schema.h"
#include "object_api_server.h"

namespace kumquatvalve::ctl {
namespace {

using request::ResultCode;

const std::string kPath = "/teams/tarima/services/patio";

struct Fixture {
  standins::ObjectApiServer server;
  Options options;
  std::string file = "commands_test.yaml";
  std::string out;
  std::string errors;
  std::string progress;

  Fixture() {
    options.object_api.urls = {"http://127.0.0.1:" +
                               std::to_string(server.Start("127.0.0.1", 0))};
    options.team = request::TeamName("tarima");
    options.by = "operator-1";
    options.output = OutputFormat::kJson;
  }
  ~Fixture() { std::remove(file.c_str()); }

  ResultCode Run(const std::vector<std::string>& arguments) {
    std::ostringstream out_stream;
    std::ostringstream error_stream;
    std::ostringstream progress_stream;
    const ResultCode code = RunCommand(arguments, options, &out_stream,
                                       &error_stream, &progress_stream);
    out = out_stream.str();
    errors = error_stream.str();
    progress = progress_stream.str();
    return code;
  }

  void WriteFile(int slots, const std::string& path = kPath) {
    std::ofstream(file) << "services:\n  " << path
                        << ":\n    addresses: [\"10.0.0.1:80/tcp\"]\n"
                        << "    slots: " << slots << "\n";
  }

  void Store(const std::string& path, const std::string& body) {
    request::Failure failure;
    process::ObjectClient client(options.object_api, 1);
    REQUIRE(client.Create(path, body, &failure));
  }
};

TEST_CASE(
    "commands: apply, create, change, show and remove act on the stored "
    "services") {
  Fixture f;
  f.WriteFile(1);
  CHECK(f.Run({"change", f.file}) == ResultCode::kNotFound);
  CHECK(f.Run({"apply", f.file}) == ResultCode::kOk);
  CHECK(nlohmann::json::parse(f.out)[0]["result"] == "accepted");
  CHECK(f.Run({"apply", f.file}) == ResultCode::kOk);
  CHECK(nlohmann::json::parse(f.out)[0]["result"] == "unchanged");
  CHECK(f.Run({"create", f.file}) == ResultCode::kAlreadyExists);
  f.WriteFile(2);
  f.options.if_version = request::TableVersion{7};
  CHECK(f.Run({"change", f.file}) == ResultCode::kConflict);
  CHECK(f.errors.find("E401 conflict: " + kPath + " has version 1") == 0);
  f.options.if_version = request::TableVersion{1};
  CHECK(f.Run({"change", f.file}) == ResultCode::kOk);
  f.options.if_version.reset();
  CHECK(f.Run({"show", "services"}) == ResultCode::kOk);
  CHECK(nlohmann::json::parse(f.out)[0]["version"] == "2");
  // The output of `show` is a valid input of `apply`.
  CHECK(f.Run({"show", "services", kPath}) == ResultCode::kOk);
  std::ofstream(f.file) << f.out;
  CHECK(f.Run({"apply", f.file}) == ResultCode::kOk);
  CHECK(f.server.Counts()["version"] == 2);
  CHECK(f.Run({"remove", kPath}) == ResultCode::kOk);
  CHECK(f.Run({"remove", kPath}) == ResultCode::kNotFound);
}

// Invalid input must be rejected before the first call to the store.
TEST_CASE("commands: bad input does not reach the store") {
  Fixture f;
  f.WriteFile(1, "/teams/kalahari/services/artwork");
  CHECK(f.Run({"apply", f.file}) == ResultCode::kOutsideSubtree);
  f.WriteFile(-1);
  CHECK(f.Run({"apply", f.file}) == ResultCode::kOutOfRange);
  CHECK(f.Run({"check", f.file}) == ResultCode::kOutOfRange);
  CHECK(f.errors.find("E306 out_of_range: commands_test.yaml:4: ") == 0);
  CHECK(f.Run({"apply", "no_such_file"}) == ResultCode::kUnreadableFile);
  CHECK(f.Run({"remove", "patio"}) == ResultCode::kBadPath);
  CHECK(f.Run({}) == ResultCode::kBadUsage);
  CHECK(f.Run({"apply"}) == ResultCode::kBadUsage);
  CHECK(f.Run({"show", "colours"}) == ResultCode::kBadUsage);
  f.options.team = request::TeamName();
  CHECK(f.Run({"remove", kPath}) == ResultCode::kBadUsage);
  CHECK(f.server.Counts()["calls"].empty());
}

TEST_CASE("commands: a write whose response was lost is reported as accepted") {
  Fixture f;
  f.WriteFile(1);
  REQUIRE(f.server.Control({{"lose_answers", 1}}));
  CHECK(f.Run({"apply", f.file}) == ResultCode::kOk);
  CHECK(f.server.Counts()["version"] == 1);
  CHECK(f.server.Counts()["calls"]["put"] == 1);
}

TEST_CASE("commands: a store outage is reported with its error code") {
  Fixture f;
  f.WriteFile(1);
  // Long enough for more than one call on a slow machine.
  f.options.give_up_after = std::chrono::milliseconds(5000);
  REQUIRE(f.server.Control({{"down", true}}));
  CHECK(f.Run({"apply", f.file}) == ResultCode::kStoreUnavailable);
  CHECK(f.progress.find("E405") != std::string::npos);
}

void StoreMembersAndTable(Fixture* f, uint64_t applied) {
  f->Store("/members/gye-sur",
           R"({"zone":"gye-sur","region":"gye","writer":"e1","members":[
      {"instance":"e1","role":"entry","incarnation":5,"state":"alive",
       "applied_version":)" +
               std::to_string(applied) +
               R"(},{"instance":"s1","role":"sidecar","incarnation":6,
       "state":"alive","applied_version":99,"open_flows":3,"team":"tarima",
       "service":"patio","draining":false}]})");
  process::PublishedTable table;
  table.path = kPath;
  table.spec_version = {1};
  table.table.service = {1};
  table.table.owner.assign(64, version::kNoUpstreamIndex);
  table.table.backup = table.table.owner;
  table.table.previous = table.table.owner;
  f->Store(process::TablePath({1}), process::WriteTable(table));
}

TEST_CASE(
    "commands: show prints members and versions in force in each format") {
  Fixture f;
  f.WriteFile(1);
  REQUIRE(f.Run({"apply", f.file}) == ResultCode::kOk);
  StoreMembersAndTable(&f, 1);
  CHECK(f.Run({"show", "versions"}) == ResultCode::kOk);
  const auto versions = nlohmann::json::parse(f.out);
  CHECK(versions[0]["in_force"] == "1/2");
  CHECK(versions[0]["missing"] == "e1");
  CHECK(f.Run({"show", "upstreams", kPath}) == ResultCode::kOk);
  CHECK(nlohmann::json::parse(f.out).size() == 1);
  CHECK(f.Run({"show", "health"}) == ResultCode::kOk);
  CHECK(nlohmann::json::parse(f.out).size() == 2);
  f.options.output = OutputFormat::kTable;
  CHECK(f.Run({"show", "health"}) == ResultCode::kOk);
  CHECK(f.out.find("instance  role") == 0);
  f.options.output = OutputFormat::kYaml;
  CHECK(f.Run({"show", "health"}) == ResultCode::kOk);
  CHECK(f.out.find("- instance: e1\n") == 0);
}

// An accepted version is not yet in force; --wait must not report success
// before it is.
TEST_CASE(
    "commands: --wait ends when the version is in force or the timeout "
    "passes") {
  Fixture f;
  f.WriteFile(1);
  REQUIRE(f.Run({"apply", f.file}) == ResultCode::kOk);
  StoreMembersAndTable(&f, 99);
  f.options.wait = true;
  CHECK(f.Run({"apply", f.file}) == ResultCode::kOk);
  CHECK(f.progress.find("in force at 2 of 2") != std::string::npos);
  // No table is written for the next version.
  f.WriteFile(2);
  f.options.wait_timeout = std::chrono::milliseconds(0);
  CHECK(f.Run({"apply", f.file}) == ResultCode::kNotInForce);
}

TEST_CASE("commands: drain and its undo change the service of the instance") {
  Fixture f;
  f.WriteFile(1);
  REQUIRE(f.Run({"apply", f.file}) == ResultCode::kOk);
  StoreMembersAndTable(&f, 99);
  CHECK(f.Run({"drain", "s1"}) == ResultCode::kOk);
  CHECK(f.Run({"show", "services", kPath}) == ResultCode::kOk);
  CHECK(f.out.find("s1") != std::string::npos);
  f.options.undo = true;
  CHECK(f.Run({"drain", "s1"}) == ResultCode::kOk);
  CHECK(f.Run({"show", "services", kPath}) == ResultCode::kOk);
  CHECK(f.out.find("s1") == std::string::npos);
  CHECK(f.Run({"drain", "e1"}) == ResultCode::kNotFound);
}

TEST_CASE("commands: the reference and the help of each command are printed") {
  Fixture f;
  CHECK(f.Run({"settings-reference"}) == ResultCode::kOk);
  CHECK(f.out == version::SettingsReference());
  for (const char* it : {"apply", "create", "change", "remove", "show", "drain",
                         "check", "settings-reference"}) {
    CHECK(HelpText(it).find("usage: kumquatvalvectl " + std::string(it)) == 0);
    CHECK(HelpText("").find(it) != std::string::npos);
  }
}

}  // namespace
}  // namespace kumquatvalve::ctl
