#ifndef KUMQUATVALVE_VERSION_SETTINGS_SCHEMA_H_
#define KUMQUATVALVE_VERSION_SETTINGS_SCHEMA_H_

#include <span>
#include <string>
#include <string_view>

namespace kumquatvalve::version {

enum class SettingType {
  kText,
  /// At most 63 lower case letters, digits, '-' and '.', beginning and ending
  /// with a letter or digit.
  kName,
  kInteger,
  kNumber,
  /// One of the texts in `choices`.
  kChoice,
  /// "127.0.0.1:7000" or "[::1]:7000".
  kEndpoint,
  /// "127.0.0.1:80/tcp" or "[::1]:53/udp".
  kServiceAddress,
  /// "http://HOST:PORT" or "https://HOST:PORT".
  kUrl,
  kFilePath,
  /// 64 hexadecimal digits.
  kHashKey,
  /// 40 characters of Z85.
  kCurveKey,
  /// A map from names to texts.
  kLabels,
  /// A map from instance names to integers.
  kWeights,
};

/// One key of a settings file.
struct SettingSchema {
  /// Full key; sections are separated by '.', for example "object_api.urls".
  std::string_view key;
  SettingType type = SettingType::kText;
  /// The value is a list whose elements have the type `type`.
  bool list = false;
  bool required = false;
  /// Default value, written as in a file.
  std::string_view default_text;
  /// Inclusive range of integers and numbers, of the length of a list or a map
  /// of labels, and of the integers in a map of weights.
  double min_value = 0;
  double max_value = 0;
  /// Allowed values of a `kChoice`, separated by '|'.
  std::string_view choices;
  /// The platform fills in this number, so no value of it is an error: one that
  /// is out of range is replaced by the nearest in range, one that is empty or
  /// cannot be read by `unreadable_text` or else the default. Each replacement
  /// is reported (`SettingsReader::adjustments`).
  bool adjustable = false;
  /// Value in place of one that cannot be read, for a key without a default.
  std::string_view unreadable_text;
  /// When not empty, the key is allowed, and `required` applies, only in files
  /// with this `role`.
  std::string_view only_for_role;
  /// Meaning of the key, in Markdown, for docs/settings.md.
  std::string_view doc;
};

/// The keys of a process settings file (`ProcessSettings`).
std::span<const SettingSchema> ProcessSettingsSchema();

/// The keys of a service (`ServiceSpec`).
std::span<const SettingSchema> ServiceSchema();

/// Returns the type as docs/settings.md names it, for example "integer" or
/// "list of endpoints".
std::string TypeName(const SettingSchema& schema);

/// Returns the text of docs/settings.md.
std::string SettingsReference();

}  // namespace kumquatvalve::version

#endif  // KUMQUATVALVE_VERSION_SETTINGS_SCHEMA_H_
