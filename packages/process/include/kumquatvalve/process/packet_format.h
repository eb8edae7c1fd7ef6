#ifndef KUMQUATVALVE_PROCESS_PACKET_FORMAT_H_
#define KUMQUATVALVE_PROCESS_PACKET_FORMAT_H_

#include <concepts>
#include <cstddef>
#include <optional>
#include <span>

#include "kumquatvalve/request/packet.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::process {

/// How packets of callers and upstreams look on the wire.
template <typename F>
concept PacketFormat = requires(std::span<const std::byte> bytes,
                                std::span<std::byte> writable,
                                const request::ParsedPacket& packet,
                                request::Failure* failure) {
  {
    F::Parse(bytes, failure)
    } -> std::same_as<std::optional<request::ParsedPacket>>;
  // Whether an upstream returned the packet because it did not accept it.
  { F::IsReturned(bytes) } -> std::same_as<bool>;
  // Makes a returned packet fit for another upstream.
  F::ClearReturned(writable);
  // The bytes of a reset that answers a caller's packet.
  F::BuildReset(packet);
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_PACKET_FORMAT_H_
