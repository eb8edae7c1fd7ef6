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
    /// A reservation lasts `reservation_factor` times the mean time between
    /// admission and request, within these bounds. Callers that connect in
    /// advance would otherwise block slots that they do not use.
    Duration min_reservation = std::chrono::milliseconds(200);
    Duration max_reservation = std::chrono::seconds(2);
    int reservation_factor = 8;
  };

  WorkTracker() : WorkTracker(Settings()) {}
  explicit WorkTracker(const Settings& settings);

  /// Reserves a slot for an admitted flow. Has no effect for a flow that
  /// already has one.
  void Reserve(const request::FlowKey& flow, TimePoint now);

  /// A request byte arrived from the caller. The flow becomes busy, even when
  /// it has no reservation or its reservation has expired.
  void OnRequest(const request::FlowKey& flow, TimePoint now);

  /// A response segment with payload was sent to the caller. After a segment
  /// with PSH (`pushed`) the slot counts as free, one round trip to the caller
  /// before the response is acknowledged. It counts as busy again when more of
  /// the response follows. When responses often continue after a push, for
  /// example as a stream of small writes, pushes are ignored until responses
  /// end with their first push again.
  void OnAnswerSegment(const request::FlowKey& flow, bool pushed,
                       TimePoint now);

  /// The response is complete and acknowledged. Frees the slot.
  /// @return the time since the first request byte; empty when the flow was not
  ///   busy.
  std::optional<Duration> OnAnswerComplete(const request::FlowKey& flow,
                                           TimePoint now);

  /// Frees the slot of a flow, if it has one.
  /// @return whether it had one.
  bool OnFlowEnd(const request::FlowKey& flow);

  /// Frees the slots of reservations whose request did not arrive in time.
  void Expire(TimePoint now);

  /// Flows with a request in progress.
  uint32_t busy() const { return busy_ - (TrustsPush() ? pushed_ : 0); }
  /// Admitted flows whose request has not arrived yet.
  uint32_t reserved() const { return reserved_; }
  /// Slots in use.
  uint32_t used() const { return busy() + reserved_; }

  bool HasSlot(const request::FlowKey& flow) const {
    return slots_.contains(flow);
  }

  /// Exponentially weighted mean of the time between admission and request.
  Duration mean_reservation() const { return mean_reservation_; }

  /// How long a reservation made now lasts.
  Duration ReservationTime() const;

 private:
  struct Slot {
    bool busy = false;
    /// The last response segment was pushed.
    bool pushed = false;
    /// The response continued after a pushed segment.
    bool continued = false;
    TimePoint started_at;
    /// Distinguishes a slot from an earlier one of the same flow in `expiry_`.
    uint64_t generation = 0;
  };
  struct Reservation {
    TimePoint expires_at;
    request::FlowKey flow;
    uint64_t generation = 0;
  };

  /// Whether so few responses continue after a push that a push counts as the
  /// end of a response.
  bool TrustsPush() const { return continued_share_ < kMaxContinuedShare; }
  void RemoveFromCounts(const Slot& slot);

  /// With a larger share, the upstream would get noticeably more requests than
  /// it has slots.
  static constexpr double kMaxContinuedShare = 0.05;

  Settings settings_;
  std::unordered_map<request::FlowKey, Slot, request::FlowKeyHash> slots_;
  std::deque<Reservation> expiry_;
  uint32_t busy_ = 0;
  /// Flows counted in `busy_` whose last response segment was pushed.
  uint32_t pushed_ = 0;
  /// Moving mean of the share of responses that continued after a push; the
  /// initial value is above the limit, so that pushes are ignored at first.
  double continued_share_ = 2 * kMaxContinuedShare;
  uint32_t reserved_ = 0;
  uint64_t next_generation_ = 0;
  Duration mean_reservation_{0};
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_WORK_TRACKER_H_
