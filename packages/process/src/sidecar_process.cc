#include "kumquatvalve/process/sidecar_process.h"

#include <ace/Task.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <mutex>
#include <utility>
#include <vector>

#include "kumquatvalve/connection/load_policy.h"
#include "kumquatvalve/connection/sidecar_router.h"
#include "kumquatvalve/process/udp_batch.h"
#include "kumquatvalve/request/packet.h"

namespace kumquatvalve::process {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Resolution of the router's timers, which are tens of milliseconds and longer.
constexpr milliseconds kTickInterval{10};

// Sends the router's packets and messages. Used by the traffic thread only,
// except for the counters.
class RouterOutput {
 public:
  RouterOutput(const version::ProcessSettings& settings, PeerChannel* channel)
      : settings_(settings), channel_(channel) {}

  void Deliver(std::span<const std::byte> packet) {
    if (delivery_suspended_) {
      Drop(request::ResultCode::kWrongService);
      return;
    }
    FlushIfFull(&to_upstream_, upstream_socket_);
    to_upstream_.AddCopy({}, packet, settings_.upstream->data);
    counters_.Count(PacketEvent::kDelivered);
  }
  void Forward(request::InstanceId peer, const request::ForwardHeader& header,
               std::span<const std::byte> packet) {
    const std::optional<request::Endpoint> destination = DataEndpoint(peer);
    if (!destination) {
      Drop(request::ResultCode::kUnknownPeer);
      return;
    }
    std::array<std::byte, request::kForwardHeaderSize> header_bytes;
    request::WriteForwardHeader(header, settings_.keys.forward, header_bytes);
    FlushIfFull(&to_network_, data_socket_);
    to_network_.AddCopy(header_bytes, packet, *destination);
    counters_.Count(PacketEvent::kForwarded);
  }
  void Answer(std::span<const std::byte> packet) {
    FlushIfFull(&to_network_, data_socket_);
    to_network_.AddCopy({}, packet, settings_.fabric);
    counters_.Count(PacketEvent::kAnswered);
  }
  void Send(request::InstanceId peer, const connection::PeerMessage& message) {
    if (channel_ != nullptr) {
      channel_->Send(peer, message);
    }
  }
  void Drop(request::ResultCode code) { counters_.Drop(code); }

  void FlushAll() {
    Flush(&to_upstream_, upstream_socket_);
    Flush(&to_network_, data_socket_);
  }

  UdpSocket data_socket_;
  UdpSocket upstream_socket_;
  TrafficCounters counters_;
  std::shared_ptr<const version::ForwardingTable> table_;
  PeerTable peers_;
  /// The upstream is of another service than the table.
  bool delivery_suspended_ = false;

 private:
  std::optional<request::Endpoint> DataEndpoint(
      request::InstanceId peer) const {
    const auto it = peers_.find(peer);
    if (it != peers_.end() && it->second.data.port != 0) {
      return it->second.data;
    }
    const version::UpstreamEntry* entry =
        table_ == nullptr ? nullptr : table_->Find(peer);
    return entry == nullptr ? std::nullopt : std::optional(entry->data);
  }

  void FlushIfFull(SendBatch* batch, const UdpSocket& socket) {
    if (batch->full()) {
      Flush(batch, socket);
    }
  }
  void Flush(SendBatch* batch, const UdpSocket& socket) {
    const size_t unsent = batch->empty() ? 0 : batch->Flush(socket);
    if (unsent != 0) {
      counters_.Count(PacketEvent::kSendFailed, unsent);
    }
  }
  const version::ProcessSettings& settings_;
  PeerChannel* channel_;
  SendBatch to_upstream_;
  SendBatch to_network_;
};

}  // namespace

// The traffic thread. The functions from `SetTable` to `RequestStop` run on it
// and are called through `Post`.
class SidecarProcess::Traffic : public ACE_Task_Base {
 public:
  using Command = std::function<void(Traffic&, connection::TimePoint)>;
  using Router =
      connection::SidecarRouter<RouterOutput, connection::LoadPolicy>;

