#include "kumquatvalve/version/service_table.h"

#include <netinet/in.h>

#include <catch2/catch.hpp>

namespace kumquatvalve::version {
namespace {

ServiceAddress MakeAddress(uint16_t port) {
  const uint8_t bytes[] = {10, 0, 0, 1};
  return {{request::MapIpv4(bytes), port}, IPPROTO_TCP};
}

// Traffic threads may still use an older snapshot while the control thread
// builds the next one.
TEST_CASE("service_table: a change does not alter earlier snapshots") {
  const ServiceTable empty;
  const auto table = std::make_shared<ForwardingTable>();
  const ServiceTable one = empty.CopyWithTable(MakeAddress(80), table);
  CHECK(empty.Find(MakeAddress(80)) == nullptr);
  CHECK(one.Find(MakeAddress(80)) == table.get());
  CHECK(one.Find(MakeAddress(81)) == nullptr);
  CHECK(one.CopyWithTable(MakeAddress(80), nullptr).size() == 0);
}

}  // namespace
}  // namespace kumquatvalve::version
