#ifndef KUMQUATVALVE_STANDINS_UDP_PACKET_H_
#define KUMQUATVALVE_STANDINS_UDP_PACKET_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/packet.h"

namespace kumquatvalve::standins {

/// Addresses and TCP header fields of a packet to build.
struct TcpFields {
  request::Endpoint from;
  request::Endpoint to;
  bool syn = false;
  bool ack = false;
  bool fin = false;
  bool rst = false;
  bool psh = false;
  uint32_t sequence = 0;
  uint32_t acknowledgment = 0;
  uint32_t ts_value = 0;
  uint32_t ts_echo = 0;
};

/// Builds an IPv4 TCP packet with a timestamp option and valid checksums.
std::vector<std::byte> MakeTcpPacket(const TcpFields& fields,
                                     std::string_view payload);

/// True when the TCP checksum of an IPv4 packet is correct.
bool HasValidChecksum(const request::ParsedPacket& packet);

/// The bytes after the TCP header; a view of the packet's bytes.
std::string_view Payload(const request::ParsedPacket& packet);

}  // namespace kumquatvalve::standins

#endif  // KUMQUATVALVE_STANDINS_UDP_PACKET_H_
