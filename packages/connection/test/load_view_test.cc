#include "kumquatvalve/connection/load_view.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "property.h"

namespace kumquatvalve::connection {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

version::ForwardingTable Table(size_t upstreams) {
  version::ForwardingTable table;
  table.service = {1};
  for (size_t i = 0; i < upstreams; ++i) {
    version::UpstreamEntry entry;
    entry.instance = {i + 1};
    entry.zone = request::AvailabilityZone(i % 2 == 0 ? "a" : "b");
    entry.slots = 4;
    table.upstreams.push_back(entry);
  }
  return table;
}

LoadReport Report(uint32_t busy, uint32_t limit, uint32_t waiting = 0) {
  return {.service = {1}, .busy = busy, .limit = limit, .waiting = waiting};
}

// Reports to hundreds of peers would exceed the control budget, and a peer that
// does not report back could not be chosen.
TEST_CASE("load_view: at most 8 peers, and the relation is symmetric") {
  for (const size_t n : {1U, 2U, 8U, 9U, 10U, 300U}) {
    const version::ForwardingTable table = Table(n);
    std::set<std::pair<uint64_t, uint64_t>> relation;
    for (uint64_t i = 1; i <= n; ++i) {
      LoadView view(request::InstanceId{i});
      view.OnTable(table);
      CHECK(view.peers() == std::min<size_t>(n - 1, LoadView::kMaxPeers));
      for (const AddressedReport& it :
           view.MakeReports(Report(0, 4), TimePoint())) {
        relation.insert({i, it.to.value});
      }
    }
    for (const auto& [from, to] : relation) {
      CHECK(relation.contains({to, from}));
    }
  }
}

// Guards against overload of a peer to which several packets are passed because
// of one report.
TEST_CASE("load_view: a passed packet counts until a later report") {
  LoadView view(request::InstanceId{1});
  view.OnTable(Table(2));
  const TimePoint start;
  view.OnReport({2}, Report(3, 4), start);
  CHECK(view.BestPeer(0.5, 0, start) == request::InstanceId{2});
  view.OnPassedOn({2}, start + milliseconds(1));
  CHECK_FALSE(view.BestPeer(0.5, 0, start + milliseconds(1)));
  // This report was sent before the passed packet arrived at the peer.
  view.OnReport({2}, Report(3, 4), start + milliseconds(2));
  CHECK_FALSE(view.BestPeer(0.5, 0, start + milliseconds(2)));
  view.OnReport({2}, Report(3, 4), start + milliseconds(20));
  CHECK(view.BestPeer(0.5, 0, start + milliseconds(20)));
}

// Guards against packets that are passed to a peer that died or was cut off.
TEST_CASE("load_view: estimates decay and end with the peer") {
  LoadView view(request::InstanceId{1});
  view.OnTable(Table(3));
  const TimePoint start;
  view.OnReport({2}, Report(2, 4), start);
  CHECK(view.FreeSlots({2}, start + seconds(2)) == Approx(1));
  CHECK_FALSE(view.BestPeer(0.5, 0, start + seconds(5)));
  view.OnReport({3}, Report(0, 4), start);
  view.OnPeerRemoved({3});
  CHECK(view.FreeSlots({3}, start) == 0);
}

// The own zone must not fill up while the other zone is idle.
TEST_CASE("load_view: the own zone is preferred among equal peers only") {
  LoadView view(request::InstanceId{1});
  view.OnTable(Table(3));
  const TimePoint start;
  view.OnReport({2}, Report(2, 4), start);
  view.OnReport({3}, Report(2, 4), start);
  for (uint64_t seed = 0; seed < 20; ++seed) {
    CHECK(view.BestPeer(0.5, seed, start) == request::InstanceId{3});
  }
  view.OnReport({2}, Report(1, 4), start);
  CHECK(view.BestPeer(0.5, 0, start) == request::InstanceId{2});
}

// If a free slot were reported to all waiting peers, all but one of the flows
// that they pass on would find no free slot.
TEST_CASE(
    "load_view: a free slot is reported to the peer with most waiting "
    "packets") {
  LoadView view(request::InstanceId{1});
  view.OnTable(Table(3));
  const TimePoint start;
  REQUIRE(view.MakeReports(Report(4, 4), start).size() == 2);
  view.OnReport({2}, Report(4, 4, 1), start + milliseconds(1));
  view.OnReport({3}, Report(4, 4, 3), start + milliseconds(1));
  const auto first = view.MakeReports(Report(3, 4), start + milliseconds(2));
  REQUIRE(first.size() == 1);
  CHECK(first[0].to == request::InstanceId{3});
}

// A report at each change of a busy service would exceed 23 KB/s.
TEST_CASE("load_view: reports stay within the byte budget") {
  CHECK(Holds([](const std::vector<std::pair<uint8_t, uint8_t>>& steps) {
    LoadView::Settings settings;
    LoadView view(request::InstanceId{1}, settings);
    view.OnTable(Table(9));
    TimePoint now;
    for (const auto& [load, elapsed] : steps) {
      now += milliseconds(elapsed % 16);
      view.OnReport({2 + load % 8U}, Report(4, 4, load % 4U), now);
      view.MakeReports(Report(load % 5U, 4, load % 3U), now);
      const double allowed =
          settings.burst_reports * LoadView::kReportBytes +
          settings.bytes_per_second *
              std::chrono::duration<double>(now.time_since_epoch()).count();
      RC_ASSERT(static_cast<double>(view.sent_bytes()) <= allowed + 1);
    }
  }));
}

// Reports reduce the waiting counts of both sides, which must not wrap around.
TEST_CASE("load_view: contradicting reports leave estimates in range") {
  CHECK(Holds([](const std::vector<std::pair<uint8_t, uint8_t>>& steps) {
    LoadView view(request::InstanceId{1});
    view.OnTable(Table(4));
    TimePoint now;
    for (const auto& [a, b] : steps) {
      now += milliseconds(a % 5);
      // `busy` can exceed the limit through requests of older flows.
      view.OnReport({2 + a % 3U}, Report(b % 9U, a % 5U, b % 4U), now);
      for (const AddressedReport& it :
           view.MakeReports(Report(a % 9U, b % 5U, a % 2U), now)) {
        RC_ASSERT(it.report.waiting <= 1U);
      }
      for (uint64_t i = 2; i <= 4; ++i) {
        const double free = view.FreeSlots({i}, now);
        RC_ASSERT(free >= 0 && free <= 4);
      }
    }
  }));
}

}  // namespace
}  // namespace kumquatvalve::connection
