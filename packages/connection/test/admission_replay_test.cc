// Replays loads at the queue of one sidecar, with priorities and with today's
// rule, which is that of flows without a priority.
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <vector>

#include "kumquatvalve/connection/retry_budget.h"
#include "kumquatvalve/connection/service_time_estimate.h"
#include "kumquatvalve/connection/slot_progress.h"
#include "kumquatvalve/connection/waiting_flows.h"

namespace kumquatvalve::connection {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};
constexpr int kOpeningMs = 6;
constexpr size_t kSlots = 2;
constexpr int kNeverMs = 1000000;

// Flows of one kind. They come from one caller address unless `caller` is 0.
struct Source {
  double per_second = 0;
  int from_ms = 0;
  int to_ms = 0;
  uint8_t priority = 0;
  int work_ms = 22;
  int target_ms = 200;
  int timeout_ms = 1200;
  uint8_t caller = 0;
  uint16_t entry = 0;
  bool retries = false;
};

struct Outcome {
  int offered = 0;
  int on_time = 0;
  int on_time_first_attempts = 0;
  int late = 0;
  int given_up = 0;
  int given_up_wait_ms = 0;
};

struct Attempt {
  WaitingFlow flow;
  size_t source = 0;
  int at_ms = 0;
  int number = 1;
};

class Replay {
 public:
  Replay(std::vector<Source> sources, bool with_priorities, unsigned seed,
         int slow_from_ms)
      : sources_(std::move(sources)),
        outcomes_(sources_.size()),
        with_priorities_(with_priorities),
        slow_from_ms_(slow_from_ms),
        random_(seed) {}

  std::vector<Outcome> Run(int duration_ms) {
    for (now_ms_ = 0; now_ms_ < duration_ms; ++now_ms_) {
      RunUpstream();
      AdmitWaiting();
      for (size_t i = 0; i < sources_.size(); ++i) {
        const Source& it = sources_[i];
        std::poisson_distribution<int> count(it.per_second / 1000);
        const bool active = now_ms_ >= it.from_ms && now_ms_ < it.to_ms;
        for (int n = active ? count(random_) : 0; n > 0; --n) {
          Offer({{}, i, now_ms_, 1});
        }
      }
      for (size_t n = retries_.size(); n > 0; --n) {
        const Attempt it = retries_.front();
        retries_.pop_front();
        it.at_ms <= now_ms_ ? Offer(it) : retries_.push_back(it);
      }
      if (now_ms_ % 50 == 0) {
        GiveUp(queue_.TakeExpired(Now()));
        OfferState state = State();
        state.service_time =
            std::max(state.service_time, progress_.LowerBound(Now()));
        GiveUp(queue_.TakeUnservable(state, Now()));
      }
    }
    return outcomes_;
  }

 private:
  TimePoint Now() const { return kStart + milliseconds(now_ms_); }
  OfferState State() {
    return {kSlots, delivered_.size() + running_.size(), queue_.size(),
            estimate_.Value(Now())};
  }
  const Attempt& Of(const WaitingFlow& flow) const {
    return attempts_[flow.caller_isn];
  }

