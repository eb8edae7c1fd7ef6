#include "kumquatvalve/process/tracing.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace kumquatvalve::process {
namespace {

using opentracing::string_view;

// Maximum number of queued lines between two flushes of the control thread. At
// about 250 bytes per line it limits the queue to 1 MB.
constexpr size_t kMaxQueuedLines = 4096;

// @return 16 hexadecimal digits.
std::string ToHex(uint64_t number) {
  std::array<char, 17> buf;
  std::snprintf(buf.data(), buf.size(), "%016llx",
                static_cast<unsigned long long>(number));
  return buf.data();
}

// The span of one hop; its ids follow from the trace id and the hop number.
class HopSpanContext : public opentracing::SpanContext {
 public:
  HopSpanContext(uint64_t trace_id, uint8_t hop)
      : trace_id_(trace_id), hop_(hop) {}

  void ForeachBaggageItem(
      std::function<bool(const std::string&, const std::string&)> /*f*/)
      const override {}
  std::unique_ptr<opentracing::SpanContext> Clone() const noexcept override {
    return std::make_unique<HopSpanContext>(trace_id_, hop_);
  }
  std::string ToTraceID() const noexcept override { return ToHex(trace_id_); }
  std::string ToSpanID() const noexcept override {
    return ToHex(request::SpanOfHop(trace_id_, hop_).span_id);
  }

  uint64_t trace_id() const { return trace_id_; }
  uint8_t hop() const { return hop_; }

 private:
  uint64_t trace_id_;
  uint8_t hop_;
};

std::string TagToString(const opentracing::Value& value) {
  if (value.is<std::string>()) {
    return value.get<std::string>();
  }
  if (value.is<const char*>()) {
    return value.get<const char*>();
  }
  if (value.is<string_view>()) {
    return value.get<string_view>();
  }
  if (value.is<uint64_t>()) {
    return std::to_string(value.get<uint64_t>());
  }
  if (value.is<int64_t>()) {
    return std::to_string(value.get<int64_t>());
  }
  if (value.is<bool>()) {
    return value.get<bool>() ? "true" : "false";
  }
  return "";
}

// Appends itself to the file as one line of Zipkin JSON when it is finished or
// destroyed. Log fields become tags.
class ZipkinSpan : public opentracing::Span {
 public:
  ZipkinSpan(std::shared_ptr<const opentracing::Tracer> tracer,
             std::string service, SpanFile* file, HopSpanContext context,
             string_view name, const opentracing::StartSpanOptions& options)
      : tracer_(std::move(tracer)),
        service_(std::move(service)),
        file_(file),
        context_(std::move(context)),
        name_(name),
        start_(options.start_system_timestamp) {
    if (start_ == opentracing::SystemTime()) {
      start_ = std::chrono::system_clock::now();
    }
    for (const auto& [key, value] : options.tags) {
      tags_[key] = TagToString(value);
    }
  }
  ~ZipkinSpan() override { WriteOnce(); }

  void FinishWithOptions(
      const opentracing::FinishSpanOptions& /*options*/) noexcept override {
    WriteOnce();
  }
  void SetOperationName(string_view name) noexcept override { name_ = name; }
  void SetTag(string_view key,
              const opentracing::Value& value) noexcept override {
    tags_[key] = TagToString(value);
  }
  void SetBaggageItem(string_view /*key*/,
                      string_view /*value*/) noexcept override {}
  std::string BaggageItem(string_view /*key*/) const noexcept override {
    return {};
  }
  void Log(std::initializer_list<std::pair<string_view, opentracing::Value>>
               fields) noexcept override {
    for (const auto& [key, value] : fields) {
      tags_[key] = TagToString(value);
    }
  }
  void Log(opentracing::SystemTime /*time*/,
           std::initializer_list<std::pair<string_view, opentracing::Value>>
               fields) noexcept override {
    Log(fields);
  }
  void Log(opentracing::SystemTime /*time*/,
           const std::vector<std::pair<string_view, opentracing::Value>>&
               fields) noexcept override {
    for (const auto& [key, value] : fields) {
      tags_[key] = TagToString(value);
    }
  }
  const opentracing::SpanContext& context() const noexcept override {
    return context_;
  }
  const opentracing::Tracer& tracer() const noexcept override {
    return *tracer_;
  }

