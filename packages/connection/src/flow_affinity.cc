#include "kumquatvalve/connection/flow_affinity.h"

#include <xxhash.h>

#include <array>
#include <cstddef>
#include <cstring>

namespace kumquatvalve::connection {
namespace {

constexpr size_t kEndpointSize = sizeof(request::Address) + sizeof(uint16_t);

// Appends the endpoint without the padding that the struct may have.
std::byte* Append(std::byte* out, const request::Endpoint& endpoint) {
  std::memcpy(out, endpoint.address.data(), endpoint.address.size());
  out += endpoint.address.size();
  *out++ = static_cast<std::byte>(endpoint.port >> 8);
  *out++ = static_cast<std::byte>(endpoint.port);
  return out;
}

}  // namespace

uint64_t RankOf(const request::FlowKey& flow,
                const request::Endpoint& sidecar) {
  std::array<std::byte, 3 * kEndpointSize> buf{};
  Append(Append(Append(buf.data(), flow.caller), flow.service), sidecar);
  return XXH64(buf.data(), buf.size(), 0);
}

}  // namespace kumquatvalve::connection
