#ifndef KUMQUATVALVE_PROCESS_ADDRESS_HISTORY_CODEC_H_
#define KUMQUATVALVE_PROCESS_ADDRESS_HISTORY_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "kumquatvalve/connection/address_history.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::process {

/// Serializes a report as a JSON object.
std::string EncodeAddressHistory(
    const connection::AddressHistoryReport& report);

/// Parses the JSON of `EncodeAddressHistory`.
/// @return nothing and `kBadAnswer` or `kValueTooLarge` when the text is not a
///   whole report: one that leaves out a service must not count as complete.
std::optional<connection::AddressHistoryReport> DecodeAddressHistory(
    std::string_view text, request::Failure* failure);

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_ADDRESS_HISTORY_CODEC_H_
