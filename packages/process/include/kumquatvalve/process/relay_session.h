#ifndef KUMQUATVALVE_PROCESS_RELAY_SESSION_H_
#define KUMQUATVALVE_PROCESS_RELAY_SESSION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kumquatvalve/process/control.pb.h"
#include "kumquatvalve/process/member_lease.h"
#include "kumquatvalve/process/membership.h"
#include "kumquatvalve/process/relay_selection.h"
#include "kumquatvalve/request/endpoint.h"

namespace kumquatvalve::process {

struct RelaySettings {
  /// Interval between two heartbeats to the same relay. A member alternates
  /// between its two relays, so that it gets an acknowledgment from one of them
  /// every half interval.
  std::chrono::milliseconds heartbeat_interval{2000};
  /// A relay that sent no acknowledgment for this time is unresponsive and is
  /// replaced.
  std::chrono::milliseconds relay_timeout{3000};
  /// An unresponsive relay is not tried again for this time.
  std::chrono::milliseconds relay_retry_delay{30000};
  /// A relay stops serving a member that sent no heartbeat for this time.
  std::chrono::milliseconds member_timeout{6000};
  /// Minimum time between two snapshots to one member.
  std::chrono::milliseconds min_snapshot_interval{20000};
  /// How often a process that has relays also contacts a seed, so that
  /// separated parts of a fleet join again.
  std::chrono::milliseconds seed_interval{30000};
  /// Time between two attempts to join through a seed.
  std::chrono::milliseconds join_retry_interval{500};
};

/// A message and its destination; `ControlNode` fills in the sender's fields.
struct OutgoingMessage {
  request::Endpoint to;
  control::Envelope envelope;
};

/// Effects of one call of `RelaySession`, for the caller to carry out.
struct RelayActions {
  std::vector<OutgoingMessage> messages;
  /// Objects that this call applied, in the order of application.
  std::vector<control::ConfigObject> applied;
  Membership::Actions membership;
};

/// Distribution tree for tables, member records and suspicions: the sessions of
/// this process with its relays (or, at a watcher, with other watchers) and
/// with the members that it serves as a relay. Objects flow from watchers to
/// members, records and suspicions both ways. The class does no I/O: messages
/// go in, messages to send come out.
class RelaySession {
 public:
  using TimePoint = Membership::TimePoint;

  /// `membership` and `lease` must outlive the session.
  RelaySession(Membership* membership, MemberLease* lease,
               std::vector<request::Endpoint> seeds,
               const RelaySettings& settings);

  /// Handles heartbeats, acknowledgments, updates and snapshot requests;
  /// ignores other bodies.
  void OnEnvelope(const control::Envelope& envelope, TimePoint now,
                  RelayActions* actions);

  /// Applies objects from the store and forwards them to the served members.
  /// Called only at watchers.
  /// @param revision store revision up to which `objects` is complete.
  /// @param snapshot whether `objects` holds all objects; missing ones are
  ///   treated as deleted.
  void OnStoreObjects(const std::vector<control::ConfigObject>& objects,
                      uint64_t revision, bool snapshot, TimePoint now,
                      RelayActions* actions);

  /// Sends the suspicions that this process's failure detector found to all
  /// peers and served members.
  void ForwardSuspicions(const Membership::Actions& found, TimePoint now,
                         RelayActions* actions);

  /// Sends due heartbeats, joins through seeds, replaces unresponsive peers and
  /// drops served members whose heartbeats stopped.
  void Tick(TimePoint now, RelayActions* actions);

  /// Sends a heartbeat with the whole own record to all peers at once, and the
  /// record to served members, after the record changed.
  void AnnounceSelf(TimePoint now, RelayActions* actions);

  void SetOpenFlows(uint64_t open_flows) { open_flows_ = open_flows; }

  /// True when this process is selected as a watcher of its zone.
  bool watcher() const;
  /// True for the first of the zone's watchers, which writes the zone's
  /// summary.
  bool first_watcher() const;
  /// True while this process serves members as a relay.
  bool relay() const { return !served_.empty(); }
  /// Number of members that this process serves.
  size_t served() const { return served_.size(); }
  /// Number of served members that are entry instances, which receive every
  /// table.
  size_t served_entries() const;
  /// True when a relay has acknowledged a heartbeat, or when there is no seed
  /// to join through.
  bool joined() const;
  /// Store revision up to which this process has applied all objects.
  uint64_t applied_version() const { return applied_version_; }
  /// Sum of hashes over the path and version of all applied objects.
  uint64_t digest() const { return object_digest_; }
  /// Names of the processes to which this process sends heartbeats: its relays,
  /// or watchers if it is a relay or watcher itself.
  const std::vector<std::string>& peers() const { return peers_; }
  const std::map<std::string, control::ConfigObject>& objects() const {
    return objects_;
  }
  /// Latest status (applied version, open flows) of members, by instance name.
  const std::map<std::string, control::MemberStatus>& statuses() const {
    return statuses_;
  }

