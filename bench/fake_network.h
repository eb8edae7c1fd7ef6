#ifndef KUMQUATVALVE_BENCH_FAKE_NETWORK_H_
#define KUMQUATVALVE_BENCH_FAKE_NETWORK_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "deployments.h"
#include "event_queue.h"
#include "kumquatvalve/connection/sidecar_router.h"
#include "kumquatvalve/version/forwarding_table.h"
#include "kumquatvalve/version/table_builder.h"

namespace kumquatvalve::bench {

using connection::TimePoint;

/// Accepts, holds, passes on and refuses with set shares, by a seed.
class RandomPolicy {
 public:
  RandomPolicy(uint64_t seed, double hold, double pass, double refuse)
      : random_(seed), hold_(hold), pass_(pass), refuse_(refuse) {}

  connection::Admission FirstPacket(const connection::AdmissionRequest& request,
                                    TimePoint now);
  void OnRequest(const request::FlowKey& /*flow*/, TimePoint /*now*/) {}
  void OnResponseSegment(const request::FlowKey& /*flow*/, bool /*pushed*/,
                         connection::TimePoint /*now*/) {}
  void OnResponseComplete(const request::FlowKey& /*flow*/, TimePoint /*now*/) {
  }
  void OnUpstreamRejected(const request::FlowKey& /*flow*/, TimePoint /*now*/) {
  }
  void OnFlowEnd(const request::FlowKey& /*flow*/, TimePoint /*now*/) {}
  void OnLoadReport(request::InstanceId /*from*/,
                    const connection::LoadReport& /*report*/,
                    TimePoint /*now*/) {}
  void OnPeerRemoved(request::InstanceId /*from*/, TimePoint /*now*/) {}
  void OnTable(const version::ForwardingTable& table, TimePoint /*now*/) {
    upstreams_ = table.upstreams;
  }
  void StartDrain(TimePoint /*now*/) {}
  void EndDrain(TimePoint /*now*/) {}
  std::vector<connection::AddressedReport> MakeReports(TimePoint /*now*/) {
    return {};
  }

 private:
  std::mt19937_64 random_;
  double hold_;
  double pass_;
  double refuse_;
  std::vector<version::UpstreamEntry> upstreams_;
};

/// What the network does to packets and how callers behave.
struct NetworkOptions {
  uint64_t seed = 1;
  Deployment deployment;
  uint64_t flows = 0;
  size_t entries = 12;
  double loss = 0.002;
  /// Share of callers whose TCP echoes timestamps.
  double timestamps = 0.7;
  uint32_t requests = 4;
  /// Flows start evenly in this time.
  std::chrono::milliseconds arrivals{25000};
  std::chrono::milliseconds think{8000};
  /// Longest time until a process takes a new table (R8 allows 5 s).
  std::chrono::milliseconds table_delay{4000};
  /// Share of flows whose caller vanishes and connects again from its port.
  double port_reuse = 0;
  double hold = 0;
  double pass = 0;
  double refuse = 0;
  /// Adopt flows by probes; off to show that the proofs can fail.
  bool recovery = true;
  /// Callers keep flows open and idle after their requests.
  bool stay_open = false;
};

/// Callers, entry instances, sidecars and upstream kernels at the interfaces of
/// the sidecar router. Packets are real; the entry's decision, the fabric and
/// membership are reduced to what the router sees of them.
class FakeNetwork {
 public:
  explicit FakeNetwork(const NetworkOptions& options);
  FakeNetwork(const FakeNetwork&) = delete;
  FakeNetwork& operator=(const FakeNetwork&) = delete;
  ~FakeNetwork();

  EventQueue& queue() { return queue_; }
  std::mt19937_64& random() { return random_; }

  /// @return index of the new service, which has `upstreams` members.
  size_t AddService(size_t upstreams, uint16_t port, uint64_t id);
  /// Adds an upstream to a service; in force with the next table.
  size_t AddUpstream(size_t service);
  /// Builds and distributes the next table of the service.
  void PublishTable(size_t service);
  /// Gives the service another port; the old one has no service any more.
  void MovePort(size_t service, uint16_t port);

  void SetWeight(size_t sidecar, uint32_t weight);
  void Drain(size_t sidecar);
  /// Removes it from the next table.
  void Remove(size_t sidecar);
  /// Ends the sidecar process; its upstream lives on.
  void KillSidecar(size_t sidecar);
  void StartSidecar(size_t sidecar);
  void KillUpstream(size_t sidecar);
  void PauseSidecar(size_t sidecar, std::chrono::milliseconds time);
  /// Gives the data endpoint of a stopped sidecar to another one.
  void TakeEndpoint(size_t from, size_t by);
  void KillEntry(size_t entry);
  void StartEntry(size_t entry);

