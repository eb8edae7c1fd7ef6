#include "kumquatvalve/version/service_table.h"

#include <xxhash.h>

#include <array>
#include <cstring>

namespace kumquatvalve::version {

size_t ServiceAddressHash::operator()(const ServiceAddress& address) const {
  std::array<uint8_t, 19> buf;
  std::memcpy(buf.data(), address.endpoint.address.data(), 16);
  std::memcpy(buf.data() + 16, &address.endpoint.port, 2);
  buf[18] = address.protocol;
  return XXH64(buf.data(), buf.size(), 0);
}

ServiceTable ServiceTable::CopyWithTable(const ServiceAddress& address,
                                         TablePtr table) const {
  ServiceTable copy = *this;
  if (table == nullptr) {
    copy.tables_.erase(address);
  } else {
    copy.tables_.insert_or_assign(address, std::move(table));
  }
  return copy;
}

size_t ServiceTable::MemoryBytes() const {
  size_t bytes = sizeof(*this) + tables_.bucket_count() * sizeof(void*);
  for (const auto& [address, table] : tables_) {
    bytes += sizeof(address) + sizeof(table) + 2 * sizeof(void*);
    bytes += table->MemoryBytes();
  }
  return bytes;
}

}  // namespace kumquatvalve::version
