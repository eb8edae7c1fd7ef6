#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "kumquatvalve/connection/offer_decision.h"
#include "kumquatvalve/connection/placement.h"
#include "kumquatvalve/connection/upstream_set.h"
#include "kumquatvalve/connection/warm_up_limit.h"

namespace kumquatvalve::connection {
namespace {

using std::chrono::milliseconds;

constexpr size_t kEntries = 22;
constexpr size_t kUpstreams = 46;
constexpr size_t kColdUpstreams = 10;
constexpr size_t kZones = 3;
constexpr uint16_t kSlots = 2;
constexpr uint16_t kRateTenths = 100;
constexpr double kSlack = 5;
constexpr size_t kMaxPerSecond = 20;  // 10 x 1.5 + 5
constexpr milliseconds kReportInterval{300};
constexpr milliseconds kTarget{250};
constexpr milliseconds kWaitLimit{600};
constexpr milliseconds kWork{20};
constexpr milliseconds kColdWork{60};
constexpr size_t kMaxOffers = 5;
constexpr size_t kFinalOffer = 3;

// The decisions of entry instances and sidecars about new flows of one request
// each, without the network. A cold upstream is three times slower, and fails
// a request beyond what it can handle in a second.
class Deployment {
 public:
  Deployment(bool limited, uint64_t seed)
      : random_(seed), upstreams_(kUpstreams) {
    std::vector<version::UpstreamRecord> records;
    for (size_t k = 0; k < kUpstreams; ++k) {
      request::Failure failure;
      version::UpstreamRecord record;
      record.sidecar = *request::ParseEndpoint(
          "10.0.0." + std::to_string(k + 1) + ":8172", &failure);
      record.service = request::ServiceName("patio");
      record.zone = ZoneOf(k);
      record.slots = kSlots;
      records.push_back(record);
      sidecars_.push_back(record.sidecar);
      WarmUpLimit& limit = upstreams_[k].limit;
      limit = limited ? WarmUpLimit(kSlack) : WarmUpLimit();
      limit.OnRate(kRateTenths, now_);
      limit.OnHeartbeat(0, milliseconds(IsCold(k) ? 10000 : 0), now_);
    }
    for (size_t i = 0; i < kEntries; ++i) {
      entries_.emplace_back(ZoneOf(i)).Replace(records, now_);
      for (size_t k = 0; k < kUpstreams; ++k) {
        Report(i, k);
      }
    }
  }

  void Run(milliseconds time, double flows_per_ms) {
    std::poisson_distribution<int> arrivals(flows_per_ms);
    for (const TimePoint end = now_ + time; now_ < end;) {
      now_ += milliseconds(1);
      ++tick_;
      for (size_t k = 0; k < kUpstreams; ++k) {
        upstreams_[k].limit.Advance(now_);
        AdmitWaiting(k);
        for (size_t i = 0; i < kEntries; ++i) {
          if ((tick_ + 13 * i + 7 * k) %
                  static_cast<size_t>(kReportInterval.count()) ==
              0) {
            Report(i, k);
          }
        }
      }
      for (int n = arrivals(random_); n > 0; --n) {
        ++flows_;
        Offer(random_() % kEntries);
      }
    }
  }

  // First packets of the busiest cold upstream in any second.
  size_t MostPerSecond() const {
    size_t most = 0;
    for (size_t k = 0; k < kColdUpstreams; ++k) {
      const auto& times = upstreams_[k].admitted_at;
      for (size_t i = 0; i < times.size(); ++i) {
        const auto end = std::upper_bound(times.begin(), times.end(),
                                          times[i] + milliseconds(1000));
        most = std::max(most, static_cast<size_t>(end - times.begin()) - i);
      }
    }
    return most;
  }
  // First packets of all cold upstreams.
  size_t OfCold() const {
    size_t n = 0;
    for (size_t k = 0; k < kColdUpstreams; ++k) {
      n += upstreams_[k].admitted_at.size();
    }
    return n;
  }
  double ServedShare() const {
    return static_cast<double>(served_) / static_cast<double>(flows_);
  }
  double OffersPerFlow() const {
    return static_cast<double>(offers_) / static_cast<double>(flows_);
  }

 private:
  struct Upstream {
    WarmUpLimit limit;
    std::array<TimePoint, kSlots> slot_free_at{};
    std::vector<TimePoint> ends_at;
    std::deque<TimePoint> waiting;
    std::vector<TimePoint> admitted_at;
  };

  static bool IsCold(size_t k) { return k < kColdUpstreams; }
  static request::AvailabilityZone ZoneOf(size_t i) {
    return request::AvailabilityZone("zone-" + std::to_string(i % kZones));
  }

  OfferState State(Upstream* upstream) const {
    std::erase_if(upstream->ends_at,
                  [this](TimePoint it) { return it <= now_; });
    OfferState state;
    state.slots = kSlots;
    state.work = upstream->ends_at.size();
    state.waiting = upstream->waiting.size();
    state.service_time = kWork;
    return state;
  }

