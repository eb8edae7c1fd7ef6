#ifndef KUMQUATVALVE_PROCESS_PACKET_FORMAT_H_
#define KUMQUATVALVE_PROCESS_PACKET_FORMAT_H_

#include <concepts>
#include <cstddef>
#include <optional>
#include <span>

#include "kumquatvalve/request/packet.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::process {

/// Parses and builds packets of callers and upstreams in a wire format.
template <typename F>
concept PacketFormat = requires(std::span<const std::byte> bytes,
                                std::span<std::byte> writable,
                                const request::ParsedPacket& packet,
                                request::Failure* failure) {
  {
    F::Parse(bytes, failure)
    } -> std::same_as<std::optional<request::ParsedPacket>>;
  // Whether an upstream marked the packet as rejected and sent it back.
  { F::IsReturned(bytes) } -> std::same_as<bool>;
  // Removes that mark, so that another upstream can accept the packet.
  F::ClearReturned(writable);
  // Returns the bytes of a reset in answer to a caller's packet.
  F::BuildReset(packet);
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_PACKET_FORMAT_H_
