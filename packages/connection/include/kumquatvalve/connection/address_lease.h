#ifndef KUMQUATVALVE_CONNECTION_ADDRESS_LEASE_H_
#define KUMQUATVALVE_CONNECTION_ADDRESS_LEASE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/connection/latest_start.h"

namespace kumquatvalve::connection {

/// Identifies a heartbeat that arrived at a sidecar.
struct HeartbeatId {
  std::string service;
  StartId start;
  /// Increases with each heartbeat of one start.
  uint64_t sequence = 0;
};

/// Maximum time from the decision to deliver a first packet to its delivery.
inline constexpr std::chrono::milliseconds kMaxDeliveryDelay{250};

/// Whether a sidecar may deliver first packets.
enum class LeaseState : uint8_t {
  /// There is no recent evidence of any upstream: the sidecar has just started,
  /// or the upstream is silent.
  kLapsed,
  /// An upstream of the sidecar's service is behind the address.
  kHeld,
  /// A heartbeat of another service arrived, and nothing since shows that it
  /// was a late one or of another writer.
  kContested,
};

/// "lapsed", "held" or "contested".
std::string_view Name(LeaseState state);

/// What a packet that arrives from the address shows about its sender.
enum class PacketEvidence : uint8_t {
  /// It runs: any upstream answers first packets and rejects others.
  kRunning,
  /// It holds a flow.
  kHoldsFlow,
  /// It holds a flow that this sidecar process admitted.
  kHoldsAdmittedFlow,
};

/// Time from the last evidence to the end of the lease: shorter than the time
/// from the end of an upstream to the next use of its address.
/// @param reuse_delay that time, at least.
std::chrono::milliseconds LeaseDuration(std::chrono::milliseconds reuse_delay);

/// Decides whether an upstream of the sidecar's service is behind its address.
/// Load pattern: upstreams crash, and their addresses are used by another
/// service while callers go on; the sidecar of the earlier service outlives its
/// upstream, or is paused meanwhile, and is still offered flows.
///
/// Each heartbeat and each packet that arrives from the address renews a lease
/// that is held: as long as the address is not silent for the time after which
/// it may be used again, the same upstream is behind it. Evidence counts from
/// the time at which the upstream is known to have run, not from when the
/// evidence is read.
///
/// A lease that has lapsed is granted by a heartbeat of the upstream. It may be
/// a late one of an upstream that has ended, so it needs one more sign: it is
/// one of the first of a start, or another one of the same start arrives, or a
/// packet of a flow does. The next upstream at the address holds no flows,
/// since this sidecar delivers none to it.
///
/// A heartbeat of another service withdraws the lease. It may be a late one or
/// of another writer, so the lease is granted again by signs that came later:
/// two heartbeats of the upstream, once the other start has been silent for the
/// duration of the lease, or one and a packet of a flow that was admitted here.
/// Once `kMessagesToDismiss` heartbeats of the upstream have arrived since,
/// those of the other start have no effect while the lease is held, until as
/// many arrive without one of the upstream. Not thread-safe.
class AddressLease {
 public:
  explicit AddressLease(std::chrono::milliseconds duration)
      : duration_(duration) {}

  /// A heartbeat of the upstream was accepted.
  /// @param sent_after it was sent at this time or later.
  void OnHeartbeat(const HeartbeatId& heartbeat, TimePoint sent_after,
                   TimePoint now);

  /// A heartbeat of another service arrived.
  void OnOtherService(const HeartbeatId& heartbeat, TimePoint now);

  /// A packet arrived from the address, or was returned from there.
  /// @param sent_after as for `OnHeartbeat`.
  void OnPacket(PacketEvidence evidence, TimePoint sent_after, TimePoint now);

  /// The machine was suspended for `time`, during which `TimePoint` did not
  /// advance.
  void OnSuspension(std::chrono::milliseconds time);

  LeaseState State(TimePoint now) const;
  std::chrono::milliseconds duration() const { return duration_; }

  static constexpr int kMessagesToDismiss = LatestStart::kMessagesToReplace;

 private:
  /// A start of another service that sent heartbeats to this address.
  struct Contender {
    std::string service;
    StartId start;
    uint64_t sequence = 0;
    TimePoint last_message_at;
    /// Heartbeats of the upstream since the first message.
    int upstream_messages = 0;
    std::optional<TimePoint> last_upstream_message_at;
    bool dismissed = false;
    /// Messages since the upstream's last heartbeat.
    int messages_since_upstream = 0;
  };

  /// A heartbeat of the upstream that needs another sign.
  struct Unconfirmed {
    StartId start;
    TimePoint sent_after;
  };

  void CountAgainstContender(TimePoint sent_after);

  // Whether an event that may have happened at `sent_after` already comes after
  // what withdrew the lease.
  bool IsLaterThanContender(TimePoint sent_after) const;

  // Whether there is one more sign beside this heartbeat.
  bool IsConfirmed(const HeartbeatId& heartbeat, TimePoint sent_after) const;

  void Grant(const StartId& start, TimePoint proven_at);

  std::chrono::milliseconds duration_;
  /// The upstream was behind the address at this time; empty before the first
  /// heartbeat.
  std::optional<TimePoint> proven_at_;
  /// The start that the lease was last granted to.
  std::optional<StartId> proven_start_;
  std::optional<Unconfirmed> unconfirmed_;
  /// When the last packets with `kHoldsFlow` and `kHoldsAdmittedFlow` were
  /// sent, at the earliest; the first includes the second.
  std::optional<TimePoint> flow_packet_at_;
  std::optional<TimePoint> admitted_flow_packet_at_;
  std::optional<Contender> contender_;
  bool contested_ = false;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_ADDRESS_LEASE_H_
