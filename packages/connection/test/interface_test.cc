#include <catch2/catch.hpp>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/connection/router_sink.h"

namespace kumquatvalve::connection {
namespace {

// Guards against a forgotten field that admits a flow: the default has to be a
// refusal.
TEST_CASE("admission_policy: a default decision refuses") {
  CHECK(Admission().kind == Admission::Kind::kRefuse);
}

}  // namespace
}  // namespace kumquatvalve::connection
