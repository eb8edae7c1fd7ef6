#include "kumquatvalve/process/peer_client.h"

#include <httplib.h>

#include <chrono>
#include <utility>

#include "kumquatvalve/process/address_history_codec.h"
#include "kumquatvalve/process/http_client.h"

namespace kumquatvalve::process {
namespace {

using request::ResultCode;

// A peer in the same region responds within a few milliseconds, on a slow
// processor within tens of milliseconds.
constexpr std::chrono::milliseconds kPeerTimeout{300};

constexpr int kOk = 200;
constexpr int kNotModified = 304;

httplib::Client Connect(const request::Endpoint& peer) {
  httplib::Client client = MakeHttpClient(peer);
  client.set_connection_timeout(kPeerTimeout);
  client.set_read_timeout(kPeerTimeout);
  client.set_write_timeout(kPeerTimeout);
  return client;
}

request::Failure RequestFailure(const request::Endpoint& peer,
                                const httplib::Result& result) {
  return {ResultCode::kBadAnswer,
          request::ToString(peer) + ": " +
              (result ? "status " + std::to_string(result->status)
                      : httplib::to_string(result.error()))};
}

}  // namespace

PeerClient::PeerClient(std::vector<request::Endpoint> peers)
    : peers_(std::move(peers)) {}

std::optional<PeerSnapshot> PeerClient::FetchSnapshot(
    request::Failure* failure) {
  if (peers_.empty()) {
    *failure = {ResultCode::kBadAnswer, "no peers are configured"};
    return std::nullopt;
  }
  const request::Endpoint peer = peers_[next_peer_++ % peers_.size()];
  httplib::Client client = Connect(peer);
  const httplib::Headers headers = {{"If-None-Match", etags_[peer]}};
  const httplib::Result result = client.Get("/snapshot", headers);
  if (result && result->status == kNotModified) {
    *failure = {};
    return std::nullopt;
  }
  if (!result || result->status != kOk) {
    *failure = RequestFailure(peer, result);
    return std::nullopt;
  }
  auto snapshot = DecodePeerSnapshot(result->body, failure);
  if (snapshot) {
    etags_[peer] = result->get_header_value("ETag");
  }
  return snapshot;
}

std::vector<connection::AddressHistoryReport> PeerClient::FetchAddressHistories(
    request::Failure* failure) const {
  std::vector<connection::AddressHistoryReport> reports;
  for (const request::Endpoint& peer : peers_) {
    httplib::Client client = Connect(peer);
    const httplib::Result result = client.Get("/address-history");
    if (!result || result->status != kOk) {
      *failure = RequestFailure(peer, result);
    } else if (auto report = DecodeAddressHistory(result->body, failure)) {
      reports.push_back(std::move(*report));
    }
  }
  return reports;
}

size_t PeerClient::SendRecord(const std::string& record,
                              std::vector<std::string>* later_records,
                              request::Failure* failure) const {
  size_t received = 0;
  for (const request::Endpoint& peer : peers_) {
    httplib::Client client = Connect(peer);
    const httplib::Result result =
        client.Post("/record", record, "application/json");
    if (result && result->status == kOk) {
      ++received;
      if (result->get_header_value("Content-Type") == "application/json") {
        later_records->push_back(result->body);
      }
    } else {
      *failure = RequestFailure(peer, result);
    }
  }
  return received;
}

}  // namespace kumquatvalve::process
