#ifndef KUMQUATVALVE_PROCESS_MEMBERSHIP_H_
#define KUMQUATVALVE_PROCESS_MEMBERSHIP_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "kumquatvalve/process/control.pb.h"

namespace kumquatvalve::process {

/// Intervals and thresholds of the failure detector.
struct MembershipSettings {
  /// Interval between two pings to the same member. A ping that has no reply
  /// by the next one counts as missed.
  std::chrono::milliseconds ping_interval{500};
  /// Maximum number of members that one process pings.
  size_t max_ping_targets = 8;
  /// Limit on the entry instances that one entry instance pings, which leaves
  /// it bandwidth for relaying: each pinged peer takes 530 bytes/s, including
  /// the pings that come back.
  size_t max_peer_entry_ping_targets = 4;
  /// Consecutive unanswered pings after which this process suspects a member.
  uint32_t missed_pings_to_suspect = 3;
  /// Consecutive unanswered pings after which this process reports a member as
  /// dead. One more than for suspicion, so that members that fail together are
  /// all suspected before the first of them could be evicted, and so that the
  /// member's own lease (`kMemberLeaseDuration`) has lapsed by then.
  uint32_t missed_pings_to_confirm_death = 4;
  /// A suspicion expires when its observer does not repeat it for this long.
  std::chrono::milliseconds suspicion_ttl{15000};
  std::chrono::milliseconds suspicion_repeat_interval{5000};
  /// Records of members that are dead or have left are removed after this time.
  std::chrono::milliseconds inactive_member_ttl{120000};
  /// False allows evictions when more than a third of a group is suspected.
  /// Only for experiments that show what the protection is for.
  bool hold_mass_eviction = true;
};

/// Member records and failure detector of one process. It does no I/O: messages
/// and the clock go in, messages to send come out. A member's state follows
/// from the suspicions of its observers, and all processes that hold the same
/// suspicions compute the same states.
class Membership {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  struct Ping {
    std::string to;
    uint64_t sequence = 0;
  };

  /// Effects of one call, for the caller to carry out.
  struct Actions {
    std::vector<Ping> pings;
    /// New suspicions of this process, to be sent to all processes that need
    /// them.
    std::vector<control::Suspicion> suspicions;
    /// Members whose record or state changed.
    std::vector<std::string> changed;
    /// Groups (services, or entry instances of a region) in which so many
    /// members are suspected that eviction is suspended, with the number of
    /// suspected members. Listed once, when the suspension begins.
    std::vector<std::pair<std::string, size_t>> newly_suspended_groups;
  };

  Membership(control::Member self, const MembershipSettings& settings);

  const control::Member& self() const { return self_; }
  /// Replaces this process's own record and increments its sequence number.
  void SetSelf(control::Member self);

  /// Handles a member's record, received from the member itself or through a
  /// relay.
  /// @return true when it is newer than the stored one.
  bool OnRecord(const control::Member& record, TimePoint now, Actions* actions);

  /// Handles a member's reply to a ping: resets its count of missed pings and
  /// withdraws this process's suspicion of it.
  void OnPong(const std::string& from, const control::Pong& pong, TimePoint now,
              Actions* actions);

  /// Handles another observer's suspicion.
  /// @return true when it has to be forwarded: it changes the stored ones, or
  ///   repeats one that is older than half of `suspicion_repeat_interval`.
  bool OnSuspicion(const control::Suspicion& suspicion, TimePoint now,
                   Actions* actions);

  /// Sends due pings, counts unanswered ones, drops expired suspicions and the
  /// records of members that have been dead or left for long.
  Actions Tick(TimePoint now);

  /// `MEMBER_STATE_UNSPECIFIED` for an unknown instance.
  control::MemberState State(const std::string& instance) const;
  /// Null for an unknown instance.
  const control::Member* Find(const std::string& instance) const;
  const std::map<std::string, control::Member>& members() const {
    return members_;
  }
  /// All suspicions that have not expired, for a snapshot.
  std::vector<control::Suspicion> Suspicions() const;

  /// Digests for anti-entropy: sums of hashes over (instance, incarnation,
  /// sequence) of the members that are neither dead nor left, of one service,
  /// of all entry instances, and of all members. Each new record changes one
  /// term of the sums.
  uint64_t ServiceDigest(const std::string& service) const;
  uint64_t entry_digest() const { return entry_digest_; }
  uint64_t digest() const { return digest_; }

  /// Names of the members that this process pings, and so observes.
  const std::vector<std::string>& targets() const { return targets_; }

 private:
  /// Pings of one target.
  struct PingState {
    uint64_t sequence = 0;
    uint32_t missed_pings = 0;
    bool awaiting_pong = false;
  };
  struct ReceivedSuspicion {
    control::Suspicion suspicion;
    TimePoint received;
  };
  struct Group {
    std::set<std::string> members;
    bool eviction_suspended = false;
  };

  static std::string GroupName(const control::Member& member);
  void SetState(const std::string& instance, control::MemberState state,
                TimePoint now, Actions* actions);
  void AddDigest(const control::Member& member, uint64_t sign);
  /// True when observers in two zones report at least this severity (1
  /// suspected, 2 dead). In a group that lies within one zone, all other
  /// members that are present and not themselves suspected must report it.
  bool ObserversAgree(const std::string& instance, int severity) const;
  /// Recomputes the states of a group's members from the stored suspicions.
  /// While too many members are suspected, none is evicted.
  void UpdateGroupStates(const std::string& group, TimePoint now,
                         Actions* actions);
  void ChoosePingTargets();
  /// Applies this process's own suspicion of a member, and adds it to
  /// `actions` to be sent.
  void RecordOwnObservation(const std::string& instance,
                            control::MemberState state, TimePoint now,
                            Actions* actions);
  void RemoveMember(const std::string& instance);
  /// The members of a group in ring order: each pings the ones after it.
  /// Members of different zones alternate, so that observers are in other
  /// zones.
  std::vector<std::string> ObservationRing(const std::string& group) const;
  /// The entry instances that observe the members of a small service, each in
  /// another zone.
  std::vector<std::string> ChooseEntryObservers(const std::string& group) const;

  control::Member self_;
  const MembershipSettings settings_;
  std::map<std::string, control::Member> members_;
  std::map<std::string, Group> groups_;
  /// Received suspicions by member, then by observer.
  std::map<std::string, std::map<std::string, ReceivedSuspicion>> suspicions_;
  /// Since when each member has been dead or has left.
  std::map<std::string, TimePoint> inactive_since_;
  std::map<std::string, PingState> ping_states_;
  std::vector<std::string> targets_;
  bool targets_stale_ = true;
  TimePoint next_ping_at_{};
  TimePoint next_expiry_check_at_{};
  uint64_t digest_ = 0;
  std::map<std::string, uint64_t> service_digest_;
  uint64_t entry_digest_ = 0;
};

/// "team/service" from a sidecar's announcement; empty without an announcement.
std::string ServiceKey(const control::Member& member);

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_MEMBERSHIP_H_
