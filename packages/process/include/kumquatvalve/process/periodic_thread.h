#ifndef KUMQUATVALVE_PROCESS_PERIODIC_THREAD_H_
#define KUMQUATVALVE_PROCESS_PERIODIC_THREAD_H_

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace kumquatvalve::process {

/// Calls a function periodically on a thread of its own. The destructor waits
/// for a call in progress and joins the thread.
class PeriodicThread {
 public:
  /// @param interval from the end of a call to the start of the next; the first
  ///   call is made one interval after the start.
  PeriodicThread(std::chrono::milliseconds interval,
                 std::function<void()> task);
  ~PeriodicThread();
  PeriodicThread(const PeriodicThread&) = delete;
  PeriodicThread& operator=(const PeriodicThread&) = delete;

 private:
  void Run(std::chrono::milliseconds interval);

  std::function<void()> task_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool stopped_ = false;
  std::thread thread_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_PERIODIC_THREAD_H_
