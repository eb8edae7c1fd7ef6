#include "kumquatvalve/request/endpoint.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstring>

namespace kumquatvalve::request {
namespace {

constexpr std::array<uint8_t, 12> kMappedPrefix = {0, 0, 0, 0, 0,    0,
                                                   0, 0, 0, 0, 0xff, 0xff};

template <typename T>
std::optional<T> BadAddress(std::string_view text, Failure* failure) {
  *failure = {ResultCode::kBadAddress,
              "'" + std::string(text) + "' is not an address"};
  return std::nullopt;
}

}  // namespace

bool IsIpv4(const Address& address) {
  return std::equal(kMappedPrefix.begin(), kMappedPrefix.end(),
                    address.begin());
}

Address MapIpv4(const uint8_t* bytes) {
  Address address;
  std::copy(kMappedPrefix.begin(), kMappedPrefix.end(), address.begin());
  std::memcpy(address.data() + kMappedPrefix.size(), bytes, 4);
  return address;
}

std::optional<Address> ParseAddress(std::string_view text, Failure* failure) {
  const std::string terminated(text);
  in_addr v4;
  if (inet_pton(AF_INET, terminated.c_str(), &v4) == 1) {
    return MapIpv4(reinterpret_cast<const uint8_t*>(&v4));
  }
  Address address;
  if (inet_pton(AF_INET6, terminated.c_str(), address.data()) == 1) {
    return address;
  }
  return BadAddress<Address>(text, failure);
}

std::string ToString(const Address& address) {
  char buf[INET6_ADDRSTRLEN];
  if (IsIpv4(address)) {
    inet_ntop(AF_INET, address.data() + kMappedPrefix.size(), buf, sizeof(buf));
  } else {
    inet_ntop(AF_INET6, address.data(), buf, sizeof(buf));
  }
  return buf;
}

std::optional<Endpoint> ParseEndpoint(std::string_view text, Failure* failure) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return BadAddress<Endpoint>(text, failure);
  }
  std::string_view host = text.substr(0, colon);
  const std::string_view port = text.substr(colon + 1);
  const bool bracketed =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  // An IPv6 address without brackets is ambiguous, so it is rejected.
  if (!bracketed && host.find(':') != std::string_view::npos) {
    return BadAddress<Endpoint>(text, failure);
  }
  const std::optional<Address> address = ParseAddress(host, failure);
  uint16_t number = 0;
  const auto [end, ec] =
      std::from_chars(port.data(), port.data() + port.size(), number);
  if (!address || port.empty() || ec != std::errc() ||
      end != port.data() + port.size()) {
    return BadAddress<Endpoint>(text, failure);
  }
  return Endpoint{*address, number};
}

std::string ToString(const Endpoint& endpoint) {
  const std::string host = ToString(endpoint.address);
  const std::string port = std::to_string(endpoint.port);
  return IsIpv4(endpoint.address) ? host + ":" + port
                                  : "[" + host + "]:" + port;
}

socklen_t ToSocketAddress(const Endpoint& endpoint, sockaddr_storage* storage) {
  std::memset(storage, 0, sizeof(*storage));
  if (IsIpv4(endpoint.address)) {
    auto* v4 = reinterpret_cast<sockaddr_in*>(storage);
    v4->sin_family = AF_INET;
    v4->sin_port = htons(endpoint.port);
    std::memcpy(&v4->sin_addr, endpoint.address.data() + kMappedPrefix.size(),
                4);
    return sizeof(sockaddr_in);
  }
  auto* v6 = reinterpret_cast<sockaddr_in6*>(storage);
  v6->sin6_family = AF_INET6;
  v6->sin6_port = htons(endpoint.port);
  std::memcpy(&v6->sin6_addr, endpoint.address.data(), 16);
  return sizeof(sockaddr_in6);
}

Endpoint FromSocketAddress(const sockaddr_storage& storage) {
  Endpoint endpoint;
  if (storage.ss_family == AF_INET) {
    const auto& v4 = reinterpret_cast<const sockaddr_in&>(storage);
    endpoint.address = MapIpv4(reinterpret_cast<const uint8_t*>(&v4.sin_addr));
    endpoint.port = ntohs(v4.sin_port);
  } else {
    const auto& v6 = reinterpret_cast<const sockaddr_in6&>(storage);
    std::memcpy(endpoint.address.data(), &v6.sin6_addr, 16);
    endpoint.port = ntohs(v6.sin6_port);
  }
  return endpoint;
}

}  // namespace kumquatvalve::request
