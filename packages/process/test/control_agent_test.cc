#include "kumquatvalve/process/control_agent.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "kumquatvalve/process/object_client.h"
#include "kumquatvalve/version/service_spec.h"
#include "object_api_server.h"

namespace kumquatvalve::process {
namespace {

using std::chrono::milliseconds;

// Limits a failing test only; allows for a heavily loaded machine.
constexpr std::chrono::seconds kDeadline{60};

// Keeps the latest value of each kind of event, and whether a table was ever
// reverted. The agent's thread writes and the test's thread reads.
class RecordingListener : public ControlListener {
 public:
  void OnTable(std::shared_ptr<const version::ForwardingTable> table,
               const std::vector<version::ServiceAddress>& addresses) override {
    const std::lock_guard lock(mutex_);
    reverted_ = reverted_ || (table_ && table->version <= table_->version);
    table_ = std::move(table);
    addresses_ = addresses;
  }
  // Drops the current table, as a sidecar does when its upstream announces
  // another service.
  void ForgetTable() {
    const std::lock_guard lock(mutex_);
    table_ = nullptr;
  }
  void OnTableRemoved(request::ServiceId) override {
    const std::lock_guard lock(mutex_);
    table_ = nullptr;
  }
  void OnPeer(request::InstanceId instance, const PeerInfo& peer) override {
    const std::lock_guard lock(mutex_);
    peers_[instance] = peer;
  }
  void OnOwnIncarnation(request::Incarnation incarnation) override {
    const std::lock_guard lock(mutex_);
    own_incarnation_ = incarnation;
  }
  void OnPeerMessage(request::InstanceId from,
                     const connection::PeerMessage& message) override {
    const std::lock_guard lock(mutex_);
    if (const auto* claim = std::get_if<connection::RowClaim>(&message)) {
      claimed_rows_[from] = claim->rows.size();
    }
  }
  void OnLease(bool valid) override {
    const std::lock_guard lock(mutex_);
    lease_ = valid;
  }

  std::shared_ptr<const version::ForwardingTable> table() {
    const std::lock_guard lock(mutex_);
    return table_;
  }
  bool lease() {
    const std::lock_guard lock(mutex_);
    return lease_;
  }
  bool reverted() {
    const std::lock_guard lock(mutex_);
    return reverted_;
  }
  request::Incarnation own_incarnation() {
    const std::lock_guard lock(mutex_);
    return own_incarnation_;
  }
  size_t claimed_row_count(const std::string& from) {
    const std::lock_guard lock(mutex_);
    return claimed_rows_[request::InstanceIdOf(request::InstanceName(from))];
  }
  PeerState peer_state(const std::string& name) {
    const std::lock_guard lock(mutex_);
    const auto it =
        peers_.find(request::InstanceIdOf(request::InstanceName(name)));
    return it == peers_.end() ? PeerState::kLeft : it->second.state;
  }

 private:
  std::mutex mutex_;
  std::shared_ptr<const version::ForwardingTable> table_;
  std::vector<version::ServiceAddress> addresses_;
  PeerTable peers_;
  std::map<request::InstanceId, size_t> claimed_rows_;
  request::Incarnation own_incarnation_;
  bool lease_ = false;
  bool reverted_ = false;
};

const Logger& QuietLogger() {
  static const Logger kLogger("test", LogFormat::kKeyValue, LogLevel::kError);
  return kLogger;
}

// A control agent on its own thread, as in a daemon.
class RunningAgent {
 public:
  RunningAgent(const version::ProcessSettings& settings, uint64_t incarnation,
               const std::function<void(ControlAgent&)>& setup = {}) {
    request::Failure failure;
    agent_ = ControlAgent::Open(settings, {incarnation}, &listener_,
                                &QuietLogger(), &failure);
    REQUIRE(agent_ != nullptr);
    if (setup) {
      setup(*agent_);
    }
    thread_ = std::thread([this] {
      while (!stopped_) {
        agent_->RunOnce(milliseconds(50));
        const std::lock_guard lock(mutex_);
        if (task_) {
          std::exchange(task_, {})(*agent_);
        }
      }
    });
  }
  ~RunningAgent() {
    stopped_ = true;
    agent_->Wake();
    thread_.join();
  }
  void RunOnAgentThread(std::function<void(ControlAgent&)> task) {
    {
      const std::lock_guard lock(mutex_);
      task_ = std::move(task);
    }
    agent_->Wake();
  }
  RecordingListener& listener() { return listener_; }
  const MemberLease& lease() const { return agent_->lease(); }

