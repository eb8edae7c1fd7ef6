#ifndef KUMQUATVALVE_REQUEST_HOP_MESSAGE_H_
#define KUMQUATVALVE_REQUEST_HOP_MESSAGE_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "kumquatvalve/request/flow_key.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::request {

/// 64-bit xxHash of a service's name. All processes compute the same value, so
/// no numbers have to be assigned.
struct ServiceTag {
  uint64_t value = 0;

  friend constexpr auto operator<=>(const ServiceTag&,
                                    const ServiceTag&) = default;
};

/// Returns the tag of a service name.
ServiceTag ServiceTagOf(std::string_view name);

/// Type of a datagram between an entry instance and a sidecar.
enum class HopKind : uint8_t {
  /// Entry to sidecar: a caller's packet, which follows the message.
  kPacket = 1,
  /// Entry to sidecar: query whether the upstream holds this flow.
  kLocate = 2,
  /// Sidecar to entry, reply to `kLocate`: the upstream holds the flow.
  kHeld = 3,
  /// Sidecar to entry, reply to `kLocate`: the upstream does not hold the flow.
  kNotHeld = 4,
  /// Sidecar to entry, reply to `kLocate`: the sidecar started after its
  /// upstream and has not seen the flow, so only a probe of the upstream can
  /// find out.
  kInconclusive = 5,
  /// Sidecar to entry: the packet that follows is returned; see `ReturnReason`.
  kReturned = 6,
  /// Entry to sidecar: request for a load report.
  kHello = 7,
  /// Sidecar to entry: a load report.
  kLoad = 8,
  /// Entry to sidecar: query for all flows that the upstream holds.
  kList = 9,
  /// Sidecar to entry, reply to `kList`: the fingerprints of held flows follow.
  kFlows = 10,
  /// Entry to sidecar: the store no longer has the sidecar's record; request
  /// for a load report.
  kUnlisted = 11,
  /// Entry to sidecar: limits that the configuration sets for the upstream's
  /// service. Earlier versions drop it as unreadable.
  kServiceLimits = 12,
};

/// Why a sidecar returned a packet.
enum class ReturnReason : uint8_t {
  kNone = 0,
  /// The upstream is draining and takes no new flows.
  kDraining = 1,
  /// The upstream does not respond to first packets.
  kUnresponsive = 2,
  /// The upstream itself rejected the packet.
  kRejected = 3,
  /// This sidecar's upstream belongs to another service.
  kWrongService = 4,
  /// The upstream's queue is full.
  kQueueFull = 5,
};

/// The reason's name for logs and metrics, for example "queue_full".
std::string_view Name(ReturnReason reason);

/// Load report of a sidecar about its upstream.
struct UpstreamLoad {
  /// When the upstream started, Unix time in milliseconds; 0 when unknown.
  uint64_t incarnation_ms = 0;
  /// How many requests the upstream processes concurrently.
  uint16_t slots = 0;
  /// Requests delivered to the upstream whose response has not begun.
  uint16_t in_progress = 0;
  /// Flows that were opened and have not sent a request.
  uint16_t opening = 0;
  uint32_t open_flows = 0;
  /// Mean service time of a request in a slot, in microseconds; 0 when unknown.
  uint32_t service_time_us = 0;
  bool draining = false;
  bool unresponsive = false;
  /// First packets that the upstream may still get now, at most
  /// `kMaxWarmUpAllowance`; empty when it is not warming up.
  std::optional<uint8_t> warm_up_allowance;

  friend bool operator==(const UpstreamLoad&, const UpstreamLoad&) = default;
};

/// Largest allowance that a load report can carry; larger ones are reported as
/// this one.
inline constexpr uint8_t kMaxWarmUpAllowance = 254;

/// Largest route priority that a packet can carry; larger ones are sent as this
/// one.
inline constexpr uint8_t kMaxHopPriority = 254;

