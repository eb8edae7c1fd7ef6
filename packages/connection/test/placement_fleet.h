#ifndef KUMQUATVALVE_CONNECTION_TEST_PLACEMENT_FLEET_H_
#define KUMQUATVALVE_CONNECTION_TEST_PLACEMENT_FLEET_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <span>
#include <utility>
#include <vector>

#include "kumquatvalve/connection/hello_schedule.h"
#include "kumquatvalve/connection/offer_decision.h"
#include "kumquatvalve/connection/placement_subset.h"
#include "kumquatvalve/connection/probe_order.h"
#include "kumquatvalve/connection/service_time_estimate.h"

namespace kumquatvalve::connection {

/// Callers of many entry instances, each of which sees the upstreams only
/// through their load reports: those that follow its own messages at a bounded
/// rate, those of returned flows, and those that answer hellos. Flows have one
/// request each. Placement, offers, hellos and service times are decided by the
/// code under test; only delays and work are modelled here.
class PlacementFleet {
 public:
  using Rule = std::function<SubsetPlacement(
      const request::FlowKey&, std::span<const request::Endpoint>,
      std::span<const PlacementCandidate>, size_t earlier_offers,
      const PlacementSettings&, uint64_t)>;

  struct Shape {
    size_t entries = 22;
    size_t upstreams = 58;
    size_t zones = 3;
    /// Arriving work as a share of what the slots can do.
    double utilization = 0.7;
    double mean_work_ms = 20;
    /// Least time between two reports of a sidecar to an entry instance.
    double report_interval_ms = 100;
    /// Whether the report with a returned flow counts for that interval.
    bool return_reports_count = true;
    /// Share of upstreams that take five times as long.
    double slow_share = 0;
    /// Number of upstreams that fail three of four requests at once.
    size_t failing = 0;
    /// Adds what other entry instances are expected to have placed since a
    /// report: its age times the upstream's mean rate of flows, times this.
    double others_weight = 0;
    std::chrono::microseconds zone_cost{12000};
  };

  struct Result {
    /// Work in progress of the busiest upstream over the mean: averaged over
    /// the run without its start.
    double busiest_over_mean = 0;
    /// The mean of the same over each second.
    double busiest_in_second = 0;
    double mean_wait_ms = 0;
    double p99_wait_ms = 0;
    /// Of flows whose request was served by another zone.
    double other_zone_share = 0;
    double offers_per_flow = 0;
    size_t refused = 0;
    size_t unused = 0;
    double reports_per_s = 0;
    /// Of the offers, those that considered all candidates.
    double left_share = 0;
    /// Share of flows whose holder is in the first batch, and in the first two,
    /// that `NextToProbe` chooses.
    double in_first_4 = 0;
    double in_first_12 = 0;
  };

  PlacementFleet(const Shape& shape, Rule rule, uint64_t seed)
      : shape_(shape),
        rule_(std::move(rule)),
        random_(seed),
        upstreams_(shape.upstreams),
        views_(shape.entries, std::vector<View>(shape.upstreams)) {
    for (size_t k = 0; k < shape.upstreams; ++k) {
      sidecars_.push_back({});
      sidecars_[k].address[14] = static_cast<uint8_t>(k >> 8);
      sidecars_[k].address[15] = static_cast<uint8_t>(k);
      sidecars_[k].port = 8172;
      // Spread over the zones.
      const auto slow_until = [&](size_t n) {
        return std::floor(static_cast<double>(n) * shape.slow_share);
      };
      upstreams_[k].slow = slow_until(k + 1) > slow_until(k);
      upstreams_[k].fails = k < shape.failing;
    }
    size_t slow = 0;
    for (const Upstream& it : upstreams_) {
      slow += it.slow ? 1 : 0;
    }
    const double capacity =
        kSlots * (static_cast<double>(shape.upstreams - slow) +
                  static_cast<double>(slow) / kSlowFactor);
    flows_per_ms_ = shape.utilization * capacity / shape.mean_work_ms;
  }

  Result Run(double seconds) {
    end_ms_ = seconds * 1000;
    seconds_.resize(static_cast<size_t>(seconds),
                    std::vector<double>(shape_.upstreams));
    StartHellos();
    ScheduleArrival();
    while (!events_.empty() && events_.top().at_ms < end_ms_) {
      const Event event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_ms_ = event.at_ms;
      event.run();
    }
    now_ms_ = end_ms_;
    for (Upstream& it : upstreams_) {
      AccountWork(&it);
    }
    return Summary(seconds);
  }