  void Offer(Attempt attempt) {
    const Source& source = sources_[attempt.source];
    WaitingFlow& flow = attempt.flow;
    if (attempt.number == 1) {
      ++outcomes_[attempt.source].offered;
      flow.flow.caller.address[0] = source.caller;
      for (size_t i = 0; i < 4 && source.caller == 0; ++i) {
        flow.flow.caller.address[i + 1] =
            static_cast<uint8_t>(attempts_.size() >> (8 * i));
      }
      flow.entry.port =
          source.entry != 0 ? source.entry : 1 + attempts_.size() % 22;
    }
    flow.caller_isn = static_cast<uint32_t>(attempts_.size());
    const milliseconds limit(std::min(1200, source.timeout_ms / 2));
    flow.deadline = Now() + limit;
    const auto service_time = std::max<std::chrono::microseconds>(
        milliseconds(20), estimate_.Value(Now()));
    flow.on_time_until =
        Now() + milliseconds(source.target_ms - 9) -
        (with_priorities_ ? ExpectedTimeInUpstream(service_time)
                          : service_time);
    if (with_priorities_) {
      flow.priority = source.priority;
      flow.retry = refused_.IsRetry(flow.flow.caller, Now());
    }
    attempts_.push_back(attempt);
    OfferState state = State();
    state.waiting = queue_.CountAhead(flow, Now());
    const OfferAction action = DecideOffer(state, true, limit);
    if (action == OfferAction::kDeliver) {
      delivered_.push_back({flow.caller_isn, now_ms_ + kOpeningMs});
      return;
    }
    if (action == OfferAction::kReturn && !with_priorities_) {
      GiveUp({flow});
      return;
    }
    const auto [added, evicted] = queue_.Add(flow, State(), limit, Now());
    if (evicted) {
      GiveUp({*evicted});
    }
    if (!added) {
      GiveUp({flow});
    }
  }

  void AdmitWaiting() {
    while (!queue_.empty() && HasRoom(State())) {
      const auto flow = queue_.Pop(Now());
      if (!flow) {
        return;
      }
      delivered_.push_back({flow->caller_isn, now_ms_ + kOpeningMs});
    }
  }

  void GiveUp(const std::vector<WaitingFlow>& flows) {
    for (const WaitingFlow& it : flows) {
      Attempt attempt = Of(it);
      Outcome& outcome = outcomes_[attempt.source];
      ++outcome.given_up;
      outcome.given_up_wait_ms += now_ms_ - attempt.at_ms;
      refused_.OnRefused(it.flow.caller, Now());
      if (sources_[attempt.source].retries && attempt.number < 3) {
        ++attempt.number;
        attempt.at_ms = now_ms_ + 50;
        retries_.push_back(attempt);
      }
    }
  }

  void RunUpstream() {
    std::erase_if(running_, [&](const Step& it) {
      if (it.at_ms > now_ms_) {
        return false;
      }
      progress_.OnChange(running_.size(), kSlots, true, Now());
      const Attempt& attempt = attempts_[it.attempt];
      const Source& source = sources_[attempt.source];
      Outcome& outcome = outcomes_[attempt.source];
      const int latency_ms = now_ms_ + 3 - attempt.at_ms;
      if (latency_ms <= source.target_ms) {
        ++outcome.on_time;
        outcome.on_time_first_attempts += attempt.number == 1 ? 1 : 0;
      } else if (latency_ms <= source.timeout_ms) {
        ++outcome.late;
      }
      estimate_.Add(milliseconds(WorkMs(source)), Now());
      return true;
    });
    while (running_.size() < kSlots && !delivered_.empty() &&
           delivered_.front().at_ms <= now_ms_) {
      const Step step = delivered_.front();
      delivered_.pop_front();
      running_.push_back(
          {step.attempt,
           now_ms_ + WorkMs(sources_[attempts_[step.attempt].source])});
      progress_.OnChange(running_.size(), kSlots, false, Now());
    }
  }

  int WorkMs(const Source& source) const {
    return source.work_ms * (now_ms_ >= slow_from_ms_ ? 5 : 1);
  }

  struct Step {
    size_t attempt = 0;
    int at_ms = 0;
  };

  std::vector<Source> sources_;
  std::vector<Outcome> outcomes_;
  bool with_priorities_;
  int slow_from_ms_;
  std::mt19937 random_;
  int now_ms_ = 0;
  WaitingFlows queue_;
  RetryBudget refused_;
  ServiceTimeEstimate estimate_;
  SlotProgress progress_;
  std::vector<Attempt> attempts_;
  std::deque<Attempt> retries_;
  std::deque<Step> delivered_;
  std::vector<Step> running_;
};

