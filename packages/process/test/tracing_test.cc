#include "kumquatvalve/process/tracing.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <vector>

namespace kumquatvalve::process {
namespace {

// Guards against spans of one packet with different trace ids or wrong parents,
// which cannot be joined to the packet's path.
TEST_CASE("tracing: the hops of a packet form one trace") {
  const std::string path =
      "/tmp/kumquatvalve_tracing_test_" + std::to_string(getpid());
  request::Failure failure;
  {
    const auto file = SpanFile::Open(path, &failure);
    REQUIRE(file != nullptr);
    HopTracer entry(MakeZipkinTracer("entry-0", file.get()), 1);
    HopTracer sidecar(MakeZipkinTracer("order-desk-0", file.get()), 1);
    request::ParsedPacket packet;
    packet.sequence = 5;
    request::ForwardHeader header;
    header.hops = 1;
    entry.RecordHop(packet, header, "route");
    header.hops = 2;
    sidecar.RecordHop(packet, header, "sidecar");
    file->Flush();
  }
  std::vector<nlohmann::json> spans;
  std::ifstream in(path);
  for (std::string line; std::getline(in, line);) {
    spans.push_back(nlohmann::json::parse(line));
  }
  std::remove(path.c_str());
  REQUIRE(spans.size() == 2);
  CHECK(spans[0]["traceId"] == spans[1]["traceId"]);
  CHECK_FALSE(spans[0].contains("parentId"));
  CHECK(spans[1]["parentId"] == spans[0]["id"]);
  CHECK(spans[1]["localEndpoint"]["serviceName"] == "order-desk-0");
}

// Guards against hops sampling different packets, which would leave gaps in
// traces.
TEST_CASE("tracing: sampling depends on the trace id alone") {
  int sampled = 0;
  for (uint32_t i = 0; i < 10000; ++i) {
    request::ParsedPacket packet;
    packet.sequence = i;
    const uint64_t trace_id = request::TraceIdOf(packet);
    // The next hop has the packet at another place, behind a header.
    request::ParsedPacket at_next_hop = packet;
    at_next_hop.transport_offset = 40;
    CHECK(request::TraceIdOf(at_next_hop) == trace_id);
    // A hop that samples more often has no gap either.
    if (request::IsSampled(trace_id, 100)) {
      CHECK(request::IsSampled(trace_id, 50));
    }
    sampled += request::IsSampled(trace_id, 100) ? 1 : 0;
  }
  CHECK(sampled > 50);
  CHECK(sampled < 200);
  CHECK_FALSE(request::IsSampled(0, 0));
}

}  // namespace
}  // namespace kumquatvalve::process
