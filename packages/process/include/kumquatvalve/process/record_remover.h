#ifndef KUMQUATVALVE_PROCESS_RECORD_REMOVER_H_
#define KUMQUATVALVE_PROCESS_RECORD_REMOVER_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <utility>

#include "kumquatvalve/process/object_api.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::process {

/// Removes objects from the store, each only if it still has the body that it
/// had when its removal was requested. A failed removal is not retried: the
/// requester still sees the object and requests its removal again. Calls to the
/// store are made on the thread that runs `Run`; all functions are thread-safe.
template <ObjectApi A>
class RecordRemover {
 public:
  /// The functions are called on the thread that runs `Run`.
  struct Listener {
    std::function<void(const std::string& path)> removed;
    /// The object has changed (`kConflict`) or was not there (`kNotFound`), or
    /// the store did not remove it.
    std::function<void(const std::string& path, const request::Failure& reason)>
        not_removed;
  };

  /// `api` must outlive the remover.
  RecordRemover(A* api, Listener listener)
      : api_(api), listener_(std::move(listener)) {}

  /// Queues the removal of the object at `object.path` while its body is
  /// `object.body`; the version is not compared.
  void Remove(StoredObject object) {
    {
      const std::lock_guard lock(mutex_);
      pending_.push_back(std::move(object));
    }
    wake_.notify_all();
  }

  /// Makes the queued removals. Returns after `Stop`.
  void Run() {
    while (true) {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return stopped_ || !pending_.empty(); });
      if (stopped_) {
        return;
      }
      const StoredObject object = std::move(pending_.front());
      pending_.pop_front();
      lock.unlock();
      request::Failure failure;
      if (TryRemove(object, &failure)) {
        listener_.removed(object.path);
      } else {
        listener_.not_removed(object.path, failure);
      }
    }
  }

  /// Ends `Run`, interrupting a call in progress; pending removals are dropped.
  void Stop() {
    {
      const std::lock_guard lock(mutex_);
      stopped_ = true;
    }
    wake_.notify_all();
    api_->Interrupt();
  }

 private:
  bool TryRemove(const StoredObject& object, request::Failure* failure) {
    const auto stored = api_->Read(object.path, failure);
    if (!stored) {
      return false;
    }
    if (stored->body != object.body) {
      *failure = {request::ResultCode::kConflict, "the object has changed"};
      return false;
    }
    return api_->Delete(object.path, stored->version, failure).has_value();
  }

  A* api_;
  Listener listener_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<StoredObject> pending_;
  bool stopped_ = false;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_RECORD_REMOVER_H_
