#include "kumquatvalve/process/control_channel.h"

#include <zmq.h>

#include <catch2/catch.hpp>
#include <string>
#include <thread>

namespace kumquatvalve::process {
namespace {

using request::Failure;
using request::ResultCode;
using std::chrono::milliseconds;

struct KeyPair {
  std::string public_key;
  std::string secret_key;
};

KeyPair MakeKeys() {
  char public_key[41];
  char secret_key[41];
  REQUIRE(zmq_curve_keypair(public_key, secret_key) == 0);
  return {public_key, secret_key};
}

version::KeySettings MakeKeySettings(const KeyPair& own,
                                     std::vector<std::string> accepted) {
  version::KeySettings keys;
  keys.curve_public = own.public_key;
  keys.curve_secret = own.secret_key;
  keys.accepted_public = std::move(accepted);
  return keys;
}

std::unique_ptr<ControlChannel> OpenAt(const std::string& address,
                                       const version::KeySettings& keys) {
  Failure failure;
  auto channel = ControlChannel::Open(
      *request::ParseEndpoint(address, &failure), keys, &failure);
  REQUIRE(channel != nullptr);
  return channel;
}

control::Envelope MakePing(const std::string& sender, uint64_t incarnation) {
  control::Envelope envelope;
  envelope.set_sender(sender);
  envelope.set_sender_incarnation(incarnation);
  envelope.mutable_ping()->set_sequence(1);
  return envelope;
}

// Sends a message per round of 20 ms until one arrives, for at most `rounds`.
// @return number of messages that arrived.
int SendUntilReceived(ControlChannel& from, ControlChannel& to, int rounds) {
  int received = 0;
  for (int i = 0; i < rounds && received == 0; ++i) {
    from.Send(to.endpoint(), MakePing("a", 5));
    from.Receive(milliseconds(10), [](control::Envelope&&) {});
    to.Receive(milliseconds(10), [&](control::Envelope&&) { ++received; });
  }
  return received;
}

constexpr int kMaxRounds = 1500;

// Guards against a delayed message of a process's earlier start affecting the
// peers of its newer start.
TEST_CASE("control_channel: stale and undecodable messages are dropped") {
  EnvelopeFilter filter;
  Failure failure;
  std::optional<StaleEnvelope> stale;
  const auto read = [&](const std::string& bytes) {
    return filter.Read(bytes, &stale, &failure).has_value();
  };
  CHECK(read(MakePing("a", 5).SerializeAsString()));
  CHECK_FALSE(stale);
  CHECK_FALSE(read(MakePing("a", 4).SerializeAsString()));
  CHECK(failure.code == ResultCode::kStaleIncarnation);
  REQUIRE(stale);
  CHECK(stale->newest_incarnation == 5);
  CHECK(stale->envelope.sender() == "a");
  CHECK_FALSE(read("\xff\xff"));
  CHECK(failure.code == ResultCode::kBadMessage);
  CHECK_FALSE(read(""));
}

// Guards against a split of the fleet while only half of its processes have the
// new key.
TEST_CASE("control_channel: accepts the old and the new key during rotation") {
  const KeyPair old_key = MakeKeys();
  const KeyPair new_key = MakeKeys();
  auto old_process =
      OpenAt("127.44.8.1:0", MakeKeySettings(old_key, {new_key.public_key}));
  auto new_process =
      OpenAt("127.44.8.2:0", MakeKeySettings(new_key, {old_key.public_key}));
  CHECK(SendUntilReceived(*old_process, *new_process, kMaxRounds) > 0);
  CHECK(SendUntilReceived(*new_process, *old_process, kMaxRounds) > 0);
}

// Guards against accepting a client that has only the fleet's public key.
TEST_CASE("control_channel: rejects and counts a client with an unknown key") {
  const KeyPair fleet = MakeKeys();
  const KeyPair unknown_keys = MakeKeys();
  auto member = OpenAt("127.44.8.3:0", MakeKeySettings(fleet, {}));
  auto outsider =
      OpenAt("127.44.8.4:0", MakeKeySettings(unknown_keys, {fleet.public_key}));
  int received = 0;
  for (int i = 0; i < kMaxRounds && !member->counts().dropped.contains(
                                        ResultCode::kUnknownSender);
       ++i) {
    received += SendUntilReceived(*outsider, *member, 1);
  }
  CHECK(member->counts().dropped.contains(ResultCode::kUnknownSender));
  CHECK(received == 0);
}

// Guards against a control thread that keeps waiting for messages while another
// thread has work for it.
TEST_CASE("control_channel: Wake from another thread ends Receive",
          "[threads]") {
  auto channel = OpenAt("127.44.8.5:0", {});
  std::thread waker([&] { channel->Wake(); });
  channel->Receive(std::chrono::hours(1), [](control::Envelope&&) {});
  waker.join();
}

}  // namespace
}  // namespace kumquatvalve::process
