#ifndef KUMQUATVALVE_PROCESS_TRACING_H_
#define KUMQUATVALVE_PROCESS_TRACING_H_

#include <opentracing/tracer.h>

#include <cstddef>
#include <cstdint>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "kumquatvalve/request/forward_header.h"
#include "kumquatvalve/request/packet.h"
#include "kumquatvalve/request/result_code.h"
#include "kumquatvalve/request/span.h"

namespace kumquatvalve::process {

/// Collects finished spans as Zipkin v2 JSON objects and appends them to a
/// file, one per line. `Add` may be called from any thread.
class SpanFile {
 public:
  /// @return null and `kUnreadableFile` when the file cannot be opened.
  static std::unique_ptr<SpanFile> Open(const std::string& path,
                                        request::Failure* failure);

  /// Queues a line until the next `Flush`; drops and counts it when the queue
  /// is full.
  void Add(std::string line);

  /// Writes the queued lines; called by the control thread.
  void Flush();

  uint64_t dropped() const;

 private:
  explicit SpanFile(const std::string& path);

  mutable std::mutex mutex_;
  std::vector<std::string> lines_;
  uint64_t dropped_ = 0;
  std::ofstream file_;
};

/// Creates an OpenTracing tracer whose finished spans go to `file`.
/// @param service name of this process in the spans.
std::shared_ptr<opentracing::Tracer> MakeZipkinTracer(std::string service,
                                                      SpanFile* file);

/// Creates the context of hop `hop` of a trace for `opentracing::ChildOf`;
/// another process may have recorded the hop. With hop 0 the child becomes the
/// root.
std::unique_ptr<opentracing::SpanContext> MakeSpanContext(uint64_t trace_id,
                                                          uint8_t hop);

/// Records a span for each sampled packet that passes through this process. May
/// be used from any thread.
class HopTracer {
 public:
  /// @param one_in one packet of this many is traced.
  HopTracer(std::shared_ptr<opentracing::Tracer> tracer, uint32_t one_in)
      : tracer_(std::move(tracer)), one_in_(one_in) {}

  /// Records hop `header.hops` of a packet if the packet is sampled.
  /// @param operation what was done with the packet, for example "route".
  void RecordHop(const request::ParsedPacket& packet,
                 const request::ForwardHeader& header, const char* operation);

 private:
  std::shared_ptr<opentracing::Tracer> tracer_;
  uint32_t one_in_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_TRACING_H_
