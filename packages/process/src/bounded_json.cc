#include "kumquatvalve/process/bounded_json.h"

#include <algorithm>
#include <utility>

namespace kumquatvalve::process {
namespace {

using request::Failure;
using request::ResultCode;

std::nullopt_t Fail(ResultCode code, std::string detail, Failure* failure) {
  *failure = {code, std::move(detail)};
  return std::nullopt;
}

// Reads a JSON text from left to right.
class Scanner {
 public:
  explicit Scanner(std::string_view text) : text_(text) {}

  bool AtEnd() const { return at_ == text_.size(); }
  char Peek() const { return AtEnd() ? '\0' : text_[at_]; }

  void SkipSpace() {
    while (!AtEnd() && kSpace.find(text_[at_]) != std::string_view::npos) {
      ++at_;
    }
  }

  /// Skips white space and then `expected`, if that is next.
  bool Accept(char expected) {
    SkipSpace();
    if (Peek() != expected) {
      return false;
    }
    ++at_;
    return true;
  }

  /// Reads a string with its quotes; nothing when there is none or it does not
  /// end.
  std::optional<std::string_view> TakeString() {
    SkipSpace();
    if (Peek() != '"') {
      return std::nullopt;
    }
    const size_t start = at_++;
    while (!AtEnd()) {
      const char c = text_[at_++];
      if (c == '\\' && !AtEnd()) {
        ++at_;
      } else if (c == '"') {
        return text_.substr(start, at_ - start);
      }
    }
    return std::nullopt;
  }

  /// Reads one value of any type up to the next comma or closing bracket of
  /// its parent; nothing when there is none or its brackets do not close.
  std::optional<std::string_view> TakeValue() {
    SkipSpace();
    const size_t start = at_;
    size_t depth = 0;
    while (!AtEnd()) {
      const char c = text_[at_];
      if (c == '"') {
        if (!TakeString()) {
          return std::nullopt;
        }
        continue;
      }
      const bool closes = c == ']' || c == '}';
      if (depth == 0 && (closes || c == ',')) {
        break;
      }
      if (c == '[' || c == '{') {
        ++depth;
      } else if (closes) {
        --depth;
      }
      ++at_;
    }
    if (depth != 0 || at_ == start) {
      return std::nullopt;
    }
    const size_t last = text_.find_last_not_of(kSpace, at_ - 1);
    return text_.substr(start, last + 1 - start);
  }

 private:
  static constexpr std::string_view kSpace = " \t\r\n";

  std::string_view text_;
  size_t at_ = 0;
};

// Counts nesting and values of a text without parsing it.
bool IsWithinLimits(std::string_view text, const JsonLimits& limits,
                    Failure* failure) {
  if (text.size() > limits.max_bytes) {
    Fail(ResultCode::kValueTooLarge,
         std::to_string(text.size()) + " bytes of JSON, at most " +
             std::to_string(limits.max_bytes),
         failure);
    return false;
  }
  size_t depth = 0;
  size_t deepest = 0;
  size_t values = 0;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') {
        ++i;
      } else if (c == '"') {
        in_string = false;
      }
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      deepest = std::max(deepest, ++depth);
      ++values;
    } else if (c == ']' || c == '}') {
      depth -= depth == 0 ? 0 : 1;
    } else if (c == ',') {
      ++values;
    }
  }
  if (deepest > limits.max_depth || values > limits.max_values) {
    Fail(ResultCode::kValueTooLarge,
         "JSON with " + std::to_string(deepest) + " levels and " +
             std::to_string(values) + " values, at most " +
             std::to_string(limits.max_depth) + " and " +
             std::to_string(limits.max_values),
         failure);
    return false;
  }
  return true;
}

}  // namespace

std::optional<nlohmann::json> ParseBoundedJson(std::string_view text,
                                               const JsonLimits& limits,
                                               Failure* failure) {
  if (!IsWithinLimits(text, limits, failure)) {
    return std::nullopt;
  }
  auto value = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (value.is_discarded()) {
    return Fail(ResultCode::kBadAnswer, "not valid JSON", failure);
  }
  return value;
}

std::optional<std::vector<JsonMember>> SplitJsonObject(std::string_view text,
                                                       Failure* failure) {
  Scanner scanner(text);
  std::vector<JsonMember> members;
  if (!scanner.Accept('{')) {
    return Fail(ResultCode::kBadAnswer, "not a JSON object", failure);
  }
  bool closed = scanner.Accept('}');
  while (!closed) {
    const auto key = scanner.TakeString();
    if (!key || !scanner.Accept(':')) {
      return Fail(ResultCode::kBadAnswer, "a JSON object without keys",
                  failure);
    }
    const auto value = scanner.TakeValue();
    closed = value && scanner.Accept('}');
    if (!value || (!closed && !scanner.Accept(','))) {
      return Fail(ResultCode::kBadAnswer, "a JSON object that does not end",
                  failure);
    }
    members.push_back({key->substr(1, key->size() - 2), *value});
  }
  scanner.SkipSpace();
  if (!scanner.AtEnd()) {
    return Fail(ResultCode::kBadAnswer, "text after a JSON object", failure);
  }
  return members;
}

std::optional<std::vector<std::string_view>> SplitJsonArray(
    std::string_view text, Failure* failure) {
  Scanner scanner(text);
  std::vector<std::string_view> elements;
  if (!scanner.Accept('[')) {
    return Fail(ResultCode::kBadAnswer, "not a JSON array", failure);
  }
  bool closed = scanner.Accept(']');
  while (!closed) {
    const auto value = scanner.TakeValue();
    closed = value && scanner.Accept(']');
    if (!value || (!closed && !scanner.Accept(','))) {
      return Fail(ResultCode::kBadAnswer, "a JSON array that does not end",
                  failure);
    }
    elements.push_back(*value);
  }
  scanner.SkipSpace();
  if (!scanner.AtEnd()) {
    return Fail(ResultCode::kBadAnswer, "text after a JSON array", failure);
  }
  return elements;
}

std::optional<std::string_view> FindMember(
    const std::vector<JsonMember>& members, std::string_view key) {
  const auto it = std::find_if(members.rbegin(), members.rend(),
                               [key](const auto& it) { return it.key == key; });
  return it == members.rend() ? std::nullopt : std::optional(it->value);
}

std::optional<uint64_t> ReadUnsigned(const nlohmann::json& object,
                                     const char* key, uint64_t max) {
  // `find` returns the end for a value that is not an object.
  const auto it = object.find(key);
  if (it == object.end() || !it->is_number_unsigned() ||
      it->get<uint64_t>() > max) {
    return std::nullopt;
  }
  return it->get<uint64_t>();
}

std::optional<std::string> ReadString(const nlohmann::json& object,
                                      const char* key, size_t max_bytes) {
  const auto it = object.find(key);
  if (it == object.end() || !it->is_string() ||
      it->get_ref<const std::string&>().size() > max_bytes) {
    return std::nullopt;
  }
  return it->get<std::string>();
}

}  // namespace kumquatvalve::process
