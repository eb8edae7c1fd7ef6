#include "kumquatvalve/process/logging.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace kumquatvalve::process {
namespace {

// An unquoted value with spaces would be parsed as further fields.
TEST_CASE("logging: values with special characters are quoted") {
  CHECK(FormatEvent(LogFormat::kKeyValue, "entry-1", LogEvent::kProcessStarted,
                    "up", {{"path", "a b\"c"}}) ==
        "event=1001 name=process_started instance=entry-1 msg=up "
        "path=\"a b\\\"c\"");
}

// Log collectors drop lines that are not valid JSON, also because of bytes that
// are not valid UTF-8.
TEST_CASE("logging: the JSON form is valid for any field values") {
  const auto line = nlohmann::json::parse(
      FormatEvent(LogFormat::kJson, "entry-1", LogEvent::kProcessStarted, "up",
                  {{"bytes", "\xff\n"}}));
  CHECK(line["event"] == 1001);
  CHECK(line["name"] == "process_started");
}

}  // namespace
}  // namespace kumquatvalve::process
