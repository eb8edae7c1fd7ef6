#ifndef KUMQUATVALVE_PROCESS_PEER_CLIENT_H_
#define KUMQUATVALVE_PROCESS_PEER_CLIENT_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kumquatvalve/connection/address_history.h"
#include "kumquatvalve/process/peer_snapshot.h"
#include "kumquatvalve/request/endpoint.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::process {

/// HTTP client of the entry instances' `PeerServer`: fetches snapshots from
/// them, in turn, and sends them records. Calls block. Not thread-safe.
class PeerClient {
 public:
  explicit PeerClient(std::vector<request::Endpoint> peers);

  bool empty() const { return peers_.empty(); }
  size_t size() const { return peers_.size(); }

  /// Fetches the snapshot of the next peer, round robin.
  /// @return nothing and `kOk` when the snapshot has not changed since it was
  ///   last fetched from this peer; nothing and `kBadAnswer` when there are no
  ///   peers, the peer does not respond or its response cannot be read.
  std::optional<PeerSnapshot> FetchSnapshot(request::Failure* failure);

  /// Asks all peers for the earlier services of addresses.
  /// @return the reports of those that responded; `failure` is that of the last
  ///   one that did not.
  std::vector<connection::AddressHistoryReport> FetchAddressHistories(
      request::Failure* failure) const;

  /// Sends a record to all peers, one after the other.
  /// @param later_records receives the records of later starts that peers use
  ///   instead.
  /// @return the number of peers that received it; `failure` is that of the
  ///   last peer that did not.
  size_t SendRecord(const std::string& record,
                    std::vector<std::string>* later_records,
                    request::Failure* failure) const;

 private:
  std::vector<request::Endpoint> peers_;
  size_t next_peer_ = 0;
  /// HTTP entity tags of the snapshots fetched last.
  std::map<request::Endpoint, std::string> etags_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_PEER_CLIENT_H_
