#include "kumquatvalve/connection/timestamp_hint.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>

#include <array>
#include <cstring>

namespace kumquatvalve::connection {
namespace {

constexpr size_t kValueOffset = 2;
constexpr size_t kEchoOffset = 6;

// The part of the checksum's 16-bit word sum that comes from four bytes at
// `offset` of the TCP header; an option may start at an odd offset.
uint32_t WordSum(std::span<const std::byte> bytes, size_t offset) {
  uint32_t sum = 0;
  for (size_t i = 0; i < bytes.size(); ++i) {
    const auto value = std::to_integer<uint32_t>(bytes[i]);
    sum += (offset + i) % 2 == 0 ? value << 8U : value;
  }
  return sum;
}

void ReplaceOptionValue(const request::ParsedPacket& packet,
                        size_t offset_in_option, uint32_t value,
                        std::span<std::byte> copy) {
  if (packet.timestamp_offset == 0) {
    return;
  }
  const size_t at = packet.timestamp_offset + offset_in_option;
  const size_t offset = at - packet.transport_offset;
  const size_t check_at = packet.transport_offset + offsetof(tcphdr, check);
  std::array<std::byte, 4> new_bytes;
  const uint32_t wire = htonl(value);
  std::memcpy(new_bytes.data(), &wire, sizeof(wire));

  uint16_t check;
  std::memcpy(&check, copy.data() + check_at, sizeof(check));
  // HC' = ~(~HC + ~m + m'); the complement of a sum of words is subtracted
  // modulo 0xffff.
  uint32_t sum = static_cast<uint16_t>(~ntohs(check));
  uint32_t old_sum = WordSum(copy.subspan(at, 4), offset);
  old_sum = (old_sum & 0xffffU) + (old_sum >> 16U);
  old_sum = (old_sum & 0xffffU) + (old_sum >> 16U);
  sum += 0xffffU - old_sum;
  sum += WordSum(new_bytes, offset);
  while ((sum >> 16U) != 0) {
    sum = (sum & 0xffffU) + (sum >> 16U);
  }
  check = htons(static_cast<uint16_t>(~sum));
  std::memcpy(copy.data() + at, new_bytes.data(), new_bytes.size());
  std::memcpy(copy.data() + check_at, &check, sizeof(check));
}

}  // namespace

void ReplaceTimestampValue(const request::ParsedPacket& packet, uint32_t value,
                           std::span<std::byte> copy) {
  ReplaceOptionValue(packet, kValueOffset, value, copy);
}

void ReplaceTimestampEcho(const request::ParsedPacket& packet, uint32_t echo,
                          std::span<std::byte> copy) {
  ReplaceOptionValue(packet, kEchoOffset, echo, copy);
}

}  // namespace kumquatvalve::connection
