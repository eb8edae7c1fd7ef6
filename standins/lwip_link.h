#ifndef KUMQUATVALVE_STANDINS_LWIP_LINK_H_
#define KUMQUATVALVE_STANDINS_LWIP_LINK_H_

#include <lwip/netif.h>

#include <atomic>
#include <optional>
#include <string>
#include <thread>

#include "kumquatvalve/request/endpoint.h"

namespace kumquatvalve::standins {

/// The only interface of a user-space TCP/IP stack (lwIP). Its IP packets are
/// carried in UDP datagrams, as with foo-over-UDP in a kernel. The constructor
/// starts the stack; from then on the `lwip_` socket calls work. At most one
/// per process, since the stack is global.
class LwipLink {
 public:
  /// @param address IPv4 address of the stack.
  /// @param local UDP endpoint that receives packets.
  /// @param peer UDP endpoint that packets are sent to; without it they go to
  ///   the sender of the last datagram.
  /// @throws std::runtime_error when the UDP socket cannot be opened or bound.
  LwipLink(const std::string& address, const request::Endpoint& local,
           const std::optional<request::Endpoint>& peer);
  ~LwipLink();

  LwipLink(const LwipLink&) = delete;
  LwipLink& operator=(const LwipLink&) = delete;

  /// Sends one IP packet to the peer; drops it while no peer is known.
  void Send(const void* bytes, size_t size);

 private:
  void ReadLoop();

  int socket_ = -1;
  bool learn_peer_ = false;
  /// Packed IPv4 address and port, 0 while unknown.
  std::atomic<uint64_t> peer_{0};
  netif interface_{};
  std::atomic<bool> stopping_{false};
  std::thread reader_;
};

}  // namespace kumquatvalve::standins

#endif  // KUMQUATVALVE_STANDINS_LWIP_LINK_H_
