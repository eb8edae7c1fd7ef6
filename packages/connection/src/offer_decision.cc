#include "kumquatvalve/connection/offer_decision.h"

#include <limits>

#include "kumquatvalve/connection/placement.h"

namespace kumquatvalve::connection {
namespace {

// A request arrives one round trip to the caller after its flow was delivered,
// 6 ms at 3 ms each way, and takes 4 to 44 ms in a slot: one additional flow
// per slot keeps the slots busy. Upstreams queue at least that much.
constexpr size_t kWorkPerSlot = 2;

std::chrono::microseconds ServiceTimeOf(const OfferState& state) {
  return state.service_time.count() != 0 ? state.service_time
                                         : kDefaultServiceTime;
}

}  // namespace

bool HasRoom(const OfferState& state) {
  return state.slots == 0 || state.work < kWorkPerSlot * state.slots;
}

std::chrono::microseconds ExpectedTimeInUpstream(
    std::chrono::microseconds service_time) {
  return kWorkPerSlot * service_time;
}

std::chrono::microseconds ExpectedOpeningWait(const OfferState& state) {
  return ServiceTimeOf(state) * (state.waiting + 1) / state.slots;
}

size_t QueueRoom(const OfferState& state,
                 std::chrono::milliseconds wait_limit) {
  if (state.slots == 0) {
    return std::numeric_limits<size_t>::max();
  }
  const std::chrono::microseconds time = wait_limit;
  return static_cast<size_t>(time.count()) * state.slots /
         static_cast<size_t>(ServiceTimeOf(state).count());
}

OfferAction DecideOffer(const OfferState& state, bool final_offer,
                        std::chrono::milliseconds wait_limit) {
  if (state.slots == 0) {
    return OfferAction::kDeliver;
  }
  if (state.waiting == 0 &&
      (final_offer ? HasRoom(state) : state.work < state.slots)) {
    return OfferAction::kDeliver;
  }
  if (!final_offer) {
    return OfferAction::kReturn;
  }
  if (wait_limit.count() == 0) {
    return OfferAction::kDeliver;
  }
  return ExpectedOpeningWait(state) <= wait_limit ? OfferAction::kWait
                                                  : OfferAction::kReturn;
}

}  // namespace kumquatvalve::connection
