#include "kumquatvalve/version/forwarding_table.h"

namespace kumquatvalve::version {

std::optional<UpstreamIndex> ForwardingTable::IndexOf(
    request::InstanceId instance) const {
  for (size_t i = 0; i < upstreams.size(); ++i) {
    if (upstreams[i].instance == instance) {
      return static_cast<UpstreamIndex>(i);
    }
  }
  return std::nullopt;
}

const UpstreamEntry* ForwardingTable::Find(request::InstanceId instance) const {
  const std::optional<UpstreamIndex> index = IndexOf(instance);
  return index ? &upstreams[*index] : nullptr;
}

size_t ForwardingTable::MemoryBytes() const {
  return sizeof(*this) + upstreams.capacity() * sizeof(UpstreamEntry) +
         (owner.capacity() + backup.capacity() + previous.capacity()) *
             sizeof(UpstreamIndex);
}

}  // namespace kumquatvalve::version
