#ifndef KUMQUATVALVE_BENCH_DEPLOYMENTS_H_
#define KUMQUATVALVE_BENCH_DEPLOYMENTS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatvalve::bench {

/// A service of a deployment at its present size.
struct DeployedService {
  std::string name;
  uint32_t upstreams = 0;
  /// Per upstream.
  uint32_t slots = 0;
  /// Open connections per upstream.
  uint32_t connections = 0;
};

/// One of the two deployments of docs/design.md, section 1.
struct Deployment {
  std::string name;
  std::string region;
  std::vector<std::string> availability_zones;
  /// One-way delay between availability zones.
  std::chrono::microseconds zone_delay{0};
  /// One-way delay between callers and entry instances.
  std::chrono::microseconds caller_delay{0};
  std::vector<DeployedService> services;
};

/// Returns the deployment "kalahari" or "tarima"; nothing for another name.
std::optional<Deployment> FindDeployment(std::string_view name);

}  // namespace kumquatvalve::bench

#endif  // KUMQUATVALVE_BENCH_DEPLOYMENTS_H_
