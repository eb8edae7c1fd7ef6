#ifndef KUMQUATVALVE_CONNECTION_IDENTITY_TRACKER_H_
#define KUMQUATVALVE_CONNECTION_IDENTITY_TRACKER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/version/route_map.h"

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

/// What a sidecar does with a heartbeat.
enum class HeartbeatVerdict {
  /// It is the newest one of the newest upstream.
  kAccepted,
  /// It is older than one that arrived before, or its upstream has left.
  kLate,
  /// It is of an earlier incarnation than the newest one. It must not be
  /// confirmed, since it has no effect: its upstream may be the current one all
  /// the same, see `IdentityTracker`.
  kEarlierIncarnation,
  /// It names another service than the one that this sidecar serves.
  kOtherService,
  /// Its upstream would have started in the future.
  kFromFuture,
};

/// Keeps the newest announced identity of a sidecar's upstream. Heartbeats may
/// arrive late: after a newer one, or after another incarnation took over the
/// address. The newest incarnation has the latest start time, unless the time
/// of day was stepped back between two starts: then only the one with the
/// earlier start time sends heartbeats. It replaces the other one after
/// `kHeartbeatsToReplace` heartbeats, between which the other one sent none.
/// Not thread-safe.
class IdentityTracker {
 public:
  /// @param service the service of this sidecar; empty when any is accepted.
  explicit IdentityTracker(std::string service = "")
      : service_(std::move(service)) {}

  /// Takes over the identity in a heartbeat that is accepted; any other one
  /// changes nothing.
  /// @param now_ms Unix time in milliseconds.
  HeartbeatVerdict OnHeartbeat(const UpstreamHeartbeat& heartbeat,
                               uint64_t now_ms, TimePoint now);

  /// A record of this sidecar was found in the store, written by an earlier
  /// process. A heartbeat that was accepted before may be older than the
  /// record: one that was delayed while a later upstream announced itself or
  /// began to drain.
  /// @param now_ms as for `OnHeartbeat`; a record from the future is ignored.
  /// @return whether the current identity changed. It is empty when the record
  ///   is of a later upstream, until that one sends a heartbeat.
  bool OnStoredRecord(uint64_t incarnation_ms, bool draining, uint64_t now_ms);

  /// The upstream deregistered because it is about to exit. Its later
  /// heartbeats are ignored.
  /// @param incarnation_ms 0 when the upstream did not state its incarnation.
  /// @return whether it was the current upstream; otherwise nothing changes.
  bool OnDeparture(std::string_view instance, uint64_t incarnation_ms);

  /// Empty before the first heartbeat and after the upstream deregistered.
  const std::optional<UpstreamIdentity>& current() const { return current_; }

  static constexpr int kHeartbeatsToReplace = 3;

 private:
  /// An upstream with an earlier start time that sends heartbeats.
  struct Candidate {
    uint64_t incarnation_ms = 0;
    uint64_t sequence = 0;
    int heartbeats = 0;
    TimePoint last_counted_at;
  };

  /// Whether an incarnation counts as earlier than the newest one.
  bool IsEarlier(uint64_t incarnation_ms) const {
    return incarnation_ms < newest_incarnation_ms_ ||
           (incarnation_ms > newest_incarnation_ms_ &&
            incarnation_ms <= replaced_incarnation_ms_);
  }

  /// Counts a heartbeat of an earlier incarnation.
  /// @return whether its upstream is the current one.
  bool ReplacesNewest(const UpstreamHeartbeat& heartbeat, TimePoint now);

  std::string service_;
  std::optional<UpstreamIdentity> current_;
  /// Of the newest upstream's last heartbeat; empty before the first.
  std::optional<uint64_t> sequence_;
  /// Incarnation of the newest upstream whose heartbeat arrived.
  uint64_t newest_incarnation_ms_ = 0;
  /// The latest start time that was replaced by an earlier one; 0 for none.
  uint64_t replaced_incarnation_ms_ = 0;
  std::optional<Candidate> candidate_;
  bool deregistered_ = false;
  /// The newest upstream was draining according to the store, and a drain is
  /// never cancelled.
  bool drain_stored_ = false;
};

/// Returns the incarnation that an earlier process of a sidecar recorded, 0
/// when the record is of another service, whose flows this one cannot have.
/// @param stored the sidecar's record in the store; nothing when it cannot be
///   read, and then the result is nothing too.
std::optional<uint64_t> RecordedIncarnation(
    const std::optional<version::UpstreamRecord>& stored,
    const request::Endpoint& sidecar, const request::ServiceName& service);

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_IDENTITY_TRACKER_H_
