#ifndef KUMQUATVALVE_REQUEST_HOLDER_HINT_H_
#define KUMQUATVALVE_REQUEST_HOLDER_HINT_H_

#include <cstddef>
#include <cstdint>
#include <optional>

namespace kumquatvalve::request {

/// Bits by which a sidecar extends the upstream's TCP timestamp.
inline constexpr unsigned kHolderHintBits = 3;

/// Stands for "no hint"; holders from this index on have none.
inline constexpr uint32_t kNoHolderHint = (1U << kHolderHintBits) - 1;

/// The timestamp that the caller sees: the upstream's with the holder's index
/// in the service's list of upstreams in its low bits. It stays monotonic, as
/// RFC 7323 demands, and ticks 8 times as fast.
uint32_t ExtendTimestamp(uint32_t upstream_value, size_t holder_index);

/// The holder's index in a caller's timestamp echo, or nothing.
std::optional<size_t> DecodeHolderHint(uint32_t echo);

/// The upstream's timestamp in a caller's echo. The bits that did not fit are
/// taken from `latest`, the last timestamp that the upstream sent: an echo is
/// never later than it.
uint32_t RestoreTimestamp(uint32_t echo, uint32_t latest);

}  // namespace kumquatvalve::request

#endif  // KUMQUATVALVE_REQUEST_HOLDER_HINT_H_
