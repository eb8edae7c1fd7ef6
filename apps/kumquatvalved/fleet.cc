#include "fleet.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <iostream>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "kumquatvalve/process/announce_server.h"
#include "kumquatvalve/process/control_agent.h"
#include "kumquatvalve/process/entry_process.h"
#include "kumquatvalve/process/logging.h"
#include "kumquatvalve/process/metrics.h"
#include "kumquatvalve/process/sidecar_process.h"
#include "kumquatvalve/process/static_control.h"
#include "kumquatvalve/process/status_server.h"
#include "kumquatvalve/process/tracing.h"
#include "kumquatvalve/version/settings_reader.h"
#include "kumquatvalve/version/subtree.h"
#include "settings_change.h"

namespace kumquatvalve::daemon {
namespace {

using process::LogEvent;
using process::LogLevel;
using request::Failure;

// Interval at which the control thread handles signals, checks the static
// tables for changes and counts the open flows of a drain.
constexpr std::chrono::milliseconds kControlInterval{50};

std::string JoinKeys(const std::vector<std::string>& keys) {
  std::string text;
  for (const std::string& it : keys) {
    text += (text.empty() ? "" : ",") + it;
  }
  return text;
}

// Blocks or unblocks the handled signals (`SIG_BLOCK`, `SIG_UNBLOCK`). They are
// blocked in all threads, except while the control thread runs the reactor, so
// that they interrupt no other system call.
void ChangeSignalMask(int operation) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int it : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&signals, it);
  }
  pthread_sigmask(operation, &signals, nullptr);
}

// Queue of messages to peers, from the traffic thread to the control thread.
class PeerMessageQueue : public process::PeerChannel {
 public:
  explicit PeerMessageQueue(process::ControlAgent* agent) : agent_(agent) {}

  void Send(request::InstanceId peer,
            const connection::PeerMessage& message) override {
    {
      const std::lock_guard lock(mutex_);
      if (queue_.size() >= kMaxQueuedMessages) {
        return;
      }
      queue_.emplace_back(peer, message);
    }
    agent_->Wake();
  }

  // Called by the control thread.
  void Flush() {
    std::vector<std::pair<request::InstanceId, connection::PeerMessage>> queue;
    {
      const std::lock_guard lock(mutex_);
      queue.swap(queue_);
    }
    for (const auto& [peer, message] : queue) {
      agent_->SendToPeer(peer, message);
    }
  }

 private:
  // Further messages are dropped; the router retransmits them.
  static constexpr size_t kMaxQueuedMessages = 4096;

  process::ControlAgent* agent_;
  std::mutex mutex_;
  std::vector<std::pair<request::InstanceId, connection::PeerMessage>> queue_;
};

