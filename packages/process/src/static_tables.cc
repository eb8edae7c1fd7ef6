#include "kumquatvalve/process/static_tables.h"

#include <bit>
#include <fstream>
#include <iterator>
#include <memory>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <utility>

namespace kumquatvalve::process {
namespace {

using nlohmann::json;

std::optional<version::UpstreamEntry> ReadUpstream(const json& node,
                                                   request::Failure* failure) {
  version::UpstreamEntry entry;
  entry.instance = request::InstanceIdOf(
      request::InstanceName(node.at("instance").get<std::string>()));
  entry.incarnation = {node.value("incarnation", uint64_t{0})};
  const auto data =
      request::ParseEndpoint(node.at("data").get<std::string>(), failure);
  if (!data) {
    return std::nullopt;
  }
  entry.data = *data;
  if (node.contains("control")) {
    const auto control =
        request::ParseEndpoint(node.at("control").get<std::string>(), failure);
    if (!control) {
      return std::nullopt;
    }
    entry.control = *control;
  }
  entry.zone = request::AvailabilityZone(node.value("zone", ""));
  entry.weight = node.value("weight", 100U);
  entry.slots = node.value("slots", 1U);
  entry.draining = node.value("draining", false);
  return entry;
}

std::shared_ptr<const version::ForwardingTable> ReadTable(
    const json& node, request::Failure* failure) {
  auto table = std::make_shared<version::ForwardingTable>();
  table->service = {node.at("id").get<uint64_t>()};
  table->version = {node.at("version").get<uint64_t>()};
  for (const json& it : node.at("upstreams")) {
    auto entry = ReadUpstream(it, failure);
    if (!entry) {
      return nullptr;
    }
    table->upstreams.push_back(std::move(*entry));
  }
  table->owner = node.at("owner").get<std::vector<version::UpstreamIndex>>();
  table->backup = node.at("backup").get<std::vector<version::UpstreamIndex>>();
  if (!std::has_single_bit(table->owner.size()) ||
      table->backup.size() != table->owner.size()) {
    *failure = {
        request::ResultCode::kOutOfRange,
        "owner and backup must have the same number of rows, a power of two"};
    return nullptr;
  }
  return table;
}

std::optional<PeerState> ReadPeerState(const std::string& name,
                                       request::Failure* failure) {
  static const std::unordered_map<std::string, PeerState> kStates = {
      {"alive", PeerState::kAlive},
      {"suspected", PeerState::kSuspected},
      {"dead", PeerState::kDead},
      {"left", PeerState::kLeft}};
  const auto it = kStates.find(name);
  if (it == kStates.end()) {
    *failure = {request::ResultCode::kOutOfRange, "unknown peer state " + name};
    return std::nullopt;
  }
  return it->second;
}

std::optional<StaticTables> ReadStaticTables(const json& root,
                                             request::Failure* failure) {
  StaticTables tables;
  for (const json& node : root.at("services")) {
    const auto table = ReadTable(node, failure);
    if (table == nullptr) {
      return std::nullopt;
    }
    for (const json& address : node.at("addresses")) {
      const auto endpoint =
          request::ParseEndpoint(address.get<std::string>(), failure);
      if (!endpoint) {
        return std::nullopt;
      }
      tables.services = tables.services.CopyWithTable(
          {*endpoint, node.value("protocol", uint8_t{6})}, table);
    }
  }
  for (const json& node : root.at("peers")) {
    PeerInfo peer;
    peer.incarnation = {node.value("incarnation", uint64_t{0})};
    const auto state = ReadPeerState(node.value("state", "alive"), failure);
    if (!state) {
      return std::nullopt;
    }
    peer.state = *state;
    if (node.contains("data")) {
      const auto data =
          request::ParseEndpoint(node.at("data").get<std::string>(), failure);
      if (!data) {
        return std::nullopt;
      }
      peer.data = *data;
    }
    tables.peers[request::InstanceIdOf(
        request::InstanceName(node.at("instance").get<std::string>()))] = peer;
  }
  return tables;
}

}  // namespace

std::optional<StaticTables> ParseStaticTables(std::string_view text,
                                              request::Failure* failure) {
  try {
    return ReadStaticTables(json::parse(text), failure);
  } catch (const json::exception& ex) {
    *failure = {request::ResultCode::kWrongType, ex.what()};
    return std::nullopt;
  }
}

std::optional<StaticTables> LoadStaticTables(const std::string& path,
                                             request::Failure* failure) {
  std::ifstream file(path);
  if (!file) {
    *failure = {request::ResultCode::kUnreadableFile, path};
    return std::nullopt;
  }
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  return ParseStaticTables(text, failure);
}

}  // namespace kumquatvalve::process
