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

/// One error in a settings file.
struct SettingsError {
  request::ResultCode code = request::ResultCode::kOk;
  std::string file;
  /// Line number, from 1; 0 when the error has no line.
  int line = 0;
  /// Full key with its sections, for example "object_api.urls"; empty when the
  /// error concerns the whole file.
  std::string key;
  std::string detail;
};

/// Formats an error as "E304 unknown_key: FILE:LINE: KEY: detail".
std::string ToString(const SettingsError& error);

/// Reads a whole file.
/// @return nothing and `kUnreadableFile` when it cannot be read or is larger
///   than 1 MB.
std::optional<std::string> ReadSettingsFile(const std::string& file,
                                            std::vector<SettingsError>* errors);

/// Parses a text with one YAML document.
/// @return nothing and `kBadYaml` when it is not well-formed, not exactly one
///   document, or nested too deeply.
std::optional<YAML::Node> ParseYaml(const std::string& text,
                                    const std::string& file,
                                    std::vector<SettingsError>* errors);

/// Typed access to the values of a YAML map that matches a schema.
class SettingsReader {
 public:
  /// Validates every key of `root` against `schema`; all errors are appended to
  /// `errors`.
  /// @param prefix prepended to the keys in errors.
  /// @return nothing when there is an error.
  static std::optional<SettingsReader> Validate(
      const YAML::Node& root, std::span<const SettingSchema> schema,
      const std::string& file, const std::string& prefix,
      std::vector<SettingsError>* errors);

  /// Return the value of a key of the schema, or its default. Call the function
  /// that matches the type of the key.
  std::string Text(std::string_view key) const;
  uint64_t Integer(std::string_view key) const;
  double Number(std::string_view key) const;
  request::Endpoint Endpoint(std::string_view key) const;
  request::HashKey HashKey(std::string_view key) const;
  std::vector<std::string> List(std::string_view key) const;
  std::vector<request::Endpoint> Endpoints(std::string_view key) const;
  std::map<std::string, std::string> Map(std::string_view key) const;

  /// True when the file has the key.
  bool Has(std::string_view key) const { return values_.contains(key); }

  /// Line number of the key's value, from 1; 0 when the file does not have the
  /// key.
  int LineNumber(std::string_view key) const;

  /// Values of adjustable keys that were replaced, with the reason and the
  /// value in use. They are no errors.
  const std::vector<SettingsError>& adjustments() const { return adjustments_; }

 private:
  SettingsReader() = default;

  YAML::Node Value(std::string_view key) const;

  /// Values in the file, by full key; defaults are not included.
  std::map<std::string, YAML::Node, std::less<>> values_;
  std::span<const SettingSchema> schema_;
  std::vector<SettingsError> adjustments_;
};

/// True for a text of the form that `SettingType::kName` describes.
bool IsValidName(std::string_view text);

/// Reads and validates the settings file of a process.
/// @return nothing when the file has errors; all of them are appended to
///   `errors`.
std::optional<ProcessSettings> LoadProcessSettings(
    const std::string& file, std::vector<SettingsError>* errors);

/// Like `LoadProcessSettings`, but from a text; `file` is the file name in
/// errors.
std::optional<ProcessSettings> ParseProcessSettings(
    const std::string& text, const std::string& file,
    std::vector<SettingsError>* errors);

}  // namespace kumquatvalve::version

#endif  // KUMQUATVALVE_VERSION_SETTINGS_READER_H_
