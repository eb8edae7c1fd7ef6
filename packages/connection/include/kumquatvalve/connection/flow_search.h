#ifndef KUMQUATVALVE_CONNECTION_FLOW_SEARCH_H_
#define KUMQUATVALVE_CONNECTION_FLOW_SEARCH_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/request/endpoint.h"

namespace kumquatvalve::connection {

/// The search for the holder of one flow among the sidecars of its service. Its
/// packets are kept meanwhile.
class FlowSearch {
 public:
  enum class Step {
    /// Answers are awaited.
    kWait,
    /// No sidecar knows the flow, but some are younger than their upstreams,
    /// which have to be asked: `TakeUnsure`.
    kProbe,
    /// No sidecar holds the flow: each one denied it or is gone, and at most
    /// half of them are gone.
    kDenied,
  };

  /// Whether a sidecar is taken to be gone, so that its answer is not awaited.
  using IsGone = std::function<bool(const request::Endpoint& sidecar)>;

  explicit FlowSearch(TimePoint since) : since_(since), asked_at_(since) {}

  /// Keeps a copy of a packet of the flow, unless `most` are kept already.
  void Keep(std::span<const std::byte> packet, size_t most);

  /// The sidecar is asked at `now`, perhaps again since a datagram was lost.
  void Ask(const request::Endpoint& sidecar, TimePoint now);

  void OnDenied(const request::Endpoint& sidecar);
  void OnUnsure(const request::Endpoint& sidecar);

  /// What to do next. Sidecars that have been silent since they were asked do
  /// not hold up probes.
  Step Next(TimePoint now, const IsGone& gone) const;

  /// The sidecars whose upstreams have to be asked; they are awaited from now
  /// on.
  std::vector<request::Endpoint> TakeUnsure();

  bool Asked(const request::Endpoint& sidecar) const {
    return states_.contains(sidecar);
  }
  bool Denied(const request::Endpoint& sidecar) const;
  /// Whether the sidecar was asked and has not answered.
  bool Silent(const request::Endpoint& sidecar) const;
  std::optional<request::Endpoint> FirstSilent() const;
  bool probed() const { return probed_; }
  TimePoint since() const { return since_; }
  /// The last time that a sidecar was asked.
  TimePoint asked_at() const { return asked_at_; }
  const std::vector<std::vector<std::byte>>& packets() const {
    return packets_;
  }

  /// Sidecars answer within this time unless they are gone or the datagram was
  /// lost. A caller sends again after 200 ms.
  static constexpr std::chrono::milliseconds kAnswerTime{150};

 private:
  enum class State { kAsked, kUnsure, kProbed, kDenied };

  TimePoint since_;
  TimePoint asked_at_;
  bool probed_ = false;
  std::map<request::Endpoint, State> states_;
  std::vector<std::vector<std::byte>> packets_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_FLOW_SEARCH_H_
