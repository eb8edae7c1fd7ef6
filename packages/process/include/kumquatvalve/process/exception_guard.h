#ifndef KUMQUATVALVE_PROCESS_EXCEPTION_GUARD_H_
#define KUMQUATVALVE_PROCESS_EXCEPTION_GUARD_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <exception>
#include <functional>
#include <string>
#include <thread>
#include <utility>

#include "kumquatvalve/process/logging.h"

namespace kumquatvalve::process {

/// Keeps exceptions from leaving a thread, which would end the process. Each
/// thread's loop has one guard, which logs an exception, counts it and lets the
/// loop go on after a pause. `Run` and `RunUntilDone` are called by one thread;
/// `errors` is thread-safe.
class ExceptionGuard {
 public:
  /// `logger` must outlive the guard.
  /// @param thread name of the guarded thread, for the log.
  /// @param on_error called for each exception; may be empty.
  ExceptionGuard(std::string thread, const Logger* logger,
                 std::function<void()> on_error = nullptr)
      : thread_(std::move(thread)),
        logger_(logger),
        on_error_(std::move(on_error)) {}

  /// Calls `task`. After an exception waits for `kRetryDelay`.
  /// @return whether `task` returned without an exception.
  template <typename F>
  bool Run(const F& task) {
    try {
      task();
      return true;
    } catch (const std::exception& ex) {
      OnError(ex.what());
    } catch (...) {
      OnError("an exception of an unknown type");
    }
    std::this_thread::sleep_for(kRetryDelay);
    return false;
  }

  /// Calls `task` until it returns without an exception.
  template <typename F>
  void RunUntilDone(const F& task) {
    while (!Run(task)) {
    }
  }

  /// Number of exceptions caught.
  uint64_t errors() const { return errors_; }

  /// Bounds the processor time that a repeated exception costs.
  static constexpr std::chrono::milliseconds kRetryDelay{10};

 private:
  static constexpr std::chrono::seconds kLogInterval{1};

  // Logs at most one line in `kLogInterval`.
  void OnError(const char* what) {
    ++errors_;
    if (on_error_) {
      on_error_();
    }
    const auto now = std::chrono::steady_clock::now();
    if (errors_ > 1 && now - logged_at_ < kLogInterval) {
      return;
    }
    logged_at_ = now;
    logger_->Log(LogLevel::kError, LogEvent::kUnexpectedError, what,
                 {{"thread", thread_}, {"errors", std::to_string(errors_)}});
  }

  std::string thread_;
  const Logger* logger_;
  std::function<void()> on_error_;
  std::atomic<uint64_t> errors_{0};
  std::chrono::steady_clock::time_point logged_at_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_EXCEPTION_GUARD_H_
