#include "kumquatvalve/connection/waiting_flows.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace kumquatvalve::connection {

request::ParsedPacket WaitingFlow::ToPacket() const {
  request::ParsedPacket packet;
  packet.flow = flow;
  packet.syn = true;
  packet.sequence = caller_isn;
  packet.bytes = bytes;
  return packet;
}

bool WaitingFlows::Push(WaitingFlow flow) {
  if (flows_.size() >= kMaxWaiting) {
    return false;
  }
  flows_.push_back(std::move(flow));
  return true;
}

bool WaitingFlows::Contains(const request::FlowKey& flow) const {
  return std::any_of(flows_.begin(), flows_.end(),
                     [&](const WaitingFlow& it) { return it.flow == flow; });
}

std::optional<WaitingFlow> WaitingFlows::Pop(TimePoint now) {
  std::erase_if(flows_,
                [now](const WaitingFlow& it) { return now >= it.deadline; });
  if (flows_.empty()) {
    return std::nullopt;
  }
  auto next = std::find_if(
      flows_.begin(), flows_.end(),
      [now](const WaitingFlow& it) { return now < it.on_time_until; });
  if (next == flows_.end()) {
    next = flows_.begin();
  }
  WaitingFlow flow = std::move(*next);
  flows_.erase(next);
  return flow;
}

size_t WaitingFlows::CountOnTime(TimePoint now) const {
  return static_cast<size_t>(std::count_if(
      flows_.begin(), flows_.end(),
      [now](const WaitingFlow& it) { return now < it.on_time_until; }));
}

std::vector<WaitingFlow> WaitingFlows::TakeAll() {
  std::vector<WaitingFlow> flows(std::make_move_iterator(flows_.begin()),
                                 std::make_move_iterator(flows_.end()));
  flows_.clear();
  return flows;
}

}  // namespace kumquatvalve::connection
