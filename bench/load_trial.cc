#include "load_trial.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <random>
#include <string>

#include "kumquatvalve/connection/load_policy.h"
#include "kumquatvalve/version/table_builder.h"

namespace kumquatvalve::bench {
namespace {

using connection::Admission;
using connection::LoadPolicy;
using TimePoint = EventQueue::TimePoint;

constexpr std::chrono::microseconds kDelayInZone(100);
/// Three missed pings at 500 ms and the exchange with a second observer.
constexpr std::chrono::seconds kDeathDetection(2);
/// The first repetition of a lost SYN (RFC 6298).
constexpr std::chrono::seconds kSynRepeat(1);
constexpr std::chrono::milliseconds kTick(50);
/// A refused flow counts as one that waited longer than any other, in seconds.
constexpr double kRefusedWait = 1e3;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Adds up value * time for each window.
class WindowMean {
 public:
  WindowMean(Duration window, size_t series)
      : window_(window), values_(series), since_(series), sums_(series) {}

  void Add(size_t series, double change, TimePoint now) {
    Settle(series, now);
    values_[series] += change;
  }

  /// Means of `series` in the windows that ended before `now`.
  std::vector<double> Means(size_t series, TimePoint now) {
    Settle(series, now);
    const size_t n = static_cast<size_t>(now.time_since_epoch() / window_);
    std::vector<double> means = sums_[series];
    means.resize(n);
    for (double& it : means) {
      it /= Seconds(window_);
    }
    return means;
  }

 private:
  void Settle(size_t series, TimePoint now) {
    TimePoint& since = since_[series];
    while (since < now) {
      const size_t n = static_cast<size_t>(since.time_since_epoch() / window_);
      const TimePoint end =
          std::min(now, TimePoint(window_ * static_cast<int64_t>(n + 1)));
      sums_[series].resize(std::max(sums_[series].size(), n + 1));
      sums_[series][n] += values_[series] * Seconds(end - since);
      since = end;
    }
  }

  Duration window_;
  std::vector<double> values_;
  std::vector<TimePoint> since_;
  std::vector<std::vector<double>> sums_;
};

class Trial {
 public:
  Trial(const TrialSettings& settings, const std::vector<Arrival>& arrivals)
      : settings_(settings),
        arrivals_(arrivals),
        flows_(arrivals.size()),
        upstreams_(settings.service.upstreams),
        in_progress_(settings.window, upstreams_.size()),
        useful_(settings.window, 1) {
    std::vector<version::UpstreamEntry> entries;
    for (size_t i = 0; i < upstreams_.size(); ++i) {
      version::UpstreamEntry entry;
      entry.instance = {i + 1};
      entry.incarnation = {1};
      entry.zone = request::AvailabilityZone(
          settings.deployment.availability_zones[Zone(i)]);
      entry.slots = settings.service.slots;
      entries.push_back(entry);
    }
    table_ = version::BuildTable(kService, entries, version::kDefaultRows,
                                 nullptr, {1});
    if (settings_.spread == Spread::kPolicy) {
      for (size_t i = 0; i < upstreams_.size(); ++i) {
        upstreams_[i].policy = std::make_unique<LoadPolicy>(
            kService, request::InstanceId{i + 1}, settings.service.slots);
        upstreams_[i].policy->OnTable(table_, events_.now());
      }
    }
  }

  TrialResult Run() {
    if (settings_.spread == Spread::kPolicy) {
      Tick();
    }
    if (settings_.zone_loss_at) {
      events_.ScheduleAfter(*settings_.zone_loss_at, [this] { LoseZone(); });
    }
    ScheduleNext();
    events_.RunUntil(TimePoint(arrivals_.back().at));
    const TimePoint end = events_.now();
    for (size_t i = 0; i < upstreams_.size(); ++i) {
      const std::vector<double> means = in_progress_.Means(i, end);
      result_.in_progress.resize(means.size());
      for (size_t n = 0; n < means.size(); ++n) {
        result_.in_progress[n].push_back(means[n]);
      }
      if (upstreams_[i].policy) {
        result_.report_bytes_per_second = std::max(
            result_.report_bytes_per_second,
            static_cast<double>(upstreams_[i].policy->view().sent_bytes()) /
                Seconds(end.time_since_epoch()));
      }
    }
    result_.useful_slots = useful_.Means(0, end);
    return std::move(result_);
  }

