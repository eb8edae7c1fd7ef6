#include "kumquatvalve/process/control_agent.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>
#include <variant>

#include "kumquatvalve/process/control_channel.h"
#include "kumquatvalve/process/control_node.h"
#include "kumquatvalve/process/object_client.h"
#include "kumquatvalve/process/peer_codec.h"
#include "kumquatvalve/process/table_codec.h"
#include "kumquatvalve/version/subtree.h"

namespace kumquatvalve::process {
namespace {

using request::Failure;
using request::ResultCode;
using request::TableVersion;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using TimePoint = steady_clock::time_point;

// Common prefix of "/teams/" and "/tables/", so that one watch covers both:
// each waiting watch takes a store call.
constexpr const char* kObjectsPrefix = "/t";
constexpr const char* kLeasesPrefix = "/leases/";

// Long poll timeout: a watch without changes returns and is renewed after this
// time.
constexpr milliseconds kWatchTimeout{20000};

// Timers of the control plane are multiples of 500 ms; tables are written
// within one tick after a change.
constexpr milliseconds kTickInterval{50};

control::ConfigObject ToWire(const StoredObject& object, bool deleted) {
  control::ConfigObject wire;
  wire.set_path(object.path);
  wire.set_version(object.version.value);
  wire.set_body(object.body);
  wire.set_deleted(deleted);
  return wire;
}

/// Objects that a watch or list returned.
struct ReceivedObjects {
  bool leases = false;
  std::vector<control::ConfigObject> objects;
  TableVersion revision;
  bool snapshot = false;
};

struct StoreResult {
  StoreWrite write;
  std::optional<TableVersion> version;
  Failure failure;
  TableVersion actual;
};

struct StoreError {
  Failure failure;
};

struct StoreSuccess {
  TimePoint sent_at;
};

using StoreEvent =
    std::variant<ReceivedObjects, StoreResult, StoreError, StoreSuccess>;

/// Makes the blocking object API calls on its own threads. Active only while
/// the process is a watcher.
class StoreWorker {
 public:
  StoreWorker(const version::ObjectApiSettings& settings, uint64_t seed,
              std::function<void()> wake)
      : client_(settings, seed), wake_(std::move(wake)) {
    threads_.emplace_back([this] { RunWatch(kObjectsPrefix, false); });
    threads_.emplace_back([this] { RunWatch(kLeasesPrefix, true); });
    threads_.emplace_back([this] { RunWrites(); });
  }

  ~StoreWorker() {
    {
      const std::lock_guard lock(mutex_);
      stopped_ = true;
    }
    state_changed_.notify_all();
    client_.Stop();
    for (std::thread& it : threads_) {
      it.join();
    }
  }

  void SetActive(bool active) {
    const std::lock_guard lock(mutex_);
    if (active_ != active) {
      active_ = active;
      state_changed_.notify_all();
    }
  }

  /// @param may_send_until the write is dropped if it would be sent later.
  void QueueWrite(StoreWrite write, TimePoint may_send_until) {
    const std::lock_guard lock(mutex_);
    writes_.push_back({std::move(write), may_send_until});
    state_changed_.notify_all();
  }

  std::vector<StoreEvent> TakeEvents() {
    const std::lock_guard lock(mutex_);
    return std::exchange(events_, {});
  }

  uint64_t calls() const { return client_.calls(); }

 private:
  struct QueuedWrite {
    StoreWrite write;
    TimePoint may_send_until;
  };

  void PostEvent(StoreEvent event) {
    {
      const std::lock_guard lock(mutex_);
      events_.push_back(std::move(event));
    }
    wake_();
  }

  // Waits for the call budget.
  // @return false when the worker stops.
  bool WaitUntil(TimePoint until) {
    std::unique_lock lock(mutex_);
    state_changed_.wait_until(lock, until, [this] { return stopped_; });
    return !stopped_;
  }

  bool WaitUntilActive() {
    std::unique_lock lock(mutex_);
    state_changed_.wait(lock, [this] { return stopped_ || active_; });
    return !stopped_;
  }

