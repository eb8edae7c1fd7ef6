#ifndef KUMQUATVALVE_PROCESS_PEER_CODEC_H_
#define KUMQUATVALVE_PROCESS_PEER_CODEC_H_

#include <optional>

#include "kumquatvalve/connection/peer_message.h"
#include "kumquatvalve/process/control.pb.h"
#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::process {

control::Endpoint WriteEndpoint(const request::Endpoint& endpoint);

/// @return nothing when the address is not 16 bytes long or the port is out of
///   range.
std::optional<request::Endpoint> ReadEndpoint(const control::Endpoint& wire);

/// Encodes a message as the body of an envelope.
void WritePeerMessage(const connection::PeerMessage& message,
                      control::Envelope* envelope);

/// Decodes the body of an envelope.
/// @return nothing and `kBadMessage` when the body is not a peer message or a
///   field is invalid; a message is never decoded in part.
std::optional<connection::PeerMessage> ReadPeerMessage(
    const control::Envelope& envelope, request::Failure* failure);

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_PEER_CODEC_H_
