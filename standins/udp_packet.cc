#include "udp_packet.h"

#include <netinet/in.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <cstring>
#include <span>

namespace kumquatvalve::standins {
namespace {

constexpr size_t kTcpOptionBytes = 12;
constexpr size_t kHeaderBytes =
    sizeof(iphdr) + sizeof(tcphdr) + kTcpOptionBytes;

// Adds the 16-bit big-endian words of `bytes` to `sum`.
uint32_t AddWords(std::span<const std::byte> bytes, uint32_t sum) {
  for (size_t i = 0; i < bytes.size(); i += 2) {
    sum += std::to_integer<uint32_t>(bytes[i]) << 8;
    if (i + 1 < bytes.size()) {
      sum += std::to_integer<uint32_t>(bytes[i + 1]);
    }
  }
  return sum;
}

uint16_t FoldChecksum(uint32_t sum) {
  while ((sum >> 16) != 0) {
    sum = (sum & 0xffff) + (sum >> 16);
  }
  return static_cast<uint16_t>(~sum);
}

// The checksum of RFC 9293 over the pseudo header and the segment that starts
// at `offset`; 0 when the segment carries a correct checksum.
uint16_t TcpChecksum(std::span<const std::byte> packet, size_t offset) {
  const std::span<const std::byte> segment = packet.subspan(offset);
  uint32_t sum = AddWords(packet.subspan(12, 8), 0);
  sum += IPPROTO_TCP + static_cast<uint32_t>(segment.size());
  return FoldChecksum(AddWords(segment, sum));
}

uint32_t ToIpv4Address(const request::Address& address) {
  uint32_t v4 = 0;
  std::memcpy(&v4, address.data() + 12, sizeof(v4));
  return v4;
}

}  // namespace

std::vector<std::byte> MakeTcpPacket(const TcpFields& fields,
                                     std::string_view payload) {
  std::vector<std::byte> bytes(kHeaderBytes + payload.size());
  iphdr ip = {};
  ip.version = 4;
  ip.ihl = sizeof(ip) / 4;
  ip.tot_len = htons(static_cast<uint16_t>(bytes.size()));
  ip.frag_off = htons(IP_DF);
  ip.ttl = 64;
  ip.protocol = IPPROTO_TCP;
  ip.saddr = ToIpv4Address(fields.from.address);
  ip.daddr = ToIpv4Address(fields.to.address);
  std::memcpy(bytes.data(), &ip, sizeof(ip));
  ip.check =
      htons(FoldChecksum(AddWords(std::span(bytes).first(sizeof(ip)), 0)));
  std::memcpy(bytes.data(), &ip, sizeof(ip));

  tcphdr tcp = {};
  tcp.source = htons(fields.from.port);
  tcp.dest = htons(fields.to.port);
  tcp.seq = htonl(fields.sequence);
  tcp.ack_seq = htonl(fields.acknowledgment);
  tcp.doff = (sizeof(tcp) + kTcpOptionBytes) / 4;
  tcp.syn = fields.syn;
  tcp.ack = fields.ack;
  tcp.fin = fields.fin;
  tcp.rst = fields.rst;
  tcp.psh = fields.psh;
  tcp.window = htons(65535);
  std::byte* tcp_header = bytes.data() + sizeof(ip);
  std::memcpy(tcp_header, &tcp, sizeof(tcp));
  const uint8_t option_header[4] = {TCPOPT_NOP, TCPOPT_NOP, TCPOPT_TIMESTAMP,
                                    10};
  const uint32_t timestamps[2] = {htonl(fields.ts_value),
                                  htonl(fields.ts_echo)};
  std::memcpy(tcp_header + sizeof(tcp), option_header, sizeof(option_header));
  std::memcpy(tcp_header + sizeof(tcp) + sizeof(option_header), timestamps,
              sizeof(timestamps));
  std::ranges::copy(std::as_bytes(std::span(payload)),
                    bytes.begin() + kHeaderBytes);
  tcp.check = htons(TcpChecksum(bytes, sizeof(ip)));
  std::memcpy(tcp_header, &tcp, sizeof(tcp));
  return bytes;
}

bool HasValidChecksum(const request::ParsedPacket& packet) {
  return TcpChecksum(packet.bytes, packet.transport_offset) == 0;
}

std::string_view Payload(const request::ParsedPacket& packet) {
  const auto bytes =
      packet.bytes.subspan(packet.bytes.size() - packet.payload_size);
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

}  // namespace kumquatvalve::standins
