#include "kumquatvalve/process/fleet_view.h"

#include <catch2/catch.hpp>

namespace kumquatvalve::process {
namespace {

const version::ServicePath kPatio{request::TeamName("tarima"),
                                  request::ServiceName("patio")};

TEST_CASE("fleet_view: parses a zone summary and rejects malformed ones") {
  request::Failure failure;
  const auto members = ParseZoneSummary(
      {"/members/gye-sur",
       {9},
       R"({"zone":"gye-sur","region":"gye","writer":"e1","members":[
         {"instance":"e1","role":"entry","incarnation":5,"state":"alive",
          "applied_version":8,"open_flows":0},
         {"instance":"s1","role":"sidecar","incarnation":6,"state":"suspected",
          "applied_version":7,"open_flows":3,"team":"tarima",
          "service":"patio","draining":true}]})"},
      &failure);
  REQUIRE(members);
  REQUIRE(members->size() == 2);
  CHECK_FALSE((*members)[0].service);
  CHECK((*members)[1].service == kPatio);
  CHECK((*members)[1].draining);
  CHECK((*members)[1].open_flows == 3);
  for (const char* it :
       {"", "[]", "{}", R"({"zone":1,"region":"","members":[]})",
        R"({"zone":"","region":"","members":[1]})"}) {
    CHECK_FALSE(ParseZoneSummary({"/members/x", {1}, it}, &failure));
    CHECK(failure.code == request::ResultCode::kBadAnswer);
  }
}

MemberView Member(const char* name, const char* role, const char* state,
                  uint64_t applied) {
  MemberView member;
  member.instance = request::InstanceName(name);
  member.role = role;
  member.state = state;
  member.applied_version = {applied};
  if (member.role == "sidecar") {
    member.service = kPatio;
  }
  return member;
}

// Guards against a version being shown as in force while a member that needs it
// lacks it.
TEST_CASE("fleet_view: counts neither dead members nor other services") {
  std::vector<MemberView> members = {
      Member("e1", "entry", "alive", 7), Member("e2", "entry", "suspected", 6),
      Member("e3", "entry", "dead", 1), Member("s1", "sidecar", "alive", 9),
      Member("s2", "sidecar", "alive", 1)};
  members[4].service->service = request::ServiceName("evidencia");
  const auto count = CountInForce(members, kPatio, {7});
  CHECK(count.expected == 3);
  CHECK(count.confirmed == 2);
  CHECK(count.missing ==
        std::vector<request::InstanceName>{request::InstanceName("e2")});
  CHECK_FALSE(count.everywhere());
  CHECK(CountInForce(members, kPatio, {6}).everywhere());
  CHECK_FALSE(CountInForce({}, kPatio, {6}).everywhere());
}

}  // namespace
}  // namespace kumquatvalve::process
