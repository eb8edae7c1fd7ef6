#include "kumquatvalve/request/holder_hint.h"

#include <catch2/catch.hpp>

namespace kumquatvalve::request {
namespace {

// With a wrongly restored echo the upstream would get a timestamp that it never
// sent, and its round trip times and PAWS checks would be wrong.
TEST_CASE("holder_hint: an echo is restored, also across a wraparound") {
  for (const uint32_t latest :
       {5U, 0x1fffffffU, 0x20000001U, 0x80000000U, 0xfffffff0U, 0xffffffffU}) {
    for (const uint32_t age : {0U, 1U, 4U, 100000U}) {
      const uint32_t sent = latest - age;
      CHECK(RestoreTimestamp(ExtendTimestamp(sent, 3), latest) == sent);
    }
  }
}

// An index that does not fit into the hint must not name another holder.
TEST_CASE("holder_hint: a holder index out of range gives no hint") {
  CHECK(DecodeHolderHint(ExtendTimestamp(77, 6)) == 6);
  CHECK_FALSE(DecodeHolderHint(ExtendTimestamp(77, 7)));
  CHECK_FALSE(DecodeHolderHint(ExtendTimestamp(77, 8)));
}

}  // namespace
}  // namespace kumquatvalve::request
