#include "kumquatvalve/process/peer_codec.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>

namespace kumquatvalve::process {
namespace {

using connection::PeerMessage;

request::FlowKey ArbitraryFlow() {
  request::FlowKey flow;
  flow.caller.port = *rc::gen::arbitrary<uint16_t>();
  flow.service.port = *rc::gen::arbitrary<uint16_t>();
  flow.caller.address[15] = *rc::gen::arbitrary<uint8_t>();
  flow.service.address[0] = *rc::gen::arbitrary<uint8_t>();
  flow.protocol = *rc::gen::arbitrary<uint8_t>();
  return flow;
}

// Guards against a field missing from the encoding; a new row owner would then
// lose flows.
TEST_CASE("peer_codec: a row handover decodes to what was encoded") {
  CHECK(rc::check("handover", [] {
    connection::RowHandover sent;
    sent.service = {*rc::gen::arbitrary<uint64_t>()};
    sent.version = {*rc::gen::arbitrary<uint64_t>()};
    sent.rows = {{*rc::gen::arbitrary<uint32_t>()}};
    sent.flows = {{ArbitraryFlow(), {*rc::gen::arbitrary<uint64_t>()}},
                  {ArbitraryFlow(), {*rc::gen::arbitrary<uint64_t>()}}};
    sent.last = *rc::gen::arbitrary<bool>();
    sent.history_complete = *rc::gen::arbitrary<bool>();
    control::Envelope envelope;
    WritePeerMessage(PeerMessage(sent), &envelope);
    control::Envelope parsed;
    RC_ASSERT(parsed.ParseFromString(envelope.SerializeAsString()));
    request::Failure failure;
    const auto message = ReadPeerMessage(parsed, &failure);
    RC_ASSERT(message.has_value());
    const auto& received = std::get<connection::RowHandover>(*message);
    RC_ASSERT(received.service == sent.service);
    RC_ASSERT(received.version == sent.version);
    RC_ASSERT(received.rows == sent.rows);
    RC_ASSERT(received.flows == sent.flows);
    RC_ASSERT(received.last == sent.last);
    // Without this field, a new owner could not refuse flows for 70 s.
    RC_ASSERT(received.history_complete == sent.history_complete);
  }));
}

// Guards against acting on part of an invalid message.
TEST_CASE(
    "peer_codec: a message with an invalid address is rejected as a whole") {
  control::Envelope envelope;
  envelope.mutable_holder_register()
      ->add_flows()
      ->mutable_caller()
      ->set_address("short");
  request::Failure failure;
  CHECK_FALSE(ReadPeerMessage(envelope, &failure));
  CHECK(failure.code == request::ResultCode::kBadMessage);
}

}  // namespace
}  // namespace kumquatvalve::process
