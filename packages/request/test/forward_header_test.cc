#include "kumquatvalve/request/forward_header.h"

#include <array>
#include <catch2/catch.hpp>

namespace kumquatvalve::request {
namespace {

constexpr HashKey kKey = {1, 2, 3, 4};
constexpr HashKey kOtherKey = {1, 2, 3, 5};

ForwardHeader SampleHeader() {
  return {kToOwner | kNotOpenElsewhere, 3, {7}, {11}, {13}, {17}, {19}, {23}};
}

// Guards against packets that reach the wrong service or incarnation because a
// header field was lost on the wire.
TEST_CASE("forward_header: a written header is read back unchanged") {
  std::array<std::byte, kForwardHeaderSize + 1> buf{};
  WriteForwardHeader(SampleHeader(), kKey, buf);
  Failure failure;
  const auto header = ReadForwardHeader(buf, kKey, &failure);
  REQUIRE(header.has_value());
  CHECK(*header == SampleHeader());
}

// Packets of processes without the cluster's key must be dropped.
TEST_CASE("forward_header: a changed byte or another key is rejected") {
  std::array<std::byte, kForwardHeaderSize + 1> buf{};
  WriteForwardHeader(SampleHeader(), kKey, buf);
  Failure failure;
  CHECK_FALSE(ReadForwardHeader(buf, kOtherKey, &failure));
  CHECK(failure.code == ResultCode::kBadForwardTag);
  for (size_t i = 0; i < kForwardHeaderSize; ++i) {
    auto changed = buf;
    changed[i] ^= std::byte{1};
    CHECK_FALSE(ReadForwardHeader(changed, kKey, &failure));
  }
  CHECK_FALSE(ReadForwardHeader(std::span(buf).first(kForwardHeaderSize), kKey,
                                &failure));
  CHECK(failure.code == ResultCode::kBadForwardHeader);
}

}  // namespace
}  // namespace kumquatvalve::request
