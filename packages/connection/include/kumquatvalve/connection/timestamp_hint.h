#ifndef KUMQUATVALVE_CONNECTION_TIMESTAMP_HINT_H_
#define KUMQUATVALVE_CONNECTION_TIMESTAMP_HINT_H_

#include <cstddef>
#include <cstdint>
#include <span>

#include "kumquatvalve/request/packet.h"

namespace kumquatvalve::connection {

/// Replaces the TCP timestamp value in `copy`, a copy of `packet.bytes`, and
/// updates the TCP checksum incrementally (RFC 1624). Does nothing for a packet
/// without timestamps.
void ReplaceTimestampValue(const request::ParsedPacket& packet, uint32_t value,
                           std::span<std::byte> copy);

/// Replaces the TCP timestamp echo in the same way.
void ReplaceTimestampEcho(const request::ParsedPacket& packet, uint32_t echo,
                          std::span<std::byte> copy);

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_TIMESTAMP_HINT_H_
