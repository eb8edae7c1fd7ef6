// Measures the size of an encoded table of 512 rows and 5 upstreams and the
// heap bytes of an entry instance's control state by the number of members.
// Prints JSON lines {"figure", "value"} and {"series", "x", "y"}. Every entry
// instance knows all members, so the heap of a simulated fleet divided by the
// number of its processes is the state of one process.

#include <malloc.h>

#include <chrono>
#include <cstddef>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "control_fleet.h"
#include "kumquatvalve/process/table_codec.h"
#include "kumquatvalve/version/table_builder.h"

namespace kumquatvalve::bench {
namespace {

constexpr int kZones = 5;

void MeasureHeapPerMember(int members) {
  const size_t before = mallinfo2().uordblks;
  ControlFleet fleet(std::chrono::microseconds(500), 1);
  for (int i = 0; i < members; ++i) {
    fleet.AddProcess(control::ROLE_ENTRY, "zone-" + std::to_string(i % kZones),
                     "");
  }
  fleet.Run(std::chrono::seconds(20));
  const auto bytes = static_cast<double>(mallinfo2().uordblks - before);
  std::cout << nlohmann::ordered_json{{"series",
                                       "control_heap_bytes_by_members"},
                                      {"x", members},
                                      {"y", bytes / members}}
            << std::endl;
}

void MeasureTableObject() {
  std::vector<version::UpstreamEntry> upstreams(5);
  for (size_t i = 0; i < upstreams.size(); ++i) {
    upstreams[i].instance = request::InstanceIdOf(
        request::InstanceName("upstream-" + std::to_string(i)));
    upstreams[i].incarnation = {1'796'378'082'875'933};
    upstreams[i].zone =
        request::AvailabilityZone("zone-" + std::to_string(i % kZones));
    upstreams[i].data.port = 7000;
    upstreams[i].control.port = 7001;
  }
  process::PublishedTable published;
  published.table = version::BuildTable({1000}, upstreams,
                                        version::kDefaultRows, nullptr, {2000});
  published.addresses.resize(1);
  published.path = "/teams/tarima/services/patio";
  std::cout << nlohmann::ordered_json{{"figure", "table_object_bytes"},
                                      {"value",
                                       process::WriteTable(published).size()}}
            << std::endl;
}

}  // namespace
}  // namespace kumquatvalve::bench

int main() {
  kumquatvalve::bench::MeasureTableObject();
  for (const int members : {10, 20, 40, 80, 160, 320}) {
    kumquatvalve::bench::MeasureHeapPerMember(members);
  }
  return 0;
}
