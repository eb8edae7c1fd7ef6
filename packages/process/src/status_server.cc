#include "kumquatvalve/process/status_server.h"

#include <httplib.h>

#include <utility>

#include "kumquatvalve/process/http_listener.h"
#include "kumquatvalve/process/metrics.h"

namespace kumquatvalve::process {

class StatusServer::Server {
 public:
  explicit Server(Sources sources)
      : sources_(std::move(sources)), listener_(sources_.failed) {
    listener_.http().Get("/metrics", [this](const httplib::Request&,
                                            httplib::Response& response) {
      response.set_content(SerializeMetrics(sources_.metrics),
                           "text/plain; version=0.0.4");
    });
    listener_.http().Get(
        "/healthz", [](const httplib::Request&, httplib::Response& response) {
          response.set_content("ok\n", "text/plain");
        });
    listener_.http().Get("/readyz", [this](const httplib::Request&,
                                           httplib::Response& response) {
      const bool ready = sources_.ready();
      response.status = ready ? 200 : 503;
      response.set_content(ready ? "ok\n" : "not ready\n", "text/plain");
    });
    listener_.http().Get("/status", [this](const httplib::Request&,
                                           httplib::Response& response) {
      response.set_content(sources_.status(), "application/json");
    });
  }

  Sources sources_;
  HttpListener listener_;
};

StatusServer::StatusServer(Sources sources)
    : server_(std::make_unique<Server>(std::move(sources))) {}

StatusServer::~StatusServer() { Stop(); }

bool StatusServer::Start(const request::Endpoint& endpoint,
                         request::Failure* failure) {
  return server_->listener_.Start(endpoint, failure);
}

void StatusServer::Stop() { server_->listener_.Stop(); }

uint16_t StatusServer::port() const { return server_->listener_.port(); }

}  // namespace kumquatvalve::process
