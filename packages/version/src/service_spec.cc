#include "kumquatvalve/version/service_spec.h"

#include <netinet/in.h>

#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace kumquatvalve::version {
namespace {

using Json = nlohmann::ordered_json;
using request::Failure;
using request::ResultCode;
using std::chrono::milliseconds;

constexpr std::string_view kTcp = "/tcp";
constexpr std::string_view kUdp = "/udp";

Json ToJson(const ServiceSpec& spec) {
  Json json;
  json["addresses"] = Json::array();
  for (const ServiceAddress& it : spec.addresses) {
    json["addresses"].push_back(ToString(it));
  }
  json["admit"]["labels"] = Json::object();
  for (const auto& [label, value] : spec.admit_labels) {
    json["admit"]["labels"][label] = value;
  }
  json["slots"] = spec.slots;
  json["weights"] = Json::object();
  for (const auto& [instance, weight] : spec.weights) {
    json["weights"][instance.text()] = weight;
  }
  json["draining"] = Json::array();
  for (const request::InstanceName& it : spec.draining) {
    json["draining"].push_back(it.text());
  }
  json["rows"] = spec.rows;
  json["max_waiting"] = spec.max_waiting;
  json["deadline_ms"] = spec.deadline.count();
  json["retry_budget"] = spec.retry_budget;
  json["zone_preference"] =
      spec.zone_preference == ZonePreference::kNone ? "none" : "same_zone";
  json["silent_probe"]["idle_ms"] = spec.silent_probe.idle.count();
  json["silent_probe"]["interval_ms"] = spec.silent_probe.interval.count();
  json["silent_probe"]["count"] = spec.silent_probe.count;
  return json;
}

void UseBlockStyle(YAML::Node node) {
  if (node.size() != 0) {
    node.SetStyle(YAML::EmitterStyle::Block);
  }
  for (auto it : node) {
    UseBlockStyle(node.IsMap() ? it.second : static_cast<YAML::Node>(it));
  }
}

}  // namespace

std::optional<ServiceAddress> ParseServiceAddress(std::string_view text,
                                                  Failure* failure) {
  ServiceAddress address;
  if (text.ends_with(kTcp)) {
    address.protocol = IPPROTO_TCP;
  } else if (text.ends_with(kUdp)) {
    address.protocol = IPPROTO_UDP;
  } else {
    *failure = {ResultCode::kBadAddress,
                "'" + std::string(text) + "' does not end with /tcp or /udp"};
    return std::nullopt;
  }
  const auto endpoint = request::ParseEndpoint(
      text.substr(0, text.size() - kTcp.size()), failure);
  if (!endpoint) {
    return std::nullopt;
  }
  if (endpoint->port == 0) {
    *failure = {ResultCode::kBadAddress,
                "'" + std::string(text) + "' has port 0"};
    return std::nullopt;
  }
  address.endpoint = *endpoint;
  return address;
}

std::string ToString(const ServiceAddress& address) {
  return request::ToString(address.endpoint) +
         std::string(address.protocol == IPPROTO_TCP ? kTcp : kUdp);
}

