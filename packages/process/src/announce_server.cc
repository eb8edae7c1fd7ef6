#include "kumquatvalve/process/announce_server.h"

#include <httplib.h>

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "kumquatvalve/process/bounded_json.h"
#include "kumquatvalve/process/http_listener.h"
#include "kumquatvalve/version/settings_reader.h"

namespace kumquatvalve::process {
namespace {

constexpr uint64_t kMaxSlots = 65535;
constexpr uint64_t kMaxWeight = 1000;
constexpr size_t kMaxTextBytes = 1024;
constexpr JsonLimits kAnnouncementLimits{
    .max_bytes = 65536, .max_depth = 4, .max_values = 1000};

std::nullopt_t FailWrongType(std::string detail, request::Failure* failure) {
  *failure = {request::ResultCode::kWrongType, std::move(detail)};
  return std::nullopt;
}

// Reads an integer between 1 and `max`; `fallback` when it is missing.
std::optional<uint64_t> ReadOptional(const nlohmann::json& root,
                                     const char* key, uint64_t fallback,
                                     uint64_t max, request::Failure* failure) {
  const auto it = root.find(key);
  if (it == root.end()) {
    return fallback;
  }
  if (!it->is_number()) {
    return FailWrongType(key, failure);
  }
  const auto value = ReadUnsigned(root, key, max);
  if (!value || *value == 0) {
    *failure = {request::ResultCode::kOutOfRange, key};
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::optional<UpstreamAnnouncement> ParseAnnouncement(
    std::string_view text, request::Failure* failure) {
  const auto root = ParseBoundedJson(text, kAnnouncementLimits, failure);
  if (!root) {
    return FailWrongType(failure->detail, failure);
  }
  const auto team = ReadString(*root, "team", kMaxTextBytes);
  const auto service = ReadString(*root, "service", kMaxTextBytes);
  if (!team || !service) {
    return FailWrongType("an announcement needs a team and a service", failure);
  }
  if (!version::IsValidName(*team) || !version::IsValidName(*service)) {
    *failure = {request::ResultCode::kBadName, "team or service"};
    return std::nullopt;
  }
  const auto slots = ReadOptional(*root, "slots", 1, kMaxSlots, failure);
  const auto weight = ReadOptional(*root, "weight", 100, kMaxWeight, failure);
  if (!slots || !weight) {
    return std::nullopt;
  }
  UpstreamAnnouncement announcement;
  announcement.team = request::TeamName(*team);
  announcement.service = request::ServiceName(*service);
  announcement.slots = static_cast<uint32_t>(*slots);
  announcement.weight = static_cast<uint32_t>(*weight);
  if (const auto labels = root->find("labels"); labels != root->end()) {
    if (!labels->is_object()) {
      return FailWrongType("labels", failure);
    }
    for (const auto& [key, value] : labels->items()) {
      if (!value.is_string()) {
        return FailWrongType("label " + key, failure);
      }
      announcement.labels[key] = value.get<std::string>();
    }
  }
  return announcement;
}

// The HTTP handlers set the announcement on a thread of the listener;
// `TakeChange` reads it on the caller's.
class AnnounceServer::Server {
 public:
  Server() {
    listener_.http().set_payload_max_length(65536);
    listener_.http().Put(
        "/announcement",
        [this](const httplib::Request& request, httplib::Response& response) {
          request::Failure failure;
          auto announcement = ParseAnnouncement(request.body, &failure);
          if (!announcement) {
            response.status = 400;
            response.set_content(ToString(failure) + "\n", "text/plain");
            return;
          }
          SetAnnouncement(std::move(announcement));
          response.set_content("ok\n", "text/plain");
        });
    listener_.http().Delete(
        "/announcement",
        [this](const httplib::Request&, httplib::Response& response) {
          SetAnnouncement(std::nullopt);
          response.set_content("ok\n", "text/plain");
        });
  }

  void SetAnnouncement(std::optional<UpstreamAnnouncement> announcement) {
    const std::lock_guard lock(mutex_);
    if (announcement != announcement_) {
      announcement_ = std::move(announcement);
      changed_ = true;
    }
  }

  HttpListener listener_;
  std::mutex mutex_;
  std::optional<UpstreamAnnouncement> announcement_;
  bool changed_ = false;
};

AnnounceServer::AnnounceServer() : server_(std::make_unique<Server>()) {}

AnnounceServer::~AnnounceServer() { Stop(); }

bool AnnounceServer::Start(const request::Endpoint& endpoint,
                           request::Failure* failure) {
  return server_->listener_.Start(endpoint, failure);
}

void AnnounceServer::Stop() { server_->listener_.Stop(); }

std::optional<std::optional<UpstreamAnnouncement>>
AnnounceServer::TakeChange() {
  const std::lock_guard lock(server_->mutex_);
  if (!std::exchange(server_->changed_, false)) {
    return std::nullopt;
  }
  return server_->announcement_;
}

uint16_t AnnounceServer::port() const { return server_->listener_.port(); }

}  // namespace kumquatvalve::process
