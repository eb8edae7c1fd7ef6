#include <malloc.h>
#include <netinet/in.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <unordered_map>

#include "fake_network.h"
#include "kumquatvalve/connection/flow_table.h"
#include "measure.h"

namespace kumquatvalve::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Results = FakeNetwork::Results;

constexpr uint16_t kPort = 443;

NetworkOptions MakeNetworkOptions(const MeasureOptions& options) {
  NetworkOptions network;
  network.seed = options.seed;
  network.deployment = options.deployment;
  network.flows = options.flows;
  return network;
}

// Prints the counts that are not part of the JSON line to stderr.
void PrintDetails(const Results& it) {
  std::cerr << "finished " << it.finished << ", broken " << it.broken << " ("
            << it.broken_with_upstream << " with their upstream, "
            << it.broken_by_reset << " by a reset, " << it.broken_half_open
            << " without handshake), refused " << it.refused << " ("
            << it.untrue_refusals << " untrue), unfinished " << it.unfinished
            << ", payload at two upstreams " << it.payload_at_two_upstreams
            << ", wrong service " << it.wrong_service << ", wrong response "
            << it.wrong_response << ", adopted " << it.adopted << ", passed on "
            << it.passed_on << ", packets of callers " << it.packets
            << ", second hops " << it.second_hops << ", control messages "
            << it.control_messages << " with " << it.control_bytes
            << " bytes\n";
}

size_t AddFirstService(FakeNetwork* network, const Deployment& deployment) {
  return network->AddService(deployment.services[0].upstreams, kPort, 7);
}

// Counts the faults that are not permitted in any measure.
double CountSafetyFaults(const Results& it) {
  return static_cast<double>(it.untrue_refusals + it.payload_at_two_upstreams +
                             it.wrong_service + it.wrong_response);
}

// Result of a measure that permits `excluded` broken flows.
MeasureResult MakeBrokenFlowsResult(const Results& it, uint64_t excluded) {
  PrintDetails(it);
  MeasureResult result;
  result.unit = "flows";
  result.value = static_cast<double>(it.broken - excluded + it.unfinished) +
                 CountSafetyFaults(it);
  result.baselines["plain hash table"] = static_cast<double>(it.hash_broken);
  result.baselines["table with one previous owner"] =
      static_cast<double>(it.one_previous_broken);
  return result;
}

void RestartSidecarsInTurn(FakeNetwork* network, size_t service,
                           seconds start) {
  seconds at = start;
  for (const size_t it : network->SidecarsOfService(service)) {
    network->queue().ScheduleAfter(at,
                                   [network, it] { network->KillSidecar(it); });
    network->queue().ScheduleAfter(
        at + milliseconds(400), [network, it] { network->StartSidecar(it); });
    at += seconds(1);
  }
}

// Broken flows under ten table changes, rolling restarts of all sidecars and
// one of all entry instances.
MeasureResult PlannedChange(const MeasureOptions& options) {
  FakeNetwork network(MakeNetworkOptions(options));
  const size_t service = AddFirstService(&network, options.deployment);
  network.StartFlows();
  EventQueue& queue = network.queue();
  const TimePoint start = queue.now();
  for (int i = 0; i < 10; ++i) {
    queue.ScheduleAfter(seconds(4 + 2 * i), [&network, service, i] {
      const auto sidecars = network.SidecarsOfService(service);
      switch (i) {
        case 0:
        case 5:
          network.DrainSidecar(sidecars[static_cast<size_t>(i) / 5]);
          break;
        case 1:
        case 4:
        case 8:
          network.AddUpstream(service);
          break;
        default:
          network.SetWeight(sidecars[2 + static_cast<size_t>(i) % 3],
                            50 + 20 * static_cast<uint32_t>(i));
          break;
      }
      network.PublishTable(service);
    });
  }
  for (size_t i = 0; i < network.entries(); ++i) {
    const auto at = seconds(14) + milliseconds(800) * static_cast<int>(i);
    queue.ScheduleAfter(at, [&network, i] { network.KillEntry(i); });
    queue.ScheduleAfter(at + milliseconds(700),
                        [&network, i] { network.StartEntry(i); });
  }
  RestartSidecarsInTurn(&network, service, seconds(26));
  // A second rolling restart: holders and owners restart one after the other
  // while their flows are idle.
  RestartSidecarsInTurn(&network, service, seconds(38));
  queue.RunUntil(start + seconds(240));
  return MakeBrokenFlowsResult(network.CollectResults(), 0);
}

