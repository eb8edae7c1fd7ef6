#include "kumquatvalve/version/subtree.h"

#include "kumquatvalve/version/settings_reader.h"

namespace kumquatvalve::version {
namespace {

constexpr std::string_view kServicesInfix = "/services/";

}  // namespace

std::string ToString(const ServicePath& path) {
  return std::string(kTeamsPrefix) + path.team.text() +
         std::string(kServicesInfix) + path.service.text();
}

std::optional<ServicePath> ParseServicePath(std::string_view path,
                                            request::Failure* failure) {
  const std::string quoted_path = "'" + std::string(path) + "'";
  const size_t begin = kTeamsPrefix.size();
  const size_t end = path.find('/', begin);
  if (!path.starts_with(kTeamsPrefix) || end == path.npos ||
      !path.substr(end).starts_with(kServicesInfix)) {
    *failure = {request::ResultCode::kBadPath,
                quoted_path + " is not of the form /teams/TEAM/services/NAME"};
    return std::nullopt;
  }
  const std::string_view team = path.substr(begin, end - begin);
  const std::string_view service = path.substr(end + kServicesInfix.size());
  if (!IsValidName(team) || !IsValidName(service)) {
    *failure = {request::ResultCode::kBadName,
                "team or service in " + quoted_path + " is not a valid name"};
    return std::nullopt;
  }
  return ServicePath{request::TeamName(std::string(team)),
                     request::ServiceName(std::string(service))};
}

std::optional<ServicePath> CheckSubtree(const request::TeamName& team,
                                        std::string_view path,
                                        request::Failure* failure) {
  auto parsed = ParseServicePath(path, failure);
  if (parsed && parsed->team != team) {
    *failure = {request::ResultCode::kOutsideSubtree,
                "'" + std::string(path) + "' does not belong to team '" +
                    team.text() + "'"};
    return std::nullopt;
  }
  return parsed;
}

}  // namespace kumquatvalve::version
