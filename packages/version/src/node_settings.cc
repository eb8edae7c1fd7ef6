#include "kumquatvalve/version/node_settings.h"

#include <array>
#include <cmath>

#include "kumquatvalve/version/settings_schema.h"

namespace kumquatvalve::version {
namespace {

using Type = SettingType;

using std::chrono::milliseconds;

constexpr double kMillisecondsPerSecond = 1000;

// Rounded down: each of these times is one within which something must be
// done, or after which the address may belong to another upstream.
milliseconds ToMilliseconds(double value) {
  return milliseconds(static_cast<int64_t>(std::floor(value)));
}

milliseconds SecondsToMilliseconds(double value) {
  return ToMilliseconds(value * kMillisecondsPerSecond);
}

constexpr auto kNodeSchema = std::to_array<SettingSchema>({
    {.key = "role",
     .type = Type::kChoice,
     .required = true,
     .choices = "entry|sidecar",
     .doc = "Role of the process."},
    {.key = "instance",
     .type = Type::kText,
     .required = true,
     .doc = "Name of the instance, unique in the fleet."},
    {.key = "availability_zone",
     .type = Type::kText,
     .required = true,
     .doc = "Availability zone of the instance."},
    {.key = "packets",
     .type = Type::kEndpoint,
     .required = true,
     .doc =
         "Receives packets from the routers (entry) or from entry instances "
         "(sidecar), UDP. Hosts of callers receive packets at the same port."},
    {.key = "hops",
     .type = Type::kEndpoint,
     .required = true,
     .only_for_role = "entry",
     .doc = "Receives hop messages of sidecars, UDP."},
    {.key = "status",
     .type = Type::kEndpoint,
     .required = true,
     .doc = "Serves /metrics, /healthz, /readyz and /status, HTTP."},
    {.key = "peer_listen",
     .type = Type::kEndpoint,
     .only_for_role = "entry",
     .doc = "Receives queries of entry instances, and records of sidecars that "
            "the store does not serve, HTTP."},
    {.key = "peers",
     .type = Type::kEndpoint,
     .list = true,
     .default_text = "[]",
     .max_value = 100,
     .doc = "The peer_listen endpoints of some entry instances."},
    {.key = "store",
     .type = Type::kUrl,
     .required = true,
     .doc = "Base address of the store."},
    {.key = "configuration_apply_ms",
     .type = Type::kNumber,
     .default_text = "3000",
     .min_value = 500,
     .max_value = 60000,
     .adjustable = true,
     .only_for_role = "entry",
     .doc = "Time in which a configuration must be in force after the store "
            "accepted it, ms. Decides how often the store is asked."},
    {.key = "evacuation_apply_ms",
     .type = Type::kNumber,
     .min_value = 500,
     .max_value = 60000,
     .adjustable = true,
     .unreadable_text = "3000",
     .only_for_role = "entry",
     .doc =
         "Time in which the evacuation of an availability zone, and its end, "
         "must be in force after the store accepted it, ms. Without it, "
         "evacuations are not followed."},
    {.key = "upstream.packets",
     .type = Type::kEndpoint,
     .required = true,
     .only_for_role = "sidecar",
     .doc = "Where the upstream receives packets, UDP."},
    {.key = "upstream.outbound",
     .type = Type::kEndpoint,
     .required = true,
     .only_for_role = "sidecar",
     .doc = "Receives the packets that the upstream sends, UDP."},
    {.key = "upstream.announce",
     .type = Type::kEndpoint,
     .required = true,
     .only_for_role = "sidecar",
     .doc = "Receives the upstream's heartbeats, HTTP."},
    {.key = "upstream.service",
     .type = Type::kText,
     .required = true,
     .only_for_role = "sidecar",
     .doc = "Service of the upstream; heartbeats of another one are rejected."},
    {.key = "upstream.address_reuse_s",
     .type = Type::kNumber,
     .default_text = "2",
     .min_value = 0,
     .max_value = 600,
     .adjustable = true,
     .only_for_role = "sidecar",
     .doc = "Time between the end of an upstream and the next use of its "
            "address by another one, at least, s. An upstream that is silent "
            "for almost that time gets no first packets until its next "
            "heartbeat."},
    {.key = "upstream.warm_up.slack",
     .type = Type::kNumber,
     .min_value = 0,
     .max_value = 10000,
     .adjustable = true,
     .only_for_role = "sidecar",
     .doc = "First packets that a cold upstream may get in a second beyond "
            "those of its service's rate. Without it they are not limited."},
    {.key = "log_level",
     .type = Type::kChoice,
     .default_text = "info",
     .choices = "debug|info|warning|error",
     .doc = "Lowest level that is logged."},
    {.key = "stop_timeout_s",
     .type = Type::kNumber,
     .default_text = "6",
     .min_value = 0,
     .max_value = 3600,
     .adjustable = true,
     .doc = "Maximum time from a termination signal to the exit, s."},
});

void Apply(const SettingOverride& setting, YAML::Node root) {
  if (setting.value.empty() || !root.IsMap()) {
    return;
  }
  std::string_view rest = setting.key;
  for (size_t n = rest.find('.'); n != std::string_view::npos;
       n = rest.find('.')) {
    // Assigning to a node changes the map; `reset` refers to the child.
    root.reset(root[std::string(rest.substr(0, n))]);
    rest.remove_prefix(n + 1);
  }
  root[std::string(rest)] = setting.value;
}

}  // namespace

std::optional<NodeSettings> ParseNodeSettings(
    const std::string& text, const std::string& file,
    std::vector<SettingsError>* errors,
    std::span<const SettingOverride> overrides) {
  auto root = ParseYaml(text, file, errors);
  if (!root) {
    return std::nullopt;
  }
  for (const SettingOverride& it : overrides) {
    Apply(it, *root);
  }
  const auto reader =
      SettingsReader::Validate(*root, kNodeSchema, file, "", errors);
  if (!reader) {
    return std::nullopt;
  }
  NodeSettings settings;
  settings.role =
      reader->Text("role") == "entry" ? Role::kEntry : Role::kSidecar;
  settings.instance = request::InstanceName(reader->Text("instance"));
  settings.availability_zone =
      request::AvailabilityZone(reader->Text("availability_zone"));
  settings.packets = reader->Endpoint("packets");
  settings.status = reader->Endpoint("status");
  settings.store_url = reader->Text("store");
  settings.peers = reader->Endpoints("peers");
  settings.log_level = reader->Text("log_level");
  settings.stop_timeout =
      SecondsToMilliseconds(reader->Number("stop_timeout_s"));
  settings.adjustments = reader->adjustments();
  if (settings.role == Role::kEntry) {
    settings.hops = reader->Endpoint("hops");
    settings.configuration_apply_limit =
        ToMilliseconds(reader->Number("configuration_apply_ms"));
    if (reader->Has("evacuation_apply_ms")) {
      settings.evacuation_apply_limit =
          ToMilliseconds(reader->Number("evacuation_apply_ms"));
    }
    if (reader->Has("peer_listen")) {
      settings.peer_listen = reader->Endpoint("peer_listen");
    }
    return settings;
  }
  NodeUpstreamSettings upstream;
  upstream.packets = reader->Endpoint("upstream.packets");
  upstream.outbound = reader->Endpoint("upstream.outbound");
  upstream.announce = reader->Endpoint("upstream.announce");
  upstream.service = request::ServiceName(reader->Text("upstream.service"));
  upstream.address_reuse =
      SecondsToMilliseconds(reader->Number("upstream.address_reuse_s"));
  if (reader->Has("upstream.warm_up.slack")) {
    upstream.warm_up_slack = reader->Number("upstream.warm_up.slack");
  }
  settings.upstream = upstream;
  return settings;
}

std::optional<NodeSettings> LoadNodeSettings(
    const std::string& file, std::span<const SettingOverride> overrides,
    std::vector<SettingsError>* errors) {
  const auto text = ReadSettingsFile(file, errors);
  return text ? ParseNodeSettings(*text, file, errors, overrides)
              : std::nullopt;
}

}  // namespace kumquatvalve::version
