#ifndef KUMQUATVALVE_PROCESS_STORE_WATCHER_H_
#define KUMQUATVALVE_PROCESS_STORE_WATCHER_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <utility>

#include "kumquatvalve/process/object_api.h"
#include "kumquatvalve/process/retry_pause.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::process {

/// Keeps a copy of all objects under a prefix: lists them once and watches
/// from there. When the store cannot be reached the copy stays as it is. Runs
/// on the thread that calls `Run`.
template <ObjectApi A>
class StoreWatcher {
 public:
  using Objects = std::map<std::string, StoredObject>;

  struct Listener {
    /// The copy after a change; called once after the first list as well.
    std::function<void(const Objects&)> changed;
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
      if (listed_ ? Watch(&failure) : List(&failure)) {
        OnSuccess();
      } else if (!interrupted_.exchange(false)) {
        OnFailure(failure);
      }
    }
  }

  void Stop() {
    stopped_ = true;
    api_->Interrupt();
  }

  /// Asks the store again at once; for a process that was paused and cannot
  /// trust its open connections.
  void Refresh() {
    interrupted_ = true;
    api_->Interrupt();
  }

 private:
  bool List(request::Failure* failure) {
    auto list = api_->List(prefix_, failure);
    if (!list) {
      return false;
    }
    objects_.clear();
    for (StoredObject& it : list->items) {
      std::string path = it.path;
      objects_.insert_or_assign(std::move(path), std::move(it));
    }
    since_ = list->version;
    listed_ = true;
    listener_.changed(objects_);
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
      listener_.changed(objects_);
      std::this_thread::sleep_for(timing_.gather);
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
    std::this_thread::sleep_for(pause_.Next());
  }

  A* api_;
  std::string prefix_;
  Timing timing_;
  Listener listener_;
  RetryPause pause_;
  Objects objects_;
  request::TableVersion since_;
  bool listed_ = false;
  bool lost_ = false;
  std::atomic<bool> stopped_{false};
  std::atomic<bool> interrupted_{false};
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_STORE_WATCHER_H_