 private:
  struct ServedMember {
    request::Endpoint endpoint;
    TimePoint last_heartbeat_at;
    TimePoint last_snapshot_at;
    /// The member was sent a snapshot, or its digests matched without one.
    bool had_snapshot = false;
    /// Heartbeats in a row whose digests differed from the expected ones.
    uint32_t consecutive_mismatches = 0;
  };
  /// State of the heartbeats to one of `peers_`.
  struct PeerSession {
    TimePoint started_at;
    TimePoint last_ack_at;
    /// The peer has acknowledged a heartbeat.
    bool answered = false;
    bool send_full_record = true;
  };
  /// Content of an update before it is reduced to what each receiver needs.
  struct UpdateContent {
    std::vector<const control::ConfigObject*> objects;
    std::vector<std::string> members;
    std::vector<control::Suspicion> suspicions;
  };

  void OnHeartbeat(const control::Envelope& envelope, TimePoint now,
                   RelayActions* actions);
  void OnAck(const control::Envelope& envelope, TimePoint now,
             RelayActions* actions);
  void OnUpdate(const control::Envelope& envelope, TimePoint now,
                RelayActions* actions);
  bool Apply(const control::ConfigObject& object, RelayActions* actions);
  void DeleteMissingObjects(const std::vector<std::string>& present,
                            uint64_t version, RelayActions* actions);
  /// Sends each peer and served member the part of `content` that it needs.
  /// @param except name of a process that gets no update, usually the one that
  ///   the content came from; empty for none.
  void SendUpdate(const UpdateContent& content, const std::string& except,
                  RelayActions* actions);
  void SendSnapshot(const std::string& to, const request::Endpoint& endpoint,
                    RelayActions* actions);
  void SendHeartbeat(const request::Endpoint& to, bool send_full_record,
                     TimePoint now, RelayActions* actions);
  /// Replaces unresponsive peers by the next candidates.
  void ChoosePeers(TimePoint now);
  /// The processes that this one may have as peers, in order of preference.
  std::vector<std::string> PeerCandidates() const;
  /// Recomputes the number of relays of each zone. Done once per heartbeat
  /// round, since it reads all members.
  void UpdateRelayCounts();
  /// Names of the usable entry instances of a zone; of all zones when empty.
  std::vector<std::string> UsableEntries(const std::string& zone) const;
  bool ShouldReceive(const control::Member* receiver,
                     const control::Member& member) const;
  bool ShouldReceive(const control::Member* receiver,
                     const control::ConfigObject& object) const;
  uint64_t ObjectDigestFor(const control::Member* receiver) const;
  uint64_t MemberDigestFor(const control::Member* receiver) const;
  bool FindControlEndpoint(const std::string& instance,
                           request::Endpoint* endpoint) const;

  Membership& membership_;
  MemberLease& lease_;
  const std::vector<request::Endpoint> seeds_;
  const RelaySettings settings_;
  std::map<std::string, control::ConfigObject> objects_;
  /// "team/service" of each table, by object path.
  std::map<std::string, std::string> service_by_path_;
  std::map<std::string, uint64_t> service_digest_;
  uint64_t object_digest_ = 0;
  uint64_t applied_version_ = 0;
  /// True when `objects_` holds all objects as of `applied_version_`.
  bool complete_ = false;
  std::map<std::string, ServedMember> served_;
  std::vector<std::string> peers_;
  std::map<std::string, PeerSession> sessions_;
  /// Unresponsive peers and when each may be tried again.
  std::map<std::string, TimePoint> retry_after_;
  std::map<std::string, control::MemberStatus> statuses_;
  TimePoint next_heartbeat_at_{};
  TimePoint next_join_at_{};
  TimePoint next_seed_at_{};
  /// Counts half heartbeat intervals. Even and odd rounds send heartbeats to
  /// the peers at even and odd positions of `peers_`.
  uint64_t heartbeat_round_ = 0;
  std::map<std::string, size_t> relay_count_by_zone_;
  /// Number of relays of the own zone, from the last acknowledgment.
  size_t relay_count_ = kSessionsPerMember;
  size_t next_seed_index_ = 0;
  uint64_t open_flows_ = 0;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_RELAY_SESSION_H_