  bool IsActive() {
    const std::lock_guard lock(mutex_);
    return active_ && !stopped_;
  }

  void PostFailure(const Failure& failure) {
    if (failure.code != ResultCode::kCallBudgetSpent) {
      PostEvent(StoreError{failure});
    }
    WaitUntil(std::max(client_.NextCallAt(),
                       steady_clock::now() + milliseconds(100)));
  }

  void RunWatch(const std::string& prefix, bool leases) {
    while (WaitUntilActive()) {
      Failure failure;
      const TimePoint sent_at = steady_clock::now();
      const auto list = client_.List(prefix, &failure);
      if (!list) {
        PostFailure(failure);
        continue;
      }
      PostEvent(StoreSuccess{sent_at});
      ReceivedObjects received{leases, {}, list->version, true};
      for (const StoredObject& it : list->items) {
        received.objects.push_back(ToWire(it, false));
      }
      PostEvent(std::move(received));
      TableVersion since = list->version;
      while (IsActive()) {
        const auto answer =
            client_.Watch(prefix, since, kWatchTimeout, &failure);
        if (!answer) {
          PostFailure(failure);
          continue;
        }
        since = answer->version;
        ReceivedObjects changes{leases, {}, answer->version, answer->snapshot};
        for (const ObjectEvent& it : answer->events) {
          changes.objects.push_back(ToWire(it.object, it.deleted));
        }
        PostEvent(std::move(changes));
      }
    }
  }

  std::optional<QueuedWrite> WaitForWrite() {
    std::unique_lock lock(mutex_);
    state_changed_.wait(lock, [this] { return stopped_ || !writes_.empty(); });
    if (stopped_) {
      return std::nullopt;
    }
    QueuedWrite queued = std::move(writes_.front());
    writes_.pop_front();
    return queued;
  }

  void RunWrites() {
    while (std::optional<QueuedWrite> queued = WaitForWrite()) {
      StoreResult result;
      result.write = std::move(queued->write);
      const TimePoint budget = client_.NextCallAt();
      if (budget > steady_clock::now() && !WaitUntil(budget)) {
        return;
      }
      const TimePoint sent_at = steady_clock::now();
      if (sent_at >= queued->may_send_until) {
        result.failure = {ResultCode::kLeaseLapsed, result.write.path};
        PostEvent(std::move(result));
        continue;
      }
      switch (result.write.kind) {
        case StoreWrite::Kind::kCreate:
          result.version = client_.Create(result.write.path, result.write.body,
                                          &result.failure);
          break;
        case StoreWrite::Kind::kUpdate:
          result.version =
              client_.Update(result.write.path, result.write.expected,
                             result.write.body, &result.failure);
          break;
        case StoreWrite::Kind::kDelete:
          result.version = client_.Delete(
              result.write.path, result.write.expected, &result.failure);
          break;
      }
      if (result.version) {
        PostEvent(StoreSuccess{sent_at});
      } else if (result.write.path.starts_with("/members/")) {
        // Summaries are not watched, so the current version is read after a
        // conflict.
        Failure ignored;
        const auto object = client_.Read(result.write.path, &ignored);
        result.actual = object ? object->version : TableVersion{};
      }
      PostEvent(std::move(result));
    }
  }

