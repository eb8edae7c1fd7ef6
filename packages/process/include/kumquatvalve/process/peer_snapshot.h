#ifndef KUMQUATVALVE_PROCESS_PEER_SNAPSHOT_H_
#define KUMQUATVALVE_PROCESS_PEER_SNAPSHOT_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kumquatvalve/process/object_api.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::process {

/// The configuration and upstream records that an entry instance serves to
/// peers that cannot reach the store.
struct PeerSnapshot {
  /// The configuration as it is stored; nothing when none is known.
  std::optional<StoredObject> configuration;
  /// Upstream records, as they are stored.
  std::vector<StoredObject> records;
};

/// Serializes a snapshot as a JSON object.
std::string EncodePeerSnapshot(const PeerSnapshot& snapshot);

/// Parses the JSON of `EncodePeerSnapshot`.
/// @return nothing and `kBadAnswer` when the text is malformed or lacks a
///   field.
std::optional<PeerSnapshot> DecodePeerSnapshot(std::string_view text,
                                               request::Failure* failure);

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_PEER_SNAPSHOT_H_
