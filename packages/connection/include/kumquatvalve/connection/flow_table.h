#ifndef KUMQUATVALVE_CONNECTION_FLOW_TABLE_H_
#define KUMQUATVALVE_CONNECTION_FLOW_TABLE_H_

#include <absl/container/flat_hash_set.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/request/flow_key.h"

namespace kumquatvalve::connection {

/// State of a flow at its holder. The flow table has one queue for each state,
/// in the order in which flows entered the state or were last seen.
enum class FlowState : uint8_t {
  /// The SYN was delivered; the caller has not confirmed the SYN-ACK.
  kHalfOpen,
  /// The handshake was completed here, or the flow was adopted.
  kOpen,
  /// Idle; both sides were probed and have not both replied.
  kProbed,
  /// Both sides sent FIN, or one side sent a valid RST.
  kClosing,
  /// A UDP flow.
  kDatagram,
};
inline constexpr size_t kFlowStates = 5;

/// A sidecar's state of a flow that its upstream holds.
struct Flow {
  request::FlowKey key;
  FlowState state = FlowState::kHalfOpen;
  /// A SYN-ACK of the upstream was seen, so `upstream_next` is exact.
  bool syn_ack_seen : 1 = false;
  bool caller_fin : 1 = false;
  bool upstream_fin : 1 = false;
  /// A request is in progress; see AdmissionPolicy::OnRequest.
  bool busy : 1 = false;
  /// `response_end` is the end of a complete response.
  bool response_ended : 1 = false;
  /// The side replied to the current probe.
  bool caller_answered : 1 = false;
  bool upstream_answered : 1 = false;
  bool has_timestamps : 1 = false;
  /// Probes sent since the flow became idle.
  uint8_t probes = 0;
  /// Low 32 bits of the flow hash, which suffice to find the row.
  uint32_t hash = 0;
  uint32_t caller_isn = 0;
  /// Sequence number after the last byte seen from either side.
  uint32_t caller_next = 0;
  uint32_t upstream_next = 0;
  /// Last acknowledgment number that the upstream sent.
  uint32_t upstream_ack = 0;
  /// Sequence number after the last byte of the upstream's response.
  uint32_t response_end = 0;
  /// Last TCP timestamp values, for probes and for the holder hint.
  uint32_t caller_ts = 0;
  uint32_t upstream_ts = 0;
  /// When the flow was moved to the end of the queue of its state.
  TimePoint moved_at;
  /// Positions of the neighbours in that queue; see `FlowTable`.
  uint32_t previous = 0;
  uint32_t next = 0;
};

/// The flows that one upstream holds, at most `capacity`. A full table evicts
/// its oldest half-open flow, so a SYN flood cannot evict an open flow.
class FlowTable {
 public:
  /// @param on_evict called before a half-open flow is evicted.
  FlowTable(size_t capacity, std::function<void(const Flow&)> on_evict);
  FlowTable(const FlowTable&) = delete;
  FlowTable& operator=(const FlowTable&) = delete;

  /// The flow, or null. The pointer is valid until the flow is erased.
  Flow* Find(const request::FlowKey& key);
  const Flow* Find(const request::FlowKey& key) const;

  /// Adds a flow, which must not be in the table. A full table evicts its
  /// oldest half-open flow.
  /// @return null when the table is full and has no half-open flow.
  Flow* Insert(const request::FlowKey& key, FlowState state, TimePoint now);

  /// Sets the flow's state and moves it to the end of the queue of that state.
  void MoveToState(Flow* flow, FlowState state, TimePoint now);

  void Erase(Flow* flow);

  /// The flow at the head of the queue of a state, or null.
  Flow* Oldest(FlowState state);

  /// Calls `call(const Flow&)` for every flow.
  template <typename Call>
  void ForEach(Call call) const {
    for (const uint32_t slot : index_) {
      call(slots_[slot]);
    }
  }

  size_t size() const { return index_.size(); }
  size_t size(FlowState state) const {
    return counts_[static_cast<size_t>(state)];
  }
  /// Number of flows that a drain has to wait for.
  size_t open() const { return size() - size(FlowState::kClosing); }

  /// Bytes of the object and of its heap memory.
  size_t MemoryBytes() const;

 private:
  /// No flow, in place of a position in `slots_`.
  static constexpr uint32_t kNone = 0xffffffff;

  struct Queue {
    uint32_t head = kNone;
    uint32_t tail = kNone;
  };
  struct SlotHash {
    using is_transparent = void;
    const std::deque<Flow>* slots;
    size_t operator()(uint32_t slot) const {
      return request::FlowKeyHash()((*slots)[slot].key);
    }
    size_t operator()(const request::FlowKey& key) const {
      return request::FlowKeyHash()(key);
    }
  };
  struct SlotEqual {
    using is_transparent = void;
    const std::deque<Flow>* slots;
    bool operator()(uint32_t a, uint32_t b) const { return a == b; }
    bool operator()(uint32_t a, const request::FlowKey& key) const {
      return (*slots)[a].key == key;
    }
    bool operator()(const request::FlowKey& key, uint32_t a) const {
      return (*slots)[a].key == key;
    }
  };

  /// The flow's position in `slots_`.
  uint32_t SlotOf(const Flow& flow) const;
  /// Removes the flow from the queue of its state.
  void Unlink(Flow* flow);
  /// Adds the flow at position `slot` to the end of the queue of its state.
  void Append(uint32_t slot, TimePoint now);

  size_t capacity_;
  std::function<void(const Flow&)> on_evict_;
  // A deque, since it grows without moving the flows.
  std::deque<Flow> slots_;
  /// Unused positions in `slots_`.
  std::vector<uint32_t> free_;
  absl::flat_hash_set<uint32_t, SlotHash, SlotEqual> index_;
  std::array<Queue, kFlowStates> queues_;
  /// Number of flows in each state.
  std::array<size_t, kFlowStates> counts_{};
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_FLOW_TABLE_H_