  ObjectClient client_;
  const std::function<void()> wake_;
  std::mutex mutex_;
  std::condition_variable state_changed_;
  bool stopped_ = false;
  bool active_ = false;
  std::deque<QueuedWrite> writes_;
  std::vector<StoreEvent> events_;
  std::vector<std::thread> threads_;
};

control::Member MakeSelf(const version::ProcessSettings& settings,
                         request::Incarnation incarnation) {
  control::Member self;
  self.set_instance(settings.instance.text());
  self.set_incarnation(incarnation.value);
  self.set_role(settings.role == version::Role::kEntry ? control::ROLE_ENTRY
                                                       : control::ROLE_SIDECAR);
  self.set_availability_zone(settings.availability_zone.text());
  self.set_region(settings.region.text());
  *self.mutable_data() = WriteEndpoint(settings.data);
  *self.mutable_control() = WriteEndpoint(settings.control);
  self.set_state(control::MEMBER_STATE_ALIVE);
  return self;
}

PeerState ToPeerState(control::MemberState state) {
  switch (state) {
    case control::MEMBER_STATE_SUSPECTED:
      return PeerState::kSuspected;
    case control::MEMBER_STATE_DEAD:
      return PeerState::kDead;
    case control::MEMBER_STATE_LEFT:
      return PeerState::kLeft;
    default:
      return PeerState::kAlive;
  }
}

}  // namespace

class ControlAgent::Impl {
 public:
  Impl(const version::ProcessSettings& settings,
       request::Incarnation incarnation, ControlListener* listener,
       const Logger* logger, std::unique_ptr<ControlChannel> channel)
      : listener_(*listener),
        logger_(*logger),
        channel_(std::move(channel)),
        self_(MakeSelf(settings, incarnation)),
        node_(self_, settings.seeds, ControlNodeSettings(),
              incarnation.value ^
                  request::InstanceIdOf(settings.instance).value) {
    if (settings.role == version::Role::kEntry &&
        !settings.object_api.urls.empty()) {
      store_ = std::make_unique<StoreWorker>(
          settings.object_api,
          request::InstanceIdOf(settings.instance).value ^ incarnation.value,
          [this] { channel_->Wake(); });
    }
  }

  void RunOnce(milliseconds timeout) {
    NodeActions actions;
    const TimePoint start = steady_clock::now();
    const milliseconds until_tick =
        std::max(std::chrono::duration_cast<milliseconds>(next_tick_ - start),
                 milliseconds(0));
    channel_->Receive(
        std::min(timeout, until_tick),
        [&](control::Envelope&& envelope) {
          node_.OnEnvelope(std::move(envelope), steady_clock::now(), &actions);
        },
        [&](const StaleEnvelope& stale) {
          node_.OnStaleEnvelope(stale, &actions);
        });
    HandleStoreEvents(&actions);
    const TimePoint now = steady_clock::now();
    if (now >= next_tick_) {
      next_tick_ = now + kTickInterval;
      node_.Tick(now, &actions);
      if (store_ != nullptr) {
        store_->SetActive(node_.watcher());
      }
      PublishLeaseChange(now);
    }
    PerformActions(std::move(actions));
  }

  void Wake() { channel_->Wake(); }

  void SendToPeer(request::InstanceId to,
                  const connection::PeerMessage& message) {
    const auto name = instance_names_.find(to);
    const control::Member* member = name == instance_names_.end()
                                        ? nullptr
                                        : node_.membership().Find(name->second);
    auto endpoint =
        member == nullptr ? std::nullopt : ReadEndpoint(member->control());
    if (!endpoint) {
      const auto listed = control_endpoints_from_tables_.find(to);
      if (listed == control_endpoints_from_tables_.end()) {
        ++unknown_peers_;
        return;
      }
      endpoint = listed->second;
    }
    control::Envelope envelope;
    node_.SetSender(&envelope);
    WritePeerMessage(message, &envelope);
    channel_->Send(*endpoint, envelope);
  }

  void SetAnnouncement(std::optional<UpstreamAnnouncement> announcement) {
    const std::string previous_service = AnnouncedService();
    control::Member next = self_;
    if (announcement) {
      control::Announcement* wire = next.mutable_announcement();
      wire->set_team(announcement->team.text());
      wire->set_service(announcement->service.text());
      wire->set_slots(announcement->slots);
      wire->set_weight(announcement->weight);
      wire->clear_labels();
      for (const auto& [key, value] : announcement->labels) {
        (*wire->mutable_labels())[key] = value;
      }
      wire->set_draining(draining_);
    } else {
      next.clear_announcement();
    }
    SetSelf(std::move(next));
    if (AnnouncedService() != previous_service) {
      PublishTableOfAnnouncedService();
    }
  }

