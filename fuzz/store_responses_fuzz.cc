#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "kumquatvalve/platform/store_responses.h"
#include "kumquatvalve/process/bounded_json.h"
#include "kumquatvalve/process/peer_snapshot.h"

namespace {

namespace platform = kumquatvalve::platform;
namespace process = kumquatvalve::process;

// An odd entry must cost that entry only: the good ones around it are found
// whatever it is, as long as its brackets and strings close.
void CheckListAround(std::string_view odd) {
  kumquatvalve::request::Failure failure;
  const std::string good = R"({"meta":{"name":"a","rev":1},"spec":{"b":2}})";
  const std::string text = R"({"at":7,"items":[)" + good + "," +
                           std::string(odd) + "," + good + "]}";
  const auto elements =
      process::SplitJsonArray("[" + std::string(odd) + "]", &failure);
  const auto page = platform::DecodeList("k", text, &failure);
  if (elements && elements->size() == 1 && (!page || page->items.size() < 2)) {
    std::abort();
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  kumquatvalve::request::Failure failure;
  platform::DecodeObject("k", text, &failure);
  platform::DecodeList("k", text, &failure);
  platform::DecodeEvents("k", text, &failure);
  platform::DecodeWrittenVersion(text);
  process::DecodePeerSnapshot(text, &failure);
  CheckListAround(text);
  return 0;
}
