#ifndef KUMQUATVALVE_CONNECTION_UPSTREAM_VIEW_H_
#define KUMQUATVALVE_CONNECTION_UPSTREAM_VIEW_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/connection/placement.h"
#include "kumquatvalve/connection/service_limit_notice.h"
#include "kumquatvalve/request/hop_message.h"
#include "kumquatvalve/version/route_map.h"

namespace kumquatvalve::connection {

/// What an entry instance knows about one upstream: its record in the store,
/// the last load report of its sidecar, and the flows and messages sent there
/// since.
class UpstreamView {
 public:
  UpstreamView(const version::UpstreamRecord& record, TimePoint now);

  /// Whether `record` describes the same incarnation of the same upstream.
  bool IsSameIncarnation(const version::UpstreamRecord& record) const;

  /// Applies the record that the store has of this incarnation.
  /// @param same_zone whether the upstream is in the entry instance's zone.
  void OnRecord(const version::UpstreamRecord& record, bool same_zone);
  /// The store no longer has a record of the upstream.
  void OnUnlisted(TimePoint now);
  void OnLoadReport(const request::HopMessage& message, TimePoint now);
  /// A message of any kind arrived from the sidecar.
  void OnMessageReceived(TimePoint now);
  /// A message that the sidecar answers with a load report was sent.
  void OnMessageSent(TimePoint now);
  /// The first packet of a new flow was sent to the sidecar.
  void OnFlowPlaced();
  /// The sidecar returned a first packet. Depending on the reason, no new flows
  /// are placed here for a while.
  void OnFlowReturned(request::ReturnReason reason, TimePoint now);
  /// A hello message or a notice about the missing record was sent.
  void OnHelloSent(TimePoint now);

  /// Whether new flows may be placed here: the upstream is neither draining nor
  /// unresponsive, and its sidecar has sent a message, responds and has not
  /// returned a flow recently.
  /// @param last_resort no other upstream accepts the flow. Only a drain or a
  ///   record that has been missing for too long excludes the upstream then,
  ///   since its reports may be lost.
  bool AcceptsNewFlows(TimePoint now, bool last_resort) const;

  /// Whether the upstream may get another first packet by its last report,
  /// after the flows placed since. True when it is not warming up.
  bool HasWarmUpAllowance() const {
    return !load_.warm_up_allowance ||
           placed_since_report_ < *load_.warm_up_allowance;
  }

  /// Whether the warm-up rate of the service has to be sent to the sidecar now;
  /// see `ServiceLimitNotice`.
  bool TakeServiceLimit(uint16_t per_second_tenths, TimePoint now) {
    return limit_notice_.Take(per_second_tenths,
                              load_.warm_up_allowance.has_value(), now);
  }

  bool listed() const { return !unlisted_since_; }
  /// Whether the store lacks the sidecar's record, so that the sidecar has to
  /// be notified: there is none, or the sidecar has been of another service
  /// than it says for longer than a new record takes to arrive.
  bool LacksRecord(TimePoint now) const;
  /// Whether the upstream is in the entry instance's zone.
  bool same_zone() const { return same_zone_; }

  /// Whether the upstream has to be kept when the store has no record of it:
  /// its sidecar is alive, and neither its record nor a report announced a
  /// drain.
  bool ShouldKeepWithoutRecord(TimePoint now) const;

  /// Whether the sidecar has been unresponsive for so long that its machine is
  /// presumed dead or cut off.
  bool IsPresumedDead(TimePoint now) const;

  /// Time since the first message that the sidecar has not reacted to; 0 while
  /// there is none.
  std::chrono::milliseconds UnresponsiveTime(TimePoint now) const;

  /// Whether a hello message has to be sent: none was sent yet, or no hello was
  /// sent and no message received for `interval`.
  bool IsHelloDue(TimePoint now, std::chrono::milliseconds interval) const;

  /// The load for `ChooseUpstream`: the last report plus the flows placed
  /// since. Before the first report, slots come from the record.
  PlacementCandidate Candidate() const;

  /// Time since the last load report, or since the upstream became known.
  std::chrono::milliseconds ReportAge(TimePoint now) const;

  const request::Endpoint& sidecar() const { return record_.sidecar; }
  request::ServiceTag tag() const { return tag_; }
  const version::UpstreamRecord& record() const { return record_; }
  const request::UpstreamLoad& load() const { return load_; }

 private:
  bool IsUnresponsive(TimePoint now) const;

  version::UpstreamRecord record_;
  request::ServiceTag tag_;
  bool same_zone_ = false;
  request::UpstreamLoad load_;
  ServiceLimitNotice limit_notice_;
  uint32_t placed_since_report_ = 0;
  TimePoint last_report_at_;
  /// Empty before the first message of the sidecar.
  std::optional<TimePoint> last_received_at_;
  TimePoint hello_sent_at_;
  /// Send time of the first message that the sidecar has not reacted to.
  std::optional<TimePoint> unanswered_since_;
  std::optional<TimePoint> unlisted_since_;
  /// The sidecar has sent load reports of another service since then.
  std::optional<TimePoint> of_other_service_since_;
  /// No new flows are placed here before this time, except as a last resort.
  TimePoint avoid_until_;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_UPSTREAM_VIEW_H_
