#include "kumquatvalve/version/settings_reader.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace kumquatvalve::version {
namespace {

using request::ResultCode;

const std::string kHash(64, '1');
const std::string kCurve(40, 'a');

// A minimal valid file; tests replace single lines, counted from 1, or append
// one.
const std::vector<std::string> kEntry = {
    "role: entry",
    "instance: entry-1",
    "availability_zone: gye-norte",
    "region: gye",
    "data: 127.0.0.1:7000",
    "control: 127.0.0.1:7001",
    "status: 127.0.0.1:7002",
    "fabric: 127.0.0.1:7003",
    "object_api: {urls: [\"http://127.0.0.1:9000\"]}",
    "keys: {flow_hash: " + kHash + ", forward: " + kHash + "}",
};

constexpr int kAppend = 0;

std::string ReplaceLine(std::vector<std::string> lines, int line,
                        const std::string& text) {
  if (line == kAppend) {
    lines.push_back(text);
  } else {
    lines[static_cast<size_t>(line) - 1] = text;
  }
  std::string joined;
  for (const std::string& it : lines) {
    joined += it + "\n";
  }
  return joined;
}

struct InvalidFile {
  /// Line number in `kEntry` to replace, or `kAppend`.
  int line;
  std::string text;
  ResultCode code;
  int error_line;
  std::string key;
};

std::vector<InvalidFile> InvalidFiles() {
  using enum ResultCode;
  const std::string keys = "keys: {forward: " + kHash + ", flow_hash: ";
  return {
      {kAppend, "colour: blue", kUnknownKey, 11, "colour"},
      {9, "object_api: {urls: [\"http://a:1\"], retry: 1}", kUnknownKey, 9,
       "object_api.retry"},
      {kAppend, "upstream: {max_flows: 5}", kUnknownKey, 11,
       "upstream.max_flows"},
      {kAppend, "traffic_threads: many", kWrongType, 11, "traffic_threads"},
      {kAppend, "traffic_threads: \"2\"", kWrongType, 11, "traffic_threads"},
      {kAppend, "traffic_threads: 1.5", kWrongType, 11, "traffic_threads"},
      {kAppend, "traffic_threads: [1]", kWrongType, 11, "traffic_threads"},
      {kAppend, "seeds: 127.0.0.1:7001", kWrongType, 11, "seeds"},
      {9, "object_api: none", kWrongType, 9, "object_api"},
      {9, "object_api: {urls: [\"http://a:1\"], calls_per_second: x}",
       kWrongType, 9, "object_api.calls_per_second"},
      {10, keys + "12}", kWrongType, 10, "keys.flow_hash"},
      {10, keys + std::string(63, '1') + "g}", kWrongType, 10,
       "keys.flow_hash"},
      {10, keys + kHash + ", curve_public: short}", kWrongType, 10,
       "keys.curve_public"},
      {kAppend, "[a]: b", kWrongType, 11, ""},
      {kAppend, "traffic_threads: 0", kOutOfRange, 11, "traffic_threads"},
      {kAppend, "traffic_threads: 65", kOutOfRange, 11, "traffic_threads"},
      {kAppend, "trace_one_in: -1", kOutOfRange, 11, "trace_one_in"},
      {kAppend, "log_level: loud", kOutOfRange, 11, "log_level"},
      {1, "role: both", kOutOfRange, 1, "role"},
      {5, "data: 127.0.0.1:0", kOutOfRange, 5, "data"},
      {9, "object_api: {urls: []}", kOutOfRange, 9, "object_api.urls"},
      {10,
       keys + kHash + ", accepted_public: [" + kCurve + ", " +
           std::string(40, 'b') + "]}",
       kOutOfRange, 10, "keys.accepted_public"},
      {2, "", kMissingKey, 1, "instance"},
      {9, "object_api: {timeout_ms: 100}", kMissingKey, 1, "object_api.urls"},
      {10, "", kMissingKey, 1, "keys.flow_hash"},
      {10, keys + kHash + ", curve_public: " + kCurve + "}", kMissingKey, 0,
       "keys.curve_secret"},
      {kAppend, "region: gye", kDuplicateName, 11, "region"},
      {kAppend, "seeds: [\"127.0.0.1:1\", \"127.0.0.1:1\"]", kDuplicateName, 11,
       "seeds[1]"},
      {7, "status: 127.0.0.1:7001", kOverlappingAddress, 7, "status"},
      {8, "fabric: 127.0.0.1:7000", kOverlappingAddress, 8, "fabric"},
      {5, "data: localhost:7000", kBadAddress, 5, "data"},
      {5, "data: 127.0.0.1:70000", kBadAddress, 5, "data"},
      {9, "object_api: {urls: [\"127.0.0.1:9000\"]}", kBadAddress, 9,
       "object_api.urls[0]"},
      {2, "instance: Entry_1", kBadName, 2, "instance"},
      {2, "instance: " + std::string(64, 'a'), kBadName, 2, "instance"},
      {kAppend, "trace_file: /tmp/", kBadPath, 11, "trace_file"},
      {kAppend, "trace_file: [", kBadYaml, 12, ""},
      {kAppend, "\tseeds: []", kBadYaml, 11, ""},
      {kAppend, "---", kBadYaml, 0, ""},
      {kAppend, "seeds: " + std::string(1000, '['), kBadYaml, 0, ""},
  };
}

// An error without its code, line and key would make an operator search the
// whole file.
TEST_CASE(
    "settings_reader: each kind of invalid file has its error code and place") {
  for (const InvalidFile& it : InvalidFiles()) {
    std::vector<SettingsError> errors;
    INFO(it.text);
    CHECK_FALSE(ParseProcessSettings(ReplaceLine(kEntry, it.line, it.text),
                                     "a.yaml", &errors));
    REQUIRE_FALSE(errors.empty());
    INFO(ToString(errors[0]));
    CHECK(request::Name(errors[0].code) == request::Name(it.code));
    CHECK(errors[0].line == it.error_line);
    CHECK(errors[0].key == it.key);
    CHECK(errors[0].file == "a.yaml");
  }
}

TEST_CASE("settings_reader: unreadable files have their own error code") {
  for (const char* it : {"no_such_file.yaml", "/"}) {
    std::vector<SettingsError> errors;
    CHECK_FALSE(LoadProcessSettings(it, &errors));
    REQUIRE(errors.size() == 1);
    CHECK(errors[0].code == ResultCode::kUnreadableFile);
  }
}

// The YAML library loops forever on some malformed texts when it loads all
// documents.
TEST_CASE(
    "settings_reader: malformed YAML is rejected and does not hang the "
    "parser") {
  for (const char* it : {",", "]", "}", "a: 1\n,", "a: 1\n]", ",,", "%", "?"}) {
    std::vector<SettingsError> errors;
    INFO(it);
    CHECK_FALSE(ParseProcessSettings(it, "a.yaml", &errors));
    CHECK_FALSE(errors.empty());
  }
}

// Reporting only the first error would cost the operator one run per error.
TEST_CASE("settings_reader: one run reports all errors") {
  std::vector<SettingsError> errors;
  CHECK_FALSE(ParseProcessSettings(
      "role: entry\ninstance: A\ndata: x\ntraffic_threads: 99\nwhat: 1\n",
      "a.yaml", &errors));
  // Four invalid keys and eight missing ones.
  CHECK(errors.size() == 12);
}

TEST_CASE("settings_reader: an error text has code, file, line and key") {
  std::vector<SettingsError> errors;
  ParseProcessSettings(ReplaceLine(kEntry, kAppend, "colour: blue"), "a.yaml",
                       &errors);
  REQUIRE(errors.size() == 1);
  CHECK(ToString(errors[0]) ==
        "E304 unknown_key: a.yaml:11: colour: there is no such key");
}

// Defaults exist both in the schema, which the reference page shows, and in the
// struct; they must not diverge.
TEST_CASE("settings_reader: the schema and the struct have the same defaults") {
  std::vector<SettingsError> errors;
  const auto settings =
      ParseProcessSettings(ReplaceLine(kEntry, kAppend, ""), "a.yaml", &errors);
  REQUIRE(settings);
  const ProcessSettings defaults;
  CHECK(settings->role == Role::kEntry);
  CHECK(settings->seeds.empty());
  CHECK(settings->object_api.timeout == defaults.object_api.timeout);
  CHECK(settings->object_api.calls_per_second ==
        defaults.object_api.calls_per_second);
  CHECK(settings->object_api.token_file.empty());
  CHECK_FALSE(settings->upstream);
  CHECK(settings->traffic_threads == defaults.traffic_threads);
  CHECK(settings->log_format == defaults.log_format);
  CHECK(settings->log_level == defaults.log_level);
  CHECK(settings->trace_file == defaults.trace_file);
  CHECK(settings->trace_one_in == defaults.trace_one_in);
  CHECK(settings->drain_timeout == defaults.drain_timeout);
  CHECK(settings->keys.flow_hash[0] == 0x1111111111111111);
}

TEST_CASE(
    "settings_reader: a sidecar's file is parsed and needs upstream keys") {
  std::vector<std::string> lines = kEntry;
  lines[0] = "role: sidecar";
  lines[9] = "keys: {flow_hash: " + kHash + ", forward: " + kHash +
             ", curve_public: " + kCurve + ", curve_secret: " + kCurve + "}";
  std::vector<SettingsError> errors;
  CHECK_FALSE(
      ParseProcessSettings(ReplaceLine(lines, kAppend, ""), "a", &errors));
  CHECK(errors.size() == 2);
  errors.clear();
  const auto settings = ParseProcessSettings(
      ReplaceLine(
          lines, kAppend,
          "upstream: {data: \"127.0.0.1:8000\", announce: "
          "\"[::1]:8001\"}\nseeds: [\"127.0.0.1:1\"]\ndrain_timeout_s: 5"),
      "a", &errors);
  REQUIRE(settings);
  REQUIRE(settings->upstream);
  CHECK(request::ToString(settings->upstream->announce) == "[::1]:8001");
  CHECK(settings->upstream->max_flows == UpstreamSettings().max_flows);
  CHECK(settings->seeds.size() == 1);
  CHECK(settings->drain_timeout == std::chrono::seconds(5));
  CHECK(settings->keys.curve_secret == kCurve);
}

// The page is generated; when a key changes and the page does not, it misleads
// operators.
TEST_CASE("settings_schema: docs/settings.md is the printed reference") {
  std::ifstream page(std::string(KUMQUATVALVE_SOURCE_DIR) +
                     "/docs/settings.md");
  REQUIRE(page);
  std::stringstream text;
  text << page.rdbuf();
  CHECK(text.str() == SettingsReference());
}

TEST_CASE("settings_schema: every key has a description and a valid range") {
  for (const auto schema : {ProcessSettingsSchema(), ServiceSchema()}) {
    for (const SettingSchema& it : schema) {
      INFO(it.key);
      CHECK_FALSE(it.doc.empty());
      CHECK((it.required ? it.default_text.empty() : true));
      CHECK(it.min_value <= it.max_value);
    }
  }
}

}  // namespace
}  // namespace kumquatvalve::version
