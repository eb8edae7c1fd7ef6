#ifndef KUMQUATVALVE_PROCESS_PERIODIC_THREAD_H_
#define KUMQUATVALVE_PROCESS_PERIODIC_THREAD_H_

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace kumquatvalve::process {

/// Calls a function again and again on a thread of its own.
class PeriodicThread {
 public:
  /// @param pause between the end of a call and the begin of the next.
  PeriodicThread(std::chrono::milliseconds pause, std::function<void()> call);
  ~PeriodicThread();
  PeriodicThread(const PeriodicThread&) = delete;
  PeriodicThread& operator=(const PeriodicThread&) = delete;

 private:
  void Run(std::chrono::milliseconds pause);

  std::function<void()> call_;
  std::mutex mutex_;
  std::condition_variable stop_;
  bool stopped_ = false;
  std::thread thread_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_PERIODIC_THREAD_H_
