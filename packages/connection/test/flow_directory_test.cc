#include "kumquatvalve/connection/flow_directory.h"

#include <catch2/catch.hpp>

namespace kumquatvalve::connection {
namespace {

constexpr request::InstanceId kHolder{1};
constexpr request::InstanceId kOther{2};

request::FlowKey Key(uint16_t port) {
  request::FlowKey key;
  key.caller.port = port;
  return key;
}

// When a passed-on packet is lost, its entry would send the caller's later
// flows from the same port to a sidecar that never held one.
TEST_CASE("flow_directory: only an unconfirmed entry expires") {
  FlowDirectory directory(10);
  const TimePoint start;
  directory.RecordPassedOn(Key(1), 1, kHolder, start);
  directory.RecordPassedOn(Key(2), 2, kHolder, start);
  directory.RecordRegistered(Key(2), 2, kHolder, start);
  directory.Expire(start + FlowDirectory::kUnconfirmedTtl);
  CHECK(directory.Find(Key(1)) == nullptr);
  CHECK(directory.Find(Key(2)) != nullptr);
}

// Without this, a lost withdrawal would leave an entry for ever.
TEST_CASE("flow_directory: a complete registration removes omitted flows") {
  FlowDirectory directory(10);
  directory.RecordRegistered(Key(1), 1, kHolder, {});
  directory.RecordRegistered(Key(2), 2, kHolder, {});
  directory.RecordRegistered(Key(3), 3, kOther, {});
  directory.FinishRegistration(kHolder);
  directory.RecordRegistered(Key(2), 2, kHolder, {});
  directory.FinishRegistration(kHolder);
  CHECK(directory.Find(Key(1)) == nullptr);
  CHECK(directory.Find(Key(2)) != nullptr);
  CHECK(directory.Find(Key(3)) != nullptr);
}

// A restarted holder cannot register idle flows that it has not adopted;
// without its entries their next packet would not find the holder.
TEST_CASE("flow_directory: entries of a restarted holder are kept") {
  FlowDirectory directory(10);
  directory.RecordRegistered(Key(1), 1, kHolder, {});
  directory.RetainAfterRestart(kHolder);
  directory.FinishRegistration(kHolder);
  directory.FinishRegistration(kHolder);
  CHECK(directory.Find(Key(1)) != nullptr);
}

// A late withdrawal of an earlier holder must not remove the present holder's
// entry.
TEST_CASE("flow_directory: only the recorded holder can withdraw a flow") {
  FlowDirectory directory(10);
  directory.RecordRegistered(Key(1), 1, kHolder, {});
  directory.Withdraw(Key(1), kOther);
  CHECK(directory.Find(Key(1)) != nullptr);
  directory.Withdraw(Key(1), kHolder);
  CHECK(directory.Find(Key(1)) == nullptr);
}

// Guards against unbounded memory through the registrations of peers.
TEST_CASE("flow_directory: a full directory rejects a new flow") {
  FlowDirectory directory(1);
  CHECK(directory.RecordPassedOn(Key(1), 1, kHolder, {}));
  CHECK_FALSE(directory.RecordPassedOn(Key(2), 2, kHolder, {}));
  CHECK(directory.RecordRegistered(Key(1), 1, kOther, {}));
}

}  // namespace
}  // namespace kumquatvalve::connection
