#ifndef KUMQUATVALVE_CONNECTION_UPSTREAM_VIEW_H_
#define KUMQUATVALVE_CONNECTION_UPSTREAM_VIEW_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/connection/placement.h"
#include "kumquatvalve/request/hop_message.h"
#include "kumquatvalve/version/route_map.h"

namespace kumquatvalve::connection {

/// What an entry instance knows of one upstream: its record in the store, the
/// last load report of its sidecar, and what was sent there since.
class UpstreamView {
 public:
  UpstreamView(const version::UpstreamRecord& record, TimePoint now);

  /// True when `record` is about the same start of the same upstream.
  bool Same(const version::UpstreamRecord& record) const;

  void OnRecord(const version::UpstreamRecord& record, bool same_zone);
  /// The store has no record of it any more.
  void OnUnlisted(TimePoint now);
  void OnLoad(const request::HopMessage& message, TimePoint now);
  /// The sidecar sent any message.
  void OnHeard(TimePoint now);
  /// A message that the sidecar answers with a report was sent.
  void OnSent(TimePoint now);
  /// A new flow was sent there.
  void OnPlaced();
  void OnReturned(request::ReturnReason reason, TimePoint now);
  void OnGreeted(TimePoint now);

  /// Whether a new flow may be placed here: the sidecar was heard, is not
  /// silent and did not return flows lately.
  /// @param last_resort no other upstream may take it: only a drain is a reason
  ///   against it then, since the reports may be lost.
  bool AcceptsNewFlows(TimePoint now, bool last_resort) const;

  bool listed() const { return !unlisted_since_; }

  /// Whether an upstream without a record is still to be known: its sidecar
  /// lives and has not said that the upstream leaves.
  bool OutlivesRecord(TimePoint now) const;

  /// Whether the sidecar has been silent for so long that its machine is taken
  /// to be gone or cut off.
  bool Gone(TimePoint now) const;

  /// How long the sidecar has not reacted to messages; 0 while it does.
  std::chrono::milliseconds SilentTime(TimePoint now) const;

  bool GreetingDue(TimePoint now, std::chrono::milliseconds period) const;

  PlacementCandidate Candidate() const;

  std::chrono::milliseconds ReportAge(TimePoint now) const;

  const request::Endpoint& sidecar() const { return record_.sidecar; }
  request::ServiceTag tag() const { return tag_; }
  const version::UpstreamRecord& record() const { return record_; }
  const request::UpstreamLoad& load() const { return load_; }

 private:
  bool Silent(TimePoint now) const;

  version::UpstreamRecord record_;
  request::ServiceTag tag_;
  bool same_zone_ = false;
  request::UpstreamLoad load_;
  /// Flows placed here since the last report.
  uint32_t placed_since_report_ = 0;
  TimePoint reported_at_;
  /// Nothing before the first message of the sidecar.
  std::optional<TimePoint> heard_at_;
  TimePoint greeted_at_;
  /// First message that the sidecar has not reacted to.
  std::optional<TimePoint> unanswered_since_;
  std::optional<TimePoint> unlisted_since_;
  /// No new flows before this time.
  TimePoint avoid_until_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_UPSTREAM_VIEW_H_
