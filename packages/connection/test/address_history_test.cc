#include "kumquatvalve/connection/address_history.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace kumquatvalve::connection {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow{std::chrono::hours(1)};

request::Endpoint Address(int i) {
  request::Failure failure;
  return *request::ParseEndpoint("198.18.0." + std::to_string(i) + ":443",
                                 &failure);
}

version::RouteMap Routes(const std::map<int, std::string>& services,
                         uint64_t revision = 1) {
  version::RouteMap map;
  map.revision = {revision};
  for (const auto& [i, service] : services) {
    map.routes[Address(i)].shares = {
        {request::ServiceName(service), request::ServiceTagOf(service), 1}};
  }
  return map;
}

std::vector<request::ServiceTag> Tags(const std::string& service) {
  return {request::ServiceTagOf(service)};
}

// A process that started after a change of the routes did not know the service
// that holds the flows from before.
TEST_CASE("address_history: earlier services are known, unchanged ones not") {
  AddressHistory history;
  const auto first = Routes({{1, "patio"}, {2, "patio"}, {3, "patio"}});
  const auto second = Routes({{1, "evidencia"}, {2, "patio"}});
  history.OnRoutes(nullptr, first, kNow);
  history.OnRoutes(&first, second, kNow);
  CHECK(history.ServicesOf(Address(1)) == Tags("patio"));
  CHECK(history.ServicesOf(Address(2)).empty());
  CHECK(history.ServicesOf(Address(3)) == Tags("patio"));
  history.Expire(kNow + std::chrono::minutes(9));
  CHECK(history.ServicesOf(Address(1)) == Tags("patio"));
  history.Expire(kNow + std::chrono::minutes(11));
  CHECK(history.ServicesOf(Address(1)).empty());
}

// After the store had gone back in time, the history of an instance with the
// routes of the new era did not count, since their revision was smaller.
TEST_CASE("address_history: a report of a later era is not older") {
  for (const bool later : {true, false}) {
    auto routes = Routes({{1, "patio"}});
    routes.revision =
        later ? request::TableVersion{110, 0} : request::TableVersion{90, 1};
    AddressHistory history;
    history.OnRoutes(nullptr, routes, kNow);
    AddressHistoryReport report;
    report.revision =
        later ? request::TableVersion{90, 1} : request::TableVersion{110, 0};
    report.span = AddressHistory::kFlowRetention;
    history.OnReport(report, kNow);
    CHECK(history.IsComplete(kNow) == later);
  }
}

// Restarts in turn: each process learns from one that started before, so that
// the knowledge outlives all of them.
TEST_CASE("address_history: a report passes on what another process knew") {
  AddressHistory oldest;
  const auto first = Routes({{1, "patio"}});
  const auto second = Routes({{1, "evidencia"}});
  oldest.OnRoutes(nullptr, first, kNow);
  oldest.OnRoutes(&first, second, kNow + seconds(40));
  TimePoint now = kNow + seconds(42);
  AddressHistoryReport report = oldest.Report(now);
  for (int i = 0; i < 3; ++i) {
    AddressHistory next;
    CHECK(next.Report(now).span == milliseconds(0));
    // The report may arrive before or after the routes.
    if (i % 2 == 0) {
      next.OnRoutes(nullptr, second, now);
    }
    next.OnReport(report, now);
    if (i % 2 == 1) {
      next.OnRoutes(nullptr, second, now);
    }
    CHECK(next.ServicesOf(Address(1)) == Tags("patio"));
    CHECK_FALSE(next.IsComplete(now));
    now += seconds(1);
    report = next.Report(now);
    CHECK(report.span == now - kNow);
    REQUIRE(report.uses.size() == 1);
    CHECK(report.uses[0].age == now - (kNow + seconds(40)));
  }
  AddressHistory last;
  last.OnRoutes(nullptr, second, now);
  last.OnReport(report, now);
  CHECK_FALSE(last.IsComplete(kNow + milliseconds(59999)));
  CHECK(last.IsComplete(kNow + seconds(60)));
}

// A peer that has not read the newest routes yet does not report the service
// that they replace, which this process has never seen.
TEST_CASE("address_history: a report of older routes leaves a gap") {
  const auto first = Routes({{1, "patio"}}, 7);
  const auto second = Routes({{1, "evidencia"}}, 9);
  AddressHistory late;
  late.OnRoutes(nullptr, first, kNow);
  const TimePoint now = kNow + seconds(70);
  const AddressHistoryReport old_report = late.Report(now);
  late.OnRoutes(&first, second, now);
  const AddressHistoryReport new_report = late.Report(now);
  for (const bool routes_first : {true, false}) {
    AddressHistory history;
    if (routes_first) {
      history.OnRoutes(nullptr, second, now);
    }
    history.OnReport(old_report, now);
    if (!routes_first) {
      history.OnRoutes(nullptr, second, now);
    }
    CHECK_FALSE(history.IsComplete(now));
    history.OnReport(new_report, now);
    CHECK(history.IsComplete(now));
    CHECK(history.ServicesOf(Address(1)) == Tags("patio"));
  }
}

TEST_CASE(
    "address_history: a process is certain after the retention of flows") {
  AddressHistory history;
  CHECK_FALSE(history.IsComplete(kNow));
  history.OnRoutes(nullptr, Routes({{1, "patio"}}), kNow);
  CHECK_FALSE(history.IsComplete(kNow + milliseconds(59999)));
  CHECK(history.IsComplete(kNow + milliseconds(60000)));
}

}  // namespace
}  // namespace kumquatvalve::connection
