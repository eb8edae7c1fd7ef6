#include "kumquatvalve/connection/row_ownership.h"

#include <algorithm>
#include <map>

namespace kumquatvalve::connection {

using request::InstanceId;
using request::RowIndex;

bool RowOwnership::OnTable(TablePtr table, TimePoint now) {
  if (table == nullptr || table->service != service_ ||
      (table_ != nullptr && table->version <= table_->version)) {
    return false;
  }
  previous_table_ = table_;
  table_ = std::move(table);
  if (rows_.size() != table_->owner.size()) {
    rows_.assign(table_->owner.size(), Row());
  }
  UpdateOwners(false, now);
  return true;
}

void RowOwnership::OnPeerState(InstanceId peer, bool alive, TimePoint now) {
  const bool changed = IsDead(peer) == alive;
  alive_[peer] = alive;
  if (!alive) {
    for (Row& row : rows_) {
      std::erase(row.pending, peer);
    }
  }
  if (changed || !alive) {
    UpdateOwners(false, now);
  }
}

void RowOwnership::OnLease(bool valid, TimePoint now) {
  if (valid == lease_valid_) {
    return;
  }
  lease_valid_ = valid;
  UpdateOwners(valid, now);
}

std::vector<RowIndex> RowOwnership::OnClaim(InstanceId from,
                                            const RowClaim& claim,
                                            TimePoint now) {
  last_received_at_[from] = now;
  std::vector<RowIndex> ceded;
  for (const RowIndex index : claim.rows) {
    if (index.value >= rows_.size()) {
      // Without a table this sidecar owns no row that it could keep.
      if (rows_.empty()) {
        ceded.push_back(index);
      }
      continue;
    }
    Row& row = rows_[index.value];
    if (!ShouldCedeTo(row, index.value, from, claim.version)) {
      continue;
    }
    if (row.claimant != from) {
      ++generation_;
    }
    row.claimant = from;
    row.claimed_version = std::max(row.claimed_version, claim.version);
    if (row.effective_owner == self_ && lease_valid_) {
      row.state = RowState::kCeded;
      row.pending.clear();
    }
    ceded.push_back(index);
  }
  return ceded;
}

void RowOwnership::OnHandover(InstanceId from, const RowHandover& handover,
                              TimePoint now) {
  last_received_at_[from] = now;
  if (!handover.last) {
    return;
  }
  for (const RowIndex index : handover.rows) {
    if (index.value < rows_.size() &&
        rows_[index.value].state == RowState::kTakingOver) {
      Row& row = rows_[index.value];
      std::erase(row.pending, from);
      if (!handover.history_complete) {
        row.no_refusal_until = now + kNoRefusalPeriod;
      }
      if (row.pending.empty()) {
        row.state = RowState::kOwned;
      }
    }
  }
}

std::vector<RowOwnership::OutgoingClaim> RowOwnership::MakeClaims(
    TimePoint now) {
  std::map<InstanceId, std::vector<RowIndex>> claims;
  const bool send = claims_due_ || now - claims_sent_at_ >= kClaimRetryInterval;
  for (uint32_t i = 0; i < rows_.size(); ++i) {
    Row& row = rows_[i];
    if (row.state != RowState::kTakingOver) {
      continue;
    }
    std::erase_if(row.pending, [&](InstanceId peer) {
      const auto received = last_received_at_.find(peer);
      const TimePoint since = received == last_received_at_.end()
                                  ? row.claimed_at
                                  : std::max(row.claimed_at, received->second);
      if (now - since < kPeerTimeout) {
        return false;
      }
      row.no_refusal_until = now + kNoRefusalPeriod;
      return true;
    });
    if (row.pending.empty()) {
      row.state = RowState::kOwned;
    } else if (send) {
      for (const InstanceId peer : row.pending) {
        claims[peer].push_back({i});
      }
    }
  }
  std::vector<OutgoingClaim> out;
  if (send) {
    claims_sent_at_ = now;
    claims_due_ = false;
    for (auto& [peer, rows] : claims) {
      out.push_back({peer, {service_, table_->version, std::move(rows)}});
    }
  }
  return out;
}

RowState RowOwnership::state(RowIndex row) const {
  return row.value < rows_.size() ? rows_[row.value].state
                                  : RowState::kNotOwned;
}

bool RowOwnership::MayRefuse(RowIndex row, TimePoint now) const {
  return row.value < rows_.size() &&
         rows_[row.value].state == RowState::kOwned &&
         now >= rows_[row.value].no_refusal_until;
}

bool RowOwnership::HistoryComplete(RowIndex row, TimePoint now) const {
  return row.value >= rows_.size() || now >= rows_[row.value].no_refusal_until;
}

InstanceId RowOwnership::OwnerOf(RowIndex row) const {
  if (row.value >= rows_.size()) {
    return {};
  }
  const Row& it = rows_[row.value];
  return ClaimantTakesPrecedence(it) ? it.claimant : it.effective_owner;
}

InstanceId RowOwnership::PreviousOwnerOf(RowIndex row) const {
  if (row.value >= rows_.size()) {
    return {};
  }
  const Row& it = rows_[row.value];
  const bool can_query = std::find(it.pending.begin(), it.pending.end(),
                                   it.previous_owner) != it.pending.end();
  return can_query ? it.previous_owner : InstanceId();
}

const std::vector<InstanceId>& RowOwnership::PendingPeersOf(
    RowIndex row) const {
  return row.value < rows_.size() ? rows_[row.value].pending : no_peers_;
}

bool RowOwnership::IsDead(InstanceId peer) const {
  const auto it = alive_.find(peer);
  return it != alive_.end() && !it->second;
}

InstanceId RowOwnership::TableOwner(uint32_t row) const {
  const version::UpstreamIndex owner = table_->owner[row];
  return owner < table_->upstreams.size() ? table_->upstreams[owner].instance
                                          : InstanceId();
}

// The table's owner of the row, or its backup while the owner is dead. The
// owner when both are dead; id 0 for none.
InstanceId RowOwnership::EffectiveOwner(uint32_t row) const {
  const InstanceId owner = TableOwner(row);
  if (owner != InstanceId() && !IsDead(owner)) {
    return owner;
  }
  const version::UpstreamIndex backup = table_->backup[row];
  if (backup < table_->upstreams.size() &&
      !IsDead(table_->upstreams[backup].instance)) {
    return table_->upstreams[backup].instance;
  }
  return owner;
}

// True when a peer's accepted claim takes precedence over this sidecar's table.
bool RowOwnership::ClaimantTakesPrecedence(const Row& row) const {
  if (row.claimant == InstanceId() || row.claimant == row.effective_owner ||
      IsDead(row.claimant)) {
    return false;
  }
  return row.claimed_version > table_->version || row.state == RowState::kCeded;
}

// Whether to accept the claim of `from`, which is based on the table `version`.
bool RowOwnership::ShouldCedeTo(const Row& row, uint32_t index, InstanceId from,
                                request::TableVersion version) const {
  const InstanceId table_owner = TableOwner(index);
  if (version < table_->version) {
    // The claimant's table is older; the claim is valid if the row's owner is
    // still the same.
    return row.effective_owner == from;
  }
  if (version < row.claimed_version && row.claimant != from) {
    return false;
  }
  // A row that this sidecar owns by the table is not ceded to its backup, which
  // claims it because it wrongly presumes this sidecar dead.
  const bool mine =
      table_owner == self_ && lease_valid_ &&
      (row.state == RowState::kOwned || row.state == RowState::kTakingOver);
  return version > table_->version || table_owner == from || !mine;
}

// Claims the row from all peers of the current and the previous table that are
// not dead. Without such a peer the row is owned at once.
void RowOwnership::StartTakeover(Row* row, TimePoint now) {
  row->state = RowState::kTakingOver;
  row->claimed_at = now;
  row->pending.clear();
  const auto add = [&](const version::UpstreamEntry& it) {
    if (it.instance != self_ && !IsDead(it.instance) &&
        std::find(row->pending.begin(), row->pending.end(), it.instance) ==
            row->pending.end()) {
      row->pending.push_back(it.instance);
    }
  };
  for (const version::UpstreamEntry& it : table_->upstreams) {
    add(it);
  }
  if (previous_table_ != nullptr) {
    for (const version::UpstreamEntry& it : previous_table_->upstreams) {
      add(it);
    }
  }
  if (row->pending.empty()) {
    row->state = RowState::kOwned;
  }
  claims_due_ = true;
}

// Recomputes the owners of all rows and claims those that this sidecar now
// owns. With `reclaim` it claims all its rows, also those that it owned before.
void RowOwnership::UpdateOwners(bool reclaim, TimePoint now) {
  if (table_ == nullptr) {
    return;
  }
  for (uint32_t i = 0; i < rows_.size(); ++i) {
    Row& row = rows_[i];
    const InstanceId effective_owner = EffectiveOwner(i);
    if (effective_owner != row.effective_owner) {
      // A peer's accepted claim is newer than the last table.
      row.previous_owner =
          ClaimantTakesPrecedence(row) ? row.claimant : row.effective_owner;
      row.effective_owner = effective_owner;
      ++generation_;
    }
    if (effective_owner != self_ || !lease_valid_) {
      row.state = RowState::kNotOwned;
      row.pending.clear();
      continue;
    }
    // The cession ends when the claimant is dead, when a newer table arrived,
    // or when a backup claimed the row by mistake.
    const bool cession_ends =
        row.state == RowState::kCeded &&
        (IsDead(row.claimant) || row.claimed_version < table_->version ||
         (row.claimed_version == table_->version && TableOwner(i) == self_));
    if (row.state == RowState::kNotOwned || cession_ends || reclaim) {
      if (IsDead(row.previous_owner)) {
        row.no_refusal_until = now + kNoRefusalPeriod;
      }
      StartTakeover(&row, now);
    }
  }
}

}  // namespace kumquatvalve::connection
