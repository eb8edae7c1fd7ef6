#include "kumquatvalve/process/log_event.h"

namespace kumquatvalve::process {

std::string_view Name(LogEvent event) {
  switch (event) {
    case LogEvent::kProcessStarted:
      return "process_started";
    case LogEvent::kProcessStopping:
      return "process_stopping";
    case LogEvent::kProcessStopped:
      return "process_stopped";
    case LogEvent::kProcessFailed:
      return "process_failed";
    case LogEvent::kSettingsReloaded:
      return "settings_reloaded";
    case LogEvent::kReloadRefused:
      return "reload_refused";
    case LogEvent::kProcessPaused:
      return "process_paused";
    case LogEvent::kUnexpectedError:
      return "unexpected_error";
    case LogEvent::kSettingAdjusted:
      return "setting_adjusted";
    case LogEvent::kTablesPublished:
      return "tables_published";
    case LogEvent::kDrainTimedOut:
      return "drain_timed_out";
    case LogEvent::kFlowDecided:
      return "flow_decided";
    case LogEvent::kUpstreamDecided:
      return "upstream_decided";
    case LogEvent::kUpstreamChanged:
      return "upstream_changed";
    case LogEvent::kHeartbeatLate:
      return "heartbeat_late";
    case LogEvent::kHeartbeatUnreadable:
      return "heartbeat_unreadable";
    case LogEvent::kWarmUpChanged:
      return "warm_up_changed";
    case LogEvent::kServiceFull:
      return "service_full";
    case LogEvent::kWaitingReturned:
      return "waiting_returned";
    case LogEvent::kTableWritten:
      return "table_written";
    case LogEvent::kTableWriteFailed:
      return "table_write_failed";
    case LogEvent::kTableUnreadable:
      return "table_unreadable";
    case LogEvent::kRecordRemoved:
      return "record_removed";
    case LogEvent::kZoneEvacuated:
      return "zone_evacuated";
    case LogEvent::kEvacuationEnded:
      return "evacuation_ended";
    case LogEvent::kStoreUnavailable:
      return "store_unavailable";
    case LogEvent::kStoreAvailable:
      return "store_available";
    case LogEvent::kPeerTold:
      return "peer_told";
    case LogEvent::kPeerFailed:
      return "peer_failed";
    case LogEvent::kStoreEraChanged:
      return "store_era_changed";
    case LogEvent::kHeldBack:
      return "held_back";
    case LogEvent::kMemberStateChanged:
      return "member_state_changed";
    case LogEvent::kMassEvictionHeld:
      return "mass_eviction_held";
    case LogEvent::kMemberLeaseGained:
      return "member_lease_gained";
    case LogEvent::kMemberLeaseLapsed:
      return "member_lease_lapsed";
  }
  return "unknown_event";
}

}  // namespace kumquatvalve::process