  Traffic(const version::ProcessSettings& settings,
          request::Incarnation incarnation, PeerChannel* channel,
          HopTracer* tracer)
      : settings_(settings),
        self_(request::InstanceIdOf(settings.instance)),
        incarnation_(incarnation),
        tracer_(tracer),
        wake_event_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
        output_(settings_, channel) {}
  ~Traffic() override { close(wake_event_); }

  bool Open(request::Failure* failure) {
    if (!settings_.upstream) {
      *failure = {request::ResultCode::kMissingKey,
                  "the settings of the sidecar's upstream are missing"};
      return false;
    }
    return output_.data_socket_.Open(settings_.data, false, failure) &&
           output_.upstream_socket_.Open(settings_.upstream->announce, false,
                                         failure);
  }

  // Queues `command`, which the traffic thread runs before it handles further
  // packets.
  void Post(Command command) {
    {
      const std::lock_guard lock(mutex_);
      commands_.push_back(std::move(command));
    }
    const uint64_t one = 1;
    // A failed write means that the eventfd counter is full, which wakes the
    // thread too.
    [[maybe_unused]] const auto n = write(wake_event_, &one, sizeof(one));
  }

  int svc() override {
    const std::array<int, 3> handles = {output_.data_socket_.handle(),
                                        output_.upstream_socket_.handle(),
                                        wake_event_};
    auto next_tick = steady_clock::now() + kTickInterval;
    while (!stop_requested_) {
      const auto now = steady_clock::now();
      RunCommands(now);
      const size_t forwarded = received_.Receive(output_.data_socket_);
      for (size_t i = 0; i < forwarded; ++i) {
        HandleForwardedPacket(i, now);
      }
      output_.FlushAll();
      const size_t upstream_packets =
          received_.Receive(output_.upstream_socket_);
      for (size_t i = 0; i < upstream_packets; ++i) {
        HandleUpstreamPacket(i, now);
      }
      if (now >= next_tick) {
        if (router_) {
          router_->OnTick(now);
          open_flows_.store(router_->OpenFlows(), std::memory_order_relaxed);
          const std::lock_guard lock(mutex_);
          stats_ = router_->stats();
        }
        next_tick = now + kTickInterval;
      }
      output_.FlushAll();
      if (forwarded == 0 && upstream_packets == 0) {
        WaitReadable(handles, kTickInterval);
      }
    }
    return 0;
  }

  void SetTable(std::shared_ptr<const version::ForwardingTable> table,
                connection::TimePoint now) {
    // A service that was deleted and created again under the same name has
    // another id; its packets must not be matched with flows of the previous
    // service (R2).
    if (!router_ || output_.table_->service != table->service) {
      MakeRouter(*table, now);
    }
    output_.table_ = table;
    router_->OnTable(std::move(table), now);
    output_.delivery_suspended_ = false;
    router_->SetAdmitting(true, now);
  }
  void SuspendAdmission(connection::TimePoint now) {
    if (router_) {
      router_->SetAdmitting(false, now);
    }
  }
  void SuspendDelivery(connection::TimePoint now) {
    output_.delivery_suspended_ = true;
    SuspendAdmission(now);
  }
  void SetPeers(PeerTable peers, connection::TimePoint now) {
    for (const auto& [instance, info] : peers) {
      const auto known_peer = output_.peers_.find(instance);
      if (known_peer == output_.peers_.end() || known_peer->second != info) {
        UpdatePeerState(instance, info, now);
      }
    }
    output_.peers_ = std::move(peers);
  }
  void HandlePeerMessage(request::InstanceId from,
                         const connection::PeerMessage& message,
                         connection::TimePoint now) {
    if (router_) {
      router_->OnPeerMessage(from, message, now);
    }
  }
  void SetLease(bool valid, connection::TimePoint now) {
    lease_valid_ = valid;
    if (router_) {
      router_->OnLeaseState(valid, now);
    }
  }
  void SetIncarnation(request::Incarnation incarnation) {
    incarnation_ = incarnation;
    if (router_) {
      router_->SetIncarnation(incarnation);
    }
  }
  void StartDrain(connection::TimePoint now) {
    draining_ = true;
    if (router_) {
      router_->StartDrain(now);
    }
  }
  void RequestStop() { stop_requested_ = true; }

