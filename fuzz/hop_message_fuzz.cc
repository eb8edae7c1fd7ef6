#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>

#include "kumquatvalve/platform/packet_format.h"
#include "kumquatvalve/request/hop_message.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  namespace request = kumquatvalve::request;
  const std::span<const std::byte> bytes(
      reinterpret_cast<const std::byte*>(data), size);
  request::Failure failure;
  std::span<const std::byte> packet;
  if (const auto message =
          request::DecodeHopMessage(bytes, &packet, &failure)) {
    request::DecodeFingerprints(packet);
    // What is read can be written and read again.
    std::span<const std::byte> rest;
    const auto encoded = request::EncodeHopMessage(*message);
    if (!request::DecodeHopMessage(encoded.span(), &rest, &failure)) {
      std::abort();
    }
  }
  if (const auto parsed =
          kumquatvalve::platform::PacketFormat::Parse(bytes, &failure)) {
    kumquatvalve::platform::PacketFormat::BuildReset(*parsed);
  }
  return 0;
}
