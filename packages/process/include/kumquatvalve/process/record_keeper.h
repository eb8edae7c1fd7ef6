#ifndef KUMQUATVALVE_PROCESS_RECORD_KEEPER_H_
#define KUMQUATVALVE_PROCESS_RECORD_KEEPER_H_

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "kumquatvalve/process/object_api.h"
#include "kumquatvalve/process/retry_backoff.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::process {

/// Makes one object of the store equal to what this process wants it to be.
/// Every write is conditional on the version that was seen, so that a write
/// which takes effect late never replaces a newer one. Runs on the thread that
/// calls `Run`; `Want` may come from any thread.
template <ObjectApi A>
class RecordKeeper {
 public:
  struct Listener {
    std::function<void(const std::string& body)> written;
    std::function<void(const request::Failure& reason)> failed;
  };

  /// `api` must outlive the keeper.
  RecordKeeper(A* api, std::string path, Listener listener, uint64_t seed)
      : api_(api),
        path_(std::move(path)),
        listener_(std::move(listener)),
        pause_(seed) {}

  /// @param body nothing when the object must not exist.
  void Want(std::optional<std::string> body) {
    const std::lock_guard lock(mutex_);
    if (wanted_ && *wanted_ == body) {
      return;
    }
    wanted_ = std::move(body);
    done_ = false;
    changed_.notify_all();
  }

  /// Writes again although nothing changed; for an object that another process
  /// may have removed.
  void Verify() {
    const std::lock_guard lock(mutex_);
    if (wanted_) {
      known_ = false;
      done_ = false;
      changed_.notify_all();
    }
  }

  /// The body that is wanted and not known to be in the store.
  std::optional<std::string> pending() const {
    const std::lock_guard lock(mutex_);
    return wanted_ && !done_ ? *wanted_ : std::nullopt;
  }

  /// Whether the store had what was wanted last.
  bool done() const {
    const std::lock_guard lock(mutex_);
    return done_;
  }

  /// Returns after `Stop`.
  void Run() {
    while (true) {
      std::optional<std::string> body;
      {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [this] { return stopped_ || !done_; });
        if (stopped_) {
          return;
        }
        body = *wanted_;
      }
      request::Failure failure;
      if (Write(body, &failure)) {
        OnWritten(body);
      } else if (failure.code != request::ResultCode::kConflict) {
        listener_.failed(failure);
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, pause_.Next(), [this] { return stopped_; });
      }
    }
  }

  void Stop() {
    {
      const std::lock_guard lock(mutex_);
      stopped_ = true;
      changed_.notify_all();
    }
    api_->Interrupt();
  }

 private:
  void OnWritten(const std::optional<std::string>& body) {
    pause_.Reset();
    {
      const std::lock_guard lock(mutex_);
      done_ = *wanted_ == body;
    }
    listener_.written(body.value_or("(removed)"));
  }

  // One try; `kConflict` when the object turned out to be another one, which
  // is known now.
  bool Write(const std::optional<std::string>& body,
             request::Failure* failure) {
    if (!known_ && !Learn(body, failure)) {
      return false;
    }
    if (version_ && body && stored_ == *body) {
      return true;
    }
    if (!version_ && !body) {
      return true;
    }
    std::optional<request::TableVersion> version;
    if (!body) {
      version = api_->Delete(path_, *version_, failure);
    } else if (version_) {
      version = api_->Update(path_, *version_, *body, failure);
    } else {
      version = api_->Create(path_, *body, failure);
    }
    if (!version) {
      // Also after a lost answer: the next try reads what the store has.
      known_ = false;
      if (failure->code == request::ResultCode::kAlreadyExists ||
          failure->code == request::ResultCode::kNotFound) {
        failure->code = request::ResultCode::kConflict;
      }
      return false;
    }
    version_ = body ? version : std::nullopt;
    stored_ = body.value_or("");
    // A store that does not return the version is asked for it before the next
    // write.
    known_ = !body || version->value != 0;
    return true;
  }

  bool Learn(const std::optional<std::string>& /*body*/,
             request::Failure* failure) {
    auto object = api_->Read(path_, failure);
    if (!object && failure->code != request::ResultCode::kNotFound) {
      return false;
    }
    version_.reset();
    stored_.clear();
    if (object) {
      version_ = object->version;
      stored_ = std::move(object->body);
    }
    known_ = true;
    return true;
  }

  A* api_;
  std::string path_;
  Listener listener_;
  RetryPause pause_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  /// Outer: whether anything is wanted yet.
  std::optional<std::optional<std::string>> wanted_;
  bool done_ = true;
  bool stopped_ = false;
  /// `version_` and `stored_` are what the store has, as far as known.
  bool known_ = false;
  std::optional<request::TableVersion> version_;
  std::string stored_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_RECORD_KEEPER_H_
