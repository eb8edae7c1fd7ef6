#include "kumquatvalve/version/service_spec.h"

#include <catch2/catch.hpp>
#include <string>

#include "kumquatvalve/version/admission.h"

namespace kumquatvalve::version {
namespace {

using request::Failure;
using request::ResultCode;

const std::string kPath = "/teams/tarima/services/patio";

ServicePath ParsePath(const std::string& text) {
  Failure failure;
  return *ParseServicePath(text, &failure);
}

std::string MakeServicesFile(const std::string& settings) {
  return "services:\n  " + kPath + ":\n    addresses: [\"10.0.0.1:80/tcp\"]\n" +
         "    " + settings + "\n";
}

ServiceSpec ParseSpec(const std::string& settings) {
  std::vector<SettingsError> errors;
  const auto services = ParseServices(MakeServicesFile(settings), "a", &errors);
  REQUIRE(services);
  return services->begin()->second;
}

TEST_CASE("service_spec: the schema and the struct have the same defaults") {
  ServiceSpec expected;
  Failure failure;
  expected.addresses = {*ParseServiceAddress("10.0.0.1:80/tcp", &failure)};
  CHECK(ParseSpec("") == expected);
}

// A key that the stored form omits would reset that setting without an
// operator's change.
TEST_CASE("service_spec: settings survive a round trip through JSON and YAML") {
  StoredService stored;
  stored.path = ParsePath(kPath);
  stored.spec = ParseSpec(
      "slots: 5\n    admit: {labels: {app: patio, tier: \"5\"}}\n"
      "    weights: {a-1: 7}\n    draining: [a-2, a-3]\n    rows: 1024\n    "
      "max_waiting: 9\n"
      "    deadline_ms: 80\n    retry_budget: 0.125\n"
      "    zone_preference: same_zone\n"
      "    silent_probe: {idle_ms: 5000, interval_ms: 500, count: 3}");
  stored.operation = {"op-1", "2026-01-01T00:00:00Z", "team \"x\"\n"};
  stored.created = {7};
  stored.earlier = {{"op-0", {7}}};
  Failure failure;
  const auto read =
      ReadStoredService(kPath, WriteStoredService(stored), &failure);
  REQUIRE(read);
  CHECK(*read == stored);
  CHECK(read->Id({9}) == request::ServiceId{7});

  std::vector<SettingsError> errors;
  const auto services =
      ParseServices(WriteServiceYaml(stored.path, stored.spec), "a", &errors);
  REQUIRE(services);
  CHECK(services->at(stored.path) == stored.spec);
}

TEST_CASE("service_spec: a service's id is its first version") {
  CHECK(StoredService().Id({9}) == request::ServiceId{9});
}

TEST_CASE("service_spec: each kind of invalid file has its error code") {
  struct InvalidFile {
    std::string text;
    ResultCode code;
    std::string key;
  };
  const std::string prefix = "services." + kPath;
  const std::vector<InvalidFile> files = {
      {MakeServicesFile("rows: 500"), ResultCode::kOutOfRange,
       prefix + ".rows"},
      {MakeServicesFile("rows: 32"), ResultCode::kOutOfRange, prefix + ".rows"},
      {MakeServicesFile("weights: {a: 0}"), ResultCode::kOutOfRange,
       prefix + ".weights.a"},
      {MakeServicesFile("weights: {A: 1}"), ResultCode::kBadName,
       prefix + ".weights.A"},
      {MakeServicesFile("weights: {a: 1, a: 2}"), ResultCode::kDuplicateName,
       prefix + ".weights.a"},
      {MakeServicesFile("admit: {labels: {a: [1]}}"), ResultCode::kWrongType,
       prefix + ".admit.labels"},
      {MakeServicesFile("weight: {}"), ResultCode::kUnknownKey,
       prefix + ".weight"},
      {MakeServicesFile("retry_budget: 2"), ResultCode::kOutOfRange,
       prefix + ".retry_budget"},
      {"services: {" + kPath + ": {}}", ResultCode::kMissingKey,
       prefix + ".addresses"},
      {"services: {" + kPath + ": {addresses: [\"10.0.0.1:80\"]}}",
       ResultCode::kBadAddress, prefix + ".addresses[0]"},
      {"services: {" + kPath +
           ": {addresses: [\"[::1]:80/tcp\", \"[0::1]:80/tcp\"]}}",
       ResultCode::kOverlappingAddress, prefix + ".addresses"},
      {"services: {/teams/tarima/patio: {}}", ResultCode::kBadPath,
       "services./teams/tarima/patio"},
      {"services: {/teams/tarima/services/a/b: {}}", ResultCode::kBadName,
       "services./teams/tarima/services/a/b"},
      {"services: {/teams/../services/a: {}}", ResultCode::kBadName,
       "services./teams/../services/a"},
      {"services: {/teams/a/services/b: {addresses: [\"10.0.0.1:80/tcp\"]}, "
       "/teams/a/services/c: {addresses: [\"10.0.0.1:80/tcp\"]}}",
       ResultCode::kOverlappingAddress,
       "services./teams/a/services/c.addresses"},
      {"services: {/teams/a/services/b: {addresses: [\"10.0.0.1:80/tcp\"]}, "
       "/teams/a/services/b: {addresses: [\"10.0.0.1:81/tcp\"]}}",
       ResultCode::kDuplicateName, "services./teams/a/services/b"},
      {"service: {}", ResultCode::kUnknownKey, "service"},
      {"[]", ResultCode::kWrongType, ""},
      {"", ResultCode::kBadYaml, ""},
  };
  for (const InvalidFile& it : files) {
    std::vector<SettingsError> errors;
    INFO(it.text);
    CHECK_FALSE(ParseServices(it.text, "a", &errors));
    REQUIRE_FALSE(errors.empty());
    CHECK(request::Name(errors[0].code) == request::Name(it.code));
    CHECK(errors[0].key == it.key);
  }
}

// An object in one team's subtree, written by another client, must not change
// another team's service.
TEST_CASE("service_spec: a stored body that names another path is rejected") {
  StoredService stored;
  stored.path = ParsePath(kPath);
  stored.spec = ParseSpec("");
  Failure failure;
  CHECK_FALSE(ReadStoredService("/teams/kalahari/services/patio",
                                WriteStoredService(stored), &failure));
  CHECK(failure.code == ResultCode::kOutsideSubtree);
  for (const char* it : {"", "{}", "[", R"({"path":1})"}) {
    CHECK_FALSE(ReadStoredService(kPath, it, &failure));
  }
}

TEST_CASE("subtree: paths of other teams and malformed paths are rejected") {
  Failure failure;
  const request::TeamName team("tarima");
  CHECK(CheckSubtree(team, kPath, &failure));
  CHECK_FALSE(CheckSubtree(team, "/teams/tarima2/services/patio", &failure));
  CHECK(failure.code == ResultCode::kOutsideSubtree);
  CHECK_FALSE(CheckSubtree(team, "/teams/tarima/services/", &failure));
  CHECK(failure.code == ResultCode::kBadName);
  CHECK_FALSE(CheckSubtree(team, "/members/gye-sur", &failure));
  CHECK(failure.code == ResultCode::kBadPath);
}

// With an address in two services, packets for one would reach the other.
TEST_CASE("service_spec: an address belongs to one service") {
  const ServiceSpec spec = ParseSpec("");
  Failure failure;
  const ServicePath own = ParsePath(kPath);
  const ServicePath other = ParsePath("/teams/tarima/services/evidencia");
  CHECK(CheckAddresses(own, spec, {{own, spec}}, &failure));
  CHECK_FALSE(CheckAddresses(own, spec, {{other, spec}}, &failure));
  CHECK(failure.code == ResultCode::kOverlappingAddress);
  const auto owners = AssignAddresses({{{9}, spec}, {{4}, spec}});
  REQUIRE(owners.size() == 1);
  CHECK(owners.begin()->second == request::ServiceId{4});
}

AnnouncedUpstream MakeAnnounced(const std::string& name, uint64_t incarnation,
                                uint16_t port) {
  AnnouncedUpstream upstream;
  upstream.name = request::InstanceName(name);
  upstream.service = ParsePath(kPath);
  upstream.labels = {{"app", "patio"}, {"tier", "a"}};
  upstream.entry.instance = request::InstanceIdOf(upstream.name);
  upstream.entry.incarnation = {incarnation};
  upstream.entry.data.port = port;
  upstream.entry.slots = 3;
  return upstream;
}

TEST_CASE(
    "admission: labels and service decide, settings override the "
    "announcement") {
  const ServiceSpec spec = ParseSpec(
      "slots: 5\n    weights: {a: 7}\n    draining: [b]\n    admit: {labels: "
      "{app: patio}}");
  std::vector<AnnouncedUpstream> announced = {
      MakeAnnounced("a", 1, 1), MakeAnnounced("b", 1, 2),
      MakeAnnounced("c", 1, 3), MakeAnnounced("d", 1, 4)};
  announced[2].labels.erase("app");
  announced[3].service = ParsePath("/teams/tarima/services/evidencia");
  const auto admitted = AdmittedUpstreams(ParsePath(kPath), spec, announced);
  REQUIRE(admitted.size() == 2);
  for (const UpstreamEntry& it : admitted) {
    CHECK(it.slots == 5);
    CHECK(it.weight ==
          (it.instance == announced[0].entry.instance ? 7U : 100U));
    CHECK(it.draining == (it.instance == announced[1].entry.instance));
  }
}

// Packets for an instance that has left must not reach the instance that reuses
// its address, even one of another service.
TEST_CASE("admission: a reused address admits only the later instance") {
  std::vector<AnnouncedUpstream> announced = {MakeAnnounced("a", 1, 1),
                                              MakeAnnounced("b", 2, 1)};
  auto admitted = AdmittedUpstreams(ParsePath(kPath), ParseSpec(""), announced);
  REQUIRE(admitted.size() == 1);
  CHECK(admitted[0].instance == announced[1].entry.instance);
  announced[1].service = ParsePath("/teams/tarima/services/evidencia");
  CHECK(AdmittedUpstreams(ParsePath(kPath), ParseSpec(""), announced).empty());
}

}  // namespace
}  // namespace kumquatvalve::version
