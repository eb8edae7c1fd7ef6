#ifndef KUMQUATVALVE_BENCH_EVENT_QUEUE_H_
#define KUMQUATVALVE_BENCH_EVENT_QUEUE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace kumquatvalve::bench {

/// Queue of a discrete-event simulation: runs functions in the order of their
/// times on a simulated clock. Events of equal times run in the order in which
/// they were scheduled, which makes runs with one seed reproducible. Not
/// thread-safe.
class EventQueue {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  using Duration = std::chrono::steady_clock::duration;

  TimePoint now() const { return now_; }

  /// Schedules a call at `now() + delay`.
  void ScheduleAfter(Duration delay, std::function<void()> call) {
    events_.push({now_ + delay, next_sequence_++, std::move(call)});
  }

  /// Runs all events up to and including `end` and sets the clock to `end`.
  void RunUntil(TimePoint end) {
    while (!events_.empty() && events_.top().time <= end) {
      Event event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_ = event.time;
      event.call();
    }
    now_ = end;
  }

  bool empty() const { return events_.empty(); }

 private:
  struct Event {
    TimePoint time;
    uint64_t sequence = 0;
    std::function<void()> call;

    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : sequence > other.sequence;
    }
  };

  TimePoint now_{};
  uint64_t next_sequence_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace kumquatvalve::bench

#endif  // KUMQUATVALVE_BENCH_EVENT_QUEUE_H_
