#ifndef KUMQUATVALVE_PROCESS_PEER_SNAPSHOT_H_
#define KUMQUATVALVE_PROCESS_PEER_SNAPSHOT_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kumquatvalve/connection/zone_evacuation.h"
#include "kumquatvalve/process/object_api.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::process {

/// The configuration, upstream records and evacuated zones that an entry
/// instance serves to peers that cannot reach the store.
struct PeerSnapshot {
  /// The configuration as it is stored; nothing when none is known.
  std::optional<StoredObject> configuration;
  /// Upstream records, as they are stored.
  std::vector<StoredObject> records;
  /// Nothing when they are not known or not followed. Earlier versions ignore
  /// the member.
  std::optional<connection::EvacuationList> evacuated_zones;
  /// After decoding: why objects of the text were left out, one entry for each.
  std::vector<request::Failure> skipped;
};

/// Serializes a snapshot as a JSON object.
std::string EncodePeerSnapshot(const PeerSnapshot& snapshot);

/// Parses the JSON of `EncodePeerSnapshot`. An object that cannot be read is
/// left out; it does not hide the others.
/// @return nothing and `kBadAnswer` when the text is not a snapshot.
std::optional<PeerSnapshot> DecodePeerSnapshot(std::string_view text,
                                               request::Failure* failure);

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_PEER_SNAPSHOT_H_
