#include "kumquatvalve/request/forward_header.h"

#include <endian.h>

#include <cstring>

namespace kumquatvalve::request {
namespace {

constexpr uint16_t kMagic = 0x4b56;
constexpr uint8_t kLayoutVersion = 1;

// All integers are in network byte order.
struct WireHeader {
  uint16_t magic;
  uint8_t layout;
  uint8_t flags;
  uint8_t hops;
  uint8_t reserved[3];
  uint32_t row;
  uint32_t reserved_word;
  uint64_t service;
  uint64_t version;
  uint64_t sender;
  uint64_t target;
  uint64_t target_incarnation;
  uint64_t tag;
};
static_assert(sizeof(WireHeader) == kForwardHeaderSize);

uint64_t ComputeTag(const WireHeader& wire, const HashKey& key) {
  return HashBytes(
      key, std::as_bytes(std::span(&wire, 1)).first(offsetof(WireHeader, tag)));
}

}  // namespace

void WriteForwardHeader(const ForwardHeader& header, const HashKey& key,
                        std::span<std::byte> out) {
  WireHeader wire = {};
  wire.magic = htobe16(kMagic);
  wire.layout = kLayoutVersion;
  wire.flags = header.flags;
  wire.hops = header.hops;
  wire.row = htobe32(header.row.value);
  wire.service = htobe64(header.service.value);
  wire.version = htobe64(header.version.value);
  wire.sender = htobe64(header.sender.value);
  wire.target = htobe64(header.target.value);
  wire.target_incarnation = htobe64(header.target_incarnation.value);
  wire.tag = htobe64(ComputeTag(wire, key));
  std::memcpy(out.data(), &wire, sizeof(wire));
}

std::optional<ForwardHeader> ReadForwardHeader(std::span<const std::byte> bytes,
                                               const HashKey& key,
                                               Failure* failure) {
  if (bytes.size() <= kForwardHeaderSize) {
    *failure = {ResultCode::kBadForwardHeader,
                "datagram has no packet after the forward header"};
    return std::nullopt;
  }
  WireHeader wire;
  std::memcpy(&wire, bytes.data(), sizeof(wire));
  if (be16toh(wire.magic) != kMagic || wire.layout != kLayoutVersion) {
    *failure = {ResultCode::kBadForwardHeader,
                "unknown magic number or layout version"};
    return std::nullopt;
  }
  if (be64toh(wire.tag) != ComputeTag(wire, key)) {
    *failure = {ResultCode::kBadForwardTag,
                "authentication tag does not match"};
    return std::nullopt;
  }
  ForwardHeader header;
  header.flags = wire.flags;
  header.hops = wire.hops;
  header.row = {be32toh(wire.row)};
  header.service = {be64toh(wire.service)};
  header.version = {be64toh(wire.version)};
  header.sender = {be64toh(wire.sender)};
  header.target = {be64toh(wire.target)};
  header.target_incarnation = {be64toh(wire.target_incarnation)};
  return header;
}

}  // namespace kumquatvalve::request
