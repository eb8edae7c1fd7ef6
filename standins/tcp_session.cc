#include "tcp_session.h"

#include <algorithm>
#include <utility>

#include "udp_packet.h"

namespace kumquatvalve::standins {
namespace {

using std::chrono::milliseconds;

// Linux keeps the retransmission timeout between 200 ms and 120 s. The
// stand-ins use at most 2 s, so that a session recovers soon after an outage of
// a few seconds.
constexpr milliseconds kInitialTimeout{200};
constexpr milliseconds kMaxTimeout{2000};
constexpr std::chrono::seconds kGiveUpTimeout{60};
constexpr size_t kMaxSegmentBytes = 1200;
constexpr size_t kMaxSegmentsInFlight = 8;

// Signed distance of two sequence numbers, which wrap.
int32_t SequenceDistance(uint32_t from, uint32_t to) {
  return static_cast<int32_t>(to - from);
}

}  // namespace

TcpSession::TcpSession(const request::Endpoint& local,
                       const request::Endpoint& remote, uint32_t sequence,
                       PacketSender send, TimePoint now)
    : local_(local),
      remote_(remote),
      send_(std::move(send)),
      first_unacked_(sequence),
      retransmission_timeout_(kInitialTimeout),
      retransmit_at_(now + kInitialTimeout),
      last_progress_at_(now) {}

TcpSession TcpSession::Connect(const request::Endpoint& local,
                               const request::Endpoint& remote,
                               uint32_t sequence, PacketSender send,
                               TimePoint now) {
  TcpSession session(local, remote, sequence, std::move(send), now);
  session.SendSegment(true, false, sequence, {});
  return session;
}

TcpSession TcpSession::Accept(const request::ParsedPacket& syn,
                              uint32_t sequence, PacketSender send,
                              TimePoint now) {
  TcpSession session(syn.flow.service, syn.flow.caller, sequence,
                     std::move(send), now);
  session.state_ = State::kSynReceived;
  session.receive_next_ = syn.sequence + 1;
  session.ts_recent_ = syn.ts_value.value_or(0);
  session.SendSegment(true, false, sequence, {});
  return session;
}

void TcpSession::SendSegment(bool syn, bool fin, uint32_t sequence,
                             std::string_view payload) {
  TcpFields fields;
  fields.from = local_;
  fields.to = remote_;
  fields.syn = syn;
  fields.fin = fin;
  fields.psh = !payload.empty();
  fields.ack = state_ != State::kSynSent;
  fields.sequence = sequence;
  fields.acknowledgment = fields.ack ? receive_next_ : 0;
  fields.ts_value = static_cast<uint32_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::steady_clock::now().time_since_epoch())
          .count());
  fields.ts_echo = ts_recent_;
  send_(MakeTcpPacket(fields, payload));
}

void TcpSession::SendUnacked(size_t from) {
  const size_t end =
      std::min(unacked_bytes_.size(), kMaxSegmentsInFlight * kMaxSegmentBytes);
  for (size_t i = from; i < end; i += kMaxSegmentBytes) {
    SendSegment(false, false, first_unacked_ + static_cast<uint32_t>(i),
                std::string_view{unacked_bytes_}.substr(
                    i, std::min(kMaxSegmentBytes, end - i)));
  }
  if (FinPending() && end == unacked_bytes_.size()) {
    SendSegment(false, true, first_unacked_ + static_cast<uint32_t>(end), {});
  }
}

void TcpSession::OnAcknowledgment(uint32_t number, TimePoint now) {
  const int32_t distance = SequenceDistance(first_unacked_, number);
  const auto max_distance =
      static_cast<int32_t>(unacked_bytes_.size()) + (FinPending() ? 1 : 0);
  if (distance <= 0 || distance > max_distance) {
    return;
  }
  const size_t bytes = std::min<size_t>(distance, unacked_bytes_.size());
  if (static_cast<size_t>(distance) > bytes) {
    fin_acked_ = true;
  }
  unacked_bytes_.erase(0, bytes);
  first_unacked_ = number;
  retransmissions_since_progress_ = 0;
  retransmission_timeout_ = kInitialTimeout;
  retransmit_at_ = now + retransmission_timeout_;
  last_progress_at_ = now;
  if (!unacked_bytes_.empty()) {
    SendUnacked(0);
  }
}

