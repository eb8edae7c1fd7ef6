#ifndef KUMQUATVALVE_CONNECTION_ROUTER_SINK_H_
#define KUMQUATVALVE_CONNECTION_ROUTER_SINK_H_

#include <cstddef>
#include <span>

#include "kumquatvalve/connection/peer_message.h"
#include "kumquatvalve/request/forward_header.h"
#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::connection {

/// Receives the packets and messages that a sidecar's router sends. Bytes must
/// be used or copied before the call returns.
template <typename S>
concept RouterSink = requires(S sink, std::span<const std::byte> packet,
                              const request::ForwardHeader& header,
                              request::InstanceId peer,
                              const PeerMessage& message,
                              request::ResultCode code) {
  // Sends a packet to the local upstream.
  sink.Deliver(packet);
  // Sends a packet to the data endpoint of another sidecar of the service.
  sink.Forward(peer, header, packet);
  // Sends a packet to the caller through the fabric.
  sink.Answer(packet);
  // Sends a message to the control endpoint of another sidecar of the service.
  sink.Send(peer, message);
  // Records why a packet was not delivered, or why a flow was refused or ended.
  sink.Drop(code);
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_ROUTER_SINK_H_
