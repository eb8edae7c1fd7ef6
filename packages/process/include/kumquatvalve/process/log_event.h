#ifndef KUMQUATVALVE_PROCESS_LOG_EVENT_H_
#define KUMQUATVALVE_PROCESS_LOG_EVENT_H_

#include <cstdint>
#include <string_view>

namespace kumquatvalve::process {

/// All log events. docs/events.md describes them; the number of an event is
/// never reused for another one. Ranges: 10xx process, 11xx data path,
/// 12xx flows and load, 13xx settings and tables, 14xx object API,
/// 15xx membership and relays.
enum class LogEvent : uint16_t {
  kProcessStarted = 1001,
  kProcessStopping = 1002,
  kProcessStopped = 1003,
  kProcessFailed = 1004,
  kSettingsReloaded = 1005,
  kReloadRefused = 1006,
  kProcessPaused = 1007,
  kUnexpectedError = 1008,
  kSettingAdjusted = 1009,
  kTablesPublished = 1101,
  kDrainTimedOut = 1102,
  kFlowDecided = 1201,
  kUpstreamDecided = 1202,
  kUpstreamChanged = 1203,
  kHeartbeatLate = 1204,
  kHeartbeatUnreadable = 1205,
  kWarmUpChanged = 1210,
  kServiceFull = 1211,
  kWaitingReturned = 1212,
  kTableWritten = 1301,
  kTableWriteFailed = 1302,
  kTableUnreadable = 1303,
  kRecordRemoved = 1304,
  kZoneEvacuated = 1305,
  kEvacuationEnded = 1306,
  kStoreUnavailable = 1401,
  kStoreAvailable = 1402,
  kPeerTold = 1403,
  kPeerFailed = 1404,
  kStoreEraChanged = 1405,
  kHeldBack = 1406,
  kMemberStateChanged = 1501,
  kMassEvictionHeld = 1502,
  kMemberLeaseGained = 1503,
  kMemberLeaseLapsed = 1504,
};

/// Returns the name of an event as listed in docs/events.md, for example
/// "process_started".
std::string_view Name(LogEvent event);

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_LOG_EVENT_H_
