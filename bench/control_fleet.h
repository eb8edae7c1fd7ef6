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
#include "kumquatvalve/process/control_node.h"
#include "kumquatvalve/process/peer_codec.h"
#include "kumquatvalve/process/table_codec.h"
#include "kumquatvalve/version/service_spec.h"

namespace kumquatvalve::bench {

/// The object API as the decision objects see it: revisions, conditional
/// writes and watches, with delays and faults.
struct FakeStore {
  std::chrono::milliseconds delay{5};
  bool down = false;
  /// Writes that take effect without an answer.
  uint32_t lost_answers = 0;
  uint64_t revision = 0;
  uint64_t calls = 0;
  std::map<std::string, control::ConfigObject> objects;
};

/// Control nodes that exchange messages over a queue of events.
class ControlFleet {
 public:
  using TimePoint = EventQueue::TimePoint;
  using Duration = EventQueue::Duration;

  struct Process {
    std::string name;
    std::unique_ptr<process::ControlNode> node;
    bool running = true;
    bool paused = false;
    bool synchronized = false;
    bool waiting = false;
    uint64_t bytes = 0;
    uint64_t messages = 0;
    double cpu_seconds = 0;
    /// Messages sent in a role while the lease had lapsed.
    uint64_t stale_sent = 0;
    std::vector<process::OutgoingMessage> held;
    std::map<uint64_t, uint64_t> table_spec;
    std::map<uint64_t, uint64_t> table_version;
    std::map<std::string, control::MemberState> states;
  };

  explicit ControlFleet(std::chrono::microseconds zone_delay, uint64_t seed)
      : zone_delay_(zone_delay), random_(seed) {}

  Process& Add(control::Role role, const std::string& zone,
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
    const request::Endpoint control = EndpointOf(index);
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
    process->node = std::make_unique<process::ControlNode>(
        self, std::vector<request::Endpoint>{EndpointOf(0), EndpointOf(1)},
        settings, random_());
    processes_.push_back(std::move(process));
    by_endpoint_[control] = index;
    ScheduleTick(index);
    return *processes_.back();
  }

  void Run(Duration time) { queue_.RunUntil(queue_.now() + time); }
  TimePoint now() const { return queue_.now(); }
  FakeStore& store() { return store_; }
  std::vector<std::unique_ptr<Process>>& processes() { return processes_; }

