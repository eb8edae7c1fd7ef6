#ifndef KUMQUATVALVE_CONNECTION_RESPONSIVENESS_H_
#define KUMQUATVALVE_CONNECTION_RESPONSIVENESS_H_

#include <chrono>
#include <optional>

#include "kumquatvalve/connection/admission_policy.h"

namespace kumquatvalve::connection {

/// Decides whether an upstream responds to first packets, and when one that
/// does not is tried again. Load pattern: after a power failure sidecars are
/// back before their upstreams, so the first packets that arrive in between get
/// no response. Entry instances then avoid these upstreams while any other one
/// accepts flows; each of them has to be invited back once it is alive, or a
/// few upstreams carry the whole load. Every heartbeat of an unresponsive
/// upstream allows one trial, with exponential backoff, so that a caller's
/// first packet is not spent on an upstream that is not running. Not
/// thread-safe.
class Responsiveness {
 public:
  /// A first packet was delivered to the upstream. While the upstream is
  /// unresponsive this is a trial.
  void OnFirstPacket(TimePoint now);

  /// The upstream sent or rejected a packet.
  /// @return whether it was unresponsive before.
  bool OnUpstreamPacket();

  /// Another incarnation of the upstream has started, which has not left any
  /// packet without a response.
  void OnNewIncarnation();

  /// The upstream announced itself, so its process is running.
  void OnHeartbeat();

  /// Runs the timeout.
  /// @return whether the upstream became unresponsive by this call.
  bool CheckTimeout(TimePoint now);

  bool unresponsive() const { return unresponsive_; }

  /// Whether the response to a first packet is late, although the upstream is
  /// not unresponsive yet.
  bool IsResponseLate(TimePoint now) const;

  /// Whether a first packet may be delivered.
  bool AcceptsFirstPacket(TimePoint now) const {
    return !unresponsive_ || now >= next_trial_at_ || InvitesTrial(now);
  }

  /// Whether entry instances should offer flows to the upstream although it is
  /// unresponsive, so that one of them becomes a trial.
  bool InvitesTrial(TimePoint now) const {
    return unresponsive_ && heartbeat_since_trial_ &&
           now >= next_invitation_at_;
  }

 private:
  using Milliseconds = std::chrono::milliseconds;

  // An upstream responds to a first packet in less than 1 ms, even while all
  // its slots are busy.
  static constexpr Milliseconds kUnresponsiveTimeout{120};
  static constexpr Milliseconds kLateResponseTimeout{30};
  // Time between two trials with flows that no other upstream accepts.
  static constexpr Milliseconds kTrialInterval{400};
  // Shortest and longest time between two invited trials. A trial without a
  // response costs a caller the 200 ms until it repeats its first packet.
  static constexpr Milliseconds kMinInvitationInterval{400};
  static constexpr Milliseconds kMaxInvitationInterval{6400};

  /// When the oldest first packet without a response was delivered.
  std::optional<TimePoint> first_unanswered_at_;
  bool unresponsive_ = false;
  TimePoint next_trial_at_;
  bool heartbeat_since_trial_ = false;
  TimePoint next_invitation_at_;
  Milliseconds invitation_interval_ = kMinInvitationInterval;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_RESPONSIVENESS_H_
