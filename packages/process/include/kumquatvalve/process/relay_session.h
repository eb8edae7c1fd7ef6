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
  /// To each relay; the two relays of a member are served in turn, so that one
  /// of them answers every half of it.
  std::chrono::milliseconds heartbeat_interval{2000};
  /// A relay that did not answer for this time is replaced.
  std::chrono::milliseconds silent_time{3000};
  /// A silent relay is not tried again for this time.
  std::chrono::milliseconds avoid_time{30000};
  /// A member that sent no heartbeat for this time is no longer served.
  std::chrono::milliseconds member_time{6000};
  /// Least time between two snapshots to one member.
  std::chrono::milliseconds snapshot_interval{20000};
  /// How often a process with relays tries a seed, so that parts of a fleet
  /// that were apart find each other again.
  std::chrono::milliseconds seed_interval{30000};
  /// Wait between two attempts to join.
  std::chrono::milliseconds join_interval{500};
};

/// A message and where it goes; the sender's fields are filled in later.
struct OutgoingMessage {
  request::Endpoint to;
  control::Envelope envelope;
};

/// What a call of `RelaySession` results in.
struct RelayActions {
  std::vector<OutgoingMessage> messages;
  /// Objects that were applied here now, in the order of application.
  std::vector<control::ConfigObject> applied;
  Membership::Actions membership;
};

/// The tree on which tables, member records and opinions reach every process:
/// sessions with the relays of this process and with the members that it
/// serves as a relay. Objects flow from watchers to members, records and
/// opinions both ways. Messages in, messages out.
class RelaySession {
 public:
  using TimePoint = Membership::TimePoint;

  /// @param membership and `lease` must outlive the session.
  RelaySession(Membership* membership, MemberLease* lease,
               std::vector<request::Endpoint> seeds,
               const RelaySettings& settings);

  /// Handles heartbeats, acknowledgments, updates, snapshot requests and
  /// opinions; other bodies are ignored.
  void OnEnvelope(const control::Envelope& envelope, TimePoint now,
                  RelayActions* actions);

  /// Only watchers: an object from the store.
  void OnStoreObjects(const std::vector<control::ConfigObject>& objects,
                      uint64_t revision, bool snapshot, TimePoint now,
                      RelayActions* actions);

  /// Passes on what `Membership` called found out here.
  void Spread(const Membership::Actions& found, TimePoint now,
              RelayActions* actions);

  void Tick(TimePoint now, RelayActions* actions);

  /// The next heartbeats carry the whole record and go out at once.
  void AnnounceSelf(TimePoint now, RelayActions* actions);

  void SetOpenFlows(uint64_t open_flows) { open_flows_ = open_flows; }

  bool watcher() const;
  /// The first of the zone's watchers, which writes the zone's summary.
  bool first_watcher() const;
  bool relay() const { return !served_.empty(); }
  size_t served() const { return served_.size(); }
  /// Entry instances among the served, which get every table.
  size_t served_entries() const;
  /// A relay answered, or there is no seed to join through.
  bool joined() const;
  uint64_t applied_version() const { return applied_version_; }
  uint64_t digest() const { return object_digest_; }
  const std::vector<std::string>& upstreams() const { return upstreams_; }
  const std::map<std::string, control::ConfigObject>& objects() const {
    return objects_;
  }
  /// What is known of the members' progress.
  const std::map<std::string, control::MemberStatus>& statuses() const {
    return statuses_;
  }

 private:
  struct Served {
    request::Endpoint endpoint;
    TimePoint last_heartbeat;
    TimePoint last_snapshot;
    bool had_snapshot = false;
    uint32_t mismatches = 0;
  };
  struct Upstream {
    TimePoint since;
    TimePoint last_answer;
    bool answered = false;
    bool full = true;
  };
  /// What one update holds before it is cut to the receiver's part.
  struct News {
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
  void DropMissing(const std::vector<std::string>& present, uint64_t version,
                   RelayActions* actions);
  void SendNews(const News& news, const std::string& except,
                RelayActions* actions);
  void SendSnapshot(const std::string& to, const request::Endpoint& endpoint,
                    RelayActions* actions);
  void SendHeartbeat(const request::Endpoint& to, bool full, TimePoint now,
                     RelayActions* actions);
  void ChooseUpstreams(TimePoint now);
  std::vector<std::string> Candidates() const;
  /// Computed once a heartbeat, since it reads all members.
  void CountMembers();
  std::vector<std::string> EntriesOf(const std::string& zone) const;
  bool Wants(const control::Member* receiver,
             const control::Member& member) const;
  bool Wants(const control::Member* receiver,
             const control::ConfigObject& object) const;
  uint64_t ObjectDigestFor(const control::Member* receiver) const;
  uint64_t MemberDigestFor(const control::Member* receiver) const;
  bool EndpointOf(const std::string& instance,
                  request::Endpoint* endpoint) const;

  Membership& membership_;
  MemberLease& lease_;
  const std::vector<request::Endpoint> seeds_;
  const RelaySettings settings_;
  std::map<std::string, control::ConfigObject> objects_;
  /// "team/service" of each table.
  std::map<std::string, std::string> service_of_;
  std::map<std::string, uint64_t> service_digest_;
  uint64_t object_digest_ = 0;
  uint64_t applied_version_ = 0;
  /// True when the objects are complete at `applied_version_`.
  bool complete_ = false;
  std::map<std::string, Served> served_;
  std::vector<std::string> upstreams_;
  std::map<std::string, Upstream> sessions_;
  std::map<std::string, TimePoint> avoid_;
  std::map<std::string, control::MemberStatus> statuses_;
  TimePoint next_heartbeat_{};
  TimePoint next_join_{};
  TimePoint next_seed_{};
  uint64_t beat_ = 0;
  std::map<std::string, size_t> relays_of_zone_;
  size_t relay_count_ = kSessionsPerMember;
  size_t next_seed_index_ = 0;
  uint64_t open_flows_ = 0;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_RELAY_SESSION_H_
