#include "kumquatvalve/version/settings_reader.h"

#include <yaml-cpp/eventhandler.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <functional>
#include <set>
#include <sstream>
#include <utility>

#include "kumquatvalve/version/service_spec.h"

namespace kumquatvalve::version {
namespace {

using request::Failure;
using request::ResultCode;

constexpr std::streamsize kMaxFileBytes = std::streamsize{1} << 20;

constexpr size_t kMaxNameLength = 63;

// Deeper nesting is rejected before parsing: the YAML parser is recursive.
constexpr int kMaxNestingDepth = 32;

constexpr std::string_view kZ85 =
    "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
    ".-:+=^!/*?&<>()[]{}@%$#";
constexpr size_t kZ85KeyLength = 40;

constexpr size_t kHashKeyDigits = 64;
constexpr size_t kDigitsPerWord = 16;

int LineNumberOf(const YAML::Node& node) { return node.Mark().line + 1; }

template <typename T>
std::optional<T> ParseInteger(std::string_view text, int base = 10) {
  T value{};
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (ec != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::optional<double> ParseNumber(std::string_view text) {
  double value = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || end != text.data() + text.size() ||
      !std::isfinite(value)) {
    return std::nullopt;
  }
  return value;
}

// Quoted scalars have the tag "!"; a quoted number is a text, not a number.
bool IsPlainScalar(const YAML::Node& node) {
  return node.IsScalar() && node.Tag() != "!";
}

std::optional<request::HashKey> ParseHashKey(std::string_view text) {
  if (text.size() != kHashKeyDigits) {
    return std::nullopt;
  }
  request::HashKey key;
  for (size_t i = 0; i < key.size(); ++i) {
    const auto word = ParseInteger<uint64_t>(
        text.substr(i * kDigitsPerWord, kDigitsPerWord), 16);
    if (!word) {
      return std::nullopt;
    }
    key[i] = *word;
  }
  return key;
}

bool IsCurveKey(std::string_view text) {
  return text.size() == kZ85KeyLength &&
         text.find_first_not_of(kZ85) == text.npos;
}

bool IsUrl(std::string_view text) {
  constexpr std::string_view kHttp = "http://";
  constexpr std::string_view kHttps = "https://";
  size_t begin = 0;
  if (text.starts_with(kHttp)) {
    begin = kHttp.size();
  } else if (text.starts_with(kHttps)) {
    begin = kHttps.size();
  }
  return begin != 0 && begin < text.size() && text.back() != '/' &&
         text.find_first_of(" \t\r\n") == text.npos;
}

bool IsChoice(std::string_view text, std::string_view choices) {
  while (!text.empty() && !choices.empty()) {
    const size_t end = choices.find('|');
    if (choices.substr(0, end) == text) {
      return true;
    }
    choices = end == choices.npos ? "" : choices.substr(end + 1);
  }
  return false;
}

// Counts brackets in the whole text, also in comments and quotes. The parser
// itself limits the nesting of blocks.
bool IsNestedTooDeep(std::string_view text) {
  int depth = 0;
  for (const char it : text) {
    if (it == '[' || it == '{') {
      ++depth;
    } else if ((it == ']' || it == '}') && depth > 0) {
      --depth;
    }
    if (depth > kMaxNestingDepth) {
      return true;
    }
  }
  return false;
}

// Discards all events, to parse a document without building nodes.
class DiscardingEventHandler : public YAML::EventHandler {
 public:
  void OnDocumentStart(const YAML::Mark&) override {}
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark&, YAML::anchor_t) override {}
  void OnAlias(const YAML::Mark&, YAML::anchor_t) override {}
  void OnScalar(const YAML::Mark&, const std::string&, YAML::anchor_t,
                const std::string&) override {}
  void OnSequenceStart(const YAML::Mark&, const std::string&, YAML::anchor_t,
                       YAML::EmitterStyle::value) override {}
  void OnSequenceEnd() override {}
  void OnMapStart(const YAML::Mark&, const std::string&, YAML::anchor_t,
                  YAML::EmitterStyle::value) override {}
  void OnMapEnd() override {}
};

// Validates one file against a schema and collects its values and errors.
class SchemaChecker {
 public:
  SchemaChecker(std::span<const SettingSchema> schema, const std::string& file,
                const std::string& prefix, std::vector<SettingsError>* errors)
      : schema_(schema), file_(file), prefix_(prefix), errors_(errors) {}

