#include "kumquatvalve/process/peer_server.h"

#include <httplib.h>
#include <xxhash.h>

#include <utility>

#include "kumquatvalve/process/http_listener.h"

namespace kumquatvalve::process {
namespace {

constexpr size_t kMaxRecordBytes = 65536;

constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr int kBadRequest = 400;

std::string EntityTag(const std::string& text) {
  return "\"" + std::to_string(XXH64(text.data(), text.size(), 0)) + "\"";
}

}  // namespace

class PeerServer::Server {
 public:
  explicit Server(Handlers handlers)
      : handlers_(std::move(handlers)), listener_(handlers_.failed) {
    listener_.http().set_payload_max_length(kMaxRecordBytes);
    listener_.http().Get("/snapshot", [this](const httplib::Request& request,
                                             httplib::Response& response) {
      const std::string text = EncodePeerSnapshot(handlers_.snapshot());
      const std::string etag = EntityTag(text);
      response.set_header("ETag", etag);
      if (request.get_header_value("If-None-Match") == etag) {
        response.status = kNotModified;
        return;
      }
      response.status = kOk;
      response.set_content(text, "application/json");
    });
    listener_.http().Get(
        "/address-history",
        [this](const httplib::Request&, httplib::Response& response) {
          response.status = kOk;
          response.set_content(handlers_.address_history(), "application/json");
        });
    listener_.http().Post("/record", [this](const httplib::Request& request,
                                            httplib::Response& response) {
      request::Failure failure;
      std::string later_record;
      const bool readable =
          handlers_.record(request.body, &later_record, &failure);
      response.status = readable ? kOk : kBadRequest;
      if (!later_record.empty()) {
        response.set_content(later_record, "application/json");
      } else {
        response.set_content(readable ? "ok\n" : ToString(failure) + "\n",
                             "text/plain");
      }
    });
  }

  HttpListener& listener() { return listener_; }

 private:
  Handlers handlers_;
  HttpListener listener_;
};

PeerServer::PeerServer(Handlers handlers)
    : server_(std::make_unique<Server>(std::move(handlers))) {}

PeerServer::~PeerServer() { server_->listener().Stop(); }

bool PeerServer::Start(const request::Endpoint& endpoint,
                       request::Failure* failure) {
  return server_->listener().Start(endpoint, failure);
}

uint16_t PeerServer::port() const { return server_->listener().port(); }

}  // namespace kumquatvalve::process
