#include "kumquatvalve/process/zone_summary.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "kumquatvalve/process/peer_codec.h"

namespace kumquatvalve::process {
namespace {

std::string_view StateName(control::MemberState state) {
  switch (state) {
    case control::MEMBER_STATE_ALIVE:
      return "alive";
    case control::MEMBER_STATE_SUSPECTED:
      return "suspected";
    case control::MEMBER_STATE_DEAD:
      return "dead";
    case control::MEMBER_STATE_LEFT:
      return "left";
    default:
      return "unknown";
  }
}

}  // namespace

ZoneSummary::ZoneSummary(const Membership* membership,
                         const ZoneSummarySettings& settings)
    : membership_(*membership), settings_(settings) {}

std::string ZoneSummary::path() const {
  return "/members/" + membership_.self().availability_zone();
}

void ZoneSummary::OnObject(const control::ConfigObject& object) {
  if (object.path() == path() && object.version() > stored_version_.value) {
    stored_version_ = {object.deleted() ? 0 : object.version()};
  }
}

std::string ZoneSummary::SerializeSummary(
    uint64_t applied_version,
    const std::map<std::string, control::MemberStatus>& statuses) const {
  nlohmann::ordered_json body;
  const control::Member& self = membership_.self();
  body["zone"] = self.availability_zone();
  body["region"] = self.region();
  body["writer"] = self.instance();
  body["members"] = nlohmann::ordered_json::array();
  for (const auto& [name, member] : membership_.members()) {
    if (member.availability_zone() != self.availability_zone()) {
      continue;
    }
    nlohmann::ordered_json line;
    line["instance"] = name;
    line["role"] = member.role() == control::ROLE_ENTRY ? "entry" : "sidecar";
    line["incarnation"] = member.incarnation();
    line["state"] = StateName(member.state());
    uint64_t applied = 0;
    uint64_t open_flows = 0;
    const auto it = statuses.find(name);
    if (it != statuses.end() &&
        it->second.incarnation() == member.incarnation()) {
      applied = it->second.applied_version();
      open_flows = it->second.open_flows();
    }
    line["applied_version"] =
        name == self.instance() ? applied_version : applied;
    line["open_flows"] = open_flows;
    if (member.has_announcement()) {
      line["team"] = member.announcement().team();
      line["service"] = member.announcement().service();
      line["draining"] = member.announcement().draining();
    }
    body["members"].push_back(std::move(line));
  }
  return body.dump();
}

std::optional<StoreWrite> ZoneSummary::Tick(
    TimePoint now, bool first_watcher, uint64_t applied_version,
    const std::map<std::string, control::MemberStatus>& statuses) {
  if (!first_watcher || write_pending_ || now < next_write_at_) {
    return std::nullopt;
  }
  std::string body = SerializeSummary(applied_version, statuses);
  const auto by_size = std::chrono::milliseconds(static_cast<int64_t>(
      1000.0 * static_cast<double>(body.size()) / settings_.bytes_per_second));
  next_write_at_ = now + std::max(settings_.min_interval, by_size);
  if (body == last_written_body_) {
    return std::nullopt;
  }
  write_pending_ = true;
  pending_body_ = body;
  return StoreWrite{stored_version_.value == 0 ? StoreWrite::Kind::kCreate
                                               : StoreWrite::Kind::kUpdate,
                    path(), stored_version_, std::move(body)};
}

void ZoneSummary::OnWritten(request::TableVersion version) {
  write_pending_ = false;
  stored_version_ = version;
  last_written_body_ = pending_body_;
}

void ZoneSummary::OnWriteFailed(request::TableVersion actual, TimePoint now) {
  write_pending_ = false;
  if (actual.value != 0) {
    stored_version_ = actual;
  }
  next_write_at_ = std::max(next_write_at_, now + settings_.min_interval);
}

}  // namespace kumquatvalve::process
