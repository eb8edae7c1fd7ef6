#ifndef KUMQUATVALVE_PROCESS_SEND_TIMES_H_
#define KUMQUATVALVE_PROCESS_SEND_TIMES_H_

#include <chrono>
#include <optional>
#include <vector>

namespace kumquatvalve::process {

/// Time since the machine started, including the time in which it was
/// suspended.
std::chrono::nanoseconds TimeSinceBoot();

/// Bounds the time at which received messages were sent. Messages that arrive
/// while the process is paused wait in sockets and are read afterwards, so they
/// may be as old as the pause. Performs no I/O; used by one thread.
class SendTimes {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// Called at the beginning of each iteration of the traffic loop.
  /// @param since_boot see `TimeSinceBoot`.
  /// @return how long the machine was suspended since the last call; shorter
  ///   times than `kMinPause` count as 0.
  std::chrono::milliseconds OnIteration(TimePoint now,
                                        std::chrono::nanoseconds since_boot);

  /// Returns a time at which a message had not been sent that another thread
  /// received at `received_at`. Its distance from now includes the time for
  /// which the machine was suspended.
  TimePoint SentAfter(TimePoint received_at) const;

  /// The beginning of the previous iteration, less the time for which the
  /// machine was suspended since; of this one in the first.
  TimePoint previous() const { return previous_; }

  /// An iteration of the traffic loop takes about 50 ms at most.
  static constexpr std::chrono::milliseconds kMinPause{100};
  /// Time after a pause in which messages that waited are still being read.
  static constexpr std::chrono::milliseconds kBacklogTime{300};

 private:
  struct Pause {
    TimePoint paused_at;
    TimePoint resumed_at;
    /// `paused_at`, less the time for which the machine was suspended since.
    TimePoint sent_after;
  };

  TimePoint previous_;
  TimePoint last_;
  std::optional<std::chrono::nanoseconds> last_since_boot_;
  /// The last pause, and earlier ones of which messages may still have been
  /// waiting when it began.
  std::vector<Pause> pauses_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_SEND_TIMES_H_