  /// Schedules the flows, which go to the services in turn.
  void StartFlows();
  /// From now on nothing of the flow passes between sidecar and upstream
  /// (`upstream_side`) or between caller and fabric.
  void CutFlow(uint64_t flow, bool upstream_side);

  struct Results {
    uint64_t finished = 0;
    uint64_t broken = 0;
    /// Of `broken`: flows that an upstream held which was killed.
    uint64_t broken_with_upstream = 0;
    /// Of `broken`: by a reset, and without a handshake.
    uint64_t broken_by_reset = 0;
    uint64_t broken_half_open = 0;
    uint64_t refused = 0;
    uint64_t untrue_refusals = 0;
    uint64_t payload_at_two = 0;
    uint64_t wrong_service = 0;
    uint64_t wrong_response = 0;
    uint64_t unfinished = 0;
    uint64_t control_bytes = 0;
    uint64_t control_messages = 0;
    uint64_t packets = 0;
    uint64_t second_hops = 0;
    uint64_t adopted = 0;
    uint64_t passed_on = 0;
    uint64_t uncut_ended = 0;
    uint64_t cut = 0;
    /// Flows that a table alone would have sent to another upstream than the
    /// one that has them, at any of their packets.
    uint64_t hash_broken = 0;
    uint64_t one_previous_broken = 0;
    std::chrono::microseconds last_new_after_drain{0};
  };
  Results Finish() const;
  /// Flows that a sidecar's router still has.
  uint64_t FlowsAtSidecars() const;
  /// Whether a sidecar still has the flow.
  bool SidecarHas(uint64_t flow) const;

  size_t sidecars() const;
  size_t entries() const { return entries_.size(); }
  std::vector<size_t> SidecarsOf(size_t service) const;

 private:
  // Where a sidecar's router sends to.
  struct Sink {
    FakeNetwork* network;
    size_t self;

    void Deliver(std::span<const std::byte> packet);
    void Forward(request::InstanceId peer, const request::ForwardHeader& header,
                 std::span<const std::byte> packet);
    void Answer(std::span<const std::byte> packet);
    void Send(request::InstanceId peer, const connection::PeerMessage& message);
    void Drop(request::ResultCode code);
  };
  struct Sidecar;
  struct Entry;
  struct Connection;
  struct Caller;
  struct Service;
  using Router = connection::SidecarRouter<Sink, RandomPolicy>;
  using TablePtr = std::shared_ptr<const version::ForwardingTable>;

  bool Chance(double share);
  std::chrono::microseconds Uniform(std::chrono::microseconds from,
                                    std::chrono::microseconds to);
  std::chrono::microseconds ZoneDelay(const Sidecar& a, const Sidecar& b);

  void SendFromCaller(uint64_t index, bool syn, bool ack, bool fin, bool rst,
                      uint32_t sequence, bool payload);
  void AtEntry(uint64_t index, std::vector<std::byte> bytes);
  void AtSidecar(size_t endpoint, request::ForwardHeader header,
                 std::vector<std::byte> bytes);
  void AtUpstream(size_t sidecar, std::span<const std::byte> bytes);
  void FromUpstream(size_t sidecar, const connection::EmptySegment& segment,
                    uint64_t payload_flow, bool payload);
  void AtCaller(std::vector<std::byte> bytes);
  void BeginFlow(uint64_t index);
  void NextStep(uint64_t index);
  void Retransmit(uint64_t index, uint32_t step, uint32_t epoch,
                  uint32_t attempt);
  void Control(size_t from, request::InstanceId to,
               const connection::PeerMessage& message);
  void Tick(size_t sidecar, uint64_t life);
  void SendAtNow(uint64_t index);
  void WhenRunning(size_t sidecar, uint64_t life, std::function<void()> call);
  void AnnounceState(size_t sidecar, bool alive);
  std::optional<uint64_t> FlowIndex(const request::FlowKey& key) const;
  request::FlowKey KeyOf(uint64_t index) const;

  NetworkOptions options_;
  std::mt19937_64 random_;
  EventQueue queue_;
  request::HashKey hash_key_{1, 2, 3, 4};
  std::vector<std::unique_ptr<Sidecar>> sidecars_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::vector<std::unique_ptr<Service>> services_;
  std::vector<Caller> callers_;
  // Endpoint index -> sidecar there.
  std::vector<size_t> endpoints_;
  std::unordered_map<request::InstanceId, size_t> by_instance_;
  std::map<std::pair<size_t, size_t>, TimePoint> last_arrival_;
  uint64_t next_version_ = 1;
  uint64_t next_incarnation_ = 1000;
  Results results_;
};

}  // namespace kumquatvalve::bench

#endif  // KUMQUATVALVE_BENCH_FAKE_NETWORK_H_
