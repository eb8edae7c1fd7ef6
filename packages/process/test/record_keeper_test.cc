#include "kumquatvalve/process/record_keeper.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <string>
#include <thread>

#include "kumquatvalve/process/record_remover.h"

namespace kumquatvalve::process {
namespace {

using request::Failure;
using request::ResultCode;
using request::TableVersion;

// A store in memory whose next calls can be made to fail. It stops the keeper
// when a number of calls was made, so that a test never waits forever.
class FakeStore {
 public:
  enum class Fault { kNone, kUnavailable, kAnswerLost };

  std::optional<StoredObject> Read(const std::string& path, Failure* failure) {
    const Fault fault = NextFault();
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
      objects[path] = {path, TableVersion{++revision}, body};
      return true;
    });
  }
  std::optional<TableVersion> Update(const std::string& path,
                                     TableVersion expected,
                                     const std::string& body,
                                     Failure* failure) {
    return Write(path, failure, [&](Failure* why) {
      const auto it = objects.find(path);
      if (it == objects.end() || it->second.version != expected) {
        *why = {ResultCode::kConflict, path};
        return false;
      }
      it->second = {path, TableVersion{++revision}, body};
      return true;
    });
  }
  std::optional<TableVersion> Delete(const std::string& path,
                                     TableVersion expected, Failure* failure) {
    return Write(path, failure, [&](Failure* why) {
      const auto it = objects.find(path);
      if (it == objects.end() || it->second.version != expected) {
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
  uint64_t revision = 10;
  std::deque<Fault> faults;
  int writes = 0;

 private:
  Fault NextFault() {
    if (faults.empty()) {
      return Fault::kNone;
    }
    const Fault fault = faults.front();
    faults.pop_front();
    return fault;
  }

  template <typename F>
  std::optional<TableVersion> Write(const std::string& path, Failure* failure,
                                    const F& act) {
    const Fault fault = NextFault();
    if (fault == Fault::kUnavailable) {
      *failure = {ResultCode::kStoreUnavailable, "fault"};
      return std::nullopt;
    }
    ++writes;
    if (!act(failure)) {
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
  // Runs the keeper until the store has what is wanted.
  void Settle(std::optional<std::string> body) {
    keeper.Want(std::move(body));
    std::thread thread([this] { keeper.Run(); });
    while (!keeper.done()) {
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
      {[](const std::string&) {}, [this](const Failure&) { ++failures; }},
      1};
};

TEST_CASE("record_keeper: the object becomes what is wanted") {
  Fixture f;
  f.Settle("a");
  CHECK(f.store.objects.at(kPath).body == "a");
  CHECK(f.store.writes == 1);
}

TEST_CASE("record_keeper: an object left by an earlier process is replaced") {
  Fixture f;
  f.store.objects[kPath] = {kPath, TableVersion{3}, "old"};
  f.Settle("new");
  CHECK(f.store.objects.at(kPath).body == "new");
}

TEST_CASE("record_keeper: an equal object is not written again") {
  Fixture f;
  f.store.objects[kPath] = {kPath, TableVersion{3}, "a"};
  f.Settle("a");
  CHECK(f.store.writes == 0);
}

TEST_CASE("record_keeper: a write whose answer was lost is read back") {
  Fixture f;
  f.store.faults = {FakeStore::Fault::kNone, FakeStore::Fault::kAnswerLost};
  f.Settle("a");
  CHECK(f.store.objects.at(kPath).body == "a");
  CHECK(f.store.writes == 1);
  CHECK(f.failures == 1);
}

TEST_CASE("record_keeper: a store that is away is tried until it answers") {
  Fixture f;
  f.store.faults = {FakeStore::Fault::kUnavailable, FakeStore::Fault::kNone,
                    FakeStore::Fault::kUnavailable};
  f.Settle("a");
  CHECK(f.store.objects.at(kPath).body == "a");
  CHECK(f.failures == 2);
}

TEST_CASE("record_keeper: a departed upstream's object is removed") {
  Fixture f;
  f.store.objects[kPath] = {kPath, TableVersion{3}, "old"};
  f.Settle(std::nullopt);
  CHECK(f.store.objects.empty());
}

// A sidecar that was taken for gone may have written its record meanwhile.
TEST_CASE("record_remover: only an unchanged record is removed") {
  FakeStore store;
  store.objects["u/1"] = {"u/1", TableVersion{3}, "old"};
  store.objects["u/2"] = {"u/2", TableVersion{4}, "new"};
  std::vector<std::string> ends;
  RecordRemover<FakeStore>* running = nullptr;
  RecordRemover<FakeStore> remover(
      &store,
      {[&](const std::string& path) { ends.push_back("removed " + path); },
       [&](const std::string& path, const Failure& failure) {
         ends.push_back("kept " + path);
         if (failure.code == ResultCode::kNotFound) {
           running->Stop();
         }
       }});
  running = &remover;
  remover.Remove({"u/1", {}, "old"});
  remover.Remove({"u/2", {}, "old"});
  remover.Remove({"u/3", {}, "old"});
  remover.Run();
  CHECK(ends ==
        std::vector<std::string>{"removed u/1", "kept u/2", "kept u/3"});
  CHECK(store.objects.size() == 1);
}

// Peers are told of a record that the store does not take.
TEST_CASE("record_keeper: a record is pending until the store has it") {
  Fixture f;
  CHECK_FALSE(f.keeper.pending());
  f.keeper.Want("a");
  CHECK(f.keeper.pending() == "a");
  f.Settle("a");
  CHECK_FALSE(f.keeper.pending());
  // A departure is no record.
  f.keeper.Want(std::nullopt);
  CHECK_FALSE(f.keeper.pending());
}

}  // namespace
}  // namespace kumquatvalve::process