  size_t open_flows() const {
    return open_flows_.load(std::memory_order_relaxed);
  }
  connection::SidecarRouterStats stats() const {
    const std::lock_guard lock(mutex_);
    return stats_;
  }
  const TrafficCounters& counters() const { return output_.counters_; }

 private:
  void MakeRouter(const version::ForwardingTable& table,
                  connection::TimePoint now) {
    const version::UpstreamEntry* self = table.Find(self_);
    connection::SidecarRouterConfig config;
    config.self = self_;
    config.incarnation = incarnation_;
    config.service = table.service;
    config.hash_key = settings_.keys.flow_hash;
    config.max_flows = settings_.upstream->max_flows;
    router_.reset();
    policy_.emplace(table.service, self_, self != nullptr ? self->slots : 1);
    router_.emplace(config, &output_, &*policy_, now);
    router_->OnLeaseState(lease_valid_, now);
    for (const auto& [instance, info] : output_.peers_) {
      UpdatePeerState(instance, info, now);
    }
    if (draining_) {
      router_->StartDrain(now);
    }
  }

  void UpdatePeerState(request::InstanceId instance, const PeerInfo& info,
                       connection::TimePoint now) {
    if (router_) {
      router_->OnPeerState(instance, info.incarnation,
                           info.state >= PeerState::kDead
                               ? connection::PeerState::kDead
                               : connection::PeerState::kAlive,
                           now);
    }
  }

  void RunCommands(connection::TimePoint now) {
    uint64_t count = 0;
    if (read(wake_event_, &count, sizeof(count)) < 0) {
      return;
    }
    std::vector<Command> commands;
    {
      const std::lock_guard lock(mutex_);
      commands.swap(commands_);
    }
    for (const Command& it : commands) {
      it(*this, now);
    }
  }

  void HandleForwardedPacket(size_t i, connection::TimePoint now) {
    output_.counters_.Count(PacketEvent::kReceived);
    const std::span<const std::byte> bytes = received_.Packet(i);
    if (bytes.empty()) {
      output_.Drop(request::ResultCode::kPacketTooLong);
      return;
    }
    request::Failure failure;
    const auto header =
        request::ReadForwardHeader(bytes, settings_.keys.forward, &failure);
    if (!header) {
      output_.Drop(failure.code);
      return;
    }
    if (header->target != self_ || !output_.peers_.contains(header->sender)) {
      output_.Drop(request::ResultCode::kUnknownPeer);
      return;
    }
    if (header->hops == 0 || header->hops > request::kMaxHops) {
      output_.Drop(request::ResultCode::kTooManyHops);
      return;
    }
    const auto packet = request::ParsePacket(
        bytes.subspan(request::kForwardHeaderSize), &failure);
    if (!packet) {
      output_.Drop(failure.code);
      return;
    }
    if (tracer_ != nullptr) {
      request::ForwardHeader hop_header = *header;
      ++hop_header.hops;
      tracer_->RecordHop(*packet, hop_header, "sidecar");
    }
    if (!router_) {
      output_.Drop(request::ResultCode::kWrongService);
      return;
    }
    router_->OnForwarded(*header, *packet, now);
  }

  void HandleUpstreamPacket(size_t i, connection::TimePoint now) {
    // Any process that reaches the port could otherwise forge packets of the
    // upstream.
    if (request::FromSocketAddress(received_.From(i)) !=
        settings_.upstream->data) {
      output_.Drop(request::ResultCode::kUnknownPeer);
      return;
    }
    output_.counters_.Count(PacketEvent::kFromUpstream);
    const std::span<const std::byte> bytes = received_.Packet(i);
    if (bytes.empty() || bytes.size() > kMaxPacketSize) {
      output_.Drop(request::ResultCode::kPacketTooLong);
      return;
    }
    request::Failure failure;
    const auto packet = request::ParsePacket(bytes, &failure);
    if (!packet) {
      output_.Drop(failure.code);
      return;
    }
    if (!router_) {
      output_.Drop(request::ResultCode::kWrongService);
      return;
    }
    router_->OnUpstreamPacket(*packet, now);
  }

