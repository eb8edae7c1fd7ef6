#ifndef KUMQUATVALVE_PROCESS_TABLE_CODEC_H_
#define KUMQUATVALVE_PROCESS_TABLE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/request/result_code.h"
#include "kumquatvalve/version/forwarding_table.h"
#include "kumquatvalve/version/service_table.h"

namespace kumquatvalve::process {

/// Content of an object `/tables/<service>`.
struct PublishedTable {
  version::ForwardingTable table;
  /// Service addresses that this table serves; they change together with the
  /// rows.
  std::vector<version::ServiceAddress> addresses;
  /// Path of the service object.
  std::string path;
  /// Version of the service object from which the table was computed.
  request::TableVersion spec_version;
  /// Fencing version of the lease under which the table was written.
  request::TableVersion fencing;
};

/// Path of the object that holds a service's table.
std::string TablePath(request::ServiceId service);

std::string WriteTable(const PublishedTable& table);

/// Decodes a stored table.
/// @param version store revision of the object, which becomes the table's
///   version.
/// @return nothing and `kBadAnswer` when the body is not a table or a row
///   refers to an upstream that is not listed.
std::optional<PublishedTable> ReadTable(std::string_view body,
                                        request::TableVersion version,
                                        request::Failure* failure);

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_TABLE_CODEC_H_
