#include "kumquatvalve/process/relay_selection.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

namespace kumquatvalve::process {
namespace {

std::vector<std::string> Entries(int count) {
  std::vector<std::string> entries;
  entries.reserve(count);
  for (int i = 0; i < count; ++i) {
    entries.push_back("entry-" + std::to_string(i));
  }
  return entries;
}

// Guards against one death making all members change their relays.
TEST_CASE(
    "relay_selection: a death moves only members that used the dead relay") {
  std::vector<std::string> entries = Entries(20);
  const auto before = RelayPreferenceOrder(entries, "a", 20, "sidecar-1");
  const std::string& unused = before[10];
  std::erase(entries, unused);
  const auto after = RelayPreferenceOrder(entries, "a", 20, "sidecar-1");
  const auto watchers = SelectWatchers(Entries(20), "a");
  if (std::find(watchers.begin(), watchers.end(), unused) == watchers.end()) {
    CHECK(after[0] == before[0]);
    CHECK(after[1] == before[1]);
  }
}

// Guards against a relay with so many members that it exceeds the bandwidth
// that a process may use.
TEST_CASE(
    "relay_selection: relays of a full zone stay within their member limit") {
  const std::vector<std::string> entries = Entries(100);
  const size_t count = RequiredRelayCount(1040);
  std::map<std::string, size_t> sessions;
  for (int i = 0; i < 940; ++i) {
    const auto order = RelayPreferenceOrder(entries, "a", count,
                                            "sidecar-" + std::to_string(i));
    ++sessions[order[0]];
    ++sessions[order[1]];
  }
  for (const auto& [relay, served] : sessions) {
    CHECK(served <= kMaxMembersPerRelay);
  }
  for (const std::string& it : SelectWatchers(entries, "a")) {
    CHECK(sessions[it] == 0);
  }
}

}  // namespace
}  // namespace kumquatvalve::process
