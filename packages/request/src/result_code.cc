#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::request {

std::string_view Name(ResultCode code) {
  switch (code) {
    case ResultCode::kOk:
      return "ok";
    case ResultCode::kPacketTooShort:
      return "packet_too_short";
    case ResultCode::kBadIpVersion:
      return "bad_ip_version";
    case ResultCode::kBadIpHeader:
      return "bad_ip_header";
    case ResultCode::kBadTransportHeader:
      return "bad_transport_header";
    case ResultCode::kUnsupportedProtocol:
      return "unsupported_protocol";
    case ResultCode::kFragment:
      return "fragment";
    case ResultCode::kNoService:
      return "no_service";
    case ResultCode::kNoUpstream:
      return "no_upstream";
    case ResultCode::kBadForwardHeader:
      return "bad_forward_header";
    case ResultCode::kBadForwardTag:
      return "bad_forward_tag";
    case ResultCode::kWrongService:
      return "wrong_service";
    case ResultCode::kWrongIncarnation:
      return "wrong_incarnation";
    case ResultCode::kTooManyHops:
      return "too_many_hops";
    case ResultCode::kQueueFull:
      return "queue_full";
    case ResultCode::kUnknownPeer:
      return "unknown_peer";
    case ResultCode::kPacketTooLong:
      return "packet_too_long";
    case ResultCode::kUnknownFlow:
      return "unknown_flow";
    case ResultCode::kFlowTableFull:
      return "flow_table_full";
    case ResultCode::kRefusedNotRun:
      return "refused_not_run";
    case ResultCode::kEndedUnknown:
      return "ended_unknown";
    case ResultCode::kDraining:
      return "draining";
    case ResultCode::kLeaseLapsed:
      return "lease_lapsed";
    case ResultCode::kWrongAcknowledgment:
      return "wrong_acknowledgment";
    case ResultCode::kBadAddress:
      return "bad_address";
    case ResultCode::kUnreadableFile:
      return "unreadable_file";
    case ResultCode::kBadYaml:
      return "bad_yaml";
    case ResultCode::kUnknownKey:
      return "unknown_key";
    case ResultCode::kWrongType:
      return "wrong_type";
    case ResultCode::kOutOfRange:
      return "out_of_range";
    case ResultCode::kMissingKey:
      return "missing_key";
    case ResultCode::kDuplicateName:
      return "duplicate_name";
    case ResultCode::kOverlappingAddress:
      return "overlapping_address";
    case ResultCode::kBadPath:
      return "bad_path";
    case ResultCode::kOutsideSubtree:
      return "outside_subtree";
    case ResultCode::kBadName:
      return "bad_name";
    case ResultCode::kConflict:
      return "conflict";
    case ResultCode::kNotFound:
      return "not_found";
    case ResultCode::kAlreadyExists:
      return "already_exists";
    case ResultCode::kUnauthorized:
      return "unauthorized";
    case ResultCode::kStoreUnavailable:
      return "store_unavailable";
    case ResultCode::kOutcomeUnknown:
      return "outcome_unknown";
    case ResultCode::kCallBudgetSpent:
      return "call_budget_spent";
    case ResultCode::kValueTooLarge:
      return "value_too_large";
    case ResultCode::kNotInForce:
      return "not_in_force";
    case ResultCode::kBadAnswer:
      return "bad_answer";
    case ResultCode::kBadUsage:
      return "bad_usage";
    case ResultCode::kBadMessage:
      return "bad_message";
    case ResultCode::kUnknownSender:
      return "unknown_sender";
    case ResultCode::kStaleIncarnation:
      return "stale_incarnation";
    case ResultCode::kSocketError:
      return "socket_error";
  }
  return "unknown_code";
}

int ExitStatus(ResultCode code) {
  const int number = static_cast<int>(code);
  return number == 0 ? 0 : 9 + number / 100;
}

std::string ToString(const Failure& failure) {
  return "E" + std::to_string(static_cast<int>(failure.code)) + " " +
         std::string(Name(failure.code)) + ": " + failure.detail;
}

}  // namespace kumquatvalve::request
