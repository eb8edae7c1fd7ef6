#include "kumquatvalve/request/packet.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/ip.h>
#include <netinet/ip6.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>

#include <algorithm>
#include <cstring>

namespace kumquatvalve::request {
namespace {

constexpr size_t kTimestampOptionSize = 10;

std::optional<ParsedPacket> RejectPacket(ResultCode code, const char* detail,
                                         Failure* failure) {
  *failure = {code, detail};
  return std::nullopt;
}

template <typename Header>
Header ReadHeader(std::span<const std::byte> bytes, size_t offset) {
  Header header;
  std::memcpy(&header, bytes.data() + offset, sizeof(header));
  return header;
}

uint32_t ReadBigEndian32(std::span<const std::byte> bytes, size_t offset) {
  return ntohl(ReadHeader<uint32_t>(bytes, offset));
}

// Finds the timestamp option among `size` bytes of TCP options.
void ReadTimestamp(size_t offset, size_t size, ParsedPacket* packet) {
  const size_t end = offset + size;
  while (offset < end) {
    const auto kind = std::to_integer<uint8_t>(packet->bytes[offset]);
    if (kind == TCPOPT_EOL) {
      return;
    }
    if (kind == TCPOPT_NOP) {
      ++offset;
      continue;
    }
    if (offset + 1 >= end) {
      return;
    }
    const auto length = std::to_integer<uint8_t>(packet->bytes[offset + 1]);
    if (length < 2 || offset + length > end) {
      return;
    }
    if (kind == TCPOPT_TIMESTAMP && length == kTimestampOptionSize) {
      packet->timestamp_offset = static_cast<uint16_t>(offset);
      packet->ts_value = ReadBigEndian32(packet->bytes, offset + 2);
      packet->ts_echo = ReadBigEndian32(packet->bytes, offset + 6);
      return;
    }
    offset += length;
  }
}

std::optional<ParsedPacket> ParseTcp(ParsedPacket packet, Failure* failure) {
  const size_t available = packet.bytes.size() - packet.transport_offset;
  if (available < sizeof(tcphdr)) {
    return RejectPacket(ResultCode::kBadTransportHeader,
                        "TCP header is truncated", failure);
  }
  const auto header = ReadHeader<tcphdr>(packet.bytes, packet.transport_offset);
  const size_t header_size = size_t{header.doff} * 4;
  if (header_size < sizeof(tcphdr) || header_size > available) {
    return RejectPacket(ResultCode::kBadTransportHeader,
                        "TCP data offset is out of range", failure);
  }
  packet.flow.caller.port = ntohs(header.source);
  packet.flow.service.port = ntohs(header.dest);
  packet.syn = header.syn != 0;
  packet.ack = header.ack != 0;
  packet.fin = header.fin != 0;
  packet.rst = header.rst != 0;
  packet.psh = header.psh != 0;
  packet.sequence = ntohl(header.seq);
  packet.acknowledgment = ntohl(header.ack_seq);
  packet.payload_size = static_cast<uint16_t>(available - header_size);
  ReadTimestamp(packet.transport_offset + sizeof(tcphdr),
                header_size - sizeof(tcphdr), &packet);
  return packet;
}

std::optional<ParsedPacket> ParseUdp(ParsedPacket packet, Failure* failure) {
  const size_t available = packet.bytes.size() - packet.transport_offset;
  if (available < sizeof(udphdr)) {
    return RejectPacket(ResultCode::kBadTransportHeader,
                        "UDP header is truncated", failure);
  }
  const auto header = ReadHeader<udphdr>(packet.bytes, packet.transport_offset);
  const size_t length = ntohs(header.len);
  if (length < sizeof(udphdr) || length > available) {
    return RejectPacket(ResultCode::kBadTransportHeader,
                        "UDP length is out of range", failure);
  }
  packet.flow.caller.port = ntohs(header.source);
  packet.flow.service.port = ntohs(header.dest);
  packet.payload_size = static_cast<uint16_t>(length - sizeof(udphdr));
  return packet;
}

std::optional<ParsedPacket> ParseTransport(ParsedPacket packet,
                                           Failure* failure) {
  switch (packet.flow.protocol) {
    case IPPROTO_TCP:
      return ParseTcp(packet, failure);
    case IPPROTO_UDP:
      return ParseUdp(packet, failure);
    default:
      return RejectPacket(ResultCode::kUnsupportedProtocol,
                          "neither TCP nor UDP inside the IP packet", failure);
  }
}

std::optional<ParsedPacket> ParseIpv4(std::span<const std::byte> bytes,
                                      Failure* failure) {
  if (bytes.size() < sizeof(iphdr)) {
    return RejectPacket(ResultCode::kPacketTooShort, "IPv4 header is truncated",
                        failure);
  }
  const auto header = ReadHeader<iphdr>(bytes, 0);
  const size_t header_size = size_t{header.ihl} * 4;
  const size_t total = ntohs(header.tot_len);
  if (header_size < sizeof(iphdr) || total < header_size ||
      total > bytes.size()) {
    return RejectPacket(ResultCode::kBadIpHeader,
                        "IPv4 lengths are out of range", failure);
  }
  if ((ntohs(header.frag_off) & (IP_MF | IP_OFFMASK)) != 0) {
    return RejectPacket(ResultCode::kFragment, "IPv4 fragment", failure);
  }
  ParsedPacket packet;
  packet.bytes = bytes.first(total);
  packet.transport_offset = static_cast<uint16_t>(header_size);
  packet.flow.protocol = header.protocol;
  packet.flow.caller.address =
      MapIpv4(reinterpret_cast<const uint8_t*>(&header.saddr));
  packet.flow.service.address =
      MapIpv4(reinterpret_cast<const uint8_t*>(&header.daddr));
  return ParseTransport(packet, failure);
}

std::optional<ParsedPacket> ParseIpv6(std::span<const std::byte> bytes,
                                      Failure* failure) {
  if (bytes.size() < sizeof(ip6_hdr)) {
    return RejectPacket(ResultCode::kPacketTooShort, "IPv6 header is truncated",
                        failure);
  }
  const auto header = ReadHeader<ip6_hdr>(bytes, 0);
  const size_t total = sizeof(ip6_hdr) + ntohs(header.ip6_plen);
  if (total > bytes.size()) {
    return RejectPacket(ResultCode::kBadIpHeader, "IPv6 length is out of range",
                        failure);
  }
  if (header.ip6_nxt == IPPROTO_FRAGMENT) {
    return RejectPacket(ResultCode::kFragment, "IPv6 fragment", failure);
  }
  ParsedPacket packet;
  packet.bytes = bytes.first(total);
  packet.transport_offset = sizeof(ip6_hdr);
  packet.flow.protocol = header.ip6_nxt;
  std::memcpy(packet.flow.caller.address.data(), &header.ip6_src, 16);
  std::memcpy(packet.flow.service.address.data(), &header.ip6_dst, 16);
  return ParseTransport(packet, failure);
}

}  // namespace

bool ParsedPacket::IsFirst() const {
  return flow.protocol == IPPROTO_UDP || (syn && !ack);
}

std::optional<ParsedPacket> ParsePacket(std::span<const std::byte> bytes,
                                        Failure* failure) {
  if (bytes.empty()) {
    return RejectPacket(ResultCode::kPacketTooShort, "empty packet", failure);
  }
  switch (std::to_integer<uint8_t>(bytes[0]) >> 4) {
    case 4:
      return ParseIpv4(bytes, failure);
    case 6:
      return ParseIpv6(bytes, failure);
    default:
      return RejectPacket(ResultCode::kBadIpVersion, "IP version is not 4 or 6",
                          failure);
  }
}

}  // namespace kumquatvalve::request
