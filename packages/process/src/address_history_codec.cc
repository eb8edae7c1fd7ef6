#include "kumquatvalve/process/address_history_codec.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

#include "kumquatvalve/process/bounded_json.h"
#include "kumquatvalve/request/endpoint.h"

namespace kumquatvalve::process {
namespace {

using connection::AddressHistoryReport;
using Json = nlohmann::json;
using std::chrono::milliseconds;

// Reports have at most 20,000 uses of about 100 bytes.
constexpr JsonLimits kReportLimits{
    .max_bytes = size_t{4} << 20, .max_depth = 4, .max_values = 100000};
constexpr size_t kMaxNameBytes = 1024;
// A process that runs for longer reports this time.
constexpr milliseconds kMaxAge{std::chrono::hours(24 * 365)};

std::optional<milliseconds> ReadAge(const Json& object, const char* key) {
  const auto value =
      ReadUnsigned(object, key, static_cast<uint64_t>(kMaxAge.count()));
  return value ? std::optional(milliseconds(static_cast<int64_t>(*value)))
               : std::nullopt;
}

std::optional<AddressHistoryReport::Use> DecodeUse(const Json& value,
                                                   request::Failure* failure) {
  if (!value.is_object()) {
    return std::nullopt;
  }
  const auto text = ReadString(value, "address", kMaxNameBytes);
  const auto service = ReadString(value, "service", kMaxNameBytes);
  const auto age = ReadAge(value, "age_ms");
  const auto address =
      text ? request::ParseEndpoint(*text, failure) : std::nullopt;
  if (!address || !service || service->empty() || !age) {
    return std::nullopt;
  }
  return AddressHistoryReport::Use{*address, request::ServiceName(*service),
                                   *age};
}

}  // namespace

std::string EncodeAddressHistory(const AddressHistoryReport& report) {
  Json value = {{"revision", report.revision.value},
                {"span_ms", std::min(report.span, kMaxAge).count()},
                {"uses", Json::array()}};
  if (report.revision.era != 0) {
    value["era"] = report.revision.era;
  }
  for (const AddressHistoryReport::Use& it : report.uses) {
    value["uses"].push_back({{"address", request::ToString(it.address)},
                             {"service", it.service.text()},
                             {"age_ms", std::min(it.age, kMaxAge).count()}});
  }
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<AddressHistoryReport> DecodeAddressHistory(
    std::string_view text, request::Failure* failure) {
  const auto value = ParseBoundedJson(text, kReportLimits, failure);
  if (!value) {
    return std::nullopt;
  }
  const request::Failure not_a_report{request::ResultCode::kBadAnswer,
                                      "not a whole address history"};
  const auto span =
      value->is_object() ? ReadAge(*value, "span_ms") : std::nullopt;
  const auto revision =
      span ? ReadUnsigned(*value, "revision", UINT64_MAX) : std::nullopt;
  const auto era = revision && value->contains("era")
                       ? ReadUnsigned(*value, "era", UINT64_MAX)
                       : uint64_t{0};
  if (!revision || !era || !value->contains("uses") ||
      !value->at("uses").is_array()) {
    *failure = not_a_report;
    return std::nullopt;
  }
  AddressHistoryReport report;
  report.revision = {*revision, *era};
  report.span = *span;
  for (const Json& it : value->at("uses")) {
    auto use = DecodeUse(it, failure);
    if (!use) {
      *failure = not_a_report;
      return std::nullopt;
    }
    report.uses.push_back(std::move(*use));
  }
  return report;
}

}  // namespace kumquatvalve::process
