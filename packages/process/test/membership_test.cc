#include "kumquatvalve/process/membership.h"

#include <catch2/catch.hpp>

namespace kumquatvalve::process {
namespace {

using std::chrono::milliseconds;
using TimePoint = Membership::TimePoint;

control::Member Sidecar(const std::string& name, const std::string& zone) {
  control::Member member;
  member.set_instance(name);
  member.set_incarnation(10);
  member.set_sequence(1);
  member.set_role(control::ROLE_SIDECAR);
  member.set_availability_zone(zone);
  member.set_region("gye");
  member.mutable_announcement()->set_team("tarima");
  member.mutable_announcement()->set_service("patio");
  return member;
}

control::Suspicion MakeSuspicion(const std::string& subject,
                                 const std::string& observer,
                                 const std::string& zone,
                                 control::MemberState state) {
  control::Suspicion suspicion;
  suspicion.set_instance(subject);
  suspicion.set_incarnation(10);
  suspicion.set_state(state);
  suspicion.set_observer(observer);
  suspicion.set_observer_zone(zone);
  return suspicion;
}

// Membership of s0 in a service of s0 to s6 in three zones.
struct Fixture {
  Membership membership{Sidecar("s0", "gye-norte"), MembershipSettings()};
  TimePoint now{std::chrono::hours(1)};
  Membership::Actions actions;

  explicit Fixture(bool one_zone = false) {
    const char* zones[] = {"gye-norte", "gye-sur", "gye-duran"};
    for (int i = 1; i < 7; ++i) {
      membership.OnRecord(
          Sidecar("s" + std::to_string(i), one_zone ? zones[0] : zones[i % 3]),
          now, &actions);
    }
  }

  void ReceiveSuspicion(const std::string& subject, const std::string& observer,
                        const std::string& zone, control::MemberState state) {
    membership.OnSuspicion(MakeSuspicion(subject, observer, zone, state), now,
                           &actions);
  }
};

// Guards against an observer with a broken link evicting a healthy upstream.
TEST_CASE("membership: observers in a single zone cannot confirm a death") {
  Fixture f;
  f.ReceiveSuspicion("s1", "s2", "gye-duran", control::MEMBER_STATE_DEAD);
  f.ReceiveSuspicion("s1", "s5", "gye-duran", control::MEMBER_STATE_DEAD);
  CHECK(f.membership.State("s1") == control::MEMBER_STATE_SUSPECTED);
  f.ReceiveSuspicion("s1", "s3", "gye-norte", control::MEMBER_STATE_DEAD);
  CHECK(f.membership.State("s1") == control::MEMBER_STATE_DEAD);
}

// Guards against a dead upstream staying listed in a service whose members are
// all in one zone.
TEST_CASE("membership: a death in a one-zone service needs all observers") {
  Fixture f(true);
  for (const std::string observer : {"s0", "s2", "s3", "s4", "s5"}) {
    f.ReceiveSuspicion("s1", observer, "gye-norte", control::MEMBER_STATE_DEAD);
  }
  CHECK(f.membership.State("s1") == control::MEMBER_STATE_SUSPECTED);
  f.ReceiveSuspicion("s1", "s6", "gye-norte", control::MEMBER_STATE_DEAD);
  CHECK(f.membership.State("s1") == control::MEMBER_STATE_DEAD);
}

// Guards against late suspicions of a process's previous start evicting the
// restarted process.
TEST_CASE("membership: a higher incarnation clears suspicions") {
  Fixture f;
  f.ReceiveSuspicion("s1", "s2", "gye-duran", control::MEMBER_STATE_DEAD);
  f.ReceiveSuspicion("s1", "s3", "gye-norte", control::MEMBER_STATE_DEAD);
  control::Member restarted = Sidecar("s1", "gye-sur");
  restarted.set_incarnation(11);
  f.membership.OnRecord(restarted, f.now, &f.actions);
  CHECK(f.membership.State("s1") == control::MEMBER_STATE_ALIVE);
  f.ReceiveSuspicion("s1", "s2", "gye-duran", control::MEMBER_STATE_DEAD);
  CHECK(f.membership.State("s1") == control::MEMBER_STATE_ALIVE);
}

// Guards against a delayed record of an earlier start replacing a newer one.
TEST_CASE("membership: an older record does not replace a newer one") {
  Fixture f;
  control::Member old = Sidecar("s1", "gye-sur");
  old.set_incarnation(9);
  CHECK_FALSE(f.membership.OnRecord(old, f.now, &f.actions));
  CHECK(f.membership.Find("s1")->incarnation() == 10);
}

// Guards against mass eviction when a network fault makes much of a service
// look dead.
TEST_CASE("membership: more than a third of a group is not evicted") {
  Fixture f;
  for (const std::string subject : {"s1", "s2", "s3"}) {
    f.ReceiveSuspicion(subject, "s4", "gye-sur",
                       control::MEMBER_STATE_SUSPECTED);
    f.ReceiveSuspicion(subject, "s5", "gye-duran",
                       control::MEMBER_STATE_SUSPECTED);
  }
  REQUIRE(f.actions.newly_suspended_groups.size() == 1);
  CHECK(f.actions.newly_suspended_groups[0].second == 3);
  for (const std::string subject : {"s1", "s2", "s3"}) {
    f.ReceiveSuspicion(subject, "s4", "gye-sur", control::MEMBER_STATE_DEAD);
    f.ReceiveSuspicion(subject, "s5", "gye-duran", control::MEMBER_STATE_DEAD);
    CHECK(f.membership.State(subject) == control::MEMBER_STATE_SUSPECTED);
  }
}

// Guards against a paused observer counting its own pause as missed pings of
// other members.
TEST_CASE("membership: a paused observer does not suspect other members") {
  Fixture f;
  f.membership.Tick(f.now);
  f.now += std::chrono::seconds(60);
  const Membership::Actions after_pause = f.membership.Tick(f.now);
  CHECK(after_pause.suspicions.empty());
}

// A member's lease lapses 1,900 ms after its last acknowledged heartbeat. If it
// were reported dead earlier, its backup would act at the same time.
TEST_CASE(
    "membership: a death is reported after four missed pings and a pong "
    "withdraws it") {
  Fixture f;
  std::vector<control::Suspicion> sent;
  for (int i = 0; i < 4; ++i) {
    for (const auto& it : f.membership.Tick(f.now).suspicions) {
      sent.push_back(it);
    }
    f.now += milliseconds(500);
  }
  REQUIRE_FALSE(sent.empty());
  for (const control::Suspicion& it : sent) {
    CHECK(it.state() == control::MEMBER_STATE_SUSPECTED);
  }
  bool dead = false;
  for (const auto& it : f.membership.Tick(f.now).suspicions) {
    dead = dead || it.state() == control::MEMBER_STATE_DEAD;
  }
  CHECK(dead);
  control::Pong pong;
  pong.set_incarnation(10);
  Membership::Actions found;
  f.membership.OnPong("s1", pong, f.now, &found);
  REQUIRE(found.suspicions.size() == 1);
  CHECK(found.suspicions[0].state() == control::MEMBER_STATE_ALIVE);
  CHECK(f.membership.State("s1") == control::MEMBER_STATE_ALIVE);
}

}  // namespace
}  // namespace kumquatvalve::process
