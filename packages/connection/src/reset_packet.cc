#include "kumquatvalve/connection/reset_packet.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/ip.h>
#include <netinet/ip6.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <cstring>
#include <span>

namespace kumquatvalve::connection {
namespace {

constexpr size_t kTimestampOptionSize = 12;
constexpr uint8_t kTimeToLive = 64;

uint32_t AddToChecksum(std::span<const std::byte> bytes, uint32_t sum) {
  for (size_t i = 0; i < bytes.size(); ++i) {
    const auto value = std::to_integer<uint32_t>(bytes[i]);
    sum += i % 2 == 0 ? value << 8U : value;
  }
  return sum;
}

uint16_t FoldChecksum(uint32_t sum) {
  while ((sum >> 16U) != 0) {
    sum = (sum & 0xffffU) + (sum >> 16U);
  }
  return htons(static_cast<uint16_t>(~sum));
}

void WriteUint32(std::byte* out, uint32_t value) {
  value = htonl(value);
  std::memcpy(out, &value, sizeof(value));
}

}  // namespace

std::vector<std::byte> BuildSegment(const EmptySegment& segment) {
  const request::Address& from = segment.flow.caller.address;
  const request::Address& to = segment.flow.service.address;
  const bool v4 = request::IsIpv4(from);
  const bool timestamps = segment.ts_value && segment.ts_echo;
  const size_t ip_size = v4 ? sizeof(iphdr) : sizeof(ip6_hdr);
  const size_t tcp_size =
      sizeof(tcphdr) + (timestamps ? kTimestampOptionSize : 0);
  std::vector<std::byte> out(ip_size + tcp_size);

  tcphdr tcp = {};
  tcp.source = htons(segment.flow.caller.port);
  tcp.dest = htons(segment.flow.service.port);
  tcp.seq = htonl(segment.sequence);
  tcp.ack_seq = htonl(segment.acknowledgment);
  tcp.doff = static_cast<uint16_t>(tcp_size / 4) & 0xfU;
  tcp.syn = segment.syn ? 1 : 0;
  tcp.ack = segment.ack ? 1 : 0;
  tcp.fin = segment.fin ? 1 : 0;
  tcp.rst = segment.rst ? 1 : 0;
  std::byte* transport = out.data() + ip_size;
  std::memcpy(transport, &tcp, sizeof(tcp));
  if (timestamps) {
    std::byte* option = transport + sizeof(tcp);
    option[0] = std::byte{TCPOPT_NOP};
    option[1] = std::byte{TCPOPT_NOP};
    option[2] = std::byte{TCPOPT_TIMESTAMP};
    option[3] = std::byte{TCPOLEN_TIMESTAMP};
    WriteUint32(option + 4, *segment.ts_value);
    WriteUint32(option + 8, *segment.ts_echo);
  }

  // The checksums of IPv4 and IPv6 pseudo headers differ only by the addresses.
  const auto addresses_from = std::as_bytes(std::span(from)).last(v4 ? 4 : 16);
  const auto addresses_to = std::as_bytes(std::span(to)).last(v4 ? 4 : 16);
  uint32_t sum = IPPROTO_TCP + static_cast<uint32_t>(tcp_size);
  sum = AddToChecksum(addresses_from, sum);
  sum = AddToChecksum(addresses_to, sum);
  sum = AddToChecksum(std::span(transport, tcp_size), sum);
  const uint16_t check = FoldChecksum(sum);
  std::memcpy(transport + offsetof(tcphdr, check), &check, sizeof(check));

  if (v4) {
    iphdr ip = {};
    ip.version = 4;
    ip.ihl = sizeof(ip) / 4;
    ip.tot_len = htons(static_cast<uint16_t>(out.size()));
    ip.frag_off = htons(IP_DF);
    ip.ttl = kTimeToLive;
    ip.protocol = IPPROTO_TCP;
    std::memcpy(&ip.saddr, addresses_from.data(), 4);
    std::memcpy(&ip.daddr, addresses_to.data(), 4);
    ip.check = FoldChecksum(AddToChecksum(std::as_bytes(std::span(&ip, 1)), 0));
    std::memcpy(out.data(), &ip, sizeof(ip));
  } else {
    ip6_hdr ip = {};
    ip.ip6_vfc = 6U << 4U;
    ip.ip6_plen = htons(static_cast<uint16_t>(tcp_size));
    ip.ip6_nxt = IPPROTO_TCP;
    ip.ip6_hlim = kTimeToLive;
    std::memcpy(&ip.ip6_src, from.data(), 16);
    std::memcpy(&ip.ip6_dst, to.data(), 16);
    std::memcpy(out.data(), &ip, sizeof(ip));
  }
  return out;
}

std::vector<std::byte> BuildRefusal(const request::ParsedPacket& syn) {
  EmptySegment segment;
  segment.flow = request::Reverse(syn.flow);
  segment.rst = true;
  segment.ack = true;
  segment.acknowledgment =
      syn.sequence + 1 + syn.payload_size + (syn.fin ? 1 : 0);
  return BuildSegment(segment);
}

std::vector<std::byte> BuildProbe(const request::ParsedPacket& packet) {
  EmptySegment segment;
  segment.flow = packet.flow;
  segment.ack = true;
  segment.sequence = packet.sequence - 1;
  segment.acknowledgment = packet.acknowledgment;
  segment.ts_value = packet.ts_value;
  segment.ts_echo = packet.ts_echo;
  return BuildSegment(segment);
}

}  // namespace kumquatvalve::connection
