#include "kumquatvalve/connection/load_policy.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace kumquatvalve::connection {
namespace {

/// Estimated free slots of a peer that justify a second hop. One reported free
/// slot stays above this for half of a half-life after the report.
constexpr double kMinFreeSlotsToPass = 0.7;

/// The same for the last time that a packet may be passed on, since after it
/// only that peer's own slots can take the packet. One reported free slot stays
/// above this for 58 ms after the report.
constexpr double kMinFreeSlotsForLastPass = 0.98;

/// Held first packets per slot from which the service counts as saturated
/// rather than briefly full. Admitting flows ahead with fewer would bind a flow
/// to an upstream whose slots may all be in long requests while another gets
/// free.
constexpr size_t kSaturatedHeldPerSlot = 2;

}  // namespace

LoadPolicy::LoadPolicy(request::ServiceId service, request::InstanceId self,
                       uint32_t slots, const Settings& settings)
    : service_(service),
      settings_(settings),
      tracker_(settings.tracker),
      limit_(slots, settings.limit),
      retry_(settings.retry),
      view_(self, settings.view) {}

// Admits the flow while there is a free slot for it, else holds it, passes it
// to the peer with the largest share of free slots, or refuses it.
Admission LoadPolicy::FirstPacket(const AdmissionRequest& request,
                                  TimePoint now) {
  tracker_.Expire(now);
  if (tracker_.HasSlot(request.flow)) {
    return {.kind = Admission::Kind::kAccept};
  }
  const size_t position = HeldPosition(request.flow);
  const bool is_new = position == held_.size();
  if (!draining_ && tracker_.used() + position < limit_.limit()) {
    return Accept(position, request, now);
  }
  if (is_new && !draining_ && retry_.IsRetry(request.flow.caller, now) &&
      !retry_.TrySpend(now)) {
    return Refuse(position, request, &counters_.refused_retry, now);
  }

  const Duration waited = now - request.arrived;
  // Packets further back in the queue would wait longer for a slot here, so
  // they are passed earlier. A packet that was passed on before is not held
  // first, since passing it again adds no further second hop.
  Duration hold{0};
  if (request.passed == 0 && !draining_) {
    hold = std::min(settings_.max_hold,
                    std::chrono::duration_cast<Duration>(
                        CompletionInterval() * settings_.hold_share)) /
           static_cast<int64_t>(position + 1);
  }
  std::optional<request::InstanceId> peer;
  if (request.passed < settings_.max_passes) {
    const bool last = request.passed + 1 == settings_.max_passes;
    peer = view_.BestPeer(last ? kMinFreeSlotsForLastPass : kMinFreeSlotsToPass,
                          request::FlowKeyHash()(request.flow), now);
  }
  if (peer && waited >= hold) {
    RemoveHeld(position);
    view_.OnPassedOn(*peer, now);
    ++counters_.passed;
    return {.kind = Admission::Kind::kPass, .pass_to = *peer};
  }
  if (draining_) {
    return Refuse(position, request, &counters_.refused_draining, now);
  }
  if (!peer && position == 0 &&
      held_.size() >= kSaturatedHeldPerSlot * limit_.limit() &&
      tracker_.used() < limit_.limit() + SlotsInTransit()) {
    ++counters_.accepted_ahead;
    return Accept(position, request, now);
  }
  const bool expected_wait_too_long =
      CompletionInterval() * static_cast<int64_t>(position + 1) >
      settings_.max_wait;
  if (waited >= settings_.max_wait ||
      (is_new && !peer &&
       (expected_wait_too_long || held_.size() >= settings_.max_held))) {
    return Refuse(position, request, &counters_.refused_wait, now);
  }
  if (is_new) {
    held_.push_back(request.flow);
    ++counters_.held;
  }
  const TimePoint deadline = request.arrived + settings_.max_wait;
  TimePoint retry_at = deadline;
  if (waited < hold) {
    retry_at = std::min(retry_at, request.arrived + hold);
  }
  return {.kind = Admission::Kind::kHold, .retry_at = retry_at};
}

