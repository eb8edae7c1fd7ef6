#include "kumquatvalve/process/evacuation_knowledge.h"

#include <string>
#include <utility>

namespace kumquatvalve::process {

EvacuationKnowledge::EvacuationKnowledge(Listener listener,
                                         const Logger* logger)
    : listener_(std::move(listener)), logger_(logger) {}

void EvacuationKnowledge::OnList(const connection::EvacuationList& list,
                                 connection::EvacuationSource source,
                                 TimePoint now) {
  const std::lock_guard lock(mutex_);
  if (const auto change = evacuation_.OnList(list, source, now)) {
    Report(*change, Name(source));
  }
}

void EvacuationKnowledge::OnTick(TimePoint now) {
  const std::lock_guard lock(mutex_);
  if (const auto change = evacuation_.OnTick(now)) {
    Report(*change, "not written again after the store was restored");
  }
}

void EvacuationKnowledge::Report(const connection::EvacuationChange& change,
                                 std::string_view source) {
  const auto version = evacuation_.Report()->version;
  const auto log = [&](LogEvent event, const request::AvailabilityZone& zone) {
    logger_->Log(LogLevel::kWarning, event, source,
                 {{"zone", zone.text()},
                  {"version", std::to_string(version.value)},
                  {"era", std::to_string(version.era)}});
  };
  for (const request::AvailabilityZone& it : change.evacuated) {
    log(LogEvent::kZoneEvacuated, it);
  }
  for (const request::AvailabilityZone& it : change.ended) {
    log(LogEvent::kEvacuationEnded, it);
  }
  listener_(evacuation_.zones(), change);
}

void EvacuationKnowledge::AddTo(PeerSnapshot* snapshot) const {
  const std::lock_guard lock(mutex_);
  snapshot->evacuated_zones = evacuation_.Report();
}

bool EvacuationKnowledge::known() const {
  const std::lock_guard lock(mutex_);
  return evacuation_.known();
}

}  // namespace kumquatvalve::process
