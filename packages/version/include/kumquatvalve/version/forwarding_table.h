#ifndef KUMQUATVALVE_VERSION_FORWARDING_TABLE_H_
#define KUMQUATVALVE_VERSION_FORWARDING_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/ids.h"

namespace kumquatvalve::version {

/// An upstream instance and the sidecar beside it, as listed in a forwarding
/// table.
struct UpstreamEntry {
  request::InstanceId instance;
  /// Incarnation of the sidecar when the table was written. A restart of the
  /// sidecar alone does not change the table; see
  /// `SidecarRouter::OnPeerState`.
  request::Incarnation incarnation;
  /// UDP endpoint at which the sidecar receives forwarded packets.
  request::Endpoint data;
  /// TCP endpoint at which the sidecar receives control messages of its peers.
  request::Endpoint control;
  request::AvailabilityZone zone;
  /// Relative share of the rows, 1 to 1,000.
  uint32_t weight = 100;
  /// Number of requests that the upstream processes concurrently.
  uint32_t slots = 1;
  /// A draining upstream owns no rows. It stays listed until its last flow has
  /// ended, so that its flows can still be forwarded to it.
  bool draining = false;

  friend bool operator==(const UpstreamEntry&, const UpstreamEntry&) = default;
};

/// Index into `ForwardingTable::upstreams`.
using UpstreamIndex = uint16_t;

/// Marks a row without an upstream.
inline constexpr UpstreamIndex kNoUpstreamIndex = 0xffff;

/// One version of a service's forwarding table. Entry instances choose the row
/// of a flow by `HashFlow(key, flow) & (owner.size() - 1)`.
struct ForwardingTable {
  request::ServiceId service;
  request::TableVersion version;
  std::vector<UpstreamEntry> upstreams;
  /// By row: the upstream whose sidecar admits the row's new flows and tracks
  /// the holder of each of its flows. The size is a power of two.
  std::vector<UpstreamIndex> owner;
  /// By row: the upstream that admits the row's new flows while the owner is
  /// dead. Same size as `owner`.
  std::vector<UpstreamIndex> backup;
  /// By row: the owner before the last change of ownership. A sidecar that has
  /// just joined queries it for the holders of the row's flows.
  /// `kNoUpstreamIndex` when there was none or when it is no longer listed.
  /// Same size as `owner`.
  std::vector<UpstreamIndex> previous;

  /// Returns the entry of an instance, or null when the table does not list it.
  const UpstreamEntry* Find(request::InstanceId instance) const;

  /// Returns the index of an instance in `upstreams`, or nothing when the table
  /// does not list it.
  std::optional<UpstreamIndex> IndexOf(request::InstanceId instance) const;

  /// Returns the row of a flow with this `HashFlow` value.
  request::RowIndex RowOf(uint64_t flow_hash) const {
    return {static_cast<uint32_t>(flow_hash & (owner.size() - 1))};
  }

  /// Memory used by the table, in bytes: the object itself and its heap
  /// allocations.
  size_t MemoryBytes() const;

  friend bool operator==(const ForwardingTable&,
                         const ForwardingTable&) = default;
};

}  // namespace kumquatvalve::version

#endif  // KUMQUATVALVE_VERSION_FORWARDING_TABLE_H_