// Runs the control thread: handles timers and signals through the reactor, and
// owns the traffic threads of one role and the status server.
class Daemon : public ACE_Event_Handler, public process::ControlListener {
 public:
  Daemon(version::ProcessSettings settings, std::string settings_path,
         std::string tables_path)
      : settings_(std::move(settings)),
        settings_path_(std::move(settings_path)),
        tables_path_(std::move(tables_path)),
        incarnation_{static_cast<uint64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count())},
        log_(settings_.instance.text(),
             settings_.log_format == "json" ? process::LogFormat::kJson
                                            : process::LogFormat::kKeyValue,
             settings_.log_level == "debug"     ? LogLevel::kDebug
             : settings_.log_level == "warning" ? LogLevel::kWarning
             : settings_.log_level == "error"   ? LogLevel::kError
                                                : LogLevel::kInfo),
        status_server_({{std::make_shared<process::TrafficCollector>(
                            [this] { return Sums(); })},
                        [this] { return ready_.load(); },
                        [this] {
                          const std::lock_guard lock(status_mutex_);
                          return status_;
                        }}) {}

  int Run() {
    Failure failure;
    if (!Start(&failure)) {
      log_.Log(LogLevel::kError, LogEvent::kProcessFailed, "cannot start",
               {{"error", ToString(failure)}});
      return request::ExitStatus(failure.code);
    }
    ACE_Reactor* reactor = ACE_Reactor::instance();
    for (const int it : {SIGTERM, SIGINT, SIGHUP}) {
      reactor->register_handler(it, this);
    }
    const ACE_Time_Value tick(kControlInterval);
    reactor->schedule_timer(this, nullptr, tick, tick);
    while (!done_) {
      ACE_Time_Value no_wait = ACE_Time_Value::zero;
      ChangeSignalMask(SIG_UNBLOCK);
      reactor->handle_events(no_wait);
      ChangeSignalMask(SIG_BLOCK);
      RunControlPlane();
    }
    reactor->cancel_timer(this);
    // The reactor outlives this handler and would call it when it is destroyed.
    for (const int it : {SIGTERM, SIGINT, SIGHUP}) {
      reactor->remove_handler(it, static_cast<ACE_Sig_Action*>(nullptr));
    }
    if (agent_ != nullptr) {
      agent_->Leave();
      agent_->RunOnce(std::chrono::milliseconds(0));
    }
    status_server_.Stop();
    if (spans_ != nullptr) {
      spans_->Flush();
    }
    log_.Log(LogLevel::kInfo, LogEvent::kProcessStopped, "stopped",
             {{"open_flows", std::to_string(OpenFlows())}});
    return 0;
  }

  // Runs inside the signal handler, so it only sets a flag.
  int handle_signal(int signal, siginfo_t* /*info*/,
                    ucontext_t* /*context*/) override {
    (signal == SIGHUP ? reload_requested_ : terminate_requested_) = 1;
    return 0;
  }

  int handle_timeout(const ACE_Time_Value& /*now*/,
                     const void* /*argument*/) override {
    if (std::exchange(reload_requested_, 0) != 0) {
      Reload();
    }
    if (terminate_requested_ != 0 && !stopping_) {
      StartShutdown();
    }
    UpdateStatus();
    if (stopping_) {
      ContinueShutdown();
    }
    if (spans_ != nullptr) {
      spans_->Flush();
    }
    return 0;
  }

  void OnTable(std::shared_ptr<const version::ForwardingTable> table,
               const std::vector<version::ServiceAddress>& addresses) override {
    RemoveService(table->service);
    for (const version::ServiceAddress& it : addresses) {
      tables_ = tables_.CopyWithTable(it, table);
    }
    const auto self = request::InstanceIdOf(settings_.instance);
    if (sidecar_ != nullptr && table->Find(self) != nullptr) {
      own_table_ = std::move(table);
    }
    tables_or_peers_changed_ = true;
  }

  void OnTableRemoved(request::ServiceId service) override {
    RemoveService(service);
    tables_or_peers_changed_ = true;
  }

  void OnPeer(request::InstanceId instance,
              const process::PeerInfo& peer) override {
    peers_[instance] = peer;
    tables_or_peers_changed_ = true;
  }

  void OnOwnIncarnation(request::Incarnation incarnation) override {
    incarnation_ = incarnation;
    if (sidecar_ != nullptr) {
      sidecar_->SetIncarnation(incarnation);
    }
  }

  void OnPeerMessage(request::InstanceId from,
                     const connection::PeerMessage& message) override {
    if (sidecar_ != nullptr) {
      // The sidecar must know the sender's state before it handles the message.
      Publish();
      sidecar_->OnPeerMessage(from, message);
    }
  }

  void OnLease(bool valid) override {
    if (sidecar_ != nullptr) {
      sidecar_->SetLease(valid);
    }
  }

 private:
  void RemoveService(request::ServiceId service) {
    const version::ServiceTable before = tables_;
    for (const auto& [address, table] : before.entries()) {
      if (table->service == service) {
        tables_ = tables_.CopyWithTable(address, nullptr);
      }
    }
  }

  bool OpenControl(Failure* failure) {
    if (!tables_path_.empty()) {
      static_control_ = process::StaticControl::Open(
          settings_, incarnation_, tables_path_, this, failure);
      return static_control_ != nullptr;
    }
    agent_ = process::ControlAgent::Open(settings_, incarnation_, this, &log_,
                                         failure);
    if (agent_ == nullptr) {
      return false;
    }
    peer_queue_ = std::make_unique<PeerMessageQueue>(agent_.get());
    return true;
  }

  bool Start(Failure* failure) {
    if (!settings_.trace_file.empty()) {
      spans_ = process::SpanFile::Open(settings_.trace_file, failure);
      if (spans_ == nullptr) {
        return false;
      }
      tracer_ = std::make_unique<process::HopTracer>(
          process::MakeZipkinTracer(settings_.instance.text(), spans_.get()),
          settings_.trace_one_in);
    }
    if (!OpenControl(failure)) {
      return false;
    }
    if (settings_.role == version::Role::kEntry) {
      entry_ =
          std::make_unique<process::EntryProcess>(settings_, tracer_.get());
      if (!entry_->Start(failure)) {
        return false;
      }
    } else {
      sidecar_ = std::make_unique<process::SidecarProcess>(
          settings_, incarnation_,
          agent_ != nullptr
              ? static_cast<process::PeerChannel*>(peer_queue_.get())
              : static_control_.get(),
          tracer_.get());
      if (agent_ != nullptr) {
        // Without a lease the sidecar must not admit a flow.
        sidecar_->SetLease(false);
      }
      announce_server_ = std::make_unique<process::AnnounceServer>();
      if (!announce_server_->Start(settings_.upstream->announce, failure)) {
        return false;
      }
      if (!sidecar_->Start(failure)) {
        return false;
      }
    }
    UpdateStatus();
    if (!status_server_.Start(settings_.status, failure)) {
      return false;
    }
    log_.Log(LogLevel::kInfo, LogEvent::kProcessStarted, "started",
             {{"role", entry_ != nullptr ? "entry" : "sidecar"},
              {"incarnation", std::to_string(incarnation_.value)}});
    return true;
  }

  void OnAnnouncement(
      std::optional<process::UpstreamAnnouncement> announcement) {
    if (announcement) {
      const version::ServicePath service{announcement->team,
                                         announcement->service};
      if (announced_service_ && *announced_service_ != service) {
        log_.Log(LogLevel::kInfo, LogEvent::kUpstreamChanged,
                 "announced another service",
                 {{"service", ToString(service)},
                  {"previous", ToString(*announced_service_)}});
        own_table_.reset();
        sidecar_->SuspendDelivery();
      }
      announced_service_ = service;
    } else {
      log_.Log(LogLevel::kInfo, LogEvent::kUpstreamChanged,
               "withdrew its announcement", {});
      own_table_.reset();
      sidecar_->SuspendAdmission();
    }
    agent_->SetAnnouncement(std::move(announcement));
  }

  void RunControlPlane() {
    Failure failure;
    if (agent_ != nullptr) {
      peer_queue_->Flush();
      agent_->SetOpenFlows(OpenFlows());
      if (announce_server_ != nullptr) {
        if (auto change = announce_server_->TakeChange()) {
          OnAnnouncement(std::move(*change));
        }
      }
      agent_->RunOnce(kControlInterval / 2);
      peer_queue_->Flush();
    } else if (!static_control_->RunOnce(kControlInterval / 2, &failure)) {
      log_.Log(LogLevel::kError, LogEvent::kReloadRefused,
               "static tables file is not valid",
               {{"error", ToString(failure)}});
    }
    Publish();
  }

  // Publishes the tables and peers received since the last call to the traffic
  // threads.
  void Publish() {
    if (!std::exchange(tables_or_peers_changed_, false)) {
      return;
    }
    if (entry_ != nullptr) {
      entry_->PublishPeers(peers_);
      entry_->PublishTables(tables_);
    } else {
      sidecar_->PublishPeers(peers_);
      if (own_table_ != nullptr) {
        sidecar_->PublishTable(std::exchange(own_table_, nullptr));
      }
    }
    log_.Log(LogLevel::kInfo, LogEvent::kTablesPublished, "tables published",
             {{"services", std::to_string(tables_.size())},
              {"members", std::to_string(peers_.size())}});
  }

  void Reload() {
    std::vector<version::SettingsError> errors;
    const auto settings = version::LoadProcessSettings(settings_path_, &errors);
    if (!settings) {
      for (const version::SettingsError& it : errors) {
        log_.Log(LogLevel::kError, LogEvent::kReloadRefused,
                 "settings file is not valid; the settings in force stay",
                 {{"error", ToString(it)}});
      }
      return;
    }
    const SettingsChange change = CompareSettings(settings_, *settings);
    settings_.drain_timeout = settings->drain_timeout;
    log_.Log(LogLevel::kInfo, LogEvent::kSettingsReloaded, "settings reloaded",
             {{"applied", JoinKeys(change.applied)},
              {"restart", JoinKeys(change.needs_restart)}});
  }

  void StartShutdown() {
    stopping_ = true;
    shutdown_started_at_ = std::chrono::steady_clock::now();
    log_.Log(LogLevel::kInfo, LogEvent::kProcessStopping,
             "graceful shutdown started",
             {{"open_flows", std::to_string(OpenFlows())}});
    if (sidecar_ != nullptr) {
      sidecar_->StartDrain();
    }
    if (agent_ != nullptr) {
      agent_->StartDrain();
    }
  }

  void ContinueShutdown() {
    if (entry_ != nullptr) {
      entry_->Stop();
      done_ = true;
      return;
    }
    const auto elapsed =
        std::chrono::steady_clock::now() - shutdown_started_at_;
    // The traffic thread updates the number of open flows once an interval.
    if (sidecar_->OpenFlows() == 0 && elapsed > 4 * kControlInterval) {
      done_ = true;
    } else if (elapsed > settings_.drain_timeout) {
      log_.Log(LogLevel::kWarning, LogEvent::kDrainTimedOut,
               "drain timed out; stopping with open flows",
               {{"open_flows", std::to_string(OpenFlows())}});
      done_ = true;
    }
    if (done_) {
      sidecar_->Stop();
    }
  }

  process::TrafficSums Sums() const {
    return entry_ != nullptr     ? entry_->Sums()
           : sidecar_ != nullptr ? sidecar_->Sums()
                                 : process::TrafficSums();
  }

  size_t OpenFlows() const {
    return sidecar_ != nullptr ? sidecar_->OpenFlows() : 0;
  }

  void UpdateStatus() {
    const bool ready =
        !stopping_ && (entry_ != nullptr ? entry_->Ready() : sidecar_->Ready());
    ready_ = ready;
    const process::TrafficSums sums = Sums();
    nlohmann::ordered_json status;
    status["instance"] = settings_.instance.text();
    status["role"] = entry_ != nullptr ? "entry" : "sidecar";
    status["incarnation"] = incarnation_.value;
    status["availability_zone"] = settings_.availability_zone.text();
    status["ready"] = ready;
    status["stopping"] = stopping_;
    status["open_flows"] = OpenFlows();
    if (sidecar_ != nullptr) {
      const connection::SidecarRouterStats stats = sidecar_->RouterStats();
      status["flows"] = {{"admitted", stats.admitted},
                         {"passed_on", stats.passed_on},
                         {"refused", stats.refused},
                         {"adopted", stats.adopted},
                         {"evicted", stats.evicted},
                         {"second_hops", stats.second_hops},
                         {"silent_ended", stats.silent_ended},
                         {"probes", stats.probes}};
    }
    status["resident_bytes"] = process::ResidentBytes();
    for (size_t i = 0; i < process::kPacketEvents; ++i) {
      status["packets"]
            [std::string(process::Name(static_cast<process::PacketEvent>(i)))] =
                sums.events[i];
    }
    status["drops"] = nlohmann::ordered_json::object();
    for (const auto& [code, n] : sums.drops) {
      status["drops"][std::string(request::Name(code))] = n;
    }
    const std::lock_guard lock(status_mutex_);
    status_ = status.dump();
  }

  version::ProcessSettings settings_;
  std::string settings_path_;
  std::string tables_path_;
  request::Incarnation incarnation_;
  process::Logger log_;
  std::unique_ptr<process::SpanFile> spans_;
  std::unique_ptr<process::HopTracer> tracer_;
  std::unique_ptr<process::StaticControl> static_control_;
  std::unique_ptr<process::ControlAgent> agent_;
  std::unique_ptr<PeerMessageQueue> peer_queue_;
  std::unique_ptr<process::AnnounceServer> announce_server_;
  std::unique_ptr<process::EntryProcess> entry_;
  std::unique_ptr<process::SidecarProcess> sidecar_;
  version::ServiceTable tables_;
  process::PeerTable peers_;
  std::shared_ptr<const version::ForwardingTable> own_table_;
  /// The last announced service; kept after a withdrawal.
  std::optional<version::ServicePath> announced_service_;
  bool tables_or_peers_changed_ = false;
  std::atomic<bool> ready_{false};
  std::mutex status_mutex_;
  std::string status_;
  process::StatusServer status_server_;
  volatile sig_atomic_t terminate_requested_ = 0;
  volatile sig_atomic_t reload_requested_ = 0;
  bool stopping_ = false;
  bool done_ = false;
  std::chrono::steady_clock::time_point shutdown_started_at_;
};

}  // namespace

int RunFleet(const FleetOptions& options) {
  std::vector<version::SettingsError> errors;
  auto settings = version::LoadProcessSettings(options.settings_path, &errors);
  if (!settings) {
    for (const version::SettingsError& it : errors) {
      std::cerr << ToString(it) << "\n";
    }
    return request::ExitStatus(errors.empty() ? request::ResultCode::kBadYaml
                                              : errors.front().code);
  }
  const bool entry = settings->role == version::Role::kEntry;
  if (!options.role.empty() && options.role != (entry ? "entry" : "sidecar")) {
    const Failure failure = {request::ResultCode::kBadUsage,
                             "--role=" + options.role +
                                 " does not match the role in " +
                                 options.settings_path};
    std::cerr << ToString(failure) << "\n";
    return request::ExitStatus(failure.code);
  }
  // Called before the first thread starts, since threads inherit the signal
  // mask.
  ChangeSignalMask(SIG_BLOCK);
  Daemon daemon(*settings, options.settings_path, options.tables_path);
  return daemon.Run();
}

}  // namespace kumquatvalve::daemon
