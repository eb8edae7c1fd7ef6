#include "kumquatvalve/request/flow_key.h"

#include <xxhash.h>

#include <array>
#include <cstring>

namespace kumquatvalve::request {

FlowKey Reverse(const FlowKey& key) {
  return {key.service, key.caller, key.protocol};
}

size_t FlowKeyHash::operator()(const FlowKey& key) const {
  std::array<uint8_t, 37> buf;
  std::memcpy(buf.data(), key.caller.address.data(), 16);
  std::memcpy(buf.data() + 16, key.service.address.data(), 16);
  std::memcpy(buf.data() + 32, &key.caller.port, 2);
  std::memcpy(buf.data() + 34, &key.service.port, 2);
  buf[36] = key.protocol;
  return XXH64(buf.data(), buf.size(), 0);
}

}  // namespace kumquatvalve::request
