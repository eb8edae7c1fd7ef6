#include "kumquatvalve/request/hop_message.h"

#include <netinet/in.h>

#include <catch2/catch.hpp>
#include <vector>

namespace kumquatvalve::request {
namespace {

Endpoint Parse(const char* text) {
  Failure failure;
  return *ParseEndpoint(text, &failure);
}

HopMessage MakeMessage(HopKind kind) {
  HopMessage message;
  message.kind = kind;
  message.service = ServiceTagOf("order-desk");
  message.flow = {Parse("100.64.0.7:40001"), Parse("198.18.0.1:443"),
                  IPPROTO_TCP};
  message.acknowledgment = 0xfedcba98;
  message.load = {1700000000123, 4, 3, 2, 1999, 26000, true, true, 17};
  message.warm_up_per_second_tenths = 405;
  message.list = {7, 1, 3, true, true};
  message.missed_only_first_flows = true;
  return message;
}

// Guards against fields that differ after encoding and decoding.
TEST_CASE("hop_message: every kind is decoded as it was encoded") {
  for (int i = 1; i <= 12; ++i) {
    const HopMessage message = MakeMessage(static_cast<HopKind>(i));
    const HopBuffer buf = EncodeHopMessage(message);
    std::span<const std::byte> packet;
    Failure failure;
    const auto read = DecodeHopMessage(buf.span(), &packet, &failure);
    REQUIRE(read);
    CHECK(read->kind == message.kind);
    CHECK(read->service == message.service);
    CHECK(packet.empty());
    if (read->kind == HopKind::kLocate) {
      CHECK(read->flow == message.flow);
      CHECK(read->acknowledgment == message.acknowledgment);
    }
    if (read->kind == HopKind::kInconclusive) {
      CHECK(read->missed_only_first_flows);
    }
    if (read->kind == HopKind::kLoad) {
      CHECK(read->load == message.load);
    }
    if (read->kind == HopKind::kServiceLimits) {
      CHECK(read->warm_up_per_second_tenths == 405);
    }
    if (read->kind == HopKind::kList || read->kind == HopKind::kFlows) {
      CHECK(read->list == message.list);
    }
  }
}

TEST_CASE("hop_message: a packet follows only messages that carry one") {
  const std::vector<std::byte> data(40, std::byte{7});
  for (const auto kind : {HopKind::kPacket, HopKind::kHello}) {
    const HopBuffer buf = EncodeHopMessage(MakeMessage(kind));
    std::vector<std::byte> datagram(buf.span().begin(), buf.span().end());
    datagram.insert(datagram.end(), data.begin(), data.end());
    std::span<const std::byte> packet;
    Failure failure;
    const auto read = DecodeHopMessage(datagram, &packet, &failure);
    CHECK(read.has_value() == (kind == HopKind::kPacket));
    if (read) {
      CHECK(std::equal(packet.begin(), packet.end(), data.begin(), data.end()));
    }
  }
}

TEST_CASE("hop_message: a final offer carries how long the caller waits") {
  HopMessage message = MakeMessage(HopKind::kPacket);
  message.final_offer = true;
  message.max_wait = std::chrono::milliseconds(1200);
  std::span<const std::byte> packet;
  Failure failure;
  auto read =
      DecodeHopMessage(EncodeHopMessage(message).span(), &packet, &failure);
  REQUIRE(read);
  CHECK(read->max_wait == std::chrono::milliseconds(1200));
  // A time that does not fit into the field must not become a short one.
  message.max_wait = std::chrono::hours(1);
  read = DecodeHopMessage(EncodeHopMessage(message).span(), &packet, &failure);
  REQUIRE(read);
  CHECK(read->max_wait == std::chrono::milliseconds(65535));
}

TEST_CASE("hop_message: a final offer carries the time to its target") {
  HopMessage message = MakeMessage(HopKind::kPacket);
  message.final_offer = true;
  message.max_wait = std::chrono::milliseconds(500);
  const size_t without = EncodeHopMessage(message).size;
  message.target_remaining = std::chrono::milliseconds(120);
  std::span<const std::byte> packet;
  Failure failure;
  const auto read =
      DecodeHopMessage(EncodeHopMessage(message).span(), &packet, &failure);
  REQUIRE(read);
  CHECK(read->max_wait == std::chrono::milliseconds(500));
  CHECK(read->target_remaining == std::chrono::milliseconds(120));
  CHECK(EncodeHopMessage(message).size == without + 2);
}

// Guards against a rolling upgrade in which one version reads a priority or an
// allowance that the other one did not send.
TEST_CASE(
    "hop_message: a byte of 0 stands for an unknown priority or allowance") {
  HopMessage packet_message = MakeMessage(HopKind::kPacket);
  HopMessage load_message = MakeMessage(HopKind::kLoad);
  load_message.load.warm_up_allowance.reset();
  constexpr size_t kReasonByte = 3;
  CHECK(EncodeHopMessage(packet_message).bytes[kReasonByte] == std::byte{0});
  CHECK(EncodeHopMessage(load_message).bytes[kReasonByte] == std::byte{0});
  packet_message.priority = 0;
  load_message.load.warm_up_allowance = 255;
  std::span<const std::byte> packet;
  Failure failure;
  const auto read = DecodeHopMessage(EncodeHopMessage(packet_message).span(),
                                     &packet, &failure);
  REQUIRE(read);
  CHECK(read->priority == std::optional<uint8_t>(0));
  const auto load = DecodeHopMessage(EncodeHopMessage(load_message).span(),
                                     &packet, &failure);
  REQUIRE(load);
  CHECK(load->load.warm_up_allowance == kMaxWarmUpAllowance);
}

TEST_CASE("hop_message: fingerprints are decoded as they were encoded") {
  const std::vector<uint32_t> values = {0, 1, 0xfedcba98, 0xffffffff};
  CHECK(DecodeFingerprints(EncodeFingerprints(values)) == values);
  // A truncated value is omitted.
  CHECK(DecodeFingerprints(std::vector<std::byte>(7)).size() == 1);
  FlowKey key = MakeMessage(HopKind::kLocate).flow;
  const uint32_t fingerprint = FlowFingerprint(key);
  CHECK(FlowFingerprint(key) == fingerprint);
  ++key.caller.port;
  CHECK(FlowFingerprint(key) != fingerprint);
}

TEST_CASE("hop_message: a truncated or foreign datagram is rejected") {
  const HopBuffer buf = EncodeHopMessage(MakeMessage(HopKind::kLoad));
  for (size_t n = 0; n < buf.size; ++n) {
    std::span<const std::byte> packet;
    Failure failure;
    CHECK_FALSE(DecodeHopMessage(buf.span().first(n), &packet, &failure));
    CHECK(failure.code == ResultCode::kBadMessage);
  }
  HopBuffer foreign = buf;
  foreign.bytes[0] = std::byte{0x45};
  std::span<const std::byte> packet;
  Failure failure;
  CHECK_FALSE(DecodeHopMessage(foreign.span(), &packet, &failure));
}

}  // namespace
}  // namespace kumquatvalve::request
