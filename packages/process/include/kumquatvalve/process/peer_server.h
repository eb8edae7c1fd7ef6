#ifndef KUMQUATVALVE_PROCESS_PEER_SERVER_H_
#define KUMQUATVALVE_PROCESS_PEER_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "kumquatvalve/process/peer_snapshot.h"
#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::process {

/// Answers other entry instances and sidecars that the store does not serve,
/// over HTTP: GET /snapshot and POST /record.
class PeerServer {
 public:
  struct Handlers {
    std::function<PeerSnapshot()> snapshot;
    /// @return false and a reason when the record cannot be read.
    std::function<bool(const std::string& record, request::Failure* failure)>
        record;
  };

  explicit PeerServer(Handlers handlers);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /// @return false and `kSocketError` when the endpoint is not free.
  bool Start(const request::Endpoint& endpoint, request::Failure* failure);

  /// The port in use; differs from the one asked for when that was 0.
  uint16_t port() const;

 private:
  class Server;
  std::unique_ptr<Server> server_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_PEER_SERVER_H_
