#ifndef KUMQUATVALVE_CONNECTION_WORK_TRACKER_H_
#define KUMQUATVALVE_CONNECTION_WORK_TRACKER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/request/flow_key.h"

namespace kumquatvalve::connection {

/// Counts the work in progress of one upstream from the traffic of its flows.
/// A flow takes a slot while it is reserved (admitted, request not yet seen) or
/// busy (request seen, response not complete).
class WorkTracker {
 public:
  using Duration = TimePoint::duration;

  struct Settings {
    /// A reservation lasts `reservation_factor` times the usual time between
    /// admission and request, within these bounds. Callers that connect in
    /// advance would otherwise block slots that they do not use.
    Duration min_reservation = std::chrono::milliseconds(200);
    Duration max_reservation = std::chrono::seconds(2);
    int reservation_factor = 8;
  };

  WorkTracker() : WorkTracker(Settings()) {}
  explicit WorkTracker(const Settings& settings);

  /// Takes a slot for an admitted flow. Nothing changes for a flow that has a
  /// slot already.
  void Reserve(const request::FlowKey& flow, TimePoint now);

  /// A request byte came from the caller. The flow becomes busy, also one that
  /// has no reservation (any more).
  void OnRequest(const request::FlowKey& flow, TimePoint now);

  /// A response segment with payload went to the caller. After a `pushed` one
  /// the slot counts as free, one round trip to the caller before the response
  /// is acknowledged. It is taken back when more of the response follows. An
  /// upstream that often sends more, for example a stream of small writes,
  /// loses this trust until its responses end with their first push again.
  void OnAnswerSegment(const request::FlowKey& flow, bool pushed,
                       TimePoint now);

  /// The response is complete and acknowledged.
  /// @return the time from the first request byte, nothing when the flow was
  ///   not busy.
  std::optional<Duration> OnAnswerComplete(const request::FlowKey& flow,
                                           TimePoint now);

  /// Frees the slot of a flow, if it has one.
  /// @return whether it had one.
  bool OnFlowEnd(const request::FlowKey& flow);

  /// Frees the slots of reservations whose request did not come in time.
  void Expire(TimePoint now);

  /// Flows whose request is in work.
  uint32_t busy() const { return busy_ - (TrustsPush() ? pushed_ : 0); }
  /// Admitted flows whose request did not come yet.
  uint32_t reserved() const { return reserved_; }
  /// Slots in use.
  uint32_t used() const { return busy() + reserved_; }

  bool HasSlot(const request::FlowKey& flow) const {
    return slots_.contains(flow);
  }

  /// Moving mean of the time between admission and request.
  Duration usual_reservation() const { return usual_reservation_; }

  /// How long a reservation made now would last.
  Duration ReservationTime() const;

 private:
  struct Slot {
    bool busy = false;
    /// The last response segment was pushed.
    bool pushed = false;
    /// More of the response followed a pushed segment.
    bool taken_back = false;
    TimePoint since;
    /// Tells a slot from an earlier one of the same flow in `expiry_`.
    uint64_t number = 0;
  };
  struct Reservation {
    TimePoint end;
    request::FlowKey flow;
    uint64_t number = 0;
  };

  /// Whether few enough responses went on after a push.
  bool TrustsPush() const { return taken_back_share_ < kMaxTakenBack; }
  void Free(const Slot& slot);

  /// With more, the upstream would get noticeably more than its slots.
  static constexpr double kMaxTakenBack = 0.05;

  Settings settings_;
  std::unordered_map<request::FlowKey, Slot, request::FlowKeyHash> slots_;
  std::deque<Reservation> expiry_;
  uint32_t busy_ = 0;
  /// Of `busy_`.
  uint32_t pushed_ = 0;
  /// Moving mean over the responses; starts without trust.
  double taken_back_share_ = 2 * kMaxTakenBack;
  uint32_t reserved_ = 0;
  uint64_t next_number_ = 0;
  Duration usual_reservation_{0};
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_WORK_TRACKER_H_
