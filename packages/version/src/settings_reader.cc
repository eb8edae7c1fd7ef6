#include "kumquatvalve/version/settings_reader.h"

#include <yaml-cpp/eventhandler.h>

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

constexpr std::streamsize kMostFileBytes = std::streamsize{1} << 20;

constexpr size_t kLongestName = 63;

// Deeper YAML is refused before it is parsed: the parser recurses.
constexpr int kDeepestNesting = 32;

constexpr std::string_view kZ85 =
    "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
    ".-:+=^!/*?&<>()[]{}@%$#";
constexpr size_t kZ85KeyLength = 40;

constexpr size_t kHashKeyDigits = 64;
constexpr size_t kDigitsPerWord = 16;

int LineOf(const YAML::Node& node) { return node.Mark().line + 1; }

template <typename T>
std::optional<T> ParseWhole(std::string_view text, int base = 10) {
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

// A quoted number is a text.
bool IsPlainScalar(const YAML::Node& node) {
  return node.IsScalar() && node.Tag() != "!";
}

std::optional<request::HashKey> ParseHashKey(std::string_view text) {
  if (text.size() != kHashKeyDigits) {
    return std::nullopt;
  }
  request::HashKey key;
  for (size_t i = 0; i < key.size(); ++i) {
    const auto word = ParseWhole<uint64_t>(
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

// Depth of brackets, over all text. Block nesting is bounded by the parser.
bool TooDeep(std::string_view text) {
  int depth = 0;
  for (const char it : text) {
    if (it == '[' || it == '{') {
      ++depth;
    } else if ((it == ']' || it == '}') && depth > 0) {
      --depth;
    }
    if (depth > kDeepestNesting) {
      return true;
    }
  }
  return false;
}

// Parses without building anything.
class NullHandler : public YAML::EventHandler {
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

// Checks one file against a schema and collects values and faults.
class Checker {
 public:
  Checker(std::span<const SettingSchema> schema, const std::string& file,
          const std::string& prefix, std::vector<SettingsError>* errors)
      : schema_(schema), file_(file), prefix_(prefix), errors_(errors) {}

  void Section(const YAML::Node& node, const std::string& section) {
    if (!node.IsMap()) {
      Error(ResultCode::kWrongType, LineOf(node), section,
            "must be a map of keys");
      return;
    }
    std::set<std::string> seen;
    for (const auto& it : node) {
      if (!it.first.IsScalar()) {
        Error(ResultCode::kWrongType, LineOf(it.first), section,
              "a key must be a plain text");
        continue;
      }
      const std::string key = section.empty()
                                  ? it.first.Scalar()
                                  : section + "." + it.first.Scalar();
      if (!seen.insert(key).second) {
        Error(ResultCode::kDuplicateName, LineOf(it.first), key,
              "the key stands here twice");
        continue;
      }
      lines_[key] = LineOf(it.first);
      if (const SettingSchema* row = Find(key)) {
        Entry(*row, it.second, key);
      } else if (IsSection(key)) {
        Section(it.second, key);
      } else {
        Error(ResultCode::kUnknownKey, LineOf(it.first), key,
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
        Error(ResultCode::kMissingKey, line, std::string(it.key),
              "is required");
      } else if (present && !applies && !role_text.empty()) {
        Error(ResultCode::kUnknownKey, lines_.find(it.key)->second,
              std::string(it.key),
              "is only for role " + std::string(it.only_for_role));
      }
    }
  }

  std::map<std::string, YAML::Node, std::less<>> TakeValues() {
    return std::move(values_);
  }

 private:
  void Error(ResultCode code, int line, const std::string& key,
             std::string detail) {
    errors_->push_back({code, file_, line, prefix_ + key, std::move(detail)});
  }

  const SettingSchema* Find(std::string_view key) const {
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

  void Entry(const SettingSchema& row, const YAML::Node& node,
             const std::string& key) {
    const size_t before = errors_->size();
    if (row.type == SettingType::kLabels || row.type == SettingType::kWeights) {
      MapEntry(row, node, key);
    } else if (row.list) {
      ListEntry(row, node, key);
    } else {
      Scalar(row, node, key);
    }
    if (errors_->size() == before) {
      values_[key] = node;
    }
  }

  void ListEntry(const SettingSchema& row, const YAML::Node& node,
                 const std::string& key) {
    if (!node.IsSequence()) {
      Error(ResultCode::kWrongType, LineOf(node), key,
            "must be a " + TypeName(row));
      return;
    }
    const auto size = static_cast<double>(node.size());
    if (size < row.least || size > row.most) {
      Error(ResultCode::kOutOfRange, LineOf(node), key,
            "has " + std::to_string(node.size()) + " entries, allowed are " +
                RangeOf(row));
    }
    std::set<std::string> seen;
    for (size_t i = 0; i < node.size(); ++i) {
      const std::string item = key + "[" + std::to_string(i) + "]";
      const size_t before = errors_->size();
      Scalar(row, node[i], item);
      if (errors_->size() == before && !seen.insert(node[i].Scalar()).second) {
        Error(row.type == SettingType::kServiceAddress
                  ? ResultCode::kOverlappingAddress
                  : ResultCode::kDuplicateName,
              LineOf(node[i]), item,
              "'" + node[i].Scalar() + "' stands in the list twice");
      }
    }
  }

  void MapEntry(const SettingSchema& row, const YAML::Node& node,
                const std::string& key) {
    if (!node.IsMap()) {
      Error(ResultCode::kWrongType, LineOf(node), key,
            "must be a " + TypeName(row));
      return;
    }
    if (row.type == SettingType::kLabels &&
        static_cast<double>(node.size()) > row.most) {
      Error(ResultCode::kOutOfRange, LineOf(node), key,
            "has more than " + std::to_string(static_cast<int>(row.most)) +
                " entries");
    }
    std::set<std::string> seen;
    for (const auto& it : node) {
      if (!it.first.IsScalar() || !it.second.IsScalar()) {
        Error(ResultCode::kWrongType, LineOf(it.first), key,
              "keys and values must be plain texts");
        continue;
      }
      const std::string& name = it.first.Scalar();
      std::string item = key;
      item.append(".").append(name);
      if (!IsValidName(name)) {
        Error(ResultCode::kBadName, LineOf(it.first), item, "is not a name");
      } else if (!seen.insert(name).second) {
        Error(ResultCode::kDuplicateName, LineOf(it.first), item,
              "the key stands here twice");
      } else if (row.type == SettingType::kWeights) {
        Integer(row, it.second, item);
      }
    }
  }

  void Integer(const SettingSchema& row, const YAML::Node& node,
               const std::string& key) {
    const auto value =
        IsPlainScalar(node) ? ParseWhole<int64_t>(node.Scalar()) : std::nullopt;
    if (!value) {
      Error(ResultCode::kWrongType, LineOf(node), key, "must be an integer");
    } else if (static_cast<double>(*value) < row.least ||
               static_cast<double>(*value) > row.most) {
      Error(ResultCode::kOutOfRange, LineOf(node), key,
            node.Scalar() + " is not in the range " + RangeOf(row));
    }
  }

  void Scalar(const SettingSchema& row, const YAML::Node& node,
              const std::string& key) {
    if (!node.IsScalar()) {
      Error(ResultCode::kWrongType, LineOf(node), key,
            "must be a " + TypeName(row));
      return;
    }
    const std::string& text = node.Scalar();
    const int line = LineOf(node);
    Failure failure;
    switch (row.type) {
      case SettingType::kText:
      case SettingType::kLabels:
      case SettingType::kWeights:
        return;
      case SettingType::kName:
        if (!IsValidName(text)) {
          Error(ResultCode::kBadName, line, key,
                "'" + text + "' is not a name");
        }
        return;
      case SettingType::kInteger:
        Integer(row, node, key);
        return;
      case SettingType::kNumber: {
        const auto value =
            IsPlainScalar(node) ? ParseNumber(text) : std::nullopt;
        if (!value) {
          Error(ResultCode::kWrongType, line, key, "must be a number");
        } else if (*value < row.least || *value > row.most) {
          Error(ResultCode::kOutOfRange, line, key,
                text + " is not in the range " + RangeOf(row));
        }
        return;
      }
      case SettingType::kChoice:
        if (!IsChoice(text, row.choices)) {
          Error(ResultCode::kOutOfRange, line, key,
                "'" + text + "' is not one of " + std::string(row.choices));
        }
        return;
      case SettingType::kEndpoint: {
        const auto endpoint = request::ParseEndpoint(text, &failure);
        if (!endpoint) {
          Error(failure.code, line, key, failure.detail);
        } else if (endpoint->port == 0) {
          Error(ResultCode::kOutOfRange, line, key, "port 0 is not allowed");
        }
        return;
      }
      case SettingType::kServiceAddress:
        if (!ParseServiceAddress(text, &failure)) {
          Error(failure.code, line, key, failure.detail);
        }
        return;
      case SettingType::kUrl:
        if (!IsUrl(text)) {
          Error(ResultCode::kBadAddress, line, key,
                "'" + text + "' is not of the form http://HOST:PORT");
        }
        return;
      case SettingType::kFilePath:
        if (text.ends_with('/')) {
          Error(ResultCode::kBadPath, line, key,
                "'" + text + "' is a directory, not a file");
        }
        return;
      case SettingType::kHashKey:
        if (!ParseHashKey(text)) {
          Error(ResultCode::kWrongType, line, key,
                "must be 64 hexadecimal digits");
        }
        return;
      case SettingType::kCurveKey:
        if (!text.empty() && !IsCurveKey(text)) {
          Error(ResultCode::kWrongType, line, key,
                "must be 40 characters of Z85");
        }
        return;
    }
  }

  static std::string RangeOf(const SettingSchema& row) {
    std::ostringstream text;
    text.precision(15);
    text << row.least << " to " << row.most;
    return text.str();
  }

  std::span<const SettingSchema> schema_;
  const std::string& file_;
  const std::string& prefix_;
  std::vector<SettingsError>* errors_;
  std::map<std::string, YAML::Node, std::less<>> values_;
  std::map<std::string, int, std::less<>> lines_;
};

// Faults that concern several keys of a process.
void CheckTogether(const SettingsReader& reader, const std::string& file,
                   std::vector<SettingsError>* errors) {
  const auto add = [&](ResultCode code, std::string_view key,
                       std::string detail) {
    errors->push_back(
        {code, file, reader.Line(key), std::string(key), std::move(detail)});
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
      add(ResultCode::kOutOfRange, "traffic_threads", "a sidecar uses one");
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
        "is required with the other key of the pair");
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
  if (text.empty() || text.size() > kLongestName || !is_edge(text.front()) ||
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
    text.resize(static_cast<size_t>(kMostFileBytes) + 1);
    stream.read(text.data(), kMostFileBytes + 1);
    text.resize(static_cast<size_t>(stream.gcount()));
  }
  // Reading a directory opens it and then fails.
  if (!stream.eof()) {
    errors->push_back({ResultCode::kUnreadableFile, file, 0, "",
                       "cannot be read or has more than 1 MB"});
    return std::nullopt;
  }
  return text;
}

std::optional<YAML::Node> ParseYaml(const std::string& text,
                                    const std::string& file,
                                    std::vector<SettingsError>* errors) {
  if (TooDeep(text)) {
    errors->push_back(
        {ResultCode::kBadYaml, file, 0, "", "brackets are nested too deep"});
    return std::nullopt;
  }
  try {
    // YAML::LoadAll does not end for some texts that are no YAML, so that at
    // most two documents are looked for.
    std::istringstream stream(text);
    YAML::Parser parser(stream);
    NullHandler handler;
    if (!parser.HandleNextDocument(handler) ||
        parser.HandleNextDocument(handler)) {
      errors->push_back(
          {ResultCode::kBadYaml, file, 0, "", "must be one document"});
      return std::nullopt;
    }
    return YAML::Load(text);
  } catch (const YAML::Exception& ec) {
    errors->push_back(
        {ResultCode::kBadYaml, file, ec.mark.line + 1, "", ec.msg});
    return std::nullopt;
  }
}

std::optional<SettingsReader> SettingsReader::Check(
    const YAML::Node& root, std::span<const SettingSchema> schema,
    const std::string& file, const std::string& prefix,
    std::vector<SettingsError>* errors) {
  const size_t before = errors->size();
  Checker checker(schema, file, prefix, errors);
  checker.Section(root, "");
  if (root.IsMap()) {
    checker.CheckRequired(LineOf(root));
  }
  if (errors->size() != before) {
    return std::nullopt;
  }
  SettingsReader reader;
  reader.schema_ = schema;
  reader.values_ = checker.TakeValues();
  return reader;
}

YAML::Node SettingsReader::Value(std::string_view key) const {
  const auto it = values_.find(key);
  if (it != values_.end()) {
    return it->second;
  }
  for (const SettingSchema& row : schema_) {
    if (row.key == key && !row.default_text.empty()) {
      return YAML::Load(std::string(row.default_text));
    }
  }
  return YAML::Node("");
}

std::string SettingsReader::Text(std::string_view key) const {
  return Value(key).Scalar();
}

uint64_t SettingsReader::Integer(std::string_view key) const {
  return ParseWhole<uint64_t>(Text(key)).value_or(0);
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

int SettingsReader::Line(std::string_view key) const {
  const auto it = values_.find(key);
  return it == values_.end() ? 0 : LineOf(it->second);
}

std::optional<ProcessSettings> ParseProcessSettings(
    const std::string& text, const std::string& file,
    std::vector<SettingsError>* errors) {
  const size_t before = errors->size();
  const auto root = ParseYaml(text, file, errors);
  if (!root) {
    return std::nullopt;
  }
  const auto reader =
      SettingsReader::Check(*root, ProcessSettingsSchema(), file, "", errors);
  if (!reader) {
    return std::nullopt;
  }
  CheckTogether(*reader, file, errors);
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
