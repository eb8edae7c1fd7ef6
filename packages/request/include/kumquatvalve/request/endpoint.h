#ifndef KUMQUATVALVE_REQUEST_ENDPOINT_H_
#define KUMQUATVALVE_REQUEST_ENDPOINT_H_

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::request {

/// An IPv6 address in network byte order, or an IPv4 address in its IPv4-mapped
/// form (::ffff:a.b.c.d).
using Address = std::array<uint8_t, 16>;

/// Whether the address is IPv4-mapped.
bool IsIpv4(const Address& address);

/// The IPv4-mapped address of four bytes in network order.
Address MapIpv4(const uint8_t* bytes);

/// Parses "127.0.0.1" or "::1".
/// @return nothing and `kBadAddress` in `failure` for any other text.
std::optional<Address> ParseAddress(std::string_view text, Failure* failure);

/// Formats an address as `ParseAddress` reads it.
std::string ToString(const Address& address);

/// A UDP or TCP address and port.
struct Endpoint {
  Address address{};
  /// Host byte order.
  uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/// Parses "127.0.0.1:7000" or "[::1]:7000".
/// @return nothing and `kBadAddress` in `failure` for any other text.
std::optional<Endpoint> ParseEndpoint(std::string_view text, Failure* failure);

/// Formats an endpoint as `ParseEndpoint` reads it.
std::string ToString(const Endpoint& endpoint);

/// Fills a socket address; IPv4-mapped addresses become `sockaddr_in`.
/// @return the length of the filled part.
socklen_t ToSocketAddress(const Endpoint& endpoint, sockaddr_storage* storage);

/// The endpoint of a socket address that the kernel filled in.
Endpoint FromSocketAddress(const sockaddr_storage& storage);

}  // namespace kumquatvalve::request

#endif  // KUMQUATVALVE_REQUEST_ENDPOINT_H_
