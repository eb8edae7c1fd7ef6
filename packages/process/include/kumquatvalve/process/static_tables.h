#ifndef KUMQUATVALVE_PROCESS_STATIC_TABLES_H_
#define KUMQUATVALVE_PROCESS_STATIC_TABLES_H_

#include <optional>
#include <string>
#include <string_view>

#include "kumquatvalve/process/peer_table.h"
#include "kumquatvalve/request/result_code.h"
#include "kumquatvalve/version/service_table.h"

namespace kumquatvalve::process {

/// Tables and members from a file instead of the control channel, for tests and
/// for processes without an object API.
struct StaticTables {
  version::ServiceTable services;
  PeerTable peers;
};

/// Reads a JSON object:
/// `{"services": [{"id": 1, "version": 1, "protocol": 6,
///   "addresses": ["10.0.0.1:80"],
///   "upstreams": [{"instance": "a", "incarnation": 1, "data": "...",
///     "control": "...", "zone": "z", "slots": 4, "draining": false}],
///   "owner": [0], "backup": [0]}],
///   "peers": [{"instance": "a", "incarnation": 1, "state": "alive",
///     "data": "..."}]}`.
/// @return nothing and `kWrongType`, `kOutOfRange` or `kBadAddress`.
std::optional<StaticTables> ParseStaticTables(std::string_view text,
                                              request::Failure* failure);

/// Reads a file of the form that `ParseStaticTables` accepts.
/// @return nothing and one of its codes, or `kUnreadableFile`.
std::optional<StaticTables> LoadStaticTables(const std::string& path,
                                             request::Failure* failure);

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_STATIC_TABLES_H_
