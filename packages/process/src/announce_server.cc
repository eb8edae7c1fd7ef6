#include "kumquatvalve/process/announce_server.h"

#include <httplib.h>

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "kumquatvalve/process/http_listener.h"
#include "kumquatvalve/version/settings_reader.h"

namespace kumquatvalve::process {
namespace {

constexpr int64_t kMaxSlots = 65535;
constexpr int64_t kMaxWeight = 1000;

}  // namespace

std::optional<UpstreamAnnouncement> ParseAnnouncement(
    std::string_view text, request::Failure* failure) {
  try {
    const nlohmann::json root = nlohmann::json::parse(text);
    const auto team = root.at("team").get<std::string>();
    const auto service = root.at("service").get<std::string>();
    const int64_t slots = root.value("slots", int64_t{1});
    const int64_t weight = root.value("weight", int64_t{100});
    if (!version::IsValidName(team) || !version::IsValidName(service)) {
      *failure = {request::ResultCode::kBadName, "team or service"};
      return std::nullopt;
    }
    if (slots < 1 || slots > kMaxSlots || weight < 1 || weight > kMaxWeight) {
      *failure = {request::ResultCode::kOutOfRange, "slots or weight"};
      return std::nullopt;
    }
    UpstreamAnnouncement announcement;
    announcement.team = request::TeamName(team);
    announcement.service = request::ServiceName(service);
    announcement.slots = static_cast<uint32_t>(slots);
    announcement.weight = static_cast<uint32_t>(weight);
    announcement.labels =
        root.value("labels", std::map<std::string, std::string>());
    return announcement;
  } catch (const nlohmann::json::exception& ex) {
    *failure = {request::ResultCode::kWrongType, ex.what()};
    return std::nullopt;
  }
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
