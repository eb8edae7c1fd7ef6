#include "target_tables.h"

#include <netinet/in.h>

#include <memory>
#include <string>

#include "kumquatvalve/version/table_builder.h"

namespace kumquatvalve::bench {
namespace {

using version::ForwardingTable;
using version::UpstreamEntry;

constexpr uint32_t kZones = 5;
// Number of services whose addresses share the first three bytes.
constexpr uint32_t kServicesPerSubnet = 250;

std::vector<UpstreamEntry> MakeUpstreams(uint32_t service, uint32_t count) {
  std::vector<UpstreamEntry> upstreams(count);
  for (uint32_t i = 0; i < count; ++i) {
    upstreams[i].instance = request::InstanceIdOf(
        request::InstanceName("service-" + std::to_string(service) +
                              "-upstream-" + std::to_string(i)));
    upstreams[i].zone =
        request::AvailabilityZone("zone-" + std::to_string(i % kZones));
  }
  return upstreams;
}

version::ServiceAddress MakeServiceAddress(uint32_t service) {
  const uint8_t bytes[] = {10, 1,
                           static_cast<uint8_t>(service / kServicesPerSubnet),
                           static_cast<uint8_t>(service % kServicesPerSubnet)};
  return {{request::MapIpv4(bytes), 443}, IPPROTO_TCP};
}

}  // namespace

TargetTables::TargetTables(uint32_t services, uint32_t upstreams) {
  upstreams_.reserve(services);
  for (uint32_t i = 0; i < services; ++i) {
    const uint32_t extra_upstream = i < upstreams % services ? 1 : 0;
    upstreams_.push_back(
        MakeUpstreams(i, upstreams / services + extra_upstream));
    ChangeService(i, {1});
  }
}

void TargetTables::ChangeService(uint32_t service,
                                 request::TableVersion version) {
  auto& upstreams = upstreams_[service];
  const ForwardingTable* previous = snapshot_.Find(MakeServiceAddress(service));
  if (previous != nullptr) {
    upstreams[0].draining = !upstreams[0].draining;
  }
  snapshot_ = snapshot_.CopyWithTable(
      MakeServiceAddress(service),
      std::make_shared<const ForwardingTable>(version::BuildTable(
          {service}, upstreams, version::kDefaultRows, previous, version)));
}

}  // namespace kumquatvalve::bench