// Runs the loads with today's rule and with priorities, for each of three
// seeds, and passes both outcomes to `check`.
template <typename F>
void Compare(const std::vector<Source>& sources, const F& check,
             int slow_from_ms = kNeverMs) {
  for (const unsigned seed : {1, 2, 3}) {
    INFO("seed " << seed);
    check(Replay(sources, false, seed, slow_from_ms).Run(8000),
          Replay(sources, true, seed, slow_from_ms).Run(8000));
  }
}

using Outcomes = std::vector<Outcome>;

// Guards against approvals that wait behind a burst of reads, and against reads
// that get their turn when it is too late for their target.
TEST_CASE(
    "admission_replay: more value is served on time in a burst of reads") {
  const Source reads{.per_second = 50, .to_ms = 8000, .priority = 1};
  const Source burst{
      .per_second = 75, .from_ms = 1000, .to_ms = 6000, .priority = 1};
  const Source approvals{.per_second = 10,
                         .to_ms = 8000,
                         .work_ms = 29,
                         .target_ms = 250,
                         .timeout_ms = 1500};
  const auto value = [](const Outcomes& it) {
    return it[0].on_time + it[1].on_time + 2 * it[2].on_time;
  };
  Compare({reads, burst, approvals},
          [&](const Outcomes& today, const Outcomes& result) {
            CHECK(value(result) > 1.4 * value(today));
            CHECK(result[2].on_time >= 0.98 * result[2].offered);
          });
}

// Guards against a class that gets no turn, or no place in the queue, while
// more urgent flows exceed what the upstream can serve.
TEST_CASE("admission_replay: a flood of urgent flows starves no other class") {
  const Source flood{.per_second = 150, .to_ms = 6000};
  const Source low{.per_second = 15, .to_ms = 6000, .priority = 3};
  Compare({flood, low}, [](const Outcomes& today, const Outcomes& result) {
    CHECK(today[1].on_time < 0.3 * today[1].offered);
    CHECK(result[1].on_time > 0.8 * result[1].offered);
    CHECK(result[0].on_time > 2 * today[0].on_time);
  });
}

// Guards against one caller address, or one entry instance with many callers,
// that takes the room of all others.
TEST_CASE("admission_replay: a flood from one place leaves room for others") {
  Source flood{.per_second = 300, .to_ms = 6000};
  SECTION("one caller address") { flood.caller = 100; }
  SECTION("one entry instance") { flood.entry = 100; }
  const Source others{.per_second = 40, .to_ms = 6000};
  Compare({flood, others}, [](const Outcomes& today, const Outcomes& result) {
    CHECK(today[1].on_time < 0.1 * today[1].offered);
    CHECK(result[1].on_time > 0.95 * result[1].offered);
  });
}

// Guards against retries that make the first attempts of other callers late.
TEST_CASE("admission_replay: retries go behind first attempts") {
  const Source callers{.per_second = 120, .to_ms = 6000, .retries = true};
  Compare({callers}, [](const Outcomes& today, const Outcomes& result) {
    CHECK(result[0].on_time_first_attempts >
          2 * today[0].on_time_first_attempts);
    CHECK(result[0].on_time > 1.5 * today[0].on_time);
  });
}

// Guards against flows that are held until their deadline after the upstream
// has become 5 times slower, although their turn cannot come before it.
TEST_CASE("admission_replay: flows are returned when the queue slows down") {
  const Source reads{.per_second = 80, .to_ms = 1700};
  const Source burst{.per_second = 250, .from_ms = 1700, .to_ms = 1900};
  const auto mean_wait_ms = [](const Outcomes& it) {
    return it[1].given_up_wait_ms / it[1].given_up;
  };
  Compare(
      {reads, burst},
      [&](const Outcomes& today, const Outcomes& result) {
        CHECK(mean_wait_ms(today) > 500);
        CHECK(mean_wait_ms(result) < 300);
        CHECK(result[0].on_time + result[0].late + 5 >=
              today[0].on_time + today[0].late);
      },
      /*slow_from_ms=*/1900);
}

}  // namespace
}  // namespace kumquatvalve::connection