MeasureResult InstanceLoss(const MeasureOptions& options) {
  FakeNetwork network(MakeNetworkOptions(options));
  const size_t service = AddFirstService(&network, options.deployment);
  network.StartFlows();
  EventQueue& queue = network.queue();
  const TimePoint start = queue.now();
  // Kills a third of the entry instances at once while an upstream joins.
  queue.ScheduleAfter(seconds(12), [&network, service] {
    for (size_t i = 0; i < network.entries(); i += 3) {
      network.KillEntry(i);
    }
    network.AddUpstream(service);
    network.PublishTable(service);
  });
  queue.ScheduleAfter(seconds(20), [&network, service] {
    network.KillEntry(1);
    network.AddUpstream(service);
    network.PublishTable(service);
    network.StartEntry(0);
  });
  queue.RunUntil(start + seconds(200));
  return MakeBrokenFlowsResult(network.CollectResults(), 0);
}

MeasureResult UpstreamLoss(const MeasureOptions& options) {
  FakeNetwork network(MakeNetworkOptions(options));
  const size_t service = AddFirstService(&network, options.deployment);
  network.StartFlows();
  EventQueue& queue = network.queue();
  const TimePoint start = queue.now();
  for (const int i : {1, 3}) {
    queue.ScheduleAfter(seconds(10 + 5 * i), [&network, i] {
      network.KillUpstream(static_cast<size_t>(i));
    });
    queue.ScheduleAfter(seconds(18 + 5 * i), [&network, service, i] {
      network.RemoveFromTable(static_cast<size_t>(i));
      network.PublishTable(service);
    });
  }
  queue.RunUntil(start + seconds(200));
  const Results it = network.CollectResults();
  return MakeBrokenFlowsResult(it, it.broken_with_upstream);
}

MeasureResult SideProcessRestart(const MeasureOptions& options) {
  NetworkOptions settings = MakeNetworkOptions(options);
  settings.recovery = std::getenv("KUMQUATVALVE_NO_RECOVERY") == nullptr;
  FakeNetwork network(settings);
  const size_t service = AddFirstService(&network, options.deployment);
  network.StartFlows();
  EventQueue& queue = network.queue();
  const TimePoint start = queue.now();
  // Short and long outages, two at once and one right after another.
  const auto restart = [&](size_t sidecar, milliseconds at, milliseconds down) {
    queue.ScheduleAfter(at,
                        [&network, sidecar] { network.KillSidecar(sidecar); });
    queue.ScheduleAfter(at + down,
                        [&network, sidecar] { network.StartSidecar(sidecar); });
  };
  restart(0, seconds(8), milliseconds(200));
  restart(1, seconds(10), seconds(6));
  restart(2, seconds(18), seconds(8));
  restart(3, seconds(18), milliseconds(500));
  restart(0, seconds(28), seconds(4));
  restart(0, seconds(33), milliseconds(300));
  RestartSidecarsInTurn(&network, service, seconds(36));
  queue.RunUntil(start + seconds(240));
  return MakeBrokenFlowsResult(network.CollectResults(), 0);
}

