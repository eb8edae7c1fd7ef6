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
/// Three missed pings at intervals of 500 ms and the confirmation by a second
/// observer.
constexpr std::chrono::seconds kDeathDetection(2);
/// Initial retransmission timeout of a SYN (RFC 6298).
constexpr std::chrono::seconds kSynRetransmissionTimeout(1);
constexpr std::chrono::milliseconds kTickInterval(50);
/// Waiting time, in seconds, that a refused flow is counted with; longer than
/// that of any other flow.
constexpr double kRefusedWait = 1e3;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Time-weighted means of several series of values, by window.
class WindowMean {
 public:
  WindowMean(Duration window, size_t series)
      : window_(window),
        values_(series),
        accumulated_until_(series),
        sums_(series) {}

  void Add(size_t series, double change, TimePoint now) {
    Accumulate(series, now);
    values_[series] += change;
  }

  /// Means of `series` in the windows that ended before `now`.
  std::vector<double> Means(size_t series, TimePoint now) {
    Accumulate(series, now);
    const size_t n = static_cast<size_t>(now.time_since_epoch() / window_);
    std::vector<double> means = sums_[series];
    means.resize(n);
    for (double& it : means) {
      it /= ToSeconds(window_);
    }
    return means;
  }

 private:
  void Accumulate(size_t series, TimePoint now) {
    TimePoint& since = accumulated_until_[series];
    while (since < now) {
      const size_t n = static_cast<size_t>(since.time_since_epoch() / window_);
      const TimePoint end =
          std::min(now, TimePoint(window_ * static_cast<int64_t>(n + 1)));
      sums_[series].resize(std::max(sums_[series].size(), n + 1));
      sums_[series][n] += values_[series] * ToSeconds(end - since);
      since = end;
    }
  }

