#ifndef KUMQUATVALVE_VERSION_TABLE_BUILDER_H_
#define KUMQUATVALVE_VERSION_TABLE_BUILDER_H_

#include <cstdint>
#include <span>

#include "kumquatvalve/version/forwarding_table.h"

namespace kumquatvalve::version {

/// Default number of rows of a service. With 7 upstreams of equal weight the
/// shares differ by at most one row of 512, or 1.4% of a share.
inline constexpr uint32_t kDefaultRows = 512;

/// Distributes the rows of a service over its upstreams in proportion to their
/// weights. The result depends only on the arguments, so two writers compute
/// the same table.
///
/// Rows move only when they have to: a row keeps its owner while the owner is
/// listed, not draining and within its share. Upstreams keep their index across
/// versions while new ones fill the positions of those that left. A row's
/// backup is a different upstream, in another availability zone if there is
/// one.
///
/// @param admitted the admitted upstreams, in any order; draining ones are
///   listed but own no rows.
/// @param rows number of rows, a power of two; when it differs from that of
///   `previous`, most rows move.
/// @param previous the table in force, or null for the first one.
ForwardingTable BuildTable(request::ServiceId service,
                           std::span<const UpstreamEntry> admitted,
                           uint32_t rows, const ForwardingTable* previous,
                           request::TableVersion version);

}  // namespace kumquatvalve::version

#endif  // KUMQUATVALVE_VERSION_TABLE_BUILDER_H_
