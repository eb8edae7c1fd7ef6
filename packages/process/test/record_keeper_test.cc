#include "kumquatvalve/process/record_keeper.h"

#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "kumquatvalve/process/record_remover.h"

namespace kumquatvalve::process {
namespace {

using request::Failure;
using request::ResultCode;
using request::TableVersion;

// A store in memory whose next calls can be made to fail.
class FakeStore {
 public:
  enum class Fault { kNone, kUnavailable, kAnswerLost };

  std::optional<StoredObject> Read(const std::string& path, Failure* failure) {
    const Fault fault = TakeFault();
    if (fault != Fault::kNone) {
      *failure = {ResultCode::kStoreUnavailable, "fault"};
      return std::nullopt;
    }
    const auto it = objects.find(path);
    if (it == objects.end()) {
      *failure = {ResultCode::kNotFound, path};
      return std::nullopt;
    }
    return it->second;
  }
  std::optional<ObjectList> List(const std::string&, Failure*) {
    return std::nullopt;
  }
  std::optional<TableVersion> Create(const std::string& path,
                                     const std::string& body,
                                     Failure* failure) {
    return Write(path, failure, [&](Failure* why) {
      if (objects.count(path) != 0) {
        *why = {ResultCode::kAlreadyExists, path};
        return false;
      }
      objects[path] = {path, TableVersion{++revision, era}, body};
      return true;
    });
  }
  std::optional<TableVersion> Update(const std::string& path,
                                     TableVersion expected,
                                     const std::string& body,
                                     Failure* failure) {
    return Write(path, failure, [&](Failure* why) {
      const auto it = objects.find(path);
      if (it == objects.end() || it->second.version.value != expected.value) {
        *why = {ResultCode::kConflict, path};
        return false;
      }
      it->second = {path, TableVersion{++revision, era}, body};
      return true;
    });
  }
  std::optional<TableVersion> Delete(const std::string& path,
                                     TableVersion expected, Failure* failure) {
    return Write(path, failure, [&](Failure* why) {
      const auto it = objects.find(path);
      if (it == objects.end() || it->second.version.value != expected.value) {
        *why = {ResultCode::kConflict, path};
        return false;
      }
      objects.erase(it);
      return true;
    });
  }
  std::optional<WatchAnswer> Watch(const std::string&, TableVersion,
                                   std::chrono::milliseconds, Failure*) {
    return std::nullopt;
  }
  void Interrupt() {}

  std::map<std::string, StoredObject> objects;
  /// Goes back in time: the object is `body` at `revision` of the next era.
  void GoBack(const std::string& path, uint64_t restored_revision,
              const std::string& body) {
    revision = restored_revision;
    objects[path] = {path, TableVersion{revision, ++era}, body};
  }

  uint64_t revision = 10;
  uint64_t era = 0;
  /// Called once, when the next write arrives.
  std::function<void()> at_write;
  std::deque<Fault> faults;
  int writes = 0;

 private:
  Fault TakeFault() {
    if (faults.empty()) {
      return Fault::kNone;
    }
    const Fault fault = faults.front();
    faults.pop_front();
    return fault;
  }

  template <typename F>
  std::optional<TableVersion> Write(const std::string& path, Failure* failure,
                                    const F& apply) {
    const Fault fault = TakeFault();
    if (fault == Fault::kUnavailable) {
      *failure = {ResultCode::kStoreUnavailable, "fault"};
      return std::nullopt;
    }
    ++writes;
    if (at_write) {
      std::exchange(at_write, nullptr)();
    }
    if (!apply(failure)) {
      return std::nullopt;
    }
    if (fault == Fault::kAnswerLost) {
      *failure = {ResultCode::kOutcomeUnknown, "fault"};
      return std::nullopt;
    }
    const auto it = objects.find(path);
    return it == objects.end() ? TableVersion{} : it->second.version;
  }
};

const std::string kPath = "u/1";

struct Fixture {
  // Runs the keeper until the store has the desired state.
  void RunUntilInSync(std::optional<std::string> body) {
    keeper.SetDesired(std::move(body));
    std::thread thread([this] { keeper.Run(); });
    while (!keeper.in_sync()) {
      std::this_thread::yield();
    }
    keeper.Stop();
    thread.join();
  }