 private:
  static constexpr request::ServiceId kService{1};

  struct Flow {
    int attempt = 0;
    size_t owner = 0;
    /// When the entry instance got the SYN of the present attempt.
    TimePoint arrived{};
    bool started = false;
    bool finished = false;
    /// Counts upwards when an attempt ends; events of earlier ones are void.
    uint32_t epoch = 0;
  };
  struct Held {
    size_t flow;
    uint8_t passed;
    TimePoint arrived;
  };
  struct Request {
    size_t flow;
    uint32_t epoch;
  };
  struct Upstream {
    std::unique_ptr<LoadPolicy> policy;
    std::vector<Held> held;
    uint32_t working = 0;
    /// Flows spread to it and not finished, for least connections.
    uint32_t flows = 0;
    std::deque<Request> queue;
    bool lost = false;
    bool known_lost = false;
  };

  size_t Zone(size_t upstream) const {
    return ZoneOf(settings_.deployment, upstream);
  }
  size_t EntryZone(size_t flow) const {
    return (arrivals_[flow].hash >> 40) %
           settings_.deployment.availability_zones.size();
  }
  Duration Delay(size_t zone_a, size_t zone_b) const {
    return zone_a == zone_b ? Duration(kDelayInZone)
                            : Duration(settings_.deployment.zone_delay);
  }
  Duration RoundTrip() const { return 2 * settings_.deployment.caller_delay; }

  request::FlowKey Key(size_t flow) const {
    request::FlowKey key;
    for (size_t i = 0; i < 8; ++i) {
      key.caller.address[8 + i] = static_cast<uint8_t>(flow >> (8 * i));
    }
    key.caller.port = static_cast<uint16_t>(1024 + flows_[flow].attempt);
    key.service.port = 443;
    key.protocol = 6;
    return key;
  }

  void ScheduleNext() {
    if (next_ == arrivals_.size()) {
      return;
    }
    const size_t flow = next_++;
    events_.ScheduleAfter(TimePoint(arrivals_[flow].at) - events_.now(),
                          [this, flow] {
                            ScheduleNext();
                            Connect(flow);
                          });
  }

  void Connect(size_t flow) {
    Flow& it = flows_[flow];
    ++it.attempt;
    ++result_.attempts;
    it.arrived = events_.now();
    const uint32_t epoch = it.epoch;
    events_.ScheduleAfter(settings_.patience, [this, flow, epoch] {
      if (flows_[flow].epoch == epoch && !flows_[flow].started) {
        GiveUp(flow);
      }
    });
    SendSyn(flow, epoch);
  }

  void SendSyn(size_t flow, uint32_t epoch) {
    Flow& it = flows_[flow];
    if (it.epoch != epoch) {
      return;
    }
    // Each attempt comes from another port and so falls into another row.
    const uint64_t hash = arrivals_[flow].hash +
                          static_cast<uint64_t>(it.attempt - 1) * 0x9e3779b1;
    const size_t row = hash & (table_.owner.size() - 1);
    size_t target = table_.owner[row];
    if (upstreams_[target].known_lost) {
      target = table_.backup[row];
    }
    if (upstreams_[target].known_lost) {
      target = Survivor(hash);
    }
    it.owner = target;
    switch (settings_.spread) {
      case Spread::kPolicy:
        events_.ScheduleAfter(
            Delay(EntryZone(flow), Zone(target)), [this, flow, epoch, target] {
              FirstPacket(target, {flow, 0, events_.now()}, epoch);
            });
        return;
      case Spread::kHash:
        break;
      case Spread::kRoundRobin:
        do {
          target = round_robin_++ % upstreams_.size();
        } while (upstreams_[target].known_lost);
        break;
      case Spread::kLeastConnections:
        target = LeastFlows();
        break;
      case Spread::kSharedQueue:
        events_.ScheduleAfter(RoundTrip(), [this, flow, epoch] {
          shared_.push_back({flow, epoch});
          RunShared();
        });
        return;
    }
    ++upstreams_[target].flows;
    if (upstreams_[target].lost) {
      Repeat(flow, epoch);
      return;
    }
    Handshake(flow, epoch, target);
  }

