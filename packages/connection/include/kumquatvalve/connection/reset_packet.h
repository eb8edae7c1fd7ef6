#ifndef KUMQUATVALVE_CONNECTION_RESET_PACKET_H_
#define KUMQUATVALVE_CONNECTION_RESET_PACKET_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "kumquatvalve/request/flow_key.h"
#include "kumquatvalve/request/packet.h"

namespace kumquatvalve::connection {

/// A TCP segment without payload, from `flow.caller` to `flow.service`.
struct EmptySegment {
  request::FlowKey flow;
  bool syn = false;
  bool ack = false;
  bool fin = false;
  bool rst = false;
  uint32_t sequence = 0;
  uint32_t acknowledgment = 0;
  /// Values of the timestamp option (RFC 7323), which is written when both are
  /// set.
  std::optional<uint32_t> ts_value;
  std::optional<uint32_t> ts_echo;
};

/// Builds an IPv4 or IPv6 packet with valid checksums, depending on the
/// addresses.
std::vector<std::byte> BuildSegment(const EmptySegment& segment);

/// Builds the reset that refuses a SYN (RFC 9293, 3.10.7.1: sequence number 0,
/// the SYN acknowledged).
std::vector<std::byte> BuildRefusal(const request::ParsedPacket& syn);

/// Builds a probe from a caller's segment: without its payload and with the
/// preceding sequence number. A TCP stack that holds the flow responds with an
/// ACK (RFC 9293, 3.10.7.4), others with an RST; the state of the flow does not
/// change.
std::vector<std::byte> BuildProbe(const request::ParsedPacket& packet);

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_RESET_PACKET_H_
