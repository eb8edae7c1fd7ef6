#ifndef KUMQUATVALVE_CONNECTION_FAIR_QUEUE_H_
#define KUMQUATVALVE_CONNECTION_FAIR_QUEUE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <utility>

#include "kumquatvalve/request/flow_key.h"
#include "kumquatvalve/request/ids.h"

namespace kumquatvalve::connection {

/// A bounded packet queue that gives every service, and every flow within a
/// service, an equal share of bytes, by deficit round robin on both levels
/// (Shreedhar and Varghese, 1996). A bulk transfer delays another flow's packet
/// by at most one quantum for each active service and flow.
/// @tparam Item movable type of the queued packets.
template <typename Item>
class FairQueue {
 public:
  struct Settings {
    /// Bytes that a service or flow may send per round; must be at least the
    /// size of the largest packet.
    size_t quantum = 1600;
    /// Maximum bytes queued in all and for one flow.
    size_t max_bytes = size_t{1} << 20;
    size_t max_flow_bytes = size_t{64} << 10;
  };

  FairQueue() : FairQueue(Settings()) {}
  explicit FairQueue(const Settings& settings) : settings_(settings) {}

  /// Adds a packet of `bytes` bytes. When the queue is full, the last packets
  /// of the longest flow of the longest service are dropped to make room,
  /// unless the new packet's own service or flow would then be the longest.
  /// @return false when the packet was dropped instead.
  bool Push(request::ServiceId service, const request::FlowKey& flow,
            size_t bytes, Item item) {
    const auto existing = services_.find(service);
    const size_t service_bytes =
        existing == services_.end() ? 0 : existing->second.bytes;
    size_t flow_bytes = 0;
    if (existing != services_.end()) {
      const auto it = existing->second.flows.find(flow);
      flow_bytes = it == existing->second.flows.end() ? 0 : it->second.bytes;
    }
    if (bytes > settings_.max_bytes ||
        flow_bytes + bytes > settings_.max_flow_bytes) {
      ++dropped_;
      return false;
    }
    while (bytes_ + bytes > settings_.max_bytes) {
      if (!DropFromLongest(service_bytes + bytes, service,
                           flow_bytes + bytes)) {
        ++dropped_;
        return false;
      }
    }
    Service& in = services_[service];
    if (in.flows.empty()) {
      in.deficit = 0;
      service_round_.push_back(service);
    }
    Flow& own_flow = in.flows[flow];
    if (own_flow.packets.empty()) {
      own_flow.deficit = 0;
      in.flow_round.push_back(flow);
    }
    own_flow.packets.push_back({bytes, std::move(item)});
    own_flow.bytes += bytes;
    in.bytes += bytes;
    bytes_ += bytes;
    ++size_;
    return true;
  }

  /// Removes and returns the next packet; nothing when the queue is empty.
  std::optional<Item> Pop() {
    while (!service_round_.empty()) {
      const request::ServiceId id = service_round_.front();
      Service& service = services_[id];
      // The service's next packet is that of the flow whose turn it is.
      Flow& flow = SelectFlow(&service);
      const size_t bytes = flow.packets.front().bytes;
      if (service.deficit < bytes) {
        service.deficit += settings_.quantum;
        service_round_.splice(service_round_.end(), service_round_,
                              service_round_.begin());
        continue;
      }
      service.deficit -= bytes;
      flow.deficit -= bytes;
      Item item = std::move(flow.packets.front().item);
      flow.packets.pop_front();
      Subtract(&service, &flow, bytes);
      if (flow.packets.empty()) {
        service.flows.erase(service.flow_round.front());
        service.flow_round.pop_front();
      }
      if (service.flows.empty()) {
        services_.erase(id);
        service_round_.pop_front();
      }
      return item;
    }
    return std::nullopt;
  }

  size_t size() const { return size_; }
  size_t bytes() const { return bytes_; }
  /// Packets that were not queued, or were dropped to make room for others.
  uint64_t dropped() const { return dropped_; }

 private:
  struct Packet {
    size_t bytes;
    Item item;
  };
  struct Flow {
    std::deque<Packet> packets;
    size_t bytes = 0;
    size_t deficit = 0;
  };
  struct Service {
    std::unordered_map<request::FlowKey, Flow, request::FlowKeyHash> flows;
    std::list<request::FlowKey> flow_round;
    size_t bytes = 0;
    size_t deficit = 0;
  };

  /// The first flow in turn whose deficit covers its next packet; adds a
  /// quantum to each flow that is skipped.
  Flow& SelectFlow(Service* service) {
    while (true) {
      Flow& flow = service->flows[service->flow_round.front()];
      if (flow.deficit >= flow.packets.front().bytes) {
        return flow;
      }
      flow.deficit += settings_.quantum;
      service->flow_round.splice(service->flow_round.end(), service->flow_round,
                                 service->flow_round.begin());
    }
  }

  void Subtract(Service* service, Flow* flow, size_t bytes) {
    flow->bytes -= bytes;
    service->bytes -= bytes;
    bytes_ -= bytes;
    --size_;
  }

  /// Drops the last packet of the longest flow of the longest service. Does
  /// nothing and returns false if the new packet's service, or its flow when
  /// the longest service is its own, would be longer with the new packet.
  bool DropFromLongest(size_t service_bytes, request::ServiceId own,
                       size_t flow_bytes) {
    const auto longest = std::max_element(
        services_.begin(), services_.end(), [](const auto& a, const auto& b) {
          return a.second.bytes < b.second.bytes;
        });
    Service& service = longest->second;
    const auto it = std::max_element(service.flows.begin(), service.flows.end(),
                                     [](const auto& a, const auto& b) {
                                       return a.second.bytes < b.second.bytes;
                                     });
    if (longest->first == own ? it->second.bytes < flow_bytes
                              : service.bytes < service_bytes) {
      return false;
    }
    Flow& flow = it->second;
    const size_t bytes = flow.packets.back().bytes;
    flow.packets.pop_back();
    Subtract(&service, &flow, bytes);
    ++dropped_;
    if (flow.packets.empty()) {
      service.flow_round.remove(it->first);
      service.flows.erase(it);
    }
    if (service.flows.empty()) {
      service_round_.remove(longest->first);
      services_.erase(longest);
    }
    return true;
  }

  Settings settings_;
  std::unordered_map<request::ServiceId, Service> services_;
  std::list<request::ServiceId> service_round_;
  size_t bytes_ = 0;
  size_t size_ = 0;
  uint64_t dropped_ = 0;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_FAIR_QUEUE_H_
