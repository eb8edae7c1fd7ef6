#include "kumquatvalve/process/store_watcher.h"

#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace kumquatvalve::process {
namespace {

using request::Failure;
using request::ResultCode;
using request::TableVersion;

// A store whose responses are scripted. The watcher stops when the script ends.
struct ScriptedStore {
  std::optional<StoredObject> Read(const std::string&, Failure*) {
    return std::nullopt;
  }
  std::optional<ObjectList> List(const std::string&, Failure* failure) {
    calls.emplace_back("list");
    at_list();
    return TakeScripted(&lists, failure);
  }
  std::optional<TableVersion> Create(const std::string&, const std::string&,
                                     Failure*) {
    return std::nullopt;
  }
  std::optional<TableVersion> Update(const std::string&, TableVersion,
                                     const std::string&, Failure*) {
    return std::nullopt;
  }
  std::optional<TableVersion> Delete(const std::string&, TableVersion,
                                     Failure*) {
    return std::nullopt;
  }
  std::optional<WatchAnswer> Watch(const std::string&, TableVersion since,
                                   std::chrono::milliseconds timeout,
                                   Failure* failure) {
    calls.push_back("watch " + std::to_string(since.value));
    longest_watch = std::max(longest_watch, timeout);
    at_watch();
    return TakeScripted(&watches, failure);
  }
  void Interrupt() {}

  template <typename T>
  std::optional<T> TakeScripted(std::deque<std::optional<T>>* script,
                                Failure* failure) {
    *failure = {ResultCode::kStoreUnavailable, "scripted"};
    if (script->empty()) {
      at_end();
      return std::nullopt;
    }
    std::optional<T> answer = script->front();
    script->pop_front();
    return answer;
  }

  std::deque<std::optional<ObjectList>> lists;
  std::deque<std::optional<WatchAnswer>> watches;
  std::vector<std::string> calls;
  std::function<void()> at_list = [] {};
  std::chrono::milliseconds longest_watch{0};
  std::function<void()> at_end;
  std::function<void()> at_watch = [] {};
};

StoredObject Object(const std::string& path, uint64_t version,
                    const std::string& body) {
  return {path, TableVersion{version}, body};
}

struct Fixture {
  using Watcher = StoreWatcher<ScriptedStore>;

  explicit Fixture(Watcher::CatchUp catch_up = Watcher::CatchUp::kWatch)
      : watcher(&store, "config/",
                {.watch_timeout = std::chrono::milliseconds(2500),
                 .catch_up = catch_up},
                {[this](const Watcher::Objects& it, Watcher::TimePoint listed) {
                   seen.push_back(it);
                   complete_at.push_back(listed);
                 },
                 [this](const Failure&) { ++unavailable; },
                 [this] { ++available; }},
                1) {
    store.at_end = [this] { watcher.Stop(); };
  }

