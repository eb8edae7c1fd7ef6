#ifndef KUMQUATVALVE_PROCESS_UDP_BATCH_H_
#define KUMQUATVALVE_PROCESS_UDP_BATCH_H_

#include <ace/SOCK_Dgram.h>
#include <sys/socket.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/forward_header.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::process {

/// Maximum number of packets that one system call receives or sends.
inline constexpr size_t kBatchPackets = 64;

/// Maximum size of a packet without its forward header, in bytes.
inline constexpr size_t kMaxPacketSize = 2048;

/// Maximum size of a datagram in bytes: a packet with its forward header.
inline constexpr size_t kMaxDatagramSize =
    request::kForwardHeaderSize + kMaxPacketSize;

/// A non-blocking UDP socket bound to one endpoint.
class UdpSocket {
 public:
  UdpSocket() = default;
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  /// Opens and binds the socket; port 0 picks a free one.
  /// @param shared whether several sockets of this process share the endpoint
  ///   (SO_REUSEPORT); the kernel distributes datagrams over them by sender.
  /// @return false and `kSocketError` when the endpoint cannot be bound.
  bool Open(const request::Endpoint& local, bool shared,
            request::Failure* failure);

  /// Returns the bound endpoint.
  request::Endpoint Local() const;

  void Close();

  int handle() const { return socket_.get_handle(); }

 private:
  ACE_SOCK_Dgram socket_;
};

/// Receives datagrams with recvmmsg. Its buffers have room for a forward header
/// before each packet, which allows forwarding a packet without a copy.
class ReceiveBatch {
 public:
  ReceiveBatch();

  /// Receives the datagrams that wait on the socket, at most `kBatchPackets`,
  /// and overwrites those of the last call. Does not block.
  /// @return the number of datagrams, 0 when none waits or the socket reports
  ///   an ICMP error for a datagram sent earlier.
  size_t Receive(const UdpSocket& socket);

  /// Returns the bytes of datagram `i`; empty when it was longer than
  /// `kMaxDatagramSize`.
  std::span<std::byte> Packet(size_t i);

  /// Returns packet `i` with the room for a forward header before it.
  std::span<std::byte> PacketWithHeaderRoom(size_t i);

  /// Returns the sender's address of datagram `i`.
  const sockaddr_storage& From(size_t i) const { return from_[i]; }

 private:
  std::vector<std::byte> buffer_;
  std::vector<sockaddr_storage> from_;
  std::vector<iovec> vectors_;
  std::vector<mmsghdr> messages_;
};

/// Collects up to `kBatchPackets` packets and sends them with sendmmsg. A
/// packet must not be added to a full batch.
class SendBatch {
 public:
  SendBatch();

  /// Adds a packet without copying it; `bytes` must stay valid until `Flush`.
  void Add(std::span<const std::byte> bytes, const request::Endpoint& to);

  /// Adds a packet made of copies of `head` and `bytes`.
  void AddCopy(std::span<const std::byte> head,
               std::span<const std::byte> bytes, const request::Endpoint& to);

  bool full() const { return size_ == kBatchPackets; }
  bool empty() const { return size_ == 0; }

  /// Removes the packets that were added.
  /// @return their number.
  size_t Clear() { return std::exchange(size_, 0); }

  /// Sends the packets that were added and empties the batch. A packet that the
  /// kernel does not accept is dropped.
  /// @return the number of dropped packets.
  size_t Flush(const UdpSocket& socket);

 private:
  size_t size_ = 0;
  std::vector<std::byte> copies_;
  std::vector<sockaddr_storage> to_;
  std::vector<iovec> vectors_;
  std::vector<mmsghdr> messages_;
};

/// Waits until one of the file descriptors, four at most, is readable or
/// `timeout` has passed.
/// @return a bit mask of the readable ones; bit 0 stands for the first.
uint32_t WaitReadable(std::span<const int> handles,
                      std::chrono::milliseconds timeout);

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_UDP_BATCH_H_