  size_t Survivor(uint64_t hash) const {
    size_t target = hash % upstreams_.size();
    while (upstreams_[target].known_lost) {
      target = (target + 1) % upstreams_.size();
    }
    return target;
  }

  size_t LeastFlows() {
    // Starts at another upstream each time, so that ties fall evenly.
    const size_t first = round_robin_++;
    size_t best = upstreams_.size();
    for (size_t i = 0; i < upstreams_.size(); ++i) {
      const size_t it = (first + i) % upstreams_.size();
      if (!upstreams_[it].known_lost &&
          (best == upstreams_.size() ||
           upstreams_[it].flows < upstreams_[best].flows)) {
        best = it;
      }
    }
    return best;
  }

  void Repeat(size_t flow, uint32_t epoch) {
    events_.ScheduleAfter(kSynRepeat,
                          [this, flow, epoch] { SendSyn(flow, epoch); });
  }

  void FirstPacket(size_t at, const Held& held, uint32_t epoch) {
    if (flows_[held.flow].epoch != epoch) {
      return;
    }
    if (upstreams_[at].lost) {
      Repeat(held.flow, epoch);
      return;
    }
    if (Ask(at, held)) {
      upstreams_[at].held.push_back(held);
    }
    SendReports(at);
  }

  /// @return whether the first packet stays held.
  bool Ask(size_t at, const Held& held) {
    const size_t flow = held.flow;
    const uint32_t epoch = flows_[flow].epoch;
    const Admission admission = upstreams_[at].policy->FirstPacket(
        {Key(flow), held.passed, held.arrived}, events_.now());
    switch (admission.kind) {
      case Admission::Kind::kAccept:
        Handshake(flow, epoch, at);
        return false;
      case Admission::Kind::kHold:
        events_.ScheduleAfter(
            std::max(Duration(1), admission.retry_at - events_.now()),
            [this, at, flow, epoch] { AskAgain(at, flow, epoch); });
        return true;
      case Admission::Kind::kPass: {
        ++result_.passes;
        const size_t to = admission.pass_to.value - 1;
        const uint8_t passed = held.passed + 1;
        events_.ScheduleAfter(
            Delay(Zone(at), Zone(to)), [this, to, flow, passed, epoch] {
              FirstPacket(to, {flow, passed, events_.now()}, epoch);
            });
        return false;
      }
      case Admission::Kind::kRefuse:
        break;
    }
    ++result_.refused;
    if (!arrivals_[flow].is_long) {
      result_.short_waits.push_back(kRefusedWait);
    }
    events_.ScheduleAfter(settings_.deployment.caller_delay,
                          [this, flow, epoch] {
                            if (flows_[flow].epoch == epoch) {
                              GiveUp(flow);
                            }
                          });
    return false;
  }

  void AskAgain(size_t at, size_t flow, uint32_t epoch) {
    if (flows_[flow].epoch != epoch || upstreams_[at].lost) {
      return;
    }
    std::vector<Held>& held = upstreams_[at].held;
    const auto it =
        std::find_if(held.begin(), held.end(),
                     [&](const Held& one) { return one.flow == flow; });
    if (it != held.end()) {
      RunHeld(at);
    }
  }

