#include "kumquatvalve/connection/offer_decision.h"

#include "kumquatvalve/connection/placement.h"

namespace kumquatvalve::connection {
namespace {

// A flow takes two ways to the caller until its request comes, 6 ms at 3 ms a
// way, and a request takes 4 to 44 ms in a slot: one flow a slot in advance
// keeps it busy. Upstreams queue at least that much.
constexpr size_t kWorkPerSlot = 2;

std::chrono::microseconds ExpectedOpening(const OfferState& state) {
  const auto service = state.service_time.count() != 0 ? state.service_time
                                                       : kUnknownServiceTime;
  return service * (state.waiting + 1) / state.slots;
}

}  // namespace

bool HasRoom(const OfferState& state) {
  return state.slots == 0 || state.work < kWorkPerSlot * state.slots;
}

OfferAnswer AnswerOffer(const OfferState& state, bool final_offer,
                        std::chrono::milliseconds patience) {
  if (state.slots == 0) {
    return OfferAnswer::kDeliver;
  }
  if (state.waiting == 0 &&
      (final_offer ? HasRoom(state) : state.work < state.slots)) {
    return OfferAnswer::kDeliver;
  }
  if (!final_offer) {
    return OfferAnswer::kReturn;
  }
  if (patience.count() == 0) {
    return OfferAnswer::kDeliver;
  }
  return ExpectedOpening(state) <= patience ? OfferAnswer::kWait
                                            : OfferAnswer::kReturn;
}

}  // namespace kumquatvalve::connection
