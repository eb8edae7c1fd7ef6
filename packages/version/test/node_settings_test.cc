#include "kumquatvalve/version/node_settings.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cmath>
#include <optional>
#include <string>
#include <vector>

namespace kumquatvalve::version {
namespace {

using request::ResultCode;

const std::string kEntry = R"(role: entry
instance: "front-a-1"
availability_zone: "a"
packets: "127.0.0.1:7001"
hops: "127.0.0.1:7002"
status: "127.0.0.1:7003"
store: "http://127.0.0.1:7004"
stop_timeout_s: 6
)";

const std::string kSidecar = R"(role: sidecar
instance: "side-a-1"
availability_zone: "a"
packets: "127.0.0.1:7001"
status: "127.0.0.1:7003"
store: "http://127.0.0.1:7004"
upstream:
  packets: "127.0.0.1:7005"
  outbound: "127.0.0.1:7006"
  announce: "127.0.0.1:7007"
  service: "patio"
)";

std::vector<SettingsError> ParseErrors(const std::string& text) {
  std::vector<SettingsError> errors;
  CHECK_FALSE(ParseNodeSettings(text, "node.yaml", &errors));
  return errors;
}

TEST_CASE("node_settings: valid files of both roles are parsed") {
  std::vector<SettingsError> errors;
  const auto entry = ParseNodeSettings(kEntry, "node.yaml", &errors);
  REQUIRE(entry);
  CHECK(entry->role == Role::kEntry);
  CHECK(entry->hops.port == 7002);
  CHECK(entry->stop_timeout == std::chrono::seconds(6));
  CHECK(entry->configuration_apply_limit == std::chrono::milliseconds(3000));
  const auto sidecar = ParseNodeSettings(kSidecar, "node.yaml", &errors);
  REQUIRE(sidecar);
  REQUIRE(sidecar->upstream);
  CHECK(sidecar->upstream->service.text() == "patio");
  CHECK(sidecar->upstream->announce.port == 7007);
}

TEST_CASE("node_settings: the limit for applying a configuration is read") {
  std::vector<SettingsError> errors;
  const auto entry = ParseNodeSettings(
      kEntry + "configuration_apply_ms: 6000\n", "node.yaml", &errors);
  REQUIRE(entry);
  CHECK(entry->configuration_apply_limit == std::chrono::milliseconds(6000));
}

// Without the setting an instance must make no calls for evacuations.
TEST_CASE("node_settings: evacuations are followed only when it is set") {
  std::vector<SettingsError> errors;
  const auto without = ParseNodeSettings(kEntry, "node.yaml", &errors);
  REQUIRE(without);
  CHECK_FALSE(without->evacuation_apply_limit);
  const std::string line = "evacuation_apply_ms: 5000\n";
  const auto with = ParseNodeSettings(kEntry + line, "node.yaml", &errors);
  REQUIRE(with);
  CHECK(with->evacuation_apply_limit == std::chrono::milliseconds(5000));
  CHECK_FALSE(ParseErrors(kSidecar + line).empty());
}

TEST_CASE("node_settings: the time before an address is used again is read") {
  std::vector<SettingsError> errors;
  const auto without = ParseNodeSettings(kSidecar, "node.yaml", &errors);
  REQUIRE(without);
  CHECK(without->upstream->address_reuse == std::chrono::milliseconds(2000));
  const auto with = ParseNodeSettings(kSidecar + "  address_reuse_s: 2.5\n",
                                      "node.yaml", &errors);
  REQUIRE(with);
  CHECK(with->upstream->address_reuse == std::chrono::milliseconds(2500));
  CHECK_FALSE(
      ParseErrors(kEntry + "upstream:\n  address_reuse_s: 2\n").empty());
}

// The template leaves empty lines where a deployment has no warm-up.
TEST_CASE("node_settings: the slack of the warm-up is optional") {
  std::vector<SettingsError> errors;
  const auto without =
      ParseNodeSettings(kSidecar + "\n\n", "node.yaml", &errors);
  REQUIRE(without);
  CHECK_FALSE(without->upstream->warm_up_slack);
  const auto with = ParseNodeSettings(kSidecar + "\n  warm_up:\n    slack: 5\n",
                                      "node.yaml", &errors);
  REQUIRE(with);
  CHECK(with->upstream->warm_up_slack == 5);
  CHECK_FALSE(ParseErrors(kSidecar + "  warm_up:\n    slak: 5\n").empty());
}

