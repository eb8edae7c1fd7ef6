#include "kumquatvalve/connection/row_ownership.h"

#include <catch2/catch.hpp>
#include <initializer_list>
#include <memory>

namespace kumquatvalve::connection {
namespace {

constexpr request::ServiceId kService{7};
constexpr request::InstanceId kA{1};
constexpr request::InstanceId kB{2};
constexpr request::InstanceId kC{3};
constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr request::RowIndex kRow{0};

// A table of one row; upstreams are listed in the order A, B, C.
RowOwnership::TablePtr Table(uint64_t version, version::UpstreamIndex owner,
                             version::UpstreamIndex backup) {
  auto table = std::make_shared<version::ForwardingTable>();
  table->service = kService;
  table->version = {version};
  for (const request::InstanceId it : {kA, kB, kC}) {
    table->upstreams.emplace_back().instance = it;
  }
  table->owner = {owner};
  table->backup = {backup};
  return table;
}

void ReplyFromAll(RowOwnership* rows, uint64_t version, TimePoint now,
                  std::initializer_list<request::InstanceId> peers) {
  for (const request::InstanceId it : peers) {
    RowHandover handover{kService, {version}, {kRow}, {}, true, true};
    rows->OnHandover(it, handover, now);
  }
}

// Guards against two sidecars that admit flows of the same row, which could run
// a request twice.
TEST_CASE("row_ownership: a row is owned only after all peers replied") {
  RowOwnership rows(kA, kService);
  rows.OnTable(Table(1, 0, 1), kStart);
  CHECK(rows.state(kRow) == RowState::kTakingOver);
  CHECK(rows.MakeClaims(kStart).size() == 2);
  ReplyFromAll(&rows, 1, kStart, {kB});
  CHECK(rows.state(kRow) == RowState::kTakingOver);
  ReplyFromAll(&rows, 1, kStart, {kC});
  CHECK(rows.state(kRow) == RowState::kOwned);
  CHECK(rows.MayRefuse(kRow, kStart));
}

// A dead peer that membership still has as alive must not block a service's new
// flows. Its record of flows is missing, so no refusal may say "not run".
TEST_CASE("row_ownership: a takeover skips an unresponsive peer after 1 s") {
  RowOwnership rows(kA, kService);
  rows.OnTable(Table(1, 0, 1), kStart);
  rows.MakeClaims(kStart);
  ReplyFromAll(&rows, 1, kStart, {kB});
  rows.MakeClaims(kStart + RowOwnership::kPeerTimeout -
                  std::chrono::milliseconds(1));
  CHECK(rows.state(kRow) == RowState::kTakingOver);
  const TimePoint later = kStart + RowOwnership::kPeerTimeout;
  rows.MakeClaims(later);
  CHECK(rows.state(kRow) == RowState::kOwned);
  CHECK_FALSE(rows.MayRefuse(kRow, later));
  CHECK(rows.MayRefuse(kRow, later + RowOwnership::kNoRefusalPeriod));
}

// Guards against a row that is taken from its owner by a claim with an older
// table.
TEST_CASE("row_ownership: only a newer claim takes an owned row") {
  RowOwnership rows(kA, kService);
  rows.OnTable(Table(5, 0, 1), kStart);
  ReplyFromAll(&rows, 5, kStart, {kB, kC});
  CHECK(rows.OnClaim(kB, {kService, {4}, {kRow}}, kStart).empty());
  CHECK(rows.state(kRow) == RowState::kOwned);
  // The backup wrongly presumes this sidecar dead.
  CHECK(rows.OnClaim(kB, {kService, {5}, {kRow}}, kStart).empty());
  CHECK(rows.OnClaim(kC, {kService, {6}, {kRow}}, kStart).size() == 1);
  CHECK(rows.state(kRow) == RowState::kCeded);
  CHECK(rows.OwnerOf(kRow) == kC);
}

// A paused sidecar may resume after peers took over its rows.
TEST_CASE(
    "row_ownership: after its lease lapsed a sidecar claims all rows again") {
  RowOwnership rows(kA, kService);
  rows.OnTable(Table(1, 0, 1), kStart);
  ReplyFromAll(&rows, 1, kStart, {kB, kC});
  rows.OnLease(false, kStart);
  CHECK(rows.state(kRow) == RowState::kNotOwned);
  rows.OnLease(true, kStart);
  CHECK(rows.state(kRow) == RowState::kTakingOver);
}

// New flows of a dead owner's rows must be admitted before the next table.
TEST_CASE("row_ownership: the backup takes over the rows of a dead owner") {
  RowOwnership rows(kB, kService);
  rows.OnTable(Table(1, 0, 1), kStart);
  CHECK(rows.state(kRow) == RowState::kNotOwned);
  rows.OnPeerState(kA, false, kStart);
  CHECK(rows.state(kRow) == RowState::kTakingOver);
  CHECK(rows.MakeClaims(kStart).size() == 1);
  ReplyFromAll(&rows, 1, kStart, {kC});
  CHECK(rows.state(kRow) == RowState::kOwned);
  CHECK_FALSE(rows.MayRefuse(kRow, kStart));
  rows.OnPeerState(kA, true, kStart);
  CHECK(rows.state(kRow) == RowState::kNotOwned);
}

// A table that arrives late must not restore an earlier owner.
TEST_CASE("row_ownership: an older table is ignored") {
  RowOwnership rows(kA, kService);
  CHECK(rows.OnTable(Table(2, 1, 0), kStart));
  CHECK_FALSE(rows.OnTable(Table(1, 0, 1), kStart));
  CHECK(rows.OwnerOf(kRow) == kB);
}

}  // namespace
}  // namespace kumquatvalve::connection
