#include "kumquatvalve/process/udp_batch.h"

#include <ace/OS_NS_sys_socket.h>
#include <poll.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace kumquatvalve::process {
namespace {

constexpr size_t kSlotSize = request::kForwardHeaderSize + kMaxDatagramSize;

// Absorbs bursts of a few milliseconds at 1 million packets/s; the kernel caps
// it at net.core.rmem_max.
constexpr int kSocketBufferBytes = 4 << 20;

}  // namespace

UdpSocket::~UdpSocket() { Close(); }

bool UdpSocket::Open(const request::Endpoint& local, bool shared,
                     request::Failure* failure) {
  sockaddr_storage address = {};
  const socklen_t size = ToSocketAddress(local, &address);
  const auto fail = [&](const char* what) {
    *failure = {request::ResultCode::kSocketError, std::string(what) + " " +
                                                       ToString(local) + ": " +
                                                       std::strerror(errno)};
    Close();
    return false;
  };
  // The socket is not opened with ACE_SOCK_Dgram::open, which binds before
  // SO_REUSEPORT could be set.
  socket_.set_handle(ACE_OS::socket(address.ss_family,
                                    SOCK_DGRAM | SOCK_CLOEXEC, IPPROTO_UDP));
  if (socket_.get_handle() == ACE_INVALID_HANDLE) {
    return fail("cannot open a UDP socket for");
  }
  int on = 1;
  if (shared &&
      socket_.set_option(SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on)) != 0) {
    return fail("cannot set SO_REUSEPORT for");
  }
  int bytes = kSocketBufferBytes;
  socket_.set_option(SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
  socket_.set_option(SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
  socket_.enable(ACE_NONBLOCK);
  if (ACE_OS::bind(socket_.get_handle(), reinterpret_cast<sockaddr*>(&address),
                   static_cast<int>(size)) != 0) {
    return fail("cannot bind UDP endpoint");
  }
  return true;
}

request::Endpoint UdpSocket::Local() const {
  sockaddr_storage address = {};
  socklen_t size = sizeof(address);
  getsockname(handle(), reinterpret_cast<sockaddr*>(&address), &size);
  return request::FromSocketAddress(address);
}

void UdpSocket::Close() {
  if (socket_.get_handle() != ACE_INVALID_HANDLE) {
    socket_.close();
  }
}

ReceiveBatch::ReceiveBatch()
    : buffer_(kBatchPackets * kSlotSize),
      from_(kBatchPackets),
      vectors_(kBatchPackets),
      messages_(kBatchPackets) {
  for (size_t i = 0; i < kBatchPackets; ++i) {
    vectors_[i] = {buffer_.data() + i * kSlotSize + request::kForwardHeaderSize,
                   kMaxDatagramSize};
    messages_[i].msg_hdr.msg_iov = &vectors_[i];
    messages_[i].msg_hdr.msg_iovlen = 1;
    messages_[i].msg_hdr.msg_name = &from_[i];
  }
}

size_t ReceiveBatch::Receive(const UdpSocket& socket) {
  for (mmsghdr& it : messages_) {
    it.msg_hdr.msg_namelen = sizeof(sockaddr_storage);
  }
  const int n = recvmmsg(socket.handle(), messages_.data(), kBatchPackets,
                         MSG_DONTWAIT, nullptr);
  return n < 0 ? 0 : static_cast<size_t>(n);
}

std::span<std::byte> ReceiveBatch::Packet(size_t i) {
  if ((messages_[i].msg_hdr.msg_flags & MSG_TRUNC) != 0) {
    return {};
  }
  return {static_cast<std::byte*>(vectors_[i].iov_base), messages_[i].msg_len};
}

std::span<std::byte> ReceiveBatch::PacketWithHeaderRoom(size_t i) {
  const std::span<std::byte> packet = Packet(i);
  return {packet.data() - request::kForwardHeaderSize,
          packet.size() + request::kForwardHeaderSize};
}

SendBatch::SendBatch()
    : copies_(kBatchPackets * kSlotSize),
      to_(kBatchPackets),
      vectors_(kBatchPackets),
      messages_(kBatchPackets) {
  for (size_t i = 0; i < kBatchPackets; ++i) {
    messages_[i].msg_hdr.msg_iov = &vectors_[i];
    messages_[i].msg_hdr.msg_iovlen = 1;
    messages_[i].msg_hdr.msg_name = &to_[i];
  }
}

void SendBatch::Add(std::span<const std::byte> bytes,
                    const request::Endpoint& to) {
  messages_[size_].msg_hdr.msg_namelen = ToSocketAddress(to, &to_[size_]);
  vectors_[size_] = {const_cast<std::byte*>(bytes.data()), bytes.size()};
  ++size_;
}

void SendBatch::AddCopy(std::span<const std::byte> head,
                        std::span<const std::byte> bytes,
                        const request::Endpoint& to) {
  std::byte* copy = copies_.data() + size_ * kSlotSize;
  std::memcpy(copy, head.data(), head.size());
  std::memcpy(copy + head.size(), bytes.data(), bytes.size());
  Add({copy, head.size() + bytes.size()}, to);
}

size_t SendBatch::Flush(const UdpSocket& socket) {
  size_t processed = 0;
  size_t unsent = 0;
  int retries = 0;
  while (processed < size_) {
    const int n = sendmmsg(socket.handle(), messages_.data() + processed,
                           static_cast<unsigned>(size_ - processed), 0);
    if (n > 0) {
      processed += static_cast<size_t>(n);
      retries = 0;
      continue;
    }
    // ECONNREFUSED reports an ICMP error for an earlier datagram; the call can
    // be repeated.
    if ((errno == EINTR || errno == ECONNREFUSED) && ++retries < 4) {
      continue;
    }
    ++processed;
    ++unsent;
    retries = 0;
  }
  size_ = 0;
  return unsent;
}

uint32_t WaitReadable(std::span<const int> handles,
                      std::chrono::milliseconds timeout) {
  std::array<pollfd, 4> poll_fds = {};
  size_t n = 0;
  for (const int it : handles) {
    poll_fds[n++] = {it, POLLIN, 0};
  }
  poll(poll_fds.data(), n, static_cast<int>(timeout.count()));
  uint32_t readable = 0;
  for (size_t i = 0; i < n; ++i) {
    readable |= poll_fds[i].revents != 0 ? 1U << i : 0;
  }
  return readable;
}

}  // namespace kumquatvalve::process
