#ifndef KUMQUATVALVE_PROCESS_SIDECAR_PROCESS_H_
#define KUMQUATVALVE_PROCESS_SIDECAR_PROCESS_H_

#include <functional>
#include <memory>

#include "kumquatvalve/connection/peer_message.h"
#include "kumquatvalve/connection/sidecar_router.h"
#include "kumquatvalve/process/peer_table.h"
#include "kumquatvalve/process/tracing.h"
#include "kumquatvalve/process/traffic_counters.h"
#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/request/result_code.h"
#include "kumquatvalve/version/forwarding_table.h"
#include "kumquatvalve/version/process_settings.h"

namespace kumquatvalve::process {

/// Sends messages to the other sidecars of a service. `Send` is called by the
/// traffic thread and must neither block nor call back into the sidecar.
class PeerChannel {
 public:
  virtual ~PeerChannel() = default;
  virtual void Send(request::InstanceId peer,
                    const connection::PeerMessage& message) = 0;
};

/// Runs the traffic thread of a sidecar. Packets from entry instances and other
/// sidecars arrive at `settings.data`, the upstream's packets at the UDP port
/// of `settings.upstream->announce`. All functions are called by the control
/// thread.
class SidecarProcess {
 public:
  /// @param channel sends messages to peers; null drops them.
  /// @param tracer records the spans of sampled packets; null for no tracing.
  SidecarProcess(const version::ProcessSettings& settings,
                 request::Incarnation incarnation, PeerChannel* channel,
                 HopTracer* tracer);
  ~SidecarProcess();
  SidecarProcess(const SidecarProcess&) = delete;
  SidecarProcess& operator=(const SidecarProcess&) = delete;

  /// Opens the sockets and starts the traffic thread.
  /// @return false and a failure when a socket cannot be opened or the settings
  ///   lack the upstream.
  bool Start(request::Failure* failure);

  /// Replaces the forwarding table of the service that the upstream serves;
  /// ends what `SuspendAdmission` or `SuspendDelivery` started.
  void PublishTable(std::shared_ptr<const version::ForwardingTable> table);

  /// The upstream withdrew from the service of the published table. It gets no
  /// new flows until the next table: they are passed on to other upstreams.
  /// Open flows continue.
  void SuspendAdmission();

  /// The upstream serves another service than that of the published table. As
  /// `SuspendAdmission`, and the upstream gets no packets at all.
  void SuspendDelivery();

  /// Replaces the membership state of all instances. Packets of a sender that
  /// is not in the newest table are dropped.
  void PublishPeers(PeerTable peers);

  /// Passes a message from a peer to the traffic thread.
  void OnPeerMessage(request::InstanceId from, connection::PeerMessage message);

  /// Sets whether the membership lease is valid; it counts as valid before the
  /// first call. Without a valid lease no new flow is taken.
  void SetLease(bool valid);

  /// Replaces the incarnation that forwarded packets have to name.
  void SetIncarnation(request::Incarnation incarnation);

  /// Starts draining: no new flow is taken, open flows continue.
  void StartDrain();
  bool draining() const;

  /// Ends the traffic thread. For a graceful shutdown, call it after
  /// `StartDrain` when `OpenFlows` is 0 or the drain timeout has passed.
  void Stop();

  /// Number of open flows at the end of the last tick.
  size_t OpenFlows() const;

  /// True when a table was published, nothing was suspended since, and no drain
  /// was started.
  bool Ready() const;

  /// Sums of the traffic counters.
  TrafficSums Sums() const;

  /// The router's counters at the end of the last tick.
  connection::SidecarRouterStats RouterStats() const;

 private:
  class Traffic;

  std::unique_ptr<Traffic> traffic_;
  PeerTable peers_;
  bool has_table_ = false;
  bool draining_ = false;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_SIDECAR_PROCESS_H_
