#ifndef KUMQUATVALVE_CONNECTION_IDENTITY_TRACKER_H_
#define KUMQUATVALVE_CONNECTION_IDENTITY_TRACKER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/connection/latest_start.h"
#include "kumquatvalve/request/start_order.h"
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
  /// Position of this start among those of the sidecar's upstreams; set by
  /// `IdentityTracker`, as are the next three.
  request::StartOrder order;
  /// The upstream started while this sidecar process ran.
  bool started_after_sidecar = false;
  /// At most a few heartbeats were sent before the first one that arrived here.
  bool is_new = false;
  /// The upstream's first heartbeat arrived here, right after its start. An
  /// earlier process of the sidecar ended too soon to admit flows to it.
  bool first_heartbeat_received = false;

  friend bool operator==(const UpstreamIdentity&,
                         const UpstreamIdentity&) = default;
};

struct UpstreamHeartbeat {
  UpstreamIdentity identity;
  /// Increases with each heartbeat of one incarnation.
  uint64_t sequence = 0;
  /// Time for which the upstream is still cold. Not a part of the identity: it
  /// changes with each heartbeat, and the record does not have it.
  std::chrono::milliseconds warm_up_left{0};
};

/// What a sidecar does with a heartbeat.
enum class HeartbeatVerdict {
  /// It is the newest one of the newest upstream.
  kAccepted,
  /// It is older than one that arrived before, or its upstream has left.
  kLate,
  /// As `kLate`, but it announces a drain that is not in force, and must not be
  /// confirmed.
  kLateDrain,
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
/// arrive late: after a newer one, or after another upstream took over the
/// address. `LatestStart` decides which upstream started last. Not thread-safe.
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

  /// A record of this sidecar and its service was found in the store or at an
  /// entry instance, perhaps written by an earlier process. A heartbeat that
  /// was accepted before may be older than the record: one that was delayed
  /// while a later upstream announced itself or began to drain.
  /// @param now_ms as for `OnHeartbeat`; a record from the future is ignored.
  /// @return whether the current identity changed. It is empty when the record
  ///   is of a later upstream, until that one sends a heartbeat.
  bool OnKnownRecord(const version::UpstreamRecord& record, uint64_t now_ms,
                     TimePoint now);

  /// A record of this sidecar's address for another service was found: every
  /// upstream of this service started later.
  /// @return whether the current identity changed.
  bool OnRecordOfOtherService(const version::UpstreamRecord& record,
                              uint64_t now_ms);

  /// The upstream deregistered because it is about to exit. Its later
  /// heartbeats are ignored.
  /// @param incarnation_ms 0 when the upstream did not state its incarnation.
  /// @return whether it was the current upstream; otherwise nothing changes.
  bool OnDeparture(std::string_view instance, uint64_t incarnation_ms);

  /// Empty before the first heartbeat and after the upstream deregistered.
  const std::optional<UpstreamIdentity>& current() const { return current_; }

 private:
  // Sets the current identity's fields that follow from the latest start and
  // the stored drain.
  // @return whether the identity changed.
  bool UpdateCurrent();

  std::string service_;
  LatestStart starts_;
  std::optional<UpstreamIdentity> current_;
  /// `UpstreamIdentity::first_heartbeat_received` of the latest start.
  bool first_heartbeat_received_ = false;
  /// The latest upstream was draining according to a record, and a drain is
  /// never cancelled.
  bool drain_recorded_ = false;
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
