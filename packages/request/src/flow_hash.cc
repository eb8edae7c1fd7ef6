#include "kumquatvalve/request/flow_hash.h"

#include <highwayhash/c_bindings.h>

#include <cstring>

namespace kumquatvalve::request {
namespace {

// Two endpoints of 18 bytes each and the protocol, without padding.
constexpr size_t kPackedFlowSize = 37;

}  // namespace

uint64_t HashFlow(const HashKey& key, const FlowKey& flow) {
  std::array<std::byte, kPackedFlowSize> buf;
  std::memcpy(buf.data(), flow.caller.address.data(), 16);
  std::memcpy(buf.data() + 16, flow.service.address.data(), 16);
  std::memcpy(buf.data() + 32, &flow.caller.port, 2);
  std::memcpy(buf.data() + 34, &flow.service.port, 2);
  buf[36] = std::byte{flow.protocol};
  return HashBytes(key, buf);
}

uint64_t HashBytes(const HashKey& key, std::span<const std::byte> bytes) {
  return HighwayHash64(key.data(), reinterpret_cast<const char*>(bytes.data()),
                       bytes.size());
}

}  // namespace kumquatvalve::request
