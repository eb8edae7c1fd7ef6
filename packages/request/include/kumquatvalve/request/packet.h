#ifndef KUMQUATVALVE_REQUEST_PACKET_H_
#define KUMQUATVALVE_REQUEST_PACKET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "kumquatvalve/request/flow_key.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::request {

/// The fields of an IPv4 or IPv6 packet that routing uses. Refers to the bytes
/// it was parsed from and must not outlive them.
struct ParsedPacket {
  /// The packet's source as `caller` and its destination as `service`, which is
  /// right for a caller's packet. For an upstream's packet use `Reverse(flow)`.
  FlowKey flow;
  bool syn = false;
  bool ack = false;
  bool fin = false;
  bool rst = false;
  bool psh = false;
  /// TCP sequence and acknowledgment numbers in host order; 0 for UDP.
  uint32_t sequence = 0;
  uint32_t acknowledgment = 0;
  /// For a first packet: how long the caller has been waiting for a reply, as
  /// far as the packet shows it. Not set by `ParsePacket`.
  std::chrono::milliseconds waited{0};
  /// Bytes after the TCP or UDP header.
  uint16_t payload_size = 0;
  /// Offset of the TCP or UDP header in `bytes`.
  uint16_t transport_offset = 0;
  /// Offset of the 10-byte TCP timestamp option in `bytes`, 0 without one.
  uint16_t timestamp_offset = 0;
  /// Values of the TCP timestamp option in host order.
  std::optional<uint32_t> ts_value;
  std::optional<uint32_t> ts_echo;
  /// The IP packet without bytes that follow it.
  std::span<const std::byte> bytes;

  /// True for a packet that may open a flow: a TCP SYN without ACK, or any UDP
  /// packet.
  bool IsFirst() const;
};

/// Reads an IP packet with a TCP or UDP header, using the header layouts of RFC
/// 791, RFC 8200, RFC 9293, RFC 768 and the timestamp option of RFC 7323. IPv6
/// extension headers and IP fragments are not supported.
/// @return nothing and a 1xx code in `failure` for any other packet.
std::optional<ParsedPacket> ParsePacket(std::span<const std::byte> bytes,
                                        Failure* failure);

}  // namespace kumquatvalve::request

#endif  // KUMQUATVALVE_REQUEST_PACKET_H_
