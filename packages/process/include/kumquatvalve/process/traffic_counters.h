#ifndef KUMQUATVALVE_PROCESS_TRAFFIC_COUNTERS_H_
#define KUMQUATVALVE_PROCESS_TRAFFIC_COUNTERS_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::process {

/// Events of a packet in a traffic thread. Drops are not among them: they are
/// counted by `request::ResultCode`.
enum class PacketEvent : uint8_t {
  /// Received from the fabric or from another process.
  kReceived,
  /// Sent to a sidecar, by an entry instance or by another sidecar.
  kForwarded,
  /// Sent to the upstream.
  kDelivered,
  /// Received from the upstream.
  kFromUpstream,
  /// Sent to the caller through the fabric.
  kAnswered,
  /// Not accepted by the kernel when it was sent.
  kSendFailed,
};
inline constexpr size_t kPacketEvents = 6;

/// Returns the label of an event in metrics, for example "forwarded".
std::string_view Name(PacketEvent event);

/// Packet counters of one traffic thread. Only that thread adds; any thread may
/// read.
class TrafficCounters {
 public:
  void Count(PacketEvent event, uint64_t n = 1) {
    Add(&events_[static_cast<size_t>(event)], n);
  }
  /// Counts a dropped packet; `code` is the reason.
  void Drop(request::ResultCode code) { Add(&drops_[Index(code)], 1); }

  /// Returns the count of an event since the start.
  uint64_t Value(PacketEvent event) const {
    return events_[static_cast<size_t>(event)].load(std::memory_order_relaxed);
  }

  /// Adds the nonzero drop counts to `sums`.
  void AddDrops(std::map<request::ResultCode, uint64_t>* sums) const;

 private:
  // Codes of packets and flows are 101 to 299; all others are counted under 0.
  static constexpr size_t kCodeLimit = 300;

  static size_t Index(request::ResultCode code) {
    const auto number = static_cast<size_t>(code);
    return number < kCodeLimit ? number : 0;
  }
  // With a single writer a load and a store suffice; they cost less than an
  // atomic addition.
  static void Add(std::atomic<uint64_t>* value, uint64_t n) {
    value->store(value->load(std::memory_order_relaxed) + n,
                 std::memory_order_relaxed);
  }

  std::array<std::atomic<uint64_t>, kPacketEvents> events_{};
  std::array<std::atomic<uint64_t>, kCodeLimit> drops_{};
};

/// Sums of the counters of a process's traffic threads.
struct TrafficSums {
  std::array<uint64_t, kPacketEvents> events{};
  std::map<request::ResultCode, uint64_t> drops;

  void Add(const TrafficCounters& counters);
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_TRAFFIC_COUNTERS_H_
