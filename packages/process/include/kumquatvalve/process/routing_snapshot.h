#ifndef KUMQUATVALVE_PROCESS_ROUTING_SNAPSHOT_H_
#define KUMQUATVALVE_PROCESS_ROUTING_SNAPSHOT_H_

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "kumquatvalve/process/peer_table.h"
#include "kumquatvalve/request/flow_hash.h"
#include "kumquatvalve/request/route_decision.h"
#include "kumquatvalve/version/forwarding_table.h"
#include "kumquatvalve/version/service_table.h"

namespace kumquatvalve::process {

/// One service's rows combined with the latest membership state of its
/// upstreams. Fits a cache line; refers to the rows of the forwarding table,
/// which the snapshot keeps alive, and to the snapshot's targets.
class ServiceRoutes {
 public:
  /// @param targets one for each of `table.upstreams`, in the same order.
  ServiceRoutes(const version::ForwardingTable& table,
                const request::RouteTarget* targets)
      : owner_(table.owner.data()),
        backup_(table.backup.data()),
        targets_(targets),
        service_(table.service),
        version_(table.version),
        mask_(static_cast<uint32_t>(table.owner.size()) - 1),
        size_(static_cast<uint32_t>(table.upstreams.size())) {}

  request::ServiceId service() const { return service_; }
  request::TableVersion version() const { return version_; }
  /// The row to which a flow hash belongs.
  request::RowIndex RowOf(uint64_t flow_hash) const {
    return {static_cast<uint32_t>(flow_hash) & mask_};
  }
  /// Owner and backup of a row, and an upstream by its index in the table; null
  /// when the table lists no such upstream.
  const request::RouteTarget* Owner(request::RowIndex row) const {
    return Upstream(owner_[row.value]);
  }
  const request::RouteTarget* Backup(request::RowIndex row) const {
    return Upstream(backup_[row.value]);
  }
  const request::RouteTarget* Upstream(size_t index) const {
    return index < size_ ? &targets_[index] : nullptr;
  }

 private:
  const version::UpstreamIndex* owner_;
  const version::UpstreamIndex* backup_;
  const request::RouteTarget* targets_;
  request::ServiceId service_;
  request::TableVersion version_;
  uint32_t mask_;
  uint32_t size_;
};

/// Immutable routing data of all services, used by an entry instance's traffic
/// threads.
class RoutingSnapshot {
 public:
  /// Tables without rows, or with a number of rows that is no power of two,
  /// are left out.
  RoutingSnapshot(request::InstanceId self, const request::HashKey& key,
                  const version::ServiceTable& tables, const PeerTable& peers);
  RoutingSnapshot(const RoutingSnapshot&) = delete;
  RoutingSnapshot& operator=(const RoutingSnapshot&) = delete;

  request::InstanceId self() const { return self_; }
  const request::HashKey& flow_hash_key() const { return key_; }
  /// Routes of the service at an address; null for an unknown address.
  const ServiceRoutes* Find(const request::Endpoint& service,
                            uint8_t protocol) const {
    const auto it = routes_.find(ServiceAddressKey(service, protocol));
    return it == routes_.end() ? nullptr : &it->second;
  }
  /// Number of service addresses.
  size_t size() const { return routes_.size(); }

 private:
  // A service address packed into three words, which compare faster than its
  // bytes.
  struct ServiceAddressKey {
    ServiceAddressKey(const request::Endpoint& endpoint, uint8_t protocol)
        : port_and_protocol((uint64_t{endpoint.port} << 8) | protocol) {
      std::memcpy(&high, endpoint.address.data(), sizeof(high));
      std::memcpy(&low, endpoint.address.data() + sizeof(high), sizeof(low));
    }

    friend bool operator==(const ServiceAddressKey&,
                           const ServiceAddressKey&) = default;
    template <typename H>
    friend H AbslHashValue(H state, const ServiceAddressKey& it) {
      return H::combine(std::move(state), it.high + it.port_and_protocol,
                        it.low);
    }

    uint64_t high = 0;
    uint64_t low = 0;
    uint64_t port_and_protocol;
  };

  request::InstanceId self_;
  request::HashKey key_;
  std::vector<version::ServiceTable::TablePtr> tables_;
  std::vector<request::RouteTarget> targets_;
  absl::flat_hash_map<ServiceAddressKey, ServiceRoutes> routes_;
};

/// Publishes immutable objects from the control thread to traffic threads. A
/// reader locks the mutex only when a new value was published.
template <typename T>
class SnapshotCell {
 public:
  void Publish(std::shared_ptr<const T> value) {
    const std::lock_guard lock(mutex_);
    value_ = std::move(value);
    version_.fetch_add(1, std::memory_order_release);
  }

  /// Caches the newest value for one reader; used by one thread only.
  class Reader {
   public:
    explicit Reader(SnapshotCell& cell) : cell_(cell) {}

    /// The newest value; stays valid until the next call. Null before the
    /// first `Publish`.
    const T* Get() {
      const uint64_t version = cell_.version_.load(std::memory_order_acquire);
      if (version != seen_version_) {
        const std::lock_guard lock(cell_.mutex_);
        value_ = cell_.value_;
        seen_version_ = version;
      }
      return value_.get();
    }

   private:
    SnapshotCell& cell_;
    std::shared_ptr<const T> value_;
    uint64_t seen_version_ = 0;
  };

 private:
  std::mutex mutex_;
  std::shared_ptr<const T> value_;
  std::atomic<uint64_t> version_{0};
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_ROUTING_SNAPSHOT_H_
