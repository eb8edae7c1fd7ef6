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

// Heartbeats to a watcher after which a relay includes the statuses of its
// members: one status report to each watcher every 20 s.
constexpr uint64_t kHeartbeatsPerStatusReport = 10;

bool IsUsable(const Member& member) {
  return member.state() == control::MEMBER_STATE_ALIVE ||
         member.state() == control::MEMBER_STATE_SUSPECTED;
}

uint64_t DigestTerm(const ConfigObject& object) {
  return object.deleted() ? 0
                          : XXH64(object.path().data(), object.path().size(),
                                  object.version());
}

// "team/service" of a table, taken from the service path in its body; empty
// when the body cannot be parsed.
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

std::vector<std::string> RelaySession::UsableEntries(
    const std::string& zone) const {
  std::vector<std::string> entries;
  for (const auto& [name, member] : membership_.members()) {
    if (member.role() == control::ROLE_ENTRY && IsUsable(member) &&
        (zone.empty() || member.availability_zone() == zone)) {
      entries.push_back(name);
    }
  }
  return entries;
}

void RelaySession::UpdateRelayCounts() {
  relay_count_by_zone_.clear();
  for (const auto& [name, member] : membership_.members()) {
    if (IsUsable(member)) {
      ++relay_count_by_zone_[member.availability_zone()];
    }
  }
  for (auto& [zone, count] : relay_count_by_zone_) {
    count = RequiredRelayCount(count);
  }
}

bool RelaySession::watcher() const {
  const Member& self = membership_.self();
  if (self.role() != control::ROLE_ENTRY) {
    return false;
  }
  const std::vector<std::string> watchers = SelectWatchers(
      UsableEntries(self.availability_zone()), self.availability_zone());
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
  const std::vector<std::string> watchers = SelectWatchers(
      UsableEntries(self.availability_zone()), self.availability_zone());
  return !watchers.empty() && watchers.front() == self.instance();
}

