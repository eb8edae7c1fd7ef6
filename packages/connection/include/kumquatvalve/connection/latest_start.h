#ifndef KUMQUATVALVE_CONNECTION_LATEST_START_H_
#define KUMQUATVALVE_CONNECTION_LATEST_START_H_

#include <cstdint>
#include <optional>
#include <string>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/request/start_order.h"

namespace kumquatvalve::connection {

/// Identifies one start of an upstream.
struct StartId {
  std::string instance;
  /// Unix time in milliseconds, by the clock of the upstream's machine.
  uint64_t time_ms = 0;

  friend bool operator==(const StartId&, const StartId&) = default;
};

/// What a message says about the start of its sender.
enum class StartVerdict {
  /// A new message of the latest start.
  kLatest,
  /// The first message of a start that is now the latest one.
  kReplaced,
  /// A message of the latest start that is not newer than its last one, or that
  /// arrived after it ended.
  kRepeated,
  /// Of a start that counts as earlier than the latest one.
  kEarlier,
};

/// Decides which of two starts of an upstream is the later one, from the
/// numbered messages that they send to one receiver. Load pattern: an upstream
/// that crashes and starts again while the time of day of its machine is
/// stepped back and forth, with messages of ended starts that arrive late.
///
/// A start whose time is after the order of every known start is the later one.
/// The time of any other start proves nothing: it replaces the latest start by
/// `kMessagesToReplace` messages, between which the latest one sent none. Its
/// order then follows that of the latest one, and other processes compare only
/// the orders. Not thread-safe.
class LatestStart {
 public:
  /// A message of `start`.
  /// @param sequence increases with each message of one start.
  StartVerdict OnMessage(const StartId& start, uint64_t sequence,
                         TimePoint now);

  /// Another process knows `start` at `order`, for example from the store.
  /// @return whether `start` is the latest one now and was not before. The one
  ///   before may still replace it.
  bool OnKnownStart(const StartId& start, request::StartOrder order,
                    TimePoint now);

  /// The latest start has a larger order than `order`, which belongs to
  /// something else that used the same address before.
  void OnEarlierOrder(request::StartOrder order);

  /// The latest start has ended.
  void OnEnd() { ended_ = true; }

  /// The latest start; empty before the first one.
  const std::optional<StartId>& latest() const { return latest_; }
  request::StartOrder order() const { return order_; }

  /// Whether the latest start is known to have begun after this object was
  /// created: another one was the latest before it and sent
  /// `kMessagesToReplace` messages here. A single message proves nothing, since
  /// it may be a late one or of another writer.
  bool began_after_creation() const {
    return first_ && latest_ && *first_ != *latest_;
  }

  /// Whether at most `kMaxMissedMessages` messages of the latest start may have
  /// been sent before the first one that arrived here.
  bool is_new() const {
    return received_ && received_->first_sequence <= kMaxMissedMessages;
  }

  static constexpr int kMessagesToReplace = 3;
  /// Sequence numbers begin at 0 or 1, and the first message of a start may
  /// fail while its machine boots.
  static constexpr uint64_t kMaxMissedMessages = 2;

 private:
  /// Counts messages of one start that were not delayed together.
  struct MessageCount {
    StartId start;
    uint64_t first_sequence = 0;
    uint64_t sequence = 0;
    int messages = 0;
    TimePoint last_counted_at;

    /// @return false for a message that is not newer than the last one.
    bool Add(uint64_t sequence, TimePoint now);
  };

  // Notes the first start that has sent enough messages.
  void NoteFirst();

  // Counts a message of a start that counts as an earlier one.
  // @return whether that start is the latest one after all.
  bool IsReplacement(const StartId& start, uint64_t sequence, TimePoint now);

  std::optional<StartId> latest_;
  request::StartOrder order_;
  bool ended_ = false;
  /// Messages of the latest start; empty before the first one arrived.
  std::optional<MessageCount> received_;
  /// Messages of the last start that counted as an earlier one.
  std::optional<MessageCount> candidate_;
  /// The first start that sent `kMessagesToReplace` messages as the latest one.
  std::optional<StartId> first_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_LATEST_START_H_