  void CheckSection(const YAML::Node& node, const std::string& section) {
    if (!node.IsMap()) {
      AddError(ResultCode::kWrongType, LineNumberOf(node), section,
               "must be a map of keys");
      return;
    }
    std::set<std::string> seen;
    for (const auto& it : node) {
      if (!it.first.IsScalar()) {
        AddError(ResultCode::kWrongType, LineNumberOf(it.first), section,
                 "a key must be a scalar");
        continue;
      }
      const std::string key = section.empty()
                                  ? it.first.Scalar()
                                  : section + "." + it.first.Scalar();
      if (!seen.insert(key).second) {
        AddError(ResultCode::kDuplicateName, LineNumberOf(it.first), key,
                 "the key appears more than once");
        continue;
      }
      lines_[key] = LineNumberOf(it.first);
      if (const SettingSchema* schema = FindSchema(key)) {
        CheckEntry(*schema, it.second, key);
      } else if (IsSection(key)) {
        CheckSection(it.second, key);
      } else {
        AddError(ResultCode::kUnknownKey, LineNumberOf(it.first), key,
                 "there is no such key");
      }
    }
  }

  void CheckRequired(int line) {
    const auto role = values_.find("role");
    const std::string role_text =
        role == values_.end() ? "" : role->second.Scalar();
    for (const SettingSchema& it : schema_) {
      const bool present = lines_.contains(it.key);
      const bool applies =
          it.only_for_role.empty() || it.only_for_role == role_text;
      if (it.required && applies && !present) {
        AddError(ResultCode::kMissingKey, line, std::string(it.key),
                 "is required");
      } else if (present && !applies && !role_text.empty()) {
        AddError(ResultCode::kUnknownKey, lines_.find(it.key)->second,
                 std::string(it.key),
                 "is only allowed for role " + std::string(it.only_for_role));
      }
    }
  }

  std::map<std::string, YAML::Node, std::less<>> TakeValues() {
    return std::move(values_);
  }

  std::vector<SettingsError> TakeAdjustments() {
    return std::move(adjustments_);
  }

 private:
  void AddError(ResultCode code, int line, const std::string& key,
                std::string detail) {
    errors_->push_back({code, file_, line, prefix_ + key, std::move(detail)});
  }

  const SettingSchema* FindSchema(std::string_view key) const {
    for (const SettingSchema& it : schema_) {
      if (it.key == key) {
        return &it;
      }
    }
    return nullptr;
  }

  bool IsSection(const std::string& key) const {
    for (const SettingSchema& it : schema_) {
      if (it.key.starts_with(key + ".")) {
        return true;
      }
    }
    return false;
  }

  void CheckEntry(const SettingSchema& schema, const YAML::Node& node,
                  const std::string& key) {
    if (schema.adjustable) {
      AdjustNumber(schema, node, key);
      return;
    }
    const size_t before = errors_->size();
    if (schema.type == SettingType::kLabels ||
        schema.type == SettingType::kWeights) {
      CheckMap(schema, node, key);
    } else if (schema.list) {
      CheckList(schema, node, key);
    } else {
      CheckScalar(schema, node, key);
    }
    if (errors_->size() == before) {
      values_[key] = node;
    }
  }

  // Keeps a number that is in range, and replaces any other value.
  void AdjustNumber(const SettingSchema& schema, const YAML::Node& node,
                    const std::string& key) {
    const auto value =
        IsPlainScalar(node) ? ParseNumber(node.Scalar()) : std::nullopt;
    if (value && *value >= schema.min_value && *value <= schema.max_value) {
      values_[key] = node;
    } else if (value) {
      UseInstead(
          NumberText(std::clamp(*value, schema.min_value, schema.max_value)),
          {ResultCode::kOutOfRange, file_, LineNumberOf(node), prefix_ + key,
           node.Scalar() + " is not in the range " + RangeText(schema)});
    } else if (!node.IsNull()) {
      UseInstead(
          std::string(schema.unreadable_text.empty() ? schema.default_text
                                                     : schema.unreadable_text),
          {ResultCode::kWrongType, file_, LineNumberOf(node), prefix_ + key,
           "must be a number"});
    } else if (!schema.default_text.empty()) {
      UseInstead(std::string(schema.default_text),
                 {ResultCode::kMissingKey, file_, LineNumberOf(node),
                  prefix_ + key, "has no value"});
    }
  }

