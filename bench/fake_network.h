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

/// Admission policy that holds, passes on and refuses first packets at random
/// with the given shares and accepts the others.
class RandomAdmissionPolicy {
 public:
  RandomAdmissionPolicy(uint64_t seed, double hold, double pass, double refuse)
      : random_(seed),
        hold_share_(hold),
        pass_share_(pass),
        refuse_share_(refuse) {}

  /// Passes a packet on to a random upstream, at most twice.
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
  double hold_share_;
  double pass_share_;
  double refuse_share_;
  std::vector<version::UpstreamEntry> upstreams_;
};

/// Faults of the network and behaviour of the callers. Shares are from 0 to 1.
struct NetworkOptions {
  uint64_t seed = 1;
  Deployment deployment;
  uint64_t flows = 0;
  size_t entries = 12;
  /// Share of packets lost between callers and entry instances or sidecars.
  double loss = 0.002;
  /// Share of callers whose TCP echoes timestamps.
  double timestamps = 0.7;
  /// Per flow.
  uint32_t requests = 4;
  /// Flows start at uniformly distributed times within this period.
  std::chrono::milliseconds arrival_period{25000};
  /// Mean time between a response and the next request of a flow.
  std::chrono::milliseconds think{8000};
  /// Longest time until a process applies a new table (R8 allows 5 s).
  std::chrono::milliseconds max_table_delay{4000};
  /// Share of flows whose caller restarts after its first request and connects
  /// again from the same port.
  double port_reuse_share = 0;
  /// Shares of first packets that sidecars hold, pass on and refuse.
  double hold = 0;
  double pass = 0;
  double refuse = 0;
  /// Sidecars recover flows by probes. Switched off to show that the measures
  /// can fail.
  bool recovery = true;
  /// Callers leave flows open and idle after their last response.
  bool stay_open = false;
};

/// Discrete-event simulation of callers, entry instances and upstream kernels
/// around real sidecar routers. Packets are complete TCP/IP packets; routing at
/// the entry instances, the fabric and membership are simplified to what a
/// sidecar router observes. Sidecars, entry instances, services and flows are
/// identified by their index.
class FakeNetwork {
 public:
  explicit FakeNetwork(const NetworkOptions& options);
  FakeNetwork(const FakeNetwork&) = delete;
  FakeNetwork& operator=(const FakeNetwork&) = delete;
  ~FakeNetwork();

  EventQueue& queue() { return queue_; }
  std::mt19937_64& random() { return random_; }

  /// Adds a service that is known to all processes at once.
  /// @param port TCP port of the service, on the address that all share.
  /// @return index of the new service.
  size_t AddService(size_t upstreams, uint16_t port, uint64_t id);
  /// Adds an upstream and its sidecar to a service. Flows reach it only after
  /// the next `PublishTable`.
  /// @return index of the sidecar.
  size_t AddUpstream(size_t service);
  /// Builds the next table of the service and distributes it to all processes,
  /// each after a random delay.
  void PublishTable(size_t service);
  /// Changes the port of a service; the old port no longer leads to it.
  void ChangeServicePort(size_t service, uint16_t port);

  void SetWeight(size_t sidecar, uint32_t weight);
  /// Starts the drain at the sidecar and marks its upstream in the next table.
  void DrainSidecar(size_t sidecar);
  /// Leaves the upstream out of the next tables.
  void RemoveFromTable(size_t sidecar);
  /// Kills the sidecar process; its upstream keeps its connections.
  void KillSidecar(size_t sidecar);
  /// Starts the sidecar with a new incarnation, unless it runs or its upstream
  /// was killed.
  void StartSidecar(size_t sidecar);
  /// Kills the upstream together with its sidecar.
  void KillUpstream(size_t sidecar);
  /// Suspends the sidecar process. After it resumes, its lease counts as lapsed
  /// for 1 s.
  void PauseSidecar(size_t sidecar, std::chrono::milliseconds time);
  /// Moves the data endpoint of the stopped sidecar `from` to the sidecar `by`.
  void ReassignEndpoint(size_t from, size_t by);
  void KillEntry(size_t entry);
  void StartEntry(size_t entry);

  /// Schedules all flows, assigned to the services round-robin.
  void StartFlows();
  /// Drops all later packets of the flow between sidecar and upstream
  /// (`upstream_side`) or between caller and fabric.
  void CutFlow(uint64_t flow, bool upstream_side);

