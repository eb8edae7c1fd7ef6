#ifndef KUMQUATVALVE_CONNECTION_FLOW_DIRECTORY_H_
#define KUMQUATVALVE_CONNECTION_FLOW_DIRECTORY_H_

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <utility>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/request/flow_key.h"
#include "kumquatvalve/request/ids.h"

namespace kumquatvalve::connection {

/// Which peers hold flows of the rows that this sidecar owns. An entry that its
/// holder registered stays until the holder withdraws it, omits it from a
/// complete registration, or dies. An entry of a flow that was only passed on
/// is unconfirmed and expires.
class FlowDirectory {
 public:
  /// Value of `Entry::round` when the holder has not registered the flow.
  static constexpr uint32_t kUnconfirmed = 0;
  /// Value of `Entry::round` when the entry stays until it is withdrawn or
  /// replaced, even if a complete registration omits it.
  static constexpr uint32_t kRetained = 0xffffffff;

  struct Entry {
    request::InstanceId holder;
    uint32_t hash = 0;
    /// The holder's last registration round that had the flow, or one of the
    /// values above.
    uint32_t round = kUnconfirmed;
    /// When it was recorded or last used.
    TimePoint last_used_at;
  };

  /// TTL of an unconfirmed entry. Longer than all SYN retransmissions of a
  /// caller (63 s at the usual six attempts), which must all find the same
  /// holder.
  static constexpr std::chrono::seconds kUnconfirmedTtl{70};

  explicit FlowDirectory(size_t capacity) : capacity_(capacity) {}

  /// The entry, or null. The pointer is valid until the directory changes.
  Entry* Find(const request::FlowKey& flow);

  /// Records an unconfirmed entry for a flow that was passed on to `holder`.
  /// @return false when the directory is full.
  bool RecordPassedOn(const request::FlowKey& flow, uint32_t hash,
                      request::InstanceId holder, TimePoint now);

  /// Records a flow that its holder registered or an earlier owner handed over.
  /// @return false when the directory is full.
  bool RecordRegistered(const request::FlowKey& flow, uint32_t hash,
                        request::InstanceId holder, TimePoint now);

  /// Completes a registration round of `holder`: removes its entries that were
  /// not registered in this round.
  void FinishRegistration(request::InstanceId holder);

  /// Protects the entries of a restarted holder from its complete
  /// registrations, which omit flows that the holder has not adopted yet.
  void RetainAfterRestart(request::InstanceId holder);

  /// Removes the entry if `holder` is its holder.
  void Withdraw(const request::FlowKey& flow, request::InstanceId holder);

  void Erase(const request::FlowKey& flow) { entries_.erase(flow); }

  /// Removes unconfirmed entries older than their TTL.
  void Expire(TimePoint now);

  /// Calls `call(flow, entry)` for every entry.
  template <typename Call>
  void ForEach(Call call) const {
    for (const auto& [flow, entry] : entries_) {
      call(flow, entry);
    }
  }

  size_t size() const { return entries_.size(); }

 private:
  size_t capacity_;
  absl::flat_hash_map<request::FlowKey, Entry, request::FlowKeyHash> entries_;
  /// The current registration round of each holder, from 1.
  absl::flat_hash_map<request::InstanceId, uint32_t,
                      std::hash<request::InstanceId>>
      rounds_;
  /// Flows recorded by `RecordPassedOn`, in that order, with the time.
  std::deque<std::pair<TimePoint, request::FlowKey>> unconfirmed_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_FLOW_DIRECTORY_H_
