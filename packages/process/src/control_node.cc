#include "kumquatvalve/process/control_node.h"

#include <iterator>
#include <map>

#include "kumquatvalve/process/peer_codec.h"
#include "kumquatvalve/process/relay_selection.h"
#include "kumquatvalve/request/start_order.h"

namespace kumquatvalve::process {
namespace {

using control::Envelope;

// The watcher role changes only with the entry instances of the zone, so it is
// checked at this interval rather than for every message.
constexpr std::chrono::milliseconds kRoleCheckInterval{500};

// A process that got no answer from a seed for this time takes itself for the
// first one of its fleet.
constexpr std::chrono::milliseconds kJoinTimeout{2000};

// Limits the messages that two processes with the same instance name cause,
// each of which takes the other one for its earlier start.
constexpr std::chrono::milliseconds kMinIncarnationChangeInterval{1000};

template <typename T>
void Append(std::vector<T>&& from, std::vector<T>* to) {
  to->insert(to->end(), std::make_move_iterator(from.begin()),
             std::make_move_iterator(from.end()));
}

}  // namespace

ControlNode::ControlNode(control::Member self,
                         std::vector<request::Endpoint> seeds,
                         const ControlNodeSettings& settings, uint64_t seed)
    : membership_(std::move(self), settings.membership),
      lease_(settings.lease_duration),
      relay_(&membership_, &lease_, std::move(seeds), settings.relay),
      writer_(&membership_, settings.writer, seed),
      summary_(&membership_, settings.summary) {}

void ControlNode::SetSender(Envelope* envelope) const {
  envelope->set_sender(membership_.self().instance());
  envelope->set_sender_incarnation(membership_.self().incarnation());
}

void ControlNode::SendTo(const std::string& instance, Envelope&& envelope,
                         NodeActions* actions) {
  const control::Member* member = membership_.Find(instance);
  const auto endpoint =
      member == nullptr ? std::nullopt : ReadEndpoint(member->control());
  if (endpoint) {
    SetSender(&envelope);
    actions->messages.push_back({*endpoint, std::move(envelope)});
  }
}

void ControlNode::MergeActions(RelayActions&& relay, NodeActions* actions) {
  for (OutgoingMessage& it : relay.messages) {
    SetSender(&it.envelope);
  }
  Append(std::move(relay.messages), &actions->messages);
  Append(std::move(relay.applied), &actions->applied);
  Append(std::move(relay.membership.changed), &actions->changed);
  Append(std::move(relay.membership.newly_suspended_groups),
         &actions->newly_suspended_groups);
}

void ControlNode::MergeActions(Membership::Actions&& found, TimePoint now,
                               NodeActions* actions) {
  RelayActions relay;
  relay_.ForwardSuspicions(found, now, &relay);
  MergeActions(std::move(relay), actions);
  for (const Membership::Ping& it : found.pings) {
    Envelope envelope;
    envelope.mutable_ping()->set_sequence(it.sequence);
    const control::Member* target = membership_.Find(it.to);
    if (target != nullptr && target->role() != membership_.self().role()) {
      *envelope.mutable_ping()->mutable_reply_to() =
          membership_.self().control();
    }
    SendTo(it.to, std::move(envelope), actions);
  }
  Append(std::move(found.changed), &actions->changed);
  Append(std::move(found.newly_suspended_groups),
         &actions->newly_suspended_groups);
}

void ControlNode::OnEnvelope(Envelope&& envelope, TimePoint now,
                             NodeActions* actions) {
  switch (envelope.body_case()) {
    case Envelope::kPing: {
      Envelope answer;
      answer.mutable_pong()->set_sequence(envelope.ping().sequence());
      answer.mutable_pong()->set_incarnation(membership_.self().incarnation());
      if (const auto to = ReadEndpoint(envelope.ping().reply_to())) {
        SetSender(&answer);
        actions->messages.push_back({*to, std::move(answer)});
      } else {
        SendTo(envelope.sender(), std::move(answer), actions);
      }
      break;
    }
    case Envelope::kPong: {
      Membership::Actions found;
      membership_.OnPong(envelope.sender(), envelope.pong(), now, &found);
      MergeActions(std::move(found), now, actions);
      break;
    }
    case Envelope::kStaleStart:
      OnStaleStart(envelope.stale_start(), now, actions);
      break;
    case Envelope::kRowClaim:
    case Envelope::kRowHandover:
    case Envelope::kHolderRegister:
    case Envelope::kHolderWithdraw:
    case Envelope::kLoadReport:
      actions->peer_messages.push_back(std::move(envelope));
      break;
    default: {
      RelayActions relay;
      relay_.OnEnvelope(envelope, now, &relay);
      MergeActions(std::move(relay), actions);
      break;
    }
  }
}

void ControlNode::OnStaleEnvelope(const StaleEnvelope& stale,
                                  NodeActions* actions) {
  const Envelope& envelope = stale.envelope;
  // Heartbeats are repeated, so one kind of message is enough.
  if (envelope.body_case() != Envelope::kHeartbeat) {
    return;
  }
  Envelope reply;
  reply.mutable_stale_start()->set_known_incarnation(stale.newest_incarnation);
  const control::Member& self = envelope.heartbeat().self();
  const auto endpoint = self.instance() == envelope.sender()
                            ? ReadEndpoint(self.control())
                            : std::nullopt;
  if (endpoint) {
    SetSender(&reply);
    actions->messages.push_back({*endpoint, std::move(reply)});
  } else {
    SendTo(envelope.sender(), std::move(reply), actions);
  }
}

void ControlNode::OnStaleStart(const control::StaleStart& stale, TimePoint now,
                               NodeActions* actions) {
  control::Member self = membership_.self();
  if (stale.known_incarnation() <= self.incarnation() ||
      now < next_incarnation_change_at_) {
    return;
  }
  next_incarnation_change_at_ = now + kMinIncarnationChangeInterval;
  self.set_incarnation(
      request::OrderAfter({stale.known_incarnation()}, self.incarnation())
          .value);
  actions->own_incarnation = {self.incarnation()};
  SetSelf(std::move(self), now, actions);
}

void ControlNode::OnStoreObjects(
    const std::vector<control::ConfigObject>& objects, uint64_t revision,
    bool snapshot, TimePoint now, NodeActions* actions) {
  std::vector<control::ConfigObject> tables;
  for (const control::ConfigObject& it : objects) {
    writer_.OnObject(it, now);
    if (it.path().starts_with("/tables/")) {
      tables.push_back(it);
    }
  }
  if (snapshot) {
    writer_.OnSynchronized(now);
  }
  RelayActions relay;
  relay_.OnStoreObjects(tables, revision, snapshot, now, &relay);
  MergeActions(std::move(relay), actions);
}

void ControlNode::OnLeaseObjects(
    const std::vector<control::ConfigObject>& objects, TimePoint now) {
  for (const control::ConfigObject& it : objects) {
    writer_.OnObject(it, now);
  }
}

void ControlNode::OnStoreCallSucceeded(TimePoint sent_at) {
  // The only entry instance of a fleet has no relay that acknowledges its
  // heartbeats, so store calls renew its lease.
  if (watcher_) {
    lease_.OnAcknowledged(sent_at);
  }
}

void ControlNode::OnWritten(const StoreWrite& write,
                            request::TableVersion version, TimePoint now) {
  if (write.path == summary_.path()) {
    summary_.OnWritten(version);
  } else {
    writer_.OnWritten(write, version, now);
  }
}

void ControlNode::OnWriteFailed(const StoreWrite& write,
                                request::ResultCode code,
                                request::TableVersion actual, TimePoint now) {
  if (write.path == summary_.path()) {
    summary_.OnWriteFailed(actual, now);
  } else {
    writer_.OnWriteFailed(write, code, now);
  }
}

void ControlNode::SetSelf(control::Member self, TimePoint now,
                          NodeActions* actions) {
  membership_.SetSelf(std::move(self));
  RelayActions relay;
  relay_.AnnounceSelf(now, &relay);
  MergeActions(std::move(relay), actions);
}

void ControlNode::Tick(TimePoint now, NodeActions* actions) {
  MergeActions(membership_.Tick(now), now, actions);
  RelayActions relay;
  relay_.Tick(now, &relay);
  MergeActions(std::move(relay), actions);
  if (membership_.self().role() != control::ROLE_ENTRY) {
    return;
  }
  if (!started_at_) {
    started_at_ = now;
  }
  if (now >= next_role_check_at_) {
    next_role_check_at_ = now + kRoleCheckInterval;
    // Right after its start an entry instance knows only itself; without this
    // wait, each one would become a watcher and begin with store calls.
    const bool joined = relay_.joined() || now - *started_at_ > kJoinTimeout;
    watcher_ = joined && relay_.watcher();
    first_watcher_ = relay_.first_watcher();
  }
  if (!watcher_) {
    return;
  }
  std::vector<std::string> candidates = relay_.peers();
  candidates.push_back(membership_.self().instance());
  Append(writer_.Tick(now, watcher_, candidates), &actions->writes);
  if (auto write = summary_.Tick(now, first_watcher_, relay_.applied_version(),
                                 relay_.statuses())) {
    actions->writes.push_back(std::move(*write));
  }
}

}  // namespace kumquatvalve::process
