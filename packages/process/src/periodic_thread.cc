#include "kumquatvalve/process/periodic_thread.h"

#include <utility>

namespace kumquatvalve::process {

PeriodicThread::PeriodicThread(std::chrono::milliseconds interval,
                               std::function<void()> task)
    : task_(std::move(task)), thread_([this, interval] { Run(interval); }) {}

PeriodicThread::~PeriodicThread() {
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

void PeriodicThread::Run(std::chrono::milliseconds interval) {
  std::unique_lock lock(mutex_);
  while (!wake_.wait_for(lock, interval, [this] { return stopped_; })) {
    lock.unlock();
    task_();
    lock.lock();
  }
}

}  // namespace kumquatvalve::process
