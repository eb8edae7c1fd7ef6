#include "kumquatvalve/process/relay_session.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

#include "kumquatvalve/process/peer_codec.h"
#include "kumquatvalve/process/relay_selection.h"

namespace kumquatvalve::process {
namespace {

using control::ConfigObject;
using control::Envelope;
using control::Member;
using std::chrono::duration_cast;
using std::chrono::microseconds;

// A relay reports on its members every 20 s, to each of its watchers.
constexpr uint64_t kBeatPairsPerReport = 10;

bool Usable(const Member& member) {
  return member.state() == control::MEMBER_STATE_ALIVE ||
         member.state() == control::MEMBER_STATE_SUSPECTED;
}

uint64_t Term(const ConfigObject& object) {
  return object.deleted() ? 0
                          : XXH64(object.path().data(), object.path().size(),
                                  object.version());
}

// "team/service" of a table; its object names the path of the service.
std::string ServiceOfTable(const ConfigObject& object) {
  control::TableObject table;
  if (!table.ParseFromString(object.body())) {
    return "";
  }
  // "/teams/TEAM/services/NAME"
  const std::string& path = table.path();
  const size_t team = path.find('/', 1);
  const size_t team_end = path.find('/', team + 1);
  const size_t name = path.rfind('/');
  if (team == path.npos || team_end == path.npos || name <= team_end) {
    return "";
  }
  return path.substr(team + 1, team_end - team - 1) + path.substr(name);
}

}  // namespace

RelaySession::RelaySession(Membership* membership, MemberLease* lease,
                           std::vector<request::Endpoint> seeds,
                           const RelaySettings& settings)
    : membership_(*membership),
      lease_(*lease),
      seeds_(std::move(seeds)),
      settings_(settings) {}

std::vector<std::string> RelaySession::EntriesOf(
    const std::string& zone) const {
  std::vector<std::string> entries;
  for (const auto& [name, member] : membership_.members()) {
    if (member.role() == control::ROLE_ENTRY && Usable(member) &&
        (zone.empty() || member.availability_zone() == zone)) {
      entries.push_back(name);
    }
  }
  return entries;
}

void RelaySession::CountMembers() {
  relays_of_zone_.clear();
  for (const auto& [name, member] : membership_.members()) {
    if (Usable(member)) {
      ++relays_of_zone_[member.availability_zone()];
    }
  }
  for (auto& [zone, count] : relays_of_zone_) {
    count = RelayCount(count);
  }
}

bool RelaySession::watcher() const {
  const Member& self = membership_.self();
  if (self.role() != control::ROLE_ENTRY) {
    return false;
  }
  const std::vector<std::string> watchers =
      Watchers(EntriesOf(self.availability_zone()), self.availability_zone());
  return std::find(watchers.begin(), watchers.end(), self.instance()) !=
         watchers.end();
}

size_t RelaySession::served_entries() const {
  return std::count_if(served_.begin(), served_.end(), [this](const auto& it) {
    const Member* member = membership_.Find(it.first);
    return member != nullptr && member->role() == control::ROLE_ENTRY;
  });
}

bool RelaySession::joined() const {
  return seeds_.empty() ||
         std::any_of(sessions_.begin(), sessions_.end(),
                     [](const auto& it) { return it.second.answered; });
}

bool RelaySession::first_watcher() const {
  const Member& self = membership_.self();
  const std::vector<std::string> watchers =
      Watchers(EntriesOf(self.availability_zone()), self.availability_zone());
  return !watchers.empty() && watchers.front() == self.instance();
}

bool RelaySession::EndpointOf(const std::string& instance,
                              request::Endpoint* endpoint) const {
  const Member* member = membership_.Find(instance);
  if (member == nullptr) {
    return false;
  }
  const auto read = ReadEndpoint(member->control());
  if (read) {
    *endpoint = *read;
  }
  return read.has_value();
}

// An entry instance gets everything, a sidecar the members of its service and
// all entry instances: each of them may send it packets, and packets of unknown
// senders are dropped.
bool RelaySession::Wants(const Member* receiver, const Member& member) const {
  if (receiver == nullptr || receiver->role() == control::ROLE_ENTRY) {
    return true;
  }
  return member.role() == control::ROLE_ENTRY ||
         ServiceKey(member) == ServiceKey(*receiver);
}

bool RelaySession::Wants(const Member* receiver,
                         const ConfigObject& object) const {
  if (receiver == nullptr || receiver->role() == control::ROLE_ENTRY) {
    return true;
  }
  const auto it = service_of_.find(object.path());
  return it != service_of_.end() && !it->second.empty() &&
         it->second == ServiceKey(*receiver);
}

uint64_t RelaySession::ObjectDigestFor(const Member* receiver) const {
  if (receiver == nullptr || receiver->role() == control::ROLE_ENTRY) {
    return object_digest_;
  }
  const auto it = service_digest_.find(ServiceKey(*receiver));
  return it == service_digest_.end() ? 0 : it->second;
}

uint64_t RelaySession::MemberDigestFor(const Member* receiver) const {
  if (receiver == nullptr || receiver->role() == control::ROLE_ENTRY) {
    return membership_.digest();
  }
  return membership_.entry_digest() +
         membership_.ServiceDigest(ServiceKey(*receiver));
}

bool RelaySession::Apply(const ConfigObject& object, RelayActions* actions) {
  ConfigObject& known = objects_[object.path()];
  if (object.version() <= known.version()) {
    return false;
  }
  const std::string service =
      object.deleted() ? service_of_[object.path()] : ServiceOfTable(object);
  object_digest_ += Term(object) - Term(known);
  service_digest_[service_of_[object.path()]] -= Term(known);
  service_digest_[service] += Term(object);
  service_of_[object.path()] = service;
  known = object;
  actions->applied.push_back(object);
  return true;
}

// A snapshot at `version` without an object tells that it was deleted.
void RelaySession::DropMissing(const std::vector<std::string>& present,
                               uint64_t version, RelayActions* actions) {
  const std::set<std::string> kept(present.begin(), present.end());
  std::vector<ConfigObject> dropped;
  for (const auto& [path, object] : objects_) {
    if (!object.deleted() && object.version() < version &&
        !kept.contains(path)) {
      ConfigObject gone;
      gone.set_path(path);
      gone.set_version(version);
      gone.set_deleted(true);
      dropped.push_back(std::move(gone));
    }
  }
  for (const ConfigObject& it : dropped) {
    Apply(it, actions);
  }
}

void RelaySession::OnStoreObjects(const std::vector<ConfigObject>& objects,
                                  uint64_t revision, bool snapshot, TimePoint,
                                  RelayActions* actions) {
  const size_t before = actions->applied.size();
  std::vector<std::string> present;
  for (const ConfigObject& it : objects) {
    present.push_back(it.path());
    Apply(it, actions);
  }
  if (snapshot) {
    DropMissing(present, revision, actions);
    complete_ = true;
  }
  applied_version_ = std::max(applied_version_, revision);
  News news;
  for (size_t i = before; i < actions->applied.size(); ++i) {
    news.objects.push_back(&objects_[actions->applied[i].path()]);
  }
  SendNews(news, "", actions);
}

void RelaySession::SendNews(const News& news, const std::string& except,
                            RelayActions* actions) {
  if (news.objects.empty() && news.members.empty() && news.suspicions.empty()) {
    return;
  }
  std::set<std::string> receivers;
  for (const auto& [name, served] : served_) {
    receivers.insert(name);
  }
  for (const std::string& it : upstreams_) {
    receivers.insert(it);
  }
  receivers.erase(except);
  for (const std::string& name : receivers) {
    const Member* receiver = membership_.Find(name);
    const auto served = served_.find(name);
    OutgoingMessage out;
    if (served != served_.end()) {
      out.to = served->second.endpoint;
    } else if (!EndpointOf(name, &out.to)) {
      continue;
    }
    control::Update* update = out.envelope.mutable_update();
    // Objects only flow from watchers to members.
    if (served != served_.end()) {
      for (const ConfigObject* it : news.objects) {
        if (Wants(receiver, *it)) {
          *update->add_objects() = *it;
        }
      }
      if (update->objects_size() > 0 && complete_) {
        update->set_version(applied_version_);
        update->set_digest(ObjectDigestFor(receiver));
      }
    }
    for (const std::string& it : news.members) {
      const Member* member = membership_.Find(it);
      if (member != nullptr && it != name && Wants(receiver, *member)) {
        *update->add_members() = *member;
      }
    }
    for (const control::Suspicion& it : news.suspicions) {
      const Member* member = membership_.Find(it.instance());
      if (member != nullptr && it.instance() != name &&
          Wants(receiver, *member)) {
        *update->add_suspicions() = it;
      }
    }
    if (update->objects_size() + update->members_size() +
            update->suspicions_size() >
        0) {
      actions->messages.push_back(std::move(out));
    }
  }
}

void RelaySession::SendSnapshot(const std::string& to,
                                const request::Endpoint& endpoint,
                                RelayActions* actions) {
  const Member* receiver = membership_.Find(to);
  OutgoingMessage out;
  out.to = endpoint;
  control::Update* update = out.envelope.mutable_update();
  update->set_snapshot(complete_);
  update->set_version(applied_version_);
  update->set_digest(ObjectDigestFor(receiver));
  for (const auto& [path, object] : objects_) {
    if (Wants(receiver, object)) {
      *update->add_objects() = object;
    }
  }
  for (const auto& [name, member] : membership_.members()) {
    if (Usable(member) && Wants(receiver, member)) {
      *update->add_members() = member;
    }
  }
  for (control::Suspicion& it : membership_.Suspicions()) {
    const Member* member = membership_.Find(it.instance());
    if (member != nullptr && Wants(receiver, *member)) {
      *update->add_suspicions() = std::move(it);
    }
  }
  actions->messages.push_back(std::move(out));
}

void RelaySession::OnEnvelope(const Envelope& envelope, TimePoint now,
                              RelayActions* actions) {
  switch (envelope.body_case()) {
    case Envelope::kHeartbeat:
      OnHeartbeat(envelope, now, actions);
      break;
    case Envelope::kHeartbeatAck:
      OnAck(envelope, now, actions);
      break;
    case Envelope::kUpdate:
      OnUpdate(envelope, now, actions);
      break;
    case Envelope::kSnapshotRequest: {
      request::Endpoint endpoint;
      if (EndpointOf(envelope.sender(), &endpoint)) {
        SendSnapshot(envelope.sender(), endpoint, actions);
      }
      break;
    }
    default:
      break;
  }
}

void RelaySession::OnHeartbeat(const Envelope& envelope, TimePoint now,
                               RelayActions* actions) {
  const control::Heartbeat& heartbeat = envelope.heartbeat();
  const std::string& from = envelope.sender();
  if (from == membership_.self().instance() ||
      membership_.self().role() != control::ROLE_ENTRY) {
    return;
  }
  if (!heartbeat.brief()) {
    Membership::Actions found;
    if (heartbeat.self().instance() == from &&
        membership_.OnRecord(heartbeat.self(), now, &found)) {
      News news;
      news.members.push_back(from);
      SendNews(news, from, actions);
    }
    actions->membership.changed.insert(actions->membership.changed.end(),
                                       found.changed.begin(),
                                       found.changed.end());
  }
  const Member* member = membership_.Find(from);
  if (member == nullptr) {
    // A brief heartbeat of a member that is not known here: without its record
    // there is no endpoint to answer to. It moves on to its next relay, which
    // begins with the whole record.
    return;
  }
  request::Endpoint endpoint;
  if (!EndpointOf(from, &endpoint)) {
    return;
  }
  if (member->state() == control::MEMBER_STATE_LEFT) {
    served_.erase(from);
    return;
  }
  const bool known = served_.contains(from);
  const bool room = known || member->role() == control::ROLE_ENTRY ||
                    served_.size() < kMostMembersPerRelay;
  Served joining;
  Served& served = room ? served_[from] : joining;
  served.endpoint = endpoint;
  served.last_heartbeat = now;
  control::MemberStatus& status = statuses_[from];
  status.set_instance(from);
  status.set_incarnation(envelope.sender_incarnation());
  status.set_applied_version(heartbeat.applied_version());
  status.set_open_flows(heartbeat.open_flows());
  for (const control::MemberStatus& it : heartbeat.statuses()) {
    statuses_[it.instance()] = it;
  }
  const bool objects_match =
      heartbeat.applied_digest() == ObjectDigestFor(member);
  const bool match =
      objects_match && heartbeat.member_digest() == MemberDigestFor(member);
  served.mismatches = match ? 0 : served.mismatches + 1;
  // Deltas that are on their way make a single difference ordinary.
  const bool repair =
      !match && (!served.had_snapshot || served.mismatches >= 2);
  if (repair && (!served.had_snapshot ||
                 now - served.last_snapshot > settings_.snapshot_interval)) {
    served.had_snapshot = true;
    served.last_snapshot = now;
    served.mismatches = 0;
    SendSnapshot(from, endpoint, actions);
  }
  served.had_snapshot = served.had_snapshot || match;
  // A member that the others hold for dead gets no lease.
  if (room && member->state() != control::MEMBER_STATE_DEAD) {
    OutgoingMessage out;
    out.to = endpoint;
    control::HeartbeatAck* ack = out.envelope.mutable_heartbeat_ack();
    ack->set_sent_at_us(heartbeat.sent_at_us());
    ack->set_incarnation(envelope.sender_incarnation());
    ack->set_applied_version(objects_match && complete_ ? applied_version_ : 0);
    const auto relays = relays_of_zone_.find(member->availability_zone());
    ack->set_relays(relays == relays_of_zone_.end()
                        ? 0
                        : static_cast<uint32_t>(relays->second));
    actions->messages.push_back(std::move(out));
  }
}

void RelaySession::OnAck(const Envelope& envelope, TimePoint now,
                         RelayActions*) {
  const control::HeartbeatAck& ack = envelope.heartbeat_ack();
  if (ack.incarnation() != membership_.self().incarnation()) {
    return;
  }
  const TimePoint sent_at{
      duration_cast<TimePoint::duration>(microseconds(ack.sent_at_us()))};
  if (sent_at > now) {
    return;
  }
  lease_.OnAcknowledged(sent_at);
  const auto session = sessions_.find(envelope.sender());
  if (session != sessions_.end()) {
    session->second.last_answer = now;
    session->second.answered = true;
    session->second.full = false;
  }
  if (ack.relays() > 0) {
    relay_count_ = ack.relays();
  }
  if (ack.applied_version() > applied_version_ && !watcher()) {
    applied_version_ = ack.applied_version();
    complete_ = true;
  }
}

void RelaySession::OnUpdate(const Envelope& envelope, TimePoint now,
                            RelayActions* actions) {
  const control::Update& update = envelope.update();
  News news;
  std::vector<std::string> present;
  const size_t before = actions->applied.size();
  for (const ConfigObject& it : update.objects()) {
    present.push_back(it.path());
    Apply(it, actions);
  }
  if (update.snapshot()) {
    DropMissing(present, update.version(), actions);
  }
  for (size_t i = before; i < actions->applied.size(); ++i) {
    news.objects.push_back(&objects_[actions->applied[i].path()]);
  }
  if (update.version() > applied_version_ && !watcher() &&
      update.digest() == ObjectDigestFor(&membership_.self())) {
    applied_version_ = update.version();
    complete_ = true;
  }
  Membership::Actions found;
  std::map<std::string, std::pair<uint64_t, uint64_t>> listed;
  for (const Member& it : update.members()) {
    listed[it.instance()] = {it.incarnation(), it.sequence()};
    if (membership_.OnRecord(it, now, &found)) {
      news.members.push_back(it.instance());
    }
  }
  for (const control::Suspicion& it : update.suspicions()) {
    if (membership_.OnSuspicion(it, now, &found)) {
      news.suspicions.push_back(it);
    }
  }
  SendNews(news, envelope.sender(), actions);
  Spread(found, now, actions);
  auto& all = actions->membership;
  all.changed.insert(all.changed.end(), found.changed.begin(),
                     found.changed.end());
  all.held.insert(all.held.end(), found.held.begin(), found.held.end());
  if (!update.snapshot()) {
    return;
  }
  // What the sender of the snapshot does not know yet.
  const Member* sender = membership_.Find(envelope.sender());
  OutgoingMessage out;
  if (sender == nullptr || !EndpointOf(envelope.sender(), &out.to)) {
    return;
  }
  control::Update* back = out.envelope.mutable_update();
  for (const auto& [name, member] : membership_.members()) {
    const auto it = listed.find(name);
    const bool newer =
        it == listed.end() ||
        it->second < std::make_pair(member.incarnation(), member.sequence());
    if (Usable(member) && newer && Wants(&membership_.self(), member)) {
      *back->add_members() = member;
    }
  }
  if (back->members_size() > 0) {
    actions->messages.push_back(std::move(out));
  }
}

void RelaySession::Spread(const Membership::Actions& found, TimePoint,
                          RelayActions* actions) {
  News news;
  news.suspicions = found.suspicions;
  SendNews(news, "", actions);
}

std::vector<std::string> RelaySession::Candidates() const {
  const Member& self = membership_.self();
  std::vector<std::string> local = EntriesOf(self.availability_zone());
  if (local.empty()) {
    return Rank(EntriesOf(""), self.instance());
  }
  if (!watcher()) {
    const std::vector<std::string> relays =
        Relays(local, self.availability_zone(), relay_count_);
    const bool is_relay = std::find(relays.begin(), relays.end(),
                                    self.instance()) != relays.end();
    return is_relay ? Watchers(local, self.availability_zone())
                    : RelayOrder(local, self.availability_zone(), relay_count_,
                                 self.instance());
  }
  std::map<std::string, std::vector<std::string>> zones;
  for (const std::string& it : EntriesOf("")) {
    zones[membership_.Find(it)->availability_zone()].push_back(it);
  }
  std::vector<std::string> watchers;
  for (const auto& [zone, entries] : zones) {
    for (std::string& it : Watchers(entries, zone)) {
      if (it != self.instance()) {
        watchers.push_back(std::move(it));
      }
    }
  }
  return watchers;
}

void RelaySession::ChooseUpstreams(TimePoint now) {
  std::erase_if(avoid_, [now](const auto& it) { return it.second <= now; });
  for (const auto& [name, session] : sessions_) {
    const TimePoint last = std::max(session.since, session.last_answer);
    if (now - last > settings_.silent_time) {
      avoid_[name] = now + settings_.avoid_time;
    }
  }
  const bool all = watcher();
  std::vector<std::string> chosen;
  std::vector<std::string> avoided;
  for (std::string& it : Candidates()) {
    if (!all && chosen.size() >= kSessionsPerMember) {
      break;
    }
    (avoid_.contains(it) ? avoided : chosen).push_back(std::move(it));
  }
  // With nobody else left, silent ones are tried again.
  if (chosen.empty()) {
    chosen = std::move(avoided);
    chosen.resize(std::min(chosen.size(), kSessionsPerMember));
  }
  upstreams_ = std::move(chosen);
  std::erase_if(sessions_, [this](const auto& it) {
    return std::find(upstreams_.begin(), upstreams_.end(), it.first) ==
           upstreams_.end();
  });
  for (const std::string& it : upstreams_) {
    if (!sessions_.contains(it)) {
      sessions_[it].since = now;
    }
  }
}

void RelaySession::SendHeartbeat(const request::Endpoint& to, bool full,
                                 TimePoint now, RelayActions* actions) {
  OutgoingMessage out;
  out.to = to;
  control::Heartbeat* heartbeat = out.envelope.mutable_heartbeat();
  if (full) {
    *heartbeat->mutable_self() = membership_.self();
  } else {
    heartbeat->set_brief(true);
  }
  const Member& self = membership_.self();
  heartbeat->set_applied_version(applied_version_);
  heartbeat->set_applied_digest(ObjectDigestFor(&self));
  heartbeat->set_member_digest(MemberDigestFor(&self));
  heartbeat->set_open_flows(open_flows_);
  heartbeat->set_sent_at_us(
      duration_cast<microseconds>(now.time_since_epoch()).count());
  actions->messages.push_back(std::move(out));
}

void RelaySession::AnnounceSelf(TimePoint now, RelayActions* actions) {
  for (const std::string& it : upstreams_) {
    request::Endpoint endpoint;
    if (EndpointOf(it, &endpoint)) {
      SendHeartbeat(endpoint, true, now, actions);
    }
  }
  News news;
  news.members.push_back(membership_.self().instance());
  SendNews(news, "", actions);
}

void RelaySession::Tick(TimePoint now, RelayActions* actions) {
  std::erase_if(served_, [&](const auto& it) {
    return now - it.second.last_heartbeat > settings_.member_time;
  });
  const bool answered =
      std::any_of(sessions_.begin(), sessions_.end(),
                  [](const auto& it) { return it.second.answered; });
  if (!seeds_.empty() && now >= next_join_ &&
      (!answered || now >= next_seed_)) {
    next_join_ = now + settings_.join_interval;
    next_seed_ = now + settings_.seed_interval;
    const request::Endpoint& seed = seeds_[next_seed_index_++ % seeds_.size()];
    if (WriteEndpoint(seed).SerializeAsString() !=
        membership_.self().control().SerializeAsString()) {
      SendHeartbeat(seed, true, now, actions);
    }
  }
  if (now < next_heartbeat_) {
    return;
  }
  next_heartbeat_ = now + settings_.heartbeat_interval / 2;
  CountMembers();
  ChooseUpstreams(now);
  ++beat_;
  const bool report = membership_.self().role() == control::ROLE_ENTRY &&
                      (beat_ / 2) % kBeatPairsPerReport == 0;
  const bool any_silent =
      std::any_of(sessions_.begin(), sessions_.end(), [&](const auto& it) {
        return now - it.second.last_answer > settings_.heartbeat_interval;
      });
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    // While one of two relays is silent, the other one renews the lease alone.
    const bool due = i % 2 == beat_ % 2 || upstreams_.size() == 1 ||
                     (any_silent && upstreams_.size() <= kSessionsPerMember);
    request::Endpoint endpoint;
    if (!due || !EndpointOf(upstreams_[i], &endpoint)) {
      continue;
    }
    SendHeartbeat(endpoint, sessions_[upstreams_[i]].full, now, actions);
    if (report) {
      control::Heartbeat* heartbeat =
          actions->messages.back().envelope.mutable_heartbeat();
      for (const auto& [name, served] : served_) {
        const control::MemberStatus& status = statuses_[name];
        *heartbeat->add_statuses() = status;
      }
    }
  }
  std::erase_if(statuses_, [this](const auto& it) {
    return membership_.Find(it.first) == nullptr;
  });
}

}  // namespace kumquatvalve::process
