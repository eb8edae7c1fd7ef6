#include "kumquatvalve/process/object_answer.h"

#include <absl/strings/escaping.h>

#include <utility>

namespace kumquatvalve::process {
namespace {

using Json = nlohmann::json;

std::nullopt_t BadAnswer(std::string detail, request::Failure* failure) {
  *failure = {request::ResultCode::kBadAnswer, std::move(detail)};
  return std::nullopt;
}

std::optional<Json> Parse(std::string_view text, request::Failure* failure) {
  Json value = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!value.is_object()) {
    return BadAnswer("the response is not a JSON object", failure);
  }
  return value;
}

std::optional<request::TableVersion> VersionOf(const Json& value,
                                               request::Failure* failure) {
  const auto it = value.find("version");
  if (it == value.end() || !it->is_number_unsigned()) {
    return BadAnswer("the response has no version", failure);
  }
  return request::TableVersion{it->get<uint64_t>()};
}

std::optional<std::string> BodyOf(const Json& value) {
  if (const auto it = value.find("body");
      it != value.end() && it->is_string()) {
    return it->get<std::string>();
  }
  std::string bytes;
  if (const auto it = value.find("body_base64");
      it != value.end() && it->is_string() &&
      absl::Base64Unescape(it->get_ref<const std::string&>(), &bytes)) {
    return bytes;
  }
  return std::nullopt;
}

bool IsDeletion(const Json& value) {
  const auto it = value.find("deleted");
  return it != value.end() && it->is_boolean() && it->get<bool>();
}

std::optional<StoredObject> ObjectOf(const Json& value, bool deleted,
                                     request::Failure* failure) {
  if (!value.is_object()) {
    return BadAnswer("an object in the response is not a JSON object", failure);
  }
  const auto path = value.find("path");
  if (path == value.end() || !path->is_string()) {
    return BadAnswer("an object in the response has no path", failure);
  }
  const auto version = VersionOf(value, failure);
  if (!version) {
    return std::nullopt;
  }
  std::optional<std::string> body;
  if (!deleted) {
    body = BodyOf(value);
    if (!body) {
      return BadAnswer("an object in the response has no valid body", failure);
    }
  }
  return StoredObject{path->get<std::string>(), *version,
                      std::move(body).value_or("")};
}

}  // namespace

std::optional<StoredObject> ParseObjectResponse(std::string_view text,
                                                request::Failure* failure) {
  const auto value = Parse(text, failure);
  return value ? ObjectOf(*value, /*deleted=*/false, failure) : std::nullopt;
}

std::optional<ObjectList> ParseListResponse(std::string_view text,
                                            request::Failure* failure) {
  const auto value = Parse(text, failure);
  if (!value) {
    return std::nullopt;
  }
  const auto version = VersionOf(*value, failure);
  if (!version) {
    return std::nullopt;
  }
  const auto items = value->find("items");
  if (items == value->end() || !items->is_array()) {
    return BadAnswer("the response has no items", failure);
  }
  ObjectList list{{}, *version};
  for (const Json& it : *items) {
    auto object = ObjectOf(it, /*deleted=*/false, failure);
    if (!object) {
      return std::nullopt;
    }
    list.items.push_back(std::move(*object));
  }
  return list;
}

std::optional<WatchAnswer> ParseWatchResponse(std::string_view text,
                                              request::Failure* failure) {
  const auto value = Parse(text, failure);
  if (!value) {
    return std::nullopt;
  }
  const auto version = VersionOf(*value, failure);
  if (!version) {
    return std::nullopt;
  }
  const auto events = value->find("events");
  if (events == value->end() || !events->is_array()) {
    return BadAnswer("the response has no events", failure);
  }
  WatchAnswer answer;
  answer.version = *version;
  for (const Json& it : *events) {
    const bool deleted = it.is_object() && IsDeletion(it);
    auto object = ObjectOf(it, deleted, failure);
    if (!object) {
      return std::nullopt;
    }
    answer.events.push_back({std::move(*object), deleted});
  }
  return answer;
}

std::optional<request::TableVersion> ParseWriteResponse(
    std::string_view text, request::Failure* failure) {
  const auto value = Parse(text, failure);
  return value ? VersionOf(*value, failure) : std::nullopt;
}

nlohmann::json WriteObject(const StoredObject& object) {
  Json value = {{"path", object.path}, {"version", object.version.value}};
  try {
    value["body"] = object.body;
    // Only dumping shows whether the text is valid UTF-8.
    (void)value["body"].dump();
  } catch (const Json::exception&) {
    value.erase("body");
    value["body_base64"] = absl::Base64Escape(object.body);
  }
  return value;
}

}  // namespace kumquatvalve::process
