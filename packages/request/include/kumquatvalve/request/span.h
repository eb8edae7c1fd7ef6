#ifndef KUMQUATVALVE_REQUEST_SPAN_H_
#define KUMQUATVALVE_REQUEST_SPAN_H_

#include <cstdint>

#include "kumquatvalve/request/packet.h"

namespace kumquatvalve::request {

/// Identifies one hop of a packet in a trace. All hops compute the trace id
/// from the packet, so no header field has to carry it and all processes sample
/// the same packets.
struct SpanContext {
  uint64_t trace_id = 0;
  uint64_t span_id = 0;
  /// Span id of the previous hop; 0 at the first hop.
  uint64_t parent_id = 0;
};

/// The trace id of a packet: a hash of its flow, TCP sequence and
/// acknowledgment numbers and timestamp. It is not keyed, since only sampling
/// depends on it.
uint64_t TraceIdOf(const ParsedPacket& packet);

/// True for one of `one_in` trace ids; never for 0.
bool IsSampled(uint64_t trace_id, uint32_t one_in);

/// The span context of hop number `hop`, counted from 1.
SpanContext SpanOfHop(uint64_t trace_id, uint8_t hop);

}  // namespace kumquatvalve::request

#endif  // KUMQUATVALVE_REQUEST_SPAN_H_
