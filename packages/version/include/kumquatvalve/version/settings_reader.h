#ifndef KUMQUATVALVE_VERSION_SETTINGS_READER_H_
#define KUMQUATVALVE_VERSION_SETTINGS_READER_H_

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/flow_hash.h"
#include "kumquatvalve/request/result_code.h"
#include "kumquatvalve/version/process_settings.h"
#include "kumquatvalve/version/settings_schema.h"

namespace kumquatvalve::version {

/// One fault of a settings file.
struct SettingsError {
  request::ResultCode code = request::ResultCode::kOk;
  std::string file;
  /// From 1; 0 when the fault has no line.
  int line = 0;
  /// With its sections, for example "object_api.urls"; empty for the file.
  std::string key;
  std::string detail;
};

/// "E304 unknown_key: FILE:LINE: KEY: detail".
std::string ToString(const SettingsError& error);

/// Text of a file; nothing and `kUnreadableFile` when it cannot be read or is
/// larger than 1 MB.
std::optional<std::string> ReadSettingsFile(const std::string& file,
                                            std::vector<SettingsError>* errors);

/// The YAML of a text; nothing and `kBadYaml` when it is not well-formed.
std::optional<YAML::Node> ParseYaml(const std::string& text,
                                    const std::string& file,
                                    std::vector<SettingsError>* errors);

/// Values of a YAML map that was checked against a schema.
class SettingsReader {
 public:
  /// Checks every key of `root` and reports all faults.
  /// @param prefix stands before the keys in errors.
  /// @return nothing when there was a fault.
  static std::optional<SettingsReader> Check(
      const YAML::Node& root, std::span<const SettingSchema> schema,
      const std::string& file, const std::string& prefix,
      std::vector<SettingsError>* errors);

  /// The value of a key of the schema, or its default.
  std::string Text(std::string_view key) const;
  uint64_t Integer(std::string_view key) const;
  double Number(std::string_view key) const;
  request::Endpoint Endpoint(std::string_view key) const;
  request::HashKey HashKey(std::string_view key) const;
  std::vector<std::string> List(std::string_view key) const;
  std::vector<request::Endpoint> Endpoints(std::string_view key) const;
  std::map<std::string, std::string> Map(std::string_view key) const;

  /// Whether the file has the key.
  bool Has(std::string_view key) const { return values_.contains(key); }

  /// Line of a key, 0 when it is not in the file.
  int Line(std::string_view key) const;

 private:
  SettingsReader() = default;

  YAML::Node Value(std::string_view key) const;

  /// Present values by key.
  std::map<std::string, YAML::Node, std::less<>> values_;
  std::span<const SettingSchema> schema_;
};

/// True for a name as `SettingType::kName` has it.
bool IsValidName(std::string_view text);

/// Reads and checks the settings of a process.
/// @return nothing when there was any fault; `errors` has all of them.
std::optional<ProcessSettings> LoadProcessSettings(
    const std::string& file, std::vector<SettingsError>* errors);

/// The same from a text; `file` stands in errors.
std::optional<ProcessSettings> ParseProcessSettings(
    const std::string& text, const std::string& file,
    std::vector<SettingsError>* errors);

}  // namespace kumquatvalve::version

#endif  // KUMQUATVALVE_VERSION_SETTINGS_READER_H_