// Packets at the wrong service after a service is removed and another one gets
// its address and one of its data endpoints, while entry instances still use
// older tables.
MeasureResult WrongService(const MeasureOptions& options) {
  NetworkOptions settings = MakeNetworkOptions(options);
  FakeNetwork network(settings);
  const auto& services = options.deployment.services;
  network.AddService(services[0].upstreams, kPort, 7);
  const size_t removed =
      network.AddService(services[1].upstreams, kPort + 1, 8);
  const size_t replacement =
      network.AddService(services[1].upstreams, kPort + 2, 9);
  network.StartFlows();
  EventQueue& queue = network.queue();
  const TimePoint start = queue.now();
  queue.ScheduleAfter(seconds(12), [&network, removed, replacement] {
    network.ChangeServicePort(removed, kPort + 3);
    network.ChangeServicePort(replacement, kPort + 1);
  });
  queue.ScheduleAfter(seconds(15), [&network, removed, replacement] {
    const auto from = network.SidecarsOfService(removed);
    const auto to = network.SidecarsOfService(replacement);
    for (size_t i = 0; i < std::min(from.size(), to.size()); i += 2) {
      network.KillUpstream(from[i]);
      network.ReassignEndpoint(from[i], to[i]);
    }
  });
  queue.RunUntil(start + seconds(120));
  const Results it = network.CollectResults();
  PrintDetails(it);
  MeasureResult result;
  result.unit = "packets";
  result.value = static_cast<double>(it.wrong_service + it.wrong_response);
  result.baselines["plain hash table"] = static_cast<double>(it.hash_broken);
  result.baselines["table with one previous owner"] =
      static_cast<double>(it.one_previous_broken);
  return result;
}

MeasureResult AtMostOnce(const MeasureOptions& options) {
  NetworkOptions settings = MakeNetworkOptions(options);
  settings.hold = 0.1;
  settings.pass = 0.3;
  settings.refuse = 0.1;
  settings.port_reuse_share = 0.1;
  settings.loss = 0.02;
  settings.arrival_period = seconds(110);
  FakeNetwork network(settings);
  const size_t service = AddFirstService(&network, options.deployment);
  network.StartFlows();
  EventQueue& queue = network.queue();
  const TimePoint start = queue.now();
  for (int i = 0; i < 10; ++i) {
    queue.ScheduleAfter(seconds(74 + 3 * i), [&network, service, i] {
      const auto sidecars = network.SidecarsOfService(service);
      const size_t target = sidecars[network.random()() % sidecars.size()];
      switch (i % 5) {
        case 0:
          network.PauseSidecar(target, milliseconds(1500));
          break;
        case 1:
          network.KillSidecar(target);
          network.queue().ScheduleAfter(milliseconds(500), [&network, target] {
            network.StartSidecar(target);
          });
          break;
        case 2:
          network.AddUpstream(service);
          network.PublishTable(service);
          break;
        case 3:
          network.PauseSidecar(target, milliseconds(4000));
          network.SetWeight(sidecars[0], 100 + static_cast<uint32_t>(i));
          network.PublishTable(service);
          break;
        default:
          network.DrainSidecar(sidecars[static_cast<size_t>(i) / 5]);
          network.PublishTable(service);
          break;
      }
    });
  }
  queue.RunUntil(start + seconds(260));
  const Results it = network.CollectResults();
  PrintDetails(it);
  MeasureResult result;
  result.unit = "flows";
  result.value = CountSafetyFaults(it);
  result.baselines["plain hash table"] = static_cast<double>(it.hash_broken);
  result.baselines["table with one previous owner"] =
      static_cast<double>(it.one_previous_broken);
  return result;
}

MeasureResult DrainStop(const MeasureOptions& options) {
  FakeNetwork network(MakeNetworkOptions(options));
  const size_t service = AddFirstService(&network, options.deployment);
  network.StartFlows();
  EventQueue& queue = network.queue();
  const TimePoint start = queue.now();
  for (int i = 0; i < 4; ++i) {
    queue.ScheduleAfter(seconds(5 + 4 * i), [&network, service, i] {
      network.DrainSidecar(static_cast<size_t>(i));
      network.PublishTable(service);
    });
  }
  queue.RunUntil(start + seconds(200));
  const Results it = network.CollectResults();
  PrintDetails(it);
  MeasureResult result;
  result.unit = "ms";
  result.value =
      static_cast<double>(it.last_accept_after_drain.count()) / 1000.0;
  // A drain that breaks flows fails the measure.
  if (it.broken + it.unfinished > 0) {
    result.value = 1e9;
  }
  result.bound = 3000;
  return result;
}

