#include "kumquatvalve/process/metrics.h"

#include <prometheus/text_serializer.h>
#include <unistd.h>

#include <fstream>

namespace kumquatvalve::process {
namespace {

prometheus::MetricFamily CounterFamily(std::string name, std::string help) {
  prometheus::MetricFamily family;
  family.name = std::move(name);
  family.help = std::move(help);
  family.type = prometheus::MetricType::Counter;
  return family;
}

void AddCounter(prometheus::MetricFamily* family, std::string label,
                std::string_view value, uint64_t count) {
  prometheus::ClientMetric metric;
  metric.label.push_back({std::move(label), std::string(value)});
  metric.counter.value = static_cast<double>(count);
  family->metric.push_back(std::move(metric));
}

}  // namespace

std::vector<prometheus::MetricFamily> TrafficCollector::Collect() const {
  const TrafficSums sums = read_sums_();
  auto packets = CounterFamily("kumquatvalve_packets_total",
                               "Packets by what was done with them.");
  for (size_t i = 0; i < kPacketEvents; ++i) {
    AddCounter(&packets, "event", Name(static_cast<PacketEvent>(i)),
               sums.events[i]);
  }
  auto drops = CounterFamily("kumquatvalve_dropped_packets_total",
                             "Dropped packets by result code.");
  for (const auto& [code, n] : sums.drops) {
    AddCounter(&drops, "reason", request::Name(code), n);
  }
  prometheus::MetricFamily memory;
  memory.name = "process_resident_memory_bytes";
  memory.help = "Resident memory of the process.";
  memory.type = prometheus::MetricType::Gauge;
  prometheus::ClientMetric resident;
  resident.gauge.value = static_cast<double>(ResidentBytes());
  memory.metric.push_back(std::move(resident));
  return {std::move(packets), std::move(drops), std::move(memory)};
}

std::string SerializeMetrics(
    const std::vector<std::shared_ptr<prometheus::Collectable>>& collectables) {
  std::vector<prometheus::MetricFamily> families;
  for (const auto& it : collectables) {
    for (auto& family : it->Collect()) {
      families.push_back(std::move(family));
    }
  }
  return prometheus::TextSerializer().Serialize(families);
}

size_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  size_t total = 0;
  size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace kumquatvalve::process
