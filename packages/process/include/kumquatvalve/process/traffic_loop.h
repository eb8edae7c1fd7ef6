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
#include <vector>

#include "kumquatvalve/process/traffic_counters.h"
#include "kumquatvalve/process/udp_batch.h"

namespace kumquatvalve::process {

/// Hands values from any thread to the traffic thread. Only the newest value is
/// kept.
template <typename T>
class Mailbox {
 public:
  /// Stores a value, replacing one that has not been taken.
  void Put(T value) {
    const std::lock_guard lock(mutex_);
    value_ = std::move(value);
  }
  /// Removes and returns the value; nothing when there is none.
  std::optional<T> Take() {
    const std::lock_guard lock(mutex_);
    return std::exchange(value_, std::nullopt);
  }

 private:
  std::mutex mutex_;
  std::optional<T> value_;
};

/// Hands events from any thread to the traffic thread in their order. When it
/// does not take them, only the newest ones are kept.
template <typename T>
class EventQueue {
 public:
  void Add(T event) {
    const std::lock_guard lock(mutex_);
    if (events_.size() == kMaxEvents) {
      events_.erase(events_.begin());
    }
    events_.push_back(std::move(event));
  }
  /// Removes and returns all events.
  std::vector<T> TakeAll() {
    const std::lock_guard lock(mutex_);
    return std::exchange(events_, {});
  }

 private:
  // More than arrive between two iterations of the traffic loop.
  static constexpr size_t kMaxEvents = 64;

  std::mutex mutex_;
  std::vector<T> events_;
};

/// Lets any thread query the traffic thread for a text that describes its
/// state.
class StatusRequest {
 public:
  /// Returns the text, or "{}" when the traffic thread does not respond within
  /// 500 ms. Blocks meanwhile.
  std::string Query() {
    std::unique_lock lock(mutex_);
    requested_ = true;
    const bool answered =
        changed_.wait_for(lock, kTimeout, [this] { return !requested_; });
    return answered ? text_ : "{}";
  }

  /// Called by the traffic thread: answers a waiting query, if any, with the
  /// text that `describe` returns.
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
  // The traffic thread calls `Serve` at least every 50 ms.
  static constexpr std::chrono::milliseconds kTimeout{500};

  std::mutex mutex_;
  std::condition_variable changed_;
  std::atomic<bool> requested_{false};
  std::string text_;
};

/// Sends datagrams in batches and counts those that the kernel did not accept.
class BatchSender {
 public:
  /// `socket` and `counters` must outlive the sender.
  BatchSender(UdpSocket* socket, TrafficCounters* counters)
      : socket_(socket), counters_(counters) {}

  /// Adds a datagram made of `head` and a copy of `bytes`; sends the batch
  /// first when it is full.
  void Send(std::span<const std::byte> head, std::span<const std::byte> bytes,
            const request::Endpoint& to) {
    if (batch_.full()) {
      Flush();
    }
    batch_.AddCopy(head, bytes, to);
  }

  bool full() const { return batch_.full(); }

  /// Drops the datagrams added since the last flush.
  /// @return their number.
  size_t Discard() { return batch_.Clear(); }

  /// Sends the datagrams added so far.
  void Flush() {
    if (batch_.empty()) {
      return;
    }
    const size_t unsent = batch_.Flush(*socket_);
    if (unsent != 0) {
      counters_->Count(PacketEvent::kSendFailed, unsent);
    }
  }

 private:
  UdpSocket* socket_;
  TrafficCounters* counters_;
  SendBatch batch_;
};

/// Detects that the process was paused. The steady clock does not advance while
/// a machine is suspended, hence the system clock is compared too; an
/// adjustment of the system clock counts as a pause, at the cost of one call to
/// the store.
class PauseDetector {
 public:
  /// Called once in each iteration of the traffic loop.
  /// @return whether more than `kMinPause` has passed since the last call, on
  ///   either clock.
  bool CheckForPause(std::chrono::steady_clock::time_point now,
                     std::chrono::system_clock::time_point wall) {
    const bool paused =
        last_steady_ != std::chrono::steady_clock::time_point() &&
        (now - last_steady_ > kMinPause || wall - last_wall_ > kMinPause);
    last_steady_ = now;
    last_wall_ = wall;
    return paused;
  }

  // An iteration of the loop takes at most 50 ms.
  static constexpr std::chrono::milliseconds kMinPause{1000};

 private:
  std::chrono::steady_clock::time_point last_steady_;
  std::chrono::system_clock::time_point last_wall_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_TRAFFIC_LOOP_H_
