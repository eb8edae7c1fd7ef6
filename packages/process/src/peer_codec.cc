#include "kumquatvalve/process/peer_codec.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <variant>
#include <vector>

namespace kumquatvalve::process {
namespace {

using connection::FlowHolder;
using connection::HolderRegister;
using connection::HolderWithdraw;
using connection::LoadReport;
using connection::PeerMessage;
using connection::RowClaim;
using connection::RowHandover;

constexpr uint32_t kMaxPort = 65535;
constexpr uint32_t kMaxProtocol = 255;

void WriteFlowKey(const request::FlowKey& flow, control::FlowKey* wire) {
  *wire->mutable_caller() = WriteEndpoint(flow.caller);
  *wire->mutable_service() = WriteEndpoint(flow.service);
  wire->set_protocol(flow.protocol);
}

std::optional<request::FlowKey> ReadFlowKey(const control::FlowKey& wire) {
  const auto caller = ReadEndpoint(wire.caller());
  const auto service = ReadEndpoint(wire.service());
  if (!caller || !service || wire.protocol() > kMaxProtocol) {
    return std::nullopt;
  }
  return request::FlowKey{*caller, *service,
                          static_cast<uint8_t>(wire.protocol())};
}

template <typename Wire>
std::optional<std::vector<request::FlowKey>> ReadFlowKeys(const Wire& wire) {
  std::vector<request::FlowKey> flows;
  flows.reserve(wire.flows_size());
  for (const control::FlowKey& it : wire.flows()) {
    const auto flow = ReadFlowKey(it);
    if (!flow) {
      return std::nullopt;
    }
    flows.push_back(*flow);
  }
  return flows;
}

template <typename Wire>
std::vector<request::RowIndex> ReadRows(const Wire& wire) {
  std::vector<request::RowIndex> rows;
  rows.reserve(wire.rows_size());
  for (const uint32_t it : wire.rows()) {
    rows.push_back({it});
  }
  return rows;
}

struct PeerMessageWriter {
  control::Envelope* envelope;

  void operator()(const RowClaim& message) const {
    control::RowClaim* wire = envelope->mutable_row_claim();
    wire->set_service(message.service.value);
    wire->set_version(message.version.value);
    for (const request::RowIndex it : message.rows) {
      wire->add_rows(it.value);
    }
  }

  void operator()(const RowHandover& message) const {
    control::RowHandover* wire = envelope->mutable_row_handover();
    wire->set_service(message.service.value);
    wire->set_version(message.version.value);
    for (const request::RowIndex it : message.rows) {
      wire->add_rows(it.value);
    }
    for (const FlowHolder& it : message.flows) {
      control::FlowHolder* holder = wire->add_flows();
      WriteFlowKey(it.flow, holder->mutable_flow());
      holder->set_holder(it.holder.value);
    }
    wire->set_last(message.last);
    wire->set_history_complete(message.history_complete);
  }

  void operator()(const HolderRegister& message) const {
    control::HolderRegister* wire = envelope->mutable_holder_register();
    wire->set_service(message.service.value);
    for (const request::FlowKey& it : message.flows) {
      WriteFlowKey(it, wire->add_flows());
    }
    wire->set_complete(message.complete);
  }

  void operator()(const HolderWithdraw& message) const {
    control::HolderWithdraw* wire = envelope->mutable_holder_withdraw();
    wire->set_service(message.service.value);
    for (const request::FlowKey& it : message.flows) {
      WriteFlowKey(it, wire->add_flows());
    }
  }

  void operator()(const LoadReport& message) const {
    control::LoadReport* wire = envelope->mutable_load_report();
    wire->set_service(message.service.value);
    wire->set_busy(message.busy);
    wire->set_limit(message.limit);
    wire->set_waiting(message.waiting);
  }
};

std::optional<PeerMessage> ReadMessageBody(const control::Envelope& envelope) {
  switch (envelope.body_case()) {
    case control::Envelope::kRowClaim: {
      const control::RowClaim& wire = envelope.row_claim();
      return RowClaim{{wire.service()}, {wire.version()}, ReadRows(wire)};
    }
    case control::Envelope::kRowHandover: {
      const control::RowHandover& wire = envelope.row_handover();
      RowHandover message{{wire.service()}, {wire.version()},
                          ReadRows(wire),   {},
                          wire.last(),      wire.history_complete()};
      for (const control::FlowHolder& it : wire.flows()) {
        const auto flow = ReadFlowKey(it.flow());
        if (!flow) {
          return std::nullopt;
        }
        message.flows.push_back({*flow, {it.holder()}});
      }
      return message;
    }
    case control::Envelope::kHolderRegister: {
      const control::HolderRegister& wire = envelope.holder_register();
      auto flows = ReadFlowKeys(wire);
      if (!flows) {
        return std::nullopt;
      }
      return HolderRegister{
          {wire.service()}, std::move(*flows), wire.complete()};
    }
    case control::Envelope::kHolderWithdraw: {
      const control::HolderWithdraw& wire = envelope.holder_withdraw();
      auto flows = ReadFlowKeys(wire);
      if (!flows) {
        return std::nullopt;
      }
      return HolderWithdraw{{wire.service()}, std::move(*flows)};
    }
    case control::Envelope::kLoadReport: {
      const control::LoadReport& wire = envelope.load_report();
      return LoadReport{
          {wire.service()}, wire.busy(), wire.limit(), wire.waiting()};
    }
    default:
      return std::nullopt;
  }
}

}  // namespace

control::Endpoint WriteEndpoint(const request::Endpoint& endpoint) {
  control::Endpoint wire;
  wire.set_address(endpoint.address.data(), endpoint.address.size());
  wire.set_port(endpoint.port);
  return wire;
}

std::optional<request::Endpoint> ReadEndpoint(const control::Endpoint& wire) {
  request::Endpoint endpoint;
  if (wire.address().size() != endpoint.address.size() ||
      wire.port() > kMaxPort) {
    return std::nullopt;
  }
  std::copy(wire.address().begin(), wire.address().end(),
            endpoint.address.begin());
  endpoint.port = static_cast<uint16_t>(wire.port());
  return endpoint;
}

void WritePeerMessage(const PeerMessage& message, control::Envelope* envelope) {
  std::visit(PeerMessageWriter{envelope}, message);
}

std::optional<PeerMessage> ReadPeerMessage(const control::Envelope& envelope,
                                           request::Failure* failure) {
  std::optional<PeerMessage> message = ReadMessageBody(envelope);
  if (!message) {
    *failure = {request::ResultCode::kBadMessage,
                "invalid peer message from " + envelope.sender()};
  }
  return message;
}

}  // namespace kumquatvalve::process
