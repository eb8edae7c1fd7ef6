#include "kumquatvalve/request/span.h"

#include <xxhash.h>

#include <array>

namespace kumquatvalve::request {
namespace {

uint64_t HopSpanId(uint64_t trace_id, uint8_t hop) {
  return XXH64(&trace_id, sizeof(trace_id), hop);
}

}  // namespace

uint64_t TraceIdOf(const ParsedPacket& packet) {
  const std::array<uint64_t, 3> numbers = {
      FlowKeyHash()(packet.flow),
      (uint64_t{packet.sequence} << 32) | packet.acknowledgment,
      packet.ts_value.value_or(0)};
  return XXH64(numbers.data(), sizeof(numbers), 0);
}

bool IsSampled(uint64_t trace_id, uint32_t one_in) {
  return one_in != 0 && trace_id % one_in == 0;
}

SpanContext SpanOfHop(uint64_t trace_id, uint8_t hop) {
  return {trace_id, HopSpanId(trace_id, hop),
          hop > 1 ? HopSpanId(trace_id, static_cast<uint8_t>(hop - 1)) : 0};
}

}  // namespace kumquatvalve::request
