#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "kumquatvalve/process/control_channel.h"
#include "kumquatvalve/process/peer_codec.h"
#include "kumquatvalve/process/table_codec.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  namespace process = kumquatvalve::process;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  kumquatvalve::request::Failure failure;
  process::EnvelopeFilter filter;
  std::optional<process::StaleEnvelope> stale;
  if (const auto envelope = filter.Read(bytes, &stale, &failure)) {
    process::ReadPeerMessage(*envelope, &failure);
  }
  process::ReadTable(bytes, {1}, &failure);
  return 0;
}
