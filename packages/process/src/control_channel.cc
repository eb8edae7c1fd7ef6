#include "kumquatvalve/process/control_channel.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>
#include <vector>
#include <zmq.hpp>

namespace kumquatvalve::process {
namespace {

using request::Endpoint;
using request::Failure;
using request::ResultCode;
using std::chrono::steady_clock;

// Messages queued for a destination while its connection is being set up;
// beyond this the oldest is dropped, since all protocols above repeat important
// messages.
constexpr size_t kMaxPendingMessages = 64;

// A connection that was not used for this time is closed.
constexpr std::chrono::seconds kIdleTimeout{30};

// Messages that one call delivers at most, so that timers also run under load.
constexpr int kMaxMessagesPerReceive = 1024;

constexpr size_t kKeyBytes = 32;

std::string Z85(const char* key) {
  char buf[41];
  return zmq_z85_encode(buf, reinterpret_cast<const uint8_t*>(key),
                        kKeyBytes) == nullptr
             ? ""
             : buf;
}

struct Destination {
  /// One socket for each key that the destination may hold.
  std::vector<zmq::socket_t> sockets;
  std::deque<std::string> pending;
  steady_clock::time_point last_used_at;
};

}  // namespace

std::optional<control::Envelope> EnvelopeFilter::Read(
    std::string_view bytes, std::optional<StaleEnvelope>* stale,
    Failure* failure) {
  control::Envelope envelope;
  if (bytes.size() > kMaxControlMessageBytes ||
      !envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      envelope.sender().empty() ||
      envelope.body_case() == control::Envelope::BODY_NOT_SET) {
    *failure = {ResultCode::kBadMessage, "the message is not a valid envelope"};
    return std::nullopt;
  }
  if (!IsFromNewest(envelope)) {
    *failure = {ResultCode::kStaleIncarnation, envelope.sender()};
    const uint64_t newest = NewestIncarnation(envelope.sender());
    *stale = StaleEnvelope{std::move(envelope), newest};
    return std::nullopt;
  }
  return envelope;
}

bool EnvelopeFilter::IsFromNewest(const control::Envelope& envelope) {
  uint64_t& newest = newest_incarnations_[envelope.sender()];
  newest = std::max(newest, envelope.sender_incarnation());
  return envelope.sender_incarnation() == newest;
}

uint64_t EnvelopeFilter::NewestIncarnation(const std::string& sender) const {
  const auto it = newest_incarnations_.find(sender);
  return it == newest_incarnations_.end() ? 0 : it->second;
}

class ControlChannel::Impl {
 public:
  Impl(const Endpoint& bind, const version::KeySettings& keys)
      : keys_(keys),
        context_(1),
        zap_(context_, zmq::socket_type::rep),
        router_(context_, zmq::socket_type::router),
        wake_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (!keys_.curve_secret.empty()) {
      // libzmq sends an authentication request for each client of a CURVE
      // server to this address.
      zap_.bind("inproc://zeromq.zap.01");
      router_.set(zmq::sockopt::curve_server, true);
      router_.set(zmq::sockopt::curve_secretkey, keys_.curve_secret);
      router_.set(zmq::sockopt::zap_domain, "control");
    }
    router_.set(zmq::sockopt::linger, 0);
    router_.set(zmq::sockopt::maxmsgsize,
                static_cast<int64_t>(kMaxControlMessageBytes));
    router_.set(zmq::sockopt::ipv6, !request::IsIpv4(bind.address));
    router_.bind("tcp://" + request::ToString(bind));
    const std::string bound = router_.get(zmq::sockopt::last_endpoint);
    Failure ignored;
    endpoint_ =
        request::ParseEndpoint(bound.substr(bound.find("//") + 2), &ignored)
            .value_or(bind);
  }

  ~Impl() { close(wake_); }

  void Send(const Endpoint& to, const control::Envelope& envelope) {
    Destination& destination = FindOrConnect(to);
    std::string bytes = envelope.SerializeAsString();
    if (destination.pending.empty() && TrySend(destination, bytes)) {
      return;
    }
    destination.pending.push_back(std::move(bytes));
    if (destination.pending.size() > kMaxPendingMessages) {
      destination.pending.pop_front();
      ++counts_.dropped[ResultCode::kSocketError];
    }
  }

