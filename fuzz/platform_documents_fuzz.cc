#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "kumquatvalve/platform/documents.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  namespace platform = kumquatvalve::platform;
  namespace request = kumquatvalve::request;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  request::Failure failure;
  if (const auto record = platform::ReadRecord(text, &failure)) {
    // Whatever is accepted is in range and survives writing and reading.
    const bool in_range = record->slots >= 1 && record->slots <= 65535 &&
                          record->sidecar.port != 0;
    const auto again =
        platform::ReadRecord(platform::WriteRecord(*record), &failure);
    if (!in_range || !again || !(*again == *record)) {
      std::abort();
    }
  }
  std::string skipped;
  platform::ReadConfiguration(text, {1}, &skipped, &failure);
  const auto heartbeat = platform::ReadHeartbeat("i-1", text, &failure);
  if (heartbeat &&
      (heartbeat->identity.slots == 0 || heartbeat->identity.slots > 65535)) {
    std::abort();
  }
  platform::ReadDeregistrationIncarnation(text);
  return 0;
}