 private:
  static constexpr double kSlots = 2;
  static constexpr double kSlowFactor = 5;
  static constexpr double kCallerRoundTripMs = 6;
  static constexpr double kZoneDelayMs = 1.4;
  static constexpr double kOwnZoneDelayMs = 0.2;
  static constexpr double kTickMs = 50;
  static constexpr size_t kMaxOffers = 5;
  static constexpr size_t kFinalOffer = 3;
  static constexpr size_t kWarmUpSeconds = 2;

  struct Flow {
    request::FlowKey key;
    size_t entry = 0;
    double arrived_ms = 0;
    double work_ms = 0;
    size_t offers = 0;
    std::vector<size_t> offered;
  };
  struct Upstream {
    bool slow = false;
    bool fails = false;
    size_t opening = 0;
    size_t running = 0;
    std::deque<Flow> queue;
    std::deque<Flow> waiting;
    ServiceTimeEstimate service_time;
    size_t served = 0;
    double accounted_ms = 0;
    size_t InProgress() const { return running + queue.size(); }
  };
  struct View {
    PlacementCandidate reported;
    double placed = 0;
    double reported_ms = 0;
    double received_ms = 0;
    bool report_due = false;
    double last_report_ms = -1e9;
  };
  struct Event {
    double at_ms;
    uint64_t number;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(at_ms, number) > std::pair(other.at_ms, other.number);
    }
  };

  void After(double delay_ms, std::function<void()> run) {
    events_.push({now_ms_ + delay_ms, next_event_++, std::move(run)});
  }
  TimePoint Now() const {
    return TimePoint(std::chrono::hours(1)) +
           std::chrono::microseconds(std::llround(now_ms_ * 1000));
  }
  double Uniform() { return std::uniform_real_distribution<>()(random_); }
  bool SameZone(size_t entry, size_t k) const {
    return entry % shape_.zones == k % shape_.zones;
  }
  double Delay(size_t entry, size_t k) const {
    return SameZone(entry, k) ? kOwnZoneDelayMs : kZoneDelayMs;
  }

  void StartHellos() {
    HelloSchedule schedule;
    const size_t own = shape_.upstreams / shape_.zones;
    schedule.SetUpstreams(own, shape_.upstreams - own);
    for (size_t i = 0; i < shape_.entries; ++i) {
      for (size_t k = 0; k < shape_.upstreams; ++k) {
        const double interval = static_cast<double>(
            schedule.Interval(SameZone(i, k), false).count());
        After(Uniform() * interval,
              [this, i, k, interval] { Hello(i, k, interval); });
      }
    }
  }
  void Hello(size_t entry, size_t k, double interval) {
    const double quiet = now_ms_ - views_[entry][k].received_ms;
    if (quiet >= interval) {
      After(Delay(entry, k), [this, entry, k] { NoteMessage(entry, k); });
    }
    After(quiet >= interval ? interval : interval - quiet + 1,
          [this, entry, k, interval] { Hello(entry, k, interval); });
  }

  void ScheduleArrival() {
    After(std::exponential_distribution<>(flows_per_ms_)(random_), [this] {
      Flow flow;
      const uint64_t n = ++flows_;
      for (size_t i = 0; i < 8; ++i) {
        flow.key.caller.address[8 + i] = static_cast<uint8_t>(n >> (8 * i));
      }
      flow.entry = random_() % shape_.entries;
      flow.arrived_ms = now_ms_;
      // One of 33 requests takes seven times as long; the mean is 1.
      std::lognormal_distribution<double> spread(-0.125 - std::log(39. / 33),
                                                 0.5);
      flow.work_ms =
          shape_.mean_work_ms * spread(random_) * (random_() % 33 == 0 ? 7 : 1);
      Offer(std::move(flow));
      ScheduleArrival();
    });
  }

  void Offer(Flow flow) {
    if (flow.offers == kMaxOffers) {
      ++refused_;
      return;
    }
    std::vector<PlacementCandidate> candidates;
    for (size_t k = 0; k < shape_.upstreams; ++k) {
      const View& view = views_[flow.entry][k];
      PlacementCandidate it = view.reported;
      const double others = shape_.others_weight * flows_per_ms_ /
                            static_cast<double>(shape_.upstreams) *
                            (now_ms_ - view.reported_ms);
      it.slots = kSlots;
      it.same_zone = SameZone(flow.entry, k);
      it.in_progress += view.placed + others;
      it.open_flows += view.placed;
      candidates.push_back(it);
    }
    const auto [placement, use] =
        rule_(flow.key, sidecars_, candidates, flow.offers,
              {.zone_cost = shape_.zone_cost}, random_());
    const size_t k = *placement.chosen;
    if (flow.offers == 0) {
      ++placed_;
    }
    ++offers_;
    left_ += use == SubsetUse::kLeft ? 1 : 0;
    ++flow.offers;
    const bool final_offer = flow.offers >= kFinalOffer ||
                             std::find(flow.offered.begin(), flow.offered.end(),
                                       k) != flow.offered.end();
    flow.offered.push_back(k);
    views_[flow.entry][k].placed += 1;
    After(Delay(flow.entry, k),
          [this, k, final_offer, flow] { OnOffer(k, flow, final_offer); });
  }