  void SetOpenFlows(uint64_t open_flows) { node_.SetOpenFlows(open_flows); }

  void StartDrain() {
    draining_ = true;
    if (self_.has_announcement()) {
      control::Member next = self_;
      next.mutable_announcement()->set_draining(true);
      SetSelf(std::move(next));
    }
  }

  void Leave() {
    control::Member next = self_;
    next.set_state(control::MEMBER_STATE_LEFT);
    SetSelf(std::move(next));
  }

  const MemberLease& lease() const { return node_.lease(); }

  ControlStatus status() const {
    ControlStatus status;
    status.applied_version = {node_.relay().applied_version()};
    status.applied_digest = node_.relay().digest();
    status.lease_valid = lease_held_;
    status.relay = node_.relay().relay();
    status.watcher = node_.watcher();
    status.groups_held = node_.writer().groups_held(steady_clock::now());
    for (const auto& [name, member] : node_.membership().members()) {
      switch (member.state()) {
        case control::MEMBER_STATE_ALIVE:
          ++status.members_alive;
          break;
        case control::MEMBER_STATE_SUSPECTED:
          ++status.members_suspected;
          break;
        case control::MEMBER_STATE_DEAD:
          ++status.members_dead;
          break;
        default:
          break;
      }
    }
    const ChannelCounts& counts = channel_->counts();
    status.messages_sent = counts.messages_sent;
    status.messages_received = counts.messages_received;
    status.bytes_sent = counts.bytes_sent;
    status.bytes_received = counts.bytes_received;
    status.messages_dropped = counts.dropped;
    status.messages_dropped[ResultCode::kBadMessage] += bad_peer_messages_;
    status.messages_dropped[ResultCode::kUnknownPeer] += unknown_peers_;
    status.store_calls = store_ == nullptr ? 0 : store_->calls();
    status.store_failures = store_failures_;
    return status;
  }

 private:
  void SetSelf(control::Member next) {
    if (next.SerializeAsString() == self_.SerializeAsString()) {
      return;
    }
    self_ = next;
    NodeActions actions;
    node_.SetSelf(std::move(next), steady_clock::now(), &actions);
    PerformActions(std::move(actions));
  }

  // Store path of the announced service; empty without an announcement.
  std::string AnnouncedService() const {
    return self_.has_announcement()
               ? version::ToString(version::ServicePath{
                     request::TeamName(self_.announcement().team()),
                     request::ServiceName(self_.announcement().service())})
               : "";
  }

  // The table may have arrived before the announcement, or while the upstream
  // announced another service.
  void PublishTableOfAnnouncedService() {
    const std::string service = AnnouncedService();
    for (const auto& [path, table] : sidecar_tables_) {
      if (table.path == service) {
        listener_.OnTable(
            std::make_shared<const version::ForwardingTable>(table.table),
            table.addresses);
      }
    }
  }

  void PublishLeaseChange(TimePoint now) {
    const bool valid = node_.lease().Valid(now);
    if (valid != lease_held_) {
      lease_held_ = valid;
      if (valid) {
        logger_.Log(LogLevel::kInfo, LogEvent::kMemberLeaseGained,
                    "membership lease gained", {});
      } else {
        logger_.Log(LogLevel::kWarning, LogEvent::kMemberLeaseLapsed,
                    "membership lease lapsed", {});
      }
      listener_.OnLease(valid);
    }
  }

