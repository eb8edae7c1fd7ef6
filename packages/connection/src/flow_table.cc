#include "kumquatvalve/connection/flow_table.h"

#include <utility>

namespace kumquatvalve::connection {

FlowTable::FlowTable(size_t capacity, std::function<void(const Flow&)> on_evict)
    : capacity_(capacity),
      on_evict_(std::move(on_evict)),
      index_(0, SlotHash{&slots_}, SlotEqual{&slots_}) {}

Flow* FlowTable::Find(const request::FlowKey& key) {
  const auto it = index_.find(key);
  return it == index_.end() ? nullptr : &slots_[*it];
}

const Flow* FlowTable::Find(const request::FlowKey& key) const {
  const auto it = index_.find(key);
  return it == index_.end() ? nullptr : &slots_[*it];
}

Flow* FlowTable::Insert(const request::FlowKey& key, FlowState state,
                        TimePoint now) {
  if (size() >= capacity_) {
    Flow* victim = Oldest(FlowState::kHalfOpen);
    if (victim == nullptr) {
      return nullptr;
    }
    on_evict_(*victim);
    Erase(victim);
  }
  uint32_t slot;
  if (free_.empty()) {
    slot = static_cast<uint32_t>(slots_.size());
    slots_.emplace_back();
  } else {
    slot = free_.back();
    free_.pop_back();
    slots_[slot] = Flow();
  }
  Flow& flow = slots_[slot];
  flow.key = key;
  flow.state = state;
  index_.insert(slot);
  Append(slot, now);
  return &flow;
}

void FlowTable::MoveToState(Flow* flow, FlowState state, TimePoint now) {
  const uint32_t slot = SlotOf(*flow);
  Unlink(flow);
  flow->state = state;
  Append(slot, now);
}

void FlowTable::Erase(Flow* flow) {
  const uint32_t slot = SlotOf(*flow);
  Unlink(flow);
  index_.erase(slot);
  free_.push_back(slot);
}

Flow* FlowTable::Oldest(FlowState state) {
  const uint32_t head = queues_[static_cast<size_t>(state)].head;
  return head == kNone ? nullptr : &slots_[head];
}

size_t FlowTable::MemoryBytes() const {
  // Each bucket of the index takes one slot number and one control byte.
  return sizeof(*this) + slots_.size() * sizeof(Flow) +
         free_.capacity() * sizeof(uint32_t) +
         index_.capacity() * (sizeof(uint32_t) + 1);
}

uint32_t FlowTable::SlotOf(const Flow& flow) const {
  if (flow.previous != kNone) {
    return slots_[flow.previous].next;
  }
  return queues_[static_cast<size_t>(flow.state)].head;
}

void FlowTable::Unlink(Flow* flow) {
  Queue& queue = queues_[static_cast<size_t>(flow->state)];
  (flow->previous == kNone ? queue.head : slots_[flow->previous].next) =
      flow->next;
  (flow->next == kNone ? queue.tail : slots_[flow->next].previous) =
      flow->previous;
  --counts_[static_cast<size_t>(flow->state)];
}

void FlowTable::Append(uint32_t slot, TimePoint now) {
  Flow& flow = slots_[slot];
  Queue& queue = queues_[static_cast<size_t>(flow.state)];
  flow.moved_at = now;
  flow.previous = queue.tail;
  flow.next = kNone;
  (queue.tail == kNone ? queue.head : slots_[queue.tail].next) = slot;
  queue.tail = slot;
  ++counts_[static_cast<size_t>(flow.state)];
}

}  // namespace kumquatvalve::connection
