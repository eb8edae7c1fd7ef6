#include "kumquatvalve/connection/record_book.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace kumquatvalve::connection {
namespace {

using std::chrono::milliseconds;

const TimePoint kNow{std::chrono::hours(1)};

version::UpstreamRecord Record(int i, uint64_t incarnation_ms = 1000,
                               bool draining = false) {
  request::Failure failure;
  version::UpstreamRecord record;
  record.sidecar = *request::ParseEndpoint(
      "10.0.0." + std::to_string(i) + ":8172", &failure);
  record.service = request::ServiceName("patio");
  record.instance = "i-" + std::to_string(incarnation_ms);
  record.incarnation_ms = incarnation_ms;
  record.draining = draining;
  return record;
}

// Guards against upstreams that get no flows because they started while the
// store was unavailable.
TEST_CASE(
    "record_book: an announced record is used while the store does not have "
    "it") {
  RecordBook book;
  book.OnStoreRecords(std::vector{Record(1)}, kNow, kNow);
  CHECK(book.OnAnnouncedRecord(Record(2), kNow));
  CHECK_FALSE(book.OnAnnouncedRecord(Record(2), kNow));
  CHECK(book.Records().size() == 2);
  // The store may not have the record yet.
  book.OnStoreRecords(std::vector{Record(1)}, kNow + milliseconds(500),
                      kNow + milliseconds(500));
  CHECK(book.Records().size() == 2);
}

TEST_CASE(
    "record_book: an announced record that the store lacks after 2 s is "
    "dropped") {
  RecordBook book;
  book.OnAnnouncedRecord(Record(2), kNow);
  book.OnStoreRecords({}, kNow + milliseconds(2001), kNow + milliseconds(2001));
  CHECK(book.Records().empty());
}

TEST_CASE("record_book: a record that is announced again is kept") {
  RecordBook book;
  book.OnAnnouncedRecord(Record(2), kNow);
  book.OnAnnouncedRecord(Record(2), kNow + milliseconds(1500));
  book.OnStoreRecords({}, kNow + milliseconds(3000), kNow + milliseconds(3000));
  CHECK(book.Records().size() == 1);
}

TEST_CASE("record_book: a later incarnation replaces an earlier one") {
  RecordBook book;
  book.OnStoreRecords(std::vector{Record(1, 1000)}, kNow, kNow);
  CHECK(book.OnAnnouncedRecord(Record(1, 2000), kNow));
  CHECK(book.Records().front().incarnation_ms == 2000);
  // An outdated record of a peer is ignored.
  CHECK_FALSE(book.OnAnnouncedRecord(Record(1, 1000), kNow));
  CHECK(book.Records().front().incarnation_ms == 2000);
  book.OnStoreRecords(std::vector{Record(1, 3000)}, kNow, kNow);
  CHECK(book.Records().front().incarnation_ms == 3000);
}

TEST_CASE(
    "record_book: an announced drain is not cancelled by a stored record") {
  RecordBook book;
  book.OnStoreRecords(std::vector{Record(1)}, kNow, kNow);
  CHECK(book.OnAnnouncedRecord(Record(1, 1000, true), kNow));
  CHECK_FALSE(book.OnAnnouncedRecord(Record(1), kNow));
  // The sidecar writes its record within two seconds, or announces it again.
  book.OnAnnouncedRecord(Record(1, 1000, true), kNow + milliseconds(4000));
  book.OnStoreRecords(std::vector{Record(1)}, kNow + milliseconds(5000),
                      kNow + milliseconds(5000));
  CHECK(book.Records().front().draining);
}

version::UpstreamRecord WithOrder(version::UpstreamRecord record,
                                  uint64_t order) {
  record.order = {order};
  return record;
}

// An upstream that started with the clock stepped back while the store was
// unavailable got no flows until the store was back.
TEST_CASE("record_book: the order of starts decides, not the start time") {
  RecordBook book;
  book.OnStoreRecords(std::vector{Record(1, 5000)}, kNow, kNow);
  CHECK(book.OnAnnouncedRecord(Record(1, 5000, true), kNow));
  CHECK(book.OnAnnouncedRecord(WithOrder(Record(1, 2600), 5001), kNow));
  CHECK(book.Records().front().incarnation_ms == 2600);
  // Late and repeated announcements of the ended upstream change nothing.
  CHECK_FALSE(book.OnAnnouncedRecord(Record(1, 5000), kNow));
  CHECK_FALSE(book.OnAnnouncedRecord(Record(1, 5000, true), kNow));
  CHECK(book.Records().front().incarnation_ms == 2600);
  CHECK_FALSE(book.Records().front().draining);
  // Nor does the list of a store that has not got the record yet.
  book.OnStoreRecords(std::vector{Record(1, 5000)}, kNow, kNow);
  CHECK(book.Records().front().incarnation_ms == 2600);
  // The next start has a later time again.
  CHECK(book.OnAnnouncedRecord(Record(1, 9000), kNow));
  CHECK(book.Records().front().incarnation_ms == 9000);
}

// A sidecar process that could not read the store announces its upstream's
// drain without the order that its predecessor had given it.
TEST_CASE("record_book: a drain is accepted whatever its order is") {
  RecordBook book;
  book.OnStoreRecords(std::vector{WithOrder(Record(1, 2600), 5001)}, kNow,
                      kNow);
  CHECK_FALSE(book.OnAnnouncedRecord(Record(1, 2600), kNow));
  CHECK(book.OnAnnouncedRecord(Record(1, 2600, true), kNow));
  CHECK(book.Records().front().draining);
  CHECK(book.Records().front().order.value == 5001);
  // A drain is not cancelled by a larger order of the same start.
  CHECK_FALSE(book.OnAnnouncedRecord(WithOrder(Record(1, 2600), 6000), kNow));
  // The repeated announcement keeps the record from expiring.
  book.OnAnnouncedRecord(Record(1, 2600, true), kNow + milliseconds(1500));
  book.OnStoreRecords({}, kNow + milliseconds(3000), kNow + milliseconds(3000));
  CHECK(book.Records().size() == 1);
}

// Guards against a sidecar that announces a record without effect for the rest
// of an outage.
TEST_CASE("record_book: finds the later record that is in use instead") {
  RecordBook book;
  CHECK_FALSE(book.FindLater(Record(1, 2600)));
  book.OnStoreRecords(std::vector{Record(1, 5000)}, kNow, kNow);
  CHECK_FALSE(book.OnAnnouncedRecord(Record(1, 2600), kNow));
  CHECK(book.FindLater(Record(1, 2600)) == Record(1, 5000));
  CHECK_FALSE(book.FindLater(Record(1, 5000)));
  CHECK_FALSE(book.FindLater(Record(1, 5000, true)));
  CHECK_FALSE(book.FindLater(Record(1, 7000)));
  // Another start with the same time, and the same start with an order.
  auto other = Record(1, 5000);
  other.instance = "i-other";
  CHECK(book.FindLater(other));
  book.OnStoreRecords(std::vector{WithOrder(Record(1, 2600), 5001)}, kNow,
                      kNow);
  CHECK(book.FindLater(Record(1, 2600)));
}

// A record with an incarnation far ahead was kept for ever, in place of that of
// every later upstream of its sidecar.
TEST_CASE(
    "record_book: an announced record does not outlive a later list of the "
    "store") {
  RecordBook book;
  book.OnAnnouncedRecord(Record(1, 4000000000000), kNow);
  book.OnStoreRecords(std::vector{Record(1, 2000)}, kNow, kNow);
  CHECK(book.Records().front().incarnation_ms == 4000000000000);
  book.OnStoreRecords(std::vector{Record(1, 2000)}, kNow + milliseconds(2001),
                      kNow + milliseconds(2001));
  CHECK(book.Records().front().incarnation_ms == 2000);
}

// A restarted entry instance did not know an upstream whose record the store
// had just lost, and reset its flows.
TEST_CASE("record_book: a record that the store lost is remembered for 2 s") {
  RecordBook book;
  book.OnStoreRecords(std::vector{Record(1), Record(2, 1000, true)}, kNow,
                      kNow);
  CHECK(book.RecentlyRemoved(kNow).empty());
  book.OnStoreRecords({}, kNow, kNow);
  CHECK(book.Records().empty());
  // A draining upstream removes its own record.
  REQUIRE(book.RecentlyRemoved(kNow + milliseconds(2000)).size() == 1);
  CHECK(book.RecentlyRemoved(kNow)[0] == Record(1));
  CHECK(book.RecentlyRemoved(kNow + milliseconds(2001)).empty());
  book.OnStoreRecords(std::vector{Record(1)}, kNow, kNow);
  CHECK(book.RecentlyRemoved(kNow).empty());
}

// The store went back to a copy from before a restart and a drain: new flows
// were sent to a start of an upstream that had ended, and to one that drains.
TEST_CASE("record_book: records that the store has lost stay in use") {
  RecordBook book;
  RecordBook baseline;
  const std::vector known{Record(1, 2000), Record(2, 1000, true), Record(3),
                          Record(4, 1000, true)};
  const std::vector copy{Record(1, 1000), Record(2), Record(3)};
  book.OnStoreRecords(known, kNow, kNow);
  baseline.OnStoreRecords(known, kNow, kNow);
  CHECK(book.OnStoreRecords(copy, kNow, kNow, 1) == 3);
  CHECK(baseline.OnStoreRecords(copy, kNow, kNow) == 0);
  CHECK(baseline.Records() == copy);
  const auto records = book.Records();
  REQUIRE(records.size() == 4);
  CHECK(records[0].incarnation_ms == 2000);
  CHECK(records[1].draining);
  CHECK(records[3].draining);
  for (const version::UpstreamRecord& it : records) {
    CHECK(it.missing_in_store == (it.sidecar != Record(3).sidecar));
  }
  // Each watch repeats what the copy had.
  book.OnStoreRecords(copy, kNow, kNow + milliseconds(29000), 1);
  CHECK_FALSE(book.ExpireHeld(kNow + milliseconds(29000)));
  CHECK(book.Records() == records);
  // The sidecars have not written again.
  CHECK(book.ExpireHeld(kNow + milliseconds(29500)));
  CHECK(book.Records() == copy);
}

// A record that stayed in use hid the one that its sidecar wrote again, for
// example because the upstream was replaced by one with an earlier start time.
TEST_CASE("record_book: what a sidecar writes in the new era is used") {
  RecordBook book;
  book.OnStoreRecords(std::vector{Record(1, 2000), Record(2, 2000)}, kNow,
                      kNow);
  book.OnStoreRecords(std::vector{Record(1, 1000), Record(2, 1000)}, kNow, kNow,
                      1);
  book.OnStoreRecords(std::vector{Record(1, 1500), Record(2, 1000)}, kNow, kNow,
                      1);
  auto records = book.Records();
  CHECK(records[0].incarnation_ms == 1500);
  CHECK_FALSE(records[0].missing_in_store);
  CHECK(records[1].incarnation_ms == 2000);
  book.OnStoreRecords(std::vector{Record(1, 1500)}, kNow, kNow, 1);
  CHECK(book.Records().size() == 1);
  // The second copy is older than what was written after the first one.
  CHECK(book.OnStoreRecords(std::vector{Record(1, 1000)}, kNow, kNow, 2) == 1);
  CHECK(book.Records()[0].incarnation_ms == 1500);
}

// A later start that was announced while the record of the last one was missing
// in the store was ignored for 30 s.
TEST_CASE("record_book: an announced later start replaces a held record") {
  RecordBook book;
  book.OnStoreRecords(std::vector{Record(1, 2000)}, kNow, kNow);
  book.OnStoreRecords(std::vector{Record(1, 1000)}, kNow, kNow, 1);
  CHECK_FALSE(book.OnAnnouncedRecord(Record(1, 2000), kNow));
  CHECK(book.OnAnnouncedRecord(Record(1, 3000), kNow));
  CHECK(book.Records() == std::vector{Record(1, 3000)});
}

}  // namespace
}  // namespace kumquatvalve::connection
