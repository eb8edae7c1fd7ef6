#ifndef KUMQUATVALVE_CONNECTION_IDENTITY_TRACKER_H_
#define KUMQUATVALVE_CONNECTION_IDENTITY_TRACKER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatvalve::connection {

/// An upstream as it describes itself.
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
  /// Grows with each heartbeat of one incarnation.
  uint64_t sequence = 0;
};

/// Keeps the newest word of the upstream beside a sidecar. Heartbeats may come
/// late: after a newer one, or after another incarnation took the address.
class IdentityTracker {
 public:
  /// @return whether the heartbeat is the newest; a late one changes nothing.
  bool OnHeartbeat(const UpstreamHeartbeat& heartbeat);

  /// The upstream said that it is about to exit.
  /// @param incarnation_ms 0 when it did not name its start.
  /// @return whether it was the current upstream.
  bool OnDeparture(std::string_view instance, uint64_t incarnation_ms);

  /// Nothing before the first heartbeat and after a departure.
  const std::optional<UpstreamIdentity>& current() const { return current_; }

 private:
  std::optional<UpstreamIdentity> current_;
  uint64_t sequence_ = 0;
  /// Start of the newest upstream that was heard of.
  uint64_t newest_incarnation_ms_ = 0;
  /// The newest upstream has departed.
  bool departed_ = false;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_IDENTITY_TRACKER_H_
