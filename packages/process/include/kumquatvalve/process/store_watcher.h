#ifndef KUMQUATVALVE_PROCESS_STORE_WATCHER_H_
#define KUMQUATVALVE_PROCESS_STORE_WATCHER_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "kumquatvalve/connection/store_era.h"
#include "kumquatvalve/process/object_api.h"
#include "kumquatvalve/process/retry_backoff.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::process {

/// Keeps a copy of all objects under a prefix: lists them once and then follows
/// changes with long polls. While the store is unavailable the copy stays as it
/// is. When the store has gone back in time, the objects are listed again after
/// a random delay. Calls to the store are made on the thread that runs `Run`.
template <ObjectApi A>
class StoreWatcher {
 public:
  using Objects = std::map<std::string, StoredObject>;
  using TimePoint = std::chrono::steady_clock::time_point;

  /// The functions are called on the thread that runs `Run`.
  struct Listener {
    /// Receives the copy after each change and after each list. It includes
    /// every change that the store had accepted by `complete_at`.
    std::function<void(const Objects&, TimePoint complete_at)> changed;
    /// A call failed after the store had responded before.
    std::function<void(const request::Failure& reason)> unavailable;
    /// A call succeeded after `unavailable`.
    std::function<void()> available;
  };

  enum class CatchUp {
    kWatch,
    /// Lists the objects, which returns only the newest version of each.
    kList,
  };

  struct Timing {
    /// How long one long poll waits at the store. A store that has dropped its
    /// history may leave a waiting call without a response, so this is also the
    /// longest delay until a change is noticed.
    std::chrono::milliseconds watch_timeout{0};
    /// Delay after a change until the next call; the changes that arrive
    /// meanwhile are read with one call.
    std::chrono::milliseconds coalesce_interval{0};
    /// How to read on when several versions of one object may be waiting: after
    /// a call that failed or was interrupted, and after a response that held
    /// several versions. A watch returns all of them. Load pattern: changes of
    /// a large object in quick succession, during an outage or faster than a
    /// small instance reads them; each one delays the newest version.
    CatchUp catch_up = CatchUp::kWatch;
  };

  /// `api` must outlive the watcher.
  /// @param seed of the backoff's jitter; must differ between processes.
  StoreWatcher(A* api, std::string prefix, Timing timing, Listener listener,
               uint64_t seed)
      : api_(api),
        prefix_(std::move(prefix)),
        timing_(timing),
        listener_(std::move(listener)),
        backoff_(seed),
        random_(seed) {}

  /// Lists and watches. Returns after `Stop`.
  void Run() {
    runner_ = std::this_thread::get_id();
    while (!stopped_) {
      request::Failure failure;
      if (ListOrWatch(&failure)) {
        OnSuccess();
        continue;
      }
      versions_waiting_ = true;
      if (!interrupted_.exchange(false)) {
        OnFailure(failure);
      }
    }
  }

  /// Ends `Run`, interrupting a call in progress. Thread-safe.
  void Stop() {
    stopped_ = true;
    Wake();
  }

  /// Interrupts the current call and makes a new one at once, for a process
  /// that was paused and cannot rely on its open connections. Thread-safe.
  void Refresh() {
    interrupted_ = true;
    Wake();
  }

  /// Makes a new call in place of a watch that waits at the store, whose
  /// connection may deliver nothing any more. Does nothing while the store is
  /// unavailable, since calls are repeated then. Thread-safe.
  void RenewWatch() {
    if (watching_ && !unavailable_) {
      Refresh();
    }
  }

  /// Lists the objects again at once, or with the next attempt while the store
  /// is unavailable, for a caller that needs a complete copy: a watch may miss
  /// changes after the store has dropped its history. Thread-safe.
  void Relist() {
    relist_ = true;
    RenewWatch();
  }

  /// A response to any client of this process had this era of the store. If it
  /// is later than that of the copy, the objects are listed again. Thread-safe.
  void OnEra(uint64_t era) {
    RaiseEra(era);
    if (std::this_thread::get_id() != runner_) {
      RenewWatch();
    }
  }

  /// Version of the copy, for the functions of the listener.
  request::TableVersion version() const { return watch_since_; }

 private:
  bool ListOrWatch(request::Failure* failure) {
    const uint64_t era = latest_era_;
    const bool era_rose = listed_ && era > watch_since_.era;
    if (era_rose) {
      DelayList(era);
    }
    const bool relist = relist_.exchange(false);
    const bool list_to_catch_up =
        versions_waiting_ && timing_.catch_up == CatchUp::kList;
    if (!listed_ || relist || list_to_catch_up || era_rose) {
      const bool done = List(failure);
      relist_ = relist_ || (!done && listed_);
      return done;
    }
    watching_ = true;
    const bool done = Watch(failure);
    watching_ = false;
    return done;
  }

