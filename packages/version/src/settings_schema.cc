#include "kumquatvalve/version/settings_schema.h"

#include <array>
#include <sstream>

namespace kumquatvalve::version {
namespace {

using Type = SettingType;

constexpr auto kProcessSchema = std::to_array<SettingSchema>({
    {.key = "role",
     .type = Type::kChoice,
     .required = true,
     .choices = "entry|sidecar",
     .doc = "Role of the process."},
    {.key = "instance",
     .type = Type::kName,
     .required = true,
     .doc = "Name of the instance, unique in the fleet."},
    {.key = "availability_zone",
     .type = Type::kName,
     .required = true,
     .doc = "Availability zone of the instance."},
    {.key = "region",
     .type = Type::kName,
     .required = true,
     .doc = "Region of the instance."},
    {.key = "data",
     .type = Type::kEndpoint,
     .required = true,
     .doc = "Receives packets from the fabric (entry) or from processes "
            "(sidecar), UDP."},
    {.key = "control",
     .type = Type::kEndpoint,
     .required = true,
     .doc = "Receives control messages, TCP."},
    {.key = "status",
     .type = Type::kEndpoint,
     .required = true,
     .doc = "Serves /metrics, /healthz, /readyz and /status, HTTP."},
    {.key = "fabric",
     .type = Type::kEndpoint,
     .required = true,
     .doc = "Where packets for callers are sent, encapsulated in UDP."},
    {.key = "seeds",
     .type = Type::kEndpoint,
     .list = true,
     .default_text = "[]",
     .min_value = 0,
     .max_value = 64,
     .doc =
         "Control endpoints of some entry instances, used to join the fleet."},
    {.key = "object_api.urls",
     .type = Type::kUrl,
     .list = true,
     .required = true,
     .min_value = 1,
     .max_value = 8,
     .doc = "Base addresses of the object API, tried in order."},
    {.key = "object_api.token_file",
     .type = Type::kFilePath,
     .default_text = "",
     .doc = "File with the bearer token, read for each call."},
    {.key = "object_api.timeout_ms",
     .type = Type::kInteger,
     .default_text = "2000",
     .min_value = 10,
     .max_value = 60000,
     .doc = "Timeout of a call other than a watch, ms."},
    {.key = "object_api.calls_per_second",
     .type = Type::kNumber,
     .default_text = "2",
     .min_value = 0.01,
     .max_value = 1000,
     .doc = "Maximum calls a second; a pending watch counts as a call."},
    {.key = "keys.flow_hash",
     .type = Type::kHashKey,
     .required = true,
     .doc = "Key of the flow hash, which selects the row of a flow; the same "
            "in all processes."},
    {.key = "keys.forward",
     .type = Type::kHashKey,
     .required = true,
     .doc = "Key of the authentication tag in forward headers; the same in all "
            "processes."},
    {.key = "keys.curve_public",
     .type = Type::kCurveKey,
     .default_text = "",
     .doc = "CURVE public key of the control channel; empty disables "
            "CURVE."},
    {.key = "keys.curve_secret",
     .type = Type::kCurveKey,
     .default_text = "",
     .doc = "CURVE secret key; required together with curve_public."},
    {.key = "keys.accepted_public",
     .type = Type::kCurveKey,
     .list = true,
     .default_text = "[]",
     .min_value = 0,
     .max_value = 1,
     .doc = "Additional accepted public key, while keys are rotated."},
    {.key = "upstream.data",
     .type = Type::kEndpoint,
     .required = true,
     .only_for_role = "sidecar",
     .doc = "Where the upstream receives packets, encapsulated in UDP."},
    {.key = "upstream.announce",
     .type = Type::kEndpoint,
     .required = true,
     .only_for_role = "sidecar",
     .doc = "Where the sidecar receives the upstream's announcements, HTTP."},
    {.key = "upstream.max_flows",
     .type = Type::kInteger,
     .default_text = "65536",
     .min_value = 1,
     .max_value = 16777216,
     .only_for_role = "sidecar",
     .doc = "Maximum number of open flows in the sidecar's flow table."},
    {.key = "traffic_threads",
     .type = Type::kInteger,
     .default_text = "1",
     .min_value = 1,
     .max_value = 64,
     .doc = "Number of threads that forward packets; must be 1 for a sidecar."},
    {.key = "log_format",
     .type = Type::kChoice,
     .default_text = "key_value",
     .choices = "key_value|json",
     .doc = "Format of log lines."},
    {.key = "log_level",
     .type = Type::kChoice,
     .default_text = "info",
     .choices = "debug|info|warning|error",
     .doc = "Lowest level that is logged."},
    {.key = "trace_file",
     .type = Type::kFilePath,
     .default_text = "",
     .doc = "File to which trace spans are appended; empty disables tracing."},
    {.key = "trace_one_in",
     .type = Type::kInteger,
     .default_text = "1000",
     .min_value = 1,
     .max_value = 1000000000,
     .doc = "One packet out of this many is traced."},
    {.key = "drain_timeout_s",
     .type = Type::kInteger,
     .default_text = "3600",
     .min_value = 0,
     .max_value = 604800,
     .doc = "Maximum time that a graceful shutdown waits for open flows, s."},
});

constexpr auto kServiceSchema = std::to_array<SettingSchema>({
    {.key = "addresses",
     .type = Type::kServiceAddress,
     .list = true,
     .required = true,
     .min_value = 1,
     .max_value = 32,
     .doc = "Where callers reach the service."},
    {.key = "admit.labels",
     .type = Type::kLabels,
     .default_text = "{}",
     .min_value = 0,
     .max_value = 32,
     .doc = "An upstream is admitted when its announcement names this service "
            "and has all of these labels."},
    {.key = "slots",
     .type = Type::kInteger,
     .default_text = "0",
     .min_value = 0,
     .max_value = 65535,
     .doc = "Slots of each upstream; 0 to use the announced number."},
    {.key = "weights",
     .type = Type::kWeights,
     .default_text = "{}",
     .min_value = 1,
     .max_value = 1000,
     .doc =
         "Relative share of rows by instance; overrides the announced weight."},
    {.key = "draining",
     .type = Type::kName,
     .list = true,
     .default_text = "[]",
     .min_value = 0,
     .max_value = 4096,
     .doc = "Instances that get no new flows; `kumquatvalvectl drain` changes "
            "this list."},
    {.key = "rows",
     .type = Type::kInteger,
     .default_text = "512",
     .min_value = 64,
     .max_value = 65536,
     .doc = "Rows of the forwarding table, a power of two. A change moves most "
            "rows."},
    {.key = "max_waiting",
     .type = Type::kInteger,
     .default_text = "128",
     .min_value = 0,
     .max_value = 65535,
     .doc = "Maximum number of first packets that wait in a sidecar's queue."},
    {.key = "deadline_ms",
     .type = Type::kInteger,
     .default_text = "900",
     .min_value = 1,
     .max_value = 60000,
     .doc =
         "Maximum time that a first packet waits before its flow is refused."},
    {.key = "retry_budget",
     .type = Type::kNumber,
     .default_text = "0.2",
     .min_value = 0,
     .max_value = 1,
     .doc = "Retried connects that are admitted, as a fraction of first "
            "connects."},
    {.key = "zone_preference",
     .type = Type::kChoice,
     .default_text = "none",
     .choices = "none|same_zone",
     .doc = "Whether new flows are passed on to peers of the same availability "
            "zone first."},
    {.key = "silent_probe.idle_ms",
     .type = Type::kInteger,
     .default_text = "60000",
     .min_value = 1000,
     .max_value = 86400000,
     .doc = "An open flow without packets for this long is probed."},
    {.key = "silent_probe.interval_ms",
     .type = Type::kInteger,
     .default_text = "2000",
     .min_value = 100,
     .max_value = 600000,
     .doc = "Time between the probes of a flow."},
    {.key = "silent_probe.count",
     .type = Type::kInteger,
     .default_text = "5",
     .min_value = 2,
     .max_value = 20,
     .doc = "Number of unanswered probes after which a flow is ended."},
});

std::string_view SingularName(SettingType type) {
  switch (type) {
    case Type::kText:
      return "text";
    case Type::kName:
      return "name";
    case Type::kInteger:
      return "integer";
    case Type::kNumber:
      return "number";
    case Type::kChoice:
      return "choice";
    case Type::kEndpoint:
      return "endpoint";
    case Type::kServiceAddress:
      return "service address";
    case Type::kUrl:
      return "URL";
    case Type::kFilePath:
      return "file path";
    case Type::kHashKey:
      return "hash key";
    case Type::kCurveKey:
      return "CURVE key";
    case Type::kLabels:
      return "map of labels";
    case Type::kWeights:
      return "map of weights";
  }
  return "";
}

std::string RangeText(const SettingSchema& schema) {
  std::ostringstream text;
  if (schema.type == Type::kChoice) {
    for (const char it : schema.choices) {
      text << (it == '|' ? std::string(", ") : std::string(1, it));
    }
  } else if (schema.min_value != schema.max_value) {
    text.precision(15);
    text << schema.min_value << " to " << schema.max_value;
    if (schema.list || schema.type == Type::kLabels) {
      text << " entries";
    }
  }
  return text.str();
}

void AppendTable(std::span<const SettingSchema> schema,
                 std::ostringstream* out) {
  *out << "| key | type | range | default | meaning |\n"
       << "|---|---|---|---|---|\n";
  for (const SettingSchema& it : schema) {
    std::string fallback = "required";
    if (!it.required) {
      fallback = it.default_text.empty()
                     ? "-"
                     : "`" + std::string(it.default_text) + "`";
    }
    *out << "| `" << it.key << "` | " << TypeName(it) << " | " << RangeText(it)
         << " | " << fallback << " | " << it.doc;
    if (!it.only_for_role.empty()) {
      *out << " Only for role " << it.only_for_role << ".";
    }
    *out << " |\n";
  }
}

}  // namespace

std::span<const SettingSchema> ProcessSettingsSchema() {
  return kProcessSchema;
}

std::span<const SettingSchema> ServiceSchema() { return kServiceSchema; }

std::string TypeName(const SettingSchema& schema) {
  std::string name(SingularName(schema.type));
  if (!schema.list) {
    return name;
  }
  return "list of " + name +
         (schema.type == Type::kServiceAddress ? "es" : "s");
}

std::string SettingsReference() {
  std::ostringstream out;
  out << "# Settings\n\n"
         "This page is printed by `kumquatvalvectl settings-reference`; the "
         "table of keys is\n"
         "`packages/version/src/settings_schema.cc`.\n\n"
         "Files are YAML. A key with a dot is part of a section: `object_api.u"
         "rls` is the key `urls` of the section\n"
         "`object_api`. Unknown keys, wrong types and values out of range are "
         "errors with a number, file, line and key; all\n"
         "errors of a file are reported in one run. "
         "[result-codes.md](result-codes.md) has the numbers.\n\n"
         "- A name has at most 63 lower case letters, digits, `-` and `.` and "
         "begins and ends with a letter or digit.\n"
         "- An endpoint is `127.0.0.1:7000` or `[::1]:7000`; a service address "
         "also has a protocol: `127.0.0.1:80/tcp`.\n"
         "- A hash key has 64 hexadecimal digits, a CURVE key 40 characters "
         "of Z85.\n\n"
         "## Process\n\n"
         "`kumquatvalved --settings FILE` reads these once at its start; a "
         "change needs a restart.\n\n";
  AppendTable(kProcessSchema, &out);
  out << "\n## Service\n\n"
         "`kumquatvalvectl apply` takes a file with the key `services`, a map "
         "from `/teams/TEAM/services/NAME` to these\n"
         "keys. They may be changed at any time.\n\n";
  AppendTable(kServiceSchema, &out);
  return out.str();
}

}  // namespace kumquatvalve::version