  void HandleStoreEvents(NodeActions* actions) {
    if (store_ == nullptr) {
      return;
    }
    const TimePoint now = steady_clock::now();
    for (StoreEvent& event : store_->TakeEvents()) {
      if (auto* received = std::get_if<ReceivedObjects>(&event)) {
        OnStoreAvailable();
        if (received->leases) {
          node_.OnLeaseObjects(received->objects, now);
        } else {
          node_.OnStoreObjects(received->objects, received->revision.value,
                               received->snapshot, now, actions);
        }
      } else if (auto* result = std::get_if<StoreResult>(&event)) {
        OnWriteResult(*result, now);
      } else if (auto* success = std::get_if<StoreSuccess>(&event)) {
        OnStoreAvailable();
        node_.OnStoreCallSucceeded(success->sent_at);
      } else if (auto* error = std::get_if<StoreError>(&event)) {
        node_.OnStoreFailure(now);
        ++store_failures_;
        if (!store_failing_) {
          store_failing_ = true;
          logger_.Log(LogLevel::kWarning, LogEvent::kStoreUnavailable,
                      "object API is not responding",
                      {{"failure", request::ToString(error->failure)}});
        }
      }
    }
  }

  void OnStoreAvailable() {
    if (store_failing_) {
      store_failing_ = false;
      logger_.Log(LogLevel::kInfo, LogEvent::kStoreAvailable,
                  "object API is responding again", {});
    }
  }

  void OnWriteResult(const StoreResult& result, TimePoint now) {
    if (result.version) {
      node_.OnWritten(result.write, *result.version, now);
      if (result.write.path.starts_with("/tables/")) {
        logger_.Log(LogLevel::kInfo, LogEvent::kTableWritten,
                    "forwarding table written",
                    {{"path", result.write.path},
                     {"version", std::to_string(result.version->value)}});
      }
      return;
    }
    node_.OnWriteFailed(result.write, result.failure.code, result.actual, now);
    if (result.write.path.starts_with("/tables/")) {
      logger_.Log(LogLevel::kWarning, LogEvent::kTableWriteFailed,
                  "forwarding table could not be written",
                  {{"path", result.write.path},
                   {"failure", request::ToString(result.failure)}});
    }
  }

  void PerformActions(NodeActions&& actions) {
    if (actions.own_incarnation) {
      self_.set_incarnation(actions.own_incarnation->value);
      logger_.Log(
          LogLevel::kWarning, LogEvent::kMemberStateChanged,
          "peers know a later start of this process; its incarnation "
          "is raised",
          {{"incarnation", std::to_string(actions.own_incarnation->value)}});
      listener_.OnOwnIncarnation(*actions.own_incarnation);
    }
    for (const OutgoingMessage& it : actions.messages) {
      channel_->Send(it.to, it.envelope);
    }
    for (StoreWrite& it : actions.writes) {
      // The write carries the end of its lease, so that a process that was
      // paused with the write in its queue does not send it in its former role.
      const TimePoint until = node_.writer().LeaseExpiresAt(it);
      store_->QueueWrite(std::move(it), until);
    }
    for (const auto& [group, count] : actions.newly_suspended_groups) {
      logger_.Log(
          LogLevel::kError, LogEvent::kMassEvictionHeld,
          "more than a third of a group is suspected; eviction is suspended",
          {{"group", group}, {"members", std::to_string(count)}});
    }
    for (const std::string& it : actions.changed) {
      OnMemberChanged(it);
    }
    for (const control::ConfigObject& it : actions.applied) {
      OnTableChanged(it);
    }
    for (const control::Envelope& it : actions.peer_messages) {
      Failure failure;
      if (const auto message = ReadPeerMessage(it, &failure)) {
        listener_.OnPeerMessage(
            request::InstanceIdOf(request::InstanceName(it.sender())),
            *message);
      } else {
        ++bad_peer_messages_;
      }
    }
  }

  void OnMemberChanged(const std::string& instance) {
    const control::Member* member = node_.membership().Find(instance);
    const auto data =
        member == nullptr ? std::nullopt : ReadEndpoint(member->data());
    if (!data || instance == self_.instance()) {
      return;
    }
    const request::InstanceId id =
        request::InstanceIdOf(request::InstanceName(instance));
    instance_names_[id] = instance;
    const PeerInfo info{
        {member->incarnation()}, ToPeerState(member->state()), *data};
    PeerInfo& current = peers_[id];
    if (current == info) {
      return;
    }
    if (current.state != info.state) {
      const bool is_warning =
          info.state == PeerState::kSuspected || info.state == PeerState::kDead;
      logger_.Log(is_warning ? LogLevel::kWarning : LogLevel::kInfo,
                  LogEvent::kMemberStateChanged, "member changed its state",
                  {{"member", instance},
                   {"state", control::MemberState_Name(member->state())}});
    }
    current = info;
    listener_.OnPeer(id, info);
  }

