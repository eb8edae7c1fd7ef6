#include <atomic>
#include <catch2/catch.hpp>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "kumquatvalve/process/object_client.h"
#include "kumquatvalve/process/service_editor.h"
#include "kumquatvalve/version/config_store.h"
#include "kumquatvalve/version/history_checker.h"
#include "object_api_server.h"

namespace kumquatvalve::process {
namespace {

using request::Failure;
using request::ResultCode;
using request::TableVersion;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using version::HistoryOperation;
using Editor = ServiceEditor<ObjectClient>;

constexpr int kOperators = 4;
constexpr int kWatchers = 3;
constexpr int kOperationsEach = 60;

const std::vector<std::string> kPaths = {"/teams/tarima/services/patio",
                                         "/teams/tarima/services/evidencia"};

constexpr CallBudgetSettings kBudget{.calls_per_second = 1e6,
                                     .burst = 1e6,
                                     .first_backoff = milliseconds(1),
                                     .longest_backoff = milliseconds(5),
                                     .failures_to_open = 1000000};

class History {
 public:
  void Add(HistoryOperation operation) {
    const std::lock_guard lock(mutex_);
    operations_.push_back(std::move(operation));
  }
  const std::vector<HistoryOperation>& operations() const {
    return operations_;
  }

 private:
  std::mutex mutex_;
  std::vector<HistoryOperation> operations_;
};

std::string OperationOf(const std::string& path, const std::string& body) {
  Failure failure;
  const auto stored = version::ReadStoredService(path, body, &failure);
  return stored ? stored->operation.id : "unreadable";
}

HistoryOperation::Outcome OutcomeOf(ResultCode code) {
  switch (code) {
    case ResultCode::kConflict:
    case ResultCode::kAlreadyExists:
    case ResultCode::kNotFound:
      return HistoryOperation::Outcome::kConditionFailed;
    case ResultCode::kStoreUnavailable:
    case ResultCode::kCallBudgetSpent:
      return HistoryOperation::Outcome::kNotDone;
    default:
      return HistoryOperation::Outcome::kUnknown;
  }
}

version::ServiceSpec SpecFor(const std::string& path, uint32_t slots) {
  version::ServiceSpec spec;
  Failure failure;
  spec.addresses = {*version::ParseServiceAddress(
      path == kPaths[0] ? "10.0.0.1:80/tcp" : "10.0.0.2:80/tcp", &failure)};
  spec.slots = slots;
  return spec;
}

// Reads, creates, changes and removes services as an operator does.
void RunOperator(int index, const version::ObjectApiSettings& settings,
                 History* history) {
  const std::string name = "operator-" + std::to_string(index);
  ObjectClient client(settings, kBudget, static_cast<uint64_t>(index));
  std::mt19937_64 random(static_cast<uint64_t>(index));
  int attempts = 0;
  Editor editor(&client, request::TeamName("tarima"), [&](const Failure&) {
    std::this_thread::sleep_until(client.NextCallAt());
    return ++attempts < 8;
  });
  for (int i = 0; i < kOperationsEach; ++i) {
    const std::string& path = kPaths[random() % kPaths.size()];
    HistoryOperation read;
    read.process = name;
    read.path = path;
    read.kind = HistoryOperation::Kind::kRead;
    read.invoked = steady_clock::now();
    Failure failure;
    const auto object = client.Read(path, &failure);
    read.completed = steady_clock::now();
    if (!object && failure.code != ResultCode::kNotFound) {
      std::this_thread::sleep_until(client.NextCallAt());
      continue;
    }
    if (object) {
      read.version = object->version.value;
      read.value = OperationOf(path, object->body);
    }
    history->Add(read);

    attempts = 0;
    HistoryOperation change = read;
    change.expected = read.version;
    change.version = 0;
    const bool remove = object && random() % 10 == 0;
    change.kind = remove ? HistoryOperation::Kind::kDelete
                         : HistoryOperation::Kind::kWrite;
    change.value = remove ? "" : name + "/" + std::to_string(i);
    std::optional<TableVersion> expected;
    if (object) {
      expected = object->version;
    }
    change.invoked = steady_clock::now();
    // Slots are unique, so that no write is left out as unchanged.
    const auto accepted =
        remove ? editor.Remove(path, expected, &failure)
               : editor.Write(
                     path,
                     SpecFor(path, static_cast<uint32_t>(index * 1000 + i + 1)),
                     {change.value, "", name},
                     object ? Editor::Mode::kChange : Editor::Mode::kCreate,
                     expected, &failure);
    change.completed = steady_clock::now();
    if (!accepted) {
      change.outcome = OutcomeOf(failure.code);
    } else if (remove && accepted->version.value <= change.expected) {
      // Known to be gone, but not at which version.
      change.outcome = HistoryOperation::Outcome::kUnknown;
    } else {
      change.version = accepted->version.value;
    }
    history->Add(change);
  }
}

// Follows the store as a process does.
void RunWatcher(int index, const version::ObjectApiSettings& settings,
                const std::atomic<bool>& done, version::ConfigStore* store,
                History* history) {
  ObjectClient client(settings, kBudget, 100 + static_cast<uint64_t>(index));
  TableVersion since{0};
  bool last = false;
  while (!last) {
    last = done;
    Failure failure;
    const auto answer =
        client.Watch("/teams/", since, milliseconds(last ? 0 : 20), &failure);
    if (!answer) {
      last = false;
      std::this_thread::sleep_until(client.NextCallAt());
      continue;
    }
    // A held back event may still come.
    last = last && answer->version == since;
    since = answer->version;
    for (const ObjectEvent& it : answer->events) {
      const std::string& path = it.object.path;
      const auto outcome =
          it.deleted ? store->Delete(path, it.object.version)
                     : store->Apply(path, it.object.version, it.object.body);
      if (outcome != version::ConfigStore::Outcome::kApplied) {
        continue;
      }
      HistoryOperation apply;
      apply.process = "watcher-" + std::to_string(index);
      apply.path = path;
      apply.kind = HistoryOperation::Kind::kApply;
      apply.version = store->VersionOf(path).value;
      if (const auto* entry = store->Find(path)) {
        apply.value = OperationOf(path, entry->body);
      }
      apply.invoked = apply.completed = steady_clock::now();
      history->Add(apply);
    }
  }
}

// Lost updates, changes made twice and reverted versions only show up when
// operators, outages and lost answers meet.
TEST_CASE("history: concurrent operators and watchers under faults") {
  standins::ObjectApiServer server({}, 7);
  version::ObjectApiSettings settings;
  settings.urls = {"http://127.0.0.1:" +
                   std::to_string(server.Start("127.0.0.1", 0))};
  settings.timeout = milliseconds(10000);
  REQUIRE(server.Control({{"lose_answer_share", 0.2},
                          {"lose_request_share", 0.15},
                          {"watch_twice", true},
                          {"watch_shuffle", true},
                          {"watch_delay_ms", 3}}));
  History history;
  std::atomic<int> running = kOperators;
  std::atomic<bool> done = false;
  std::vector<std::thread> threads;
  threads.reserve(kOperators + kWatchers);
  for (int i = 0; i < kOperators; ++i) {
    threads.emplace_back([&, i] {
      RunOperator(i, settings, &history);
      --running;
    });
  }
  std::vector<version::ConfigStore> stores(kWatchers);
  for (int i = 0; i < kWatchers; ++i) {
    threads.emplace_back([&, i] {
      RunWatcher(i, settings, done, &stores[static_cast<size_t>(i)], &history);
    });
  }
  std::mt19937_64 random(7);
  while (running > 0) {
    server.Control({{"down", random() % 4 == 0}, {"slow_ms", random() % 4}});
    std::this_thread::sleep_for(milliseconds(10));
  }
  server.Control({{"down", false}, {"slow_ms", 0}, {"watch_delay_ms", 0}});
  done = true;
  for (std::thread& it : threads) {
    it.join();
  }

  for (const auto& it : version::CheckHistory(history.operations())) {
    FAIL_CHECK(version::Name(it.kind) << " " << it.detail);
  }
  // All processes end with what the store has.
  ObjectClient client(settings, kBudget, 1);
  Failure failure;
  const auto list = client.List("/teams/", &failure);
  REQUIRE(list);
  version::ConfigStore expected;
  for (const StoredObject& it : list->items) {
    expected.Apply(it.path, it.version, it.body);
  }
  for (const version::ConfigStore& it : stores) {
    CHECK(it.Digest() == expected.Digest());
  }
  // The run was worth checking: writes were accepted, refused and lost.
  int done_writes = 0;
  int refused_writes = 0;
  for (const HistoryOperation& it : history.operations()) {
    const bool write = it.kind == HistoryOperation::Kind::kWrite;
    done_writes += write && it.outcome == HistoryOperation::Outcome::kDone;
    refused_writes +=
        write && it.outcome == HistoryOperation::Outcome::kConditionFailed;
  }
  CHECK(done_writes > 20);
  CHECK(refused_writes > 0);
}

}  // namespace
}  // namespace kumquatvalve::process
