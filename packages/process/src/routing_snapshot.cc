#include "kumquatvalve/process/routing_snapshot.h"

#include <bit>
#include <map>

namespace kumquatvalve::process {
namespace {

request::RouteTarget MakeTarget(const version::UpstreamEntry& entry,
                                const PeerTable& peers) {
  request::RouteTarget target{entry.instance, entry.incarnation, entry.data,
                              false};
  const auto peer = peers.find(entry.instance);
  // The table may predate a restart of the sidecar, or may list an incarnation
  // whose record has not arrived yet; the newer incarnation applies.
  if (peer != peers.end() && peer->second.incarnation >= entry.incarnation) {
    target.incarnation = peer->second.incarnation;
    target.dead = peer->second.state >= PeerState::kDead;
  }
  return target;
}

}  // namespace

RoutingSnapshot::RoutingSnapshot(request::InstanceId self,
                                 const request::HashKey& key,
                                 const version::ServiceTable& tables,
                                 const PeerTable& peers)
    : self_(self), key_(key) {
  std::map<const version::ForwardingTable*, size_t> first_target_index;
  // Addresses that share a table share its targets. A malformed table gets no
  // route.
  for (const auto& [address, table] : tables.entries()) {
    if (!std::has_single_bit(table->owner.size()) ||
        table->backup.size() != table->owner.size() ||
        !first_target_index.emplace(table.get(), targets_.size()).second) {
      continue;
    }
    tables_.push_back(table);
    for (const version::UpstreamEntry& it : table->upstreams) {
      targets_.push_back(MakeTarget(it, peers));
    }
  }
  // The routes point into `targets_`, which must not be reallocated any more.
  routes_.reserve(tables.size());
  for (const auto& [address, table] : tables.entries()) {
    const auto it = first_target_index.find(table.get());
    if (it != first_target_index.end()) {
      routes_.emplace(ServiceAddressKey(address.endpoint, address.protocol),
                      ServiceRoutes(*table, targets_.data() + it->second));
    }
  }
}

}  // namespace kumquatvalve::process