  Duration window_;
  std::vector<double> values_;
  std::vector<TimePoint> accumulated_until_;
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
        useful_slots_(settings.window, 1) {
    std::vector<version::UpstreamEntry> entries;
    for (size_t i = 0; i < upstreams_.size(); ++i) {
      version::UpstreamEntry entry;
      entry.instance = {i + 1};
      entry.incarnation = {1};
      entry.zone = request::AvailabilityZone(
          settings.deployment.availability_zones[UpstreamZone(i)]);
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
    ScheduleNextArrival();
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
                ToSeconds(end.time_since_epoch()));
      }
    }
    result_.useful_slots = useful_slots_.Means(0, end);
    return std::move(result_);
  }

 private:
  static constexpr request::ServiceId kService{1};

  struct Flow {
    int attempt = 0;
    size_t owner = 0;
    /// When the entry instance received the first SYN of the current attempt.
    TimePoint arrived{};
    bool started = false;
    bool finished = false;
    /// Incremented when an attempt ends; events of earlier attempts are
    /// ignored.
    uint32_t epoch = 0;
  };
  struct HeldPacket {
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
    std::vector<HeldPacket> held;
    uint32_t busy_slots = 0;
    /// Unfinished flows that were sent to it; used by least connections.
    uint32_t flows = 0;
    std::deque<Request> queue;
    bool lost = false;
    bool detected_lost = false;
  };

  size_t UpstreamZone(size_t upstream) const {
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

  request::FlowKey AttemptFlowKey(size_t flow) const {
    request::FlowKey key;
    for (size_t i = 0; i < 8; ++i) {
      key.caller.address[8 + i] = static_cast<uint8_t>(flow >> (8 * i));
    }
    key.caller.port = static_cast<uint16_t>(1024 + flows_[flow].attempt);
    key.service.port = 443;
    key.protocol = 6;
    return key;
  }

  void ScheduleNextArrival() {
    if (next_arrival_ == arrivals_.size()) {
      return;
    }
    const size_t flow = next_arrival_++;
    events_.ScheduleAfter(TimePoint(arrivals_[flow].at) - events_.now(),
                          [this, flow] {
                            ScheduleNextArrival();
                            Connect(flow);
                          });
  }

  void Connect(size_t flow) {
    Flow& it = flows_[flow];
    ++it.attempt;
    ++result_.attempts;
    it.arrived = events_.now();
    const uint32_t epoch = it.epoch;
    events_.ScheduleAfter(settings_.max_wait, [this, flow, epoch] {
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
    // Each attempt uses another source port and therefore another row.
    const uint64_t hash = arrivals_[flow].hash +
                          static_cast<uint64_t>(it.attempt - 1) * 0x9e3779b1;
    const size_t row = hash & (table_.owner.size() - 1);
    size_t target = table_.owner[row];
    if (upstreams_[target].detected_lost) {
      target = table_.backup[row];
    }
    if (upstreams_[target].detected_lost) {
      target = FindSurvivor(hash);
    }
    it.owner = target;
    switch (settings_.spread) {
      case Spread::kPolicy:
        events_.ScheduleAfter(
            Delay(EntryZone(flow), UpstreamZone(target)),
            [this, flow, epoch, target] {
              FirstPacket(target, {flow, 0, events_.now()}, epoch);
            });
        return;
      case Spread::kHash:
        break;
      case Spread::kRoundRobin:
        do {
          target = round_robin_++ % upstreams_.size();
        } while (upstreams_[target].detected_lost);
        break;
      case Spread::kLeastConnections:
        target = UpstreamWithLeastFlows();
        break;
      case Spread::kSharedQueue:
        events_.ScheduleAfter(RoundTrip(), [this, flow, epoch] {
          shared_.push_back({flow, epoch});
          RunSharedQueue();
        });
        return;
    }
    ++upstreams_[target].flows;
    if (upstreams_[target].lost) {
      ScheduleSynRetransmission(flow, epoch);
      return;
    }
    ScheduleRequest(flow, epoch, target);
  }

  size_t FindSurvivor(uint64_t hash) const {
    size_t target = hash % upstreams_.size();
    while (upstreams_[target].detected_lost) {
      target = (target + 1) % upstreams_.size();
    }
    return target;
  }

  size_t UpstreamWithLeastFlows() {
    // Starts the search at another upstream each time, which spreads ties
    // evenly.
    const size_t first = round_robin_++;
    size_t best = upstreams_.size();
    for (size_t i = 0; i < upstreams_.size(); ++i) {
      const size_t it = (first + i) % upstreams_.size();
      if (!upstreams_[it].detected_lost &&
          (best == upstreams_.size() ||
           upstreams_[it].flows < upstreams_[best].flows)) {
        best = it;
      }
    }
    return best;
  }

  void ScheduleSynRetransmission(size_t flow, uint32_t epoch) {
    events_.ScheduleAfter(kSynRetransmissionTimeout,
                          [this, flow, epoch] { SendSyn(flow, epoch); });
  }

  void FirstPacket(size_t at, const HeldPacket& held, uint32_t epoch) {
    if (flows_[held.flow].epoch != epoch) {
      return;
    }
    if (upstreams_[at].lost) {
      ScheduleSynRetransmission(held.flow, epoch);
      return;
    }
    if (RequestAdmission(at, held)) {
      upstreams_[at].held.push_back(held);
    }
    SendReports(at);
  }

  /// @return whether the first packet stays held.
  bool RequestAdmission(size_t at, const HeldPacket& held) {
    const size_t flow = held.flow;
    const uint32_t epoch = flows_[flow].epoch;
    const Admission admission = upstreams_[at].policy->FirstPacket(
        {AttemptFlowKey(flow), held.passed, held.arrived}, events_.now());
    switch (admission.kind) {
      case Admission::Kind::kAccept:
        ScheduleRequest(flow, epoch, at);
        return false;
      case Admission::Kind::kHold:
        events_.ScheduleAfter(
            std::max(Duration(1), admission.retry_at - events_.now()),
            [this, at, flow, epoch] { RetryAdmission(at, flow, epoch); });
        return true;
      case Admission::Kind::kPass: {
        ++result_.passed_packets;
        const size_t to = admission.pass_to.value - 1;
        const uint8_t passed = held.passed + 1;
        events_.ScheduleAfter(
            Delay(UpstreamZone(at), UpstreamZone(to)),
            [this, to, flow, passed, epoch] {
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

  void RetryAdmission(size_t at, size_t flow, uint32_t epoch) {
    if (flows_[flow].epoch != epoch || upstreams_[at].lost) {
      return;
    }
    std::vector<HeldPacket>& held = upstreams_[at].held;
    const auto it =
        std::find_if(held.begin(), held.end(),
                     [&](const HeldPacket& one) { return one.flow == flow; });
    if (it != held.end()) {
      RetryHeldPackets(at);
    }
  }

  void RetryHeldPackets(size_t at) {
    if (upstreams_[at].lost) {
      return;
    }
    std::vector<HeldPacket> held;
    held.swap(upstreams_[at].held);
    for (const HeldPacket& it : held) {
      if (RequestAdmission(at, it)) {
        upstreams_[at].held.push_back(it);
      }
    }
    SendReports(at);
  }

  void SendReports(size_t at) {
    for (const connection::AddressedReport& it :
         upstreams_[at].policy->MakeReports(events_.now())) {
      const size_t to = it.to.value - 1;
      events_.ScheduleAfter(
          Delay(UpstreamZone(at), UpstreamZone(to)), [this, at, to, it] {
            if (upstreams_[to].lost || upstreams_[at].detected_lost) {
              return;
            }
            upstreams_[to].policy->OnLoadReport({at + 1}, it.report,
                                                events_.now());
            RetryHeldPackets(to);
          });
    }
  }

  void Tick() {
    for (size_t i = 0; i < upstreams_.size(); ++i) {
      if (!upstreams_[i].lost) {
        SendReports(i);
      }
    }
    events_.ScheduleAfter(kTickInterval, [this] { Tick(); });
  }

  /// Schedules the arrival of the request at the upstream after the SYN-ACK has
  /// reached the caller.
  void ScheduleRequest(size_t flow, uint32_t epoch, size_t at) {
    events_.ScheduleAfter(
        RoundTrip() + Delay(EntryZone(flow), UpstreamZone(at)),
        [this, flow, epoch, at] { OnRequest(flow, epoch, at); });
  }

  void OnRequest(size_t flow, uint32_t epoch, size_t at) {
    Upstream& upstream = upstreams_[at];
    if (upstream.lost) {
      return;
    }
    if (upstream.policy) {
      upstream.policy->OnRequest(EpochFlowKey(flow, epoch), events_.now());
    }
    in_progress_.Add(at, 1, events_.now());
    upstream.queue.push_back({flow, epoch});
    RunQueue(at);
  }

  request::FlowKey EpochFlowKey(size_t flow, uint32_t epoch) const {
    request::FlowKey key = AttemptFlowKey(flow);
    key.caller.port = static_cast<uint16_t>(1025 + epoch);
    return key;
  }

  void RunQueue(size_t at) {
    Upstream& upstream = upstreams_[at];
    while (upstream.busy_slots < settings_.service.slots &&
           !upstream.queue.empty()) {
      const Request request = upstream.queue.front();
      upstream.queue.pop_front();
      StartWork(at, request);
    }
  }

  void RunSharedQueue() {
    for (size_t at = 0; at < upstreams_.size(); ++at) {
      while (upstreams_[at].busy_slots < settings_.service.slots &&
             !upstreams_[at].lost && !shared_.empty()) {
        const Request request = shared_.front();
        shared_.pop_front();
        if (flows_[request.flow].epoch == request.epoch) {
          in_progress_.Add(at, 1, events_.now());
          StartWork(at, request);
        }
      }
    }
  }

  void StartWork(size_t at, const Request& request) {
    Flow& flow = flows_[request.flow];
    const Arrival& arrival = arrivals_[request.flow];
    const bool useful = flow.epoch == request.epoch;
    if (useful) {
      flow.started = true;
      ++result_.started;
      result_.placed_away += at != flow.owner;
      if (!arrival.is_long) {
        result_.short_waits.push_back(
            ToSeconds(events_.now() - flow.arrived - RoundTrip()));
      }
      useful_slots_.Add(0, 1, events_.now());
    }
    ++upstreams_[at].busy_slots;
    events_.ScheduleAfter(arrival.work, [this, at, request, useful] {
      Upstream& upstream = upstreams_[at];
      if (upstream.lost) {
        return;
      }
      --upstream.busy_slots;
      --upstream.flows;
      in_progress_.Add(at, -1, events_.now());
      if (useful) {
        useful_slots_.Add(0, -1, events_.now());
        flows_[request.flow].finished = true;
        ++result_.finished;
      }
      if (settings_.spread == Spread::kSharedQueue) {
        RunSharedQueue();
        return;
      }
      RunQueue(at);
      if (upstream.policy) {
        upstream.policy->OnResponseSegment(
            EpochFlowKey(request.flow, request.epoch), true, events_.now());
        RetryHeldPackets(at);
        // The response is complete when the caller has acknowledged all of it.
        events_.ScheduleAfter(RoundTrip(), [this, at, request] {
          if (upstreams_[at].lost) {
            return;
          }
          upstreams_[at].policy->OnResponseComplete(
              EpochFlowKey(request.flow, request.epoch), events_.now());
          RetryHeldPackets(at);
        });
      }
    });
  }

  void GiveUp(size_t flow) {
    Flow& it = flows_[flow];
    if (settings_.spread == Spread::kPolicy) {
      for (Upstream& upstream : upstreams_) {
        if (!upstream.lost) {
          upstream.policy->OnFlowEnd(AttemptFlowKey(flow), events_.now());
        }
        std::erase_if(upstream.held, [&](const HeldPacket& held) {
          return held.flow == flow;
        });
      }
    }
    ++it.epoch;
    if (it.attempt >= settings_.attempts) {
      ++result_.given_up;
      return;
    }
    // Callers retry after 0.5 to 1 s times the number of attempts so far, i.e.
    // twice that after the second attempt.
    const uint64_t jitter = (arrivals_[flow].hash >> 20) % 500;
    events_.ScheduleAfter(std::chrono::milliseconds(500 + jitter) * it.attempt,
                          [this, flow] { Connect(flow); });
  }

  void LoseZone() {
    for (size_t i = 0; i < upstreams_.size(); ++i) {
      if (UpstreamZone(i) == 0) {
        upstreams_[i].lost = true;
        useful_slots_.Add(0, -static_cast<double>(upstreams_[i].busy_slots),
                          events_.now());
      }
    }
    events_.ScheduleAfter(kDeathDetection, [this] {
      for (Upstream& it : upstreams_) {
        it.detected_lost = it.lost;
      }
      for (size_t at = 0; at < upstreams_.size(); ++at) {
        for (size_t i = 0; i < upstreams_.size(); ++i) {
          if (upstreams_[at].policy && upstreams_[i].lost) {
            upstreams_[at].policy->OnPeerRemoved({i + 1}, events_.now());
          }
        }
        if (upstreams_[at].policy) {
          RetryHeldPackets(at);
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
  size_t next_arrival_ = 0;
  size_t round_robin_ = 0;
  WindowMean in_progress_;
  WindowMean useful_slots_;
  TrialResult result_;
};

}  // namespace

double MeanWorkSeconds(const DeployedService& service) {
  return kSteadyUtilization * service.slots / kFlowsPerSecondPerUpstream;
}

std::vector<Arrival> DrawArrivals(const DeployedService& service, Demand demand,
                                  uint64_t flows, uint64_t seed) {
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> exponential(1);
  std::uniform_real_distribution<double> uniform(0, 1);
  const double capacity =
      service.upstreams * service.slots / MeanWorkSeconds(service);
  const double mean_short_s =
      MeanWorkSeconds(service) /
      (1 - kLongFlowShare + kLongFlowShare * kLongWorkFactor);
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
    arrival.is_long = uniform(random) < kLongFlowShare;
    const double work_s = exponential(random) * mean_short_s *
                          (arrival.is_long ? kLongWorkFactor : 1);
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
