#ifndef KUMQUATVALVE_PROCESS_RELAY_SELECTION_H_
#define KUMQUATVALVE_PROCESS_RELAY_SELECTION_H_

#include <cstddef>
#include <string>
#include <vector>

namespace kumquatvalve::process {

/// Number of entry instances per availability zone that watch the object API.
inline constexpr size_t kWatchersPerZone = 2;

/// Maximum number of members that one relay serves. At 260 bytes for a
/// heartbeat and its acknowledgment every 2 s, 128 members take 17 KB/s of the
/// 23 KB/s that a process may use.
inline constexpr size_t kMaxMembersPerRelay = 128;

/// Number of relays with which each member keeps a session.
inline constexpr size_t kSessionsPerMember = 2;

/// Orders names by rendezvous hashing for `key`. The relative order of two
/// names does not depend on the other names, so when a process dies, only
/// members that had chosen it choose anew.
std::vector<std::string> RankByRendezvousHash(std::vector<std::string> names,
                                              const std::string& key);

/// Selects the entry instances of a zone that watch the object API. All
/// processes that know the same members select the same ones; while their views
/// differ, an additional watcher costs store calls and does no harm.
std::vector<std::string> SelectWatchers(const std::vector<std::string>& entries,
                                        const std::string& zone);

/// Sessions per relay for which `RequiredRelayCount` plans; the remainder up to
/// `kMaxMembersPerRelay` takes over the members of a relay that died.
inline constexpr size_t kPlannedSessionsPerRelay = 64;

/// Number of relays that a zone with `members` members needs.
size_t RequiredRelayCount(size_t members);

/// Selects the entry instances of a zone that serve members, watchers excluded.
/// Each watcher serves all of these relays, so their number is kept to what the
/// zone needs.
std::vector<std::string> SelectRelays(const std::vector<std::string>& entries,
                                      const std::string& zone, size_t count);

/// The entry instances of a zone in the order in which `member` tries them as
/// relays: the selected relays, then other entry instances, then watchers. A
/// member goes on to the next one when a relay does not answer, also when it
/// has no room.
std::vector<std::string> RelayPreferenceOrder(
    const std::vector<std::string>& entries, const std::string& zone,
    size_t count, const std::string& member);

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_RELAY_SELECTION_H_
