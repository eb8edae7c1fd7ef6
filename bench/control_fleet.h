#ifndef KUMQUATVALVE_BENCH_CONTROL_FLEET_H_
#define KUMQUATVALVE_BENCH_CONTROL_FLEET_H_

#include <chrono>
#include <cstdint>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "event_queue.h"
#include "kumquatvalve/process/control_channel.h"
#include "kumquatvalve/process/control_node.h"
#include "kumquatvalve/process/peer_codec.h"
#include "kumquatvalve/process/table_codec.h"
#include "kumquatvalve/version/service_spec.h"

namespace kumquatvalve::bench {

/// State and faults of a simulated object API with revisions, conditional
/// writes and watches.
struct FakeStore {
  /// Delay of each poll, and of the request and the response of each write.
  std::chrono::milliseconds delay{5};
  bool down = false;
  /// Number of next writes that take effect but whose response is lost.
  uint32_t lost_responses = 0;
  uint64_t revision = 0;
  uint64_t calls = 0;
  std::map<std::string, control::ConfigObject> objects;
};

/// Simulated fleet of processes, each with a `ControlNode`, which exchange
/// messages and store calls over an event queue. Counts the bytes, messages and
/// processor time of each.
class ControlFleet {
 public:
  using TimePoint = EventQueue::TimePoint;
  using Duration = EventQueue::Duration;

  struct Process {
    std::string name;
    std::unique_ptr<process::ControlNode> node;
    process::ControlNodeSettings settings;
    process::EnvelopeFilter filter;
    /// False for a killed process.
    bool running = true;
    bool paused = false;
    bool synchronized = false;
    /// The two watches of a watcher are in progress.
    bool watching = false;
    /// Sent and received, with overhead.
    uint64_t bytes = 0;
    uint64_t messages = 0;
    double cpu_seconds = 0;
    /// Messages sent in a role after the lease had lapsed.
    uint64_t messages_sent_after_lease = 0;
    std::vector<process::OutgoingMessage> undelivered;
    /// By service id: the spec version and the version of the applied table.
    std::map<uint64_t, uint64_t> applied_spec_versions;
    std::map<uint64_t, uint64_t> applied_table_versions;
    std::map<std::string, control::MemberState> member_states;
  };

  /// @param zone_delay one way between any two processes.
  explicit ControlFleet(std::chrono::microseconds zone_delay, uint64_t seed)
      : zone_delay_(zone_delay), random_(seed) {}

  /// Starts a process, whose seeds are the first two processes of the fleet.
  /// @param service service that a sidecar announces; empty for none.
  Process& AddProcess(control::Role role, const std::string& zone,
                      const std::string& service,
                      const process::ControlNodeSettings& settings = {}) {
    const size_t index = processes_.size();
    control::Member self;
    self.set_instance((role == control::ROLE_ENTRY ? "entry-" : "sidecar-") +
                      std::to_string(index));
    self.set_incarnation(1700000000000000 + index);
    self.set_role(role);
    self.set_availability_zone(zone);
    self.set_region("region");
    const request::Endpoint control = ControlEndpoint(index);
    *self.mutable_control() = process::WriteEndpoint(control);
    *self.mutable_data() =
        process::WriteEndpoint({control.address, uint16_t{7001}});
    if (!service.empty()) {
      self.mutable_announcement()->set_team("team");
      self.mutable_announcement()->set_service(service);
      self.mutable_announcement()->set_slots(4);
      self.mutable_announcement()->set_weight(100);
    }
    auto process = std::make_unique<Process>();
    process->name = self.instance();
    process->settings = settings;
    StartNode(*process, self);
    processes_.push_back(std::move(process));
    processes_by_endpoint_[control] = index;
    ScheduleTick(index);
    return *processes_.back();
  }

  /// Advances the simulated clock.
  void Run(Duration time) { queue_.RunUntil(queue_.now() + time); }
  TimePoint now() const { return queue_.now(); }
  FakeStore& store() { return store_; }
  std::vector<std::unique_ptr<Process>>& processes() { return processes_; }