  void OnOffer(size_t k, const Flow& flow, bool final_offer) {
    Upstream& upstream = upstreams_[k];
    NoteMessage(flow.entry, k);
    switch (DecideOffer(State(&upstream), final_offer, kWaitLimit)) {
      case OfferAction::kDeliver:
        Deliver(k, flow);
        return;
      case OfferAction::kWait:
        upstream.waiting.push_back(flow);
        return;
      case OfferAction::kReturn:
        SendReport(flow.entry, k);
        if (shape_.return_reports_count) {
          views_[flow.entry][k].report_due = false;
          views_[flow.entry][k].last_report_ms = now_ms_;
        }
        After(Delay(flow.entry, k), [this, flow] { Offer(flow); });
    }
  }

  static constexpr std::chrono::milliseconds kWaitLimit{600};

  OfferState State(Upstream* it) {
    OfferState state;
    state.slots = static_cast<size_t>(kSlots);
    state.work = it->InProgress() + it->opening;
    state.waiting = it->waiting.size();
    state.service_time = it->service_time.Value(Now());
    return state;
  }

  void Deliver(size_t k, const Flow& flow) {
    ++upstreams_[k].opening;
    SampleProbes(flow, k);
    After(kCallerRoundTripMs + 2 * Delay(flow.entry, k), [this, k, flow] {
      --upstreams_[k].opening;
      NoteMessage(flow.entry, k);
      AccountWork(&upstreams_[k]);
      upstreams_[k].queue.push_back(flow);
      StartWork(k);
    });
  }

  void StartWork(size_t k) {
    Upstream& upstream = upstreams_[k];
    while (static_cast<double>(upstream.running) < kSlots &&
           !upstream.queue.empty()) {
      Flow flow = std::move(upstream.queue.front());
      upstream.queue.pop_front();
      ++upstream.running;
      ++upstream.served;
      if (now_ms_ > kWarmUpSeconds * 1000) {
        waits_ms_.push_back(now_ms_ - flow.arrived_ms - kCallerRoundTripMs -
                            3 * kOwnZoneDelayMs);
        other_zone_ += SameZone(flow.entry, k) ? 0 : 1;
      }
      const double work_ms = upstream.fails && random_() % 4 != 0 ? 0.5
                             : upstream.slow ? flow.work_ms * kSlowFactor
                                             : flow.work_ms;
      After(work_ms, [this, k, work_ms, entry = flow.entry] {
        OnWorkDone(k, work_ms, entry);
      });
    }
  }

  void OnWorkDone(size_t k, double work_ms, size_t entry) {
    Upstream& upstream = upstreams_[k];
    AccountWork(&upstream);
    --upstream.running;
    upstream.service_time.Add(
        std::chrono::duration<double, std::milli>(work_ms), Now());
    // The caller acknowledges the response.
    After(kCallerRoundTripMs, [this, entry, k] { NoteMessage(entry, k); });
    StartWork(k);
    while (!upstream.waiting.empty() && HasRoom(State(&upstream))) {
      const Flow flow = std::move(upstream.waiting.front());
      upstream.waiting.pop_front();
      Deliver(k, flow);
    }
  }

  // A message of an entry instance arrived at a sidecar, which answers with a
  // report at a bounded rate.
  void NoteMessage(size_t entry, size_t k) {
    View& view = views_[entry][k];
    if (view.report_due) {
      return;
    }
    view.report_due = true;
    const double earliest = view.last_report_ms + shape_.report_interval_ms;
    After(std::max(0.0, earliest - now_ms_) + Uniform() * kTickMs,
          [this, entry, k] {
            View& due = views_[entry][k];
            const double next = due.last_report_ms + shape_.report_interval_ms;
            if (!due.report_due || now_ms_ < next) {
              return;
            }
            due.report_due = false;
            due.last_report_ms = now_ms_;
            SendReport(entry, k);
          });
  }