  FakeStore store;
  int failures = 0;
  RecordKeeper<FakeStore> keeper{
      &store,
      kPath,
      {.written = [](const std::string&) {},
       .failed = [this](const Failure&) { ++failures; },
       .found =
           [this](const std::string& body) {
             if (on_found) {
               on_found(body);
             }
           },
       .absent = [this] { writes_when_absent.push_back(store.writes); }},
      1};
  std::vector<int> writes_when_absent;
  std::function<void(const std::string&)> on_found;
};

TEST_CASE("record_keeper: the desired object is written once") {
  Fixture f;
  f.RunUntilInSync("a");
  CHECK(f.store.objects.at(kPath).body == "a");
  CHECK(f.store.writes == 1);
}

TEST_CASE("record_keeper: an object from an earlier process is replaced") {
  Fixture f;
  f.store.objects[kPath] = {kPath, TableVersion{3}, "old"};
  f.RunUntilInSync("new");
  CHECK(f.store.objects.at(kPath).body == "new");
}

TEST_CASE("record_keeper: an equal object is not written again") {
  Fixture f;
  f.store.objects[kPath] = {kPath, TableVersion{3}, "a"};
  f.RunUntilInSync("a");
  CHECK(f.store.writes == 0);
}

TEST_CASE("record_keeper: a write whose response was lost is not repeated") {
  Fixture f;
  f.store.faults = {FakeStore::Fault::kNone, FakeStore::Fault::kAnswerLost};
  f.RunUntilInSync("a");
  CHECK(f.store.objects.at(kPath).body == "a");
  CHECK(f.store.writes == 1);
  CHECK(f.failures == 1);
}

TEST_CASE("record_keeper: an unavailable store is retried until it responds") {
  Fixture f;
  f.store.faults = {FakeStore::Fault::kUnavailable, FakeStore::Fault::kNone,
                    FakeStore::Fault::kUnavailable};
  f.RunUntilInSync("a");
  CHECK(f.store.objects.at(kPath).body == "a");
  CHECK(f.failures == 2);
}

TEST_CASE("record_keeper: the object of a deregistered upstream is removed") {
  Fixture f;
  f.store.objects[kPath] = {kPath, TableVersion{3}, "old"};
  f.RunUntilInSync(std::nullopt);
  CHECK(f.store.objects.empty());
}

// A restarted sidecar wrote the record of an earlier upstream over that of a
// later one, since it looked at the stored record only for its version.
TEST_CASE("record_keeper: a stored object can change what is desired") {
  Fixture f;
  f.store.objects[kPath] = {kPath, TableVersion{3}, "later"};
  f.on_found = [&f](const std::string& body) {
    CHECK(body == "later");
    f.keeper.Release();
  };
  f.RunUntilInSync("earlier");
  CHECK(f.store.objects.at(kPath).body == "later");
  CHECK(f.store.writes == 0);
}

// What an earlier process wrote cannot be distinguished from what this one
// wrote, except by the first read.
TEST_CASE(
    "record_keeper: an absent object is reported before the first write") {
  Fixture f;
  f.store.faults = {FakeStore::Fault::kUnavailable};
  f.RunUntilInSync("a");
  CHECK(f.writes_when_absent == std::vector{0});
}

// The store does not know eras of versions that it is given: a write with a
// version of the old era may match the revision of another object.
TEST_CASE(
    "record_keeper: a write under way while the store goes back is verified") {
  Fixture f;
  f.store.objects[kPath] = {kPath, TableVersion{10}, "old"};
  std::vector<std::string> found;
  f.on_found = [&](const std::string& body) { found.push_back(body); };
  f.store.at_write = [&f] {
    f.store.GoBack(kPath, 10, "restored");
    f.keeper.OnEra(1);
  };
  f.RunUntilInSync("a");
  CHECK(f.store.objects.at(kPath).body == "a");
  // The second read is of the new era.
  CHECK(found == std::vector<std::string>{"old", "a"});
  CHECK(f.store.writes == 1);
}

// A write that failed in the new era was repeated with the version of the old
// one.
TEST_CASE("record_keeper: a version of an earlier era is not used again") {
  std::vector<std::string> found;
  Fixture f;
  f.on_found = [&](const std::string& body) { found.push_back(body); };
  std::thread thread([&f] { f.keeper.Run(); });
  const auto wait = [&f] {
    while (!f.keeper.in_sync()) {
      std::this_thread::yield();
    }
  };
  f.keeper.SetDesired("a");
  wait();
  f.store.GoBack(kPath, 5, "restored");
  f.keeper.OnEra(1);
  wait();
  CHECK(f.store.objects.at(kPath).body == "a");
  CHECK(f.store.writes == 2);
  // Without a change the record is read and not written.
  f.store.GoBack(kPath, 5, "a");
  f.keeper.OnEra(2);
  wait();
  CHECK(f.store.writes == 2);
  f.keeper.OnEra(1);
  CHECK(f.keeper.in_sync());
  f.keeper.Stop();
  thread.join();
  CHECK(found == std::vector<std::string>{"restored", "a"});
}

// The store went back while it was unavailable to the sidecar.
TEST_CASE("record_keeper: a rise before the store responds is no obstacle") {
  Fixture f;
  f.store.GoBack(kPath, 5, "restored");
  f.store.faults = {FakeStore::Fault::kUnavailable};
  f.keeper.OnEra(1);
  f.RunUntilInSync("a");
  CHECK(f.store.objects.at(kPath).body == "a");
  CHECK(f.store.writes == 1);
}

// A sidecar that was wrongly presumed dead may have written a new record
// meanwhile, which must stay.
TEST_CASE("record_remover: only an unchanged record is removed") {
  FakeStore store;
  store.objects["u/1"] = {"u/1", TableVersion{3}, "old"};
  store.objects["u/2"] = {"u/2", TableVersion{4}, "new"};
  std::vector<std::string> outcomes;
  RecordRemover<FakeStore>* running = nullptr;
  RecordRemover<FakeStore> remover(
      &store,
      {[&](const std::string& path) { outcomes.push_back("removed " + path); },
       [&](const std::string& path, const Failure& failure) {
         outcomes.push_back("kept " + path);
         if (failure.code == ResultCode::kNotFound) {
           running->Stop();
         }
       }});
  running = &remover;
  remover.Remove({"u/1", {}, "old"});
  remover.Remove({"u/2", {}, "old"});
  remover.Remove({"u/3", {}, "old"});
  remover.Run();
  CHECK(outcomes ==
        std::vector<std::string>{"removed u/1", "kept u/2", "kept u/3"});
  CHECK(store.objects.size() == 1);
}

// A pending record is announced to peers.
TEST_CASE("record_keeper: a record is pending until the store has it") {
  Fixture f;
  CHECK_FALSE(f.keeper.pending());
  f.keeper.SetDesired("a");
  CHECK(f.keeper.pending() == "a");
  f.RunUntilInSync("a");
  CHECK_FALSE(f.keeper.pending());
  // A removal is not announced.
  f.keeper.SetDesired(std::nullopt);
  CHECK_FALSE(f.keeper.pending());
}

}  // namespace
}  // namespace kumquatvalve::process
