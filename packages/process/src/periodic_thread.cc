#include "kumquatvalve/process/periodic_thread.h"

#include <utility>

namespace kumquatvalve::process {

PeriodicThread::PeriodicThread(std::chrono::milliseconds pause,
                               std::function<void()> call)
    : call_(std::move(call)), thread_([this, pause] { Run(pause); }) {}

PeriodicThread::~PeriodicThread() {
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
  }
  stop_.notify_all();
  thread_.join();
}

void PeriodicThread::Run(std::chrono::milliseconds pause) {
  std::unique_lock lock(mutex_);
  while (!stop_.wait_for(lock, pause, [this] { return stopped_; })) {
    lock.unlock();
    call_();
    lock.lock();
  }
}

}  // namespace kumquatvalve::process
