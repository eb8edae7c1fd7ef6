#ifndef KUMQUATVALVE_PROCESS_STORE_WATCHER_H_
#define KUMQUATVALVE_PROCESS_STORE_WATCHER_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include "kumquatvalve/process/object_api.h"
#include "kumquatvalve/process/retry_backoff.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::process {

/// Keeps a copy of all objects under a prefix: lists them once and watches
/// from there. When the store cannot be reached the copy stays as it is. Runs
/// on the thread that calls `Run`.
template <ObjectApi A>
class StoreWatcher {
 public:
  using Objects = std::map<std::string, StoredObject>;
  using TimePoint = std::chrono::steady_clock::time_point;

  struct Listener {
    /// The copy after a change and after each list. It holds every change that
    /// the store had taken at `complete_at`.
    std::function<void(const Objects&, TimePoint complete_at)> changed;
    /// The store stopped answering; `reason` is the last failure.
    std::function<void(const request::Failure& reason)> lost;
    std::function<void()> regained;
  };

  struct Timing {
    /// How long one watch waits. A store that has dropped its history may leave
    /// a waiting watch without an answer, so this is also how late a change can
    /// be noticed.
    std::chrono::milliseconds watch{0};
    /// Changes that follow each other this closely are read with one call.
    std::chrono::milliseconds gather{0};
  };

  /// `api` must outlive the watcher.
  StoreWatcher(A* api, std::string prefix, Timing timing, Listener listener,
               uint64_t seed)
      : api_(api),
        prefix_(std::move(prefix)),
        timing_(timing),
        listener_(std::move(listener)),
        pause_(seed) {}

  /// Returns after `Stop`.
  void Run() {
    while (!stopped_) {
      request::Failure failure;
      if (Read(&failure)) {
        OnSuccess();
      } else if (!interrupted_.exchange(false)) {
        OnFailure(failure);
      }
    }
  }

  void Stop() {
    stopped_ = true;
    Wake();
  }

  /// Asks the store again at once; for a process that was paused and cannot
  /// trust its open connections.
  void Refresh() {
    interrupted_ = true;
    Wake();
  }

  /// Lists the objects again at once, or with the next try when the store does
  /// not answer; for a caller that must know that nothing is missing. A watch
  /// cannot tell: a store that dropped its history may leave out changes.
  void Relist() {
    relist_ = true;
    if (watching_ && !lost_) {
      Refresh();
    }
  }

 private:
  bool Read(request::Failure* failure) {
    const bool relist = relist_.exchange(false);
    if (!listed_ || relist) {
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
    if (!list) {
      return false;
    }
    complete_at_ = sent_at;
    objects_.clear();
    for (StoredObject& it : list->items) {
      std::string path = it.path;
      objects_.insert_or_assign(std::move(path), std::move(it));
    }
    since_ = list->version;
    listed_ = true;
    listener_.changed(objects_, complete_at_);
    return true;
  }

  bool Watch(request::Failure* failure) {
    auto answer = api_->Watch(prefix_, since_, timing_.watch, failure);
    if (!answer) {
      return false;
    }
    since_ = answer->version;
    if (answer->snapshot) {
      objects_.clear();
    }
    for (ObjectEvent& it : answer->events) {
      Apply(std::move(it));
    }
    if (answer->snapshot || !answer->events.empty()) {
      listener_.changed(objects_, complete_at_);
      Wait(timing_.gather);
    }
    return true;
  }

  void Apply(ObjectEvent event) {
    const std::string path = event.object.path;
    const auto known = objects_.find(path);
    if (known != objects_.end() &&
        event.object.version < known->second.version) {
      return;
    }
    if (event.deleted) {
      objects_.erase(path);
    } else {
      objects_.insert_or_assign(path, std::move(event.object));
    }
  }

  // Ends a call or a pause of the watching thread.
  void Wake() {
    {
      const std::lock_guard lock(mutex_);
      woken_ = true;
    }
    wake_.notify_all();
    api_->Interrupt();
  }

  void Wait(std::chrono::milliseconds time) {
    std::unique_lock lock(mutex_);
    wake_.wait_for(lock, time, [this] { return woken_; });
    woken_ = false;
  }

  void OnSuccess() {
    pause_.Reset();
    if (lost_) {
      lost_ = false;
      listener_.regained();
    }
  }

  void OnFailure(const request::Failure& failure) {
    if (!lost_) {
      lost_ = true;
      listener_.lost(failure);
    }
    Wait(pause_.Next());
  }

  A* api_;
  std::string prefix_;
  Timing timing_;
  Listener listener_;
  RetryPause pause_;
  Objects objects_;
  request::TableVersion since_;
  bool listed_ = false;
  std::atomic<bool> lost_{false};
  std::atomic<bool> stopped_{false};
  std::atomic<bool> interrupted_{false};
  std::atomic<bool> relist_{false};
  /// A watch waits, or its changes are gathered.
  std::atomic<bool> watching_{false};
  TimePoint complete_at_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool woken_ = false;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_STORE_WATCHER_H_
