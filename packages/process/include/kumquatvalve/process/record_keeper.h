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

/// Keeps one object of the store equal to the state that this process desires.
/// Every write is conditional on the version that was read before, because a
/// delayed write must never overwrite a newer one. A version that was read in
/// an earlier era of the store is not used: the object is read again. Calls to
/// the store are made on the thread that runs `Run`; all functions are
/// thread-safe.
template <ObjectApi A>
class RecordKeeper {
 public:
  /// The functions are called on the thread that runs `Run`.
  struct Listener {
    /// The store has the desired state; `body` is "(removed)" for an object
    /// that must not exist.
    std::function<void(const std::string& body)> written;
    /// An attempt failed, other than by a conflict; it is retried with backoff.
    std::function<void(const request::Failure& reason)> failed;
    /// The object was read before a write. The function may change the desired
    /// state, which is then used instead. May be empty.
    std::function<void(const std::string& body)> found;
    /// The object was read before a write and does not exist. May be empty.
    std::function<void()> absent;
  };

  /// `api` must outlive the keeper.
  /// @param seed of the backoff's jitter; must differ between processes.
  RecordKeeper(A* api, std::string path, Listener listener, uint64_t seed)
      : api_(api),
        path_(std::move(path)),
        listener_(std::move(listener)),
        backoff_(seed) {}

  /// Sets the desired state of the object and starts writing it.
  /// @param body nothing when the object must not exist.
  void SetDesired(std::optional<std::string> body) {
    const std::lock_guard lock(mutex_);
    if (desired_ && *desired_ == body) {
      return;
    }
    desired_ = std::move(body);
    in_sync_ = false;
    wake_.notify_all();
  }

  /// Leaves the object as it is until the next `SetDesired`.
  void Release() {
    const std::lock_guard lock(mutex_);
    desired_.reset();
    in_sync_ = true;
  }

  /// Reads the object from the store and writes it again if it differs, for an
  /// object that another process or the store itself may have removed.
  void Verify() {
    const std::lock_guard lock(mutex_);
    if (desired_) {
      stored_known_ = false;
      in_sync_ = false;
      wake_.notify_all();
    }
  }

  /// A response to any client of this process had this era of the store. If it
  /// is later than that of the last read or write, the object is read again.
  void OnEra(uint64_t era) {
    const std::lock_guard lock(mutex_);
    if (era > latest_era_) {
      latest_era_ = era;
      in_sync_ = in_sync_ && !desired_;
      wake_.notify_all();
    }
  }

  /// The desired body while the store is not known to have it. Nothing when the
  /// object must not exist.
  std::optional<std::string> pending() const {
    const std::lock_guard lock(mutex_);
    return desired_ && !in_sync_ ? *desired_ : std::nullopt;
  }

  /// Whether the last write or read found the desired state in the store.
  bool in_sync() const {
    const std::lock_guard lock(mutex_);
    return in_sync_;
  }

  /// Writes each desired state until the store has it. Returns after `Stop`.
  void Run() {
    while (true) {
      std::optional<std::string> body;
      {
        std::unique_lock lock(mutex_);
        wake_.wait(lock, [this] { return stopped_ || !in_sync_; });
        if (stopped_) {
          return;
        }
        body = *desired_;
      }
      request::Failure failure;
      if (TryWrite(body, &failure)) {
        OnWritten(body);
      } else if (failure.code != request::ResultCode::kConflict) {
        listener_.failed(failure);
        std::unique_lock lock(mutex_);
        wake_.wait_for(lock, backoff_.NextDelay(), [this] { return stopped_; });
      }
    }
  }

  /// Ends `Run`, interrupting a call in progress.
  void Stop() {
    {
      const std::lock_guard lock(mutex_);
      stopped_ = true;
      wake_.notify_all();
    }
    api_->Interrupt();
  }

 private:
  void OnWritten(const std::optional<std::string>& body) {
    backoff_.Reset();
    {
      const std::lock_guard lock(mutex_);
      in_sync_ = !desired_ || (*desired_ == body && stored_era_ == latest_era_);
    }
    listener_.written(body.value_or("(removed)"));
  }

  bool IsDesired(const std::optional<std::string>& body) const {
    const std::lock_guard lock(mutex_);
    return desired_ && *desired_ == body;
  }

  // Makes one attempt. Fails with `kConflict` when the stored object was not
  // the expected one; the next attempt reads it first.
  bool TryWrite(const std::optional<std::string>& body,
                request::Failure* failure) {
    if (!stored_known_ || stored_era_ < LatestEra()) {
      if (!ReadStored(failure)) {
        return false;
      }
      if (stored_version_ && listener_.found) {
        listener_.found(stored_body_);
      } else if (!stored_version_ && listener_.absent) {
        listener_.absent();
      }
      if (!IsDesired(body)) {
        *failure = {request::ResultCode::kConflict, "no longer desired"};
        return false;
      }
    }
    if (stored_version_ && body && stored_body_ == *body) {
      return true;
    }
    if (!stored_version_ && !body) {
      return true;
    }
    std::optional<request::TableVersion> version;
    if (!body) {
      version = api_->Delete(path_, *stored_version_, failure);
    } else if (stored_version_) {
      version = api_->Update(path_, *stored_version_, *body, failure);
    } else {
      version = api_->Create(path_, *body, failure);
    }
    if (!version) {
      // Also after a lost response: the next attempt reads the stored object.
      stored_known_ = false;
      if (failure->code == request::ResultCode::kAlreadyExists ||
          failure->code == request::ResultCode::kNotFound) {
        failure->code = request::ResultCode::kConflict;
      }
      return false;
    }
    // A write that was accepted in a later era than the one of the version that
    // it was conditional on may have replaced another object: it is read again.
    stored_version_ = body ? version : std::nullopt;
    stored_body_ = body.value_or("");
    // When the store returned no version, it is read before the next write.
    stored_known_ = !body || version->value != 0;
    return true;
  }

  uint64_t LatestEra() const {
    const std::lock_guard lock(mutex_);
    return latest_era_;
  }

  // Reads the stored object; a missing object is not a failure.
  bool ReadStored(request::Failure* failure) {
    auto object = api_->Read(path_, failure);
    if (!object && failure->code != request::ResultCode::kNotFound) {
      return false;
    }
    stored_version_.reset();
    stored_body_.clear();
    if (object) {
      stored_version_ = object->version;
      stored_body_ = std::move(object->body);
    }
    stored_known_ = true;
    // A response of an earlier era than the latest one is a failure.
    stored_era_ = LatestEra();
    return true;
  }

  A* api_;
  std::string path_;
  Listener listener_;
  RetryBackoff backoff_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  /// The outer optional is empty until the first `SetDesired`; the inner one
  /// is empty when the object must not exist.
  std::optional<std::optional<std::string>> desired_;
  bool in_sync_ = true;
  bool stopped_ = false;
  /// Whether `stored_version_` and `stored_body_` hold the object as this
  /// process last read or wrote it.
  bool stored_known_ = false;
  std::optional<request::TableVersion> stored_version_;
  std::string stored_body_;
  /// The era of the last read. Used by the thread of `Run` only.
  uint64_t stored_era_ = 0;
  /// The highest era that any client of this process has seen.
  uint64_t latest_era_ = 0;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_RECORD_KEEPER_H_
