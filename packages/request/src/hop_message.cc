#include "kumquatvalve/request/hop_message.h"

#include <netinet/in.h>
#include <xxhash.h>

#include <algorithm>
#include <concepts>

namespace kumquatvalve::request {
namespace {

// First byte of every message; another layout must have another value.
constexpr uint8_t kLayout = 0xC1;

constexpr uint8_t kProbeFlag = 1U << 0;
constexpr uint8_t kDrainingFlag = 1U << 1;
constexpr uint8_t kUnresponsiveFlag = 1U << 2;
constexpr uint8_t kFinalOfferFlag = 1U << 3;
constexpr uint8_t kInconclusiveListFlag = 1U << 4;
constexpr uint8_t kTargetFlag = 1U << 5;
constexpr uint8_t kMissedOnlyFirstFlowsFlag = 1U << 6;

// Times are encoded in 16 bits.
constexpr int64_t kMaxTimeMs = 65535;

class Writer {
 public:
  explicit Writer(HopBuffer* buf) : buf_(buf) {}

  template <std::unsigned_integral T>
  void Put(T value) {
    for (size_t i = sizeof(T); i-- > 0;) {
      buf_->bytes[buf_->size++] =
          static_cast<std::byte>(static_cast<uint64_t>(value) >> (8 * i));
    }
  }

  void Put(std::chrono::milliseconds time) {
    Put(static_cast<uint16_t>(
        std::clamp<int64_t>(time.count(), 0, kMaxTimeMs)));
  }

  void Put(const Endpoint& endpoint) {
    for (const uint8_t it : endpoint.address) {
      Put(it);
    }
    Put(endpoint.port);
  }

 private:
  HopBuffer* buf_;
};

class Reader {
 public:
  explicit Reader(std::span<const std::byte> bytes) : bytes_(bytes) {}

  template <std::unsigned_integral T>
  T Get() {
    uint64_t value = 0;
    for (size_t i = 0; i < sizeof(T); ++i) {
      value = value << 8 | NextByte();
    }
    return static_cast<T>(value);
  }

  Endpoint GetEndpoint() {
    Endpoint endpoint;
    for (uint8_t& it : endpoint.address) {
      it = Get<uint8_t>();
    }
    endpoint.port = Get<uint16_t>();
    return endpoint;
  }

  bool ok() const { return ok_; }
  std::span<const std::byte> rest() const { return bytes_.subspan(position_); }

 private:
  uint8_t NextByte() {
    if (position_ >= bytes_.size()) {
      ok_ = false;
      return 0;
    }
    return static_cast<uint8_t>(bytes_[position_++]);
  }