 private:
  void WriteOnce() {
    if (std::exchange(written_, true)) {
      return;
    }
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    const auto duration =
        duration_cast<microseconds>(std::chrono::system_clock::now() - start_);
    const request::SpanContext ids =
        request::SpanOfHop(context_.trace_id(), context_.hop());
    nlohmann::json line;
    line["traceId"] = ToHex(ids.trace_id);
    line["id"] = ToHex(ids.span_id);
    if (ids.parent_id != 0) {
      line["parentId"] = ToHex(ids.parent_id);
    }
    line["name"] = name_;
    line["timestamp"] =
        duration_cast<microseconds>(start_.time_since_epoch()).count();
    // Zipkin takes a span of duration 0 for an unfinished one.
    line["duration"] = std::max<int64_t>(duration.count(), 1);
    line["localEndpoint"] = {{"serviceName", service_}};
    line["tags"] = tags_;
    file_->Add(
        line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  }

  std::shared_ptr<const opentracing::Tracer> tracer_;
  std::string service_;
  SpanFile* file_;
  HopSpanContext context_;
  std::string name_;
  opentracing::SystemTime start_;
  std::map<std::string, std::string> tags_;
  bool written_ = false;
};

class ZipkinTracer : public opentracing::Tracer,
                     public std::enable_shared_from_this<ZipkinTracer> {
 public:
  ZipkinTracer(std::string service, SpanFile* file)
      : service_(std::move(service)), file_(file) {}

  std::unique_ptr<opentracing::Span> StartSpanWithOptions(
      string_view name,
      const opentracing::StartSpanOptions& options) const noexcept override {
    HopSpanContext context(0, 1);
    for (const auto& [kind, reference] : options.references) {
      const auto* parent = dynamic_cast<const HopSpanContext*>(reference);
      if (parent != nullptr) {
        context = HopSpanContext(parent->trace_id(),
                                 static_cast<uint8_t>(parent->hop() + 1));
      }
    }
    return std::make_unique<ZipkinSpan>(shared_from_this(), service_, file_,
                                        context, name, options);
  }

  // Packets carry no span context: each hop computes it from the packet.
  opentracing::expected<void> Inject(
      const opentracing::SpanContext& /*context*/,
      std::ostream& /*writer*/) const override {
    return opentracing::make_unexpected(opentracing::invalid_carrier_error);
  }
  opentracing::expected<void> Inject(
      const opentracing::SpanContext& /*context*/,
      const opentracing::TextMapWriter& /*writer*/) const override {
    return opentracing::make_unexpected(opentracing::invalid_carrier_error);
  }
  opentracing::expected<void> Inject(
      const opentracing::SpanContext& /*context*/,
      const opentracing::HTTPHeadersWriter& /*writer*/) const override {
    return opentracing::make_unexpected(opentracing::invalid_carrier_error);
  }
  opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
      std::istream& /*reader*/) const override {
    return std::unique_ptr<opentracing::SpanContext>();
  }
  opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
      const opentracing::TextMapReader& /*reader*/) const override {
    return std::unique_ptr<opentracing::SpanContext>();
  }
  opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
      const opentracing::HTTPHeadersReader& /*reader*/) const override {
    return std::unique_ptr<opentracing::SpanContext>();
  }

 private:
  std::string service_;
  SpanFile* file_;
};

}  // namespace

SpanFile::SpanFile(const std::string& path)
    : file_(path, std::ios::app | std::ios::out) {}

std::unique_ptr<SpanFile> SpanFile::Open(const std::string& path,
                                         request::Failure* failure) {
  std::unique_ptr<SpanFile> file(new SpanFile(path));
  if (!file->file_) {
    *failure = {request::ResultCode::kUnreadableFile,
                "cannot open trace file " + path};
    return nullptr;
  }
  return file;
}

void SpanFile::Add(std::string line) {
  const std::lock_guard lock(mutex_);
  if (lines_.size() >= kMaxQueuedLines) {
    ++dropped_;
    return;
  }
  lines_.push_back(std::move(line));
}

void SpanFile::Flush() {
  std::vector<std::string> lines;
  {
    const std::lock_guard lock(mutex_);
    lines.swap(lines_);
  }
  for (const std::string& it : lines) {
    file_ << it << '\n';
  }
  if (!lines.empty()) {
    file_.flush();
  }
}

uint64_t SpanFile::dropped() const {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

std::shared_ptr<opentracing::Tracer> MakeZipkinTracer(std::string service,
                                                      SpanFile* file) {
  return std::make_shared<ZipkinTracer>(std::move(service), file);
}

std::unique_ptr<opentracing::SpanContext> MakeSpanContext(uint64_t trace_id,
                                                          uint8_t hop) {
  return std::make_unique<HopSpanContext>(trace_id, hop);
}

void HopTracer::RecordHop(const request::ParsedPacket& packet,
                          const request::ForwardHeader& header,
                          const char* operation) {
  const uint64_t trace_id = request::TraceIdOf(packet);
  if (!request::IsSampled(trace_id, one_in_)) {
    return;
  }
  const HopSpanContext parent(
      trace_id, header.hops > 0 ? static_cast<uint8_t>(header.hops - 1) : 0);
  const auto span =
      tracer_->StartSpan(operation, {opentracing::ChildOf(&parent)});
  span->SetTag("service", header.service.value);
  span->SetTag("row", header.row.value);
  span->SetTag("flow", ToString(packet.flow.caller));
}

}  // namespace kumquatvalve::process
