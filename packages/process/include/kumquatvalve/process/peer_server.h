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

/// HTTP server of an entry instance for peers and sidecars that cannot reach
/// the store: GET /snapshot returns the configuration and upstream records, GET
/// /address-history the earlier services of addresses,
/// POST /record announces a record and returns a later one that is in use
/// instead.
class PeerServer {
 public:
  /// The functions are called on the server's thread.
  struct Handlers {
    std::function<PeerSnapshot()> snapshot;
    /// Returns the JSON of `EncodeAddressHistory`.
    std::function<std::string()> address_history;
    /// Returns false and sets `failure` when the record cannot be read. Sets
    /// `later_record` when it is of an earlier start than the record in use.
    std::function<bool(const std::string& record, std::string* later_record,
                       request::Failure* failure)>
        record;
    /// A handler threw an exception with this text.
    std::function<void(const std::string&)> failed;
  };

  explicit PeerServer(Handlers handlers);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /// Binds the endpoint and serves it on a thread of its own; port 0 picks a
  /// free one.
  /// @return false and `kSocketError` when the endpoint cannot be bound.
  bool Start(const request::Endpoint& endpoint, request::Failure* failure);

  /// The bound port.
  uint16_t port() const;

 private:
  class Server;
  std::unique_ptr<Server> server_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_PEER_SERVER_H_
