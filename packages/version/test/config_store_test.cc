#include "kumquatvalve/version/config_store.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace kumquatvalve::version {
namespace {

using Outcome = ConfigStore::Outcome;

struct Update {
  std::string path;
  uint64_t version = 0;
  bool deleted = false;
};

// Updates as a store sends them: each revision belongs to one change of one
// path.
std::vector<Update> ArbitraryUpdates() {
  const auto count = *rc::gen::inRange<uint64_t>(0, 40);
  std::vector<Update> updates;
  for (uint64_t version = 1; version <= count; ++version) {
    updates.push_back({"/p" + std::to_string(*rc::gen::inRange(0, 4)), version,
                       *rc::gen::inRange(0, 4) == 0});
  }
  return updates;
}

// The same updates, delivered late, more than once and in any order.
std::vector<Update> DuplicateAndShuffle(std::vector<Update> updates) {
  for (size_t i = 0, n = updates.size(); i < n; ++i) {
    if (*rc::gen::inRange(0, 2) == 0) {
      updates.push_back(updates[i]);
    }
  }
  for (size_t i = updates.size(); i > 1; --i) {
    std::swap(updates[i - 1], updates[*rc::gen::inRange<size_t>(0, i)]);
  }
  return updates;
}

Outcome ApplyTo(ConfigStore* store, const Update& update) {
  return update.deleted
             ? store->Delete(update.path, {update.version})
             : store->Apply(update.path, {update.version},
                            "body " + std::to_string(update.version));
}

// R8: an accepted configuration never reverts, even when updates arrive late or
// repeatedly.
TEST_CASE(
    "config_store: versions never decrease, whatever the order of updates") {
  CHECK(rc::check("versions only increase", [] {
    ConfigStore store;
    for (const Update& it : DuplicateAndShuffle(ArbitraryUpdates())) {
      const auto before = store.VersionOf(it.path);
      const auto outcome = ApplyTo(&store, it);
      const auto after = store.VersionOf(it.path);
      RC_ASSERT(after >= before);
      RC_ASSERT((outcome == Outcome::kApplied) == (after > before));
    }
  }));
}

// Processes that received the same updates in different orders must route the
// same way.
TEST_CASE("config_store: the order of updates does not matter") {
  CHECK(rc::check("same state from any order", [] {
    const auto updates = ArbitraryUpdates();
    ConfigStore ordered;
    for (const Update& it : updates) {
      RC_ASSERT(ApplyTo(&ordered, it) == Outcome::kApplied);
    }
    ConfigStore reordered;
    for (const Update& it : DuplicateAndShuffle(updates)) {
      ApplyTo(&reordered, it);
    }
    RC_ASSERT(ordered.entries() == reordered.entries());
    RC_ASSERT(ordered.Digest() == reordered.Digest());
  }));
}

// Anti-entropy compares digests: when a digest misses a difference, the process
// stays outdated for good.
TEST_CASE("config_store: digests differ exactly when the objects do") {
  CHECK(rc::check("digests differ when objects differ", [] {
    const auto updates = ArbitraryUpdates();
    ConfigStore one;
    ConfigStore two;
    for (const Update& it : updates) {
      ApplyTo(&one, it);
      if (*rc::gen::inRange(0, 10) != 0) {
        ApplyTo(&two, it);
      }
    }
    one.PurgeTombstones({updates.size()});
    two.PurgeTombstones({updates.size()});
    RC_ASSERT((one.entries() == two.entries()) ==
              (one.Digest() == two.Digest()));
  }));
  ConfigStore one;
  ConfigStore two;
  one.Apply("/a", {1}, "");
  two.Apply("/b", {1}, "");
  CHECK(one.Digest() != two.Digest());
}

// Without a tombstone, a late update would restore a deleted service.
TEST_CASE("config_store: an update older than a deletion is ignored") {
  ConfigStore store;
  store.Apply("/a", {1}, "one");
  CHECK(store.Delete("/a", {3}) == Outcome::kApplied);
  CHECK(store.Apply("/a", {2}, "two") == Outcome::kNotNewer);
  CHECK(store.Find("/a") == nullptr);
  CHECK(store.VersionOf("/a").value == 3);
  CHECK(store.Apply("/a", {4}, "four") == Outcome::kApplied);
  CHECK(store.Find("/a")->body == "four");
}

// After dropped watch events the process receives a full list, which has no
// entries for deleted objects.
TEST_CASE(
    "config_store: a snapshot deletes the objects that it does not list") {
  ConfigStore store;
  store.Apply("/a/1", {1}, "");
  store.Apply("/a/2", {2}, "");
  store.Apply("/a/3", {9}, "");
  store.Apply("/b", {3}, "");
  const auto changed =
      store.ApplySnapshot("/a/", {{"/a/2", {{5}, "new", false}}}, {7});
  CHECK(changed == std::vector<std::string>{"/a/1", "/a/2"});
  CHECK(store.Find("/a/1") == nullptr);
  CHECK(store.Find("/a/2")->body == "new");
  // Created at a revision after that of the list.
  CHECK(store.Find("/a/3") != nullptr);
  CHECK(store.Find("/b") != nullptr);
}

// A snapshot from a member that missed recent updates must not revert newer
// objects.
TEST_CASE("config_store: an older snapshot does not revert newer objects") {
  CHECK(rc::check("a snapshot of earlier updates changes nothing", [] {
    const auto updates = ArbitraryUpdates();
    ConfigStore store;
    ConfigStore outdated;
    const auto outdated_count =
        *rc::gen::inRange<size_t>(0, updates.size() + 1);
    for (size_t i = 0; i < updates.size(); ++i) {
      ApplyTo(&store, updates[i]);
      if (i < outdated_count) {
        ApplyTo(&outdated, updates[i]);
      }
    }
    std::map<std::string, ConfigEntry> objects;
    for (const auto& [path, entry] : outdated.entries()) {
      if (!entry.deleted) {
        objects[path] = entry;
      }
    }
    const auto before = store.entries();
    RC_ASSERT(store.ApplySnapshot("/", objects, {outdated_count}).empty());
    RC_ASSERT(store.entries() == before);
  }));
}

}  // namespace
}  // namespace kumquatvalve::version
