#ifndef KUMQUATVALVE_CONNECTION_PROBE_WINDOW_H_
#define KUMQUATVALVE_CONNECTION_PROBE_WINDOW_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <utility>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/flow_key.h"

namespace kumquatvalve::connection {

/// Bounds the probes of upstreams that have no reply yet, like the congestion
/// window of a transport. Load pattern: after a power failure all open flows
/// are searched for at once, and each one takes a packet to every upstream
/// whose sidecar cannot tell. Without a bound they fill the link of a small
/// instance, replies and other packets are lost, and the probes are repeated
/// for as long as callers retransmit. Not thread-safe.
class ProbeWindow {
 public:
  /// Number of probes that may be sent now.
  size_t Available(TimePoint now);

  /// A packet of the flow was sent to the upstream of a sidecar.
  void OnSent(const request::FlowKey& flow, const request::Endpoint& sidecar,
              TimePoint now);

  /// The sidecar replied whether its upstream holds the flow.
  void OnReply(const request::FlowKey& flow, const request::Endpoint& sidecar);

  size_t in_flight() const { return in_flight_.size(); }
  /// Maximum number of probes in flight.
  size_t size() const { return size_; }

  /// A probe without a reply counts as lost after this time.
  static constexpr std::chrono::milliseconds kReplyTimeout{150};
  static constexpr size_t kInitialSize = 64;
  static constexpr size_t kMinSize = 16;
  /// With packets of 1,200 bytes they take 250 ms on a link of 10 Mbit/s.
  static constexpr size_t kMaxSize = 256;

 private:
  using Probe = std::pair<request::FlowKey, request::Endpoint>;

  // Removes probes that are lost; their loss halves the window at most once
  // for each `kReplyTimeout`.
  void Expire(TimePoint now);

  std::map<Probe, TimePoint> in_flight_;
  /// Probes in the order in which they were sent, also those with a reply.
  std::deque<std::pair<Probe, TimePoint>> sent_;
  size_t size_ = kInitialSize;
  /// Replies since the window grew.
  size_t replies_ = 0;
  TimePoint next_decrease_at_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_PROBE_WINDOW_H_