// A figure of the platform, and what is used in its place.
struct FigureCase {
  std::string text;
  /// Milliseconds; nothing when the figure counts as absent.
  std::optional<int64_t> used;
  /// Code of the adjustment; `kOk` when there is none.
  ResultCode adjustment = ResultCode::kOk;
};

// Checks what `read` returns when the figure stands behind `prefix`.
template <typename R>
void CheckFigures(const std::string& prefix, const std::string& key,
                  const std::vector<FigureCase>& cases, const R& read) {
  for (const FigureCase& it : cases) {
    INFO(key << ": '" << it.text << "'");
    std::vector<SettingsError> errors;
    const auto settings =
        ParseNodeSettings(prefix + it.text + "\n", "node.yaml", &errors);
    REQUIRE(settings);
    const std::optional<std::chrono::milliseconds> used = read(*settings);
    CHECK(used.has_value() == it.used.has_value());
    CHECK(used.value_or(std::chrono::milliseconds(-1)).count() ==
          it.used.value_or(-1));
    if (it.adjustment == ResultCode::kOk) {
      CHECK(settings->adjustments.empty());
      continue;
    }
    REQUIRE(settings->adjustments.size() == 1);
    CHECK(settings->adjustments[0].code == it.adjustment);
    CHECK(settings->adjustments[0].key == key);
    CHECK(settings->adjustments[0].line > 0);
  }
}

// No process started when a figure that the platform fills in was a fraction,
// out of range or empty.
TEST_CASE("node_settings: a figure of the platform prevents no start") {
  constexpr auto kRange = ResultCode::kOutOfRange;
  constexpr auto kType = ResultCode::kWrongType;
  constexpr auto kMissing = ResultCode::kMissingKey;
  const std::string entry = kEntry.substr(0, kEntry.find("stop_timeout_s"));
  CheckFigures(entry + "stop_timeout_s: ", "stop_timeout_s",
               {{"6", 6000},
                {"6.5", 6500},
                {"6.0009", 6000},
                {"6e0", 6000},
                {"0.5", 500},
                {"0", 0},
                {"-1", 0, kRange},
                {"99999999999999999999", 3600000, kRange},
                {"1e400", 6000, kType},
                {"", 6000, kMissing},
                {"null", 6000, kMissing},
                {"true", 6000, kType},
                {"soon", 6000, kType},
                {"{\"a\": 1}", 6000, kType},
                {"[1,2]", 6000, kType}},
               [](const NodeSettings& it) { return it.stop_timeout; });
  CheckFigures(
      kEntry + "configuration_apply_ms: ", "configuration_apply_ms",
      {{"2999.5", 2999},
       {"800", 800},
       {"10", 500, kRange},
       {"1e9", 60000, kRange},
       {"", 3000, kMissing},
       {"false", 3000, kType}},
      [](const NodeSettings& it) { return it.configuration_apply_limit; });
  CheckFigures(
      kEntry + "evacuation_apply_ms: ", "evacuation_apply_ms",
      {{"5000.5", 5000},
       {"1", 500, kRange},
       {"", std::nullopt},
       {"true", 3000, kType}},
      [](const NodeSettings& it) { return it.evacuation_apply_limit; });
  CheckFigures(
      kSidecar + "  address_reuse_s: ", "upstream.address_reuse_s",
      {{"2.5", 2500},
       {"0.0019", 1},
       {"-1", 0, kRange},
       {"601", 600000, kRange},
       {"", 2000, kMissing},
       {"x", 2000, kType}},
      [](const NodeSettings& it) { return it.upstream->address_reuse; });
  CheckFigures(
      kSidecar + "  warm_up:\n    slack: ", "upstream.warm_up.slack",
      {{"2.5", 2500},
       {"-1", 0, kRange},
       {"", std::nullopt},
       {"true", std::nullopt, kType}},
      [](const NodeSettings& it) {
        return it.upstream->warm_up_slack
                   ? std::optional(std::chrono::milliseconds(
                         std::lround(*it.upstream->warm_up_slack * 1000)))
                   : std::nullopt;
      });
}