  void RunHeld(size_t at) {
    if (upstreams_[at].lost) {
      return;
    }
    std::vector<Held> held;
    held.swap(upstreams_[at].held);
    for (const Held& it : held) {
      if (Ask(at, it)) {
        upstreams_[at].held.push_back(it);
      }
    }
    SendReports(at);
  }

  void SendReports(size_t at) {
    for (const connection::AddressedReport& it :
         upstreams_[at].policy->MakeReports(events_.now())) {
      const size_t to = it.to.value - 1;
      events_.ScheduleAfter(Delay(Zone(at), Zone(to)), [this, at, to, it] {
        if (upstreams_[to].lost || upstreams_[at].known_lost) {
          return;
        }
        upstreams_[to].policy->OnLoadReport({at + 1}, it.report, events_.now());
        RunHeld(to);
      });
    }
  }

  void Tick() {
    for (size_t i = 0; i < upstreams_.size(); ++i) {
      if (!upstreams_[i].lost) {
        SendReports(i);
      }
    }
    events_.ScheduleAfter(kTick, [this] { Tick(); });
  }

  /// SYN-ACK to the caller, its request to the upstream.
  void Handshake(size_t flow, uint32_t epoch, size_t at) {
    events_.ScheduleAfter(
        RoundTrip() + Delay(EntryZone(flow), Zone(at)),
        [this, flow, epoch, at] { OnRequest(flow, epoch, at); });
  }

  void OnRequest(size_t flow, uint32_t epoch, size_t at) {
    Upstream& upstream = upstreams_[at];
    if (upstream.lost) {
      return;
    }
    if (upstream.policy) {
      upstream.policy->OnRequest(FlowKeyOfEpoch(flow, epoch), events_.now());
    }
    in_progress_.Add(at, 1, events_.now());
    upstream.queue.push_back({flow, epoch});
    RunQueue(at);
  }

  request::FlowKey FlowKeyOfEpoch(size_t flow, uint32_t epoch) const {
    request::FlowKey key = Key(flow);
    key.caller.port = static_cast<uint16_t>(1025 + epoch);
    return key;
  }

  void RunQueue(size_t at) {
    Upstream& upstream = upstreams_[at];
    while (upstream.working < settings_.service.slots &&
           !upstream.queue.empty()) {
      const Request request = upstream.queue.front();
      upstream.queue.pop_front();
      Work(at, request);
    }
  }

  void RunShared() {
    for (size_t at = 0; at < upstreams_.size(); ++at) {
      while (upstreams_[at].working < settings_.service.slots &&
             !upstreams_[at].lost && !shared_.empty()) {
        const Request request = shared_.front();
        shared_.pop_front();
        if (flows_[request.flow].epoch == request.epoch) {
          in_progress_.Add(at, 1, events_.now());
          Work(at, request);
        }
      }
    }
  }

  void Work(size_t at, const Request& request) {
    Flow& flow = flows_[request.flow];
    const Arrival& arrival = arrivals_[request.flow];
    const bool useful = flow.epoch == request.epoch;
    if (useful) {
      flow.started = true;
      ++result_.started;
      result_.placed_away += at != flow.owner;
      if (!arrival.is_long) {
        result_.short_waits.push_back(
            Seconds(events_.now() - flow.arrived - RoundTrip()));
      }
      useful_.Add(0, 1, events_.now());
    }
    ++upstreams_[at].working;
    events_.ScheduleAfter(arrival.work, [this, at, request, useful] {
      Upstream& upstream = upstreams_[at];
      if (upstream.lost) {
        return;
      }
      --upstream.working;
      --upstream.flows;
      in_progress_.Add(at, -1, events_.now());
      if (useful) {
        useful_.Add(0, -1, events_.now());
        flows_[request.flow].finished = true;
        ++result_.finished;
      }
      if (settings_.spread == Spread::kSharedQueue) {
        RunShared();
        return;
      }
      RunQueue(at);
      if (upstream.policy) {
        upstream.policy->OnAnswerSegment(
            FlowKeyOfEpoch(request.flow, request.epoch), true, events_.now());
        RunHeld(at);
        // The response is complete once the caller acknowledged all of it.
        events_.ScheduleAfter(RoundTrip(), [this, at, request] {
          if (upstreams_[at].lost) {
            return;
          }
          upstreams_[at].policy->OnAnswerComplete(
              FlowKeyOfEpoch(request.flow, request.epoch), events_.now());
          RunHeld(at);
        });
      }
    });
  }

