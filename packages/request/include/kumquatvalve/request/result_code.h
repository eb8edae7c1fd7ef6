#ifndef KUMQUATVALVE_REQUEST_RESULT_CODE_H_
#define KUMQUATVALVE_REQUEST_RESULT_CODE_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquatvalve::request {

/// Every outcome of a packet, a call or a command. The numbers are part of the
/// interface: docs/result-codes.md lists them, and a number is never reused for
/// another meaning. Ranges: 1xx packets, 2xx flows, 3xx settings, 4xx object
/// API and operators' commands, 5xx control channel.
enum class ResultCode : uint16_t {
  kOk = 0,

  kPacketTooShort = 101,
  kBadIpVersion = 102,
  kBadIpHeader = 103,
  kBadTransportHeader = 104,
  kUnsupportedProtocol = 105,
  kFragment = 106,
  kNoService = 107,
  kNoUpstream = 108,
  kBadForwardHeader = 109,
  kBadForwardTag = 110,
  kWrongService = 111,
  kWrongIncarnation = 112,
  kTooManyHops = 113,
  kQueueFull = 114,
  kUnknownPeer = 115,
  kPacketTooLong = 116,

  kUnknownFlow = 201,
  kFlowTableFull = 202,
  kRefusedNotRun = 203,
  kEndedUnknown = 204,
  kDraining = 205,
  kLeaseLapsed = 206,
  kWrongAcknowledgment = 207,

  kBadAddress = 301,
  kUnreadableFile = 302,
  kBadYaml = 303,
  kUnknownKey = 304,
  kWrongType = 305,
  kOutOfRange = 306,
  kMissingKey = 307,
  kDuplicateName = 308,
  kOverlappingAddress = 309,
  kBadPath = 310,
  kOutsideSubtree = 311,
  kBadName = 312,

  kConflict = 401,
  kNotFound = 402,
  kAlreadyExists = 403,
  kUnauthorized = 404,
  kStoreUnavailable = 405,
  kOutcomeUnknown = 406,
  kCallBudgetSpent = 407,
  kValueTooLarge = 408,
  kNotInForce = 409,
  kBadAnswer = 410,
  kBadUsage = 411,

  kBadMessage = 501,
  kUnknownSender = 502,
  kStaleIncarnation = 503,
  kSocketError = 504,
};

/// The name of a code as in docs/result-codes.md, for example "wrong_service";
/// "unknown_code" for a number that is not listed.
std::string_view Name(ResultCode code);

/// The process exit status for a code: 0 for `kOk`, otherwise 10 to 14 for the
/// ranges 1xx to 5xx.
int ExitStatus(ResultCode code);

/// Why a call failed: a code, and a detail for the reader of the error.
struct Failure {
  ResultCode code = ResultCode::kOk;
  std::string detail;
};

/// Formats an error for display: "E310 bad_path: detail".
std::string ToString(const Failure& failure);

}  // namespace kumquatvalve::request

#endif  // KUMQUATVALVE_REQUEST_RESULT_CODE_H_