  /// Creates or replaces a stored service and returns its version.
  uint64_t StoreService(const std::string& name, uint32_t slots) {
    version::StoredService service;
    service.path = {request::TeamName("team"), request::ServiceName(name)};
    request::Failure failure;
    const size_t number = std::hash<std::string>()(name) % 200;
    service.spec.addresses = {*version::ParseServiceAddress(
        "10.9.0." + std::to_string(number) + ":80/tcp", &failure)};
    service.spec.slots = slots;
    service.operation = {"op", "2026-01-01T00:00:00Z", "bench"};
    const std::string path = version::ToString(service.path);
    const auto known = store_.objects.find(path);
    if (known != store_.objects.end()) {
      service.created = service_ids_[path];
    }
    StoreObject(path, version::WriteStoredService(service));
    service_ids_.try_emplace(path, request::ServiceId{store_.revision});
    return store_.revision;
  }

  /// True when every running entry instance and every running sidecar of the
  /// service has applied a table built from at least this version of the
  /// stored service.
  bool IsInForce(const std::string& name, uint64_t version) const {
    const uint64_t id = service_ids_.at("/teams/team/services/" + name).value;
    for (const auto& it : processes_) {
      const control::Member& self = it->node->membership().self();
      const bool needs_table = self.role() == control::ROLE_ENTRY ||
                               self.announcement().service() == name;
      const auto found = it->applied_spec_versions.find(id);
      if (it->running && needs_table &&
          (found == it->applied_spec_versions.end() ||
           found->second < version)) {
        return false;
      }
    }
    return true;
  }

  /// Stops the timers and message handling of a process.
  void Pause(Process& process) { process.paused = true; }
  /// Continues a paused process. Messages that arrived meanwhile are handled
  /// after its first timer, as in a real process that is resumed.
  void Resume(Process& process) { process.paused = false; }

  /// Ends a process without a message.
  void Kill(Process& process) { process.running = false; }
  /// Starts a killed process again, with nothing that it knew before.
  void Restart(Process& process, request::Incarnation incarnation) {
    control::Member self = process.node->membership().self();
    self.set_incarnation(incarnation.value);
    StartNode(process, self);
    process.filter = {};
    process.running = true;
    process.watching = false;
    process.applied_table_versions.clear();
    process.member_states.clear();
    ScheduleTick(
        processes_by_endpoint_.at(*process::ReadEndpoint(self.control())));
  }

  /// Transitions of a member to the state dead, over all processes.
  uint64_t evictions() const { return evictions_; }
  /// Tables that were applied after the same or a newer version of the same
  /// service's table.
  uint64_t reverts() const { return reverts_; }

 private:
  static request::Endpoint ControlEndpoint(size_t index) {
    const uint8_t bytes[] = {10, static_cast<uint8_t>(index >> 16),
                             static_cast<uint8_t>(index >> 8),
                             static_cast<uint8_t>(index)};
    return {request::MapIpv4(bytes), 7000};
  }

  void StartNode(Process& process, const control::Member& self) {
    process.node = std::make_unique<process::ControlNode>(
        self,
        std::vector<request::Endpoint>{ControlEndpoint(0), ControlEndpoint(1)},
        process.settings, random_());
  }