// The environment has the same figures as the file.
TEST_CASE("node_settings: a figure of the environment prevents no start") {
  std::vector<SettingsError> errors;
  const std::vector<SettingOverride> overrides = {
      {"evacuation_apply_ms", "5000.5"}, {"stop_timeout_s", "x"}};
  const auto entry = ParseNodeSettings(kEntry, "node.yaml", &errors, overrides);
  REQUIRE(entry);
  CHECK(entry->evacuation_apply_limit == std::chrono::milliseconds(5000));
  CHECK(entry->stop_timeout == std::chrono::seconds(6));
  REQUIRE(entry->adjustments.size() == 1);
  CHECK(entry->adjustments[0].key == "stop_timeout_s");
}

// What the platform does not fill in stays an error.
TEST_CASE("node_settings: a wrong key beside an unusable figure is an error") {
  CHECK(ParseErrors(kSidecar + "  address_reuse_s: x\n  reuse_s: 2\n")
            .front()
            .code == ResultCode::kUnknownKey);
}

TEST_CASE("node_settings: peers are optional") {
  std::vector<SettingsError> errors;
  const auto alone = ParseNodeSettings(kEntry, "node.yaml", &errors);
  REQUIRE(alone);
  CHECK(alone->peers.empty());
  CHECK_FALSE(alone->peer_listen);
  const auto entry =
      ParseNodeSettings(kEntry +
                            "peer_listen: \"127.0.0.1:7010\"\n"
                            "peers: [\"127.0.0.1:7011\",\"127.0.0.1:7012\"]\n",
                        "node.yaml", &errors);
  REQUIRE(entry);
  CHECK(entry->peer_listen->port == 7010);
  CHECK(entry->peers.size() == 2);
  // `peer_listen` is only valid for entry instances.
  CHECK_FALSE(
      ParseErrors(kSidecar + "peer_listen: \"127.0.0.1:7010\"\n").empty());
}

TEST_CASE("node_settings: the error for an unknown key has its line number") {
  const auto errors = ParseErrors(kEntry + "color: red\n");
  REQUIRE(errors.size() == 1);
  CHECK(errors[0].code == ResultCode::kUnknownKey);
  CHECK(errors[0].line == 9);
}

TEST_CASE("node_settings: a missing key or an invalid value is an error") {
  CHECK(ParseErrors("role: entry\n").front().code == ResultCode::kMissingKey);
  std::string text = kEntry;
  text.replace(text.find("7002"), 4, "port");
  CHECK(ParseErrors(text).front().code != ResultCode::kOk);
}

// Guards against a variable that is ignored, or one without a value that
// removes what the file says or fails the start.
TEST_CASE(
    "node_settings: the environment gives settings in place of the file") {
  const std::string sidecar = R"(
role: sidecar
instance: s-1
availability_zone: zone-a
packets: "10.0.0.2:8172"
status: "10.0.0.2:8167"
store: "http://10.0.0.9:9000"
upstream:
  packets: "10.0.0.2:8165"
  outbound: "10.0.0.2:8162"
  announce: "10.0.0.2:8166"
  service: orders
)";
  std::vector<SettingsError> errors;
  const std::vector<SettingOverride> slack = {{"upstream.warm_up.slack", "5"}};
  const auto with = ParseNodeSettings(sidecar, "s.yaml", &errors, slack);
  REQUIRE(with);
  CHECK(with->upstream->warm_up_slack == std::optional(5.0));
  CHECK(with->upstream->service.text() == "orders");
  const std::vector<SettingOverride> empty = {{"upstream.warm_up.slack", ""}};
  const auto without = ParseNodeSettings(sidecar, "s.yaml", &errors, empty);
  REQUIRE(without);
  CHECK_FALSE(without->upstream->warm_up_slack);
  const std::vector<SettingOverride> other_role = {
      {"evacuation_apply_ms", "5000"}};
  CHECK_FALSE(ParseNodeSettings(sidecar, "s.yaml", &errors, other_role));
}

}  // namespace
}  // namespace kumquatvalve::version