 private:
  RecordingListener listener_;
  std::unique_ptr<ControlAgent> agent_;
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  std::function<void(ControlAgent&)> task_;
  std::thread thread_;
};

bool Eventually(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kDeadline;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
  return true;
}

// @param host_number Last byte of the process's own address in 127/8. Separate
//   addresses keep the fixed ports from colliding.
version::ProcessSettings MakeSettings(version::Role role,
                                      const std::string& name,
                                      const std::string& zone, int host_number,
                                      uint16_t store_port) {
  version::ProcessSettings settings;
  request::Failure failure;
  settings.role = role;
  settings.instance = request::InstanceName(name);
  settings.availability_zone = request::AvailabilityZone(zone);
  settings.region = request::Region("gye");
  const std::string address = "127.44.7." + std::to_string(host_number);
  settings.control = *request::ParseEndpoint(address + ":7400", &failure);
  settings.data = *request::ParseEndpoint(address + ":7401", &failure);
  settings.seeds = {*request::ParseEndpoint("127.44.7.1:7400", &failure),
                    *request::ParseEndpoint("127.44.7.2:7400", &failure)};
  settings.object_api.urls = {"http://127.0.0.1:" + std::to_string(store_port)};
  settings.object_api.calls_per_second = 50;
  return settings;
}

version::StoredService MakePatioService() {
  version::StoredService service;
  service.path = {request::TeamName("tarima"), request::ServiceName("patio")};
  request::Failure failure;
  service.spec.addresses = {
      *version::ParseServiceAddress("10.9.0.1:80/tcp", &failure)};
  service.operation = {"op-1", "2026-01-01T00:00:00Z", "operator"};
  return service;
}

void AnnounceService(ControlAgent& agent, const std::string& service) {
  UpstreamAnnouncement announcement;
  announcement.team = request::TeamName("tarima");
  announcement.service = request::ServiceName(service);
  announcement.slots = 5;
  agent.SetAnnouncement(announcement);
}

void Announce(ControlAgent& agent) { AnnounceService(agent, "patio"); }

// Covers the whole path announcement -> membership -> lease -> table -> relays.
// Guards against processes dropping or reverting their tables because a peer is
// unreachable or the store is down.
TEST_CASE("control_agent: tables reach every process and stay in force",
          "[threads]") {
  standins::ObjectApiServer server;
  const uint16_t port = server.Start("127.0.0.1", 0);
  REQUIRE(port != 0);
  request::Failure failure;
  ObjectClient operator_client(
      MakeSettings(version::Role::kEntry, "operator", "", 9, port).object_api,
      7);
  REQUIRE(operator_client.Create(
      version::ToString(MakePatioService().path),
      version::WriteStoredService(MakePatioService()), &failure));

  using version::Role;
  RunningAgent entry1(MakeSettings(Role::kEntry, "entry-1", "gye-sur", 1, port),
                      100);
  RunningAgent entry2(
      MakeSettings(Role::kEntry, "entry-2", "gye-norte", 2, port), 101);
  RunningAgent sidecar1(
      MakeSettings(Role::kSidecar, "sidecar-1", "gye-sur", 3, port), 102,
      Announce);
  auto sidecar2 = std::make_unique<RunningAgent>(
      MakeSettings(Role::kSidecar, "sidecar-2", "gye-norte", 4, port), 103,
      Announce);

  const auto has_upstreams = [](RunningAgent& agent, size_t upstreams) {
    const auto table = agent.listener().table();
    return table != nullptr && table->upstreams.size() == upstreams;
  };
  CHECK(Eventually([&] {
    return has_upstreams(entry1, 2) && has_upstreams(entry2, 2) &&
           has_upstreams(sidecar1, 2) && has_upstreams(*sidecar2, 2);
  }));
  CHECK(Eventually([&] { return sidecar1.listener().lease(); }));

  sidecar1.RunOnAgentThread([](ControlAgent& agent) {
    agent.SendToPeer(request::InstanceIdOf(request::InstanceName("sidecar-2")),
                     connection::RowClaim{{1}, {2}, {{3}, {4}}});
  });
  CHECK(Eventually([&] {
    return sidecar2->listener().claimed_row_count("sidecar-1") == 2;
  }));

  server.Control({{"down", true}});
  sidecar2.reset();
  CHECK(Eventually([&] {
    return entry1.listener().peer_state("sidecar-2") == PeerState::kDead &&
           entry2.listener().peer_state("sidecar-2") == PeerState::kDead;
  }));
  CHECK(has_upstreams(entry1, 2));
  server.Control({{"down", false}});
  CHECK(Eventually(
      [&] { return has_upstreams(entry1, 1) && has_upstreams(sidecar1, 1); }));

  // Its clock was stepped back before this start.
  sidecar2 = std::make_unique<RunningAgent>(
      MakeSettings(Role::kSidecar, "sidecar-2", "gye-norte", 4, port), 50,
      Announce);
  CHECK(Eventually([&] {
    return has_upstreams(entry1, 2) && has_upstreams(*sidecar2, 2) &&
           sidecar2->listener().lease() &&
           sidecar2->listener().own_incarnation().value > 103;
  }));
  CHECK_FALSE(entry1.listener().reverted());
  CHECK_FALSE(sidecar1.listener().reverted());
}

// Guards against a sidecar that stays without a table after one announcement of
// another writer: the relays do not send the table in force again.
TEST_CASE(
    "control_agent: a sidecar gets its table again when its upstream returns "
    "to "
    "the service",
    "[threads]") {
  standins::ObjectApiServer server;
  const uint16_t port = server.Start("127.0.0.1", 0);
  REQUIRE(port != 0);
  using version::Role;
  request::Failure failure;
  ObjectClient operator_client(
      MakeSettings(Role::kEntry, "operator", "", 9, port).object_api, 7);
  REQUIRE(operator_client.Create(
      version::ToString(MakePatioService().path),
      version::WriteStoredService(MakePatioService()), &failure));
  RunningAgent entry(MakeSettings(Role::kEntry, "entry-1", "gye-sur", 1, port),
                     100);
  RunningAgent sidecar(
      MakeSettings(Role::kSidecar, "sidecar-1", "gye-sur", 3, port), 102,
      Announce);
  const auto sidecar_has_table = [&] {
    return sidecar.listener().table() != nullptr;
  };
  REQUIRE(Eventually(sidecar_has_table));

  server.Control({{"down", true}});
  std::atomic<bool> announced = false;
  sidecar.RunOnAgentThread([&](ControlAgent& agent) {
    AnnounceService(agent, "evidencia");
    sidecar.listener().ForgetTable();
    announced = true;
  });
  REQUIRE(Eventually([&] { return announced.load(); }));
  CHECK_FALSE(sidecar_has_table());
  sidecar.RunOnAgentThread(Announce);
  CHECK(Eventually(sidecar_has_table));
}

}  // namespace
}  // namespace kumquatvalve::process
