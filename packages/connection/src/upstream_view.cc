#include "kumquatvalve/connection/upstream_view.h"

#include <algorithm>

namespace kumquatvalve::connection {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// A sidecar reports at most 100 ms after a packet reached it; the rest is for
// the way there and back and for a busy processor.
constexpr milliseconds kSilence{250};

// Greetings are sent every second, so three of them were lost or the machine is
// gone.
constexpr milliseconds kGoneAfter{3000};

// A sidecar that never answered this process is likelier gone: records outlive
// machines that are lost. One that is restarting is back within a second.
constexpr milliseconds kNeverHeardGoneAfter{1500};

// A sidecar whose record vanished from the store writes it again within two
// seconds; otherwise it is taken to have left.
constexpr milliseconds kRelistTime{2000};

// An upstream whose queue was full is tried again after about one request.
constexpr milliseconds kFullPause{30};

// An upstream that does not answer first packets is left alone until its
// sidecar has tried it again.
constexpr milliseconds kUnresponsivePause{250};

// An upstream that leaves, or a sidecar that serves another service now, is
// left alone until the store has told about it.
constexpr milliseconds kGonePause{3000};

}  // namespace

UpstreamView::UpstreamView(const version::UpstreamRecord& record, TimePoint now)
    : record_(record),
      tag_(request::ServiceTagOf(record.service.text())),
      reported_at_(now) {}

bool UpstreamView::Same(const version::UpstreamRecord& record) const {
  return record_.sidecar == record.sidecar &&
         record_.service == record.service &&
         record_.incarnation_ms == record.incarnation_ms;
}

void UpstreamView::OnRecord(const version::UpstreamRecord& record,
                            bool same_zone) {
  record_ = record;
  same_zone_ = same_zone;
  unlisted_since_.reset();
}

void UpstreamView::OnUnlisted(TimePoint now) {
  if (!unlisted_since_) {
    unlisted_since_ = now;
    greeted_at_ = TimePoint();
  }
}

bool UpstreamView::OutlivesRecord(TimePoint now) const {
  return heard_at_ && !Gone(now) && !record_.draining && !load_.draining;
}

void UpstreamView::OnLoad(const request::HopMessage& message, TimePoint now) {
  if (message.service != tag_) {
    avoid_until_ = now + kGonePause;
    return;
  }
  load_ = message.load;
  placed_since_report_ = 0;
  reported_at_ = now;
}

void UpstreamView::OnHeard(TimePoint now) {
  heard_at_ = now;
  unanswered_since_.reset();
}

void UpstreamView::OnSent(TimePoint now) {
  if (!unanswered_since_) {
    unanswered_since_ = now;
  }
}

void UpstreamView::OnPlaced() { ++placed_since_report_; }

void UpstreamView::OnReturned(request::ReturnReason reason, TimePoint now) {
  switch (reason) {
    case request::ReturnReason::kDraining:
      load_.draining = true;
      avoid_until_ = now + kGonePause;
      break;
    case request::ReturnReason::kWrongService:
      avoid_until_ = now + kGonePause;
      break;
    case request::ReturnReason::kUnresponsive:
      avoid_until_ = now + kUnresponsivePause;
      break;
    case request::ReturnReason::kQueueFull:
      // The report that came with it tells how long the queue is.
      break;
    case request::ReturnReason::kRejected:
    case request::ReturnReason::kNone:
      avoid_until_ = std::max(avoid_until_, now + kFullPause);
      break;
  }
}

void UpstreamView::OnGreeted(TimePoint now) {
  greeted_at_ = now;
  OnSent(now);
}

bool UpstreamView::Silent(TimePoint now) const {
  return unanswered_since_ && now - *unanswered_since_ > kSilence;
}

bool UpstreamView::Gone(TimePoint now) const {
  const milliseconds time = heard_at_ ? kGoneAfter : kNeverHeardGoneAfter;
  return unanswered_since_ && now - *unanswered_since_ > time;
}

milliseconds UpstreamView::SilentTime(TimePoint now) const {
  return unanswered_since_
             ? duration_cast<milliseconds>(now - *unanswered_since_)
             : milliseconds(0);
}

bool UpstreamView::AcceptsNewFlows(TimePoint now, bool last_resort) const {
  if (record_.draining || load_.draining) {
    return false;
  }
  if (unlisted_since_ && now - *unlisted_since_ > kRelistTime) {
    return false;
  }
  if (last_resort) {
    return true;
  }
  return heard_at_ && now >= avoid_until_ && !load_.unresponsive &&
         !Silent(now);
}

bool UpstreamView::GreetingDue(TimePoint now,
                               std::chrono::milliseconds period) const {
  // A sidecar without a record is told so, whatever it sends.
  const TimePoint heard =
      listed() ? heard_at_.value_or(TimePoint()) : TimePoint();
  const TimePoint last = std::max(greeted_at_, heard);
  return greeted_at_ == TimePoint() || now - last >= period;
}

PlacementCandidate UpstreamView::Candidate() const {
  PlacementCandidate candidate;
  candidate.slots =
      std::max<double>(1, load_.slots != 0 ? load_.slots : record_.slots);
  candidate.in_progress = static_cast<double>(load_.in_progress) +
                          load_.opening + placed_since_report_;
  candidate.open_flows = load_.open_flows + placed_since_report_;
  candidate.service_time = load_.service_time_us != 0
                               ? microseconds(load_.service_time_us)
                               : kUnknownServiceTime;
  candidate.same_zone = same_zone_;
  return candidate;
}

milliseconds UpstreamView::ReportAge(TimePoint now) const {
  return duration_cast<milliseconds>(now - reported_at_);
}

}  // namespace kumquatvalve::connection