std::optional<ServiceSpec> ReadServiceSpec(const YAML::Node& node,
                                           const std::string& file,
                                           const std::string& prefix,
                                           std::vector<SettingsError>* errors) {
  const auto reader =
      SettingsReader::Validate(node, ServiceSchema(), file, prefix, errors);
  if (!reader) {
    return std::nullopt;
  }
  ServiceSpec spec;
  Failure failure;
  std::set<ServiceAddress> seen;
  const size_t before = errors->size();
  for (const std::string& it : reader->List("addresses")) {
    const auto address = ParseServiceAddress(it, &failure);
    spec.addresses.push_back(*address);
    // Different spellings of the same address.
    if (!seen.insert(*address).second) {
      errors->push_back({ResultCode::kOverlappingAddress, file,
                         reader->LineNumber("addresses"), prefix + "addresses",
                         "'" + it + "' appears in the list more than once"});
    }
  }
  spec.admit_labels = reader->Map("admit.labels");
  spec.slots = static_cast<uint32_t>(reader->Integer("slots"));
  for (const auto& [instance, weight] : reader->Map("weights")) {
    spec.weights[request::InstanceName(instance)] =
        static_cast<uint32_t>(std::stoul(weight));
  }
  for (const std::string& it : reader->List("draining")) {
    spec.draining.emplace(it);
  }
  spec.rows = static_cast<uint32_t>(reader->Integer("rows"));
  if ((spec.rows & (spec.rows - 1)) != 0) {
    errors->push_back({ResultCode::kOutOfRange, file,
                       reader->LineNumber("rows"), prefix + "rows",
                       std::to_string(spec.rows) + " is not a power of two"});
  }
  spec.max_waiting = static_cast<uint32_t>(reader->Integer("max_waiting"));
  spec.deadline = milliseconds(reader->Integer("deadline_ms"));
  spec.retry_budget = reader->Number("retry_budget");
  spec.zone_preference = reader->Text("zone_preference") == "none"
                             ? ZonePreference::kNone
                             : ZonePreference::kSameZone;
  spec.silent_probe.idle =
      milliseconds(reader->Integer("silent_probe.idle_ms"));
  spec.silent_probe.interval =
      milliseconds(reader->Integer("silent_probe.interval_ms"));
  spec.silent_probe.count =
      static_cast<uint32_t>(reader->Integer("silent_probe.count"));
  if (errors->size() != before) {
    return std::nullopt;
  }
  return spec;
}

std::optional<std::map<ServicePath, ServiceSpec>> ParseServices(
    const std::string& text, const std::string& file,
    std::vector<SettingsError>* errors) {
  const size_t before = errors->size();
  const auto root = ParseYaml(text, file, errors);
  if (!root) {
    return std::nullopt;
  }
  const auto add = [&](ResultCode code, const YAML::Node& node,
                       const std::string& key, const std::string& detail) {
    errors->push_back({code, file, node.Mark().line + 1, key, detail});
  };
  if (!root->IsMap()) {
    add(ResultCode::kWrongType, *root, "",
        "must be a map with the key 'services'");
    return std::nullopt;
  }
  YAML::Node services;
  for (const auto& it : *root) {
    if (it.first.IsScalar() && it.first.Scalar() == "services") {
      services.reset(it.second);
    } else {
      add(ResultCode::kUnknownKey, it.first,
          it.first.IsScalar() ? it.first.Scalar() : "", "there is no such key");
    }
  }
  if (!services.IsMap()) {
    add(services.IsNull() ? ResultCode::kMissingKey : ResultCode::kWrongType,
        *root, "services", "must be a map from service paths to settings");
    return std::nullopt;
  }
  std::map<ServicePath, ServiceSpec> specs;
  std::map<ServiceAddress, ServicePath> owners;
  for (const auto& it : services) {
    Failure failure;
    const std::string text_path = it.first.IsScalar() ? it.first.Scalar() : "";
    const auto path = ParseServicePath(text_path, &failure);
    const std::string key = "services." + text_path;
    if (!path) {
      add(failure.code, it.first, key, failure.detail);
      continue;
    }
    const auto spec = ReadServiceSpec(it.second, file, key + ".", errors);
    if (!spec) {
      continue;
    }
    if (!specs.emplace(*path, *spec).second) {
      add(ResultCode::kDuplicateName, it.first, key,
          "the service is defined more than once");
      continue;
    }
    for (const ServiceAddress& address : spec->addresses) {
      const auto [owner, added] = owners.emplace(address, *path);
      if (!added) {
        add(ResultCode::kOverlappingAddress, it.first, key + ".addresses",
            ToString(address) + " belongs to " + ToString(owner->second));
      }
    }
  }
  if (errors->size() != before) {
    return std::nullopt;
  }
  return specs;
}

