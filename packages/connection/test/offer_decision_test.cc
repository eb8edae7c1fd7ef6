#include "kumquatvalve/connection/offer_decision.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <vector>

namespace kumquatvalve::connection {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWaitLimit{1200};

OfferState State(size_t work, size_t waiting = 0) {
  return {.slots = 5,
          .work = work,
          .waiting = waiting,
          .service_time = milliseconds(40)};
}

TEST_CASE("offer_decision: any offer is delivered while a slot is free") {
  CHECK(DecideOffer(State(4), false, {}) == OfferAction::kDeliver);
  CHECK(DecideOffer(State(4), true, kWaitLimit) == OfferAction::kDeliver);
}

TEST_CASE("offer_decision: only a final offer may wait for a slot") {
  CHECK(DecideOffer(State(5), false, {}) == OfferAction::kReturn);
  CHECK(DecideOffer(State(5), true, kWaitLimit) == OfferAction::kDeliver);
  CHECK(DecideOffer(State(10), true, kWaitLimit) == OfferAction::kWait);
}

TEST_CASE("offer_decision: no offer overtakes a waiting flow") {
  CHECK(DecideOffer(State(4, 1), false, {}) == OfferAction::kReturn);
  CHECK(DecideOffer(State(4, 1), true, kWaitLimit) == OfferAction::kWait);
}

TEST_CASE(
    "offer_decision: an offer that would wait longer than its limit is "
    "returned") {
  // With 149 waiting flows of 40 ms each and 5 slots the expected wait is 1.2
  // s.
  CHECK(DecideOffer(State(10, 149), true, kWaitLimit) == OfferAction::kWait);
  CHECK(DecideOffer(State(10, 150), true, kWaitLimit) == OfferAction::kReturn);
}

// Guards against uploads that wait at the sidecar while the slots of their
// upstream are free.
TEST_CASE("offer_decision: a bulk transfer does not wait") {
  CHECK(DecideOffer(State(10), false, {}) == OfferAction::kReturn);
  CHECK(DecideOffer(State(10), true, {}) == OfferAction::kDeliver);
}

TEST_CASE(
    "offer_decision: an upstream with an unknown number of slots gets all "
    "offers") {
  CHECK(DecideOffer({.work = 100}, false, {}) == OfferAction::kDeliver);
}

// A simulated upstream with slots and a queue of 16 requests; it rejects more.
struct Upstream {
  size_t work() const { return opening.size() + running.size() + queue; }
  void Step(int now_ms) {
    std::erase_if(running, [&](int end) { return end <= now_ms; });
    while (!opening.empty() && opening.front() <= now_ms) {
      opening.pop_front();
      if (queue < 16) {
        ++queue;
      } else {
        ++rejected;
      }
    }
    while (running.size() < 5 && queue > 0) {
      --queue;
      // 44 ms, and 1.6 times as long shortly after a start.
      running.push_back(now_ms + 70);
      ++served;
    }
  }
  std::vector<int> running;
  std::deque<int> opening;
  size_t queue = 0;
  size_t waiting = 0;
  size_t served = 0;
  size_t rejected = 0;
};

struct Outcome {
  size_t served = 0;
  size_t rejected = 0;
  size_t refused = 0;
};

// Simulates 450 callers that return within 300 ms to 7 newly started upstreams
// and are placed by load reports that are up to 100 ms old.
Outcome SimulateReturnOfCallers(bool flows_wait) {
  constexpr int kCallers = 450;
  std::vector<Upstream> upstreams(7);
  std::vector<size_t> reported(upstreams.size(), 0);
  std::mt19937 random(1);
  Outcome outcome;
  int arrived = 0;
  for (int now_ms = 0; now_ms < 3000; ++now_ms) {
    for (size_t i = 0; i < upstreams.size(); ++i) {
      Upstream& it = upstreams[i];
      it.Step(now_ms);
      while (it.waiting > 0 && HasRoom(State(it.work()))) {
        --it.waiting;
        it.opening.push_back(now_ms + 8);
      }
      if (now_ms % 100 == 0) {
        reported[i] = it.work() + it.waiting;
      }
    }
    for (; arrived < kCallers && arrived * 300 / kCallers <= now_ms;
         ++arrived) {
      bool taken = false;
      for (int offer = 1; offer <= 5 && !taken; ++offer) {
        const auto least = std::min_element(reported.begin(), reported.end());
        std::vector<size_t> best;
        for (size_t i = 0; i < reported.size(); ++i) {
          if (reported[i] == *least) {
            best.push_back(i);
          }
        }
        const size_t choice = best[random() % best.size()];
        Upstream& it = upstreams[choice];
        const bool final_offer = offer >= 3;
        auto action =
            DecideOffer(State(it.work(), it.waiting), final_offer, kWaitLimit);
        if (!flows_wait && final_offer) {
          action = OfferAction::kDeliver;
        }
        taken = action != OfferAction::kReturn;
        if (action == OfferAction::kDeliver) {
          it.opening.push_back(now_ms + 8);
        } else if (action == OfferAction::kWait) {
          ++it.waiting;
        }
        reported[choice] = it.work() + it.waiting;
      }
      outcome.refused += taken ? 0 : 1;
    }
  }
  for (const Upstream& it : upstreams) {
    outcome.served += it.served;
    outcome.rejected += it.rejected;
  }
  return outcome;
}

// Guards against rejections after a power failure, when all callers return at
// once: 375 requests were rejected by upstreams whose queues were full.
TEST_CASE(
    "offer_decision: no flow is rejected when all callers return at once") {
  const Outcome before = SimulateReturnOfCallers(/*flows_wait=*/false);
  CHECK(before.rejected > 0);
  const Outcome after = SimulateReturnOfCallers(/*flows_wait=*/true);
  CHECK(after.rejected == 0);
  CHECK(after.served > before.served);
  CHECK(after.served + after.refused == 450);
}

}  // namespace
}  // namespace kumquatvalve::connection
