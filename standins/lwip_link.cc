#include "lwip_link.h"

#include <arpa/inet.h>
#include <lwip/ip4.h>
#include <lwip/pbuf.h>
#include <lwip/tcpip.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <functional>
#include <future>
#include <stdexcept>

namespace kumquatvalve::standins {
namespace {

// Leaves room for the outer headers and the forward header inside 1,500 bytes.
constexpr uint16_t kMtu = 1380;
constexpr size_t kMaxDatagramBytes = 2048;

// Packs the IPv4 address and port of a peer into one word, which the reader
// thread and the stack's thread share as an atomic.
uint64_t PackIpv4Endpoint(const sockaddr_in& address) {
  return (uint64_t{address.sin_addr.s_addr} << 16) | address.sin_port;
}

sockaddr_in UnpackIpv4Endpoint(uint64_t packed) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = static_cast<in_addr_t>(packed >> 16);
  address.sin_port = static_cast<in_port_t>(packed & 0xffff);
  return address;
}

sockaddr_in ToIpv4SocketAddress(const request::Endpoint& endpoint) {
  sockaddr_storage storage;
  request::ToSocketAddress(endpoint, &storage);
  sockaddr_in address;
  std::memcpy(&address, &storage, sizeof(address));
  return address;
}

err_t SendThroughLink(netif* interface, pbuf* packet, const ip4_addr_t*) {
  std::array<std::byte, kMaxDatagramBytes> buf;
  const u16_t n = pbuf_copy_partial(packet, buf.data(), buf.size(), 0);
  static_cast<LwipLink*>(interface->state)->Send(buf.data(), n);
  return ERR_OK;
}

err_t InitInterface(netif* interface) {
  interface->name[0] = 'f';
  interface->name[1] = 'u';
  interface->mtu = kMtu;
  interface->output = SendThroughLink;
  interface->flags = NETIF_FLAG_UP | NETIF_FLAG_LINK_UP;
  return ERR_OK;
}

// Starts the stack, runs `on_started` on the stack's thread, where interfaces
// may be changed, and waits for it to return.
void StartStack(const std::function<void()>& on_started) {
  struct Start {
    const std::function<void()>& call;
    std::promise<void> done;
  } start{on_started, {}};
  tcpip_init(
      [](void* argument) {
        auto* it = static_cast<Start*>(argument);
        it->call();
        it->done.set_value();
      },
      &start);
  start.done.get_future().wait();
}

}  // namespace

LwipLink::LwipLink(const std::string& address, const request::Endpoint& local,
                   const std::optional<request::Endpoint>& peer)
    : socket_(socket(AF_INET, SOCK_DGRAM, 0)), learn_peer_(!peer.has_value()) {
  const sockaddr_in bound = ToIpv4SocketAddress(local);
  if (socket_ < 0 || bind(socket_, reinterpret_cast<const sockaddr*>(&bound),
                          sizeof(bound)) != 0) {
    throw std::runtime_error("cannot bind " + request::ToString(local));
  }
  // Lets the reader thread check `stopping_` every 100 ms.
  const timeval wake_up = {0, 100000};
  setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &wake_up, sizeof(wake_up));
  if (peer) {
    peer_ = PackIpv4Endpoint(ToIpv4SocketAddress(*peer));
  }
  StartStack([&] {
    ip4_addr_t own;
    ip4_addr_t mask;
    ip4_addr_t gateway;
    ip4addr_aton(address.c_str(), &own);
    ip4addr_aton("255.255.255.255", &mask);
    ip4addr_aton("0.0.0.0", &gateway);
    netif_add(&interface_, &own, &mask, &gateway, this, InitInterface,
              tcpip_input);
    netif_set_default(&interface_);
    netif_set_up(&interface_);
  });
  reader_ = std::thread([this] { ReadLoop(); });
}

LwipLink::~LwipLink() {
  stopping_ = true;
  reader_.join();
  close(socket_);
}

void LwipLink::Send(const void* bytes, size_t size) {
  const uint64_t packed = peer_;
  if (packed == 0) {
    return;
  }
  const sockaddr_in to = UnpackIpv4Endpoint(packed);
  sendto(socket_, bytes, size, 0, reinterpret_cast<const sockaddr*>(&to),
         sizeof(to));
}

void LwipLink::ReadLoop() {
  std::array<std::byte, kMaxDatagramBytes> buf;
  while (!stopping_) {
    sockaddr_in from{};
    socklen_t from_size = sizeof(from);
    const ssize_t n = recvfrom(socket_, buf.data(), buf.size(), 0,
                               reinterpret_cast<sockaddr*>(&from), &from_size);
    if (n <= 0) {
      continue;
    }
    if (learn_peer_) {
      peer_ = PackIpv4Endpoint(from);
    }
    pbuf* packet = pbuf_alloc(PBUF_RAW, static_cast<u16_t>(n), PBUF_POOL);
    if (packet == nullptr) {
      continue;
    }
    pbuf_take(packet, buf.data(), static_cast<u16_t>(n));
    if (interface_.input(packet, &interface_) != ERR_OK) {
      pbuf_free(packet);
    }
  }
}

}  // namespace kumquatvalve::standins
