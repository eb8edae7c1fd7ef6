#ifndef KUMQUATVALVE_PROCESS_CONTROL_CHANNEL_H_
#define KUMQUATVALVE_PROCESS_CONTROL_CHANNEL_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "kumquatvalve/process/control.pb.h"
#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/request/result_code.h"
#include "kumquatvalve/version/process_settings.h"

namespace kumquatvalve::process {

/// Maximum size of a received message in bytes. A snapshot of 900 tables of 2.5
/// kB and 5,200 members of 200 bytes takes 3.3 MB.
inline constexpr size_t kMaxControlMessageBytes = size_t{8} << 20;

struct ChannelCounts {
  uint64_t messages_sent = 0;
  uint64_t messages_received = 0;
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
  std::map<request::ResultCode, uint64_t> dropped;
};

/// A message from an earlier start of its sender than the newest known one.
struct StaleEnvelope {
  control::Envelope envelope;
  uint64_t newest_incarnation = 0;
};

/// Decodes and checks messages of the control channel. Stores the newest
/// incarnation of each sender.
class EnvelopeFilter {
 public:
  /// @param stale set together with `kStaleIncarnation`.
  /// @return nothing and `kBadMessage` for bytes that are not an envelope, or
  ///   `kStaleIncarnation` for a message from an earlier start of its sender.
  std::optional<control::Envelope> Read(std::string_view bytes,
                                        std::optional<StaleEnvelope>* stale,
                                        request::Failure* failure);

  /// Notes the incarnation of a message's sender.
  /// @return whether no later start of the sender is known.
  bool IsFromNewest(const control::Envelope& envelope);
  /// The newest known incarnation of a sender; 0 for an unknown one.
  uint64_t NewestIncarnation(const std::string& sender) const;

 private:
  std::map<std::string, uint64_t, std::less<>> newest_incarnations_;
};

/// Exchanges messages between processes over ZeroMQ: one ROUTER socket
/// receives, one DEALER socket per destination sends. With CURVE keys, only
/// clients that hold `curve_public` or one of `accepted_public` may connect,
/// and destinations may hold any of these keys, which allows key rotation
/// process by process.
///
/// Delivery is best effort: for an unreachable destination, messages beyond a
/// limit are dropped. Only `Wake` may be called from another thread.
class ControlChannel {
 public:
  using Handler = std::function<void(control::Envelope&&)>;
  using StaleHandler = std::function<void(const StaleEnvelope&)>;

  /// @return null and `kSocketError` when the endpoint cannot be bound.
  static std::unique_ptr<ControlChannel> Open(const request::Endpoint& bind,
                                              const version::KeySettings& keys,
                                              request::Failure* failure);

  ~ControlChannel();
  ControlChannel(const ControlChannel&) = delete;
  ControlChannel& operator=(const ControlChannel&) = delete;

  /// Sends a message, or queues it until the connection is set up.
  void Send(const request::Endpoint& to, const control::Envelope& envelope);

  /// Passes received messages to `handler`, and those of earlier starts of
  /// their senders to `stale_handler`, which may be empty; waits at most
  /// `timeout` for the first one.
  void Receive(std::chrono::milliseconds timeout, const Handler& handler,
               const StaleHandler& stale_handler = {});

  /// Makes a waiting `Receive` return. Callable from any thread.
  void Wake();

  /// The bound endpoint, with the port that the kernel chose if it was 0.
  const request::Endpoint& endpoint() const;

  const ChannelCounts& counts() const;

 private:
  class Impl;
  explicit ControlChannel(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_CONTROL_CHANNEL_H_
