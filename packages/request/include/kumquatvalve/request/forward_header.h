#ifndef KUMQUATVALVE_REQUEST_FORWARD_HEADER_H_
#define KUMQUATVALVE_REQUEST_FORWARD_HEADER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "kumquatvalve/request/flow_hash.h"
#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::request {

/// Why a packet was sent to the receiver; bits of `ForwardHeader::flags`.
enum ForwardFlag : uint8_t {
  /// The sender's table has the receiver as owner of the row.
  kToOwner = 1U << 0,
  /// Membership has the row's owner as dead; the receiver is the backup.
  kOwnerFailed = 1U << 1,
  /// The sender's directory names the receiver as holder of the flow.
  kHolderKnown = 1U << 2,
  /// Query to a peer that may hold the flow: from a new owner to the previous
  /// owner of the row, or about an unknown flow.
  kQueryPeer = 1U << 3,
  /// The flow is not open elsewhere: the previous owner does not know it, or
  /// the sidecar that passed it on was allowed to refuse it.
  kNotOpenElsewhere = 1U << 4,
  /// The sender does not admit the flow itself and passes the first packet on.
  kPassedOn = 1U << 5,
  /// The caller's timestamp echo names the receiver as holder.
  kHinted = 1U << 6,
};

/// Precedes the inner packet in each datagram between entry instances and
/// sidecars. It has a fixed layout instead of protobuf, since it is read for
/// every packet; all other messages are protobuf.
struct ForwardHeader {
  /// Bits of `ForwardFlag`.
  uint8_t flags = 0;
  /// Number of datagrams that carried the packet so far, including this one.
  uint8_t hops = 1;
  RowIndex row;
  ServiceId service;
  TableVersion version;
  InstanceId sender;
  InstanceId target;
  Incarnation target_incarnation;

  friend bool operator==(const ForwardHeader&, const ForwardHeader&) = default;
};

/// Size of a header on the wire in bytes, including its tag.
inline constexpr size_t kForwardHeaderSize = 64;

/// Maximum of `ForwardHeader::hops`; a packet that needs more is dropped.
inline constexpr uint8_t kMaxHops = 4;

/// Writes the header and its keyed tag to the first `kForwardHeaderSize` bytes
/// of `out`, which must be at least that long.
void WriteForwardHeader(const ForwardHeader& header, const HashKey& key,
                        std::span<std::byte> out);

/// Reads and authenticates the header at the start of a datagram.
/// @return nothing and, in `failure`, `kBadForwardHeader` for a wrong length,
///   magic or version, or `kBadForwardTag` for a tag made with another key.
std::optional<ForwardHeader> ReadForwardHeader(std::span<const std::byte> bytes,
                                               const HashKey& key,
                                               Failure* failure);

}  // namespace kumquatvalve::request

#endif  // KUMQUATVALVE_REQUEST_FORWARD_HEADER_H_
