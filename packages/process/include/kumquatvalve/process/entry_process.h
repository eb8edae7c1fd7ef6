#ifndef KUMQUATVALVE_PROCESS_ENTRY_PROCESS_H_
#define KUMQUATVALVE_PROCESS_ENTRY_PROCESS_H_

#include <atomic>
#include <memory>
#include <vector>

#include "kumquatvalve/process/peer_table.h"
#include "kumquatvalve/process/routing_snapshot.h"
#include "kumquatvalve/process/tracing.h"
#include "kumquatvalve/process/traffic_counters.h"
#include "kumquatvalve/process/udp_batch.h"
#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/request/result_code.h"
#include "kumquatvalve/version/process_settings.h"
#include "kumquatvalve/version/service_table.h"

namespace kumquatvalve::process {

/// Runs the traffic threads of an entry instance. All functions are called by
/// the control thread.
class EntryProcess {
 public:
  /// @param tracer records the spans of sampled packets; null for no tracing.
  EntryProcess(const version::ProcessSettings& settings, HopTracer* tracer);
  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  /// Opens one socket per traffic thread and starts the threads.
  /// @return false and a failure when a socket cannot be opened.
  bool Start(request::Failure* failure);

  /// Replaces the forwarding tables of all services.
  void PublishTables(version::ServiceTable tables);

  /// Replaces the membership state of all instances.
  void PublishPeers(PeerTable peers);

  /// Graceful shutdown: returns when the sockets have been idle for
  /// `kSocketIdleTimeout` (or after `kStopTimeout`) and the threads have ended.
  /// The fabric should have stopped sending before.
  void Stop();

  /// Endpoint at which packets are received, with the port that the kernel
  /// chose if the settings have port 0.
  request::Endpoint Local() const;

  /// True when at least one service can be routed.
  bool Ready() const;

  /// Sums of the traffic counters of all threads.
  TrafficSums Sums() const;
  size_t services() const { return tables_.size(); }

 private:
  class Traffic;

  void Publish();

  version::ProcessSettings settings_;
  HopTracer* tracer_;
  version::ServiceTable tables_;
  PeerTable peers_;
  SnapshotCell<RoutingSnapshot> snapshot_;
  std::atomic<bool> stopping_{false};
  std::vector<std::unique_ptr<Traffic>> threads_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_ENTRY_PROCESS_H_
