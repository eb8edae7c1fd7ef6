#include "kumquatvalve/process/membership.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "kumquatvalve/process/relay_selection.h"

namespace kumquatvalve::process {
namespace {

using control::Member;
using control::MemberState;
using control::Suspicion;

// Services with fewer members are observed by entry instances too, since their
// own members cannot provide two observers in different zones.
constexpr size_t kSelfObservedMembers = 4;

// Number of entry instances that observe a small service, each in another zone.
constexpr size_t kEntryObservers = 2;

bool IsPresent(MemberState state) {
  return state != control::MEMBER_STATE_LEFT &&
         state != control::MEMBER_STATE_DEAD;
}

uint64_t DigestTerm(const Member& member) {
  if (!IsPresent(member.state())) {
    // Dead members do not count, since processes remove their records at
    // different times.
    return 0;
  }
  const uint64_t values[] = {
      member.incarnation(), member.sequence(),
      XXH64(member.instance().data(), member.instance().size(), 0)};
  return XXH64(values, sizeof(values), 0);
}

int Severity(MemberState state) {
  switch (state) {
    case control::MEMBER_STATE_DEAD:
      return 2;
    case control::MEMBER_STATE_SUSPECTED:
      return 1;
    default:
      return 0;
  }
}

}  // namespace

std::string ServiceKey(const Member& member) {
  return member.has_announcement() ? member.announcement().team() + "/" +
                                         member.announcement().service()
                                   : "";
}

std::string Membership::GroupName(const Member& member) {
  if (member.role() == control::ROLE_ENTRY) {
    return "entries of " + member.region();
  }
  const std::string service = ServiceKey(member);
  return service.empty() ? "sidecars of " + member.availability_zone()
                         : service;
}

Membership::Membership(Member self, const MembershipSettings& settings)
    : self_(std::move(self)), settings_(settings) {
  self_.set_state(control::MEMBER_STATE_ALIVE);
  self_.set_sequence(1);
  members_[self_.instance()] = self_;
  groups_[GroupName(self_)].members.insert(self_.instance());
  AddDigest(self_, 1);
}

void Membership::SetSelf(Member self) {
  self.set_sequence(self_.sequence() + 1);
  Member& current = members_[self_.instance()];
  AddDigest(current, static_cast<uint64_t>(-1));
  groups_[GroupName(current)].members.erase(self_.instance());
  self_ = std::move(self);
  current = self_;
  groups_[GroupName(current)].members.insert(self_.instance());
  AddDigest(current, 1);
  targets_stale_ = true;
}

void Membership::AddDigest(const Member& member, uint64_t sign) {
  const uint64_t term = DigestTerm(member) * sign;
  digest_ += term;
  if (member.role() == control::ROLE_ENTRY) {
    entry_digest_ += term;
  } else {
    service_digest_[ServiceKey(member)] += term;
  }
}

bool Membership::OnRecord(const Member& record, TimePoint now,
                          Actions* actions) {
  const std::string& name = record.instance();
  if (name.empty() || name == self_.instance()) {
    return false;
  }
  const auto it = members_.find(name);
  if (it != members_.end()) {
    const auto current =
        std::make_pair(it->second.incarnation(), it->second.sequence());
    if (std::make_pair(record.incarnation(), record.sequence()) <= current) {
      return false;
    }
    if (record.incarnation() > it->second.incarnation()) {
      // The record belongs to a newer start of the process, to which suspicions
      // of the previous one do not apply.
      suspicions_.erase(name);
      ping_states_.erase(name);
      inactive_since_.erase(name);
    }
    AddDigest(it->second, static_cast<uint64_t>(-1));
    groups_[GroupName(it->second)].members.erase(name);
  }
  Member& current = members_[name];
  const MemberState state = current.state();
  const bool same_start = current.incarnation() == record.incarnation();
  current = record;
  if (record.state() == control::MEMBER_STATE_LEFT) {
    inactive_since_[name] = now;
  } else {
    current.set_state(same_start && state != control::MEMBER_STATE_LEFT
                          ? state
                          : control::MEMBER_STATE_ALIVE);
  }
  groups_[GroupName(current)].members.insert(name);
  AddDigest(current, 1);
  targets_stale_ = true;
  actions->changed.push_back(name);
  return true;
}

void Membership::OnPong(const std::string& from, const control::Pong& pong,
                        TimePoint now, Actions* actions) {
  const auto it = ping_states_.find(from);
  const auto member = members_.find(from);
  if (it == ping_states_.end() || member == members_.end() ||
      pong.incarnation() != member->second.incarnation()) {
    return;
  }
  it->second.awaiting_pong = false;
  it->second.missed_pings = 0;
  const auto suspicions_by_observer = suspicions_.find(from);
  if (suspicions_by_observer != suspicions_.end() &&
      suspicions_by_observer->second.contains(self_.instance())) {
    // A direct answer refutes this process's own suspicion.
    RecordOwnObservation(from, control::MEMBER_STATE_ALIVE, now, actions);
  }
}

void Membership::RecordOwnObservation(const std::string& instance,
                                      MemberState state, TimePoint now,
                                      Actions* actions) {
  Suspicion suspicion;
  suspicion.set_instance(instance);
  suspicion.set_incarnation(members_[instance].incarnation());
  suspicion.set_state(state);
  suspicion.set_observer(self_.instance());
  suspicion.set_observer_zone(self_.availability_zone());
  if (OnSuspicion(suspicion, now, actions)) {
    actions->suspicions.push_back(suspicion);
  }
}

bool Membership::OnSuspicion(const Suspicion& suspicion, TimePoint now,
                             Actions* actions) {
  const auto member = members_.find(suspicion.instance());
  if (member == members_.end() ||
      member->second.incarnation() != suspicion.incarnation() ||
      suspicion.instance() == self_.instance()) {
    return false;
  }
  const bool retracted = Severity(suspicion.state()) == 0;
  if (retracted && !suspicions_.contains(suspicion.instance())) {
    return false;
  }
  auto& suspicions_by_observer = suspicions_[suspicion.instance()];
  const auto it = suspicions_by_observer.find(suspicion.observer());
  if (it == suspicions_by_observer.end() && retracted) {
    return false;
  }
  if (it != suspicions_by_observer.end()) {
    if (it->second.suspicion.state() == suspicion.state()) {
      // A repeated suspicion is forwarded only when the stored one is old
      // enough.
      const bool old =
          now - it->second.received > settings_.suspicion_repeat_interval / 2;
      if (old) {
        it->second.received = now;
      }
      return old;
    }
    if (retracted) {
      suspicions_by_observer.erase(it);
      if (suspicions_by_observer.empty()) {
        suspicions_.erase(suspicion.instance());
      }
    } else {
      it->second = {suspicion, now};
    }
  } else {
    suspicions_by_observer[suspicion.observer()] = {suspicion, now};
  }
  UpdateGroupStates(GroupName(member->second), now, actions);
  return true;
}

bool Membership::ObserversAgree(const std::string& instance,
                                int severity) const {
  const auto it = suspicions_.find(instance);
  if (it == suspicions_.end()) {
    return false;
  }
  std::set<std::string> zones;
  std::set<std::string> observers;
  for (const auto& [observer, observed] : it->second) {
    if (Severity(observed.suspicion.state()) >= severity) {
      zones.insert(observed.suspicion.observer_zone());
      observers.insert(observer);
    }
  }
  if (zones.size() != 1) {
    return zones.size() >= 2;
  }
  // A service within one zone has no observers in two zones; all its other
  // members that are themselves not suspected must agree.
  const Member& member = members_.at(instance);
  for (const std::string& name : groups_.at(GroupName(member)).members) {
    const Member& other = members_.at(name);
    if (other.availability_zone() != member.availability_zone()) {
      return false;
    }
    if (name != instance && IsPresent(other.state()) &&
        !suspicions_.contains(name) && !observers.contains(name)) {
      return false;
    }
  }
  return true;
}

void Membership::UpdateGroupStates(const std::string& name, TimePoint now,
                                   Actions* actions) {
  Group& group = groups_[name];
  size_t total = 0;
  std::vector<std::string> suspected;
  for (const std::string& it : group.members) {
    if (members_.at(it).state() == control::MEMBER_STATE_LEFT) {
      continue;
    }
    ++total;
    if (ObserversAgree(it, Severity(control::MEMBER_STATE_SUSPECTED))) {
      suspected.push_back(it);
    }
  }
  // A single suspected member may be evicted even if it is one of two: the
  // backups of its rows are at the other one.
  const bool single_of_several = suspected.size() == 1 && total >= 2;
  const bool eviction_suspended = settings_.hold_mass_eviction &&
                                  suspected.size() * 3 > total &&
                                  !single_of_several;
  if (eviction_suspended && !group.eviction_suspended) {
    actions->newly_suspended_groups.emplace_back(name, suspected.size());
  }
  group.eviction_suspended = eviction_suspended;
  const std::vector<std::string> members(group.members.begin(),
                                         group.members.end());
  for (const std::string& it : members) {
    const MemberState state = members_.at(it).state();
    if (state == control::MEMBER_STATE_LEFT) {
      continue;
    }
    const bool dead = ObserversAgree(it, Severity(control::MEMBER_STATE_DEAD));
    if (dead && (!eviction_suspended || state == control::MEMBER_STATE_DEAD)) {
      SetState(it, control::MEMBER_STATE_DEAD, now, actions);
    } else if (const auto found = suspicions_.find(it);
               found != suspicions_.end() && !found->second.empty()) {
      SetState(it, control::MEMBER_STATE_SUSPECTED, now, actions);
    } else {
      SetState(it, control::MEMBER_STATE_ALIVE, now, actions);
    }
  }
}

void Membership::SetState(const std::string& instance, MemberState state,
                          TimePoint now, Actions* actions) {
  Member& member = members_.at(instance);
  if (member.state() == state) {
    return;
  }
  AddDigest(member, static_cast<uint64_t>(-1));
  member.set_state(state);
  AddDigest(member, 1);
  if (IsPresent(state)) {
    inactive_since_.erase(instance);
  } else {
    inactive_since_[instance] = now;
  }
  actions->changed.push_back(instance);
}

std::vector<std::string> Membership::ObservationRing(
    const std::string& group) const {
  std::map<std::string, std::vector<std::string>> zones;
  const auto found = groups_.find(group);
  if (found == groups_.end()) {
    return {};
  }
  for (const std::string& it : found->second.members) {
    const Member& member = members_.at(it);
    if (member.state() != control::MEMBER_STATE_LEFT) {
      zones[member.availability_zone()].push_back(it);
    }
  }
  std::vector<std::string> ring;
  for (auto& [zone, names] : zones) {
    names = RankByRendezvousHash(std::move(names), group);
  }
  for (size_t i = 0; !zones.empty(); ++i) {
    for (auto it = zones.begin(); it != zones.end();) {
      if (i < it->second.size()) {
        ring.push_back(it->second[i]);
        ++it;
      } else {
        it = zones.erase(it);
      }
    }
  }
  return ring;
}

std::vector<std::string> Membership::ChooseEntryObservers(
    const std::string& group) const {
  std::vector<std::string> entries;
  for (const auto& [name, member] : members_) {
    if (member.role() == control::ROLE_ENTRY && IsPresent(member.state()) &&
        member.region() == self_.region()) {
      entries.push_back(name);
    }
  }
  std::vector<std::string> chosen;
  std::set<std::string> zones;
  for (std::string& it : RankByRendezvousHash(std::move(entries), group)) {
    if (chosen.size() < kEntryObservers &&
        zones.insert(members_.at(it).availability_zone()).second) {
      chosen.push_back(std::move(it));
    }
  }
  return chosen;
}

void Membership::ChoosePingTargets() {
  targets_stale_ = false;
  targets_.clear();
  const bool entry = self_.role() == control::ROLE_ENTRY;
  if (entry) {
    for (const auto& [name, group] : groups_) {
      if (group.members.size() >= kSelfObservedMembers ||
          group.members.empty()) {
        continue;
      }
      const Member& first = members_.at(*group.members.begin());
      if (first.role() != control::ROLE_SIDECAR || !first.has_announcement() ||
          first.region() != self_.region()) {
        continue;
      }
      const std::vector<std::string> observers = ChooseEntryObservers(name);
      if (std::find(observers.begin(), observers.end(), self_.instance()) !=
          observers.end()) {
        targets_.insert(targets_.end(), group.members.begin(),
                        group.members.end());
        // Leaves room for the entry instances that follow in the ring.
        targets_.resize(std::min(targets_.size(),
                                 settings_.max_ping_targets -
                                     settings_.max_peer_entry_ping_targets));
      }
    }
  }
  if (entry || self_.has_announcement()) {
    const std::vector<std::string> ring = ObservationRing(GroupName(self_));
    const auto at = std::find(ring.begin(), ring.end(), self_.instance());
    const size_t start = at - ring.begin();
    const size_t max_targets =
        entry
            ? std::min(settings_.max_ping_targets,
                       targets_.size() + settings_.max_peer_entry_ping_targets)
            : settings_.max_ping_targets;
    for (size_t i = 1; i < ring.size() && targets_.size() < max_targets; ++i) {
      targets_.push_back(ring[(start + i) % ring.size()]);
    }
  }
  std::erase_if(targets_, [this](const std::string& it) {
    return members_.at(it).state() == control::MEMBER_STATE_LEFT;
  });
  targets_.resize(std::min(targets_.size(), settings_.max_ping_targets));
  std::erase_if(ping_states_, [this](const auto& it) {
    return std::find(targets_.begin(), targets_.end(), it.first) ==
           targets_.end();
  });
}

void Membership::RemoveMember(const std::string& instance) {
  const auto it = members_.find(instance);
  AddDigest(it->second, static_cast<uint64_t>(-1));
  groups_[GroupName(it->second)].members.erase(instance);
  members_.erase(it);
  suspicions_.erase(instance);
  ping_states_.erase(instance);
  targets_stale_ = true;
}

Membership::Actions Membership::Tick(TimePoint now) {
  Actions actions;
  for (auto it = inactive_since_.begin(); it != inactive_since_.end();) {
    if (now - it->second > settings_.inactive_member_ttl) {
      RemoveMember(it->first);
      it = inactive_since_.erase(it);
    } else {
      ++it;
    }
  }
  if (targets_stale_) {
    ChoosePingTargets();
  }
  if (now >= next_ping_at_) {
    // Scheduled from now: intervals that passed while this process was paused
    // do not count as missed pings.
    next_ping_at_ = now + settings_.ping_interval;
    for (const std::string& it : targets_) {
      PingState& ping_state = ping_states_[it];
      if (ping_state.awaiting_pong) {
        ++ping_state.missed_pings;
        if (ping_state.missed_pings >=
            settings_.missed_pings_to_confirm_death) {
          RecordOwnObservation(it, control::MEMBER_STATE_DEAD, now, &actions);
        } else if (ping_state.missed_pings >=
                   settings_.missed_pings_to_suspect) {
          RecordOwnObservation(it, control::MEMBER_STATE_SUSPECTED, now,
                               &actions);
        }
      }
      ping_state.awaiting_pong = true;
      actions.pings.push_back({it, ++ping_state.sequence});
    }
  }
  if (now >= next_expiry_check_at_) {
    next_expiry_check_at_ = now + settings_.suspicion_repeat_interval;
    std::set<std::string> groups;
    for (auto it = suspicions_.begin(); it != suspicions_.end();) {
      const size_t dropped =
          std::erase_if(it->second, [&](const auto& observed) {
            return now - observed.second.received > settings_.suspicion_ttl;
          });
      if (dropped > 0) {
        groups.insert(GroupName(members_.at(it->first)));
      }
      it = it->second.empty() ? suspicions_.erase(it) : std::next(it);
    }
    for (const std::string& it : groups) {
      UpdateGroupStates(it, now, &actions);
    }
  }
  return actions;
}

MemberState Membership::State(const std::string& instance) const {
  const Member* member = Find(instance);
  return member == nullptr ? control::MEMBER_STATE_UNSPECIFIED
                           : member->state();
}

const Member* Membership::Find(const std::string& instance) const {
  const auto it = members_.find(instance);
  return it == members_.end() ? nullptr : &it->second;
}

std::vector<Suspicion> Membership::Suspicions() const {
  std::vector<Suspicion> suspicions;
  for (const auto& [member, suspicions_by_observer] : suspicions_) {
    for (const auto& [observer, observed] : suspicions_by_observer) {
      suspicions.push_back(observed.suspicion);
    }
  }
  return suspicions;
}

uint64_t Membership::ServiceDigest(const std::string& service) const {
  const auto it = service_digest_.find(service);
  return it == service_digest_.end() ? 0 : it->second;
}

}  // namespace kumquatvalve::process