  // Sets the value of the adjustable key that `adjustment` names; the key
  // counts as absent when `text` is empty.
  void UseInstead(const std::string& text, SettingsError adjustment) {
    if (text.empty()) {
      adjustment.detail += "; it counts as absent";
    } else {
      adjustment.detail += "; " + text + " is used";
      values_[adjustment.key.substr(prefix_.size())] = YAML::Node(text);
    }
    adjustments_.push_back(std::move(adjustment));
  }

  void CheckList(const SettingSchema& schema, const YAML::Node& node,
                 const std::string& key) {
    if (!node.IsSequence()) {
      AddError(ResultCode::kWrongType, LineNumberOf(node), key,
               "must be a " + TypeName(schema));
      return;
    }
    const auto size = static_cast<double>(node.size());
    if (size < schema.min_value || size > schema.max_value) {
      AddError(ResultCode::kOutOfRange, LineNumberOf(node), key,
               "has " + std::to_string(node.size()) +
                   " entries; the allowed range is " + RangeText(schema));
    }
    std::set<std::string> seen;
    for (size_t i = 0; i < node.size(); ++i) {
      const std::string item = key + "[" + std::to_string(i) + "]";
      const size_t before = errors_->size();
      CheckScalar(schema, node[i], item);
      if (errors_->size() == before && !seen.insert(node[i].Scalar()).second) {
        AddError(
            schema.type == SettingType::kServiceAddress
                ? ResultCode::kOverlappingAddress
                : ResultCode::kDuplicateName,
            LineNumberOf(node[i]), item,
            "'" + node[i].Scalar() + "' appears in the list more than once");
      }
    }
  }

  void CheckMap(const SettingSchema& schema, const YAML::Node& node,
                const std::string& key) {
    if (!node.IsMap()) {
      AddError(ResultCode::kWrongType, LineNumberOf(node), key,
               "must be a " + TypeName(schema));
      return;
    }
    if (schema.type == SettingType::kLabels &&
        static_cast<double>(node.size()) > schema.max_value) {
      AddError(ResultCode::kOutOfRange, LineNumberOf(node), key,
               "has more than " +
                   std::to_string(static_cast<int>(schema.max_value)) +
                   " entries");
    }
    std::set<std::string> seen;
    for (const auto& it : node) {
      if (!it.first.IsScalar() || !it.second.IsScalar()) {
        AddError(ResultCode::kWrongType, LineNumberOf(it.first), key,
                 "keys and values must be scalars");
        continue;
      }
      const std::string& name = it.first.Scalar();
      std::string item = key;
      item.append(".").append(name);
      if (!IsValidName(name)) {
        AddError(ResultCode::kBadName, LineNumberOf(it.first), item,
                 "is not a valid name");
      } else if (!seen.insert(name).second) {
        AddError(ResultCode::kDuplicateName, LineNumberOf(it.first), item,
                 "the key appears more than once");
      } else if (schema.type == SettingType::kWeights) {
        CheckInteger(schema, it.second, item);
      }
    }
  }

  void CheckInteger(const SettingSchema& schema, const YAML::Node& node,
                    const std::string& key) {
    const auto value = IsPlainScalar(node)
                           ? ParseInteger<int64_t>(node.Scalar())
                           : std::nullopt;
    if (!value) {
      AddError(ResultCode::kWrongType, LineNumberOf(node), key,
               "must be an integer");
    } else if (static_cast<double>(*value) < schema.min_value ||
               static_cast<double>(*value) > schema.max_value) {
      AddError(ResultCode::kOutOfRange, LineNumberOf(node), key,
               node.Scalar() + " is not in the range " + RangeText(schema));
    }
  }

