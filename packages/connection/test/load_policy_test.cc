#include "kumquatvalve/connection/load_policy.h"

#include <catch2/catch.hpp>
#include <set>
#include <utility>
#include <vector>

#include "property.h"

namespace kumquatvalve::connection {
namespace {

using Kind = Admission::Kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr request::ServiceId kService{1};

request::FlowKey Flow(uint16_t port) {
  request::FlowKey key;
  key.caller.address[15] = static_cast<uint8_t>(port);
  key.caller.port = port;
  key.protocol = 6;
  return key;
}

AdmissionRequest First(uint16_t port, TimePoint arrived, uint8_t passed = 0) {
  return {Flow(port), passed, arrived};
}

version::ForwardingTable Table(uint32_t slots) {
  version::ForwardingTable table;
  table.service = kService;
  for (uint64_t i = 1; i <= 3; ++i) {
    version::UpstreamEntry entry;
    entry.instance = {i};
    entry.zone = request::AvailabilityZone("a");
    entry.slots = slots;
    table.upstreams.push_back(entry);
  }
  return table;
}

LoadReport Report(uint32_t busy, uint32_t limit) {
  return {.service = kService, .busy = busy, .limit = limit, .waiting = 0};
}

LoadPolicy MakePolicy(uint32_t slots = 1) {
  LoadPolicy policy(kService, {1}, slots);
  policy.OnTable(Table(slots), TimePoint());
  return policy;
}

// Work beyond the slots would queue inside the upstream, from where it cannot
// be moved to a peer.
TEST_CASE(
    "load_policy: a flow is admitted into a free slot and held otherwise") {
  LoadPolicy policy = MakePolicy();
  const TimePoint start;
  CHECK(policy.FirstPacket(First(1, start), start).kind == Kind::kAccept);
  CHECK(policy.FirstPacket(First(1, start), start).kind == Kind::kAccept);
  CHECK(policy.tracker().used() == 1);
  CHECK(policy.FirstPacket(First(2, start), start).kind == Kind::kHold);
  policy.OnRequest(Flow(1), start + milliseconds(6));
  policy.OnResponseComplete(Flow(1), start + milliseconds(30));
  CHECK(policy.FirstPacket(First(2, start), start + milliseconds(30)).kind ==
        Kind::kAccept);
  CHECK(policy.held() == 0);
}

// Guards against starvation of held packets by new ones.
TEST_CASE("load_policy: held packets are admitted before new ones") {
  LoadPolicy policy = MakePolicy();
  const TimePoint start;
  policy.FirstPacket(First(1, start), start);
  CHECK(policy.FirstPacket(First(2, start), start).kind == Kind::kHold);
  policy.OnFlowEnd(Flow(1), start + milliseconds(5));
  const TimePoint later = start + milliseconds(5);
  CHECK(policy.FirstPacket(First(3, later), later).kind == Kind::kHold);
  CHECK(policy.FirstPacket(First(2, start), later).kind == Kind::kAccept);
}

// Guards against a place in the queue that is kept by a caller that gave up and
// blocks the others.
TEST_CASE("load_policy: the end of a held flow frees its place in the queue") {
  LoadPolicy policy = MakePolicy();
  const TimePoint start;
  policy.FirstPacket(First(1, start), start);
  policy.FirstPacket(First(2, start), start);
  policy.OnFlowEnd(Flow(2), start);
  CHECK(policy.held() == 0);
  policy.OnFlowEnd(Flow(1), start);
  CHECK(policy.FirstPacket(First(3, start), start).kind == Kind::kAccept);
}

// Passing at once would cost a second hop that a short wait avoids.
TEST_CASE("load_policy: a packet is held briefly, then passed to a free peer") {
  LoadPolicy policy = MakePolicy();
  const TimePoint start;
  policy.FirstPacket(First(1, start), start);
  policy.OnLoadReport({2}, Report(0, 4), start);
  const Admission held = policy.FirstPacket(First(2, start), start);
  REQUIRE(held.kind == Kind::kHold);
  const Admission passed = policy.FirstPacket(First(2, start), held.retry_at);
  CHECK(passed.kind == Kind::kPass);
  CHECK(passed.pass_to == request::InstanceId{2});
  CHECK(policy.held() == 0);
  // A packet that was passed before is passed on at once, up to the maximum.
  CHECK(policy.FirstPacket(First(3, start, 1), start).kind == Kind::kPass);
  CHECK(policy.FirstPacket(First(4, start, 3), start).kind == Kind::kHold);
}

// A slot would be wasted on a caller that has given up.
TEST_CASE("load_policy: a held packet is refused after the max wait") {
  LoadPolicy policy = MakePolicy();
  const TimePoint start;
  policy.FirstPacket(First(1, start), start);
  policy.OnRequest(Flow(1), start);
  const Admission held = policy.FirstPacket(First(2, start), start);
  REQUIRE(held.kind == Kind::kHold);
  CHECK(policy.FirstPacket(First(2, start), start + milliseconds(2500)).kind ==
        Kind::kRefuse);
}

// Guards against retries of refused callers that crowd out new callers.
TEST_CASE("load_policy: retries beyond the budget are refused while full") {
  LoadPolicy::Settings settings;
  settings.max_held = 1;
  settings.retry.burst = 0;
  settings.retry.per_second = 0;
  LoadPolicy policy(kService, {1}, 1, settings);
  const TimePoint start;
  policy.FirstPacket(First(1, start), start);
  policy.FirstPacket(First(2, start), start);
  CHECK(policy.FirstPacket(First(3, start), start).kind == Kind::kRefuse);
  policy.OnFlowEnd(Flow(2), start);
  CHECK(policy.FirstPacket(First(3, start), start).kind == Kind::kRefuse);
  CHECK(policy.counters().refused_retry == 1);
  CHECK(policy.FirstPacket(First(4, start), start).kind == Kind::kHold);
  // A retry is admitted to a free slot like any other flow.
  policy.OnFlowEnd(Flow(4), start);
  policy.OnFlowEnd(Flow(1), start);
  CHECK(policy.FirstPacket(First(3, start), start).kind == Kind::kAccept);
}

// R6: a draining upstream gets no new flow, not even one whose first packet is
// held.
TEST_CASE("load_policy: a draining sidecar admits nothing") {
  LoadPolicy policy = MakePolicy(2);
  const TimePoint start;
  policy.StartDrain(start);
  CHECK(policy.FirstPacket(First(1, start), start).kind == Kind::kRefuse);
  policy.OnLoadReport({2}, Report(0, 4), start);
  CHECK(policy.FirstPacket(First(2, start), start).kind == Kind::kPass);
  for (const AddressedReport& it : policy.MakeReports(start)) {
    CHECK(it.report.limit == 0);
  }
}

// R4: a flow may be refused only if it was not accepted before. Also guards
// against leaked slots and against admission beyond the slots.
TEST_CASE("load_policy: admitted flows are never refused, slots never leak") {
  CHECK(Holds([](const std::vector<std::pair<uint8_t, uint8_t>>& steps) {
    constexpr uint32_t kSlots = 3;
    LoadPolicy policy = MakePolicy(kSlots);
    TimePoint now;
    std::set<uint16_t> admitted;
    for (const auto& [what, value] : steps) {
      now += milliseconds(what % 32);
      const uint16_t port = value % 16;
      switch (what % 8) {
        case 0:
        case 1:
        case 2: {
          const bool has_slot = policy.tracker().HasSlot(Flow(port));
          const Admission admission =
              policy.FirstPacket(First(port, now, value / 64), now);
          if (has_slot && policy.tracker().HasSlot(Flow(port))) {
            RC_ASSERT(admission.kind == Kind::kAccept);
          }
          if (admission.kind == Kind::kAccept) {
            admitted.insert(port);
          }
          if (admission.kind == Kind::kHold) {
            RC_ASSERT(admission.retry_at > now);
          }
          // No request came without admission, so the slots bound the use; one
          // more flow may be admitted ahead while many wait.
          RC_ASSERT(policy.tracker().reserved() <= kSlots + 2);
          break;
        }
        case 3:
          if (admitted.contains(port)) {
            policy.OnRequest(Flow(port), now);
          }
          break;
        case 4:
          policy.OnResponseSegment(Flow(port), value > 128, now);
          break;
        case 5:
          policy.OnResponseComplete(Flow(port), now);
          break;
        case 6:
          policy.OnLoadReport({2 + value % 2U}, Report(value % 5U, 4), now);
          policy.MakeReports(now);
          break;
        default:
          if (value > 128) {
            policy.OnUpstreamRejected(Flow(port), now);
          } else {
            policy.OnFlowEnd(Flow(port), now);
          }
          admitted.erase(port);
      }
      RC_ASSERT(policy.limit().limit() >= 1U);
      RC_ASSERT(policy.limit().limit() <= kSlots);
      RC_ASSERT(policy.held() <= 16U);
    }
    for (uint16_t port = 0; port < 16; ++port) {
      policy.OnFlowEnd(Flow(port), now);
    }
    RC_ASSERT(policy.tracker().used() == 0U);
    RC_ASSERT(policy.held() == 0U);
  }));
}

}  // namespace
}  // namespace kumquatvalve::connection
