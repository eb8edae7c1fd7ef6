#ifndef KUMQUATVALVE_REQUEST_HOLDER_HINT_H_
#define KUMQUATVALVE_REQUEST_HOLDER_HINT_H_

#include <cstddef>
#include <cstdint>
#include <optional>

namespace kumquatvalve::request {

/// How many low bits of the TCP timestamp that a caller sees encode the holder.
inline constexpr unsigned kHolderHintBits = 3;

/// The encoded value for "no hint", used for holders with this index or a
/// larger one.
inline constexpr uint32_t kNoHolderHint = (1U << kHolderHintBits) - 1;

/// The timestamp that the caller sees: the upstream's timestamp shifted left,
/// with the holder's index in the service's list of upstreams in the low bits.
/// It stays monotonic, as RFC 7323 requires, and ticks 8 times as fast.
uint32_t ExtendTimestamp(uint32_t upstream_value, size_t holder_index);

/// The holder's index in a caller's timestamp echo, or nothing for
/// `kNoHolderHint`.
std::optional<size_t> DecodeHolderHint(uint32_t echo);

/// The upstream's timestamp that a caller echoed. The high bits that were
/// shifted out are taken from `latest`, the last timestamp that the upstream
/// sent, since an echo is never later than it.
uint32_t RestoreTimestamp(uint32_t echo, uint32_t latest);

}  // namespace kumquatvalve::request

#endif  // KUMQUATVALVE_REQUEST_HOLDER_HINT_H_