  void Receive(std::chrono::milliseconds timeout, const Handler& handler,
               const StaleHandler& stale_handler) {
    SendPending();
    const steady_clock::time_point end = steady_clock::now() + timeout;
    int received = 0;
    do {
      zmq::pollitem_t items[] = {{router_.handle(), 0, ZMQ_POLLIN, 0},
                                 {zap_.handle(), 0, ZMQ_POLLIN, 0},
                                 {nullptr, wake_, ZMQ_POLLIN, 0}};
      const auto remaining =
          std::chrono::duration_cast<std::chrono::milliseconds>(
              end - steady_clock::now());
      // Connection setup raises no poll event, so pending messages are retried
      // at a short interval.
      const bool waiting = std::any_of(
          destinations_.begin(), destinations_.end(),
          [](const auto& it) { return !it.second.pending.empty(); });
      const auto step =
          waiting ? std::min(remaining, kRetryInterval) : remaining;
      zmq::poll(items, 3, std::max(step, std::chrono::milliseconds(0)));
      if ((items[1].revents & ZMQ_POLLIN) != 0) {
        AnswerAuthentication();
      }
      received += Deliver(handler, stale_handler);
      if (waiting) {
        SendPending();
      }
      if ((items[2].revents & ZMQ_POLLIN) != 0) {
        uint64_t count = 0;
        if (read(wake_, &count, sizeof(count)) > 0) {
          break;
        }
      }
    } while (received == 0 && steady_clock::now() < end);
    CloseIdle();
  }

  void Wake() {
    const uint64_t one = 1;
    // The eventfd counter cannot overflow in the lifetime of a process.
    if (write(wake_, &one, sizeof(one)) < 0) {
      return;
    }
  }

  const Endpoint& endpoint() const { return endpoint_; }
  const ChannelCounts& counts() const { return counts_; }

 private:
  static constexpr std::chrono::milliseconds kRetryInterval{10};

  Destination& FindOrConnect(const Endpoint& to) {
    Destination& destination = destinations_[to];
    destination.last_used_at = steady_clock::now();
    if (destination.sockets.empty()) {
      if (keys_.curve_secret.empty()) {
        destination.sockets.push_back(Connect(to, ""));
      } else {
        destination.sockets.push_back(Connect(to, keys_.curve_public));
        for (const std::string& it : keys_.accepted_public) {
          destination.sockets.push_back(Connect(to, it));
        }
      }
    }
    return destination;
  }

  zmq::socket_t Connect(const Endpoint& to, const std::string& server_key) {
    zmq::socket_t socket(context_, zmq::socket_type::dealer);
    // With `immediate`, messages are queued only on connections whose handshake
    // is complete, so a failed send means that the destination holds another
    // key.
    socket.set(zmq::sockopt::immediate, true);
    // In milliseconds; long enough for the last message of a stopping process.
    socket.set(zmq::sockopt::linger, 200);
    socket.set(zmq::sockopt::reconnect_ivl, 50);
    socket.set(zmq::sockopt::reconnect_ivl_max, 1000);
    socket.set(zmq::sockopt::ipv6, !request::IsIpv4(to.address));
    if (!server_key.empty()) {
      socket.set(zmq::sockopt::curve_serverkey, server_key);
      socket.set(zmq::sockopt::curve_publickey, keys_.curve_public);
      socket.set(zmq::sockopt::curve_secretkey, keys_.curve_secret);
    }
    socket.connect("tcp://" + request::ToString(to));
    return socket;
  }

  bool TrySend(Destination& destination, const std::string& bytes) {
    for (zmq::socket_t& it : destination.sockets) {
      if (it.send(zmq::buffer(bytes), zmq::send_flags::dontwait)) {
        ++counts_.messages_sent;
        counts_.bytes_sent += bytes.size();
        return true;
      }
    }
    return false;
  }

  void SendPending() {
    for (auto& [endpoint, destination] : destinations_) {
      while (!destination.pending.empty() &&
             TrySend(destination, destination.pending.front())) {
        destination.pending.pop_front();
      }
    }
  }

