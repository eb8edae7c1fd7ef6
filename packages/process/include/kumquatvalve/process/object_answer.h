#ifndef KUMQUATVALVE_PROCESS_OBJECT_ANSWER_H_
#define KUMQUATVALVE_PROCESS_OBJECT_ANSWER_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "kumquatvalve/process/object_api.h"
#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::process {

/// Decode the JSON bodies of the object API's responses, as described in
/// docs/interfaces.md. All return nothing and `kBadAnswer` for any other text.
std::optional<StoredObject> ParseObjectResponse(std::string_view text,
                                                request::Failure* failure);
std::optional<ObjectList> ParseListResponse(std::string_view text,
                                            request::Failure* failure);
std::optional<WatchAnswer> ParseWatchResponse(std::string_view text,
                                              request::Failure* failure);

/// Decodes the version in the response to a write.
std::optional<request::TableVersion> ParseWriteResponse(
    std::string_view text, request::Failure* failure);

/// Encodes one object as it appears in all responses. A body that is not valid
/// UTF-8 is written in base64 as `body_base64`.
nlohmann::json WriteObject(const StoredObject& object);

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_OBJECT_ANSWER_H_
