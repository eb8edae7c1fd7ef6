#include "kumquatvalve/connection/latest_start.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "property.h"

namespace kumquatvalve::connection {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInterval{1200};

StartId Start(uint64_t time_ms, const std::string& suffix = "") {
  return {"i-" + std::to_string(time_ms) + suffix, time_ms};
}

struct Fixture {
  // One message after an interval.
  StartVerdict Send(const StartId& start, uint64_t sequence,
                    milliseconds after = kInterval) {
    now += after;
    return starts.OnMessage(start, sequence, now);
  }
  // Messages until the start is the latest one, at most `limit`.
  // @return the number of messages.
  int SendUntilLatest(const StartId& start, int limit) {
    uint64_t sequence = 0;
    for (int i = 1; i <= limit; ++i) {
      const auto verdict = Send(start, ++sequence);
      if (verdict == StartVerdict::kReplaced ||
          verdict == StartVerdict::kLatest) {
        return i;
      }
    }
    return limit + 1;
  }

  LatestStart starts;
  TimePoint now{std::chrono::hours(1)};
};

// A clock that is stepped over several starts, back and forth: each start is
// taken over, and its order is the largest so far.
TEST_CASE("latest_start: every start of a stepped clock is taken over") {
  Fixture f;
  request::StartOrder previous;
  for (const uint64_t time_ms :
       {5000, 2600, 4000, 5000, 5001, 9000, 8999, 20000}) {
    INFO(time_ms);
    const auto start = Start(time_ms, "-" + std::to_string(previous.value));
    CHECK(f.SendUntilLatest(start, 3) <= 3);
    CHECK(f.starts.latest() == start);
    CHECK(f.starts.order() > previous);
    previous = f.starts.order();
  }
}

// Guards against a difference from records without an order, which is the start
// time then.
TEST_CASE("latest_start: the order of starts with rising times is the time") {
  Fixture f;
  for (const uint64_t time_ms : {1000, 3000, 7000}) {
    CHECK(f.Send(Start(time_ms), 1) == StartVerdict::kReplaced);
    CHECK(f.starts.order().value == time_ms);
  }
}

// Two upstreams whose start times are equal were taken for one: the second
// one's messages were late ones of the first for as long as its sequence
// numbers were lower.
TEST_CASE("latest_start: a start with the time of an earlier one is another") {
  Fixture f;
  for (uint64_t sequence = 1; sequence <= 40; ++sequence) {
    f.Send(Start(5000, "a"), sequence);
  }
  CHECK(f.SendUntilLatest(Start(5000, "b"), 3) == 3);
  CHECK(f.starts.order().value == 5001);
  CHECK(f.Send(Start(5000, "a"), 41) == StartVerdict::kEarlier);
  // Also under the same name: its sequence numbers start anew.
  for (uint64_t sequence = 4; sequence <= 40; ++sequence) {
    f.Send(Start(5000, "b"), sequence);
  }
  CHECK(f.Send(Start(5000, "b"), 1) == StartVerdict::kRepeated);
  CHECK(f.Send(Start(5000, "b"), 2) == StartVerdict::kRepeated);
  CHECK(f.Send(Start(5000, "b"), 3) == StartVerdict::kReplaced);
  CHECK(f.Send(Start(5000, "b"), 4) == StartVerdict::kLatest);
}

// Messages between the three may be lost; more than three are needed when some
// arrive together.
TEST_CASE("latest_start: lost messages only delay a replacement") {
  Fixture f;
  f.Send(Start(5000), 40);
  CHECK(f.Send(Start(2600), 2, milliseconds(2400)) == StartVerdict::kEarlier);
  CHECK(f.Send(Start(2600), 3, milliseconds(1)) == StartVerdict::kEarlier);
  CHECK(f.Send(Start(2600), 6, milliseconds(3600)) == StartVerdict::kEarlier);
  CHECK(f.Send(Start(2600), 7, milliseconds(1)) == StartVerdict::kEarlier);
  CHECK(f.Send(Start(2600), 9, milliseconds(2400)) == StartVerdict::kReplaced);
}

// The sidecar was paused and its successor's messages were lost: three messages
// of the start that really is the earlier one put it back in use. The live one
// takes over again.
TEST_CASE("latest_start: a wrong replacement lasts for three messages") {
  Fixture f;
  CHECK(f.Send(Start(1000), 50) == StartVerdict::kReplaced);
  CHECK(f.Send(Start(4000), 1) == StartVerdict::kReplaced);
  for (uint64_t sequence = 51; sequence <= 53; ++sequence) {
    f.Send(Start(1000), sequence);
  }
  REQUIRE(f.starts.latest() == Start(1000));
  const auto wrong = f.starts.order();
  CHECK(f.Send(Start(4000), 2) == StartVerdict::kEarlier);
  CHECK(f.Send(Start(4000), 3) == StartVerdict::kEarlier);
  CHECK(f.Send(Start(4000), 4) == StartVerdict::kReplaced);
  CHECK(f.starts.order() > wrong);
}

// Starts that live for fewer than three messages are never taken over, and
// their messages do not count for the next one.
TEST_CASE("latest_start: short lives do not add up") {
  Fixture f;
  f.Send(Start(9000), 10);
  for (const uint64_t time_ms : {5000, 4000, 3000}) {
    CHECK(f.Send(Start(time_ms), 1) == StartVerdict::kEarlier);
    CHECK(f.Send(Start(time_ms), 2) == StartVerdict::kEarlier);
  }
  CHECK(f.starts.latest() == Start(9000));
  CHECK(f.SendUntilLatest(Start(2000), 3) == 3);
}

// A sidecar that restarts between the three messages first takes the start that
// it hears of, then learns from the record of a later one.
TEST_CASE("latest_start: a known start is replaced without another delay") {
  Fixture f;
  CHECK(f.Send(Start(2600), 7) == StartVerdict::kReplaced);
  CHECK(f.Send(Start(2600), 8) == StartVerdict::kLatest);
  CHECK(f.starts.OnKnownStart(Start(5000), {5000}, f.now));
  CHECK(f.starts.latest() == Start(5000));
  // The two messages before count.
  CHECK(f.Send(Start(2600), 9) == StartVerdict::kReplaced);
  CHECK(f.starts.order().value == 5001);
}

// With the store unavailable for longer, the start has proved itself before the
// record is read, and stays in use.
TEST_CASE("latest_start: a start that sends messages outlasts a known one") {
  Fixture f;
  f.SendUntilLatest(Start(2600), 1);
  for (uint64_t sequence = 2; sequence <= 3; ++sequence) {
    f.Send(Start(2600), sequence);
  }
  CHECK_FALSE(f.starts.OnKnownStart(Start(5000), {5000}, f.now));
  CHECK(f.starts.latest() == Start(2600));
  CHECK(f.starts.order().value == 5001);
  // Another process knows this start at a larger order.
  CHECK_FALSE(f.starts.OnKnownStart(Start(2600), {5007}, f.now));
  CHECK(f.starts.order().value == 5007);
  // A start that is known at a smaller order is an earlier one.
  CHECK_FALSE(f.starts.OnKnownStart(Start(5000), {5000}, f.now));
  CHECK(f.starts.latest() == Start(2600));
}

// The old process of a sidecar that was paused for seconds must not take its
// former upstream for the live one.
TEST_CASE("latest_start: a silent start gives way to a known later one") {
  Fixture f;
  for (uint64_t sequence = 1; sequence <= 5; ++sequence) {
    f.Send(Start(2600), sequence);
  }
  f.now += milliseconds(3001);
  CHECK(f.starts.OnKnownStart(Start(5000), {5000}, f.now));
  CHECK(f.starts.latest() == Start(5000));
}

// A late message, or one of another writer, that arrived first made a sidecar
// deny the flows that its predecessor had admitted to the upstream.
TEST_CASE("latest_start: a single message does not show that another began") {
  Fixture f;
  f.starts.OnKnownStart(Start(5000), {5000}, f.now);
  CHECK(f.Send(Start(1000), 7) == StartVerdict::kEarlier);
  CHECK(f.Send(Start(5000), 20) == StartVerdict::kLatest);
  CHECK_FALSE(f.starts.began_after_creation());
  CHECK(f.Send(Start(9000), 3) == StartVerdict::kReplaced);
  CHECK(f.SendUntilLatest(Start(5000), 3) == 3);
  CHECK_FALSE(f.starts.began_after_creation());
}

TEST_CASE("latest_start: a start began here after one that sent messages") {
  Fixture f;
  f.starts.OnKnownStart(Start(1000), {1000}, f.now);
  CHECK_FALSE(f.starts.began_after_creation());
  for (uint64_t sequence = 2; sequence <= 4; ++sequence) {
    f.Send(Start(2000), sequence);
    CHECK_FALSE(f.starts.began_after_creation());
    CHECK(f.starts.is_new());
  }
  f.Send(Start(3000), 50);
  CHECK(f.starts.began_after_creation());
  CHECK_FALSE(f.starts.is_new());
  // Back to the first one, which may have begun before.
  for (uint64_t sequence = 5; sequence <= 7; ++sequence) {
    f.Send(Start(2000), sequence);
  }
  CHECK_FALSE(f.starts.began_after_creation());
}

// Guards against an upstream that stays unused, or an ended one that stays in
// use, after any series of starts on a machine whose clock is stepped.
TEST_CASE(
    "latest_start: the live start is the latest one after a few messages") {
  CHECK(Holds([] {
    struct Delayed {
      StartId start;
      uint64_t sequence = 0;
    };
    Fixture f;
    std::deque<Delayed> delayed;
    uint64_t clock_ms = 1000000;
    request::StartOrder order;
    const int starts = *rc::gen::inRange(2, 8);
    for (int i = 0; i < starts; ++i) {
      clock_ms += *rc::gen::inRange(0, 8000);
      clock_ms -= *rc::gen::inRange(0, 6000);
      const StartId start = Start(clock_ms, *rc::gen::element("", "b"));
      uint64_t sequence = *rc::gen::inRange(0, 2);
      const int messages = *rc::gen::inRange(0, 9);
      for (int n = 0; n < messages; ++n) {
        ++sequence;
        switch (*rc::gen::inRange(0, 4)) {
          case 0:
            delayed.push_back({start, sequence});
            break;
          case 1:
            // All delayed messages arrive together.
            for (; !delayed.empty(); delayed.pop_front()) {
              f.Send(delayed.front().start, delayed.front().sequence,
                     milliseconds(1));
            }
            break;
          default:
            f.Send(start, sequence);
            break;
        }
        RC_ASSERT(f.starts.order() >= order);
        order = f.starts.order();
      }
      if (i + 1 == starts) {
        for (int n = 0; n < LatestStart::kMessagesToReplace; ++n) {
          f.Send(start, ++sequence);
        }
        RC_ASSERT(f.starts.latest() == start);
      }
    }
  }));
}

}  // namespace
}  // namespace kumquatvalve::connection
