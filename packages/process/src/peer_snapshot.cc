#include "kumquatvalve/process/peer_snapshot.h"

#include <nlohmann/json.hpp>

namespace kumquatvalve::process {
namespace {

using Json = nlohmann::json;

Json Encode(const StoredObject& object) {
  return {{"path", object.path},
          {"version", object.version.value},
          {"body", object.body}};
}

StoredObject Decode(const Json& value) {
  return {value.at("path").get<std::string>(),
          {value.at("version").get<uint64_t>()},
          value.at("body").get<std::string>()};
}

}  // namespace

std::string EncodePeerSnapshot(const PeerSnapshot& snapshot) {
  Json value = {{"records", Json::array()}};
  if (snapshot.configuration) {
    value["configuration"] = Encode(*snapshot.configuration);
  }
  for (const StoredObject& it : snapshot.records) {
    value["records"].push_back(Encode(it));
  }
  return value.dump();
}

std::optional<PeerSnapshot> DecodePeerSnapshot(std::string_view text,
                                               request::Failure* failure) {
  try {
    const Json value = Json::parse(text);
    PeerSnapshot snapshot;
    if (value.contains("configuration")) {
      snapshot.configuration = Decode(value.at("configuration"));
    }
    for (const Json& it : value.at("records")) {
      snapshot.records.push_back(Decode(it));
    }
    return snapshot;
  } catch (const Json::exception& ex) {
    *failure = {request::ResultCode::kBadAnswer, ex.what()};
    return std::nullopt;
  }
}

}  // namespace kumquatvalve::process
