#include "kumquatvalve/version/service_table.h"

#include <netinet/in.h>

#include <catch2/catch.hpp>

namespace kumquatvalve::version {
namespace {

ServiceAddress AddressOf(uint16_t port) {
  const uint8_t bytes[] = {10, 0, 0, 1};
  return {{request::MapIpv4(bytes), port}, IPPROTO_TCP};
}

// A traffic thread that still uses an older snapshot must not see a change.
TEST_CASE("service_table: a change leaves earlier snapshots as they were") {
  const ServiceTable empty;
  const auto table = std::make_shared<ForwardingTable>();
  const ServiceTable one = empty.CopyWithTable(AddressOf(80), table);
  CHECK(empty.Find(AddressOf(80)) == nullptr);
  CHECK(one.Find(AddressOf(80)) == table.get());
  CHECK(one.Find(AddressOf(81)) == nullptr);
  CHECK(one.CopyWithTable(AddressOf(80), nullptr).size() == 0);
}

}  // namespace
}  // namespace kumquatvalve::version
