#include "kumquatvalve/connection/timestamp_hint.h"

#include <netinet/in.h>
#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "kumquatvalve/connection/reset_packet.h"

namespace kumquatvalve::connection {
namespace {

// With a wrong checksum the caller would drop every packet with a hint.
TEST_CASE("timestamp_hint: the checksum matches the changed packet") {
  CHECK(rc::check("same as a packet built with the values", [] {
    EmptySegment segment;
    segment.flow.caller = {request::Address{}, 1000};
    segment.flow.caller.address[10] = 0xff;
    segment.flow.caller.address[11] = 0xff;
    segment.flow.service = segment.flow.caller;
    segment.flow.protocol = IPPROTO_TCP;
    segment.ack = true;
    segment.sequence = *rc::gen::arbitrary<uint32_t>();
    segment.ts_value = *rc::gen::arbitrary<uint32_t>();
    segment.ts_echo = *rc::gen::arbitrary<uint32_t>();
    auto bytes = BuildSegment(segment);
    request::Failure failure;
    const auto packet = request::ParsePacket(bytes, &failure);
    RC_ASSERT(packet.has_value());
    segment.ts_value = *rc::gen::arbitrary<uint32_t>();
    segment.ts_echo = *rc::gen::arbitrary<uint32_t>();
    auto copy = bytes;
    ReplaceTimestampValue(*packet, *segment.ts_value, copy);
    ReplaceTimestampEcho(*packet, *segment.ts_echo, copy);
    RC_ASSERT(copy == BuildSegment(segment));
  }));
}

}  // namespace
}  // namespace kumquatvalve::connection
