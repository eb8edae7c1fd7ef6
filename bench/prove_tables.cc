#include <chrono>
#include <random>

#include "measure.h"
#include "target_tables.h"

namespace kumquatvalve::bench {
namespace {

constexpr uint32_t kServices = 900;
constexpr uint32_t kUpstreams = 4700;
constexpr double kChangesPerDay = 2400;
constexpr double kSecondsPerDay = 86400;
constexpr double kMegabyte = 1e6;

MeasureResult TableMemory(const MeasureOptions&) {
  const TargetTables tables(kServices, kUpstreams);
  return {static_cast<double>(tables.snapshot().MemoryBytes()) / kMegabyte,
          16,
          "MB for 900 services and 4,700 upstreams",
          {}};
}

MeasureResult TableRebuild(const MeasureOptions& options) {
  TargetTables tables(kServices, kUpstreams);
  std::mt19937_64 random(options.seed);
  const auto changes = static_cast<uint64_t>(kChangesPerDay);
  const auto start = std::chrono::steady_clock::now();
  for (uint64_t i = 0; i < changes; ++i) {
    tables.ChangeService(static_cast<uint32_t>(random() % kServices), {i + 2});
  }
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - start;
  return {elapsed.count() / kSecondsPerDay * 100,
          1,
          "% of a core at 2,400 changes a day",
          {}};
}

}  // namespace
}  // namespace kumquatvalve::bench

int main(int argc, char** argv) {
  return kumquatvalve::bench::RunMeasures(
      {{"table-memory", kumquatvalve::bench::TableMemory},
       {"table-rebuild", kumquatvalve::bench::TableRebuild}},
      argc, argv);
}