  void GiveUp(size_t flow) {
    Flow& it = flows_[flow];
    if (settings_.spread == Spread::kPolicy) {
      for (Upstream& upstream : upstreams_) {
        if (!upstream.lost) {
          upstream.policy->OnFlowEnd(Key(flow), events_.now());
        }
        std::erase_if(upstream.held,
                      [&](const Held& held) { return held.flow == flow; });
      }
    }
    ++it.epoch;
    if (it.attempt >= settings_.attempts) {
      ++result_.given_up;
      return;
    }
    // Callers repeat after 0.5 to 1 s, twice that after the second attempt.
    const uint64_t jitter = (arrivals_[flow].hash >> 20) % 500;
    events_.ScheduleAfter(std::chrono::milliseconds(500 + jitter) * it.attempt,
                          [this, flow] { Connect(flow); });
  }

  void LoseZone() {
    for (size_t i = 0; i < upstreams_.size(); ++i) {
      if (Zone(i) == 0) {
        upstreams_[i].lost = true;
        useful_.Add(0, -static_cast<double>(upstreams_[i].working),
                    events_.now());
      }
    }
    events_.ScheduleAfter(kDeathDetection, [this] {
      for (Upstream& it : upstreams_) {
        it.known_lost = it.lost;
      }
      for (size_t at = 0; at < upstreams_.size(); ++at) {
        for (size_t i = 0; i < upstreams_.size(); ++i) {
          if (upstreams_[at].policy && upstreams_[i].lost) {
            upstreams_[at].policy->OnPeerGone({i + 1}, events_.now());
          }
        }
        if (upstreams_[at].policy) {
          RunHeld(at);
        }
      }
    });
  }

  const TrialSettings& settings_;
  const std::vector<Arrival>& arrivals_;
  EventQueue events_;
  version::ForwardingTable table_;
  std::vector<Flow> flows_;
  std::vector<Upstream> upstreams_;
  std::deque<Request> shared_;
  size_t next_ = 0;
  size_t round_robin_ = 0;
  WindowMean in_progress_;
  WindowMean useful_;
  TrialResult result_;
};

}  // namespace

double MeanWorkSeconds(const DeployedService& service) {
  return kSteadyUse * service.slots / kFlowsPerUpstream;
}

std::vector<Arrival> DrawArrivals(const DeployedService& service, Demand demand,
                                  uint64_t flows, uint64_t seed) {
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> exponential(1);
  std::uniform_real_distribution<double> uniform(0, 1);
  const double capacity =
      service.upstreams * service.slots / MeanWorkSeconds(service);
  const double mean_short_s =
      MeanWorkSeconds(service) / (1 - kLongShare + kLongShare * kLongFactor);
  std::vector<Arrival> arrivals;
  arrivals.reserve(flows);
  double at_s = 0;
  while (arrivals.size() < flows) {
    const auto at = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(at_s));
    at_s += exponential(random) / (capacity * demand(at));
    Arrival arrival;
    arrival.at = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(at_s));
    arrival.is_long = uniform(random) < kLongShare;
    const double work_s = exponential(random) * mean_short_s *
                          (arrival.is_long ? kLongFactor : 1);
    arrival.work = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(work_s));
    arrival.hash = random();
    arrivals.push_back(arrival);
  }
  return arrivals;
}

TrialResult RunTrial(const TrialSettings& settings,
                     const std::vector<Arrival>& arrivals) {
  return Trial(settings, arrivals).Run();
}

}  // namespace kumquatvalve::bench
