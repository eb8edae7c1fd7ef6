#include "kumquatvalve/process/address_history_codec.h"

#include <catch2/catch.hpp>
#include <string>

namespace kumquatvalve::process {
namespace {

using connection::AddressHistoryReport;
using std::chrono::milliseconds;

TEST_CASE("address_history_codec: a report survives encoding and decoding") {
  request::Failure failure;
  AddressHistoryReport report;
  report.revision = {12, 3};
  report.span = milliseconds(61000);
  report.uses = {{*request::ParseEndpoint("198.18.0.1:443", &failure),
                  request::ServiceName("patio"), milliseconds(2500)}};
  const auto read =
      DecodeAddressHistory(EncodeAddressHistory(report), &failure);
  REQUIRE(read);
  CHECK(read->revision == report.revision);
  CHECK(read->span == report.span);
  CHECK(read->uses == report.uses);
}

TEST_CASE("address_history_codec: a report without an era is of era 0") {
  request::Failure failure;
  const auto read =
      DecodeAddressHistory(R"({"revision":3,"span_ms":5,"uses":[]})", &failure);
  REQUIRE(read);
  CHECK(read->revision == request::TableVersion{3, 0});
  // Without eras the text is that of earlier versions.
  CHECK(EncodeAddressHistory(*read).find("era") == std::string::npos);
}

// A report with a service left out, or a wrong span, would let its reader take
// flows for lost.
TEST_CASE("address_history_codec: a part of a report is not a report") {
  const std::string use =
      R"({"address":"198.18.0.1:443","service":"patio","age_ms":1})";
  const std::string head = R"({"revision":3,"span_ms":5,"uses":[)";
  request::Failure failure;
  CHECK(DecodeAddressHistory(head + use + "]}", &failure));
  for (const std::string& it :
       {std::string(), std::string("{}"), std::string("[]"),
        std::string(R"({"span_ms":5,"uses":[]})"),
        std::string(R"({"revision":3,"span_ms":-1,"uses":[]})"),
        std::string(R"({"revision":3,"era":-1,"span_ms":5,"uses":[]})"),
        std::string(R"({"revision":3,"span_ms":1e300,"uses":[]})"),
        std::string(R"({"revision":3,"span_ms":5,"uses":7})"), head + "7]}",
        head + use + ",{}]}",
        head + R"({"address":"host:1","service":"patio","age_ms":1}]})",
        head + R"({"address":"198.18.0.1:443","service":"","age_ms":1}]})",
        head + std::string(1000, '[')}) {
    failure = {};
    CHECK_FALSE(DecodeAddressHistory(it, &failure));
    CHECK(failure.code != request::ResultCode::kOk);
  }
}

}  // namespace
}  // namespace kumquatvalve::process
