#ifndef KUMQUATVALVE_PROCESS_STATUS_SERVER_H_
#define KUMQUATVALVE_PROCESS_STATUS_SERVER_H_

#include <prometheus/collectable.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::process {

/// HTTP server for operators: /metrics (Prometheus text format), /healthz (200
/// while the process runs), /readyz (200, or 503 when the process is not ready)
/// and /status (JSON).
class StatusServer {
 public:
  /// The functions are called on the server's thread.
  struct Sources {
    std::vector<std::shared_ptr<prometheus::Collectable>> metrics;
    /// Whether the process should receive packets.
    std::function<bool()> ready;
    /// Returns a JSON object.
    std::function<std::string()> status;
    /// A handler threw an exception with this text.
    std::function<void(const std::string&)> failed;
  };

  explicit StatusServer(Sources sources);
  ~StatusServer();
  StatusServer(const StatusServer&) = delete;
  StatusServer& operator=(const StatusServer&) = delete;

  /// Binds the endpoint and serves it on a thread of its own; port 0 picks a
  /// free one.
  /// @return false and `kSocketError` when the endpoint cannot be bound.
  bool Start(const request::Endpoint& endpoint, request::Failure* failure);

  /// Stops serving and joins the server's thread.
  void Stop();

  /// The bound port.
  uint16_t port() const;

 private:
  class Server;

  std::unique_ptr<Server> server_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_STATUS_SERVER_H_
