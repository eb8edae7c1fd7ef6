#include "kumquatvalve/process/object_answer.h"

#include <absl/strings/escaping.h>

#include <utility>

namespace kumquatvalve::process {
namespace {

using Json = nlohmann::json;

// Sets `failure` for a response that violates the protocol.
std::nullopt_t RejectResponse(std::string detail, request::Failure* failure) {
  *failure = {request::ResultCode::kBadAnswer, std::move(detail)};
  return std::nullopt;
}

std::optional<Json> ParseJsonObject(std::string_view text,
                                    request::Failure* failure) {
  Json value = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!value.is_object()) {
    return RejectResponse("the response is not a JSON object", failure);
  }
  return value;
}

std::optional<request::TableVersion> ReadVersion(const Json& value,
                                                 request::Failure* failure) {
  const auto it = value.find("version");
  if (it == value.end() || !it->is_number_unsigned()) {
    return RejectResponse("the response has no version", failure);
  }
  return request::TableVersion{it->get<uint64_t>()};
}

std::optional<std::string> ReadBody(const Json& value) {
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

// @param deleted The object stands for a deletion and has no body.
std::optional<StoredObject> ReadObject(const Json& value, bool deleted,
                                       request::Failure* failure) {
  if (!value.is_object()) {
    return RejectResponse("an object in the response is not a JSON object",
                          failure);
  }
  const auto path = value.find("path");
  if (path == value.end() || !path->is_string()) {
    return RejectResponse("an object in the response has no path", failure);
  }
  const auto version = ReadVersion(value, failure);
  if (!version) {
    return std::nullopt;
  }
  std::optional<std::string> body;
  if (!deleted) {
    body = ReadBody(value);
    if (!body) {
      return RejectResponse("an object in the response has no valid body",
                            failure);
    }
  }
  return StoredObject{path->get<std::string>(), *version,
                      std::move(body).value_or("")};
}

}  // namespace

std::optional<StoredObject> ParseObjectResponse(std::string_view text,
                                                request::Failure* failure) {
  const auto value = ParseJsonObject(text, failure);
  return value ? ReadObject(*value, /*deleted=*/false, failure) : std::nullopt;
}

std::optional<ObjectList> ParseListResponse(std::string_view text,
                                            request::Failure* failure) {
  const auto value = ParseJsonObject(text, failure);
  if (!value) {
    return std::nullopt;
  }
  const auto version = ReadVersion(*value, failure);
  if (!version) {
    return std::nullopt;
  }
  const auto items = value->find("items");
  if (items == value->end() || !items->is_array()) {
    return RejectResponse("the response has no items", failure);
  }
  ObjectList list{{}, *version};
  for (const Json& it : *items) {
    auto object = ReadObject(it, /*deleted=*/false, failure);
    if (!object) {
      return std::nullopt;
    }
    list.items.push_back(std::move(*object));
  }
  return list;
}

std::optional<WatchAnswer> ParseWatchResponse(std::string_view text,
                                              request::Failure* failure) {
  const auto value = ParseJsonObject(text, failure);
  if (!value) {
    return std::nullopt;
  }
  const auto version = ReadVersion(*value, failure);
  if (!version) {
    return std::nullopt;
  }
  const auto events = value->find("events");
  if (events == value->end() || !events->is_array()) {
    return RejectResponse("the response has no events", failure);
  }
  WatchAnswer response;
  response.version = *version;
  for (const Json& it : *events) {
    const bool deleted = it.is_object() && IsDeletion(it);
    auto object = ReadObject(it, deleted, failure);
    if (!object) {
      return std::nullopt;
    }
    response.events.push_back({std::move(*object), deleted});
  }
  return response;
}

std::optional<request::TableVersion> ParseWriteResponse(
    std::string_view text, request::Failure* failure) {
  const auto value = ParseJsonObject(text, failure);
  return value ? ReadVersion(*value, failure) : std::nullopt;
}

nlohmann::json WriteObject(const StoredObject& object) {
  Json value = {{"path", object.path}, {"version", object.version.value}};
  try {
    value["body"] = object.body;
    // The JSON library checks only on serialization that a text is valid UTF-8;
    // other bodies are sent in base64.
    (void)value["body"].dump();
  } catch (const Json::exception&) {
    value.erase("body");
    value["body_base64"] = absl::Base64Escape(object.body);
  }
  return value;
}

}  // namespace kumquatvalve::process
