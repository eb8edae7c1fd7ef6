#ifndef KUMQUATVALVE_VERSION_SERVICE_TABLE_H_
#define KUMQUATVALVE_VERSION_SERVICE_TABLE_H_

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/version/forwarding_table.h"

namespace kumquatvalve::version {

/// An address at which callers reach a service.
struct ServiceAddress {
  request::Endpoint endpoint;
  /// IPPROTO_TCP or IPPROTO_UDP.
  uint8_t protocol = 0;

  friend auto operator<=>(const ServiceAddress&,
                          const ServiceAddress&) = default;
};

struct ServiceAddressHash {
  size_t operator()(const ServiceAddress& address) const;
};

/// Immutable map from service addresses to forwarding tables. Traffic threads
/// share a snapshot; the control thread publishes a new one for each change.
class ServiceTable {
 public:
  using TablePtr = std::shared_ptr<const ForwardingTable>;

  ServiceTable() = default;
  explicit ServiceTable(
      std::unordered_map<ServiceAddress, TablePtr, ServiceAddressHash> tables)
      : tables_(std::move(tables)) {}

  /// Returns the table of an address, or null when no service has the address.
  const ForwardingTable* Find(const ServiceAddress& address) const {
    const auto it = tables_.find(address);
    return it == tables_.end() ? nullptr : it->second.get();
  }

  /// Returns a copy in which `address` maps to `table`; a null `table` removes
  /// the address.
  ServiceTable CopyWithTable(const ServiceAddress& address,
                             TablePtr table) const;

  size_t size() const { return tables_.size(); }

  /// All addresses and their tables.
  const std::unordered_map<ServiceAddress, TablePtr, ServiceAddressHash>&
  entries() const {
    return tables_;
  }

  /// Memory used by the map and its tables, in bytes: objects and heap
  /// allocations.
  size_t MemoryBytes() const;

 private:
  std::unordered_map<ServiceAddress, TablePtr, ServiceAddressHash> tables_;
};

}  // namespace kumquatvalve::version

#endif  // KUMQUATVALVE_VERSION_SERVICE_TABLE_H_
