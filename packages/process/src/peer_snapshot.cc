#include "kumquatvalve/process/peer_snapshot.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "kumquatvalve/process/bounded_json.h"

namespace kumquatvalve::process {
namespace {

using Json = nlohmann::json;

Json Encode(const StoredObject& object) {
  Json value = {{"path", object.path},
                {"version", object.version.value},
                {"body", object.body}};
  if (object.version.era != 0) {
    value["era"] = object.version.era;
  }
  return value;
}

// A configuration and 4,700 records with room to spare.
constexpr size_t kMaxSnapshotBytes = size_t{8} << 20;
constexpr JsonLimits kObjectLimits{
    .max_bytes = size_t{4} << 20, .max_depth = 2, .max_values = 100};
constexpr size_t kMaxPathBytes = 1024;

constexpr JsonLimits kZonesLimits{
    .max_bytes = size_t{1} << 20, .max_depth = 3, .max_values = 10000};

Json Encode(const connection::EvacuationList& list) {
  Json value = {{"version", list.version.value}, {"zones", Json::array()}};
  if (list.version.era != 0) {
    value["era"] = list.version.era;
  }
  for (const request::AvailabilityZone& it : list.zones) {
    value["zones"].push_back(it.text());
  }
  return value;
}

std::nullopt_t FailBadAnswer(std::string detail, request::Failure* failure) {
  *failure = {request::ResultCode::kBadAnswer, std::move(detail)};
  return std::nullopt;
}

std::optional<StoredObject> Decode(std::string_view text,
                                   request::Failure* failure) {
  const auto value = ParseBoundedJson(text, kObjectLimits, failure);
  if (!value) {
    return std::nullopt;
  }
  auto path = ReadString(*value, "path", kMaxPathBytes);
  const auto version = ReadUnsigned(*value, "version", UINT64_MAX);
  auto body = ReadString(*value, "body", kObjectLimits.max_bytes);
  const auto era = value->contains("era")
                       ? ReadUnsigned(*value, "era", UINT64_MAX)
                       : uint64_t{0};
  if (!path || !version || !body || !era) {
    return FailBadAnswer("an object of a peer snapshot lacks a field", failure);
  }
  return StoredObject{std::move(*path), {*version, *era}, std::move(*body)};
}

// A list is read as a whole or not at all: a zone that is missing in it is not
// evacuated.
std::optional<connection::EvacuationList> DecodeEvacuationList(
    std::string_view text, request::Failure* failure) {
  const auto value = ParseBoundedJson(text, kZonesLimits, failure);
  if (!value) {
    return std::nullopt;
  }
  const auto version = ReadUnsigned(*value, "version", UINT64_MAX);
  const auto era = value->contains("era")
                       ? ReadUnsigned(*value, "era", UINT64_MAX)
                       : std::optional<uint64_t>(0);
  const auto zones = value->find("zones");
  if (!version || !era || zones == value->end() || !zones->is_array()) {
    return FailBadAnswer("the evacuated zones of a peer lack a field", failure);
  }
  connection::EvacuationList list{{*version, *era}, {}};
  for (const Json& it : *zones) {
    if (!it.is_string()) {
      return FailBadAnswer("an evacuated zone of a peer is not a name",
                           failure);
    }
    list.zones.insert(request::AvailabilityZone(it.get<std::string>()));
  }
  return list;
}

}  // namespace

std::string EncodePeerSnapshot(const PeerSnapshot& snapshot) {
  Json value = {{"records", Json::array()}};
  if (snapshot.configuration) {
    value["configuration"] = Encode(*snapshot.configuration);
  }
  if (snapshot.evacuated_zones) {
    value["evacuated_zones"] = Encode(*snapshot.evacuated_zones);
  }
  for (const StoredObject& it : snapshot.records) {
    value["records"].push_back(Encode(it));
  }
  // A configuration that could not be parsed may have bytes that are not UTF-8.
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<PeerSnapshot> DecodePeerSnapshot(std::string_view text,
                                               request::Failure* failure) {
  if (text.size() > kMaxSnapshotBytes) {
    return FailBadAnswer("a peer snapshot is too large", failure);
  }
  const auto members = SplitJsonObject(text, failure);
  const auto records_text =
      members ? FindMember(*members, "records") : std::nullopt;
  const auto records =
      records_text ? SplitJsonArray(*records_text, failure) : std::nullopt;
  if (!records) {
    return FailBadAnswer("a peer snapshot has no list of records", failure);
  }
  PeerSnapshot snapshot;
  if (const auto it = FindMember(*members, "configuration")) {
    request::Failure reason;
    snapshot.configuration = Decode(*it, &reason);
    if (!snapshot.configuration) {
      snapshot.skipped.push_back(std::move(reason));
    }
  }
  if (const auto it = FindMember(*members, "evacuated_zones")) {
    request::Failure reason;
    snapshot.evacuated_zones = DecodeEvacuationList(*it, &reason);
    if (!snapshot.evacuated_zones) {
      snapshot.skipped.push_back(std::move(reason));
    }
  }
  for (const std::string_view it : *records) {
    request::Failure reason;
    if (auto record = Decode(it, &reason)) {
      snapshot.records.push_back(std::move(*record));
    } else {
      snapshot.skipped.push_back(std::move(reason));
    }
  }
  return snapshot;
}

}  // namespace kumquatvalve::process
