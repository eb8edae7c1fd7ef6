#include "kumquatvalve/process/fleet_view.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace kumquatvalve::process {

std::optional<std::vector<MemberView>> ParseZoneSummary(
    const StoredObject& object, request::Failure* failure) {
  using Json = nlohmann::json;
  const Json body = Json::parse(object.body, nullptr, false);
  std::vector<MemberView> members;
  try {
    const auto zone = body.at("zone").get<std::string>();
    const auto region = body.at("region").get<std::string>();
    for (const Json& it : body.at("members")) {
      MemberView member;
      member.instance =
          request::InstanceName(it.at("instance").get<std::string>());
      member.zone = request::AvailabilityZone(zone);
      member.region = request::Region(region);
      member.role = it.at("role").get<std::string>();
      member.state = it.at("state").get<std::string>();
      member.incarnation = {it.at("incarnation").get<uint64_t>()};
      member.applied_version = {it.at("applied_version").get<uint64_t>()};
      member.open_flows = it.value("open_flows", uint64_t{0});
      member.draining = it.value("draining", false);
      if (it.contains("service")) {
        member.service = version::ServicePath{
            request::TeamName(it.at("team").get<std::string>()),
            request::ServiceName(it.at("service").get<std::string>())};
      }
      members.push_back(std::move(member));
    }
  } catch (const Json::exception& ec) {
    *failure = {request::ResultCode::kBadAnswer,
                object.path + ": " + ec.what()};
    return std::nullopt;
  }
  return members;
}

InForce CountInForce(std::span<const MemberView> members,
                     const version::ServicePath& service,
                     request::TableVersion version) {
  InForce count;
  for (const MemberView& it : members) {
    const bool living = it.state == "alive" || it.state == "suspected";
    if (!living || (it.role != "entry" && it.service != service)) {
      continue;
    }
    ++count.expected;
    if (it.applied_version >= version) {
      ++count.confirmed;
    } else {
      count.missing.push_back(it.instance);
    }
  }
  return count;
}

}  // namespace kumquatvalve::process