bool RelaySession::FindControlEndpoint(const std::string& instance,
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

// An entry instance receives everything, a sidecar the members of its service
// and all entry instances: each of them may send it packets, and packets of
// unknown senders are dropped.
bool RelaySession::ShouldReceive(const Member* receiver,
                                 const Member& member) const {
  if (receiver == nullptr || receiver->role() == control::ROLE_ENTRY) {
    return true;
  }
  return member.role() == control::ROLE_ENTRY ||
         ServiceKey(member) == ServiceKey(*receiver);
}

bool RelaySession::ShouldReceive(const Member* receiver,
                                 const ConfigObject& object) const {
  if (receiver == nullptr || receiver->role() == control::ROLE_ENTRY) {
    return true;
  }
  const auto it = service_by_path_.find(object.path());
  return it != service_by_path_.end() && !it->second.empty() &&
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
  ConfigObject& current = objects_[object.path()];
  if (object.version() <= current.version()) {
    return false;
  }
  const std::string service = object.deleted() ? service_by_path_[object.path()]
                                               : ServiceOfTable(object);
  object_digest_ += DigestTerm(object) - DigestTerm(current);
  service_digest_[service_by_path_[object.path()]] -= DigestTerm(current);
  service_digest_[service] += DigestTerm(object);
  service_by_path_[object.path()] = service;
  current = object;
  actions->applied.push_back(object);
  return true;
}

// An object that is missing from a snapshot at `version` was deleted.
void RelaySession::DeleteMissingObjects(const std::vector<std::string>& present,
                                        uint64_t version,
                                        RelayActions* actions) {
  const std::set<std::string> kept(present.begin(), present.end());
  std::vector<ConfigObject> dropped;
  for (const auto& [path, object] : objects_) {
    if (!object.deleted() && object.version() < version &&
        !kept.contains(path)) {
      ConfigObject deleted_object;
      deleted_object.set_path(path);
      deleted_object.set_version(version);
      deleted_object.set_deleted(true);
      dropped.push_back(std::move(deleted_object));
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
    DeleteMissingObjects(present, revision, actions);
    complete_ = true;
  }
  applied_version_ = std::max(applied_version_, revision);
  UpdateContent content;
  for (size_t i = before; i < actions->applied.size(); ++i) {
    content.objects.push_back(&objects_[actions->applied[i].path()]);
  }
  SendUpdate(content, "", actions);
}

void RelaySession::SendUpdate(const UpdateContent& content,
                              const std::string& except,
                              RelayActions* actions) {
  if (content.objects.empty() && content.members.empty() &&
      content.suspicions.empty()) {
    return;
  }
  std::set<std::string> receivers;
  for (const auto& [name, served] : served_) {
    receivers.insert(name);
  }
  for (const std::string& it : peers_) {
    receivers.insert(it);
  }
  receivers.erase(except);
  for (const std::string& name : receivers) {
    const Member* receiver = membership_.Find(name);
    const auto served = served_.find(name);
    OutgoingMessage out;
    if (served != served_.end()) {
      out.to = served->second.endpoint;
    } else if (!FindControlEndpoint(name, &out.to)) {
      continue;
    }
    control::Update* update = out.envelope.mutable_update();
    // Objects only flow from watchers to members.
    if (served != served_.end()) {
      for (const ConfigObject* it : content.objects) {
        if (ShouldReceive(receiver, *it)) {
          *update->add_objects() = *it;
        }
      }
      if (update->objects_size() > 0 && complete_) {
        update->set_version(applied_version_);
        update->set_digest(ObjectDigestFor(receiver));
      }
    }
    for (const std::string& it : content.members) {
      const Member* member = membership_.Find(it);
      if (member != nullptr && it != name && ShouldReceive(receiver, *member)) {
        *update->add_members() = *member;
      }
    }
    for (const control::Suspicion& it : content.suspicions) {
      const Member* member = membership_.Find(it.instance());
      if (member != nullptr && it.instance() != name &&
          ShouldReceive(receiver, *member)) {
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
    if (ShouldReceive(receiver, object)) {
      *update->add_objects() = object;
    }
  }
  for (const auto& [name, member] : membership_.members()) {
    if (IsUsable(member) && ShouldReceive(receiver, member)) {
      *update->add_members() = member;
    }
  }
  for (control::Suspicion& it : membership_.Suspicions()) {
    const Member* member = membership_.Find(it.instance());
    if (member != nullptr && ShouldReceive(receiver, *member)) {
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
      if (FindControlEndpoint(envelope.sender(), &endpoint)) {
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
      UpdateContent content;
      content.members.push_back(from);
      SendUpdate(content, from, actions);
    }
    actions->membership.changed.insert(actions->membership.changed.end(),
                                       found.changed.begin(),
                                       found.changed.end());
  }
  const Member* member = membership_.Find(from);
  if (member == nullptr) {
    // A brief heartbeat of an unknown member: without its record there is no
    // endpoint to reply to. The member gets no acknowledgment and moves on to
    // its next relay, to which it first sends its whole record.
    return;
  }
  request::Endpoint endpoint;
  if (!FindControlEndpoint(from, &endpoint)) {
    return;
  }
  if (member->state() == control::MEMBER_STATE_LEFT) {
    served_.erase(from);
    return;
  }
  const bool already_served = served_.contains(from);
  const bool room = already_served || member->role() == control::ROLE_ENTRY ||
                    served_.size() < kMaxMembersPerRelay;
  ServedMember unserved;
  ServedMember& served = room ? served_[from] : unserved;
  served.endpoint = endpoint;
  served.last_heartbeat_at = now;
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
  served.consecutive_mismatches = match ? 0 : served.consecutive_mismatches + 1;
  // A single mismatch is normal while updates are in transit; a snapshot is
  // sent for the second one in a row.
  const bool repair =
      !match && (!served.had_snapshot || served.consecutive_mismatches >= 2);
  if (repair && (!served.had_snapshot || now - served.last_snapshot_at >
                                             settings_.min_snapshot_interval)) {
    served.had_snapshot = true;
    served.last_snapshot_at = now;
    served.consecutive_mismatches = 0;
    SendSnapshot(from, endpoint, actions);
  }
  served.had_snapshot = served.had_snapshot || match;
  // A member that is considered dead gets no acknowledgment and thus no lease.
  if (room && member->state() != control::MEMBER_STATE_DEAD) {
    OutgoingMessage out;
    out.to = endpoint;
    control::HeartbeatAck* ack = out.envelope.mutable_heartbeat_ack();
    ack->set_sent_at_us(heartbeat.sent_at_us());
    ack->set_incarnation(envelope.sender_incarnation());
    ack->set_applied_version(objects_match && complete_ ? applied_version_ : 0);
    const auto relays = relay_count_by_zone_.find(member->availability_zone());
    ack->set_relays(relays == relay_count_by_zone_.end()
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
    session->second.last_ack_at = now;
    session->second.answered = true;
    session->second.send_full_record = false;
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
  UpdateContent content;
  std::vector<std::string> present;
  const size_t before = actions->applied.size();
  for (const ConfigObject& it : update.objects()) {
    present.push_back(it.path());
    Apply(it, actions);
  }
  if (update.snapshot()) {
    DeleteMissingObjects(present, update.version(), actions);
  }
  for (size_t i = before; i < actions->applied.size(); ++i) {
    content.objects.push_back(&objects_[actions->applied[i].path()]);
  }
  if (update.version() > applied_version_ && !watcher() &&
      update.digest() == ObjectDigestFor(&membership_.self())) {
    applied_version_ = update.version();
    complete_ = true;
  }
  Membership::Actions found;
  std::map<std::string, std::pair<uint64_t, uint64_t>> received_versions;
  for (const Member& it : update.members()) {
    received_versions[it.instance()] = {it.incarnation(), it.sequence()};
    if (membership_.OnRecord(it, now, &found)) {
      content.members.push_back(it.instance());
    }
  }
  for (const control::Suspicion& it : update.suspicions()) {
    if (membership_.OnSuspicion(it, now, &found)) {
      content.suspicions.push_back(it);
    }
  }
  SendUpdate(content, envelope.sender(), actions);
  ForwardSuspicions(found, now, actions);
  auto& all = actions->membership;
  all.changed.insert(all.changed.end(), found.changed.begin(),
                     found.changed.end());
  all.newly_suspended_groups.insert(all.newly_suspended_groups.end(),
                                    found.newly_suspended_groups.begin(),
                                    found.newly_suspended_groups.end());
  if (!update.snapshot()) {
    return;
  }
  // Sends back the records that the sender of the snapshot lacks.
  const Member* sender = membership_.Find(envelope.sender());
  OutgoingMessage out;
  if (sender == nullptr || !FindControlEndpoint(envelope.sender(), &out.to)) {
    return;
  }
  control::Update* reply = out.envelope.mutable_update();
  for (const auto& [name, member] : membership_.members()) {
    const auto it = received_versions.find(name);
    const bool newer =
        it == received_versions.end() ||
        it->second < std::make_pair(member.incarnation(), member.sequence());
    if (IsUsable(member) && newer &&
        ShouldReceive(&membership_.self(), member)) {
      *reply->add_members() = member;
    }
  }
  if (reply->members_size() > 0) {
    actions->messages.push_back(std::move(out));
  }
}

void RelaySession::ForwardSuspicions(const Membership::Actions& found,
                                     TimePoint, RelayActions* actions) {
  UpdateContent content;
  content.suspicions = found.suspicions;
  SendUpdate(content, "", actions);
}

std::vector<std::string> RelaySession::PeerCandidates() const {
  const Member& self = membership_.self();
  std::vector<std::string> local = UsableEntries(self.availability_zone());
  if (local.empty()) {
    return RankByRendezvousHash(UsableEntries(""), self.instance());
  }
  if (!watcher()) {
    const std::vector<std::string> relays =
        SelectRelays(local, self.availability_zone(), relay_count_);
    const bool is_relay = std::find(relays.begin(), relays.end(),
                                    self.instance()) != relays.end();
    return is_relay ? SelectWatchers(local, self.availability_zone())
                    : RelayPreferenceOrder(local, self.availability_zone(),
                                           relay_count_, self.instance());
  }
  std::map<std::string, std::vector<std::string>> zones;
  for (const std::string& it : UsableEntries("")) {
    zones[membership_.Find(it)->availability_zone()].push_back(it);
  }
  std::vector<std::string> watchers;
  for (const auto& [zone, entries] : zones) {
    for (std::string& it : SelectWatchers(entries, zone)) {
      if (it != self.instance()) {
        watchers.push_back(std::move(it));
      }
    }
  }
  return watchers;
}

void RelaySession::ChoosePeers(TimePoint now) {
  std::erase_if(retry_after_,
                [now](const auto& it) { return it.second <= now; });
  for (const auto& [name, session] : sessions_) {
    const TimePoint last = std::max(session.started_at, session.last_ack_at);
    if (now - last > settings_.relay_timeout) {
      retry_after_[name] = now + settings_.relay_retry_delay;
    }
  }
  const bool all = watcher();
  std::vector<std::string> chosen;
  std::vector<std::string> avoided;
  for (std::string& it : PeerCandidates()) {
    if (!all && chosen.size() >= kSessionsPerMember) {
      break;
    }
    (retry_after_.contains(it) ? avoided : chosen).push_back(std::move(it));
  }
  // When all candidates were unresponsive recently, they are tried again.
  if (chosen.empty()) {
    chosen = std::move(avoided);
    chosen.resize(std::min(chosen.size(), kSessionsPerMember));
  }
  peers_ = std::move(chosen);
  std::erase_if(sessions_, [this](const auto& it) {
    return std::find(peers_.begin(), peers_.end(), it.first) == peers_.end();
  });
  for (const std::string& it : peers_) {
    if (!sessions_.contains(it)) {
      sessions_[it].started_at = now;
    }
  }
}

void RelaySession::SendHeartbeat(const request::Endpoint& to,
                                 bool send_full_record, TimePoint now,
                                 RelayActions* actions) {
  OutgoingMessage out;
  out.to = to;
  control::Heartbeat* heartbeat = out.envelope.mutable_heartbeat();
  if (send_full_record) {
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
  for (const std::string& it : peers_) {
    request::Endpoint endpoint;
    if (FindControlEndpoint(it, &endpoint)) {
      SendHeartbeat(endpoint, true, now, actions);
    }
  }
  UpdateContent content;
  content.members.push_back(membership_.self().instance());
  SendUpdate(content, "", actions);
}

void RelaySession::Tick(TimePoint now, RelayActions* actions) {
  std::erase_if(served_, [&](const auto& it) {
    return now - it.second.last_heartbeat_at > settings_.member_timeout;
  });
  const bool answered =
      std::any_of(sessions_.begin(), sessions_.end(),
                  [](const auto& it) { return it.second.answered; });
  if (!seeds_.empty() && now >= next_join_at_ &&
      (!answered || now >= next_seed_at_)) {
    next_join_at_ = now + settings_.join_retry_interval;
    next_seed_at_ = now + settings_.seed_interval;
    const request::Endpoint& seed = seeds_[next_seed_index_++ % seeds_.size()];
    if (WriteEndpoint(seed).SerializeAsString() !=
        membership_.self().control().SerializeAsString()) {
      SendHeartbeat(seed, true, now, actions);
    }
  }
  if (now < next_heartbeat_at_) {
    return;
  }
  next_heartbeat_at_ = now + settings_.heartbeat_interval / 2;
  UpdateRelayCounts();
  ChoosePeers(now);
  ++heartbeat_round_;
  const bool report = membership_.self().role() == control::ROLE_ENTRY &&
                      (heartbeat_round_ / 2) % kHeartbeatsPerStatusReport == 0;
  const bool any_unresponsive =
      std::any_of(sessions_.begin(), sessions_.end(), [&](const auto& it) {
        return now - it.second.last_ack_at > settings_.heartbeat_interval;
      });
  for (size_t i = 0; i < peers_.size(); ++i) {
    // While one of two relays is unresponsive, the other one alone renews the
    // lease.
    const bool due = i % 2 == heartbeat_round_ % 2 || peers_.size() == 1 ||
                     (any_unresponsive && peers_.size() <= kSessionsPerMember);
    request::Endpoint endpoint;
    if (!due || !FindControlEndpoint(peers_[i], &endpoint)) {
      continue;
    }
    SendHeartbeat(endpoint, sessions_[peers_[i]].send_full_record, now,
                  actions);
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
