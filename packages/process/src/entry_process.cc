#include "kumquatvalve/process/entry_process.h"

#include <ace/Task.h>

#include <chrono>
#include <utility>

#include "kumquatvalve/request/packet.h"
#include "kumquatvalve/request/route_decision.h"

namespace kumquatvalve::process {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// A stopping instance ends when no packet arrived for this time.
constexpr milliseconds kSocketIdleTimeout{100};

// Limits the shutdown when the fabric keeps sending; callers retransmit the
// packets that are lost.
constexpr milliseconds kStopTimeout{2000};

// Limits how long a thread takes to notice that it should stop.
constexpr milliseconds kReceiveTimeout{20};

}  // namespace

class EntryProcess::Traffic : public ACE_Task_Base {
 public:
  explicit Traffic(EntryProcess& process)
      : process_(process), snapshot_(process.snapshot_) {}

  int svc() override {
    auto last_packet = steady_clock::now();
    std::optional<steady_clock::time_point> stop_at;
    while (true) {
      const size_t n = in_.Receive(socket_);
      if (n != 0) {
        Forward(n);
        if (!stop_at) {
          continue;
        }
      }
      const auto now = steady_clock::now();
      if (n != 0) {
        last_packet = now;
      }
      if (process_.stopping_.load(std::memory_order_acquire)) {
        if (!stop_at) {
          stop_at = now + kStopTimeout;
          last_packet = now;
        }
        if (now - last_packet >= kSocketIdleTimeout || now >= *stop_at) {
          return 0;
        }
      }
      if (n == 0) {
        const int handle = socket_.handle();
        WaitReadable({&handle, 1}, kReceiveTimeout);
      }
    }
  }

  UdpSocket socket_;
  TrafficCounters counters_;

 private:
  void Forward(size_t n) {
    const RoutingSnapshot* snapshot = snapshot_.Get();
    counters_.Count(PacketEvent::kReceived, n);
    for (size_t i = 0; i < n; ++i) {
      ForwardOne(snapshot, i);
    }
    if (!out_.empty()) {
      const size_t lost = out_.Flush(socket_);
      if (lost != 0) {
        counters_.Count(PacketEvent::kSendFailed, lost);
      }
    }
  }

  void ForwardOne(const RoutingSnapshot* snapshot, size_t i) {
    const std::span<std::byte> bytes = in_.Packet(i);
    if (bytes.empty() || bytes.size() > kMaxPacketSize) {
      counters_.Drop(request::ResultCode::kPacketTooLong);
      return;
    }
    request::Failure failure;
    const auto packet = request::ParsePacket(bytes, &failure);
    if (!packet) {
      counters_.Drop(failure.code);
      return;
    }
    if (snapshot == nullptr) {
      counters_.Drop(request::ResultCode::kNoService);
      return;
    }
    const request::RouteDecision decision =
        request::DecideRoute(*snapshot, *packet);
    if (decision.code != request::ResultCode::kOk) {
      counters_.Drop(decision.code);
      return;
    }
    const std::span<std::byte> datagram = in_.PacketWithHeaderRoom(i);
    request::WriteForwardHeader(decision.header,
                                process_.settings_.keys.forward, datagram);
    out_.Add(datagram, decision.to);
    counters_.Count(PacketEvent::kForwarded);
    if (process_.tracer_ != nullptr) {
      process_.tracer_->RecordHop(*packet, decision.header, "route");
    }
  }

  EntryProcess& process_;
  SnapshotCell<RoutingSnapshot>::Reader snapshot_;
  ReceiveBatch in_;
  SendBatch out_;
};

EntryProcess::EntryProcess(const version::ProcessSettings& settings,
                           HopTracer* tracer)
    : settings_(settings), tracer_(tracer) {}

EntryProcess::~EntryProcess() { Stop(); }

bool EntryProcess::Start(request::Failure* failure) {
  const bool shared = settings_.traffic_threads > 1;
  for (uint32_t i = 0; i < settings_.traffic_threads; ++i) {
    auto thread = std::make_unique<Traffic>(*this);
    if (!thread->socket_.Open(settings_.data, shared, failure)) {
      threads_.clear();
      return false;
    }
    // Further threads bind the port that the kernel chose for the first one.
    settings_.data = thread->socket_.Local();
    threads_.push_back(std::move(thread));
  }
  for (const auto& it : threads_) {
    it->activate();
  }
  return true;
}

void EntryProcess::PublishTables(version::ServiceTable tables) {
  tables_ = std::move(tables);
  Publish();
}

void EntryProcess::PublishPeers(PeerTable peers) {
  if (peers != peers_) {
    peers_ = std::move(peers);
    Publish();
  }
}

void EntryProcess::Publish() {
  snapshot_.Publish(std::make_shared<RoutingSnapshot>(
      request::InstanceIdOf(settings_.instance), settings_.keys.flow_hash,
      tables_, peers_));
}

void EntryProcess::Stop() {
  stopping_.store(true, std::memory_order_release);
  for (const auto& it : threads_) {
    it->wait();
  }
}

request::Endpoint EntryProcess::Local() const { return settings_.data; }

bool EntryProcess::Ready() const {
  return tables_.size() != 0 && !stopping_.load(std::memory_order_acquire);
}

TrafficSums EntryProcess::Sums() const {
  TrafficSums sums;
  for (const auto& it : threads_) {
    sums.Add(it->counters_);
  }
  return sums;
}

}  // namespace kumquatvalve::process