  bool List(request::Failure* failure) {
    const TimePoint sent_at = std::chrono::steady_clock::now();
    auto list = api_->List(prefix_, failure);
    if (!list || IsOfEarlierEra(list->version, failure)) {
      return false;
    }
    complete_at_ = sent_at;
    versions_waiting_ = false;
    objects_.clear();
    for (StoredObject& it : list->items) {
      std::string path = it.path;
      objects_.insert_or_assign(std::move(path), std::move(it));
    }
    watch_since_ = list->version;
    RaiseEra(list->version.era);
    listed_ = true;
    listener_.changed(objects_, complete_at_);
    return true;
  }

  bool Watch(request::Failure* failure) {
    auto response =
        api_->Watch(prefix_, watch_since_, timing_.watch_timeout, failure);
    if (!response || IsOfEarlierEra(response->version, failure)) {
      return false;
    }
    const request::TableVersion since = watch_since_;
    RaiseEra(response->version.era);
    if (response->version.era > since.era && !response->snapshot) {
      return true;
    }
    // A response that is behind the last one must not bring objects back that
    // were deleted since.
    watch_since_ = std::max(since, response->version);
    if (response->snapshot) {
      objects_.clear();
    }
    bool changed = response->snapshot;
    versions_waiting_ = HasSeveralVersions(*response);
    for (ObjectEvent& it : response->events) {
      const bool known =
          !response->snapshot && !it.deleted && it.object.version <= since;
      changed = changed || !known;
      if (!known) {
        Apply(std::move(it));
      }
    }
    if (changed) {
      listener_.changed(objects_, complete_at_);
      Wait(timing_.coalesce_interval);
    }
    return true;
  }

  // Whether a response is of an earlier era than the copy; it is ignored.
  bool IsOfEarlierEra(const request::TableVersion& version,
                      request::Failure* failure) const {
    if (version.era >= watch_since_.era) {
      return false;
    }
    *failure = {request::ResultCode::kStoreUnavailable,
                "a response of an earlier era of the store"};
    return true;
  }

  void RaiseEra(uint64_t era) {
    uint64_t latest = latest_era_;
    while (latest < era && !latest_era_.compare_exchange_weak(latest, era)) {
    }
  }

  // Waits for a random time, once for each era.
  void DelayList(uint64_t era) {
    if (std::exchange(delayed_era_, era) == era) {
      return;
    }
    std::unique_lock lock(mutex_);
    wake_.wait_for(lock,
                   connection::EraListDelay(timing_.watch_timeout, random_()),
                   [this] { return stopped_.load(); });
    woken_ = false;
  }

  static bool HasSeveralVersions(const WatchAnswer& response) {
    std::set<std::string_view> paths;
    for (const ObjectEvent& it : response.events) {
      if (!paths.insert(it.object.path).second) {
        return true;
      }
    }
    return false;
  }

  void Apply(ObjectEvent event) {
    const std::string path = event.object.path;
    const auto cached = objects_.find(path);
    if (cached != objects_.end() &&
        event.object.version < cached->second.version) {
      return;
    }
    if (event.deleted) {
      objects_.erase(path);
    } else {
      objects_.insert_or_assign(path, std::move(event.object));
    }
  }

  // Ends a call or a wait of the thread that runs `Run`.
  void Wake() {
    {
      const std::lock_guard lock(mutex_);
      woken_ = true;
    }
    wake_.notify_all();
    api_->Interrupt();
  }

  // Waits for `time`, or until `Wake` is called.
  void Wait(std::chrono::milliseconds time) {
    std::unique_lock lock(mutex_);
    wake_.wait_for(lock, time, [this] { return woken_; });
    woken_ = false;
  }

  void OnSuccess() {
    backoff_.Reset();
    if (unavailable_) {
      unavailable_ = false;
      listener_.available();
    }
  }

  void OnFailure(const request::Failure& failure) {
    if (!unavailable_) {
      unavailable_ = true;
      listener_.unavailable(failure);
    }
    Wait(backoff_.NextDelay());
  }

  A* api_;
  std::string prefix_;
  Timing timing_;
  Listener listener_;
  RetryBackoff backoff_;
  /// Of the delays before lists of a new era.
  std::mt19937_64 random_;
  Objects objects_;
  request::TableVersion watch_since_;
  bool listed_ = false;
  /// The store may have several versions of one object that the next watch
  /// returns.
  bool versions_waiting_ = false;
  std::atomic<bool> unavailable_{false};
  std::atomic<bool> stopped_{false};
  std::atomic<bool> interrupted_{false};
  std::atomic<bool> relist_{false};
  /// The highest era that any client of this process has seen.
  std::atomic<uint64_t> latest_era_{0};
  /// The last era whose list was delayed.
  uint64_t delayed_era_ = 0;
  std::atomic<std::thread::id> runner_;
  /// A watch call or the coalescing of its changes is in progress.
  std::atomic<bool> watching_{false};
  TimePoint complete_at_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool woken_ = false;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_STORE_WATCHER_H_
