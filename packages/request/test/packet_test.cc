#include "kumquatvalve/request/packet.h"

#include <array>
#include <catch2/catch.hpp>
#include <vector>

namespace kumquatvalve::request {
namespace {

// An IPv4 TCP SYN from 10.0.0.1:1000 to 10.0.0.2:80 with a timestamp option.
std::vector<std::byte> SampleSyn() {
  const std::array<uint8_t, 52> raw = {
      0x45, 0, 0, 52,   0, 0,  0x40, 0,  64, 6, 0, 0, 10, 0, 0,    1,    10, 0,
      0,    2, 3, 0xe8, 0, 80, 0,    0,  0,  5, 0, 0, 0,  6, 0x80, 0x02, 0,  0,
      0,    0, 0, 0,    1, 1,  8,    10, 0,  0, 0, 9, 0,  0, 0,    3};
  std::vector<std::byte> bytes;
  bytes.reserve(raw.size());
  for (const uint8_t it : raw) {
    bytes.push_back(std::byte{it});
  }
  return bytes;
}

// Guards against a misread field, which would select another row or service.
TEST_CASE("packet: the fields of a TCP packet are read") {
  const auto bytes = SampleSyn();
  Failure failure;
  const auto packet = ParsePacket(bytes, &failure);
  REQUIRE(packet.has_value());
  CHECK(ToString(packet->flow.caller) == "10.0.0.1:1000");
  CHECK(ToString(packet->flow.service) == "10.0.0.2:80");
  CHECK(packet->IsFirst());
  CHECK(packet->sequence == 5);
  CHECK(packet->payload_size == 0);
  CHECK(packet->ts_value == 9);
  CHECK(packet->ts_echo == 3);
}

// Guards against reads past the end of a short datagram.
TEST_CASE("packet: every shorter prefix is rejected") {
  const auto bytes = SampleSyn();
  for (size_t n = 0; n < bytes.size(); ++n) {
    Failure failure;
    CHECK_FALSE(ParsePacket(std::span(bytes).first(n), &failure));
    CHECK(failure.code != ResultCode::kOk);
  }
}

// Fragments after the first have no ports, so they cannot be mapped to a flow.
TEST_CASE("packet: a fragment is rejected with its own code") {
  auto bytes = SampleSyn();
  bytes[6] = std::byte{0x20};
  Failure failure;
  CHECK_FALSE(ParsePacket(bytes, &failure));
  CHECK(failure.code == ResultCode::kFragment);
}

}  // namespace
}  // namespace kumquatvalve::request
