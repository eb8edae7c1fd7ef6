#ifndef KUMQUATVALVE_PROCESS_CONTROL_NODE_H_
#define KUMQUATVALVE_PROCESS_CONTROL_NODE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "kumquatvalve/process/control.pb.h"
#include "kumquatvalve/process/control_channel.h"
#include "kumquatvalve/process/member_lease.h"
#include "kumquatvalve/process/membership.h"
#include "kumquatvalve/process/relay_session.h"
#include "kumquatvalve/process/table_writer.h"
#include "kumquatvalve/process/zone_summary.h"
#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::process {

struct ControlNodeSettings {
  MembershipSettings membership;
  RelaySettings relay;
  TableWriterSettings writer;
  ZoneSummarySettings summary;
  std::chrono::milliseconds lease_duration = kMemberLeaseDuration;
};

/// Effects of one call of `ControlNode`, for the caller to carry out.
struct NodeActions {
  /// Messages with the sender's fields filled in.
  std::vector<OutgoingMessage> messages;
  std::vector<StoreWrite> writes;
  /// Tables that this call applied, deleted ones included.
  std::vector<control::ConfigObject> applied;
  /// Members whose record or state changed.
  std::vector<std::string> changed;
  /// Messages from peers to the data-path role of this process, which the
  /// caller passes on.
  std::vector<control::Envelope> peer_messages;
  /// Groups in which eviction was suspended now, with the number of suspected
  /// members.
  std::vector<std::pair<std::string, size_t>> newly_suspended_groups;
  /// The process's own incarnation, when it changed.
  std::optional<request::Incarnation> own_incarnation;
};

/// All decisions of the control plane of one process, without I/O: messages,
/// results of store calls and the clock go in, messages to send and store
/// writes come out.
class ControlNode {
 public:
  using TimePoint = Membership::TimePoint;

  ControlNode(control::Member self, std::vector<request::Endpoint> seeds,
              const ControlNodeSettings& settings, uint64_t seed);

  /// Handles a message from another process.
  void OnEnvelope(control::Envelope&& envelope, TimePoint now,
                  NodeActions* actions);
  /// Handles a message of an earlier start of its sender than the newest known
  /// one. When the sender's clock was stepped back, it is the newest one all
  /// the same: it is sent the incarnation that it has to exceed.
  void OnStaleEnvelope(const StaleEnvelope& stale, NodeActions* actions);
  /// Runs due timers: pings, heartbeats, watcher selection and store writes.
  void Tick(TimePoint now, NodeActions* actions);

  /// Applies services and tables from the store. `revision` is the store
  /// revision that the watch returned; with `snapshot`, missing objects are
  /// treated as deleted.
  void OnStoreObjects(const std::vector<control::ConfigObject>& objects,
                      uint64_t revision, bool snapshot, TimePoint now,
                      NodeActions* actions);
  /// Applies the leases of service groups from the store.
  void OnLeaseObjects(const std::vector<control::ConfigObject>& objects,
                      TimePoint now);
  void OnStoreFailure(TimePoint now) { writer_.OnStoreFailure(now); }
  /// A store call that began at `sent_at` succeeded; at a watcher this renews
  /// the member lease.
  void OnStoreCallSucceeded(TimePoint sent_at);

  /// Whether a write is still covered by its lease; checked right before it is
  /// sent.
  bool MaySend(const StoreWrite& write, TimePoint now) const {
    return writer_.MaySend(write, now);
  }
  void OnWritten(const StoreWrite& write, request::TableVersion version,
                 TimePoint now);
  /// @param actual the object's current version after a conflict, 0 when not
  ///   known.
  void OnWriteFailed(const StoreWrite& write, request::ResultCode code,
                     request::TableVersion actual, TimePoint now);

  /// Replaces the own record (announcement, draining, leaving) and sends it to
  /// peers and served members.
  void SetSelf(control::Member self, TimePoint now, NodeActions* actions);
  void SetOpenFlows(uint64_t open_flows) { relay_.SetOpenFlows(open_flows); }

  /// Fills in the sender's fields of a message of this process.
  void SetSender(control::Envelope* envelope) const;

  const Membership& membership() const { return membership_; }
  const RelaySession& relay() const { return relay_; }
  const TableWriter& writer() const { return writer_; }
  const MemberLease& lease() const { return lease_; }
  /// Whether this process watches the store now.
  bool watcher() const { return watcher_; }

 private:
  void MergeActions(RelayActions&& relay, NodeActions* actions);
  void MergeActions(Membership::Actions&& found, TimePoint now,
                    NodeActions* actions);
  // A peer knows a start of this process at a larger incarnation, which must be
  // an earlier one: raises the own incarnation above it.
  void OnStaleStart(const control::StaleStart& stale, TimePoint now,
                    NodeActions* actions);
  void SendTo(const std::string& instance, control::Envelope&& envelope,
              NodeActions* actions);

  Membership membership_;
  MemberLease lease_;
  RelaySession relay_;
  TableWriter writer_;
  ZoneSummary summary_;
  bool watcher_ = false;
  bool first_watcher_ = false;
  std::optional<TimePoint> started_at_;
  TimePoint next_role_check_at_{};
  TimePoint next_incarnation_change_at_{};
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_CONTROL_NODE_H_
