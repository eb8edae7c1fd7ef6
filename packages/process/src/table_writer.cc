#include "kumquatvalve/process/table_writer.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "kumquatvalve/process/peer_codec.h"
#include "kumquatvalve/process/relay_selection.h"
#include "kumquatvalve/version/admission.h"
#include "kumquatvalve/version/table_builder.h"

namespace kumquatvalve::process {
namespace {

using control::ConfigObject;
using request::ResultCode;
using request::TableVersion;
using std::chrono::milliseconds;

constexpr std::string_view kTables = "/tables/";
constexpr std::string_view kLeases = "/leases/";

std::string LeasePath(uint32_t group) {
  return std::string(kLeases) + std::to_string(group);
}

std::optional<version::AnnouncedUpstream> ToAnnounced(
    const control::Member& member) {
  const auto data = ReadEndpoint(member.data());
  const auto control = ReadEndpoint(member.control());
  if (!member.has_announcement() || !data || !control) {
    return std::nullopt;
  }
  const control::Announcement& announcement = member.announcement();
  version::AnnouncedUpstream upstream;
  upstream.name = request::InstanceName(member.instance());
  upstream.service = {request::TeamName(announcement.team()),
                      request::ServiceName(announcement.service())};
  upstream.labels.insert(announcement.labels().begin(),
                         announcement.labels().end());
  upstream.entry.instance = request::InstanceIdOf(upstream.name);
  upstream.entry.incarnation = {member.incarnation()};
  upstream.entry.data = *data;
  upstream.entry.control = *control;
  upstream.entry.zone = request::AvailabilityZone(member.availability_zone());
  upstream.entry.weight = announcement.weight();
  upstream.entry.slots = announcement.slots();
  upstream.entry.draining = announcement.draining();
  return upstream;
}

}  // namespace

TableWriter::TableWriter(const Membership* membership,
                         const TableWriterSettings& settings, uint64_t seed)
    : membership_(*membership), settings_(settings), random_(seed) {}

uint32_t TableWriter::LeaseGroupOfService(request::ServiceId service) const {
  return static_cast<uint32_t>(XXH64(&service.value, sizeof(service.value), 0) %
                               settings_.groups);
}

milliseconds TableWriter::Jitter(milliseconds min_delay,
                                 milliseconds max_delay) {
  return milliseconds(std::uniform_int_distribution<int64_t>(
      min_delay.count(), max_delay.count())(random_));
}

void TableWriter::OnSynchronized(TimePoint now) {
  if (!synchronized_at_) {
    synchronized_at_ = now;
  }
}

void TableWriter::OnObject(const ConfigObject& object, TimePoint now) {
  const std::string& path = object.path();
  const TableVersion version{object.version()};
  if (path.starts_with(kLeases)) {
    uint32_t group = 0;
    const std::string number = path.substr(kLeases.size());
    const auto [end, ec] =
        std::from_chars(number.data(), number.data() + number.size(), group);
    Lease& lease = leases_[group];
    if (ec != std::errc() || version <= lease.version) {
      return;
    }
    const auto body = nlohmann::json::parse(object.body(), nullptr, false);
    lease.version = object.deleted() ? TableVersion{} : version;
    lease.last_seen_at = now;
    lease.holder = body.is_object() ? body.value("holder", "") : "";
    lease.incarnation =
        body.is_object() ? body.value("incarnation", uint64_t{0}) : 0;
    lease.fencing = body.is_object() ? body.value("fencing", uint64_t{0}) : 0;
    return;
  }
  if (path.starts_with(kTables)) {
    Table& table = tables_[path];
    if (version > table.version) {
      request::Failure ignored;
      table = {version, object.deleted(),
               object.deleted() ? std::nullopt
                                : ReadTable(object.body(), version, &ignored)};
    }
    return;
  }
  if (path.starts_with(version::kTeamsPrefix)) {
    Service& service = services_[path];
    if (version > service.version) {
      addresses_stale_ = true;
      request::Failure ignored;
      std::optional<version::StoredService> stored;
      if (!object.deleted()) {
        stored = version::ReadStoredService(path, object.body(), &ignored);
        // A body that cannot be parsed leaves the previous valid version in
        // force.
        if (!stored) {
          return;
        }
      }
      service = {version, object.deleted(),
                 stored ? std::move(stored) : service.stored};
    }
  }
}

bool TableWriter::HoldsLease(uint32_t group, TimePoint now) const {
  const auto it = leases_.find(group);
  return it != leases_.end() &&
         it->second.holder == membership_.self().instance() &&
         it->second.incarnation == membership_.self().incarnation() &&
         now < it->second.valid_until;
}

TableWriter::TimePoint TableWriter::LeaseExpiresAt(
    const StoreWrite& write) const {
  if (!write.path.starts_with(kTables)) {
    return TimePoint::max();
  }
  request::ServiceId service;
  const std::string number = write.path.substr(kTables.size());
  std::from_chars(number.data(), number.data() + number.size(), service.value);
  const auto it = leases_.find(LeaseGroupOfService(service));
  const bool own = it != leases_.end() &&
                   it->second.holder == membership_.self().instance() &&
                   it->second.incarnation == membership_.self().incarnation();
  return own ? it->second.valid_until : TimePoint::min();
}

size_t TableWriter::groups_held(TimePoint now) const {
  return std::count_if(leases_.begin(), leases_.end(), [&](const auto& it) {
    return HoldsLease(it.first, now);
  });
}

std::optional<StoreWrite> TableWriter::PrepareLeaseWrite(
    uint32_t group, TimePoint now, const std::vector<std::string>& candidates) {
  Lease& lease = leases_[group];
  const control::Member& self = membership_.self();
  const bool own = lease.holder == self.instance() &&
                   lease.incarnation == self.incarnation();
  uint64_t fencing = lease.fencing;
  if (own) {
    if (now < lease.next_renewal) {
      return std::nullopt;
    }
  } else {
    const std::vector<std::string> order =
        RankByRendezvousHash(candidates, "group/" + std::to_string(group));
    const control::Member* holder = membership_.Find(lease.holder);
    const bool holder_absent = holder == nullptr ||
                               holder->incarnation() != lease.incarnation ||
                               holder->state() == control::MEMBER_STATE_DEAD ||
                               holder->state() == control::MEMBER_STATE_LEFT;
    // This process may not have received the record of an unknown holder yet.
    const bool confirmed_absent =
        holder_absent && (holder != nullptr ||
                          now - *synchronized_at_ > settings_.startup_grace);
    const bool lapsed = now - lease.last_seen_at > settings_.lease_duration;
    const bool first = !order.empty() && order.front() == self.instance();
    if (lease.version.value != 0 && !lapsed && !(confirmed_absent && first)) {
      return std::nullopt;
    }
    if (lease.version.value == 0 && !first) {
      return std::nullopt;
    }
    // Larger than the fencing version of any earlier holder, since the store
    // never reuses a revision.
    fencing = lease.version.value + 1;
  }
  nlohmann::ordered_json body;
  body["holder"] = self.instance();
  body["incarnation"] = self.incarnation();
  body["fencing"] = fencing;
  lease.renewal_sent_at = now;
  return StoreWrite{lease.version.value == 0 ? StoreWrite::Kind::kCreate
                                             : StoreWrite::Kind::kUpdate,
                    LeasePath(group), lease.version, body.dump()};
}

std::vector<version::UpstreamEntry> TableWriter::AdmittedUpstreams(
    const Service& service, const PublishedTable* previous, TimePoint now,
    bool* unsettled) {
  std::vector<version::AnnouncedUpstream> announced;
  std::set<request::InstanceId> known_instances;
  *unsettled = now - *synchronized_at_ < settings_.startup_grace;
  for (const auto& [name, member] : membership_.members()) {
    if (member.role() != control::ROLE_SIDECAR) {
      continue;
    }
    known_instances.insert(request::InstanceIdOf(request::InstanceName(name)));
    if (member.state() == control::MEMBER_STATE_DEAD) {
      *unsettled = *unsettled ||
                   now - dead_since_.try_emplace(name, now).first->second <=
                       settings_.dead_upstream_retention;
      const auto since = dead_since_.try_emplace(name, now).first->second;
      if (now - since > settings_.dead_upstream_retention) {
        continue;
      }
    } else {
      dead_since_.erase(name);
    }
    if (member.state() == control::MEMBER_STATE_LEFT) {
      continue;
    }
    if (auto upstream = ToAnnounced(member)) {
      announced.push_back(std::move(*upstream));
    }
  }
  std::vector<version::UpstreamEntry> admitted = version::AdmittedUpstreams(
      service.stored->path, service.stored->spec, announced);
  if (previous != nullptr) {
    // A writer that just started does not know all members. Upstreams unknown
    // to it stay listed, also when more than a third of a service is unknown.
    std::vector<version::UpstreamEntry> unknown;
    for (const version::UpstreamEntry& it : previous->table.upstreams) {
      if (!known_instances.contains(it.instance)) {
        unknown.push_back(it);
      }
    }
    const bool joining = now - *synchronized_at_ < settings_.startup_grace;
    const bool many = unknown.size() > 1 &&
                      unknown.size() * 3 > previous->table.upstreams.size();
    if (joining || many) {
      admitted.insert(admitted.end(), unknown.begin(), unknown.end());
    }
  }
  return admitted;
}

TableWriter::ComputationInputs TableWriter::CurrentInputs(
    const Service& service) const {
  const request::ServiceId id = service.stored->Id(service.version);
  const auto table = tables_.find(TablePath(id));
  const auto lease = leases_.find(LeaseGroupOfService(id));
  const version::ServicePath& path = service.stored->path;
  return {
      service.version,
      table == tables_.end() ? TableVersion{} : table->second.version,
      membership_.ServiceDigest(path.team.text() + "/" + path.service.text()),
      address_changes_, lease == leases_.end() ? 0 : lease->second.fencing};
}

// A change of one service can assign an address to another one.
void TableWriter::AssignAddresses() {
  addresses_stale_ = false;
  std::map<request::ServiceId, version::ServiceSpec> specs;
  for (const auto& [path, it] : services_) {
    if (it.stored && !it.deleted) {
      specs[it.stored->Id(it.version)] = it.stored->spec;
    }
  }
  std::map<request::ServiceId, std::vector<version::ServiceAddress>> assigned;
  for (const auto& [address, owner] : version::AssignAddresses(specs)) {
    assigned[owner].push_back(address);
  }
  if (assigned != addresses_) {
    addresses_ = std::move(assigned);
    ++address_changes_;
  }
}

std::optional<StoreWrite> TableWriter::PrepareTableWrite(
    const std::string& path, const Service& service, TimePoint now) {
  const request::ServiceId id = service.stored->Id(service.version);
  const std::string table_path = TablePath(id);
  const auto existing = tables_.find(table_path);
  const Table* table = existing == tables_.end() || existing->second.deleted
                           ? nullptr
                           : &existing->second;
  if (service.deleted) {
    if (table == nullptr) {
      return std::nullopt;
    }
    return StoreWrite{StoreWrite::Kind::kDelete, table_path, table->version,
                      ""};
  }
  const PublishedTable* previous =
      table != nullptr && table->published ? &*table->published : nullptr;
  bool unsettled = false;
  const std::vector<version::UpstreamEntry> upstreams =
      AdmittedUpstreams(service, previous, now, &unsettled);
  last_computed_[table_path] = {
      CurrentInputs(service),
      now + (unsettled ? milliseconds(1000) : settings_.recompute_interval)};
  // The last known upstreams of a service stay listed: an empty table would
  // turn a membership fault into refused flows.
  if (upstreams.empty() && previous == nullptr) {
    return std::nullopt;
  }
  PublishedTable next;
  next.path = path;
  next.spec_version = service.version;
  next.fencing = {leases_[LeaseGroupOfService(id)].fencing};
  next.table =
      upstreams.empty()
          ? previous->table
          : version::BuildTable(id, upstreams, service.stored->spec.rows,
                                previous ? &previous->table : nullptr, {});
  next.addresses = addresses_[id];
  std::string body = WriteTable(next);
  if (previous != nullptr && WriteTable(*previous) == body) {
    return std::nullopt;
  }
  return StoreWrite{
      table == nullptr ? StoreWrite::Kind::kCreate : StoreWrite::Kind::kUpdate,
      table_path, table == nullptr ? TableVersion{} : table->version,
      std::move(body)};
}

std::vector<StoreWrite> TableWriter::Tick(
    TimePoint now, bool watcher, const std::vector<std::string>& candidates) {
  std::vector<StoreWrite> writes;
  if (!watcher || !synchronized_at_) {
    return writes;
  }
  const auto due = [&](const std::string& path) {
    const auto it = next_write_at_.find(path);
    return !pending_.contains(path) &&
           (it == next_write_at_.end() || now >= it->second);
  };
  for (uint32_t group = 0; group < settings_.groups; ++group) {
    if (!due(LeasePath(group))) {
      continue;
    }
    if (auto write = PrepareLeaseWrite(group, now, candidates)) {
      pending_.insert(write->path);
      writes.push_back(std::move(*write));
    }
  }
  if (addresses_stale_) {
    AssignAddresses();
  }
  for (const auto& [path, service] : services_) {
    if (!service.stored) {
      continue;
    }
    const request::ServiceId id = service.stored->Id(service.version);
    if (!HoldsLease(LeaseGroupOfService(id), now) || !due(TablePath(id))) {
      continue;
    }
    const auto computed = last_computed_.find(TablePath(id));
    if (computed != last_computed_.end() &&
        now < computed->second.recompute_at &&
        computed->second.inputs == CurrentInputs(service)) {
      continue;
    }
    next_write_at_[TablePath(id)] = now + settings_.write_interval;
    if (auto write = PrepareTableWrite(path, service, now)) {
      pending_.insert(write->path);
      writes.push_back(std::move(*write));
    }
  }
  return writes;
}

void TableWriter::OnWritten(const StoreWrite& write, TableVersion version,
                            TimePoint now) {
  pending_.erase(write.path);
  ConfigObject object;
  object.set_path(write.path);
  object.set_version(version.value);
  object.set_body(write.body);
  object.set_deleted(write.kind == StoreWrite::Kind::kDelete);
  if (write.path.starts_with(kLeases)) {
    uint32_t group = 0;
    const std::string number = write.path.substr(kLeases.size());
    std::from_chars(number.data(), number.data() + number.size(), group);
    Lease& lease = leases_[group];
    OnObject(object, now);
    // The lease runs from when the renewal was sent; other processes count from
    // when they see it, which is later.
    lease.valid_until = lease.renewal_sent_at + settings_.lease_duration;
    lease.next_renewal = now + Jitter(settings_.renew_interval * 3 / 4,
                                      settings_.renew_interval);
    return;
  }
  OnObject(object, now);
}

void TableWriter::OnWriteFailed(const StoreWrite& write, ResultCode code,
                                TimePoint now) {
  pending_.erase(write.path);
  last_computed_.erase(write.path);
  // The watch delivers the version that another writer stored, or the outcome
  // of a write whose answer was lost.
  next_write_at_[write.path] =
      now + Jitter(settings_.min_retry_delay, settings_.max_retry_delay);
  if (code == ResultCode::kStoreUnavailable ||
      code == ResultCode::kOutcomeUnknown) {
    OnStoreFailure(now);
  }
}

void TableWriter::OnStoreFailure(TimePoint now) {
  for (auto& [group, lease] : leases_) {
    lease.last_seen_at = now;
  }
}

}  // namespace kumquatvalve::process
