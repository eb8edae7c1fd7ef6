#include "kumquatvalve/process/table_codec.h"

#include <bit>
#include <utility>

#include "kumquatvalve/process/control.pb.h"
#include "kumquatvalve/process/peer_codec.h"

namespace kumquatvalve::process {
namespace {

using version::UpstreamIndex;

// Encodes each row as 2 bytes, low byte first.
std::string WriteRows(const std::vector<UpstreamIndex>& rows) {
  std::string bytes;
  bytes.reserve(rows.size() * 2);
  for (const UpstreamIndex it : rows) {
    bytes.push_back(static_cast<char>(it & 0xff));
    bytes.push_back(static_cast<char>(it >> 8));
  }
  return bytes;
}

// @return nothing when the size is odd or a row names an upstream that the
//   table does not list.
std::optional<std::vector<UpstreamIndex>> ReadRows(const std::string& bytes,
                                                   size_t upstream_count) {
  if (bytes.size() % 2 != 0) {
    return std::nullopt;
  }
  std::vector<UpstreamIndex> rows;
  rows.reserve(bytes.size() / 2);
  for (size_t i = 0; i < bytes.size(); i += 2) {
    const auto low = static_cast<uint8_t>(bytes[i]);
    const auto high = static_cast<uint8_t>(bytes[i + 1]);
    const auto index = static_cast<UpstreamIndex>(low | high << 8);
    if (index >= upstream_count && index != version::kNoUpstreamIndex) {
      return std::nullopt;
    }
    rows.push_back(index);
  }
  return rows;
}

std::optional<version::UpstreamEntry> ReadUpstream(
    const control::Upstream& wire) {
  const auto data = ReadEndpoint(wire.data());
  const auto control = ReadEndpoint(wire.control());
  if (!data || !control) {
    return std::nullopt;
  }
  version::UpstreamEntry entry;
  entry.instance = {wire.instance()};
  entry.incarnation = {wire.incarnation()};
  entry.data = *data;
  entry.control = *control;
  entry.zone = request::AvailabilityZone(wire.availability_zone());
  entry.weight = wire.weight();
  entry.slots = wire.slots();
  entry.draining = wire.draining();
  return entry;
}

std::optional<PublishedTable> ReadTableObject(const control::TableObject& wire,
                                              request::TableVersion version) {
  PublishedTable published;
  published.table.service = {wire.service()};
  published.table.version = version;
  published.path = wire.path();
  published.spec_version = {wire.spec_version()};
  published.fencing = {wire.fencing()};
  for (const control::ServiceAddress& it : wire.addresses()) {
    const auto endpoint = ReadEndpoint(it.endpoint());
    if (!endpoint || it.protocol() > 255) {
      return std::nullopt;
    }
    published.addresses.push_back(
        {*endpoint, static_cast<uint8_t>(it.protocol())});
  }
  for (const control::Upstream& it : wire.upstreams()) {
    auto upstream = ReadUpstream(it);
    if (!upstream) {
      return std::nullopt;
    }
    published.table.upstreams.push_back(std::move(*upstream));
  }
  auto owner = ReadRows(wire.owner(), published.table.upstreams.size());
  auto backup = ReadRows(wire.backup(), published.table.upstreams.size());
  auto previous = ReadRows(wire.previous(), published.table.upstreams.size());
  if (!owner || !backup || !previous || owner->size() != backup->size() ||
      owner->size() != previous->size() ||
      !std::has_single_bit(owner->size())) {
    return std::nullopt;
  }
  published.table.owner = std::move(*owner);
  published.table.backup = std::move(*backup);
  published.table.previous = std::move(*previous);
  return published;
}

}  // namespace

std::string TablePath(request::ServiceId service) {
  return "/tables/" + std::to_string(service.value);
}

std::string WriteTable(const PublishedTable& table) {
  control::TableObject wire;
  wire.set_service(table.table.service.value);
  wire.set_spec_version(table.spec_version.value);
  wire.set_fencing(table.fencing.value);
  wire.set_path(table.path);
  for (const version::ServiceAddress& it : table.addresses) {
    control::ServiceAddress* address = wire.add_addresses();
    *address->mutable_endpoint() = WriteEndpoint(it.endpoint);
    address->set_protocol(it.protocol);
  }
  for (const version::UpstreamEntry& it : table.table.upstreams) {
    control::Upstream* upstream = wire.add_upstreams();
    upstream->set_instance(it.instance.value);
    upstream->set_incarnation(it.incarnation.value);
    *upstream->mutable_data() = WriteEndpoint(it.data);
    *upstream->mutable_control() = WriteEndpoint(it.control);
    upstream->set_availability_zone(it.zone.text());
    upstream->set_weight(it.weight);
    upstream->set_slots(it.slots);
    upstream->set_draining(it.draining);
  }
  wire.set_owner(WriteRows(table.table.owner));
  wire.set_backup(WriteRows(table.table.backup));
  wire.set_previous(WriteRows(table.table.previous));
  return wire.SerializeAsString();
}

std::optional<PublishedTable> ReadTable(std::string_view body,
                                        request::TableVersion version,
                                        request::Failure* failure) {
  control::TableObject wire;
  std::optional<PublishedTable> table;
  if (wire.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
    table = ReadTableObject(wire, version);
  }
  if (!table) {
    *failure = {request::ResultCode::kBadAnswer,
                "the object is not a valid forwarding table"};
  }
  return table;
}

}  // namespace kumquatvalve::process