  void SendReport(size_t entry, size_t k) {
    ++reports_;
    Upstream& it = upstreams_[k];
    PlacementCandidate report;
    report.in_progress =
        static_cast<double>(it.InProgress() + it.opening + it.waiting.size());
    report.service_time = it.service_time.Value(Now());
    After(Delay(entry, k), [this, entry, k, report] {
      View& view = views_[entry][k];
      view.reported = report;
      view.placed = 0;
      view.reported_ms = view.received_ms = now_ms_;
    });
  }

  // The entry instance that placed the flow gets its packets after a restart,
  // too.
  void SampleProbes(const Flow& flow, size_t k) {
    if (flows_ % 16 != 0) {
      return;
    }
    ++samples_;
    const auto own_zone = [&](const request::Endpoint& it) {
      return SameZone(flow.entry, it.address[14] * 256U + it.address[15]);
    };
    std::vector<request::Endpoint> left = sidecars_;
    for (size_t batch = 0; batch < 2; ++batch) {
      const auto chosen = NextToProbe(flow.key, left, own_zone, batch);
      for (const request::Endpoint& it : chosen) {
        if (it == sidecars_[k]) {
          in_first_4_ += batch == 0 ? 1 : 0;
          ++in_first_12_;
        }
        std::erase(left, it);
      }
    }
  }

  // Adds the work in progress since the last change to the sums by second.
  void AccountWork(Upstream* it) {
    const auto k = static_cast<size_t>(it - upstreams_.data());
    while (it->accounted_ms < now_ms_) {
      const auto second = static_cast<size_t>(it->accounted_ms / 1000);
      const double until =
          std::min(now_ms_, static_cast<double>(second + 1) * 1000);
      if (second < seconds_.size()) {
        seconds_[second][k] +=
            (until - it->accounted_ms) * static_cast<double>(it->InProgress());
      }
      it->accounted_ms = until;
    }
  }

  double BusiestOverMean(size_t window) const {
    double sum = 0;
    size_t n = 0;
    window = std::min(window, seconds_.size() - kWarmUpSeconds);
    for (size_t at = kWarmUpSeconds; at + window <= seconds_.size();
         at += window) {
      double total = 0;
      double most = 0;
      for (size_t k = 0; k < shape_.upstreams; ++k) {
        double work = 0;
        for (size_t i = 0; i < window; ++i) {
          work += seconds_[at + i][k];
        }
        total += work;
        most = std::max(most, work);
      }
      sum += most * static_cast<double>(shape_.upstreams) / total;
      ++n;
    }
    return sum / static_cast<double>(n);
  }

  Result Summary(double seconds) {
    Result result;
    result.busiest_over_mean = BusiestOverMean(seconds_.size());
    result.busiest_in_second = BusiestOverMean(1);
    const auto n = static_cast<double>(waits_ms_.size());
    for (const double it : waits_ms_) {
      result.mean_wait_ms += it / n;
    }
    const auto p99 = waits_ms_.begin() + static_cast<ptrdiff_t>(n * 0.99);
    std::nth_element(waits_ms_.begin(), p99, waits_ms_.end());
    result.p99_wait_ms = *p99;
    result.other_zone_share = other_zone_ / n;
    result.offers_per_flow = offers_ / placed_;
    result.refused = refused_;
    for (const Upstream& it : upstreams_) {
      result.unused += it.served == 0 ? 1 : 0;
    }
    result.reports_per_s = reports_ / seconds;
    result.left_share = left_ / offers_;
    result.in_first_4 = in_first_4_ / samples_;
    result.in_first_12 = in_first_12_ / samples_;
    return result;
  }

  Shape shape_;
  Rule rule_;
  std::mt19937_64 random_;
  std::vector<request::Endpoint> sidecars_;
  std::vector<Upstream> upstreams_;
  std::vector<std::vector<View>> views_;
  std::priority_queue<Event> events_;
  uint64_t next_event_ = 0;
  double now_ms_ = 0;
  double end_ms_ = 0;
  double flows_per_ms_ = 0;
  uint64_t flows_ = 0;
  std::vector<std::vector<double>> seconds_;
  std::vector<double> waits_ms_;
  size_t refused_ = 0;
  double placed_ = 0;
  double offers_ = 0;
  double left_ = 0;
  double other_zone_ = 0;
  double reports_ = 0;
  double samples_ = 0;
  double in_first_4_ = 0;
  double in_first_12_ = 0;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_TEST_PLACEMENT_FLEET_H_
