#ifndef KUMQUATVALVE_PROCESS_HTTP_LISTENER_H_
#define KUMQUATVALVE_PROCESS_HTTP_LISTENER_H_

#include <httplib.h>

#include <cstdint>
#include <thread>

#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::process {

/// An HTTP server with one thread: scrapes, probes and heartbeats are rare and
/// short.
class HttpListener {
 public:
  HttpListener();
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /// Handlers are to be added before `Start`.
  httplib::Server& http() { return http_; }

  /// Binds the endpoint and serves it on a thread of its own.
  /// @return false and `kSocketError` in `failure`.
  bool Start(const request::Endpoint& endpoint, request::Failure* failure);

  void Stop();

  /// The port in use; differs from the one asked for when that was 0.
  uint16_t port() const { return port_; }

 private:
  httplib::Server http_;
  std::thread thread_;
  uint16_t port_ = 0;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_HTTP_LISTENER_H_
