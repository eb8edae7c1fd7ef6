#include "kumquatvalve/connection/upstream_view.h"

#include <algorithm>

#include "kumquatvalve/connection/hello_schedule.h"

namespace kumquatvalve::connection {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// A sidecar sends a report at most 100 ms after a packet reached it; the rest
// covers the round trip and scheduling delays of a busy processor.
constexpr milliseconds kUnresponsiveTimeout{250};

// An upstream that does not react is sent a hello every second, so either three
// of them were lost or the machine is dead.
constexpr milliseconds kDeadTimeout{3000};

// A sidecar that never replied to this process is more likely dead, since
// records outlive dead machines. A sidecar that restarts is back within a
// second.
constexpr milliseconds kNeverReceivedDeadTimeout{1500};

// A sidecar whose record is missing in the store writes it again within two
// seconds; otherwise the upstream is assumed to have left.
constexpr milliseconds kRelistTimeout{2000};

// Longer than a watch of the records takes to return a new one.
constexpr milliseconds kRecordArrivalTimeout{12000};

// An upstream that rejected a flow is retried after about the time of one
// request.
constexpr milliseconds kRejectedBackoff{30};

// An upstream that does not respond to first packets is avoided until its
// sidecar has retried it.
constexpr milliseconds kUnresponsiveBackoff{250};

// An upstream that drains, or a sidecar that now belongs to another service, is
// avoided until the new record has arrived from the store.
constexpr milliseconds kRecordUpdateBackoff{3000};

}  // namespace

UpstreamView::UpstreamView(const version::UpstreamRecord& record, TimePoint now)
    : record_(record),
      tag_(request::ServiceTagOf(record.service.text())),
      last_report_at_(now) {}

bool UpstreamView::IsSameIncarnation(
    const version::UpstreamRecord& record) const {
  return version::IsSameStart(record_, record);
}

void UpstreamView::OnRecord(const version::UpstreamRecord& record,
                            bool same_zone) {
  if (record.missing_in_store && !record_.missing_in_store) {
    hello_sent_at_ = TimePoint();
  }
  record_ = record;
  same_zone_ = same_zone;
  unlisted_since_.reset();
}

void UpstreamView::OnUnlisted(TimePoint now) {
  if (!unlisted_since_) {
    unlisted_since_ = now;
    hello_sent_at_ = TimePoint();
  }
}

bool UpstreamView::LacksRecord(TimePoint now) const {
  return !listed() || record_.missing_in_store ||
         (of_other_service_since_ &&
          now - *of_other_service_since_ > kRecordArrivalTimeout);
}

bool UpstreamView::ShouldKeepWithoutRecord(TimePoint now) const {
  return last_received_at_ && !IsPresumedDead(now) && !record_.draining &&
         !load_.draining;
}

void UpstreamView::OnLoadReport(const request::HopMessage& message,
                                TimePoint now) {
  if (message.service != tag_) {
    avoid_until_ = now + kRecordUpdateBackoff;
    of_other_service_since_ = of_other_service_since_.value_or(now);
    return;
  }
  of_other_service_since_.reset();
  load_ = message.load;
  placed_since_report_ = 0;
  last_report_at_ = now;
}

void UpstreamView::OnMessageReceived(TimePoint now) {
  last_received_at_ = now;
  unanswered_since_.reset();
}

void UpstreamView::OnMessageSent(TimePoint now) {
  if (!unanswered_since_) {
    unanswered_since_ = now;
  }
}

void UpstreamView::OnFlowPlaced() { ++placed_since_report_; }

void UpstreamView::OnFlowReturned(request::ReturnReason reason, TimePoint now) {
  switch (reason) {
    case request::ReturnReason::kDraining:
      load_.draining = true;
      avoid_until_ = now + kRecordUpdateBackoff;
      break;
    case request::ReturnReason::kWrongService:
      avoid_until_ = now + kRecordUpdateBackoff;
      break;
    case request::ReturnReason::kUnresponsive:
      avoid_until_ = now + kUnresponsiveBackoff;
      break;
    case request::ReturnReason::kQueueFull:
      // The load report sent with it contains the length of the queue.
      break;
    case request::ReturnReason::kRejected:
    case request::ReturnReason::kNone:
      avoid_until_ = std::max(avoid_until_, now + kRejectedBackoff);
      break;
  }
}

void UpstreamView::OnHelloSent(TimePoint now) {
  hello_sent_at_ = now;
  OnMessageSent(now);
}

bool UpstreamView::IsUnresponsive(TimePoint now) const {
  return unanswered_since_ && now - *unanswered_since_ > kUnresponsiveTimeout;
}

bool UpstreamView::IsPresumedDead(TimePoint now) const {
  const milliseconds timeout =
      last_received_at_ ? kDeadTimeout : kNeverReceivedDeadTimeout;
  return unanswered_since_ && now - *unanswered_since_ > timeout;
}

milliseconds UpstreamView::UnresponsiveTime(TimePoint now) const {
  return unanswered_since_
             ? duration_cast<milliseconds>(now - *unanswered_since_)
             : milliseconds(0);
}

bool UpstreamView::AcceptsNewFlows(TimePoint now, bool last_resort) const {
  if (record_.draining || load_.draining) {
    return false;
  }
  if (unlisted_since_ && now - *unlisted_since_ > kRelistTimeout) {
    return false;
  }
  if (last_resort) {
    return true;
  }
  return last_received_at_ && now >= avoid_until_ && !load_.unresponsive &&
         !IsUnresponsive(now);
}

bool UpstreamView::IsHelloDue(TimePoint now,
                              std::chrono::milliseconds interval) const {
  // A sidecar without a record is notified every second, even while it sends
  // messages.
  const bool notify = LacksRecord(now);
  const TimePoint received =
      notify ? TimePoint() : last_received_at_.value_or(TimePoint());
  const TimePoint last = std::max(hello_sent_at_, received);
  return hello_sent_at_ == TimePoint() ||
         now - last >= (notify ? HelloSchedule::kMinInterval : interval);
}

PlacementCandidate UpstreamView::Candidate() const {
  PlacementCandidate candidate;
  candidate.slots =
      std::max<double>(1, load_.slots != 0 ? load_.slots : record_.slots);
  candidate.in_progress = static_cast<double>(load_.in_progress) +
                          load_.opening + placed_since_report_;
  candidate.open_flows = load_.open_flows + placed_since_report_;
  candidate.service_time = microseconds(load_.service_time_us);
  candidate.same_zone = same_zone_;
  return candidate;
}

milliseconds UpstreamView::ReportAge(TimePoint now) const {
  return duration_cast<milliseconds>(now - last_report_at_);
}

}  // namespace kumquatvalve::connection
