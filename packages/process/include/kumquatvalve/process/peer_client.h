#ifndef KUMQUATVALVE_PROCESS_PEER_CLIENT_H_
#define KUMQUATVALVE_PROCESS_PEER_CLIENT_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kumquatvalve/process/peer_snapshot.h"
#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::process {

/// Asks entry instances for what they know, in turn, and tells them of records.
/// One thread at a time may use it.
class PeerClient {
 public:
  explicit PeerClient(std::vector<request::Endpoint> peers);

  bool empty() const { return peers_.empty(); }

  /// Asks the next peer.
  /// @return nothing when it has told the same before, or does not answer; then
  ///   `failure` has a reason.
  std::optional<PeerSnapshot> Ask(request::Failure* failure);

  /// Sends a record to all peers.
  /// @return how many took it; `failure` has the last reason of the others.
  size_t Tell(const std::string& record, request::Failure* failure) const;

 private:
  std::vector<request::Endpoint> peers_;
  size_t next_ = 0;
  /// Tags of the snapshots that were read last.
  std::map<request::Endpoint, std::string> tags_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_PEER_CLIENT_H_
