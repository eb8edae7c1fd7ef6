#ifndef KUMQUATVALVE_STANDINS_TCP_SESSION_H_
#define KUMQUATVALVE_STANDINS_TCP_SESSION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/packet.h"

namespace kumquatvalve::standins {

/// One end of a TCP connection, with the part of RFC 9293 that the stand-ins
/// need: handshake, in-order data, acknowledgments, FIN, RST and retransmission
/// with exponential backoff. There is no selective acknowledgment, congestion
/// control or flow control. Not thread-safe.
class TcpSession {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  /// Called with each IP packet to send, already by `Connect` and `Accept`.
  using PacketSender = std::function<void(const std::vector<std::byte>&)>;

  enum class State {
    kSynSent,
    kSynReceived,
    kOpen,
    kClosed,
    kReset,
    kTimedOut
  };

  /// Creates a caller's end and sends the SYN.
  /// @param sequence initial sequence number.
  static TcpSession Connect(const request::Endpoint& local,
                            const request::Endpoint& remote, uint32_t sequence,
                            PacketSender send, TimePoint now);

  /// Creates an upstream's end for a received SYN and sends the SYN-ACK.
  /// @param sequence initial sequence number.
  static TcpSession Accept(const request::ParsedPacket& syn, uint32_t sequence,
                           PacketSender send, TimePoint now);

  /// Handles a packet from the other end.
  void OnPacket(const request::ParsedPacket& packet, TimePoint now);

  /// Retransmits what has reached its retransmission timeout. The state becomes
  /// `kTimedOut` when the other end acknowledged nothing new for a minute.
  void OnTick(TimePoint now);

  /// Queues bytes and sends them when the connection is open.
  void Write(std::string_view bytes, TimePoint now);

  /// Sends FIN after all written bytes. Further calls have no effect.
  void Close(TimePoint now);

  /// Returns and removes the bytes received since the last call.
  std::string Read();

  State state() const { return state_; }
  bool remote_closed() const { return remote_fin_; }
  bool everything_acknowledged() const {
    return unacked_bytes_.empty() && !FinPending();
  }
  uint64_t retransmissions() const { return retransmissions_; }
  /// Retransmissions since the other end last acknowledged something new.
  uint64_t retransmissions_since_progress() const {
    return retransmissions_since_progress_;
  }
  const request::Endpoint& local() const { return local_; }
  const request::Endpoint& remote() const { return remote_; }

 private:
  TcpSession(const request::Endpoint& local, const request::Endpoint& remote,
             uint32_t sequence, PacketSender send, TimePoint now);

  bool FinPending() const { return closing_ && !fin_acked_; }
  void SendSegment(bool syn, bool fin, uint32_t sequence,
                   std::string_view payload);
  void SendUnacked(size_t from);
  void OnAcknowledgment(uint32_t number, TimePoint now);
  void UpdateState();

  request::Endpoint local_;
  request::Endpoint remote_;
  PacketSender send_;
  State state_ = State::kSynSent;
  /// Sequence number of the first byte of `unacked_bytes_`.
  uint32_t first_unacked_;
  uint32_t receive_next_ = 0;
  uint32_t ts_recent_ = 0;
  std::string unacked_bytes_;
  std::string received_;
  bool closing_ = false;
  bool fin_acked_ = false;
  bool remote_fin_ = false;
  std::chrono::milliseconds retransmission_timeout_;
  TimePoint retransmit_at_;
  TimePoint last_progress_at_;
  uint64_t retransmissions_ = 0;
  uint64_t retransmissions_since_progress_ = 0;
};

}  // namespace kumquatvalve::standins

#endif  // KUMQUATVALVE_STANDINS_TCP_SESSION_H_
