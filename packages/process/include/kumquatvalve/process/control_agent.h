#ifndef KUMQUATVALVE_PROCESS_CONTROL_AGENT_H_
#define KUMQUATVALVE_PROCESS_CONTROL_AGENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kumquatvalve/connection/peer_message.h"
#include "kumquatvalve/process/logging.h"
#include "kumquatvalve/process/member_lease.h"
#include "kumquatvalve/process/peer_table.h"
#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/request/result_code.h"
#include "kumquatvalve/version/forwarding_table.h"
#include "kumquatvalve/version/process_settings.h"
#include "kumquatvalve/version/service_table.h"

namespace kumquatvalve::process {

/// Properties that an upstream announces through its sidecar.
struct UpstreamAnnouncement {
  request::TeamName team;
  request::ServiceName service;
  /// Requests that the upstream works on at the same time.
  uint32_t slots = 1;
  /// Share of rows relative to the other upstreams, 1 to 1,000.
  uint32_t weight = 100;
  std::map<std::string, std::string> labels;

  friend bool operator==(const UpstreamAnnouncement&,
                         const UpstreamAnnouncement&) = default;
};

/// Receives changes from the control plane. All calls come from the thread that
/// runs `ControlAgent::RunOnce`; they may call back into the agent.
class ControlListener {
 public:
  virtual ~ControlListener() = default;

  /// Called with a newer forwarding table of a service and the addresses that
  /// lead to it. Versions of one service only increase. An entry instance
  /// receives the tables of all services, a sidecar that of the service that
  /// its upstream announced; it receives the current one again when its
  /// upstream returns to a service.
  virtual void OnTable(
      std::shared_ptr<const version::ForwardingTable> table,
      const std::vector<version::ServiceAddress>& addresses) = 0;

  /// The service was deleted.
  virtual void OnTableRemoved(request::ServiceId service) = 0;

  /// A member's incarnation, state or endpoint changed.
  virtual void OnPeer(request::InstanceId instance, const PeerInfo& peer) = 0;

  /// The own incarnation was raised above that of an earlier start, whose start
  /// time was later. Peers expect the new one in packets.
  virtual void OnOwnIncarnation(request::Incarnation incarnation) = 0;

  /// A message from another sidecar; its sender's incarnation was checked.
  virtual void OnPeerMessage(request::InstanceId from,
                             const connection::PeerMessage& message) = 0;

  /// The member lease was gained or lapsed. Traffic threads read
  /// `ControlAgent::lease` instead, which is exact.
  virtual void OnLease(bool valid) = 0;
};

/// Counters and gauges for /metrics and /status.
struct ControlStatus {
  /// Store revision up to which this process has applied all changes.
  request::TableVersion applied_version;
  uint64_t applied_digest = 0;
  bool lease_valid = false;
  bool relay = false;
  bool watcher = false;
  /// Service groups whose tables this process writes.
  uint64_t groups_held = 0;
  uint64_t members_alive = 0;
  uint64_t members_suspected = 0;
  uint64_t members_dead = 0;
  uint64_t messages_sent = 0;
  uint64_t messages_received = 0;
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
  /// Dropped messages by reason.
  std::map<request::ResultCode, uint64_t> messages_dropped;
  uint64_t store_calls = 0;
  uint64_t store_failures = 0;
};

/// Runs the control plane of one process: membership, relays, tables and
/// leases. Owned by the daemon's control thread; only `lease` and `Wake` may be
/// called from other threads.
class ControlAgent {
 public:
  /// Opens the control socket.
  /// @param incarnation start time of the process; raised when peers know a
  ///   larger one, see `ControlListener::OnOwnIncarnation`.
  /// @param listener and `logger` must outlive the agent.
  /// @return null and `kSocketError` when the control endpoint cannot be
  ///   opened.
  static std::unique_ptr<ControlAgent> Open(
      const version::ProcessSettings& settings,
      request::Incarnation incarnation, ControlListener* listener,
      const Logger* logger, request::Failure* failure);

  ~ControlAgent();
  ControlAgent(const ControlAgent&) = delete;
  ControlAgent& operator=(const ControlAgent&) = delete;

  /// Handles received messages, store results and due timers; returns after at
  /// most `timeout`, earlier after `Wake`.
  void RunOnce(std::chrono::milliseconds timeout);

  /// Makes a waiting `RunOnce` return. Callable from any thread.
  void Wake();

  /// Sends a message to a sidecar of the same service. A message to an unknown
  /// instance is counted and dropped; the router sends it again.
  void SendToPeer(request::InstanceId to,
                  const connection::PeerMessage& message);

  /// Sets the announcement of the local upstream, or clears it after the
  /// upstream deregistered. Called only at sidecars.
  void SetAnnouncement(std::optional<UpstreamAnnouncement> announcement);

  /// Sets the number of open flows of this process, which is shown on status
  /// pages and decides when draining ends.
  void SetOpenFlows(uint64_t open_flows);

  /// A draining sidecar owns no rows in the next table; it stays listed until
  /// `Leave`.
  void StartDrain();

  /// Announces that this process leaves. Call after the last flow ended, then
  /// call `RunOnce` once more to send the message.
  void Leave();

  /// May be read from any thread.
  const MemberLease& lease() const;

  ControlStatus status() const;

 private:
  class Impl;
  explicit ControlAgent(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_CONTROL_AGENT_H_
