#ifndef KUMQUATVALVE_CONNECTION_OFFER_DECISION_H_
#define KUMQUATVALVE_CONNECTION_OFFER_DECISION_H_

#include <chrono>
#include <cstddef>

namespace kumquatvalve::connection {

/// What a sidecar does with a first packet that an entry instance offers.
enum class OfferAction {
  /// The upstream gets the packet now.
  kDeliver,
  /// The packet waits at the sidecar until the upstream has room.
  kWait,
  /// The entry instance offers the flow to another sidecar or refuses it.
  kReturn,
};

/// The work of the upstream at the time of an offer.
struct OfferState {
  /// Requests that the upstream processes concurrently; 0 when unknown.
  size_t slots = 0;
  /// Requests in progress and expected requests of flows that are opening.
  size_t work = 0;
  /// First packets that wait at the sidecar.
  size_t waiting = 0;
  /// Mean processing time of one request in a slot; 0 when unknown.
  std::chrono::microseconds service_time{0};
};

/// Whether the upstream has room for one more flow. It gets up to twice as much
/// work as it has slots, so that no slot is idle while a flow opens.
bool HasRoom(const OfferState& state);

/// Longest expected time from the arrival of a request at the upstream to its
/// response: `HasRoom` lets one other request per slot go ahead of it. Load
/// pattern: in a lasting overload the oldest flow that can be on time goes
/// first, so that each flow that is assumed to get a slot at once is late.
std::chrono::microseconds ExpectedTimeInUpstream(
    std::chrono::microseconds service_time);

/// How long a flow waits for its turn behind the `waiting` ones. `slots` must
/// not be 0.
std::chrono::microseconds ExpectedOpeningWait(const OfferState& state);

/// How many flows can wait so that each of them is served within `wait_limit`;
/// no limit when the number of slots is unknown.
size_t QueueRoom(const OfferState& state, std::chrono::milliseconds wait_limit);

/// Decides what happens to an offered first packet. Letting flows wait is for
/// the return of all callers at once, as after a power failure: upstreams with
/// full queues reject first packets, whereas a flow that waits here is
/// delivered when there is room. Under normal load no flow waits.
/// @param final_offer the entry instance knows no better upstream.
/// @param wait_limit how long the flow may wait to open; 0 for flows that do
///   not wait here, such as bulk transfers, which spend more time on the
///   network than in a slot.
OfferAction DecideOffer(const OfferState& state, bool final_offer,
                        std::chrono::milliseconds wait_limit);

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_OFFER_DECISION_H_
