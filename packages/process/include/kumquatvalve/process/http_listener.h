#ifndef KUMQUATVALVE_PROCESS_HTTP_LISTENER_H_
#define KUMQUATVALVE_PROCESS_HTTP_LISTENER_H_

#include <httplib.h>

#include <cstdint>
#include <thread>

#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::process {

/// An HTTP server with one listening and one handler thread. Its requests -
/// scrapes, probes, heartbeats - are rare and short.
class HttpListener {
 public:
  HttpListener();
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /// The server, for adding handlers before `Start`.
  httplib::Server& http() { return http_; }

  /// Binds the endpoint and serves it on threads of its own; port 0 picks a
  /// free one.
  /// @return false and `kSocketError` when the endpoint cannot be bound.
  bool Start(const request::Endpoint& endpoint, request::Failure* failure);

  /// Stops serving and joins the threads.
  void Stop();

  /// The bound port, 0 before `Start`.
  uint16_t port() const { return port_; }

 private:
  httplib::Server http_;
  std::thread thread_;
  uint16_t port_ = 0;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_HTTP_LISTENER_H_