void TcpSession::OnPacket(const request::ParsedPacket& packet, TimePoint now) {
  if (state_ == State::kReset || state_ == State::kTimedOut) {
    return;
  }
  if (packet.rst) {
    // Only a reset with the expected number ends the connection; a stale one
    // is ignored (RFC 9293, section 3.5.3).
    if (state_ == State::kSynSent ? packet.acknowledgment == first_unacked_ + 1
                                  : packet.sequence == receive_next_) {
      state_ = State::kReset;
    }
    return;
  }
  if (packet.ts_value) {
    ts_recent_ = *packet.ts_value;
  }
  if (state_ == State::kSynSent) {
    if (packet.syn && packet.ack &&
        packet.acknowledgment == first_unacked_ + 1) {
      state_ = State::kOpen;
      ++first_unacked_;
      receive_next_ = packet.sequence + 1;
      retransmission_timeout_ = kInitialTimeout;
      retransmit_at_ = now + retransmission_timeout_;
      last_progress_at_ = now;
      SendSegment(false, false, first_unacked_, {});
      SendUnacked(0);
    }
    return;
  }
  if (state_ == State::kSynReceived) {
    if (packet.syn) {
      SendSegment(true, false, first_unacked_, {});
      return;
    }
    if (!packet.ack || packet.acknowledgment != first_unacked_ + 1) {
      return;
    }
    state_ = State::kOpen;
    ++first_unacked_;
    last_progress_at_ = now;
  }
  if (packet.ack) {
    OnAcknowledgment(packet.acknowledgment, now);
  }
  // A segment that starts before the window is acknowledged too (RFC 9293,
  // section 3.10.7.4); the probe of a restarted sidecar relies on it.
  const bool must_acknowledge =
      packet.payload_size != 0 || packet.fin || packet.syn ||
      SequenceDistance(packet.sequence, receive_next_) > 0;
  if (packet.payload_size != 0) {
    const int32_t already_received =
        SequenceDistance(packet.sequence, receive_next_);
    if (already_received >= 0 && already_received < packet.payload_size) {
      received_ += Payload(packet).substr(already_received);
      receive_next_ +=
          packet.payload_size - static_cast<uint32_t>(already_received);
    }
  }
  if (packet.fin && !remote_fin_ &&
      packet.sequence + packet.payload_size == receive_next_) {
    remote_fin_ = true;
    ++receive_next_;
  }
  if (must_acknowledge) {
    SendSegment(false, false,
                first_unacked_ + static_cast<uint32_t>(unacked_bytes_.size()) +
                    (FinPending() ? 1 : 0),
                {});
  }
  UpdateState();
}

void TcpSession::UpdateState() {
  if (state_ == State::kOpen && fin_acked_ && remote_fin_) {
    state_ = State::kClosed;
  }
}

void TcpSession::OnTick(TimePoint now) {
  const bool in_handshake =
      state_ == State::kSynSent || state_ == State::kSynReceived;
  if (!in_handshake && (state_ != State::kOpen || everything_acknowledged())) {
    last_progress_at_ = now;
    return;
  }
  if (now < retransmit_at_) {
    return;
  }
  if (now - last_progress_at_ > kGiveUpTimeout) {
    state_ = State::kTimedOut;
    return;
  }
  ++retransmissions_;
  ++retransmissions_since_progress_;
  retransmission_timeout_ = std::min(retransmission_timeout_ * 2, kMaxTimeout);
  retransmit_at_ = now + retransmission_timeout_;
  if (in_handshake) {
    SendSegment(true, false, first_unacked_, {});
  } else {
    SendUnacked(0);
  }
}

void TcpSession::Write(std::string_view bytes, TimePoint now) {
  if (unacked_bytes_.empty()) {
    retransmit_at_ = now + retransmission_timeout_;
    last_progress_at_ = now;
  }
  const size_t before = unacked_bytes_.size();
  unacked_bytes_ += bytes;
  if (state_ == State::kOpen) {
    SendUnacked(before);
  }
}

void TcpSession::Close(TimePoint now) {
  if (closing_) {
    return;
  }
  closing_ = true;
  retransmit_at_ = now + retransmission_timeout_;
  last_progress_at_ = now;
  if (state_ == State::kOpen && unacked_bytes_.size() <= kMaxSegmentBytes) {
    SendSegment(false, true,
                first_unacked_ + static_cast<uint32_t>(unacked_bytes_.size()),
                {});
  }
}

std::string TcpSession::Read() { return std::exchange(received_, {}); }

}  // namespace kumquatvalve::standins
