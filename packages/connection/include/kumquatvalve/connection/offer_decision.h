#ifndef KUMQUATVALVE_CONNECTION_OFFER_DECISION_H_
#define KUMQUATVALVE_CONNECTION_OFFER_DECISION_H_

#include <chrono>
#include <cstddef>

namespace kumquatvalve::connection {

/// What a sidecar does with a first packet that an entry instance offers.
enum class OfferAnswer {
  /// The upstream gets it now.
  kDeliver,
  /// It waits at the sidecar until the upstream has room.
  kWait,
  /// The entry instance offers it elsewhere or refuses it.
  kReturn,
};

/// The work of the upstream at the moment of an offer.
struct OfferState {
  /// Requests that the upstream works on at once; 0 when unknown.
  size_t slots = 0;
  /// Requests that it has and flows whose request is about to come.
  size_t work = 0;
  /// First packets that wait at the sidecar.
  size_t waiting = 0;
  /// Mean time of one request in a slot; 0 when unknown.
  std::chrono::microseconds service_time{0};
};

/// Whether the upstream has room for one more flow. Beyond its slots it gets as
/// many again, so that no slot is idle while a flow opens.
bool HasRoom(const OfferState& state);

/// Answers the return of all callers at one moment, as after a loss of power:
/// upstreams with full queues reject what they are sent, while a flow that
/// waits here is opened when there is room. Ordinary load never waits here.
/// @param final_offer the entry instance knows no better upstream.
/// @param patience how long the caller waits for its flow to open; 0 for flows
///   that do not wait here, as bulk transfers, which take more time on the way
///   than in a slot.
OfferAnswer AnswerOffer(const OfferState& state, bool final_offer,
                        std::chrono::milliseconds patience);

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_OFFER_DECISION_H_
