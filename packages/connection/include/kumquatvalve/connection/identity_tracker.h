#ifndef KUMQUATVALVE_CONNECTION_IDENTITY_TRACKER_H_
#define KUMQUATVALVE_CONNECTION_IDENTITY_TRACKER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatvalve::connection {

/// The identity that an upstream announces.
struct UpstreamIdentity {
  std::string service;
  std::string instance;
  /// Start of the upstream, Unix time in milliseconds.
  uint64_t incarnation_ms = 0;
  uint32_t slots = 1;
  bool draining = false;

  friend bool operator==(const UpstreamIdentity&,
                         const UpstreamIdentity&) = default;
};

struct UpstreamHeartbeat {
  UpstreamIdentity identity;
  /// Increases with each heartbeat of one incarnation.
  uint64_t sequence = 0;
};

/// Keeps the newest announced identity of a sidecar's upstream. Heartbeats may
/// arrive late: after a newer one, or after another incarnation took over the
/// address.
class IdentityTracker {
 public:
  /// @return whether the heartbeat is the newest; a late one is ignored.
  bool OnHeartbeat(const UpstreamHeartbeat& heartbeat);

  /// The upstream deregistered because it is about to exit. Its later
  /// heartbeats are ignored.
  /// @param incarnation_ms 0 when the upstream did not state its incarnation.
  /// @return whether it was the current upstream; otherwise nothing changes.
  bool OnDeparture(std::string_view instance, uint64_t incarnation_ms);

  /// Empty before the first heartbeat and after the upstream deregistered.
  const std::optional<UpstreamIdentity>& current() const { return current_; }

 private:
  std::optional<UpstreamIdentity> current_;
  uint64_t sequence_ = 0;
  /// Incarnation of the newest upstream whose heartbeat arrived.
  uint64_t newest_incarnation_ms_ = 0;
  bool deregistered_ = false;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_IDENTITY_TRACKER_H_
