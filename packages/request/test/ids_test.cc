#include "kumquatvalve/request/ids.h"

#include <catch2/catch.hpp>
#include <unordered_set>

namespace kumquatvalve::request {
namespace {

// A revision that the store assigned again after it had gone back counted as
// older than the lost one.
TEST_CASE("ids: a version of a later era is newer whatever its revision is") {
  const TableVersion lost{110};
  CHECK(lost.era == 0);
  CHECK(TableVersion{90, 1} > lost);
  CHECK(TableVersion{90, 1} < TableVersion{91, 1});
  CHECK(TableVersion{130, 1} < TableVersion{5, 2});
  CHECK(TableVersion{110, 1} != lost);
  CHECK(TableVersion{110, 0} == lost);
}

TEST_CASE("ids: equal revisions of two eras are two keys") {
  const std::unordered_set<TableVersion> versions{{110, 0}, {110, 1}, {110, 0}};
  CHECK(versions.size() == 2);
  CHECK(std::hash<TableVersion>()({110, 0}) !=
        std::hash<TableVersion>()({110, 1}));
}

}  // namespace
}  // namespace kumquatvalve::request
