#ifndef KUMQUATVALVE_CONNECTION_ROW_OWNERSHIP_H_
#define KUMQUATVALVE_CONNECTION_ROW_OWNERSHIP_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/connection/peer_message.h"
#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/version/forwarding_table.h"

namespace kumquatvalve::connection {

/// Whether this sidecar may admit new flows of a row.
enum class RowState : uint8_t {
  kNotOwned,
  /// Claimed; some peers have not replied to the claim.
  kTakingOver,
  kOwned,
  /// This sidecar is the owner by its own table, but the row was ceded to a
  /// peer that claimed it, for example with a newer table.
  kCeded,
};

/// Ownership of the rows of one service, as one sidecar knows it. The owner of
/// a row is the owner in the forwarding table, or the backup while the owner is
/// dead. A sidecar that becomes the owner claims the row from all peers that
/// are alive: after a restart, or when tables are several versions apart, it
/// cannot know which of them was the last owner.
class RowOwnership {
 public:
  using TablePtr = std::shared_ptr<const version::ForwardingTable>;
  /// A claim and the peer to send it to.
  struct OutgoingClaim {
    request::InstanceId peer;
    RowClaim claim;
  };

  /// A takeover no longer waits for a peer that sent nothing for this long.
  static constexpr std::chrono::milliseconds kPeerTimeout{1000};
  /// Claims without a reply are sent again after this time.
  static constexpr std::chrono::milliseconds kClaimRetryInterval{250};
  /// No flow may be refused as "not run" for this long after a takeover in
  /// which a peer did not reply, since a SYN may have reached an upstream
  /// without a record at this sidecar. Longer than all SYN retransmissions of a
  /// caller.
  static constexpr std::chrono::seconds kNoRefusalPeriod{70};

  RowOwnership(request::InstanceId self, request::ServiceId service)
      : self_(self), service_(service) {}

  /// Applies a table of this service with a later version; others are ignored.
  /// @return whether the table was applied.
  bool OnTable(TablePtr table, TimePoint now);

  /// Applies a peer's state from the membership view. Rows whose owner died go
  /// to their backup.
  void OnPeerState(request::InstanceId peer, bool alive, TimePoint now);

  /// While the membership lease is not valid, no row is owned. When it becomes
  /// valid again, all rows are claimed again, since peers may have taken them
  /// over.
  void OnLease(bool valid, TimePoint now);

  /// Applies a peer's claim. A claim by an older table than the own one is
  /// accepted only if the peer is still the owner. A row that this sidecar owns
  /// by its table is not ceded to a backup that presumes it dead by mistake.
  /// @return the rows that are ceded to the peer, for the `RowHandover` that
  ///   replies to the claim.
  std::vector<request::RowIndex> OnClaim(request::InstanceId from,
                                         const RowClaim& claim, TimePoint now);

  /// Applies a peer's reply to a claim; only the last part of a reply has an
  /// effect. A row is owned when all peers have replied.
  void OnHandover(request::InstanceId from, const RowHandover& handover,
                  TimePoint now);

  /// Stops waiting for unresponsive peers, which may complete a takeover.
  /// @return the claims to send now.
  std::vector<OutgoingClaim> MakeClaims(TimePoint now);

  /// `kNotOwned` for a row outside the table.
  RowState state(request::RowIndex row) const;
  bool lease_valid() const { return lease_valid_; }

  /// Whether a flow of the row may be refused as "not run": the row is owned
  /// here and the record of its flows is complete.
  bool MayRefuse(request::RowIndex row, TimePoint now) const;

  /// False while the record of the row's flows may have gaps; true for a row
  /// outside the table.
  bool HistoryComplete(request::RowIndex row, TimePoint now) const;

  /// The row's owner by the table, the peer states and the accepted claims; id
  /// 0 for none.
  request::InstanceId OwnerOf(request::RowIndex row) const;

  /// During a takeover: the previous owner, if it is known and has not replied
  /// to the claim; otherwise id 0.
  request::InstanceId PreviousOwnerOf(request::RowIndex row) const;

  /// During a takeover: the peers that have not replied to the claim.
  const std::vector<request::InstanceId>& PendingPeersOf(
      request::RowIndex row) const;

  /// False for a peer whose state was never set.
  bool IsDead(request::InstanceId peer) const;

  const version::ForwardingTable* table() const { return table_.get(); }

  /// A counter that changes whenever the owner of a row changes.
  uint64_t generation() const { return generation_; }

 private:
  struct Row {
    RowState state = RowState::kNotOwned;
    /// Owner according to the table and the peer states; id 0 for none.
    request::InstanceId effective_owner;
    /// The owner before the last change; id 0 for none.
    request::InstanceId previous_owner;
    /// Last peer whose claim was accepted, and its table version.
    request::InstanceId claimant;
    request::TableVersion claimed_version;
    /// Peers that have not replied to this sidecar's claim.
    std::vector<request::InstanceId> pending;
    TimePoint claimed_at;
    TimePoint no_refusal_until;
  };

  void UpdateOwners(bool reclaim, TimePoint now);
  void StartTakeover(Row* row, TimePoint now);
  request::InstanceId EffectiveOwner(uint32_t row) const;
  bool ClaimantTakesPrecedence(const Row& row) const;
  bool ShouldCedeTo(const Row& row, uint32_t index, request::InstanceId from,
                    request::TableVersion version) const;
  request::InstanceId TableOwner(uint32_t row) const;

  request::InstanceId self_;
  request::ServiceId service_;
  TablePtr table_;
  TablePtr previous_table_;
  bool lease_valid_ = true;
  std::unordered_map<request::InstanceId, bool> alive_;
  std::unordered_map<request::InstanceId, TimePoint> last_received_at_;
  std::vector<Row> rows_;
  TimePoint claims_sent_at_{};
  bool claims_due_ = false;
  uint64_t generation_ = 0;
  std::vector<request::InstanceId> no_peers_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_ROW_OWNERSHIP_H_
