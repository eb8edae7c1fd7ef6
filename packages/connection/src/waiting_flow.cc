#include "kumquatvalve/connection/waiting_flow.h"

namespace kumquatvalve::connection {

request::ParsedPacket WaitingFlow::ToPacket() const {
  request::ParsedPacket packet;
  packet.flow = flow;
  packet.syn = true;
  packet.sequence = caller_isn;
  packet.bytes = bytes;
  return packet;
}

}  // namespace kumquatvalve::connection
