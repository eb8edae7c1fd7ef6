#ifndef KUMQUATVALVE_PROCESS_ANNOUNCE_SERVER_H_
#define KUMQUATVALVE_PROCESS_ANNOUNCE_SERVER_H_

#include <memory>
#include <optional>
#include <string_view>

#include "kumquatvalve/process/control_agent.h"
#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::process {

/// Parses `{"team": "t", "service": "s", "slots": 4, "weight": 100, "labels":
/// {"k": "v"}}`; all fields but team and service are optional.
/// @return nothing and `kWrongType`, `kBadName` or `kOutOfRange`.
std::optional<UpstreamAnnouncement> ParseAnnouncement(
    std::string_view text, request::Failure* failure);

/// HTTP server at which the upstream beside a sidecar announces itself: PUT
/// /announcement with that JSON object, DELETE /announcement to withdraw it. A
/// repeated announcement has no effect.
class AnnounceServer {
 public:
  AnnounceServer();
  ~AnnounceServer();
  AnnounceServer(const AnnounceServer&) = delete;
  AnnounceServer& operator=(const AnnounceServer&) = delete;

  /// @return false and `kSocketError` when the endpoint cannot be bound.
  bool Start(const request::Endpoint& endpoint, request::Failure* failure);

  /// Ends the server's thread.
  void Stop();

  /// Returns the change since the last call: nothing, or the current
  /// announcement, which is empty after a withdrawal.
  std::optional<std::optional<UpstreamAnnouncement>> TakeChange();

  uint16_t port() const;

 private:
  class Server;

  std::unique_ptr<Server> server_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_ANNOUNCE_SERVER_H_
