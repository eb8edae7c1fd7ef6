#include "kumquatvalve/connection/waiting_eviction.h"

#include <cstdint>
#include <map>
#include <tuple>

namespace kumquatvalve::connection {
namespace {

// Numbers of waiting flows, including the new one.
struct FlowCounts {
  void Add(const WaitingFlow& flow) {
    ++of_class[flow.Class()];
    ++of_caller[flow.flow.caller.address];
    ++of_entry[flow.entry];
    ++total;
  }

  std::map<uint8_t, size_t> of_class;
  std::map<request::Address, size_t> of_caller;
  std::map<request::Endpoint, size_t> of_entry;
  size_t total = 0;
};

uint8_t EvictedClass(const FlowCounts& counts, size_t room) {
  const auto& [most_urgent, n] = *counts.of_class.begin();
  const size_t others = counts.total - n;
  return others > room / kOtherClassInterval ? counts.of_class.rbegin()->first
                                             : most_urgent;
}

}  // namespace

std::optional<size_t> ChooseLeastWorth(const std::deque<WaitingFlow>& flows,
                                       const WaitingFlow& newcomer, size_t room,
                                       EvictionScope scope, TimePoint now) {
  const auto in_scope = [&](const WaitingFlow& it) {
    return scope == EvictionScope::kAll || it.IsOnTime(now);
  };
  FlowCounts counts;
  counts.Add(newcomer);
  for (const WaitingFlow& it : flows) {
    if (in_scope(it)) {
      counts.Add(it);
    }
  }
  const uint8_t evicted_class = EvictedClass(counts, room);
  // Larger for flows that are evicted sooner.
  const auto rank = [&](const WaitingFlow& it) {
    return std::tuple(it.Class() == evicted_class, !it.IsOnTime(now),
                      counts.of_caller[it.flow.caller.address],
                      counts.of_entry[it.entry],
                      -it.deadline.time_since_epoch());
  };
  std::optional<size_t> evicted;
  auto evicted_rank = rank(newcomer);
  for (size_t i = 0; i < flows.size(); ++i) {
    if (!in_scope(flows[i])) {
      continue;
    }
    if (const auto it = rank(flows[i]); it > evicted_rank) {
      evicted = i;
      evicted_rank = it;
    }
  }
  return evicted;
}

}  // namespace kumquatvalve::connection