std::string WriteStoredService(const StoredService& service) {
  Json json;
  json["path"] = ToString(service.path);
  json["created"] = service.created.value;
  json["operation"]["id"] = service.operation.id;
  json["operation"]["time"] = service.operation.time;
  json["operation"]["by"] = service.operation.by;
  json["earlier"] = Json::array();
  for (const EarlierOperation& it : service.earlier) {
    json["earlier"].push_back({{"id", it.id}, {"version", it.version.value}});
  }
  json["service"] = ToJson(service.spec);
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<StoredService> ReadStoredService(std::string_view path,
                                               const std::string& body,
                                               Failure* failure) {
  const auto parsed = ParseServicePath(path, failure);
  if (!parsed) {
    return std::nullopt;
  }
  const Json json = Json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    *failure = {ResultCode::kBadYaml, std::string(path) + " is not JSON"};
    return std::nullopt;
  }
  StoredService stored;
  stored.path = *parsed;
  try {
    const auto named = json.at("path").get<std::string>();
    if (named != path) {
      *failure = {ResultCode::kOutsideSubtree,
                  std::string(path) + " contains the settings of " + named};
      return std::nullopt;
    }
    stored.created = {json.at("created").get<uint64_t>()};
    const Json& operation = json.at("operation");
    stored.operation = {operation.at("id").get<std::string>(),
                        operation.at("time").get<std::string>(),
                        operation.at("by").get<std::string>()};
    for (const Json& it : json.at("earlier")) {
      stored.earlier.push_back(
          {it.at("id").get<std::string>(), {it.at("version").get<uint64_t>()}});
    }
    (void)json.at("service");
  } catch (const Json::exception& ec) {
    *failure = {ResultCode::kWrongType, std::string(path) + ": " + ec.what()};
    return std::nullopt;
  }
  // JSON is a subset of YAML, so the same schema validates both forms.
  std::vector<SettingsError> errors;
  const std::string file(path);
  const auto node = ParseYaml(json["service"].dump(), file, &errors);
  const auto spec =
      node ? ReadServiceSpec(*node, file, "", &errors) : std::nullopt;
  if (!spec) {
    *failure = {errors[0].code,
                file + ": " + errors[0].key + ": " + errors[0].detail};
    return std::nullopt;
  }
  stored.spec = *spec;
  return stored;
}

std::string WriteServiceYaml(const ServicePath& path, const ServiceSpec& spec) {
  YAML::Node settings = YAML::Load(ToJson(spec).dump());
  UseBlockStyle(settings);
  YAML::Emitter out;
  out << YAML::BeginMap << YAML::Key << "services" << YAML::Value
      << YAML::BeginMap << YAML::Key << ToString(path) << YAML::Value
      << settings << YAML::EndMap << YAML::EndMap;
  return std::string(out.c_str()) + "\n";
}

bool CheckAddresses(const ServicePath& path, const ServiceSpec& spec,
                    const std::map<ServicePath, ServiceSpec>& others,
                    Failure* failure) {
  const std::set<ServiceAddress> own(spec.addresses.begin(),
                                     spec.addresses.end());
  for (const auto& [other, other_spec] : others) {
    if (other == path) {
      continue;
    }
    for (const ServiceAddress& it : other_spec.addresses) {
      if (own.contains(it)) {
        *failure = {ResultCode::kOverlappingAddress,
                    ToString(it) + " belongs to " + ToString(other)};
        return false;
      }
    }
  }
  return true;
}

std::map<ServiceAddress, request::ServiceId> AssignAddresses(
    const std::map<request::ServiceId, ServiceSpec>& services) {
  std::map<ServiceAddress, request::ServiceId> owners;
  // Iterates in order of creation: the service created first keeps the address.
  for (const auto& [id, spec] : services) {
    for (const ServiceAddress& it : spec.addresses) {
      owners.emplace(it, id);
    }
  }
  return owners;
}

}  // namespace kumquatvalve::version