  void Report(size_t i, size_t k) {
    Upstream& upstream = upstreams_[k];
    const OfferState state = State(&upstream);
    request::HopMessage message;
    message.kind = request::HopKind::kLoad;
    message.service = request::ServiceTagOf("patio");
    message.load.slots = kSlots;
    message.load.in_progress = static_cast<uint16_t>(state.work);
    message.load.opening = static_cast<uint16_t>(state.waiting);
    message.load.warm_up_allowance = upstream.limit.Allowance(state.waiting);
    UpstreamView* view = entries_[i].Find(sidecars_[k]);
    view->OnMessageReceived(now_);
    view->OnLoadReport(message, now_);
  }

  void Offer(size_t entry) {
    for (size_t n = 1; n <= kMaxOffers; ++n) {
      ++offers_;
      const auto views =
          entries_[entry].Candidates(request::ServiceTagOf("patio"), {}, now_);
      std::vector<PlacementCandidate> candidates;
      candidates.reserve(views.size());
      for (const UpstreamView* it : views) {
        candidates.push_back(it->Candidate());
      }
      UpstreamView* view =
          views[*ChooseUpstream(candidates,
                                {.zone_cost = std::chrono::microseconds(12000)},
                                random_())
                     .chosen];
      view->OnFlowPlaced();
      const size_t k = static_cast<size_t>(
          std::find(sidecars_.begin(), sidecars_.end(), view->sidecar()) -
          sidecars_.begin());
      Upstream& upstream = upstreams_[k];
      const bool final_offer = n >= kFinalOffer;
      const OfferState state = State(&upstream);
      const OfferAction action =
          upstream.limit.Restrict(DecideOffer(state, final_offer, kWaitLimit),
                                  final_offer, kWaitLimit, state.waiting);
      if (action == OfferAction::kDeliver) {
        Admit(k, now_);
        return;
      }
      if (action == OfferAction::kWait) {
        upstream.waiting.push_back(now_);
        return;
      }
      Report(entry, k);
    }
  }

  void AdmitWaiting(size_t k) {
    Upstream& upstream = upstreams_[k];
    while (!upstream.waiting.empty() && HasRoom(State(&upstream)) &&
           upstream.limit.Allows()) {
      const TimePoint arrived_at = upstream.waiting.front();
      upstream.waiting.pop_front();
      if (now_ - arrived_at <= kWaitLimit) {
        Admit(k, arrived_at);
      }
    }
  }

  void Admit(size_t k, TimePoint arrived_at) {
    Upstream& upstream = upstreams_[k];
    upstream.limit.OnFirstPacket();
    auto& times = upstream.admitted_at;
    times.push_back(now_);
    const bool fails =
        IsCold(k) && times.size() > kMaxPerSecond &&
        times[times.size() - 1 - kMaxPerSecond] + milliseconds(1000) >= now_;
    auto& slot = *std::min_element(upstream.slot_free_at.begin(),
                                   upstream.slot_free_at.end());
    slot = std::max(slot, now_) + (IsCold(k) ? kColdWork : kWork);
    upstream.ends_at.push_back(slot);
    served_ += !fails && slot - arrived_at <= kTarget ? 1 : 0;
  }

  std::mt19937_64 random_;
  TimePoint now_{std::chrono::hours(1)};
  size_t tick_ = 0;
  std::vector<Upstream> upstreams_;
  std::vector<request::Endpoint> sidecars_;
  std::vector<UpstreamSet> entries_;
  size_t flows_ = 0;
  size_t served_ = 0;
  size_t offers_ = 0;
};

// A burst of 2.2 times the reads of the meter-reading deployment while 10 of 46
// upstreams have just started. Guards against placement that fills upstreams
// beyond what they can handle because they look idle, and against a limit that
// leaves them unused or costs the flows that others could serve.
TEST_CASE("warm_up_replay: cold upstreams get what they can handle") {
  for (const uint64_t seed : {1, 2, 3}) {
    Deployment before(/*limited=*/false, seed);
    Deployment after(/*limited=*/true, seed);
    for (Deployment* it : {&before, &after}) {
      it->Run(milliseconds(5000), 2.87);
    }
    INFO("seed " << seed << ", today: " << before.MostPerSecond()
                 << " first packets a second at most, " << before.OfCold()
                 << " in all, served " << before.ServedShare() << ", offers "
                 << before.OffersPerFlow() << "; limited: "
                 << after.MostPerSecond() << ", " << after.OfCold() << ", "
                 << after.ServedShare() << ", " << after.OffersPerFlow());
    CHECK(before.MostPerSecond() > kMaxPerSecond);
    CHECK(after.MostPerSecond() <= kMaxPerSecond);
    // At least four fifths of the rate are used.
    CHECK(after.OfCold() >= kColdUpstreams * 5 * kRateTenths / 10 * 4 / 5);
    CHECK(after.ServedShare() > before.ServedShare());
    CHECK(after.ServedShare() > 0.95);
  }
}

}  // namespace
}  // namespace kumquatvalve::connection
