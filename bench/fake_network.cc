#include "fake_network.h"

#include <netinet/in.h>

#include <algorithm>
#include <cstring>
#include <variant>

#include "kumquatvalve/connection/reset_packet.h"
#include "kumquatvalve/request/holder_hint.h"

namespace kumquatvalve::bench {

namespace {

using connection::BuildSegment;
using connection::EmptySegment;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kRows = 512;
constexpr size_t kNoService = SIZE_MAX;
// A caller without progress for this long gives its connection up; of the same
// order as TCP's user timeout.
constexpr seconds kGiveUpTimeout{60};
constexpr milliseconds kInitialTimeout{300};
constexpr milliseconds kMaxTimeout{3000};
constexpr milliseconds kTickInterval{100};

// Content of every request and response.
struct Payload {
  uint32_t flow;
  uint32_t epoch;
  uint64_t service;
};

std::vector<std::byte> BuildPayloadSegment(const EmptySegment& segment,
                                           const Payload& payload) {
  std::vector<std::byte> bytes = BuildSegment(segment);
  const size_t header = bytes.size();
  bytes.resize(header + sizeof(payload));
  std::memcpy(bytes.data() + header, &payload, sizeof(payload));
  const auto total = static_cast<uint16_t>(bytes.size());
  bytes[2] = static_cast<std::byte>(total >> 8U);
  bytes[3] = static_cast<std::byte>(total & 0xffU);
  return bytes;
}

Payload ReadPayload(const request::ParsedPacket& packet) {
  Payload payload = {};
  std::memcpy(&payload,
              packet.bytes.data() + packet.bytes.size() - sizeof(payload),
              sizeof(payload));
  return payload;
}

// Whether an empty packet is a probe of a router and not a packet of the
// caller: the sequence number of a probe is one less than that of a packet of
// the caller, which need not be the latest one. The caller's own empty packets
// have the sequence number of one of its requests or of its FIN.
bool IsProbe(const request::ParsedPacket& packet, uint32_t isn,
             uint32_t send_next) {
  if (packet.syn || packet.fin || packet.rst) {
    return false;
  }
  const uint32_t sent = packet.sequence - isn;
  return packet.sequence + 1 == send_next ||
         (sent < send_next - isn && sent % sizeof(Payload) == 0);
}

// Sets the PSH flag in a segment built by `BuildSegment`.
void SetPush(std::vector<std::byte>* bytes) {
  constexpr size_t kFlagsOffset = 20 + 13;
  (*bytes)[kFlagsOffset] |= std::byte{0x08};
}

}  // namespace

connection::Admission RandomAdmissionPolicy::FirstPacket(
    const connection::AdmissionRequest& request, TimePoint now) {
  using Kind = connection::Admission::Kind;
  connection::Admission admission;
  admission.kind = Kind::kAccept;
  const double draw = std::uniform_real_distribution<>(0, 1)(random_);
  if (draw < hold_share_) {
    admission.kind = Kind::kHold;
    admission.retry_at = now + milliseconds(50);
  } else if (draw < hold_share_ + pass_share_ && request.passed < 2 &&
             !upstreams_.empty()) {
    admission.kind = Kind::kPass;
    admission.pass_to = upstreams_[random_() % upstreams_.size()].instance;
  } else if (draw >= 1 - refuse_share_) {
    admission.kind = Kind::kRefuse;
  }
  return admission;
}

struct FakeNetwork::Connection {
  uint32_t isn = 0;
  uint32_t receive_next = 0;
  uint32_t send_next = 0;
  bool open = false;
  bool closing = false;
};

struct FakeNetwork::Sidecar {
  size_t service = 0;
  size_t zone = 0;
  size_t endpoint = 0;
  version::UpstreamEntry entry;
  request::Incarnation incarnation;
  std::unique_ptr<Sink> sink;
  std::unique_ptr<RandomAdmissionPolicy> policy;
  std::unique_ptr<Router> router;
  bool upstream_alive = true;
  bool in_table = true;
  bool draining = false;
  TimePoint paused_until{};
  TimePoint drain_started_at{};
  uint64_t process_start = 0;
  std::unordered_map<request::FlowKey, Connection, request::FlowKeyHash>
      connections;
};

struct FakeNetwork::Entry {
  bool alive = true;
  TimePoint died_at{};
  // By service: the table in force and the one before it.
  std::vector<TablePtr> tables;
  std::vector<TablePtr> previous;
  std::unordered_map<request::InstanceId, request::Incarnation> incarnations;
  std::set<request::InstanceId> dead;
};

struct FakeNetwork::Service {
  request::ServiceId id;
  uint16_t port = 0;
  TablePtr table;
  TablePtr previous;
};

struct FakeNetwork::Caller {
  enum class State : uint8_t {
    kWaiting,
    kSynSent,
    kOpen,
    kFinSent,
    kDone,
    kBroken,
    kRefused,
  };
  State state = State::kWaiting;
  bool timestamps = false;
  bool reuses_port = false;
  bool upstream_lost = false;
  bool reached_upstream = false;
  bool refused = false;
  bool two_upstreams = false;
  bool cut_upstream = false;
  bool cut_caller = false;
  bool reset_received = false;
  bool hash_broken = false;
  bool one_previous_broken = false;
  uint8_t requests_done = 0;
  bool outstanding = false;
  uint16_t port = 0;
  uint32_t service = 0;
  uint32_t step = 0;
  uint32_t epoch = 0;
  uint32_t isn = 0;
  uint32_t send_next = 0;
  uint32_t receive_next = 0;
  uint32_t ts_echo = 0;
  int32_t payload_upstream = -1;
  int32_t holder = -1;
  request::InstanceId hash_choice;
  request::InstanceId table_choice;
  TimePoint last_progress_at{};
};

void FakeNetwork::Sink::Deliver(std::span<const std::byte> packet) {
  network->ReceiveAtUpstream(self, packet);
}

void FakeNetwork::Sink::Send(request::InstanceId peer,
                             const connection::PeerMessage& message) {
  network->SendPeerMessage(self, peer, message);
}

void FakeNetwork::Sink::Drop(request::ResultCode /*code*/) {}

void FakeNetwork::Sink::Forward(request::InstanceId peer,
                                const request::ForwardHeader& header,
                                std::span<const std::byte> packet) {
  const auto to = network->by_instance_.find(peer);
  if (to == network->by_instance_.end()) {
    return;
  }
  ++network->results_.second_hops;
  const Sidecar& target = *network->sidecars_[to->second];
  network->queue_.ScheduleAfter(
      network->DrawZoneDelay(*network->sidecars_[self], target),
      [network = network, endpoint = target.endpoint, header,
       bytes = std::vector<std::byte>(packet.begin(), packet.end())]() mutable {
        network->ReceiveAtSidecar(endpoint, header, std::move(bytes));
      });
}

void FakeNetwork::Sink::Answer(std::span<const std::byte> packet) {
  if (network->DrawChance(network->options_.loss)) {
    return;
  }
  const auto delay = network->options_.deployment.caller_delay +
                     network->DrawUniform(microseconds(0), microseconds(500));
  network->queue_.ScheduleAfter(
      delay, [network = network, bytes = std::vector<std::byte>(
                                     packet.begin(), packet.end())]() mutable {
        network->ReceiveAtCaller(std::move(bytes));
      });
}

FakeNetwork::FakeNetwork(const NetworkOptions& options)
    : options_(options), random_(options.seed), callers_(options.flows) {
  queue_.RunUntil(TimePoint(seconds(1000)));
  for (size_t i = 0; i < options_.entries; ++i) {
    entries_.push_back(std::make_unique<Entry>());
  }
}

FakeNetwork::~FakeNetwork() = default;

bool FakeNetwork::DrawChance(double share) {
  return share > 0 && std::uniform_real_distribution<>(0, 1)(random_) < share;
}

microseconds FakeNetwork::DrawUniform(microseconds from, microseconds to) {
  return microseconds(std::uniform_int_distribution<int64_t>(
      from.count(), to.count())(random_));
}

microseconds FakeNetwork::DrawZoneDelay(const Sidecar& a, const Sidecar& b) {
  return (a.zone == b.zone ? microseconds(100)
                           : options_.deployment.zone_delay) +
         DrawUniform(microseconds(0), microseconds(200));
}

size_t FakeNetwork::AddService(size_t upstreams, uint16_t port, uint64_t id) {
  const size_t index = services_.size();
  services_.push_back(std::make_unique<Service>());
  services_[index]->id = {id};
  services_[index]->port = port;
  for (auto& entry : entries_) {
    entry->tables.resize(services_.size());
    entry->previous.resize(services_.size());
  }
  for (size_t i = 0; i < upstreams; ++i) {
    AddUpstream(index);
  }
  Service& service = *services_[index];
  std::vector<version::UpstreamEntry> admitted;
  for (const size_t it : SidecarsOfService(index)) {
    admitted.push_back(sidecars_[it]->entry);
  }
  service.table =
      std::make_shared<const version::ForwardingTable>(version::BuildTable(
          service.id, admitted, kRows, nullptr, {next_version_++}));
  // All processes have the table before the first flow.
  for (const size_t it : SidecarsOfService(index)) {
    sidecars_[it]->router->OnTable(service.table, queue_.now());
  }
  for (auto& entry : entries_) {
    entry->tables[index] = service.table;
  }
  return index;
}

size_t FakeNetwork::AddUpstream(size_t service) {
  const size_t index = sidecars_.size();
  auto sidecar = std::make_unique<Sidecar>();
  sidecar->service = service;
  sidecar->zone = index % options_.deployment.availability_zones.size();
  sidecar->endpoint = endpoints_.size();
  endpoints_.push_back(index);
  sidecar->entry.instance = request::InstanceIdOf(
      request::InstanceName("instance-" + std::to_string(index)));
  sidecar->entry.zone = request::AvailabilityZone(
      options_.deployment.availability_zones[sidecar->zone]);
  by_instance_[sidecar->entry.instance] = index;
  sidecars_.push_back(std::move(sidecar));
  StartSidecar(index);
  return index;
}

void FakeNetwork::PublishTable(size_t index) {
  Service& service = *services_[index];
  std::vector<version::UpstreamEntry> admitted;
  for (const size_t it : SidecarsOfService(index)) {
    if (sidecars_[it]->in_table) {
      admitted.push_back(sidecars_[it]->entry);
    }
  }
  service.previous = service.table;
  service.table =
      std::make_shared<const version::ForwardingTable>(version::BuildTable(
          service.id, admitted, kRows, service.table.get(), {next_version_++}));
  const TablePtr table = service.table;
  for (auto& it : entries_) {
    queue_.ScheduleAfter(
        DrawUniform(microseconds(0), options_.max_table_delay),
        [entry = it.get(), index, table] {
          if (!entry->alive) {
            return;
          }
          TablePtr& current = entry->tables[index];
          if (current == nullptr || current->version < table->version) {
            entry->previous[index] = current;
            current = table;
          }
        });
  }
  for (const size_t it : SidecarsOfService(index)) {
    const auto delay = DrawUniform(microseconds(0), options_.max_table_delay);
    queue_.ScheduleAfter(delay, [this, it, table] {
      CallWhenRunning(it, sidecars_[it]->process_start, [this, it, table] {
        sidecars_[it]->router->OnTable(table, queue_.now());
      });
    });
  }
}

void FakeNetwork::ChangeServicePort(size_t service, uint16_t port) {
  services_[service]->port = port;
}

void FakeNetwork::SetWeight(size_t sidecar, uint32_t weight) {
  sidecars_[sidecar]->entry.weight = weight;
}

void FakeNetwork::DrainSidecar(size_t sidecar) {
  Sidecar& it = *sidecars_[sidecar];
  it.draining = true;
  it.drain_started_at = queue_.now();
  it.entry.draining = true;
  if (it.router != nullptr) {
    it.router->StartDrain(queue_.now());
  }
}

void FakeNetwork::RemoveFromTable(size_t sidecar) {
  sidecars_[sidecar]->in_table = false;
}

void FakeNetwork::CallWhenRunning(size_t sidecar, uint64_t process_start,
                                  std::function<void()> call) {
  Sidecar& it = *sidecars_[sidecar];
  if (it.router == nullptr || it.process_start != process_start) {
    return;
  }
  if (queue_.now() < it.paused_until) {
    queue_.ScheduleAfter(
        it.paused_until - queue_.now(),
        [this, sidecar, process_start, call = std::move(call)] {
          CallWhenRunning(sidecar, process_start, call);
        });
    return;
  }
  call();
}

void FakeNetwork::StartSidecar(size_t sidecar) {
  Sidecar& it = *sidecars_[sidecar];
  if (it.router != nullptr || !it.upstream_alive) {
    return;
  }
  const TimePoint now = queue_.now();
  ++it.process_start;
  it.incarnation = {next_incarnation_++};
  it.entry.incarnation = it.incarnation;
  it.sink = std::make_unique<Sink>(Sink{this, sidecar});
  it.policy = std::make_unique<RandomAdmissionPolicy>(
      random_(), options_.hold, options_.pass, options_.refuse);
  connection::SidecarRouterConfig config;
  config.self = it.entry.instance;
  config.incarnation = it.incarnation;
  config.service = services_[it.service]->id;
  config.hash_key = hash_key_;
  config.max_flows = options_.flows + 1000;
  config.max_directory = options_.flows + 1000;
  if (!options_.recovery) {
    config.max_probes = 0;
  }
  it.router =
      std::make_unique<Router>(config, it.sink.get(), it.policy.get(), now);
  if (it.draining) {
    it.router->StartDrain(now);
  }
  for (const auto& other : sidecars_) {
    if (other->service == it.service && other.get() != &it) {
      it.router->OnPeerState(other->entry.instance, other->incarnation,
                             other->router == nullptr
                                 ? connection::PeerState::kDead
                                 : connection::PeerState::kAlive,
                             now);
    }
  }
  const uint64_t process_start = it.process_start;
  queue_.ScheduleAfter(
      DrawUniform(milliseconds(20), milliseconds(300)),
      [this, sidecar, process_start] {
        CallWhenRunning(sidecar, process_start, [this, sidecar] {
          Sidecar& self = *sidecars_[sidecar];
          self.router->OnTable(services_[self.service]->table, queue_.now());
        });
      });
  ScheduleStateDetection(sidecar, true);
  queue_.ScheduleAfter(kTickInterval, [this, sidecar, process_start] {
    TickRouter(sidecar, process_start);
  });
}

void FakeNetwork::TickRouter(size_t sidecar, uint64_t process_start) {
  Sidecar& it = *sidecars_[sidecar];
  if (it.router == nullptr || it.process_start != process_start) {
    return;
  }
  CallWhenRunning(sidecar, process_start,
                  [this, &it] { it.router->OnTick(queue_.now()); });
  const auto wait = std::max<std::chrono::nanoseconds>(
      kTickInterval, it.paused_until - queue_.now());
  queue_.ScheduleAfter(wait, [this, sidecar, process_start] {
    TickRouter(sidecar, process_start);
  });
}

void FakeNetwork::ScheduleStateDetection(size_t sidecar, bool alive) {
  const request::InstanceId instance = sidecars_[sidecar]->entry.instance;
  const request::Incarnation incarnation = sidecars_[sidecar]->incarnation;
  // A failure is detected after 1.5 s to 3 s, a start sooner.
  const microseconds from = alive ? milliseconds(100) : milliseconds(1500);
  const microseconds to = alive ? milliseconds(2000) : milliseconds(3000);
  const auto still_current = [this, sidecar, incarnation, alive] {
    const Sidecar& it = *sidecars_[sidecar];
    const bool up = it.router != nullptr && queue_.now() >= it.paused_until;
    return it.incarnation == incarnation && up == alive;
  };
  for (auto& it : entries_) {
    queue_.ScheduleAfter(
        DrawUniform(from, to),
        [entry = it.get(), instance, incarnation, alive, still_current] {
          if (!entry->alive || !still_current()) {
            return;
          }
          entry->incarnations[instance] = incarnation;
          if (alive) {
            entry->dead.erase(instance);
          } else {
            entry->dead.insert(instance);
          }
        });
  }
  for (const size_t peer : SidecarsOfService(sidecars_[sidecar]->service)) {
    if (peer == sidecar) {
      continue;
    }
    queue_.ScheduleAfter(
        DrawUniform(from, to),
        [this, peer, instance, incarnation, alive, still_current] {
          CallWhenRunning(
              peer, sidecars_[peer]->process_start,
              [this, peer, instance, incarnation, alive, still_current] {
                if (still_current()) {
                  sidecars_[peer]->router->OnPeerState(
                      instance, incarnation,
                      alive ? connection::PeerState::kAlive
                            : connection::PeerState::kDead,
                      queue_.now());
                }
              });
        });
  }
}

void FakeNetwork::KillSidecar(size_t sidecar) {
  Sidecar& it = *sidecars_[sidecar];
  if (it.router != nullptr) {
    results_.adopted += it.router->stats().adopted;
    results_.passed_on += it.router->stats().passed_on;
  }
  // The router can be on the call stack only in `ReceiveAtSidecar` and
  // `ReceiveAtUpstream`, so that it is safe to destroy it here.
  it.router.reset();
  ScheduleStateDetection(sidecar, false);
}

void FakeNetwork::KillUpstream(size_t sidecar) {
  Sidecar& it = *sidecars_[sidecar];
  for (const auto& [key, connection] : it.connections) {
    const auto flow = FlowIndex(key);
    if (flow) {
      callers_[*flow].upstream_lost = true;
    }
  }
  it.connections.clear();
  it.upstream_alive = false;
  KillSidecar(sidecar);
}

void FakeNetwork::PauseSidecar(size_t sidecar, milliseconds time) {
  Sidecar& it = *sidecars_[sidecar];
  it.paused_until = queue_.now() + time;
  ScheduleStateDetection(sidecar, false);
  const uint64_t process_start = it.process_start;
  queue_.ScheduleAfter(time, [this, sidecar, process_start] {
    CallWhenRunning(sidecar, process_start, [this, sidecar] {
      sidecars_[sidecar]->router->OnLeaseState(false, queue_.now());
      ScheduleStateDetection(sidecar, true);
    });
  });
  queue_.ScheduleAfter(time + seconds(1), [this, sidecar, process_start] {
    CallWhenRunning(sidecar, process_start, [this, sidecar] {
      sidecars_[sidecar]->router->OnLeaseState(true, queue_.now());
    });
  });
}

void FakeNetwork::ReassignEndpoint(size_t from, size_t by) {
  sidecars_[by]->endpoint = sidecars_[from]->endpoint;
  endpoints_[sidecars_[from]->endpoint] = by;
}

void FakeNetwork::KillEntry(size_t entry) {
  entries_[entry]->alive = false;
  entries_[entry]->died_at = queue_.now();
}

void FakeNetwork::StartEntry(size_t index) {
  Entry& entry = *entries_[index];
  entry.alive = true;
  entry.dead.clear();
  for (size_t i = 0; i < services_.size(); ++i) {
    entry.tables[i] = services_[i]->table;
    entry.previous[i] = nullptr;
  }
  for (const auto& it : sidecars_) {
    entry.incarnations[it->entry.instance] = it->incarnation;
    if (it->router == nullptr) {
      entry.dead.insert(it->entry.instance);
    }
  }
}

size_t FakeNetwork::sidecars() const { return sidecars_.size(); }

std::vector<size_t> FakeNetwork::SidecarsOfService(size_t service) const {
  std::vector<size_t> found;
  for (size_t i = 0; i < sidecars_.size(); ++i) {
    if (sidecars_[i]->service == service) {
      found.push_back(i);
    }
  }
  return found;
}

request::FlowKey FakeNetwork::MakeFlowKey(uint64_t index) const {
  const auto n = static_cast<uint32_t>(index);
  const std::array<uint8_t, 4> from = {11, static_cast<uint8_t>(n >> 16U),
                                       static_cast<uint8_t>(n >> 8U),
                                       static_cast<uint8_t>(n)};
  const std::array<uint8_t, 4> to = {10, 255, 0, 1};
  return {{request::MapIpv4(from.data()), 40000},
          {request::MapIpv4(to.data()), callers_[index].port},
          IPPROTO_TCP};
}

std::optional<uint64_t> FakeNetwork::FlowIndex(
    const request::FlowKey& key) const {
  const auto& a = key.caller.address;
  const uint64_t n = (uint64_t{a[13]} << 16U) | (uint64_t{a[14]} << 8U) | a[15];
  return n < callers_.size() ? std::optional(n) : std::nullopt;
}

void FakeNetwork::StartFlows() {
  for (uint64_t i = 0; i < callers_.size(); ++i) {
    callers_[i].service = static_cast<uint32_t>(i % services_.size());
    callers_[i].timestamps = DrawChance(options_.timestamps);
    callers_[i].reuses_port = DrawChance(options_.port_reuse_share);
    queue_.ScheduleAfter(DrawUniform(microseconds(0), options_.arrival_period),
                         [this, i] { BeginFlow(i); });
  }
}

void FakeNetwork::CutFlow(uint64_t flow, bool upstream_side) {
  (upstream_side ? callers_[flow].cut_upstream : callers_[flow].cut_caller) =
      true;
}

void FakeNetwork::BeginFlow(uint64_t index) {
  Caller& caller = callers_[index];
  caller.port = services_[caller.service]->port;
  caller.state = Caller::State::kSynSent;
  caller.isn = static_cast<uint32_t>(random_());
  caller.send_next = caller.isn + 1;
  caller.receive_next = 0;
  caller.ts_echo = 0;
  caller.requests_done = 0;
  caller.payload_upstream = -1;
  caller.reached_upstream = false;
  caller.refused = false;
  caller.last_progress_at = queue_.now();
  ++caller.step;
  SendOutstanding(index);
  ScheduleRetransmission(index, caller.step, caller.epoch, 0);
}

// Sends the outstanding segment: the SYN, a request or the FIN.
void FakeNetwork::SendOutstanding(uint64_t index) {
  Caller& caller = callers_[index];
  switch (caller.state) {
    case Caller::State::kSynSent:
      SendFromCaller(index, true, false, false, false, caller.isn, false);
      return;
    case Caller::State::kOpen:
      SendFromCaller(index, false, true, false, false, caller.send_next, true);
      return;
    case Caller::State::kFinSent:
      SendFromCaller(index, false, true, true, false, caller.send_next, false);
      return;
    default:
      return;
  }
}

void FakeNetwork::ScheduleRetransmission(uint64_t index, uint32_t step,
                                         uint32_t epoch, uint32_t attempt) {
  const auto wait = std::min<milliseconds>(
      kInitialTimeout * (1U << std::min(attempt, 5U)), kMaxTimeout);
  queue_.ScheduleAfter(wait, [this, index, step, epoch, attempt] {
    Caller& caller = callers_[index];
    const bool waits =
        caller.state == Caller::State::kSynSent ||
        caller.state == Caller::State::kFinSent ||
        (caller.state == Caller::State::kOpen && caller.outstanding);
    if (!waits || caller.step != step || caller.epoch != epoch) {
      return;
    }
    if (queue_.now() - caller.last_progress_at > kGiveUpTimeout) {
      caller.state = Caller::State::kBroken;
      return;
    }
    SendOutstanding(index);
    ScheduleRetransmission(index, step, epoch, attempt + 1);
  });
}

void FakeNetwork::ScheduleNextStep(uint64_t index) {
  Caller& caller = callers_[index];
  ++caller.step;
  caller.outstanding = false;
  caller.last_progress_at = queue_.now();
  const uint32_t step = caller.step;
  const uint32_t epoch = caller.epoch;
  const bool last = caller.requests_done >= options_.requests;
  if (last && options_.stay_open) {
    return;
  }
  const microseconds think =
      caller.requests_done == 0
          ? microseconds(0)
          : DrawUniform(options_.think / 4, options_.think * 7 / 4);
  queue_.ScheduleAfter(think, [this, index, step, epoch, last] {
    Caller& it = callers_[index];
    if (it.step != step || it.epoch != epoch ||
        it.state != Caller::State::kOpen) {
      return;
    }
    if (it.reuses_port && it.requests_done == 1) {
      // The caller's machine restarts and uses the same port again.
      it.reuses_port = false;
      ++it.epoch;
      BeginFlow(index);
      return;
    }
    it.last_progress_at = queue_.now();
    if (last) {
      it.state = Caller::State::kFinSent;
    } else {
      it.outstanding = true;
    }
    SendOutstanding(index);
    ScheduleRetransmission(index, step, epoch, 0);
  });
}

void FakeNetwork::SendFromCaller(uint64_t index, bool syn, bool ack, bool fin,
                                 bool rst, uint32_t sequence, bool payload) {
  Caller& caller = callers_[index];
  ++results_.packets;
  if (syn) {
    // A connection attempt, including a retransmitted SYN, is meant for the
    // service that has the port now, even when an earlier SYN was lost before
    // the port moved.
    for (size_t i = 0; i < services_.size(); ++i) {
      if (services_[i]->port == caller.port) {
        caller.service = static_cast<uint32_t>(i);
      }
    }
  }
  if (caller.cut_caller || DrawChance(options_.loss)) {
    return;
  }
  EmptySegment segment;
  segment.flow = MakeFlowKey(index);
  segment.syn = syn;
  segment.ack = ack;
  segment.fin = fin;
  segment.rst = rst;
  segment.sequence = sequence;
  segment.acknowledgment = ack ? caller.receive_next : 0;
  if (caller.timestamps) {
    segment.ts_value = static_cast<uint32_t>(queue_.now().time_since_epoch() /
                                             milliseconds(1));
    segment.ts_echo = ack ? caller.ts_echo : 0;
  }
  std::vector<std::byte> bytes =
      payload ? BuildPayloadSegment(segment,
                                    {static_cast<uint32_t>(index), caller.epoch,
                                     services_[caller.service]->id.value})
              : BuildSegment(segment);
  ReceiveAtEntry(index, std::move(bytes));
}

// Simulates the fabric and an entry instance, with the delays of both.
void FakeNetwork::ReceiveAtEntry(uint64_t index, std::vector<std::byte> bytes) {
  Caller& caller = callers_[index];
  Entry* entry = nullptr;
  for (size_t tries = 0; tries < 100; ++tries) {
    Entry& it = *entries_[random_() % entries_.size()];
    // The fabric detects a dead instance after a second.
    if (it.alive || queue_.now() - it.died_at < seconds(1)) {
      entry = &it;
      break;
    }
  }
  if (entry == nullptr || !entry->alive) {
    return;
  }
  size_t service = kNoService;
  for (size_t i = 0; i < services_.size(); ++i) {
    if (services_[i]->port == caller.port && entry->tables[i] != nullptr) {
      service = i;
    }
  }
  if (service == kNoService) {
    return;
  }
  request::Failure failure;
  const auto packet = request::ParsePacket(bytes, &failure);
  const version::ForwardingTable& table = *entry->tables[service];
  const uint64_t hash = request::HashFlow(hash_key_, packet->flow);
  request::ForwardHeader header;
  header.row = table.RowOf(hash);
  header.service = table.service;
  header.version = table.version;
  header.flags = request::kToOwner;

  const auto alive = [&](version::UpstreamIndex i) {
    return i < table.upstreams.size() &&
           !entry->dead.contains(table.upstreams[i].instance);
  };
  version::UpstreamIndex choice = table.owner[header.row.value];
  const version::UpstreamIndex backup = table.backup[header.row.value];
  if (!alive(choice) && alive(backup)) {
    choice = backup;
    header.flags = request::kOwnerFailed;
  }
  if (choice >= table.upstreams.size()) {
    return;
  }
  const version::UpstreamIndex owner_choice = choice;
  if (!packet->syn && packet->ts_echo) {
    const auto hint = request::DecodeHolderHint(*packet->ts_echo);
    if (hint && *hint < table.upstreams.size() &&
        alive(static_cast<version::UpstreamIndex>(*hint)) && *hint != choice) {
      choice = static_cast<version::UpstreamIndex>(*hint);
      header.flags = request::kHinted;
    }
  }
  // Baselines: the upstream that the packet would reach by a table alone.
  std::vector<request::InstanceId> usable;
  for (size_t i = 0; i < table.upstreams.size(); ++i) {
    if (!table.upstreams[i].draining &&
        alive(static_cast<version::UpstreamIndex>(i))) {
      usable.push_back(table.upstreams[i].instance);
    }
  }
  if (!usable.empty()) {
    const request::InstanceId by_hash = usable[hash % usable.size()];
    const request::InstanceId by_table = table.upstreams[owner_choice].instance;
    request::InstanceId before = by_table;
    if (const TablePtr& previous = entry->previous[service];
        previous != nullptr) {
      const auto owner = previous->owner[previous->RowOf(hash).value];
      if (owner < previous->upstreams.size()) {
        before = previous->upstreams[owner].instance;
      }
    }
    if (packet->syn) {
      caller.hash_choice = by_hash;
      caller.table_choice = by_table;
    } else {
      caller.hash_broken |= by_hash != caller.hash_choice;
      caller.one_previous_broken |=
          by_table != caller.table_choice && before != caller.table_choice;
    }
  }

  const version::UpstreamEntry& target = table.upstreams[choice];
  header.target = target.instance;
  header.target_incarnation = target.incarnation;
  if (const auto it = entry->incarnations.find(target.instance);
      it != entry->incarnations.end()) {
    header.target_incarnation = std::max(header.target_incarnation, it->second);
  }
  const size_t endpoint = sidecars_[by_instance_[target.instance]]->endpoint;
  const auto delay = options_.deployment.caller_delay + microseconds(300) +
                     DrawUniform(microseconds(0), microseconds(800));
  queue_.ScheduleAfter(
      delay, [this, endpoint, header, bytes = std::move(bytes)]() mutable {
        ReceiveAtSidecar(endpoint, header, std::move(bytes));
      });
}

void FakeNetwork::ReceiveAtSidecar(size_t endpoint,
                                   request::ForwardHeader header,
                                   std::vector<std::byte> bytes) {
  const size_t index = endpoints_[endpoint];
  Sidecar& sidecar = *sidecars_[index];
  CallWhenRunning(index, sidecar.process_start,
                  [this, &sidecar, header, bytes = std::move(bytes)] {
                    request::Failure failure;
                    const auto packet = request::ParsePacket(bytes, &failure);
                    sidecar.router->OnForwarded(header, *packet, queue_.now());
                  });
}

void FakeNetwork::SendFromUpstream(size_t index, const EmptySegment& segment,
                                   uint64_t flow, bool payload) {
  const Caller& caller = callers_[flow];
  if (caller.cut_upstream) {
    return;
  }
  EmptySegment sent = segment;
  if (caller.timestamps) {
    // The clocks of the upstreams have different offsets.
    sent.ts_value = static_cast<uint32_t>(
        queue_.now().time_since_epoch() / milliseconds(1) + 700000000 * index);
    sent.ts_echo = 1;
  }
  std::vector<std::byte> bytes =
      payload ? BuildPayloadSegment(
                    sent, {static_cast<uint32_t>(flow), caller.epoch,
                           services_[sidecars_[index]->service]->id.value})
              : BuildSegment(sent);
  if (payload) {
    SetPush(&bytes);
  }
  const uint64_t process_start = sidecars_[index]->process_start;
  queue_.ScheduleAfter(
      microseconds(20), [this, index, process_start, bytes = std::move(bytes)] {
        CallWhenRunning(index, process_start, [this, index, bytes] {
          request::Failure failure;
          const auto packet = request::ParsePacket(bytes, &failure);
          sidecars_[index]->router->OnUpstreamPacket(*packet, queue_.now());
        });
      });
}

void FakeNetwork::ReceiveAtUpstream(size_t index,
                                    std::span<const std::byte> bytes) {
  Sidecar& sidecar = *sidecars_[index];
  request::Failure failure;
  const auto packet = request::ParsePacket(bytes, &failure);
  const auto flow = FlowIndex(packet->flow);
  if (!sidecar.upstream_alive || !flow) {
    return;
  }
  Caller& caller = callers_[*flow];
  if (caller.cut_upstream) {
    return;
  }
  const uint64_t own = services_[sidecar.service]->id.value;
  if (packet->payload_size > 0) {
    const Payload payload = ReadPayload(*packet);
    results_.wrong_service += payload.service != own ? 1 : 0;
    if (payload.epoch == caller.epoch) {
      if (caller.payload_upstream >= 0 &&
          caller.payload_upstream != static_cast<int32_t>(index)) {
        caller.two_upstreams = true;
      }
      caller.payload_upstream = static_cast<int32_t>(index);
    }
  } else if (services_[caller.service]->id.value != own &&
             !IsProbe(*packet, caller.isn, caller.send_next)) {
    ++results_.wrong_service;
  }
  if (packet->syn && packet->sequence == caller.isn) {
    caller.reached_upstream = true;
  }
  EmptySegment answer;
  answer.flow = request::Reverse(packet->flow);
  answer.ack = true;
  const auto it = sidecar.connections.find(packet->flow);
  if (packet->syn) {
    if (it == sidecar.connections.end()) {
      if (sidecar.draining) {
        results_.last_accept_after_drain =
            std::max(results_.last_accept_after_drain,
                     std::chrono::duration_cast<microseconds>(
                         queue_.now() - sidecar.drain_started_at));
      }
      Connection created;
      created.isn = static_cast<uint32_t>(random_());
      created.receive_next = packet->sequence + 1;
      created.send_next = created.isn + 1;
      sidecar.connections.emplace(packet->flow, created);
      answer.syn = true;
      answer.sequence = created.isn;
      answer.acknowledgment = created.receive_next;
    } else {
      const Connection& existing = it->second;
      answer.syn =
          !existing.open && packet->sequence + 1 == existing.receive_next;
      answer.sequence = answer.syn ? existing.isn : existing.send_next;
      answer.acknowledgment = existing.receive_next;
    }
    SendFromUpstream(index, answer, *flow, false);
    return;
  }
  if (it == sidecar.connections.end()) {
    if (!packet->rst) {
      answer.ack = false;
      answer.rst = true;
      answer.sequence = packet->acknowledgment;
      SendFromUpstream(index, answer, *flow, false);
    }
    return;
  }
  Connection& existing = it->second;
  if (packet->rst) {
    if (packet->sequence == existing.receive_next) {
      sidecar.connections.erase(it);
    }
    return;
  }
  answer.sequence = existing.send_next;
  answer.acknowledgment = existing.receive_next;
  if (!existing.open) {
    if (packet->sequence != existing.receive_next) {
      SendFromUpstream(index, answer, *flow, false);
      return;
    }
    if (packet->acknowledgment != existing.isn + 1) {
      answer.ack = false;
      answer.rst = true;
      answer.sequence = packet->acknowledgment;
      SendFromUpstream(index, answer, *flow, false);
      return;
    }
    existing.open = true;
    caller.holder = static_cast<int32_t>(index);
  }
  if (static_cast<int32_t>(packet->acknowledgment - existing.send_next) > 0) {
    SendFromUpstream(index, answer, *flow, false);
    return;
  }
  const uint32_t end =
      packet->sequence + packet->payload_size + (packet->fin ? 1 : 0);
  if (existing.closing && packet->acknowledgment == existing.send_next &&
      packet->payload_size == 0 && !packet->fin) {
    sidecar.connections.erase(it);
    return;
  }
  const bool in_order = packet->sequence == existing.receive_next;
  const bool retransmitted = end == existing.receive_next && !in_order;
  if (packet->payload_size > 0 && (in_order || retransmitted)) {
    if (in_order) {
      existing.receive_next = end;
      answer.sequence = existing.send_next;
      existing.send_next += sizeof(Payload);
    } else {
      answer.sequence = existing.send_next - sizeof(Payload);
    }
    answer.acknowledgment = existing.receive_next;
    SendFromUpstream(index, answer, *flow, true);
    return;
  }
  if (packet->fin && (in_order || retransmitted)) {
    if (in_order) {
      existing.receive_next = end;
      existing.send_next += 1;
      existing.closing = true;
    }
    answer.fin = true;
    answer.sequence = existing.send_next - 1;
    answer.acknowledgment = existing.receive_next;
    SendFromUpstream(index, answer, *flow, false);
    return;
  }
  if (!in_order) {
    // A probe or another segment outside the window.
    SendFromUpstream(index, answer, *flow, false);
  }
}

void FakeNetwork::ReceiveAtCaller(std::vector<std::byte> bytes) {
  request::Failure failure;
  const auto packet = request::ParsePacket(bytes, &failure);
  const auto index = FlowIndex(request::Reverse(packet->flow));
  if (!index) {
    return;
  }
  Caller& caller = callers_[*index];
  using State = Caller::State;
  if (caller.cut_caller || caller.state == State::kWaiting ||
      caller.state == State::kBroken || caller.state == State::kRefused) {
    return;
  }
  if (caller.state == State::kSynSent) {
    const bool acknowledges_syn = packet->acknowledgment == caller.isn + 1;
    if (packet->rst) {
      if (packet->ack && acknowledges_syn) {
        caller.state = State::kRefused;
        caller.refused = true;
      }
      return;
    }
    if (!packet->syn || !acknowledges_syn) {
      // RFC 9293, section 3.10.7.3: an unacceptable acknowledgment is answered
      // with a reset.
      SendFromCaller(*index, false, false, false, true, packet->acknowledgment,
                     false);
      return;
    }
    caller.state = State::kOpen;
    caller.receive_next = packet->sequence + 1;
    caller.ts_echo = packet->ts_value.value_or(0);
    SendFromCaller(*index, false, true, false, false, caller.send_next, false);
    ScheduleNextStep(*index);
    return;
  }
  if (packet->rst) {
    if (packet->sequence == caller.receive_next &&
        caller.state != State::kDone) {
      caller.state = State::kBroken;
      caller.reset_received = true;
    }
    return;
  }
  if (packet->ts_value) {
    caller.ts_echo = std::max(caller.ts_echo, *packet->ts_value);
  }
  const bool next = packet->sequence == caller.receive_next;
  if (packet->payload_size > 0 && next && caller.outstanding &&
      packet->acknowledgment == caller.send_next + sizeof(Payload)) {
    const Payload payload = ReadPayload(*packet);
    const bool own = payload.flow == *index && payload.epoch == caller.epoch;
    results_.wrong_response += own ? 0 : 1;
    caller.receive_next += packet->payload_size;
    caller.send_next = packet->acknowledgment;
    ++caller.requests_done;
    SendFromCaller(*index, false, true, false, false, caller.send_next, false);
    ScheduleNextStep(*index);
    return;
  }
  if (packet->fin && next && caller.state == State::kFinSent) {
    caller.receive_next += 1;
    caller.send_next += 1;
    caller.state = State::kDone;
    SendFromCaller(*index, false, true, false, false, caller.send_next, false);
    return;
  }
  if (!next) {
    // A retransmitted segment or a probe.
    SendFromCaller(*index, false, true, false, false, caller.send_next, false);
  }
}

void FakeNetwork::SendPeerMessage(size_t from, request::InstanceId to,
                                  const connection::PeerMessage& message) {
  constexpr uint64_t kOverhead = 40;
  uint64_t size = kOverhead;
  std::visit(
      [&](const auto& it) {
        if constexpr (requires { it.rows; }) {
          size += it.rows.size() * sizeof(request::RowIndex);
        }
        if constexpr (requires { it.flows; }) {
          size += it.flows.size() * sizeof(it.flows[0]);
        }
      },
      message);
  ++results_.control_messages;
  results_.control_bytes += size;
  const auto found = by_instance_.find(to);
  if (found == by_instance_.end()) {
    return;
  }
  const size_t target = found->second;
  // Messages between two sidecars arrive in order, as over one connection.
  TimePoint& last = last_arrival_[{from, target}];
  last = std::max(
      last, queue_.now() + DrawZoneDelay(*sidecars_[from], *sidecars_[target]) +
                DrawUniform(microseconds(0), microseconds(2000)));
  const request::InstanceId sender = sidecars_[from]->entry.instance;
  const uint64_t process_start = sidecars_[target]->process_start;
  queue_.ScheduleAfter(last - queue_.now(), [this, target, process_start,
                                             sender, message] {
    CallWhenRunning(target, process_start, [this, target, sender, message] {
      sidecars_[target]->router->OnPeerMessage(sender, message, queue_.now());
    });
  });
}

uint64_t FakeNetwork::FlowsAtSidecars() const {
  uint64_t flows = 0;
  for (const auto& it : sidecars_) {
    flows += it->router == nullptr ? 0 : it->router->OpenFlows();
  }
  return flows;
}

bool FakeNetwork::IsHeldBySidecar(uint64_t flow) const {
  const request::FlowKey key = MakeFlowKey(flow);
  return std::any_of(sidecars_.begin(), sidecars_.end(), [&](const auto& it) {
    return it->router != nullptr && it->router->flows().Find(key) != nullptr;
  });
}

FakeNetwork::Results FakeNetwork::CollectResults() const {
  Results results = results_;
  for (const auto& it : sidecars_) {
    if (it->router != nullptr) {
      results.adopted += it->router->stats().adopted;
      results.passed_on += it->router->stats().passed_on;
    }
  }
  for (const Caller& it : callers_) {
    using State = Caller::State;
    const bool cut = it.cut_upstream || it.cut_caller;
    results.finished += it.state == State::kDone ? 1 : 0;
    results.broken += it.state == State::kBroken ? 1 : 0;
    results.broken_with_upstream +=
        it.state == State::kBroken && it.upstream_lost ? 1 : 0;
    results.broken_by_reset += it.reset_received ? 1 : 0;
    results.broken_half_open +=
        it.state == State::kBroken && it.receive_next == 0 ? 1 : 0;
    results.refused += it.refused ? 1 : 0;
    results.untrue_refusals += it.refused && it.reached_upstream ? 1 : 0;
    results.payload_at_two_upstreams += it.two_upstreams ? 1 : 0;
    results.cut += cut ? 1 : 0;
    results.reset_without_cut += it.reset_received && !cut ? 1 : 0;
    results.unfinished += it.state == State::kDone ||
                                  it.state == State::kBroken ||
                                  it.state == State::kRefused
                              ? 0
                              : 1;
    results.hash_broken += it.hash_broken ? 1 : 0;
    results.one_previous_broken += it.one_previous_broken ? 1 : 0;
  }
  return results;
}

}  // namespace kumquatvalve::bench