  /// Stores a service and returns its version.
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
      service.created = created_[path];
    }
    Put(path, version::WriteStoredService(service));
    created_.try_emplace(path, request::ServiceId{store_.revision});
    return store_.revision;
  }

  /// True when every process that needs the service has a table of it that
  /// follows the settings of `version`.
  bool InForce(const std::string& name, uint64_t version) const {
    const uint64_t id = created_.at("/teams/team/services/" + name).value;
    for (const auto& it : processes_) {
      const control::Member& self = it->node->membership().self();
      const bool needs = self.role() == control::ROLE_ENTRY ||
                         self.announcement().service() == name;
      const auto found = it->table_spec.find(id);
      if (it->running && needs &&
          (found == it->table_spec.end() || found->second < version)) {
        return false;
      }
    }
    return true;
  }

  void Pause(Process& process) { process.paused = true; }
  /// What waited in the sockets is handled after the first timer, as when a
  /// process wakes.
  void Resume(Process& process) { process.paused = false; }

  uint64_t evictions() const { return evictions_; }
  /// Tables that were applied after a newer one of the same service.
  uint64_t reverts() const { return reverts_; }

 private:
  static request::Endpoint EndpointOf(size_t index) {
    const uint8_t bytes[] = {10, static_cast<uint8_t>(index >> 16),
                             static_cast<uint8_t>(index >> 8),
                             static_cast<uint8_t>(index)};
    return {request::MapIpv4(bytes), 7000};
  }

  // The decision objects' own time on the processor.
  template <typename F>
  void Measure(Process& process, F&& call) {
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
    queue_.After(std::chrono::milliseconds(50) + jitter / 10, [this, index] {
      Process& process = *processes_[index];
      if (!process.running) {
        return;
      }
      if (!process.paused) {
        process::NodeActions actions;
        Measure(process, [&] { process.node->Tick(queue_.now(), &actions); });
        Perform(index, std::move(actions));
        if (process.node->watcher() && !process.waiting) {
          Watch(index);
        }
      }
      ScheduleTick(index);
    });
  }

  void Perform(size_t index, process::NodeActions&& actions) {
    Process& process = *processes_[index];
    for (const auto& it : actions.changed) {
      const auto state = process.node->membership().State(it);
      auto& known = process.states[it];
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
        uint64_t& version = process.table_version[table->table.service.value];
        reverts_ += it.version() <= version ? 1 : 0;
        version = it.version();
        process.table_spec[table->table.service.value] =
            table->spec_version.value;
      }
    }
    for (auto& it : actions.messages) {
      const size_t size = it.envelope.ByteSizeLong() + kOverhead;
      process.bytes += size;
      ++process.messages;
      const auto found = by_endpoint_.find(it.to);
      if (found != by_endpoint_.end()) {
        Deliver(found->second, std::move(it.envelope), size);
      }
    }
    for (auto& it : actions.writes) {
      Write(index, std::move(it));
    }
  }

  void Deliver(size_t to, control::Envelope&& envelope, size_t size) {
    auto shared = std::make_shared<control::Envelope>(std::move(envelope));
    queue_.After(zone_delay_, [this, to, shared, size] {
      Process& process = *processes_[to];
      if (!process.running) {
        return;
      }
      if (process.paused) {
        // Waits in the socket.
        const std::chrono::milliseconds retry(10);
        queue_.After(retry, [this, to, shared, size] {
          Deliver(to, std::move(*shared), size);
        });
        return;
      }
      process.bytes += size;
      process::NodeActions actions;
      Measure(process, [&] {
        process.node->OnEnvelope(std::move(*shared), queue_.now(), &actions);
      });
      Perform(to, std::move(actions));
    });
  }

  void Put(const std::string& path, const std::string& body,
           bool deleted = false) {
    control::ConfigObject& object = store_.objects[path];
    object.set_path(path);
    object.set_body(body);
    object.set_version(++store_.revision);
    object.set_deleted(deleted);
  }

  // The two watches of a watcher: one call each that ends with the next
  // change or after 20 s.
  void Watch(size_t index) {
    Process& process = *processes_[index];
    process.waiting = true;
    PollObjects(index, 0, queue_.now(), "/leases/");
    PollObjects(index, 0, queue_.now(), "/t");
  }

  void PollObjects(size_t index, uint64_t since, TimePoint started,
                   const std::string& prefix) {
    if (started == queue_.now()) {
      ++store_.calls;
    }
    queue_.After(store_.delay, [this, index, since, started, prefix] {
      Process& process = *processes_[index];
      if (!process.node->watcher()) {
        process.waiting = false;
        return;
      }
      if (!process.running || process.paused) {
        queue_.After(std::chrono::seconds(1), [this, index, since, prefix] {
          if (processes_[index]->running) {
            PollObjects(index, since, queue_.now(), prefix);
          }
        });
        return;
      }
      if (store_.down) {
        process.node->OnStoreFailure(queue_.now());
        const auto jitter = std::chrono::milliseconds(random_() % 2000);
        queue_.After(jitter, [this, index, since, prefix] {
          PollObjects(index, since, queue_.now(), prefix);
        });
        return;
      }
      std::vector<control::ConfigObject> news;
      for (const auto& [path, object] : store_.objects) {
        if (path.starts_with(prefix) && object.version() > since) {
          news.push_back(object);
        }
      }
      const bool first = since == 0;
      const bool late = queue_.now() - started > std::chrono::seconds(20);
      if (news.empty() && !first && !late) {
        // Still the same call.
        queue_.After(std::chrono::milliseconds(5),
                     [this, index, since, started, prefix] {
                       PollObjects(index, since, started, prefix);
                     });
        return;
      }
      process::NodeActions actions;
      const uint64_t revision = store_.revision;
      Measure(process, [&] {
        if (prefix == "/t") {
          process.node->OnStoreObjects(news, revision, first, queue_.now(),
                                       &actions);
        } else {
          process.node->OnLeaseObjects(news, queue_.now());
        }
      });
      Perform(index, std::move(actions));
      queue_.After(std::chrono::milliseconds(1),
                   [this, index, revision, prefix] {
                     PollObjects(index, std::max<uint64_t>(revision, 1),
                                 queue_.now(), prefix);
                   });
    });
  }

  void Write(size_t index, process::StoreWrite&& write) {
    auto shared = std::make_shared<process::StoreWrite>(std::move(write));
    Process& process = *processes_[index];
    if (!process.node->MaySend(*shared, queue_.now())) {
      process.node->OnWriteFailed(*shared, request::ResultCode::kLeaseLapsed,
                                  {}, queue_.now());
      return;
    }
    ++store_.calls;
    process.bytes += shared->body.size() + kHttpOverhead;
    queue_.After(store_.delay, [this, index, shared] {
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
        Put(shared->path, shared->body,
            shared->kind == process::StoreWrite::Kind::kDelete);
        if (store_.lost_answers > 0) {
          --store_.lost_answers;
          code = request::ResultCode::kOutcomeUnknown;
        }
      }
      const uint64_t written = store_.revision;
      queue_.After(store_.delay, [this, shared, code, written, version,
                                  &writer] {
        if (code == request::ResultCode::kOk) {
          writer.node->OnWritten(*shared, {written}, queue_.now());
        } else {
          writer.node->OnWriteFailed(*shared, code, {version}, queue_.now());
        }
      });
    });
  }

  // TCP/IP headers (52), and the frame of ZeroMQ with CURVE: flags, length,
  // command name, nonce and authenticator.
  static constexpr size_t kOverhead = 52 + 2 + 8 + 8 + 17;

  // Headers of a request and its answer.
  static constexpr size_t kHttpOverhead = 600;

  const std::chrono::microseconds zone_delay_;
  std::mt19937_64 random_;
  EventQueue queue_;
  FakeStore store_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::map<request::Endpoint, size_t> by_endpoint_;
  std::map<std::string, request::ServiceId> created_;
  uint64_t evictions_ = 0;
  uint64_t reverts_ = 0;
};

}  // namespace kumquatvalve::bench

#endif  // KUMQUATVALVE_BENCH_CONTROL_FLEET_H_