MeasureResult SilentFlows(const MeasureOptions& options) {
  NetworkOptions settings = MakeNetworkOptions(options);
  settings.requests = 1;
  settings.stay_open = true;
  settings.arrival_period = seconds(150);
  settings.loss = 0.01;
  FakeNetwork network(settings);
  AddFirstService(&network, options.deployment);
  network.StartFlows();
  EventQueue& queue = network.queue();
  const TimePoint start = queue.now();
  // At 60 s one flow in ten is cut on one of its sides. Flows that have not
  // started by then are not cut.
  std::vector<uint64_t> cut;
  queue.ScheduleAfter(seconds(60), [&] {
    for (uint64_t i = 0; i < options.flows; i += 10) {
      if (network.IsHeldBySidecar(i)) {
        cut.push_back(i);
        network.CutFlow(i, (i / 10) % 2 == 0);
      }
    }
  });
  // The idle time, six rounds of probes and one more minute.
  queue.RunUntil(start + seconds(190));
  uint64_t missed = 0;
  for (const uint64_t it : cut) {
    missed += network.IsHeldBySidecar(it) ? 1 : 0;
  }
  const Results it = network.CollectResults();
  PrintDetails(it);
  std::cerr << "cut " << cut.size() << ", missed " << missed << ", false ends "
            << it.reset_without_cut << "\n";
  MeasureResult result;
  result.unit = "flows";
  result.value = static_cast<double>(missed + it.reset_without_cut);
  result.baselines["without probes: missed"] = static_cast<double>(cut.size());
  return result;
}

size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

request::FlowKey MakeFlowKey(uint64_t index) {
  request::FlowKey key;
  key.protocol = IPPROTO_TCP;
  key.caller.port = static_cast<uint16_t>(index);
  key.caller.address[12] = static_cast<uint8_t>(index >> 16U);
  key.caller.address[13] = static_cast<uint8_t>(index >> 24U);
  return key;
}

MeasureResult MemoryPerFlow(const MeasureOptions& options) {
  MeasureResult result;
  result.unit = "bytes";
  result.bound = 200;
  const auto flows = static_cast<double>(options.flows);
  size_t before = HeapBytes();
  {
    connection::FlowTable table(options.flows, [](const auto&) {});
    for (uint64_t i = 0; i < options.flows; ++i) {
      table.Insert(MakeFlowKey(i), connection::FlowState::kOpen, TimePoint());
    }
    result.value = static_cast<double>(HeapBytes() - before) / flows;
  }
  before = HeapBytes();
  {
    std::unordered_map<request::FlowKey, connection::Flow, request::FlowKeyHash>
        table;
    for (uint64_t i = 0; i < options.flows; ++i) {
      table[MakeFlowKey(i)].key = MakeFlowKey(i);
    }
    result.baselines["unordered_map of the same flows"] =
        static_cast<double>(HeapBytes() - before) / flows;
  }
  return result;
}

}  // namespace
}  // namespace kumquatvalve::bench

int main(int argc, char** argv) {
  return kumquatvalve::bench::RunMeasures(
      {{"planned-change", kumquatvalve::bench::PlannedChange},
       {"instance-loss", kumquatvalve::bench::InstanceLoss},
       {"upstream-loss", kumquatvalve::bench::UpstreamLoss},
       {"side-process-restart", kumquatvalve::bench::SideProcessRestart},
       {"wrong-service", kumquatvalve::bench::WrongService},
       {"at-most-once", kumquatvalve::bench::AtMostOnce},
       {"drain-stop", kumquatvalve::bench::DrainStop},
       {"silent-flows", kumquatvalve::bench::SilentFlows},
       {"memory-per-flow", kumquatvalve::bench::MemoryPerFlow}},
      argc, argv);
}
