#include "kumquatvalve/connection/reset_packet.h"

#include <netinet/in.h>

#include <catch2/catch.hpp>
#include <string>

#include "kumquatvalve/request/packet.h"

namespace kumquatvalve::connection {
namespace {

request::FlowKey Key(const std::string& caller, const std::string& service) {
  request::Failure failure;
  return {*request::ParseEndpoint(caller, &failure),
          *request::ParseEndpoint(service, &failure), IPPROTO_TCP};
}

// Guards against refusals that callers ignore: a reset with a wrong
// acknowledgment number leaves the caller waiting for its full connect timeout.
TEST_CASE("reset_packet: a refusal acknowledges the SYN") {
  for (const auto& key : {Key("10.0.0.1:1000", "10.0.0.2:80"),
                          Key("[fd00::1]:1000", "[fd00::2]:80")}) {
    EmptySegment syn;
    syn.flow = key;
    syn.syn = true;
    syn.sequence = 0xffffffff;
    const auto bytes = BuildSegment(syn);
    request::Failure failure;
    const auto parsed = request::ParsePacket(bytes, &failure);
    REQUIRE(parsed);
    CHECK(parsed->flow == key);
    const auto refusal = BuildRefusal(*parsed);
    const auto response = request::ParsePacket(refusal, &failure);
    REQUIRE(response);
    CHECK(response->flow == request::Reverse(key));
    CHECK(response->rst);
    CHECK(response->ack);
    CHECK(response->acknowledgment == 0);
  }
}

}  // namespace
}  // namespace kumquatvalve::connection
