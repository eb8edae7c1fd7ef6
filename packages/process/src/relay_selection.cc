#include "kumquatvalve/process/relay_selection.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace kumquatvalve::process {

std::vector<std::string> RankByRendezvousHash(std::vector<std::string> names,
                                              const std::string& key) {
  const uint64_t seed = XXH64(key.data(), key.size(), 0);
  std::vector<std::pair<uint64_t, std::string>> ranked;
  ranked.reserve(names.size());
  for (std::string& it : names) {
    const uint64_t hash = XXH64(it.data(), it.size(), seed);
    ranked.emplace_back(hash, std::move(it));
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> order;
  order.reserve(ranked.size());
  for (auto& [hash, name] : ranked) {
    order.push_back(std::move(name));
  }
  return order;
}

std::vector<std::string> SelectWatchers(const std::vector<std::string>& entries,
                                        const std::string& zone) {
  std::vector<std::string> order =
      RankByRendezvousHash(entries, "watcher/" + zone);
  order.resize(std::min(order.size(), kWatchersPerZone));
  return order;
}

size_t RequiredRelayCount(size_t members) {
  return std::max(kSessionsPerMember, (members * kSessionsPerMember +
                                       kPlannedSessionsPerRelay - 1) /
                                          kPlannedSessionsPerRelay);
}

std::vector<std::string> SelectRelays(const std::vector<std::string>& entries,
                                      const std::string& zone, size_t count) {
  const std::vector<std::string> watchers = SelectWatchers(entries, zone);
  std::vector<std::string> order =
      RankByRendezvousHash(entries, "relay/" + zone);
  std::erase_if(order, [&](const std::string& it) {
    return std::find(watchers.begin(), watchers.end(), it) != watchers.end();
  });
  order.resize(std::min(order.size(), count));
  return order;
}

std::vector<std::string> RelayPreferenceOrder(
    const std::vector<std::string>& entries, const std::string& zone,
    size_t count, const std::string& member) {
  std::vector<std::string> order;
  const auto add = [&](const std::vector<std::string>& names) {
    for (std::string& it : RankByRendezvousHash(names, member)) {
      if (it != member &&
          std::find(order.begin(), order.end(), it) == order.end()) {
        order.push_back(std::move(it));
      }
    }
  };
  const std::vector<std::string> watchers = SelectWatchers(entries, zone);
  add(SelectRelays(entries, zone, count));
  // With fewer than two relays (`kSessionsPerMember`) the watchers serve the
  // members themselves.
  if (order.size() < kSessionsPerMember) {
    add(watchers);
  }
  std::vector<std::string> others = entries;
  std::erase_if(others, [&](const std::string& it) {
    return std::find(watchers.begin(), watchers.end(), it) != watchers.end();
  });
  add(others);
  add(watchers);
  return order;
}

}  // namespace kumquatvalve::process
