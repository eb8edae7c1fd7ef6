#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "kumquatvalve/process/fleet_view.h"
#include "kumquatvalve/process/object_answer.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  namespace process = kumquatvalve::process;
  namespace request = kumquatvalve::request;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  request::Failure failure;
  if (const auto object = process::ParseObjectResponse(text, &failure)) {
    // Round trip: an object in the form that the stand-in writes must be read
    // back unchanged.
    const auto again = process::ParseObjectResponse(
        process::WriteObject(*object).dump(), &failure);
    if (!again || !(*again == *object)) {
      std::abort();
    }
  }
  process::ParseListResponse(text, &failure);
  process::ParseWatchResponse(text, &failure);
  process::ParseWriteResponse(text, &failure);
  process::ParseZoneSummary({"/members/a", {1}, std::string(text)}, &failure);
  return 0;
}
