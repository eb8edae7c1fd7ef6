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

/// Removes objects from the store, each only while it has the body that was
/// known when its removal was decided. A removal that fails is not tried again:
/// whoever wanted it will notice. Runs on the thread that calls `Run`.
template <ObjectApi A>
class RecordRemover {
 public:
  struct Listener {
    std::function<void(const std::string& path)> removed;
    /// The object has changed, or the store did not remove it.
    std::function<void(const std::string& path, const request::Failure& reason)>
        kept;
  };

  /// `api` must outlive the remover.
  RecordRemover(A* api, Listener listener)
      : api_(api), listener_(std::move(listener)) {}

  /// May be called from any thread.
  void Remove(StoredObject object) {
    {
      const std::lock_guard lock(mutex_);
      wanted_.push_back(std::move(object));
    }
    changed_.notify_all();
  }

  /// Returns after `Stop`.
  void Run() {
    while (true) {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return stopped_ || !wanted_.empty(); });
      if (stopped_) {
        return;
      }
      const StoredObject object = std::move(wanted_.front());
      wanted_.pop_front();
      lock.unlock();
      request::Failure failure;
      if (TryRemove(object, &failure)) {
        listener_.removed(object.path);
      } else {
        listener_.kept(object.path, failure);
      }
    }
  }

  void Stop() {
    {
      const std::lock_guard lock(mutex_);
      stopped_ = true;
    }
    changed_.notify_all();
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
  std::condition_variable changed_;
  std::deque<StoredObject> wanted_;
  bool stopped_ = false;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_RECORD_REMOVER_H_
