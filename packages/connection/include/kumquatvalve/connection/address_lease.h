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

/// A heartbeat that names another service than the sidecar's.
struct OtherServiceHeartbeat {
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
  /// A heartbeat of another service arrived, and none since shows that it was a
  /// late one or of another writer.
  kContested,
};

/// "lapsed", "held" or "contested".
std::string_view Name(LeaseState state);

/// Time from the last evidence to the end of the lease: shorter than the time
/// from the end of an upstream to the next use of its address.
/// @param reuse_delay that time, at least.
std::chrono::milliseconds LeaseDuration(std::chrono::milliseconds reuse_delay);

/// Decides whether an upstream of the sidecar's service is behind its address.
/// Load pattern: upstreams crash, and their addresses are used by another
/// service while callers go on; the sidecar of the earlier service outlives its
/// upstream, or is paused meanwhile, and is still offered flows.
///
/// A heartbeat of the upstream grants the lease, and each packet that arrives
/// from the address renews it: as long as nothing is silent for the time after
/// which the address may be used again, the same upstream is behind it.
/// Evidence counts from the time at which the upstream is known to have run,
/// not from when the evidence is read.
///
/// A heartbeat of another service withdraws the lease. It may be a late one or
/// of another writer, so the next heartbeat of the upstream restores the lease.
/// That one may be late too: once the same start of the other service has sent
/// another heartbeat, `kMessagesToDismiss` of the upstream are needed, and with
/// these, heartbeats of that start have no effect while the lease is held. Not
/// thread-safe.
class AddressLease {
 public:
  explicit AddressLease(std::chrono::milliseconds duration)
      : duration_(duration) {}

  /// A heartbeat of the upstream was accepted.
  /// @param sent_after it was sent at this time or later.
  void OnHeartbeat(TimePoint sent_after, TimePoint now);

  void OnOtherService(const OtherServiceHeartbeat& heartbeat, TimePoint now);

  /// A packet arrived from the address, or was returned from there.
  /// @param sent_after as for `OnHeartbeat`.
  void OnPacket(TimePoint sent_after, TimePoint now);

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
    int messages = 1;
    TimePoint last_message_at;
    /// Heartbeats of the upstream since the first message.
    int upstream_messages = 0;
    std::optional<TimePoint> last_upstream_message_at;
    bool dismissed = false;
  };

  // Counts a heartbeat of the upstream against the contender.
  // @return whether it shows that the upstream is behind the address.
  bool CountAgainstContender(TimePoint sent_after);

  std::chrono::milliseconds duration_;
  /// The upstream was behind the address at this time; empty before the first
  /// heartbeat.
  std::optional<TimePoint> proven_at_;
  std::optional<Contender> contender_;
  bool contested_ = false;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_ADDRESS_LEASE_H_