  std::span<const std::byte> bytes_;
  size_t position_ = 0;
  bool ok_ = true;
};

bool CarriesFlow(HopKind kind) {
  return kind == HopKind::kLocate || kind == HopKind::kHeld ||
         kind == HopKind::kNotHeld || kind == HopKind::kInconclusive;
}

bool MayPrecedeBytes(HopKind kind) {
  return kind == HopKind::kPacket || kind == HopKind::kReturned ||
         kind == HopKind::kFlows;
}

bool CarriesFlowList(HopKind kind) {
  return kind == HopKind::kList || kind == HopKind::kFlows;
}

bool CarriesMaxWait(const HopMessage& message) {
  return message.kind == HopKind::kPacket && message.final_offer;
}

bool CarriesTarget(const HopMessage& message) {
  return CarriesMaxWait(message) && message.target_remaining.count() > 0;
}

uint8_t EncodeFlags(const HopMessage& message) {
  return (message.probe ? kProbeFlag : 0) |
         (message.final_offer ? kFinalOfferFlag : 0) |
         (message.load.draining ? kDrainingFlag : 0) |
         (message.load.unresponsive ? kUnresponsiveFlag : 0) |
         (message.list.inconclusive ? kInconclusiveListFlag : 0) |
         (CarriesTarget(message) ? kTargetFlag : 0) |
         (message.missed_only_first_flows ||
                  message.list.missed_only_first_flows
              ? kMissedOnlyFirstFlowsFlag
              : 0);
}

// Kinds other than `kReturned` have no reason. Their optional value travels in
// its byte, plus one, since earlier versions ignore the byte and send 0 there.
uint8_t EncodeReasonByte(const HopMessage& message) {
  const auto encode = [](const std::optional<uint8_t>& value, uint8_t max) {
    return static_cast<uint8_t>(value ? std::min(*value, max) + 1 : 0);
  };
  switch (message.kind) {
    case HopKind::kPacket:
      return encode(message.priority, kMaxHopPriority);
    case HopKind::kLoad:
      return encode(message.load.warm_up_allowance, kMaxWarmUpAllowance);
    default:
      return static_cast<uint8_t>(message.reason);
  }
}

void DecodeReasonByte(uint8_t byte, HopMessage* message) {
  const std::optional<uint8_t> value =
      byte == 0 ? std::nullopt : std::optional(static_cast<uint8_t>(byte - 1));
  switch (message->kind) {
    case HopKind::kPacket:
      message->priority = value;
      break;
    case HopKind::kLoad:
      message->load.warm_up_allowance = value;
      break;
    default:
      message->reason = static_cast<ReturnReason>(byte);
      break;
  }
}

}  // namespace

ServiceTag ServiceTagOf(std::string_view name) {
  return {XXH64(name.data(), name.size(), 0)};
}

std::string_view Name(ReturnReason reason) {
  switch (reason) {
    case ReturnReason::kNone:
      return "none";
    case ReturnReason::kDraining:
      return "draining";
    case ReturnReason::kUnresponsive:
      return "unresponsive";
    case ReturnReason::kRejected:
      return "rejected";
    case ReturnReason::kWrongService:
      return "wrong_service";
    case ReturnReason::kQueueFull:
      return "queue_full";
  }
  return "unknown";
}

HopBuffer EncodeHopMessage(const HopMessage& message) {
  HopBuffer buf;
  Writer writer(&buf);
  writer.Put(kLayout);
  writer.Put(static_cast<uint8_t>(message.kind));
  writer.Put(EncodeFlags(message));
  writer.Put(EncodeReasonByte(message));
  writer.Put(message.service.value);
  if (CarriesMaxWait(message)) {
    writer.Put(message.max_wait);
  }
  if (CarriesTarget(message)) {
    writer.Put(message.target_remaining);
  }
  if (CarriesFlow(message.kind)) {
    writer.Put(message.flow.caller);
    writer.Put(message.flow.service);
    writer.Put(message.acknowledgment);
  }
  if (message.kind == HopKind::kLoad) {
    writer.Put(message.load.incarnation_ms);
    writer.Put(message.load.slots);
    writer.Put(message.load.in_progress);
    writer.Put(message.load.opening);
    writer.Put(message.load.open_flows);
    writer.Put(message.load.service_time_us);
  }
  if (message.kind == HopKind::kServiceLimits) {
    writer.Put(message.warm_up_per_second_tenths);
  }
  if (CarriesFlowList(message.kind)) {
    writer.Put(message.list.round);
    writer.Put(message.list.part);
    writer.Put(message.list.parts);
  }
  return buf;
}

uint32_t FlowFingerprint(const FlowKey& flow) {
  HopBuffer buf;
  Writer writer(&buf);
  writer.Put(flow.caller);
  writer.Put(flow.service);
  return static_cast<uint32_t>(XXH64(buf.bytes.data(), buf.size, 0));
}

std::vector<std::byte> EncodeFingerprints(std::span<const uint32_t> values) {
  std::vector<std::byte> bytes;
  bytes.reserve(values.size() * sizeof(uint32_t));
  for (const uint32_t it : values) {
    for (int shift = 24; shift >= 0; shift -= 8) {
      bytes.push_back(static_cast<std::byte>(it >> shift));
    }
  }
  return bytes;
}

std::vector<uint32_t> DecodeFingerprints(std::span<const std::byte> bytes) {
  std::vector<uint32_t> values;
  values.reserve(bytes.size() / sizeof(uint32_t));
  Reader reader(bytes);
  for (size_t i = 0; i < bytes.size() / sizeof(uint32_t); ++i) {
    values.push_back(reader.Get<uint32_t>());
  }
  return values;
}

std::optional<HopMessage> DecodeHopMessage(std::span<const std::byte> datagram,
                                           std::span<const std::byte>* packet,
                                           Failure* failure) {
  Reader reader(datagram);
  const auto layout = reader.Get<uint8_t>();
  HopMessage message;
  message.kind = static_cast<HopKind>(reader.Get<uint8_t>());
  const auto flags = reader.Get<uint8_t>();
  DecodeReasonByte(reader.Get<uint8_t>(), &message);
  message.service.value = reader.Get<uint64_t>();
  message.probe = (flags & kProbeFlag) != 0;
  message.final_offer = (flags & kFinalOfferFlag) != 0;
  if (CarriesMaxWait(message)) {
    message.max_wait = std::chrono::milliseconds(reader.Get<uint16_t>());
    if ((flags & kTargetFlag) != 0) {
      message.target_remaining =
          std::chrono::milliseconds(reader.Get<uint16_t>());
    }
  }
  if (CarriesFlow(message.kind)) {
    message.flow.caller = reader.GetEndpoint();
    message.flow.service = reader.GetEndpoint();
    message.flow.protocol = IPPROTO_TCP;
    message.acknowledgment = reader.Get<uint32_t>();
    message.missed_only_first_flows = (flags & kMissedOnlyFirstFlowsFlag) != 0;
  }
  if (message.kind == HopKind::kLoad) {
    message.load.incarnation_ms = reader.Get<uint64_t>();
    message.load.slots = reader.Get<uint16_t>();
    message.load.in_progress = reader.Get<uint16_t>();
    message.load.opening = reader.Get<uint16_t>();
    message.load.open_flows = reader.Get<uint32_t>();
    message.load.service_time_us = reader.Get<uint32_t>();
    message.load.draining = (flags & kDrainingFlag) != 0;
    message.load.unresponsive = (flags & kUnresponsiveFlag) != 0;
  }
  if (message.kind == HopKind::kServiceLimits) {
    message.warm_up_per_second_tenths = reader.Get<uint16_t>();
  }
  if (CarriesFlowList(message.kind)) {
    message.list.round = reader.Get<uint32_t>();
    message.list.part = reader.Get<uint16_t>();
    message.list.parts = reader.Get<uint16_t>();
    message.list.inconclusive = (flags & kInconclusiveListFlag) != 0;
    message.list.missed_only_first_flows =
        (flags & kMissedOnlyFirstFlowsFlag) != 0;
  }
  const bool is_known_kind = message.kind >= HopKind::kPacket &&
                             message.kind <= HopKind::kServiceLimits;
  if (!reader.ok() || layout != kLayout || !is_known_kind ||
      (!MayPrecedeBytes(message.kind) && !reader.rest().empty())) {
    *failure = {ResultCode::kBadMessage, "a datagram of " +
                                             std::to_string(datagram.size()) +
                                             " bytes is not a hop message"};
    return std::nullopt;
  }
  *packet = reader.rest();
  return message;
}

}  // namespace kumquatvalve::request
