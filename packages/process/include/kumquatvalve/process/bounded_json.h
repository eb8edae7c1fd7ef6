#ifndef KUMQUATVALVE_PROCESS_BOUNDED_JSON_H_
#define KUMQUATVALVE_PROCESS_BOUNDED_JSON_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::process {

/// Limits of a JSON text that another process wrote. Copying and serializing a
/// parsed document recurses once for each level, so the depth bounds the stack
/// that it needs.
struct JsonLimits {
  size_t max_bytes = size_t{1} << 20;
  size_t max_depth = 32;
  /// Members of objects and elements of arrays, at all levels together.
  size_t max_values = 200000;
};

/// Parses a JSON text of any content without recursion and without exceptions.
/// @return nothing and `kValueTooLarge` when the text exceeds a limit;
///   `kBadAnswer` when it is not JSON, is not UTF-8, or has a number that
///   no type can hold.
std::optional<nlohmann::json> ParseBoundedJson(std::string_view text,
                                               const JsonLimits& limits,
                                               request::Failure* failure);

/// A member of a JSON object; both views point into the object's text.
struct JsonMember {
  /// The key as it is written, without its quotes; escapes are not decoded.
  std::string_view key;
  /// The text of the value, which has not been parsed.
  std::string_view value;
};

/// Finds the members of a JSON object, or the elements of an array, without
/// parsing their values: a value that cannot be parsed does not hide the
/// others. Only strings and the nesting of brackets are recognized.
/// @return nothing and `kBadAnswer` when the text is not an object (an array).
std::optional<std::vector<JsonMember>> SplitJsonObject(
    std::string_view text, request::Failure* failure);
std::optional<std::vector<std::string_view>> SplitJsonArray(
    std::string_view text, request::Failure* failure);

/// Returns the text of the value of `key`, nothing when there is no such
/// member. The last one counts when the key occurs more than once.
std::optional<std::string_view> FindMember(
    const std::vector<JsonMember>& members, std::string_view key);

/// Reads an integer between 0 and `max`. Returns nothing when the member is
/// missing, is of another type or is larger.
std::optional<uint64_t> ReadUnsigned(const nlohmann::json& object,
                                     const char* key, uint64_t max);

/// Reads a string of at most `max_bytes`. Returns nothing when the member is
/// missing, is of another type or is longer.
std::optional<std::string> ReadString(const nlohmann::json& object,
                                      const char* key, size_t max_bytes);

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_BOUNDED_JSON_H_