  version::ProcessSettings settings_;
  request::InstanceId self_;
  request::Incarnation incarnation_;
  HopTracer* tracer_;
  int wake_event_;
  mutable std::mutex mutex_;
  std::vector<Command> commands_;
  connection::SidecarRouterStats stats_;
  std::atomic<size_t> open_flows_{0};
  RouterOutput output_;

  // Used by the traffic thread only.
  ReceiveBatch received_;
  std::optional<connection::LoadPolicy> policy_;
  // Serves a single service; empty until the first table arrives.
  std::optional<Router> router_;
  bool draining_ = false;
  bool lease_valid_ = true;
  bool stop_requested_ = false;
};

SidecarProcess::SidecarProcess(const version::ProcessSettings& settings,
                               request::Incarnation incarnation,
                               PeerChannel* channel, HopTracer* tracer)
    : traffic_(
          std::make_unique<Traffic>(settings, incarnation, channel, tracer)) {}

SidecarProcess::~SidecarProcess() { Stop(); }

bool SidecarProcess::Start(request::Failure* failure) {
  return traffic_->Open(failure) && traffic_->activate() == 0;
}

void SidecarProcess::PublishTable(
    std::shared_ptr<const version::ForwardingTable> table) {
  has_table_ = true;
  traffic_->Post([table = std::move(table)](Traffic& traffic, auto now) {
    traffic.SetTable(table, now);
  });
}

void SidecarProcess::SuspendAdmission() {
  has_table_ = false;
  traffic_->Post(
      [](Traffic& traffic, auto now) { traffic.SuspendAdmission(now); });
}

void SidecarProcess::SuspendDelivery() {
  has_table_ = false;
  traffic_->Post(
      [](Traffic& traffic, auto now) { traffic.SuspendDelivery(now); });
}

void SidecarProcess::PublishPeers(PeerTable peers) {
  if (peers == peers_) {
    return;
  }
  peers_ = peers;
  traffic_->Post([peers = std::move(peers)](Traffic& traffic, auto now) {
    traffic.SetPeers(peers, now);
  });
}

void SidecarProcess::OnPeerMessage(request::InstanceId from,
                                   connection::PeerMessage message) {
  traffic_->Post(
      [from, message = std::move(message)](Traffic& traffic, auto now) {
        traffic.HandlePeerMessage(from, message, now);
      });
}

void SidecarProcess::SetLease(bool valid) {
  traffic_->Post(
      [valid](Traffic& traffic, auto now) { traffic.SetLease(valid, now); });
}

void SidecarProcess::SetIncarnation(request::Incarnation incarnation) {
  traffic_->Post([incarnation](Traffic& traffic, auto /*now*/) {
    traffic.SetIncarnation(incarnation);
  });
}

void SidecarProcess::StartDrain() {
  draining_ = true;
  traffic_->Post([](Traffic& traffic, auto now) { traffic.StartDrain(now); });
}

bool SidecarProcess::draining() const { return draining_; }

void SidecarProcess::Stop() {
  traffic_->Post([](Traffic& traffic, auto /*now*/) { traffic.RequestStop(); });
  traffic_->wait();
}

size_t SidecarProcess::OpenFlows() const { return traffic_->open_flows(); }

bool SidecarProcess::Ready() const { return has_table_ && !draining_; }

connection::SidecarRouterStats SidecarProcess::RouterStats() const {
  return traffic_->stats();
}

TrafficSums SidecarProcess::Sums() const {
  TrafficSums sums;
  sums.Add(traffic_->counters());
  return sums;
}

}  // namespace kumquatvalve::process
