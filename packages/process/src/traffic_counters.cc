#include "kumquatvalve/process/traffic_counters.h"

namespace kumquatvalve::process {

std::string_view Name(PacketEvent event) {
  switch (event) {
    case PacketEvent::kReceived:
      return "received";
    case PacketEvent::kForwarded:
      return "forwarded";
    case PacketEvent::kDelivered:
      return "delivered";
    case PacketEvent::kFromUpstream:
      return "from_upstream";
    case PacketEvent::kAnswered:
      return "answered";
    case PacketEvent::kSendFailed:
      return "send_failed";
  }
  return "unknown";
}

void TrafficCounters::AddDrops(
    std::map<request::ResultCode, uint64_t>* sums) const {
  for (size_t i = 0; i < drops_.size(); ++i) {
    const uint64_t n = drops_[i].load(std::memory_order_relaxed);
    if (n != 0) {
      (*sums)[static_cast<request::ResultCode>(i)] += n;
    }
  }
}

void TrafficSums::Add(const TrafficCounters& counters) {
  for (size_t i = 0; i < events.size(); ++i) {
    events[i] += counters.Value(static_cast<PacketEvent>(i));
  }
  counters.AddDrops(&drops);
}

}  // namespace kumquatvalve::process
