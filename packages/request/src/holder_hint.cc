#include "kumquatvalve/request/holder_hint.h"

#include <algorithm>

namespace kumquatvalve::request {
namespace {

constexpr uint32_t kTimestampBitsMask = 0xffffffffU >> kHolderHintBits;

}  // namespace

uint32_t ExtendTimestamp(uint32_t upstream_value, size_t holder_index) {
  const auto index =
      static_cast<uint32_t>(std::min<size_t>(holder_index, kNoHolderHint));
  return (upstream_value << kHolderHintBits) | index;
}

std::optional<size_t> DecodeHolderHint(uint32_t echo) {
  const uint32_t index = echo & kNoHolderHint;
  if (index == kNoHolderHint) {
    return std::nullopt;
  }
  return index;
}

uint32_t RestoreTimestamp(uint32_t echo, uint32_t latest) {
  const uint32_t low_bits = echo >> kHolderHintBits;
  // The echo lacks the high bits, which come from the latest timestamp. A value
  // later than that one belongs to the previous wrap of the low bits.
  const uint32_t candidate = (latest & ~kTimestampBitsMask) | low_bits;
  return static_cast<int32_t>(candidate - latest) > 0
             ? candidate - (kTimestampBitsMask + 1)
             : candidate;
}

}  // namespace kumquatvalve::request