void LoadPolicy::OnRequest(const request::FlowKey& flow, TimePoint now) {
  tracker_.Expire(now);
  tracker_.OnRequest(flow, now);
}

void LoadPolicy::OnResponseSegment(const request::FlowKey& flow, bool pushed,
                                   TimePoint now) {
  tracker_.OnAnswerSegment(flow, pushed, now);
}

void LoadPolicy::OnResponseComplete(const request::FlowKey& flow,
                                    TimePoint now) {
  tracker_.Expire(now);
  const uint32_t used = tracker_.used();
  if (const auto work = tracker_.OnAnswerComplete(flow, now)) {
    limit_.OnComplete(*work, used, now);
  }
}

void LoadPolicy::OnUpstreamRejected(const request::FlowKey& flow,
                                    TimePoint now) {
  tracker_.Expire(now);
  tracker_.OnFlowEnd(flow);
  limit_.OnRejected(now);
}

void LoadPolicy::OnFlowEnd(const request::FlowKey& flow, TimePoint now) {
  tracker_.Expire(now);
  tracker_.OnFlowEnd(flow);
  RemoveHeld(HeldPosition(flow));
}

void LoadPolicy::OnLoadReport(request::InstanceId from,
                              const LoadReport& report, TimePoint now) {
  if (report.service == service_) {
    view_.OnReport(from, report, now);
  }
}

void LoadPolicy::OnPeerRemoved(request::InstanceId from, TimePoint /*now*/) {
  view_.OnPeerRemoved(from);
}

void LoadPolicy::OnTable(const version::ForwardingTable& table,
                         TimePoint /*now*/) {
  if (table.service != service_) {
    return;
  }
  view_.OnTable(table);
  if (const auto* const self = table.Find(view_.self())) {
    limit_.SetSlots(self->slots);
  }
}

void LoadPolicy::StartDrain(TimePoint /*now*/) { draining_ = true; }

void LoadPolicy::EndDrain(TimePoint /*now*/) { draining_ = false; }

std::vector<AddressedReport> LoadPolicy::MakeReports(TimePoint now) {
  tracker_.Expire(now);
  LoadReport own;
  own.service = service_;
  own.busy = tracker_.used();
  own.limit = draining_ ? 0 : limit_.limit();
  // While a peer has free slots, held packets will be passed to it, so the
  // report does not request a slot.
  if (!view_.BestPeer(kMinFreeSlotsToPass, 0, now)) {
    own.waiting = static_cast<uint32_t>(held_.size());
  }
  return view_.MakeReports(own, now);
}

size_t LoadPolicy::HeldPosition(const request::FlowKey& flow) const {
  return static_cast<size_t>(std::find(held_.begin(), held_.end(), flow) -
                             held_.begin());
}

void LoadPolicy::RemoveHeld(size_t position) {
  if (position < held_.size()) {
    held_.erase(held_.begin() + static_cast<ptrdiff_t>(position));
  }
}

LoadPolicy::Duration LoadPolicy::CompletionInterval() const {
  return limit_.MeanWorkTime() / limit_.limit();
}

uint32_t LoadPolicy::SlotsInTransit() const {
  const double share =
      2 * std::chrono::duration<double>(tracker_.mean_reservation()) /
      std::chrono::duration<double>(limit_.MeanWorkTime());
  // Capped, since a round trip longer than the work itself must not double the
  // load.
  return static_cast<uint32_t>(
      std::ceil(std::min(share, 0.5) * limit_.limit()));
}

Admission LoadPolicy::Accept(size_t position, const AdmissionRequest& request,
                             TimePoint now) {
  RemoveHeld(position);
  tracker_.Reserve(request.flow, now);
  retry_.OnAdmitted(now);
  ++counters_.accepted;
  return {.kind = Admission::Kind::kAccept};
}

Admission LoadPolicy::Refuse(size_t position, const AdmissionRequest& request,
                             uint64_t* counter, TimePoint now) {
  RemoveHeld(position);
  retry_.OnRefused(request.flow.caller, now);
  ++*counter;
  return {.kind = Admission::Kind::kRefuse};
}

}  // namespace kumquatvalve::connection