  // Runs a call and adds its processor time to the process.
  template <typename F>
  void MeasureCpu(Process& process, F&& call) {
    timespec start;
    timespec end;
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &start);
    call();
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &end);
    process.cpu_seconds +=
        static_cast<double>(end.tv_sec - start.tv_sec) +
        1e-9 * static_cast<double>(end.tv_nsec - start.tv_nsec);
  }

  void ScheduleTick(size_t index) {
    const auto jitter = std::chrono::milliseconds(random_() % 50);
    queue_.ScheduleAfter(
        std::chrono::milliseconds(50) + jitter / 10, [this, index] {
          Process& process = *processes_[index];
          if (!process.running) {
            return;
          }
          if (!process.paused) {
            process::NodeActions actions;
            MeasureCpu(process,
                       [&] { process.node->Tick(queue_.now(), &actions); });
            PerformActions(index, std::move(actions));
            if (process.node->watcher() && !process.watching) {
              StartWatches(index);
            }
          }
          ScheduleTick(index);
        });
  }

  void PerformActions(size_t index, process::NodeActions&& actions) {
    Process& process = *processes_[index];
    for (const auto& it : actions.changed) {
      const auto state = process.node->membership().State(it);
      auto& known = process.member_states[it];
      if (state == control::MEMBER_STATE_DEAD && known != state) {
        ++evictions_;
      }
      known = state;
    }
    for (const auto& it : actions.applied) {
      request::Failure failure;
      const auto table =
          process::ReadTable(it.body(), {it.version()}, &failure);
      if (table) {
        uint64_t& version =
            process.applied_table_versions[table->table.service.value];
        reverts_ += it.version() <= version ? 1 : 0;
        version = it.version();
        process.applied_spec_versions[table->table.service.value] =
            table->spec_version.value;
      }
    }
    for (auto& it : actions.messages) {
      const size_t size = it.envelope.ByteSizeLong() + kMessageOverheadBytes;
      process.bytes += size;
      ++process.messages;
      const auto found = processes_by_endpoint_.find(it.to);
      if (found != processes_by_endpoint_.end()) {
        Deliver(found->second, std::move(it.envelope), size);
      }
    }
    for (auto& it : actions.writes) {
      SendWrite(index, std::move(it));
    }
  }

  void Deliver(size_t to, control::Envelope&& envelope, size_t size) {
    auto shared = std::make_shared<control::Envelope>(std::move(envelope));
    queue_.ScheduleAfter(zone_delay_, [this, to, shared, size] {
      Process& process = *processes_[to];
      if (!process.running) {
        return;
      }
      if (process.paused) {
        // Stays in the socket's buffer.
        const std::chrono::milliseconds retry(10);
        queue_.ScheduleAfter(retry, [this, to, shared, size] {
          Deliver(to, std::move(*shared), size);
        });
        return;
      }
      process.bytes += size;
      process::NodeActions actions;
      MeasureCpu(process, [&] {
        if (process.filter.IsFromNewest(*shared)) {
          process.node->OnEnvelope(std::move(*shared), queue_.now(), &actions);
        } else {
          const uint64_t newest =
              process.filter.NewestIncarnation(shared->sender());
          process.node->OnStaleEnvelope({*shared, newest}, &actions);
        }
      });
      PerformActions(to, std::move(actions));
    });
  }

  void StoreObject(const std::string& path, const std::string& body,
                   bool deleted = false) {
    control::ConfigObject& object = store_.objects[path];
    object.set_path(path);
    object.set_body(body);
    object.set_version(++store_.revision);
    object.set_deleted(deleted);
  }

  // Starts the two watches of a watcher, as long polls that end with the next
  // change or after 20 s.
  void StartWatches(size_t index) {
    Process& process = *processes_[index];
    process.watching = true;
    PollObjects(index, 0, queue_.now(), "/leases/");
    PollObjects(index, 0, queue_.now(), "/t");
  }

  void PollObjects(size_t index, uint64_t since, TimePoint started,
                   const std::string& prefix) {
    if (started == queue_.now()) {
      ++store_.calls;
    }
    queue_.ScheduleAfter(store_.delay, [this, index, since, started, prefix] {
      Process& process = *processes_[index];
      if (!process.node->watcher()) {
        process.watching = false;
        return;
      }
      if (!process.running || process.paused) {
        queue_.ScheduleAfter(
            std::chrono::seconds(1), [this, index, since, prefix] {
              if (processes_[index]->running) {
                PollObjects(index, since, queue_.now(), prefix);
              }
            });
        return;
      }
      if (store_.down) {
        process.node->OnStoreFailure(queue_.now());
        const auto jitter = std::chrono::milliseconds(random_() % 2000);
        queue_.ScheduleAfter(jitter, [this, index, since, prefix] {
          PollObjects(index, since, queue_.now(), prefix);
        });
        return;
      }
      std::vector<control::ConfigObject> changed_objects;
      for (const auto& [path, object] : store_.objects) {
        if (path.starts_with(prefix) && object.version() > since) {
          changed_objects.push_back(object);
        }
      }
      const bool is_first_call = since == 0;
      const bool timed_out = queue_.now() - started > std::chrono::seconds(20);
      if (changed_objects.empty() && !is_first_call && !timed_out) {
        // The same long poll goes on.
        queue_.ScheduleAfter(std::chrono::milliseconds(5),
                             [this, index, since, started, prefix] {
                               PollObjects(index, since, started, prefix);
                             });
        return;
      }
      process::NodeActions actions;
      const uint64_t revision = store_.revision;
      MeasureCpu(process, [&] {
        if (prefix == "/t") {
          process.node->OnStoreObjects(changed_objects, revision, is_first_call,
                                       queue_.now(), &actions);
        } else {
          process.node->OnLeaseObjects(changed_objects, queue_.now());
        }
      });
      PerformActions(index, std::move(actions));
      queue_.ScheduleAfter(std::chrono::milliseconds(1),
                           [this, index, revision, prefix] {
                             PollObjects(index, std::max<uint64_t>(revision, 1),
                                         queue_.now(), prefix);
                           });
    });
  }

  void SendWrite(size_t index, process::StoreWrite&& write) {
    auto shared = std::make_shared<process::StoreWrite>(std::move(write));
    Process& process = *processes_[index];
    if (!process.node->MaySend(*shared, queue_.now())) {
      process.node->OnWriteFailed(*shared, request::ResultCode::kLeaseLapsed,
                                  {}, queue_.now());
      return;
    }
    ++store_.calls;
    process.bytes += shared->body.size() + kHttpOverheadBytes;
    queue_.ScheduleAfter(store_.delay, [this, index, shared] {
      Process& writer = *processes_[index];
      const auto it = store_.objects.find(shared->path);
      const bool exists = it != store_.objects.end() && !it->second.deleted();
      const uint64_t version = exists ? it->second.version() : 0;
      request::ResultCode code = request::ResultCode::kOk;
      if (store_.down) {
        code = request::ResultCode::kStoreUnavailable;
      } else if (version != shared->expected.value) {
        code = request::ResultCode::kConflict;
      } else {
        StoreObject(shared->path, shared->body,
                    shared->kind == process::StoreWrite::Kind::kDelete);
        if (store_.lost_responses > 0) {
          --store_.lost_responses;
          code = request::ResultCode::kOutcomeUnknown;
        }
      }
      const uint64_t written = store_.revision;
      queue_.ScheduleAfter(store_.delay, [this, shared, code, written, version,
                                          &writer] {
        if (code == request::ResultCode::kOk) {
          writer.node->OnWritten(*shared, {written}, queue_.now());
        } else {
          writer.node->OnWriteFailed(*shared, code, {version}, queue_.now());
        }
      });
    });
  }

  // TCP/IP headers (52 bytes) and the ZeroMQ frame with CURVE: flags and length
  // (2), command name (8), nonce (8) and authenticator (17).
  static constexpr size_t kMessageOverheadBytes = 52 + 2 + 8 + 8 + 17;

  // HTTP headers of a request and its response.
  static constexpr size_t kHttpOverheadBytes = 600;

  const std::chrono::microseconds zone_delay_;
  std::mt19937_64 random_;
  EventQueue queue_;
  FakeStore store_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::map<request::Endpoint, size_t> processes_by_endpoint_;
  std::map<std::string, request::ServiceId> service_ids_;
  uint64_t evictions_ = 0;
  uint64_t reverts_ = 0;
};

}  // namespace kumquatvalve::bench

#endif  // KUMQUATVALVE_BENCH_CONTROL_FLEET_H_