  void OnTableChanged(const control::ConfigObject& object) {
    if (object.deleted()) {
      const auto it = services_.find(object.path());
      if (it != services_.end()) {
        listener_.OnTableRemoved(it->second);
        services_.erase(it);
      }
      sidecar_tables_.erase(object.path());
      return;
    }
    Failure failure;
    auto published = ReadTable(object.body(), {object.version()}, &failure);
    if (!published) {
      logger_.Log(
          LogLevel::kError, LogEvent::kTableUnreadable,
          "forwarding table cannot be parsed",
          {{"path", object.path()}, {"failure", request::ToString(failure)}});
      return;
    }
    services_[object.path()] = published->table.service;
    for (const version::UpstreamEntry& it : published->table.upstreams) {
      control_endpoints_from_tables_[it.instance] = it.control;
    }
    if (self_.role() == control::ROLE_SIDECAR) {
      sidecar_tables_.insert_or_assign(object.path(), *published);
      if (published->path != AnnouncedService()) {
        return;
      }
    }
    listener_.OnTable(std::make_shared<const version::ForwardingTable>(
                          std::move(published->table)),
                      published->addresses);
  }

  ControlListener& listener_;
  const Logger& logger_;
  std::unique_ptr<ControlChannel> channel_;
  control::Member self_;
  ControlNode node_;
  std::unique_ptr<StoreWorker> store_;
  std::unordered_map<request::InstanceId, std::string> instance_names_;
  PeerTable peers_;
  /// Control endpoints listed in tables, for peers whose record has not arrived
  /// yet.
  std::unordered_map<request::InstanceId, request::Endpoint>
      control_endpoints_from_tables_;
  std::map<std::string, request::ServiceId> services_;
  /// At a sidecar: the newest tables of the services that its upstreams
  /// announced, by path of the table object.
  std::map<std::string, PublishedTable> sidecar_tables_;
  TimePoint next_tick_{};
  bool lease_held_ = false;
  bool draining_ = false;
  bool store_failing_ = false;
  uint64_t store_failures_ = 0;
  uint64_t bad_peer_messages_ = 0;
  uint64_t unknown_peers_ = 0;
};

std::unique_ptr<ControlAgent> ControlAgent::Open(
    const version::ProcessSettings& settings, request::Incarnation incarnation,
    ControlListener* listener, const Logger* logger, Failure* failure) {
  auto channel = ControlChannel::Open(settings.control, settings.keys, failure);
  if (channel == nullptr) {
    return nullptr;
  }
  return std::unique_ptr<ControlAgent>(new ControlAgent(std::make_unique<Impl>(
      settings, incarnation, listener, logger, std::move(channel))));
}

ControlAgent::ControlAgent(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
ControlAgent::~ControlAgent() = default;

void ControlAgent::RunOnce(milliseconds timeout) { impl_->RunOnce(timeout); }
void ControlAgent::Wake() { impl_->Wake(); }
void ControlAgent::SendToPeer(request::InstanceId to,
                              const connection::PeerMessage& message) {
  impl_->SendToPeer(to, message);
}
void ControlAgent::SetAnnouncement(
    std::optional<UpstreamAnnouncement> announcement) {
  impl_->SetAnnouncement(std::move(announcement));
}
void ControlAgent::SetOpenFlows(uint64_t open_flows) {
  impl_->SetOpenFlows(open_flows);
}
void ControlAgent::StartDrain() { impl_->StartDrain(); }
void ControlAgent::Leave() { impl_->Leave(); }
const MemberLease& ControlAgent::lease() const { return impl_->lease(); }
ControlStatus ControlAgent::status() const { return impl_->status(); }

}  // namespace kumquatvalve::process