  int Deliver(const Handler& handler, const StaleHandler& stale_handler) {
    int received = 0;
    std::vector<zmq::message_t> parts;
    while (received < kMaxMessagesPerReceive) {
      parts.clear();
      zmq::message_t part;
      if (!router_.recv(part, zmq::recv_flags::dontwait)) {
        break;
      }
      bool more = part.more();
      parts.push_back(std::move(part));
      while (more) {
        zmq::message_t next;
        if (!router_.recv(next, zmq::recv_flags::none)) {
          break;
        }
        more = next.more();
        parts.push_back(std::move(next));
      }
      ++received;
      // The first part is the sender's routing id, which the ROUTER socket
      // adds.
      if (parts.size() != 2) {
        ++counts_.dropped[ResultCode::kBadMessage];
        continue;
      }
      ++counts_.messages_received;
      counts_.bytes_received += parts[1].size();
      Failure failure;
      std::optional<StaleEnvelope> stale;
      std::optional<control::Envelope> envelope =
          filter_.Read(parts[1].to_string_view(), &stale, &failure);
      if (!envelope) {
        ++counts_.dropped[failure.code];
        if (stale && stale_handler) {
          stale_handler(*stale);
        }
        continue;
      }
      handler(std::move(*envelope));
    }
    return received;
  }

  // Answers one request of the ZeroMQ authentication protocol (RFC 27):
  // version, request id, domain, address, identity, mechanism, client key.
  void AnswerAuthentication() {
    std::vector<zmq::message_t> parts;
    bool more = true;
    while (more) {
      zmq::message_t part;
      if (!zap_.recv(part, zmq::recv_flags::dontwait)) {
        return;
      }
      more = part.more();
      parts.push_back(std::move(part));
    }
    const bool curve = parts.size() == 7 &&
                       parts[5].to_string_view() == "CURVE" &&
                       parts[6].size() == kKeyBytes;
    const bool accepted = curve && Accepted(Z85(parts[6].data<char>()));
    if (!accepted) {
      ++counts_.dropped[ResultCode::kUnknownSender];
    }
    const std::string id = parts.size() > 1 ? parts[1].to_string() : "";
    const std::string status = accepted ? "200" : "400";
    for (const std::string& it :
         {std::string("1.0"), id, status,
          std::string(accepted ? "OK" : "unknown key"), std::string()}) {
      zap_.send(zmq::buffer(it), zmq::send_flags::sndmore);
    }
    zap_.send(zmq::message_t(), zmq::send_flags::none);
  }

  bool Accepted(const std::string& key) const {
    return !key.empty() && (key == keys_.curve_public ||
                            std::find(keys_.accepted_public.begin(),
                                      keys_.accepted_public.end(),
                                      key) != keys_.accepted_public.end());
  }

  void CloseIdle() {
    const steady_clock::time_point now = steady_clock::now();
    std::erase_if(destinations_, [now](const auto& it) {
      return now - it.second.last_used_at > kIdleTimeout;
    });
  }

  const version::KeySettings keys_;
  zmq::context_t context_;
  zmq::socket_t zap_;
  zmq::socket_t router_;
  const int wake_;
  Endpoint endpoint_;
  EnvelopeFilter filter_;
  std::map<Endpoint, Destination> destinations_;
  ChannelCounts counts_;
};

std::unique_ptr<ControlChannel> ControlChannel::Open(
    const Endpoint& bind, const version::KeySettings& keys, Failure* failure) {
  try {
    return std::unique_ptr<ControlChannel>(
        new ControlChannel(std::make_unique<Impl>(bind, keys)));
  } catch (const zmq::error_t& ec) {
    *failure = {ResultCode::kSocketError,
                request::ToString(bind) + ": " + ec.what()};
    return nullptr;
  }
}

ControlChannel::ControlChannel(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
ControlChannel::~ControlChannel() = default;

void ControlChannel::Send(const Endpoint& to,
                          const control::Envelope& envelope) {
  impl_->Send(to, envelope);
}

void ControlChannel::Receive(std::chrono::milliseconds timeout,
                             const Handler& handler,
                             const StaleHandler& stale_handler) {
  impl_->Receive(timeout, handler, stale_handler);
}

void ControlChannel::Wake() { impl_->Wake(); }

const Endpoint& ControlChannel::endpoint() const { return impl_->endpoint(); }

const ChannelCounts& ControlChannel::counts() const { return impl_->counts(); }

}  // namespace kumquatvalve::process
