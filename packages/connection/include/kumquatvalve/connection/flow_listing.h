#ifndef KUMQUATVALVE_CONNECTION_FLOW_LISTING_H_
#define KUMQUATVALVE_CONNECTION_FLOW_LISTING_H_

#include <absl/container/flat_hash_set.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/hop_message.h"

namespace kumquatvalve::connection {

/// What each sidecar answered when it was asked for all its flows. One round of
/// questions serves any number of searches: after a loss of power, or when the
/// routers hand all flows to other entry instances, a question for each flow to
/// each sidecar would fill the link of a small instance.
class FlowListing {
 public:
  /// What a sidecar says of a flow.
  enum class Word {
    /// It has not answered.
    kSilent,
    /// It holds a flow with this fingerprint.
    kMayHold,
    kDenies,
    /// Its process is younger than its upstream.
    kUnsure,
  };

  /// Begins a round; answers to earlier ones are ignored.
  /// @param awaited sidecars whose answers complete the round.
  void Start(std::vector<request::Endpoint> awaited, TimePoint now);

  /// One of the parts of a sidecar's answer.
  void OnPart(const request::Endpoint& sidecar, const request::FlowList& list,
              std::span<const uint32_t> fingerprints);

  bool running() const { return running_; }
  uint32_t round() const { return round_; }
  TimePoint started() const { return started_; }

  /// Whether every awaited sidecar answered, or the round has lasted for
  /// `kLongestRound`.
  bool Finished(TimePoint now) const;

  void End() { running_ = false; }

  Word WordOf(const request::Endpoint& sidecar, uint32_t fingerprint) const;

  static constexpr std::chrono::milliseconds kLongestRound{100};

 private:
  struct Answer {
    uint16_t parts = 0;
    bool inconclusive = false;
    std::vector<bool> seen;
    absl::flat_hash_set<uint32_t> fingerprints;

    bool Complete() const { return parts != 0 && parts == Seen(); }
    size_t Seen() const;
  };

  bool running_ = false;
  uint32_t round_ = 0;
  TimePoint started_;
  std::vector<request::Endpoint> awaited_;
  std::map<request::Endpoint, Answer> answers_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_FLOW_LISTING_H_
