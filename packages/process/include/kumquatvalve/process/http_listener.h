#ifndef KUMQUATVALVE_PROCESS_HTTP_LISTENER_H_
#define KUMQUATVALVE_PROCESS_HTTP_LISTENER_H_

#include <httplib.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::process {

/// An HTTP server with one listening and one handler thread. Its requests -
/// scrapes, probes, heartbeats - are rare and short. A request whose path is
/// longer than `kMaxPathBytes` is answered with status 414, one whose handler
/// throws an exception with 500.
class HttpListener {
 public:
  /// @param on_exception receives the text of an exception that a handler
  ///   threw, on the handler's thread; may be empty.
  explicit HttpListener(
      std::function<void(const std::string&)> on_exception = nullptr);
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

  /// The library matches paths with regular expressions, which recurse for
  /// each character.
  static constexpr size_t kMaxPathBytes = 512;

 private:
  httplib::Server http_;
  std::thread thread_;
  uint16_t port_ = 0;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_HTTP_LISTENER_H_
