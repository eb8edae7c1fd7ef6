#include "kumquatvalve/process/status_server.h"

#include <httplib.h>

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <memory>

#include "kumquatvalve/process/metrics.h"

namespace kumquatvalve::process {
namespace {

// Metrics without drops by reason would hide lost packets; a readiness probe
// that stays positive would let the fabric send to a stopping instance.
TEST_CASE("status_server: metrics, probes and status are served") {
  TrafficCounters counters;
  counters.Count(PacketEvent::kForwarded, 3);
  counters.Drop(request::ResultCode::kNoService);
  std::atomic<bool> ready{true};
  StatusServer server({{std::make_shared<TrafficCollector>([&] {
                         TrafficSums sums;
                         sums.Add(counters);
                         return sums;
                       })},
                       [&] { return ready.load(); },
                       [] { return std::string("{\"instance\":\"a\"}"); }});
  const std::array<uint8_t, 4> loopback = {127, 0, 0, 1};
  request::Failure failure;
  REQUIRE(server.Start({request::MapIpv4(loopback.data()), 0}, &failure));
  httplib::Client client("127.0.0.1", server.port());

  const auto metrics = client.Get("/metrics");
  REQUIRE(metrics);
  CHECK(metrics->body.find("kumquatvalve_packets_total{event=\"forwarded\"} "
                           "3") != std::string::npos);
  CHECK(metrics->body.find("kumquatvalve_dropped_packets_total{reason="
                           "\"no_service\"} 1") != std::string::npos);
  CHECK(client.Get("/healthz")->status == 200);
  CHECK(client.Get("/readyz")->status == 200);
  ready = false;
  CHECK(client.Get("/readyz")->status == 503);
  CHECK(client.Get("/status")->body == "{\"instance\":\"a\"}");
}

// A process must not start without its status endpoint, for example when two
// processes are configured with the same one.
TEST_CASE("status_server: an endpoint that cannot be bound is an error") {
  StatusServer server({{}, [] { return true; }, [] { return "{}"; }});
  request::Failure failure;
  const auto endpoint = request::ParseEndpoint("192.0.2.1:9", &failure);
  CHECK_FALSE(server.Start(*endpoint, &failure));
  CHECK(failure.code == request::ResultCode::kSocketError);
}

}  // namespace
}  // namespace kumquatvalve::process
