#ifndef KUMQUATVALVE_PROCESS_PEER_SNAPSHOT_H_
#define KUMQUATVALVE_PROCESS_PEER_SNAPSHOT_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kumquatvalve/process/object_api.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::process {

/// What an entry instance tells its peers while the store does not answer them.
struct PeerSnapshot {
  /// The configuration as the store has it; nothing when none is known.
  std::optional<StoredObject> configuration;
  /// Upstream records, in the form in which the store keeps them.
  std::vector<StoredObject> records;
};

/// JSON.
std::string EncodePeerSnapshot(const PeerSnapshot& snapshot);

/// @return nothing and `kBadAnswer` for a text of another form.
std::optional<PeerSnapshot> DecodePeerSnapshot(std::string_view text,
                                               request::Failure* failure);

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_PEER_SNAPSHOT_H_
