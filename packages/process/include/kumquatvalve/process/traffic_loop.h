#ifndef KUMQUATVALVE_PROCESS_TRAFFIC_LOOP_H_
#define KUMQUATVALVE_PROCESS_TRAFFIC_LOOP_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <utility>

#include "kumquatvalve/process/traffic_counters.h"
#include "kumquatvalve/process/udp_batch.h"

namespace kumquatvalve::process {

/// The newest value that one thread has for another.
template <typename T>
class Mailbox {
 public:
  void Put(T value) {
    const std::lock_guard lock(mutex_);
    value_ = std::move(value);
  }
  std::optional<T> Take() {
    const std::lock_guard lock(mutex_);
    return std::exchange(value_, std::nullopt);
  }

 private:
  std::mutex mutex_;
  std::optional<T> value_;
};

/// Lets any thread ask the traffic thread for a text about its state.
class StatusRequest {
 public:
  /// The text, or "{}" when the traffic thread does not answer in time.
  std::string Query() {
    std::unique_lock lock(mutex_);
    requested_ = true;
    const bool answered =
        changed_.wait_for(lock, kTimeout, [this] { return !requested_; });
    return answered ? text_ : "{}";
  }

  /// Called by the traffic thread: answers a waiting question, if any.
  template <typename F>
  void Serve(const F& describe) {
    if (!requested_) {
      return;
    }
    std::string text = describe();
    const std::lock_guard lock(mutex_);
    text_ = std::move(text);
    requested_ = false;
    changed_.notify_all();
  }

 private:
  // The traffic thread looks at it at least every 50 ms.
  static constexpr std::chrono::milliseconds kTimeout{500};

  std::mutex mutex_;
  std::condition_variable changed_;
  std::atomic<bool> requested_{false};
  std::string text_;
};

/// Sends datagrams in batches and counts what the kernel did not take.
class BatchSender {
 public:
  /// Both must outlive the sender.
  BatchSender(UdpSocket* socket, TrafficCounters* counters)
      : socket_(socket), counters_(counters) {}

  void Send(std::span<const std::byte> head, std::span<const std::byte> bytes,
            const request::Endpoint& to) {
    if (batch_.full()) {
      Flush();
    }
    batch_.AddCopy(head, bytes, to);
  }

  void Flush() {
    if (batch_.empty()) {
      return;
    }
    const size_t lost = batch_.Flush(*socket_);
    if (lost != 0) {
      counters_->Count(PacketEvent::kSendFailed, lost);
    }
  }

 private:
  UdpSocket* socket_;
  TrafficCounters* counters_;
  SendBatch batch_;
};

/// Notices that a process did not run for a while. The steady clock stands
/// still while an instance is suspended, so the time of day is looked at too; a
/// step of that clock is taken for a pause, which costs one call to the store.
class PauseDetector {
 public:
  /// @return whether the process did not run for longer than `kMinPause`.
  bool CheckForPause(std::chrono::steady_clock::time_point now,
                     std::chrono::system_clock::time_point wall) {
    const bool paused =
        last_steady_ != std::chrono::steady_clock::time_point() &&
        (now - last_steady_ > kMinPause || wall - last_wall_ > kMinPause);
    last_steady_ = now;
    last_wall_ = wall;
    return paused;
  }

  // The loop runs at least every 50 ms.
  static constexpr std::chrono::milliseconds kMinPause{1000};

 private:
  std::chrono::steady_clock::time_point last_steady_;
  std::chrono::system_clock::time_point last_wall_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_TRAFFIC_LOOP_H_
