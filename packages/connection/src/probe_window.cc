#include "kumquatvalve/connection/probe_window.h"

#include <algorithm>

namespace kumquatvalve::connection {

size_t ProbeWindow::Available(TimePoint now) {
  Expire(now);
  return in_flight_.size() >= size_ ? 0 : size_ - in_flight_.size();
}

void ProbeWindow::OnSent(const request::FlowKey& flow,
                         const request::Endpoint& sidecar, TimePoint now) {
  in_flight_.insert_or_assign({flow, sidecar}, now);
  sent_.push_back({{flow, sidecar}, now});
}

void ProbeWindow::OnReply(const request::FlowKey& flow,
                          const request::Endpoint& sidecar) {
  if (in_flight_.erase({flow, sidecar}) == 0) {
    return;
  }
  if (++replies_ >= size_) {
    replies_ = 0;
    size_ = std::min(size_ + kMinSize, kMaxSize);
  }
}

void ProbeWindow::Expire(TimePoint now) {
  bool lost = false;
  while (!sent_.empty() && now - sent_.front().second >= kReplyTimeout) {
    const auto it = in_flight_.find(sent_.front().first);
    // A probe that was sent again has a later entry.
    if (it != in_flight_.end() && it->second == sent_.front().second) {
      in_flight_.erase(it);
      lost = true;
    }
    sent_.pop_front();
  }
  if (lost && now >= next_decrease_at_) {
    size_ = std::max(size_ / 2, kMinSize);
    replies_ = 0;
    next_decrease_at_ = now + kReplyTimeout;
  }
}

}  // namespace kumquatvalve::connection
