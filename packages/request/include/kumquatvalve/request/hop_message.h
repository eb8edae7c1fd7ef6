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

/// 64-bit xxHash of a service's name: all processes compute the same value
/// without agreeing on numbers first.
struct ServiceTag {
  uint64_t value = 0;

  friend constexpr auto operator<=>(const ServiceTag&,
                                    const ServiceTag&) = default;
};

ServiceTag ServiceTagOf(std::string_view name);

/// What a datagram between an entry instance and a sidecar is for.
enum class HopKind : uint8_t {
  /// Entry to sidecar: a caller's packet follows.
  kPacket = 1,
  /// Entry to sidecar: which of you holds this flow?
  kLocate = 2,
  /// Sidecar to entry: this flow is held here.
  kHeld = 3,
  /// Sidecar to entry: this flow is not held here.
  kNotHeld = 4,
  /// Sidecar to entry: this process is younger than its upstream and has not
  /// seen the flow; only the upstream can tell.
  kInconclusive = 5,
  /// Sidecar to entry: the packet that follows was not taken.
  kReturned = 6,
  /// Entry to sidecar: send a load report.
  kHello = 7,
  /// Sidecar to entry: a load report follows.
  kLoad = 8,
  /// Entry to sidecar: which flows do you hold?
  kList = 9,
  /// Sidecar to entry: fingerprints of flows that are held here follow.
  kFlows = 10,
  /// Entry to sidecar: the store has no record of you any more; send a load
  /// report.
  kUnlisted = 11,
};

/// Why a sidecar did not take a packet.
enum class ReturnReason : uint8_t {
  kNone = 0,
  /// The upstream is leaving.
  kDraining = 1,
  /// The upstream does not answer first packets.
  kUnresponsive = 2,
  /// The upstream itself rejected the packet.
  kRejected = 3,
  /// This sidecar's upstream belongs to another service.
  kWrongService = 4,
  /// The queue of the upstream is as long as it may get.
  kQueueFull = 5,
};

std::string_view Name(ReturnReason reason);

/// What a sidecar tells of its upstream.
struct UpstreamLoad {
  /// Start of the upstream, Unix time in milliseconds; 0 when unknown.
  uint64_t incarnation_ms = 0;
  /// Requests that the upstream works on at once.
  uint16_t slots = 0;
  /// Requests handed over whose answer has not begun.
  uint16_t in_progress = 0;
  /// Flows that were opened and have not sent a request yet.
  uint16_t opening = 0;
  uint32_t open_flows = 0;
  /// Mean time of one request in a slot, microseconds; 0 when unknown.
  uint32_t service_time_us = 0;
  bool draining = false;
  bool unresponsive = false;

  friend bool operator==(const UpstreamLoad&, const UpstreamLoad&) = default;
};

/// A round of questions for all flows, and the place of one part of an answer.
struct FlowList {
  /// Numbers the rounds of one entry instance.
  uint32_t round = 0;
  uint16_t part = 0;
  uint16_t parts = 0;
  /// The sidecar is younger than its upstream and may not have seen all flows.
  bool inconclusive = false;

  friend bool operator==(const FlowList&, const FlowList&) = default;
};

/// A short hash of a flow; equal flows have equal fingerprints.
uint32_t FlowFingerprint(const FlowKey& flow);

/// What follows a message of kind `kFlows`, and back.
std::vector<std::byte> EncodeFingerprints(std::span<const uint32_t> values);
std::vector<uint32_t> DecodeFingerprints(std::span<const std::byte> bytes);

/// Fingerprints in one datagram, which has at most 1,236 bytes otherwise.
inline constexpr size_t kMaxFingerprintsPerDatagram = 300;

/// The part before the packet, if any, of a datagram between an entry instance
/// and a sidecar. The layout is fixed, since one is read for every packet.
struct HopMessage {
  HopKind kind = HopKind::kPacket;
  ServiceTag service;
  /// For `kReturned`.
  ReturnReason reason = ReturnReason::kNone;
  /// For `kPacket`: the upstream is asked whether it holds the flow.
  bool probe = false;
  /// For `kPacket`: no other upstream would take the flow sooner, so it is not
  /// returned for a queue.
  bool final_offer = false;
  /// For `kPacket` with `final_offer`: how long the caller waits for its flow
  /// to open.
  std::chrono::milliseconds max_wait{0};
  /// For `kLocate`, `kHeld`, `kNotHeld`, `kInconclusive`.
  FlowKey flow;
  /// For `kLocate`: the acknowledgment number of the caller's packet, which
  /// tells apart two upstreams that answered the same first packet.
  uint32_t acknowledgment = 0;
  /// For `kLoad`.
  UpstreamLoad load;
  /// For `kList` and `kFlows`.
  FlowList list;
};

/// Longest encoding of a message without the packet.
inline constexpr size_t kMaxHopMessageSize = 64;

/// An encoded message.
struct HopBuffer {
  std::array<std::byte, kMaxHopMessageSize> bytes{};
  size_t size = 0;

  std::span<const std::byte> span() const { return {bytes.data(), size}; }
};

HopBuffer EncodeHopMessage(const HopMessage& message);

/// Reads the message at the start of a datagram.
/// @param packet set to the bytes after the message.
/// @return nothing and `kBadMessage` for a datagram of another layout.
std::optional<HopMessage> DecodeHopMessage(std::span<const std::byte> datagram,
                                           std::span<const std::byte>* packet,
                                           Failure* failure);

}  // namespace kumquatvalve::request

#endif  // KUMQUATVALVE_REQUEST_HOP_MESSAGE_H_