/// Identifies a query for all flows (`kList`), or one part of the reply
/// (`kFlows`).
struct FlowList {
  /// Sequence number of the query at its entry instance.
  uint32_t round = 0;
  /// Index of this part of the reply, from 0, and the number of parts.
  uint16_t part = 0;
  uint16_t parts = 0;
  /// The sidecar started after its upstream and may not know all its flows.
  bool inconclusive = false;
  /// With `inconclusive`: as `HopMessage::missed_only_first_flows`.
  bool missed_only_first_flows = false;

  friend bool operator==(const FlowList&, const FlowList&) = default;
};

/// A 32-bit unkeyed hash of the flow's endpoints. Several flows may have the
/// same fingerprint.
uint32_t FlowFingerprint(const FlowKey& flow);

/// The bytes that follow a message of kind `kFlows`: 4 bytes for each value.
std::vector<std::byte> EncodeFingerprints(std::span<const uint32_t> values);

/// Reads what `EncodeFingerprints` wrote; an incomplete last value is omitted.
std::vector<uint32_t> DecodeFingerprints(std::span<const std::byte> bytes);

/// Maximum number of fingerprints in one datagram. Other datagrams have at most
/// 1,236 bytes.
inline constexpr size_t kMaxFingerprintsPerDatagram = 300;

/// The header of a datagram between an entry instance and a sidecar; a packet
/// may follow it. The layout is fixed, since a header is read for every packet.
struct HopMessage {
  HopKind kind = HopKind::kPacket;
  ServiceTag service;
  /// For `kReturned`.
  ReturnReason reason = ReturnReason::kNone;
  /// For `kPacket`: the packet is a probe to find out whether the upstream
  /// holds the flow.
  bool probe = false;
  /// For `kPacket`: no other upstream would open the flow sooner, so the
  /// sidecar queues the packet instead of returning it when all slots are in
  /// use.
  bool final_offer = false;
  /// For `kPacket` with `final_offer`: how long the caller waits for its flow
  /// to open; at most 65,535 ms on the wire.
  std::chrono::milliseconds max_wait{0};
  /// For `kPacket` with `final_offer`: how long from now a response is still
  /// within the route's target latency; 0 when it is too late for that, or
  /// unknown. At most 65,535 ms on the wire, and left out there when 0.
  std::chrono::milliseconds target_remaining{0};
  /// For `kPacket` that carries a first packet: the route's priority, 0 is the
  /// most urgent; empty when unknown, as from earlier versions.
  std::optional<uint8_t> priority;
  /// For `kServiceLimits`: requests that a cold upstream of the service bears,
  /// in tenths of a request a second; 0 when there is no limit.
  uint16_t warm_up_per_second_tenths = 0;
  /// For `kLocate`, `kHeld`, `kNotHeld`, `kInconclusive`.
  FlowKey flow;
  /// For `kLocate`: the acknowledgment number of the caller's packet, which
  /// distinguishes two upstreams that answered the same first packet.
  uint32_t acknowledgment = 0;
  /// For `kLoad`.
  UpstreamLoad load;
  /// For `kList` and `kFlows`.
  FlowList list;
  /// For `kInconclusive`: the sidecar knows all flows except for those of the
  /// first few seconds after its upstream's start.
  bool missed_only_first_flows = false;
};

/// Maximum size of an encoded message without the packet, in bytes.
inline constexpr size_t kMaxHopMessageSize = 64;

/// An encoded message; the first `size` bytes are valid.
struct HopBuffer {
  std::array<std::byte, kMaxHopMessageSize> bytes{};
  size_t size = 0;

  std::span<const std::byte> span() const { return {bytes.data(), size}; }
};

/// Writes the fields that the kind of `message` has.
HopBuffer EncodeHopMessage(const HopMessage& message);

/// Reads the message at the start of a datagram.
/// @param packet set to the bytes after the message.
/// @return nothing and `kBadMessage` in `failure` for a datagram that is
///   truncated, has another layout or an unknown kind, or has bytes after a
///   message that carries none.
std::optional<HopMessage> DecodeHopMessage(std::span<const std::byte> datagram,
                                           std::span<const std::byte>* packet,
                                           Failure* failure);

}  // namespace kumquatvalve::request

#endif  // KUMQUATVALVE_REQUEST_HOP_MESSAGE_H_