  ScriptedStore store;
  std::vector<Watcher::Objects> seen;
  std::vector<Watcher::TimePoint> complete_at;
  int unavailable = 0;
  int available = 0;
  Watcher watcher;
};

// After an outage the watch of a small instance returned every version of a
// large configuration since; reading them took up to 13 s, in which requests
// of a removed route were still run.
TEST_CASE(
    "store_watcher: only the newest version is read when several may be "
    "waiting") {
  Fixture f(Fixture::Watcher::CatchUp::kList);
  f.store.lists = {ObjectList{{Object("config/main", 3, "a")}, {3}},
                   ObjectList{{Object("config/main", 9, "d")}, {9}},
                   ObjectList{{Object("config/main", 14, "g")}, {14}}};
  f.store.watches = {
      std::nullopt,
      WatchAnswer{{{Object("config/main", 10, "e"), false}}, {10}, false},
      WatchAnswer{{{Object("config/main", 11, "f"), false},
                   {Object("config/main", 12, "g"), false}},
                  {12},
                  false}};
  f.watcher.Run();
  // The first list follows the failure, the second one the response with two
  // versions.
  CHECK(f.store.calls == std::vector<std::string>{"list", "watch 3", "list",
                                                  "watch 9", "watch 10", "list",
                                                  "watch 14"});
  CHECK(f.seen.back().at("config/main").body == "g");
}

TEST_CASE(
    "store_watcher: many small objects are watched on, also after a failure") {
  Fixture f;
  f.store.lists = {ObjectList{{Object("config/main", 3, "a")}, {3}}};
  f.store.watches = {std::nullopt,
                     WatchAnswer{{{Object("config/main", 4, "b"), false},
                                  {Object("config/main", 5, "c"), false}},
                                 {5},
                                 false}};
  f.watcher.Run();
  CHECK(f.store.calls ==
        std::vector<std::string>{"list", "watch 3", "watch 3", "watch 5"});
}

TEST_CASE("store_watcher: a watch continues at the version of the list") {
  Fixture f;
  f.store.lists.push_back(ObjectList{{Object("config/main", 3, "a")}, {7}});
  f.store.watches.push_back(
      WatchAnswer{{{Object("config/main", 9, "b"), false}}, {9}, false});
  f.watcher.Run();
  CHECK(f.store.calls ==
        std::vector<std::string>{"list", "watch 7", "watch 9"});
  REQUIRE(f.seen.size() == 2);
  CHECK(f.seen[1].at("config/main").body == "b");
}

TEST_CASE("store_watcher: a delayed event does not restore an older version") {
  Fixture f;
  f.store.lists.push_back(ObjectList{{Object("config/main", 5, "new")}, {7}});
  f.store.watches.push_back(
      WatchAnswer{{{Object("config/main", 4, "old"), false}}, {8}, false});
  f.watcher.Run();
  CHECK(f.seen.back().at("config/main").body == "new");
}

// A response that is behind the last one brought back an upstream that had
// left.
TEST_CASE("store_watcher: a late response does not restore a deleted object") {
  Fixture f;
  f.store.lists.push_back(ObjectList{{Object("u/1", 3, "a")}, {7}});
  f.store.watches.push_back(
      WatchAnswer{{{Object("u/2", 5, "left"), false}}, {6}, false});
  f.store.watches.push_back(
      WatchAnswer{{{Object("u/1", 3, ""), true}}, {8}, false});
  f.watcher.Run();
  CHECK(f.store.calls ==
        std::vector<std::string>{"list", "watch 7", "watch 7", "watch 8"});
  REQUIRE(f.seen.size() == 2);
  CHECK(f.seen[0].size() == 1);
  CHECK(f.seen[1].empty());
}

TEST_CASE("store_watcher: a snapshot after a dropped history replaces all") {
  Fixture f;
  f.store.lists.push_back(
      ObjectList{{Object("u/1", 3, "a"), Object("u/2", 4, "b")}, {7}});
  f.store.watches.push_back(
      WatchAnswer{{{Object("u/2", 20, "c"), false}}, {21}, true});
  f.watcher.Run();
  CHECK(f.seen.back().size() == 1);
  CHECK(f.seen.back().at("u/2").body == "c");
}

TEST_CASE("store_watcher: the copy stays while the store is unavailable") {
  Fixture f;
  f.store.lists.push_back(ObjectList{{Object("config/main", 3, "a")}, {7}});
  f.store.watches.push_back(std::nullopt);
  f.store.watches.push_back(std::nullopt);
  f.store.watches.push_back(WatchAnswer{{}, {7}, false});
  f.watcher.Run();
  CHECK(f.seen.size() == 1);
  CHECK(f.unavailable == 2);
  CHECK(f.available == 1);
  CHECK(f.store.calls[2] == "watch 7");
}

// A store that dropped its history left a waiting watch without a response, and
// a version written meanwhile came into force only 20 s later.
TEST_CASE(
    "store_watcher: a watch ends within the time limit for applying changes") {
  Fixture f;
  f.store.lists.push_back(ObjectList{{}, {7}});
  f.watcher.Run();
  // Deployments require that a change is in force within this time.
  CHECK(f.store.longest_watch < std::chrono::milliseconds(3000));
}

// A flow may be declared lost only on a complete list of upstream records; a
// watch may miss changes after the store has dropped its history.
// A watch whose connection delivered nothing any more delayed changes for as
// long as it waited. Repeated renewals must not add calls while the store is
// unavailable.
TEST_CASE("store_watcher: only a waiting watch is renewed") {
  Fixture f;
  f.store.lists.push_back(ObjectList{{Object("u/1", 3, "a")}, {7}});
  f.store.watches = {std::nullopt, std::nullopt, WatchAnswer{{}, {8}, false}};
  f.watcher.RenewWatch();
  f.store.at_watch = [&f] {
    const size_t n = f.store.calls.size();
    if (n == 2) {
      f.watcher.RenewWatch();
    } else if (n == 3) {
      CHECK(f.unavailable == 0);
    } else if (n == 4) {
      CHECK(f.unavailable == 1);
      f.watcher.RenewWatch();
      CHECK(f.available == 0);
    } else {
      CHECK(f.unavailable == 1);
      CHECK(f.available == 1);
    }
  };
  f.watcher.Run();
  CHECK(f.store.calls == std::vector<std::string>{"list", "watch 7", "watch 7",
                                                  "watch 7", "watch 8"});
}

TEST_CASE("store_watcher: Relist lists the objects again") {
  Fixture f;
  f.store.lists.push_back(ObjectList{{Object("u/1", 3, "a")}, {7}});
  f.store.lists.push_back(ObjectList{{Object("u/1", 3, "a")}, {9}});
  f.store.watches.push_back(WatchAnswer{{}, {7}, false});
  f.store.watches.push_back(WatchAnswer{{}, {9}, false});
  f.store.at_watch = [&f] {
    if (f.store.calls.size() == 2) {
      f.watcher.Relist();
    }
  };
  f.watcher.Run();
  CHECK(f.store.calls == std::vector<std::string>{"list", "watch 7", "list",
                                                  "watch 9", "watch 9"});
  REQUIRE(f.complete_at.size() == 2);
  CHECK(f.complete_at[0] < f.complete_at[1]);
}

StoredObject ObjectOfEra(const std::string& path, uint64_t version,
                         uint64_t era, const std::string& body) {
  return {path, TableVersion{version, era}, body};
}

// A store that had gone back in time assigned revisions again: a watch from the
// old one missed the changes up to it, and returned none while it was larger.
TEST_CASE("store_watcher: a new era is listed before it is watched") {
  Fixture f;
  f.store.lists = {
      ObjectList{{Object("u/1", 3, "a"), Object("u/2", 9, "lost")}, {9}},
      ObjectList{{ObjectOfEra("u/1", 4, 1, "b")}, {4, 1}}};
  f.store.watches = {
      WatchAnswer{{}, {0, 1}, false},
      WatchAnswer{{{ObjectOfEra("u/1", 5, 1, "c"), false}}, {5, 1}, false}};
  f.watcher.Run();
  CHECK(f.store.calls == std::vector<std::string>{"list", "watch 9", "list",
                                                  "watch 4", "watch 5"});
  REQUIRE(f.seen.size() == 3);
  CHECK(f.seen[1].size() == 1);
  CHECK(f.seen[2].at("u/1").body == "c");
  CHECK(f.watcher.version() == TableVersion{5, 1});
}

// A watch that may be served late noticed a new era only with its next
// response, up to 10 s later.
TEST_CASE("store_watcher: an era that another watcher noticed is listed") {
  Fixture f;
  f.store.lists = {ObjectList{{}, {9}}, ObjectList{{}, {7, 2}}};
  // The watch in progress is interrupted; its response may have arrived before.
  f.store.watches = {WatchAnswer{{}, {9}, false},
                     WatchAnswer{{}, {8, 2}, false},
                     WatchAnswer{{}, {8, 2}, false}};
  f.store.at_watch = [&f] {
    if (f.store.calls.size() == 2) {
      // Two rises in a row, reported out of order.
      f.watcher.OnEra(2);
      f.watcher.OnEra(1);
    } else if (f.store.calls.size() == 5) {
      f.watcher.OnEra(2);
    }
  };
  f.watcher.Run();
  CHECK(f.store.calls == std::vector<std::string>{"list", "watch 9", "list",
                                                  "watch 7", "watch 8",
                                                  "watch 8"});
}

// The store went back while it was unavailable: the retry was a watch from a
// revision of the old era.
TEST_CASE("store_watcher: a rise while the store is unavailable is listed") {
  Fixture f;
  f.store.lists = {ObjectList{{Object("u/1", 3, "a")}, {9}}, std::nullopt,
                   ObjectList{{ObjectOfEra("u/1", 2, 1, "b")}, {4, 1}}};
  f.store.watches = {std::nullopt};
  f.store.at_watch = [&f] {
    if (f.store.calls.size() == 2) {
      f.watcher.OnEra(1);
    }
  };
  f.watcher.Run();
  CHECK(f.store.calls ==
        std::vector<std::string>{"list", "watch 9", "list", "list", "watch 4"});
  CHECK(f.seen.back().at("u/1").body == "b");
}

// A response that was under way while the store went back, or one of a part of
// the store that still has the old state, brought lost objects back.
TEST_CASE("store_watcher: responses of an earlier era are ignored") {
  Fixture f;
  f.store.lists = {ObjectList{{ObjectOfEra("u/1", 3, 1, "new")}, {4, 1}}};
  f.store.watches = {
      WatchAnswer{{{Object("u/1", 9, "lost"), false}}, {9}, false},
      WatchAnswer{{{Object("u/2", 9, "lost"), false}}, {9}, true}};
  f.watcher.Run();
  CHECK(f.seen.size() == 1);
  CHECK(f.store.calls ==
        std::vector<std::string>{"list", "watch 4", "watch 4", "watch 4"});
}

// A process that starts in a later era listed twice, or waited before it had
// read anything.
TEST_CASE("store_watcher: the first list of a process is not repeated") {
  Fixture f;
  f.store.lists = {ObjectList{{}, {7, 3}}};
  f.store.at_list = [&f] { f.watcher.OnEra(3); };
  f.watcher.Run();
  CHECK(f.store.calls == std::vector<std::string>{"list", "watch 7"});
}

}  // namespace
}  // namespace kumquatvalve::process
