#include "kumquatvalve/process/bounded_json.h"

#include <catch2/catch.hpp>
#include <string>

namespace kumquatvalve::process {
namespace {

using request::Failure;
using request::ResultCode;

std::string Nested(size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

// A document of 200,000 levels ended the process when it was copied or
// serialized.
TEST_CASE("bounded_json: a document that is nested too deeply is rejected") {
  Failure failure;
  CHECK(ParseBoundedJson(Nested(32), {}, &failure));
  for (const size_t it : {33, 200000}) {
    CHECK_FALSE(ParseBoundedJson(Nested(it), {}, &failure));
    CHECK(failure.code == ResultCode::kValueTooLarge);
  }
  // Brackets in strings do not count.
  CHECK(ParseBoundedJson("\"" + std::string(1000, '[') + "\\\"[[\"", {},
                         &failure));
}

TEST_CASE("bounded_json: size and number of values are limited") {
  Failure failure;
  JsonLimits limits;
  limits.max_bytes = 10;
  CHECK_FALSE(ParseBoundedJson("[1,2,3,4,5]", limits, &failure));
  CHECK(failure.code == ResultCode::kValueTooLarge);
  limits = {};
  limits.max_values = 3;
  CHECK(ParseBoundedJson("[1,2,3]", limits, &failure));
  CHECK_FALSE(ParseBoundedJson("[1,2,3,4]", limits, &failure));
}

TEST_CASE("bounded_json: text that is not valid JSON is an error") {
  for (const char* it : {"", "{", "[1e400]", "[\"\xff\"]", "[}", "nul"}) {
    Failure failure;
    CHECK_FALSE(ParseBoundedJson(it, {}, &failure));
    CHECK(failure.code == ResultCode::kBadAnswer);
  }
}

// One entry that cannot be parsed hid all others of its page.
TEST_CASE("bounded_json: an array is split without parsing its elements") {
  Failure failure;
  const std::string deep = Nested(200000);
  const std::string text =
      R"([{"a":[1,"]"]},1e400, "\"," ,)" + deep + ",\"\xff\",{\"x\":[1}],null]";
  const auto elements = SplitJsonArray(text, &failure);
  REQUIRE(elements);
  REQUIRE(elements->size() == 7);
  CHECK((*elements)[0] == R"({"a":[1,"]"]})");
  CHECK((*elements)[1] == "1e400");
  CHECK((*elements)[3] == deep);
  CHECK((*elements)[6] == "null");
  CHECK(SplitJsonArray(" [ ] ", &failure)->empty());
}

TEST_CASE("bounded_json: an object is split into its members") {
  Failure failure;
  const auto members =
      SplitJsonObject(R"({ "a" : 1, "b":{"c":[2,3]}, "a":"}" })", &failure);
  REQUIRE(members);
  REQUIRE(members->size() == 3);
  CHECK(FindMember(*members, "b") == R"({"c":[2,3]})");
  CHECK(FindMember(*members, "a") == R"("}")");
  CHECK_FALSE(FindMember(*members, "c"));
  CHECK(SplitJsonObject("{}", &failure)->empty());
}

TEST_CASE("bounded_json: text that does not end is not split") {
  for (const char* it :
       {"", "[", "[1", "[1,", "[1,]", "[\"a]", "[[1]", "{}", "[1]]", "[1] x"}) {
    Failure failure;
    CHECK_FALSE(SplitJsonArray(it, &failure));
    CHECK(failure.code == ResultCode::kBadAnswer);
  }
  for (const char* it : {"", "{", "{1:2}", "{\"a\"}", "{\"a\":}", "{\"a\":1,}",
                         "{\"a\":1", "[]", "{\"a\":1}}"}) {
    Failure failure;
    CHECK_FALSE(SplitJsonObject(it, &failure));
    CHECK(failure.code == ResultCode::kBadAnswer);
  }
}

// Converting a floating point number that is out of range gives different
// results on x86-64 and arm64.
TEST_CASE("bounded_json: numbers are checked before they are converted") {
  Failure failure;
  const auto value = ParseBoundedJson(
      R"({"a":7,"b":-1,"c":7.0,"d":1e300,"e":18446744073709551616,"f":"7"})",
      {}, &failure);
  REQUIRE(value);
  CHECK(ReadUnsigned(*value, "a", 7) == 7);
  CHECK_FALSE(ReadUnsigned(*value, "a", 6));
  for (const char* it : {"b", "c", "d", "e", "f", "missing"}) {
    CHECK_FALSE(ReadUnsigned(*value, it, UINT64_MAX));
  }
  CHECK(ReadString(*value, "f", 1) == "7");
  CHECK_FALSE(ReadString(*value, "f", 0));
  CHECK_FALSE(ReadString(*value, "a", 9));
}

}  // namespace
}  // namespace kumquatvalve::process
