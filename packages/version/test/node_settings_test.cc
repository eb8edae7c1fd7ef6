#include "kumquatvalve/version/node_settings.h"

#include <catch2/catch.hpp>
#include <string>

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

TEST_CASE("node_settings: the limit for applying a configuration is checked") {
  std::vector<SettingsError> errors;
  const auto entry = ParseNodeSettings(
      kEntry + "configuration_apply_ms: 6000\n", "node.yaml", &errors);
  REQUIRE(entry);
  CHECK(entry->configuration_apply_limit == std::chrono::milliseconds(6000));
  CHECK(ParseErrors(kEntry + "configuration_apply_ms: 10\n").front().code ==
        ResultCode::kOutOfRange);
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
  CHECK(ParseErrors(kSidecar + "  address_reuse_s: -1\n").front().code ==
        ResultCode::kOutOfRange);
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
  CHECK(ParseErrors(kSidecar + "  warm_up:\n    slack: -1\n").front().code ==
        ResultCode::kOutOfRange);
  CHECK_FALSE(ParseErrors(kSidecar + "  warm_up:\n    slak: 5\n").empty());
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
  const std::vector<SettingOverride> bad = {{"upstream.warm_up.slack", "x"}};
  CHECK_FALSE(ParseNodeSettings(sidecar, "s.yaml", &errors, bad));
  const std::vector<SettingOverride> other_role = {
      {"evacuation_apply_ms", "5000"}};
  CHECK_FALSE(ParseNodeSettings(sidecar, "s.yaml", &errors, other_role));
}

}  // namespace
}  // namespace kumquatvalve::version
