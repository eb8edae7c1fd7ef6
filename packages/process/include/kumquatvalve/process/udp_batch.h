#ifndef KUMQUATVALVE_PROCESS_UDP_BATCH_H_
#define KUMQUATVALVE_PROCESS_UDP_BATCH_H_

#include <ace/SOCK_Dgram.h>
#include <sys/socket.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/forward_header.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::process {

/// Packets that one system call takes or sends.
inline constexpr size_t kBatchPackets = 64;

/// Largest inner packet.
inline constexpr size_t kMaxPacketSize = 2048;

/// Largest datagram: a packet with its forward header.
inline constexpr size_t kMaxDatagramSize =
    request::kForwardHeaderSize + kMaxPacketSize;

/// A non-blocking UDP socket bound to one endpoint.
class UdpSocket {
 public:
  UdpSocket() = default;
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  /// Opens and binds the socket.
  /// @param shared several sockets of this process share the endpoint; the
  ///   kernel spreads datagrams over them by sender.
  /// @return false and `kSocketError` in `failure`.
  bool Open(const request::Endpoint& local, bool shared,
            request::Failure* failure);

  /// The endpoint in use; differs from the one asked for when its port was 0.
  request::Endpoint Local() const;

  void Close();

  int handle() const { return socket_.get_handle(); }

 private:
  ACE_SOCK_Dgram socket_;
};

/// Buffers for recvmmsg with room for a forward header before each packet, so
/// that a packet is sent on without a copy.
class ReceiveBatch {
 public:
  ReceiveBatch();

  /// Takes what waits on the socket, at most `kBatchPackets`.
  /// @return the number of packets, 0 when none waits or the socket reports
  ///   an ICMP error of an earlier send.
  size_t Receive(const UdpSocket& socket);

  /// The bytes of datagram `i`; empty when it was longer than
  /// `kMaxDatagramSize`.
  std::span<std::byte> Packet(size_t i);

  /// Packet `i` with the room for a forward header before it.
  std::span<std::byte> PacketWithHeaderRoom(size_t i);

  const sockaddr_storage& From(size_t i) const { return from_[i]; }

 private:
  std::vector<std::byte> buffer_;
  std::vector<sockaddr_storage> from_;
  std::vector<iovec> vectors_;
  std::vector<mmsghdr> messages_;
};

/// Collects packets and sends them with sendmmsg.
class SendBatch {
 public:
  SendBatch();

  /// Adds a packet whose bytes stay valid until `Flush`.
  void Add(std::span<const std::byte> bytes, const request::Endpoint& to);

  /// Adds a copy of a packet, `head` before `bytes`.
  void AddCopy(std::span<const std::byte> head,
               std::span<const std::byte> bytes, const request::Endpoint& to);

  bool full() const { return size_ == kBatchPackets; }
  bool empty() const { return size_ == 0; }

  /// Sends everything that was added.
  /// @return the number of packets that the kernel did not take.
  size_t Flush(const UdpSocket& socket);

 private:
  size_t size_ = 0;
  std::vector<std::byte> copies_;
  std::vector<sockaddr_storage> to_;
  std::vector<iovec> vectors_;
  std::vector<mmsghdr> messages_;
};

/// Waits until one of the handles, four at most, is readable or `timeout` has
/// passed.
/// @return a bit for each handle that is readable, the first one the lowest.
uint32_t WaitReadable(std::span<const int> handles,
                      std::chrono::milliseconds timeout);

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_UDP_BATCH_H_
