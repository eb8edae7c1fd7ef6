// Measures the memory and the rebuild time of tables by the number of services.
// Prints JSON lines {"series", "x", "y"}, from which docs/CAPACITY.md derives
// the need at other sizes.

#include <chrono>
#include <cstdint>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

#include "target_tables.h"

namespace kumquatvalve::bench {
namespace {

constexpr double kUpstreamsPerService = 4700.0 / 900;
constexpr uint32_t kTableChanges = 500;

void PrintPoint(const std::string& series, double x, double y) {
  std::cout << nlohmann::ordered_json{{"series", series}, {"x", x}, {"y", y}}
            << "\n";
}

void MeasureTables(uint32_t services) {
  TargetTables tables(services,
                      static_cast<uint32_t>(services * kUpstreamsPerService));
  PrintPoint("table_bytes_by_services", services,
             static_cast<double>(tables.snapshot().MemoryBytes()));
  const auto start = std::chrono::steady_clock::now();
  for (uint32_t i = 0; i < kTableChanges; ++i) {
    tables.ChangeService(i % services, {i + 2});
  }
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - start;
  PrintPoint("table_change_us_by_services", services,
             elapsed.count() / kTableChanges);
}

}  // namespace
}  // namespace kumquatvalve::bench

int main() {
  for (const uint32_t services : {100, 225, 450, 900, 1800}) {
    kumquatvalve::bench::MeasureTables(services);
  }
  return 0;
}