  void CheckScalar(const SettingSchema& schema, const YAML::Node& node,
                   const std::string& key) {
    if (!node.IsScalar()) {
      AddError(ResultCode::kWrongType, LineNumberOf(node), key,
               "must be a " + TypeName(schema));
      return;
    }
    const std::string& text = node.Scalar();
    const int line = LineNumberOf(node);
    Failure failure;
    switch (schema.type) {
      case SettingType::kText:
      case SettingType::kLabels:
      case SettingType::kWeights:
        return;
      case SettingType::kName:
        if (!IsValidName(text)) {
          AddError(ResultCode::kBadName, line, key,
                   "'" + text + "' is not a valid name");
        }
        return;
      case SettingType::kInteger:
        CheckInteger(schema, node, key);
        return;
      case SettingType::kNumber: {
        const auto value =
            IsPlainScalar(node) ? ParseNumber(text) : std::nullopt;
        if (!value) {
          AddError(ResultCode::kWrongType, line, key, "must be a number");
        } else if (*value < schema.min_value || *value > schema.max_value) {
          AddError(ResultCode::kOutOfRange, line, key,
                   text + " is not in the range " + RangeText(schema));
        }
        return;
      }
      case SettingType::kChoice:
        if (!IsChoice(text, schema.choices)) {
          AddError(
              ResultCode::kOutOfRange, line, key,
              "'" + text + "' is not one of " + std::string(schema.choices));
        }
        return;
      case SettingType::kEndpoint: {
        const auto endpoint = request::ParseEndpoint(text, &failure);
        if (!endpoint) {
          AddError(failure.code, line, key, failure.detail);
        } else if (endpoint->port == 0) {
          AddError(ResultCode::kOutOfRange, line, key, "port 0 is not allowed");
        }
        return;
      }
      case SettingType::kServiceAddress:
        if (!ParseServiceAddress(text, &failure)) {
          AddError(failure.code, line, key, failure.detail);
        }
        return;
      case SettingType::kUrl:
        if (!IsUrl(text)) {
          AddError(ResultCode::kBadAddress, line, key,
                   "'" + text + "' is not of the form http://HOST:PORT");
        }
        return;
      case SettingType::kFilePath:
        if (text.ends_with('/')) {
          AddError(ResultCode::kBadPath, line, key,
                   "'" + text + "' is a directory, not a file");
        }
        return;
      case SettingType::kHashKey:
        if (!ParseHashKey(text)) {
          AddError(ResultCode::kWrongType, line, key,
                   "must be 64 hexadecimal digits");
        }
        return;
      case SettingType::kCurveKey:
        if (!text.empty() && !IsCurveKey(text)) {
          AddError(ResultCode::kWrongType, line, key,
                   "must be 40 characters of Z85");
        }
        return;
    }
  }

  static std::string NumberText(double value) {
    std::ostringstream text;
    text.precision(15);
    text << value;
    return text.str();
  }

  static std::string RangeText(const SettingSchema& schema) {
    return NumberText(schema.min_value) + " to " + NumberText(schema.max_value);
  }

