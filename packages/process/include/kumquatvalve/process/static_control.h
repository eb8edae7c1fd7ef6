#ifndef KUMQUATVALVE_PROCESS_STATIC_CONTROL_H_
#define KUMQUATVALVE_PROCESS_STATIC_CONTROL_H_

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "kumquatvalve/connection/peer_message.h"
#include "kumquatvalve/process/control_agent.h"
#include "kumquatvalve/process/control_channel.h"
#include "kumquatvalve/process/sidecar_process.h"
#include "kumquatvalve/process/static_tables.h"
#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/version/process_settings.h"

namespace kumquatvalve::process {

/// Replaces `ControlAgent` in a process without an object API: reads tables and
/// members from a file, again whenever it changes, and exchanges peer messages
/// over the control channel. Owned by the control thread; only `Send` may be
/// called from other threads.
class StaticControl : public PeerChannel {
 public:
  /// @param path file of the form that `ParseStaticTables` reads.
  /// @param listener must outlive this object.
  /// @return null and `kSocketError` when the control endpoint cannot be bound.
  static std::unique_ptr<StaticControl> Open(
      const version::ProcessSettings& settings,
      request::Incarnation incarnation, std::string path,
      ControlListener* listener, request::Failure* failure);

  /// Handles messages and file changes; returns after at most `timeout`.
  /// @return false and a failure when the changed file is invalid; the previous
  ///   tables stay in force.
  bool RunOnce(std::chrono::milliseconds timeout, request::Failure* failure);

  /// Queues the message for the next `RunOnce`. Callable from any thread.
  void Send(request::InstanceId peer,
            const connection::PeerMessage& message) override;

 private:
  StaticControl(const version::ProcessSettings& settings,
                request::Incarnation incarnation, std::string path,
                ControlListener* listener,
                std::unique_ptr<ControlChannel> channel);

  bool ReadFile(request::Failure* failure);
  void SendQueued();

  std::string name_;
  request::Incarnation incarnation_;
  std::string path_;
  ControlListener* listener_;
  std::unique_ptr<ControlChannel> channel_;
  std::pair<uint64_t, int64_t> last_file_stamp_{0, 0};
  PeerTable peers_;
  std::map<request::ServiceId, request::TableVersion> published_versions_;
  std::map<request::InstanceId, request::Endpoint> control_endpoints_;
  std::mutex mutex_;
  std::vector<std::pair<request::InstanceId, connection::PeerMessage>> queue_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_STATIC_CONTROL_H_
