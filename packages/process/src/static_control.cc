#include "kumquatvalve/process/static_control.h"

#include <sys/stat.h>

#include "kumquatvalve/process/peer_codec.h"

namespace kumquatvalve::process {
namespace {

// Messages queued between two runs of the control thread; further ones are
// dropped, and the router sends them again.
constexpr size_t kMaxQueuedMessages = 4096;

}  // namespace

std::unique_ptr<StaticControl> StaticControl::Open(
    const version::ProcessSettings& settings, request::Incarnation incarnation,
    std::string path, ControlListener* listener, request::Failure* failure) {
  auto channel = ControlChannel::Open(settings.control, settings.keys, failure);
  if (channel == nullptr) {
    return nullptr;
  }
  return std::unique_ptr<StaticControl>(new StaticControl(
      settings, incarnation, std::move(path), listener, std::move(channel)));
}

StaticControl::StaticControl(const version::ProcessSettings& settings,
                             request::Incarnation incarnation, std::string path,
                             ControlListener* listener,
                             std::unique_ptr<ControlChannel> channel)
    : name_(settings.instance.text()),
      incarnation_(incarnation),
      path_(std::move(path)),
      listener_(listener),
      channel_(std::move(channel)) {}

bool StaticControl::RunOnce(std::chrono::milliseconds timeout,
                            request::Failure* failure) {
  SendQueued();
  channel_->Receive(timeout, [this](control::Envelope&& envelope) {
    request::Failure ignored;
    const auto message = ReadPeerMessage(envelope, &ignored);
    if (message) {
      listener_->OnPeerMessage(
          request::InstanceIdOf(request::InstanceName(envelope.sender())),
          *message);
    }
  });
  SendQueued();
  return ReadFile(failure);
}

void StaticControl::Send(request::InstanceId peer,
                         const connection::PeerMessage& message) {
  {
    const std::lock_guard lock(mutex_);
    if (queue_.size() >= kMaxQueuedMessages) {
      return;
    }
    queue_.emplace_back(peer, message);
  }
  channel_->Wake();
}

void StaticControl::SendQueued() {
  std::vector<std::pair<request::InstanceId, connection::PeerMessage>> queue;
  {
    const std::lock_guard lock(mutex_);
    queue.swap(queue_);
  }
  for (const auto& [peer, message] : queue) {
    const auto to = control_endpoints_.find(peer);
    if (to == control_endpoints_.end()) {
      continue;
    }
    control::Envelope envelope;
    envelope.set_sender(name_);
    envelope.set_sender_incarnation(incarnation_.value);
    WritePeerMessage(message, &envelope);
    channel_->Send(to->second, envelope);
  }
}

bool StaticControl::ReadFile(request::Failure* failure) {
  struct stat info = {};
  if (stat(path_.c_str(), &info) != 0) {
    return true;
  }
  const std::pair<uint64_t, int64_t> stamp(
      info.st_ino,
      info.st_mtim.tv_sec * int64_t{1000000000} + info.st_mtim.tv_nsec);
  if (stamp == last_file_stamp_) {
    return true;
  }
  last_file_stamp_ = stamp;
  const auto tables = LoadStaticTables(path_, failure);
  if (!tables) {
    return false;
  }
  for (const auto& [instance, info] : tables->peers) {
    const auto found = peers_.find(instance);
    if (found == peers_.end() || found->second != info) {
      listener_->OnPeer(instance, info);
    }
  }
  peers_ = tables->peers;
  std::map<std::shared_ptr<const version::ForwardingTable>,
           std::vector<version::ServiceAddress>>
      addresses;
  for (const auto& [address, table] : tables->services.entries()) {
    addresses[table].push_back(address);
  }
  for (const auto& [table, list] : addresses) {
    for (const version::UpstreamEntry& it : table->upstreams) {
      control_endpoints_[it.instance] = it.control;
    }
    request::TableVersion& version = published_versions_[table->service];
    if (version < table->version) {
      version = table->version;
      listener_->OnTable(table, list);
    }
  }
  return true;
}

}  // namespace kumquatvalve::process