  std::span<const SettingSchema> schema_;
  const std::string& file_;
  const std::string& prefix_;
  std::vector<SettingsError>* errors_;
  std::map<std::string, YAML::Node, std::less<>> values_;
  std::map<std::string, int, std::less<>> lines_;
  std::vector<SettingsError> adjustments_;
};

// Reports invalid combinations of keys of a process.
void CheckKeyCombinations(const SettingsReader& reader, const std::string& file,
                          std::vector<SettingsError>* errors) {
  const auto add = [&](ResultCode code, std::string_view key,
                       std::string detail) {
    errors->push_back({code, file, reader.LineNumber(key), std::string(key),
                       std::move(detail)});
  };
  const bool sidecar = reader.Text("role") == "sidecar";
  const auto check_sockets = [&](std::vector<std::string_view> keys) {
    for (size_t i = 0; i < keys.size(); ++i) {
      for (size_t j = 0; j < i; ++j) {
        if (reader.Endpoint(keys[i]) == reader.Endpoint(keys[j])) {
          add(ResultCode::kOverlappingAddress, keys[i],
              "has the same endpoint as " + std::string(keys[j]));
        }
      }
    }
  };
  if (sidecar) {
    check_sockets({"data", "fabric", "upstream.data"});
    check_sockets({"control", "status", "upstream.announce"});
    if (reader.Integer("traffic_threads") != 1) {
      add(ResultCode::kOutOfRange, "traffic_threads",
          "must be 1 for a sidecar");
    }
  } else {
    check_sockets({"data", "fabric"});
    check_sockets({"control", "status"});
  }
  const bool has_public = !reader.Text("keys.curve_public").empty();
  const bool has_secret = !reader.Text("keys.curve_secret").empty();
  if (has_public != has_secret) {
    add(ResultCode::kMissingKey,
        has_public ? "keys.curve_secret" : "keys.curve_public",
        "is required when the other key of the pair is present");
  }
}

}  // namespace

std::string ToString(const SettingsError& error) {
  std::string where = error.file;
  if (error.line > 0) {
    where += ":" + std::to_string(error.line);
  }
  if (!error.key.empty()) {
    where += ": " + error.key;
  }
  return request::ToString(Failure{error.code, where + ": " + error.detail});
}

bool IsValidName(std::string_view text) {
  const auto is_edge = [](char it) {
    return (it >= 'a' && it <= 'z') || (it >= '0' && it <= '9');
  };
  if (text.empty() || text.size() > kMaxNameLength || !is_edge(text.front()) ||
      !is_edge(text.back())) {
    return false;
  }
  for (const char it : text) {
    if (!is_edge(it) && it != '-' && it != '.') {
      return false;
    }
  }
  return true;
}

std::optional<std::string> ReadSettingsFile(
    const std::string& file, std::vector<SettingsError>* errors) {
  std::ifstream stream(file, std::ios::binary);
  std::string text;
  if (stream) {
    text.resize(static_cast<size_t>(kMaxFileBytes) + 1);
    stream.read(text.data(), kMaxFileBytes + 1);
    text.resize(static_cast<size_t>(stream.gcount()));
  }
  // A directory can be opened, but reading it fails.
  if (!stream.eof()) {
    errors->push_back({ResultCode::kUnreadableFile, file, 0, "",
                       "cannot be read or is larger than 1 MB"});
    return std::nullopt;
  }
  return text;
}

std::optional<YAML::Node> ParseYaml(const std::string& text,
                                    const std::string& file,
                                    std::vector<SettingsError>* errors) {
  if (IsNestedTooDeep(text)) {
    errors->push_back(
        {ResultCode::kBadYaml, file, 0, "", "brackets are nested too deeply"});
    return std::nullopt;
  }
  try {
    // YAML::LoadAll does not terminate for some malformed texts, so at most two
    // documents are parsed.
    std::istringstream stream(text);
    YAML::Parser parser(stream);
    DiscardingEventHandler handler;
    if (!parser.HandleNextDocument(handler) ||
        parser.HandleNextDocument(handler)) {
      errors->push_back({ResultCode::kBadYaml, file, 0, "",
                         "must contain exactly one YAML document"});
      return std::nullopt;
    }
    return YAML::Load(text);
  } catch (const YAML::Exception& ec) {
    errors->push_back(
        {ResultCode::kBadYaml, file, ec.mark.line + 1, "", ec.msg});
    return std::nullopt;
  }
}

std::optional<SettingsReader> SettingsReader::Validate(
    const YAML::Node& root, std::span<const SettingSchema> schema,
    const std::string& file, const std::string& prefix,
    std::vector<SettingsError>* errors) {
  const size_t before = errors->size();
  SchemaChecker schema_checker(schema, file, prefix, errors);
  schema_checker.CheckSection(root, "");
  if (root.IsMap()) {
    schema_checker.CheckRequired(LineNumberOf(root));
  }
  if (errors->size() != before) {
    return std::nullopt;
  }
  SettingsReader reader;
  reader.schema_ = schema;
  reader.values_ = schema_checker.TakeValues();
  reader.adjustments_ = schema_checker.TakeAdjustments();
  return reader;
}

YAML::Node SettingsReader::Value(std::string_view key) const {
  const auto it = values_.find(key);
  if (it != values_.end()) {
    return it->second;
  }
  for (const SettingSchema& schema : schema_) {
    if (schema.key == key && !schema.default_text.empty()) {
      return YAML::Load(std::string(schema.default_text));
    }
  }
  return YAML::Node("");
}

std::string SettingsReader::Text(std::string_view key) const {
  return Value(key).Scalar();
}

uint64_t SettingsReader::Integer(std::string_view key) const {
  return ParseInteger<uint64_t>(Text(key)).value_or(0);
}

double SettingsReader::Number(std::string_view key) const {
  return ParseNumber(Text(key)).value_or(0);
}

request::Endpoint SettingsReader::Endpoint(std::string_view key) const {
  Failure failure;
  return request::ParseEndpoint(Text(key), &failure)
      .value_or(request::Endpoint{});
}

request::HashKey SettingsReader::HashKey(std::string_view key) const {
  return ParseHashKey(Text(key)).value_or(request::HashKey{});
}

std::vector<std::string> SettingsReader::List(std::string_view key) const {
  std::vector<std::string> list;
  for (const YAML::Node& it : Value(key)) {
    list.push_back(it.Scalar());
  }
  return list;
}

std::vector<request::Endpoint> SettingsReader::Endpoints(
    std::string_view key) const {
  Failure failure;
  std::vector<request::Endpoint> endpoints;
  for (const std::string& it : List(key)) {
    endpoints.push_back(
        request::ParseEndpoint(it, &failure).value_or(request::Endpoint{}));
  }
  return endpoints;
}

std::map<std::string, std::string> SettingsReader::Map(
    std::string_view key) const {
  std::map<std::string, std::string> map;
  for (const auto& it : Value(key)) {
    map[it.first.Scalar()] = it.second.Scalar();
  }
  return map;
}

int SettingsReader::LineNumber(std::string_view key) const {
  const auto it = values_.find(key);
  return it == values_.end() ? 0 : LineNumberOf(it->second);
}

std::optional<ProcessSettings> ParseProcessSettings(
    const std::string& text, const std::string& file,
    std::vector<SettingsError>* errors) {
  const size_t before = errors->size();
  const auto root = ParseYaml(text, file, errors);
  if (!root) {
    return std::nullopt;
  }
  const auto reader = SettingsReader::Validate(*root, ProcessSettingsSchema(),
                                               file, "", errors);
  if (!reader) {
    return std::nullopt;
  }
  CheckKeyCombinations(*reader, file, errors);
  if (errors->size() != before) {
    return std::nullopt;
  }
  ProcessSettings settings;
  settings.role =
      reader->Text("role") == "entry" ? Role::kEntry : Role::kSidecar;
  settings.instance = request::InstanceName(reader->Text("instance"));
  settings.availability_zone =
      request::AvailabilityZone(reader->Text("availability_zone"));
  settings.region = request::Region(reader->Text("region"));
  settings.data = reader->Endpoint("data");
  settings.control = reader->Endpoint("control");
  settings.status = reader->Endpoint("status");
  settings.fabric = reader->Endpoint("fabric");
  settings.seeds = reader->Endpoints("seeds");
  settings.object_api.urls = reader->List("object_api.urls");
  settings.object_api.token_file = reader->Text("object_api.token_file");
  settings.object_api.timeout =
      std::chrono::milliseconds(reader->Integer("object_api.timeout_ms"));
  settings.object_api.calls_per_second =
      reader->Number("object_api.calls_per_second");
  settings.keys.flow_hash = reader->HashKey("keys.flow_hash");
  settings.keys.forward = reader->HashKey("keys.forward");
  settings.keys.curve_public = reader->Text("keys.curve_public");
  settings.keys.curve_secret = reader->Text("keys.curve_secret");
  settings.keys.accepted_public = reader->List("keys.accepted_public");
  if (settings.role == Role::kSidecar) {
    settings.upstream = UpstreamSettings{
        reader->Endpoint("upstream.data"),
        reader->Endpoint("upstream.announce"),
        static_cast<uint32_t>(reader->Integer("upstream.max_flows"))};
  }
  settings.traffic_threads =
      static_cast<uint32_t>(reader->Integer("traffic_threads"));
  settings.log_format = reader->Text("log_format");
  settings.log_level = reader->Text("log_level");
  settings.trace_file = reader->Text("trace_file");
  settings.trace_one_in =
      static_cast<uint32_t>(reader->Integer("trace_one_in"));
  settings.drain_timeout =
      std::chrono::seconds(reader->Integer("drain_timeout_s"));
  return settings;
}

std::optional<ProcessSettings> LoadProcessSettings(
    const std::string& file, std::vector<SettingsError>* errors) {
  const auto text = ReadSettingsFile(file, errors);
  return text ? ParseProcessSettings(*text, file, errors) : std::nullopt;
}

}  // namespace kumquatvalve::version
