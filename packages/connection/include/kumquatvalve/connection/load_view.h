#ifndef KUMQUATVALVE_CONNECTION_LOAD_VIEW_H_
#define KUMQUATVALVE_CONNECTION_LOAD_VIEW_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "kumquatvalve/connection/admission_policy.h"
#include "kumquatvalve/connection/peer_message.h"
#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/version/forwarding_table.h"

namespace kumquatvalve::connection {

/// A sidecar's estimate of the load of its peers, and the schedule of the
/// reports of its own load. Every sidecar exchanges reports with the four
/// sidecars before and the four after it in the order of instance ids, so that
/// the relation is symmetric.
///
/// A report with `waiting` > 0 is a request for free slots. A peer with free
/// slots replies with its own report; both sides then count as many requests as
/// served as the reply has free slots. Other changes of load are reported only
/// while the budget is not needed for such requests and replies.
class LoadView {
 public:
  using Duration = TimePoint::duration;

  static constexpr size_t kMaxPeers = 8;

  /// Bytes of one report on the wire: about 16 in protobuf, 45 of the envelope
  /// (sender, incarnation), 45 of CURVE and ZMTP framing and 2 x 52 of TCP/IP
  /// headers for the segment and its acknowledgment, rounded up.
  static constexpr size_t kReportBytes = 220;

  struct Settings {
    /// Budget of load reports within the 23 KB/s of control traffic of a node.
    /// As much is received as is sent, which leaves 5 KB/s for heartbeats,
    /// pings and tables even when both directions count.
    double bytes_per_second = 9000;
    /// Capacity of the token bucket, in reports.
    double burst_reports = 16;
    /// Half-life of the weight of a report.
    Duration half_life = std::chrono::seconds(2);
    /// A flow passed on less than this before a report arrived is not yet
    /// counted in that report.
    Duration report_lag = std::chrono::milliseconds(4);
    /// Minimum interval between two reports to a peer that waits for no slot.
    Duration min_interval = std::chrono::milliseconds(40);
    /// Maximum interval between two reports to a peer.
    Duration max_interval = std::chrono::seconds(2);
    /// How long a report with waiting packets counts as a request for a free
    /// slot.
    Duration slot_request_ttl = std::chrono::seconds(1);
  };

  explicit LoadView(request::InstanceId self) : LoadView(self, Settings()) {}
  LoadView(request::InstanceId self, const Settings& settings);

  /// Sets the peers to exchange reports with; estimates of those that stay are
  /// kept.
  void OnTable(const version::ForwardingTable& table);
  /// Applies a peer's load report.
  void OnReport(request::InstanceId from, const LoadReport& report,
                TimePoint now);
  /// Discards what is known about the load of a peer that left or died.
  void OnPeerRemoved(request::InstanceId peer);
  /// Counts a first packet that was passed to a peer until a report of the peer
  /// includes it.
  void OnPassedOn(request::InstanceId peer, TimePoint now);

  /// Estimated number of free slots of a peer; 0 for an unknown peer.
  double FreeSlots(request::InstanceId peer, TimePoint now) const;

  /// The peer with the largest share of free slots; among equal shares a peer
  /// of the own zone is preferred.
  /// @param min_free estimated free slots that the peer must have.
  /// @param seed chooses among equal peers, so that sidecars with the same
  ///   estimates do not all choose the same one.
  /// @return nothing when no peer has enough free slots.
  std::optional<request::InstanceId> BestPeer(double min_free, uint64_t seed,
                                              TimePoint now) const;

  /// Busy slots divided by all slots, over the peers with a recent report;
  /// nothing without any. Exceeds 1 when upstreams are busy beyond their limit.
  std::optional<double> MeanUtilization(TimePoint now) const;

  /// The reports to send now, within the byte budget.
  std::vector<AddressedReport> MakeReports(const LoadReport& own,
                                           TimePoint now);

  request::InstanceId self() const { return self_; }
  size_t peers() const { return peers_.size(); }
  /// Bytes of reports sent since the start.
  uint64_t sent_bytes() const { return sent_bytes_; }

 private:
  struct Peer {
    request::InstanceId instance;
    bool same_zone = false;
    std::optional<LoadReport> report;
    TimePoint reported_at{};
    /// When the first packets were passed to it that its report does not
    /// include.
    std::deque<TimePoint> passed_at;
    std::optional<LoadReport> last_sent;
    TimePoint last_sent_at{};
  };

  Peer* Find(request::InstanceId instance);
  const Peer* Find(request::InstanceId instance) const;
  double EstimateFreeSlots(const Peer& peer, TimePoint now) const;
  bool IsDue(const Peer& peer, const LoadReport& own, bool most_waiting,
             TimePoint now) const;

  request::InstanceId self_;
  Settings settings_;
  std::vector<Peer> peers_;
  double tokens_;
  TimePoint refilled_at_{};
  uint64_t sent_bytes_ = 0;
  size_t first_recipient_ = 0;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_LOAD_VIEW_H_
