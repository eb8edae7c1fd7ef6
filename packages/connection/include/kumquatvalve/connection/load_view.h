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

/// What a sidecar believes of the load of its peers, and which of them it tells
/// its own load. Every sidecar exchanges reports with the four sidecars before
/// and the four behind it in the order of their instance ids, so that the
/// relation is symmetric.
///
/// A report with `waiting` > 0 is a call for free slots. A peer with free slots
/// answers it with its own report; both sides then count as many calls as
/// answered as the answer names free slots. Other changes of load are told only
/// while the budget is not needed for calls and answers.
class LoadView {
 public:
  using Duration = TimePoint::duration;

  static constexpr size_t kMaxPeers = 8;

  /// Bytes of one report on the wire: about 16 in protobuf, 45 of the envelope
  /// (sender, incarnation), 45 of CURVE and ZMTP framing and 2 x 52 of TCP/IP
  /// headers for the segment and its acknowledgment, rounded up.
  static constexpr size_t kReportBytes = 220;

  struct Settings {
    /// Share of load reports in the 23 KB/s of control traffic of a node. As
    /// much is received as is sent, which leaves 5 KB/s for heartbeats, pings
    /// and tables even when both directions count.
    double bytes_per_second = 9000;
    /// Reports that can be sent at once after a quiet time.
    double burst_reports = 16;
    /// A belief loses half of its weight in this time.
    Duration half_life = std::chrono::seconds(2);
    /// A report does not yet count flows passed this short time before it came.
    Duration settle = std::chrono::milliseconds(4);
    /// Shortest time between two reports to a peer that waits for nothing.
    Duration min_interval = std::chrono::milliseconds(40);
    /// Longest time between two reports to a peer.
    Duration max_interval = std::chrono::seconds(2);
    /// How long a report that names waiting packets calls for a free slot.
    Duration call_lifetime = std::chrono::seconds(1);
  };

  explicit LoadView(request::InstanceId self) : LoadView(self, Settings()) {}
  LoadView(request::InstanceId self, const Settings& settings);

  void OnTable(const version::ForwardingTable& table);
  void OnReport(request::InstanceId from, const LoadReport& report,
                TimePoint now);
  void OnPeerRemoved(request::InstanceId peer);
  /// A first packet was passed to a peer.
  void OnPassed(request::InstanceId peer, TimePoint now);

  /// Slots of a peer that are believed to be free; 0 for an unknown peer.
  double FreeSlots(request::InstanceId peer, TimePoint now) const;

  /// The peer with the largest share of free slots; a peer of the own zone goes
  /// first among equal shares.
  /// @param at_least slots that must be free.
  /// @param seed chooses among equal peers, so that sidecars with the same view
  ///   do not all choose the same one.
  std::optional<request::InstanceId> BestPeer(double at_least, uint64_t seed,
                                              TimePoint now) const;

  /// Mean share of slots in use over the peers that reported, and their number.
  std::optional<double> MeanUse(TimePoint now) const;

  /// The reports to send now, inside the byte budget.
  std::vector<AddressedReport> MakeReports(const LoadReport& own,
                                           TimePoint now);

  request::InstanceId self() const { return self_; }
  size_t peers() const { return peers_.size(); }
  /// Bytes sent so far.
  uint64_t sent_bytes() const { return sent_bytes_; }

 private:
  struct Peer {
    request::InstanceId instance;
    bool near = false;
    std::optional<LoadReport> report;
    TimePoint reported_at{};
    /// When first packets were passed to it that its report does not count.
    std::deque<TimePoint> passed;
    std::optional<LoadReport> told;
    TimePoint told_at{};
  };

  Peer* Find(request::InstanceId instance);
  const Peer* Find(request::InstanceId instance) const;
  double FreeSlotsOf(const Peer& peer, TimePoint now) const;
  bool IsDue(const Peer& peer, const LoadReport& own, bool most_waiting,
             TimePoint now) const;

  request::InstanceId self_;
  Settings settings_;
  std::vector<Peer> peers_;
  double tokens_;
  TimePoint refilled_at_{};
  uint64_t sent_bytes_ = 0;
  size_t first_told_ = 0;
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_LOAD_VIEW_H_
