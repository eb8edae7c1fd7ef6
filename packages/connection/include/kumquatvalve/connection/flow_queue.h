#ifndef KUMQUATVALVE_CONNECTION_FLOW_QUEUE_H_
#define KUMQUATVALVE_CONNECTION_FLOW_QUEUE_H_

#include <absl/container/flat_hash_set.h>

#include <deque>
#include <optional>

#include "kumquatvalve/request/flow_key.h"

namespace kumquatvalve::connection {

/// Queue of flows, each of which is in it at most once. Not thread-safe.
class FlowQueue {
 public:
  /// Adds a flow at the end.
  void Add(const request::FlowKey& flow) {
    if (members_.insert(flow).second) {
      order_.push_back(flow);
    }
  }

  /// Removes and returns the first flow; empty when there is none.
  std::optional<request::FlowKey> Take() {
    if (order_.empty()) {
      return std::nullopt;
    }
    const request::FlowKey flow = order_.front();
    order_.pop_front();
    members_.erase(flow);
    return flow;
  }

 private:
  std::deque<request::FlowKey> order_;
  absl::flat_hash_set<request::FlowKey, request::FlowKeyHash> members_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_FLOW_QUEUE_H_
