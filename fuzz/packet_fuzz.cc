#include <cstddef>
#include <cstdint>
#include <span>

#include "kumquatvalve/request/forward_header.h"
#include "kumquatvalve/request/packet.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  namespace request = kumquatvalve::request;
  const auto bytes = std::as_bytes(std::span(data, size));
  request::Failure failure;
  request::ParsePacket(bytes, &failure);
  request::ReadForwardHeader(bytes, request::HashKey{1, 2, 3, 4}, &failure);
  return 0;
}