  struct Results {
    uint64_t finished = 0;
    uint64_t broken = 0;
    /// Of `broken`: flows whose upstream was killed.
    uint64_t broken_with_upstream = 0;
    /// Of `broken`: flows that the caller received a reset for.
    uint64_t broken_by_reset = 0;
    /// Of `broken`: flows whose handshake was never completed.
    uint64_t broken_half_open = 0;
    uint64_t refused = 0;
    /// Refused flows whose SYN had reached an upstream.
    uint64_t untrue_refusals = 0;
    /// Flows whose requests reached two upstreams.
    uint64_t payload_at_two_upstreams = 0;
    uint64_t wrong_service = 0;
    uint64_t wrong_response = 0;
    uint64_t unfinished = 0;
    uint64_t control_bytes = 0;
    uint64_t control_messages = 0;
    uint64_t packets = 0;
    uint64_t second_hops = 0;
    uint64_t adopted = 0;
    uint64_t passed_on = 0;
    /// Flows that were reset without having been cut, and flows that were cut.
    uint64_t reset_without_cut = 0;
    uint64_t cut = 0;
    /// Baselines: flows that would have broken, since at least one packet would
    /// have reached another upstream than the SYN did. Respectively with a hash
    /// over the usable upstreams and with a table that also names one previous
    /// owner.
    uint64_t hash_broken = 0;
    uint64_t one_previous_broken = 0;
    /// Longest time from the start of a drain to a new flow at its upstream.
    std::chrono::microseconds last_accept_after_drain{0};
  };
  Results CollectResults() const;
  /// Number of flows in the tables of all running sidecars.
  uint64_t FlowsAtSidecars() const;
  /// Whether any running sidecar has the flow in its table.
  bool IsHeldBySidecar(uint64_t flow) const;

  size_t sidecars() const;
  size_t entries() const { return entries_.size(); }
  std::vector<size_t> SidecarsOfService(size_t service) const;

 private:
  // Receives the output of a sidecar's router.
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
  using Router = connection::SidecarRouter<Sink, RandomAdmissionPolicy>;
  using TablePtr = std::shared_ptr<const version::ForwardingTable>;

  bool DrawChance(double share);
  std::chrono::microseconds DrawUniform(std::chrono::microseconds from,
                                        std::chrono::microseconds to);
  std::chrono::microseconds DrawZoneDelay(const Sidecar& a, const Sidecar& b);

  void SendFromCaller(uint64_t index, bool syn, bool ack, bool fin, bool rst,
                      uint32_t sequence, bool payload);
  void ReceiveAtEntry(uint64_t index, std::vector<std::byte> bytes);
  void ReceiveAtSidecar(size_t endpoint, request::ForwardHeader header,
                        std::vector<std::byte> bytes);
  void ReceiveAtUpstream(size_t sidecar, std::span<const std::byte> bytes);
  void SendFromUpstream(size_t sidecar, const connection::EmptySegment& segment,
                        uint64_t payload_flow, bool payload);
  void ReceiveAtCaller(std::vector<std::byte> bytes);
  void BeginFlow(uint64_t index);
  void ScheduleNextStep(uint64_t index);
  void ScheduleRetransmission(uint64_t index, uint32_t step, uint32_t epoch,
                              uint32_t attempt);
  void SendPeerMessage(size_t from, request::InstanceId to,
                       const connection::PeerMessage& message);
  void TickRouter(size_t sidecar, uint64_t process_start);
  void SendOutstanding(uint64_t index);
  void CallWhenRunning(size_t sidecar, uint64_t process_start,
                       std::function<void()> call);
  void ScheduleStateDetection(size_t sidecar, bool alive);
  std::optional<uint64_t> FlowIndex(const request::FlowKey& key) const;
  request::FlowKey MakeFlowKey(uint64_t index) const;

  NetworkOptions options_;
  std::mt19937_64 random_;
  EventQueue queue_;
  request::HashKey hash_key_{1, 2, 3, 4};
  std::vector<std::unique_ptr<Sidecar>> sidecars_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::vector<std::unique_ptr<Service>> services_;
  std::vector<Caller> callers_;
  // By endpoint index: the sidecar that receives its packets.
  std::vector<size_t> endpoints_;
  std::unordered_map<request::InstanceId, size_t> by_instance_;
  std::map<std::pair<size_t, size_t>, TimePoint> last_arrival_;
  uint64_t next_version_ = 1;
  uint64_t next_incarnation_ = 1000;
  Results results_;
};

}  // namespace kumquatvalve::bench

#endif  // KUMQUATVALVE_BENCH_FAKE_NETWORK_H_
