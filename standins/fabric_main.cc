// Stand-in for the network fabric: forwards each caller's packet to an entry
// instance chosen at random and passes the answers of sidecars to the callers.
// A UDP control socket accepts JSON requests and replies to each with the
// packet counts:
//   {"entries": ["127.0.0.1:1"]}  replaces the entry instances,
//   {"drop": 0.01}                drops packets with this probability,
//   {"delay_ms": 5}               delays every packet,
//   {"cut": ["127.0.0.1:1"]}      drops all packets to these endpoints.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <array>
#include <chrono>
#include <csignal>
#include <deque>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "kumquatvalve/process/udp_batch.h"
#include "kumquatvalve/request/packet.h"

ABSL_FLAG(std::string, callers, "",
          "UDP endpoint that receives packets from callers.");
ABSL_FLAG(std::string, answers, "",
          "UDP endpoint that receives packets for callers.");
ABSL_FLAG(std::string, control, "",
          "UDP endpoint that receives control requests.");
ABSL_FLAG(std::vector<std::string>, entries, {},
          "UDP endpoints of the entry instances.");
ABSL_FLAG(uint64_t, seed, 1, "Seed of the random choices.");

namespace kumquatvalve::standins {
namespace {

using process::ReceiveBatch;
using process::SendBatch;
using process::UdpSocket;
using request::Endpoint;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

volatile std::sig_atomic_t stopping = 0;

Endpoint ParseEndpointOrExit(const std::string& text) {
  request::Failure failure;
  const auto endpoint = request::ParseEndpoint(text, &failure);
  if (!endpoint) {
    std::cerr << ToString(failure) << "\n";
    std::exit(ExitStatus(failure.code));
  }
  return *endpoint;
}

class Fabric {
 public:
  Fabric() : random_(absl::GetFlag(FLAGS_seed)) {
    for (const std::string& it : absl::GetFlag(FLAGS_entries)) {
      entries_.push_back(ParseEndpointOrExit(it));
    }
    Open(&callers_socket_, absl::GetFlag(FLAGS_callers));
    Open(&answers_socket_, absl::GetFlag(FLAGS_answers));
    Open(&control_socket_, absl::GetFlag(FLAGS_control));
  }

  void Run() {
    const std::array<int, 3> handles = {callers_socket_.handle(),
                                        answers_socket_.handle(),
                                        control_socket_.handle()};
    while (stopping == 0) {
      const size_t n = ReceiveFromCallers() + ReceiveFromSidecars() +
                       AnswerControlRequests();
      SendDuePackets();
      if (n == 0) {
        process::WaitReadable(handles, milliseconds(delay_.count() ? 1 : 20));
      }
    }
  }

 private:
  // Exits the process when the socket cannot be opened.
  static void Open(UdpSocket* socket, const std::string& endpoint) {
    request::Failure failure;
    if (!socket->Open(ParseEndpointOrExit(endpoint), false, &failure)) {
      std::cerr << ToString(failure) << "\n";
      std::exit(ExitStatus(failure.code));
    }
  }

  size_t ReceiveFromCallers() {
    const size_t n = received_.Receive(callers_socket_);
    for (size_t i = 0; i < n; ++i) {
      request::Failure failure;
      const auto packet = request::ParsePacket(received_.Packet(i), &failure);
      if (!packet || entries_.empty()) {
        ++bad_packets_;
        continue;
      }
      callers_by_address_[request::ToString(packet->flow.caller.address)] =
          request::FromSocketAddress(received_.From(i));
      ++from_callers_;
      ForwardOrDrop(&outgoing_, callers_socket_, packet->bytes,
                    entries_[random_() % entries_.size()]);
    }
    outgoing_.Flush(callers_socket_);
    return n;
  }

  size_t ReceiveFromSidecars() {
    const size_t n = received_.Receive(answers_socket_);
    for (size_t i = 0; i < n; ++i) {
      request::Failure failure;
      const auto packet = request::ParsePacket(received_.Packet(i), &failure);
      if (!packet) {
        ++bad_packets_;
        continue;
      }
      const auto it = callers_by_address_.find(
          request::ToString(packet->flow.service.address));
      if (it == callers_by_address_.end()) {
        ++bad_packets_;
        continue;
      }
      ++to_callers_;
      // Sent from the callers' socket, since callers expect answers from the
      // endpoint that they send to.
      ForwardOrDrop(&outgoing_, callers_socket_, packet->bytes, it->second);
    }
    outgoing_.Flush(callers_socket_);
    return n;
  }

  void ForwardOrDrop(SendBatch* batch, const UdpSocket& socket,
                     std::span<const std::byte> bytes, const Endpoint& to) {
    const double draw =
        static_cast<double>(random_()) / static_cast<double>(random_.max());
    if ((drop_probability_ > 0 && draw < drop_probability_) ||
        cut_endpoints_.contains(to)) {
      ++dropped_;
      return;
    }
    if (delay_.count() > 0) {
      delayed_.push_back(
          {steady_clock::now() + delay_, {bytes.begin(), bytes.end()}, to});
      return;
    }
    if (batch->full()) {
      batch->Flush(socket);
    }
    batch->AddCopy({}, bytes, to);
  }

  void SendDuePackets() {
    const auto now = steady_clock::now();
    while (!delayed_.empty() && delayed_.front().send_at <= now) {
      if (outgoing_.full()) {
        outgoing_.Flush(callers_socket_);
      }
      outgoing_.AddCopy({}, delayed_.front().bytes, delayed_.front().to);
      delayed_.pop_front();
    }
    outgoing_.Flush(callers_socket_);
  }

  size_t AnswerControlRequests() {
    const size_t n = control_requests_.Receive(control_socket_);
    for (size_t i = 0; i < n; ++i) {
      const auto bytes = control_requests_.Packet(i);
      const auto request = nlohmann::json::parse(
          std::string(reinterpret_cast<const char*>(bytes.data()),
                      bytes.size()),
          nullptr, false);
      if (request.is_object()) {
        ApplyControlRequest(request);
      }
      const std::string answer = nlohmann::json{
          {"from_callers", from_callers_},
          {"to_callers", to_callers_},
          {"dropped", dropped_},
          {"bad", bad_packets_},
          {"entries",
           entries_.size()}}.dump();
      control_replies_.AddCopy(
          {}, std::as_bytes(std::span(answer)),
          request::FromSocketAddress(control_requests_.From(i)));
      control_replies_.Flush(control_socket_);
    }
    return n;
  }

  void ApplyControlRequest(const nlohmann::json& request) {
    if (request.contains("entries")) {
      entries_.clear();
      for (const auto& it : request["entries"]) {
        entries_.push_back(ParseEndpointOrExit(it.get<std::string>()));
      }
    }
    if (request.contains("cut")) {
      cut_endpoints_.clear();
      for (const auto& it : request["cut"]) {
        cut_endpoints_.insert(ParseEndpointOrExit(it.get<std::string>()));
      }
    }
    drop_probability_ = request.value("drop", drop_probability_);
    delay_ = milliseconds(request.value("delay_ms", delay_.count()));
  }

  struct DelayedPacket {
    steady_clock::time_point send_at;
    std::vector<std::byte> bytes;
    Endpoint to;
  };

  std::mt19937_64 random_;
  std::vector<Endpoint> entries_;
  std::unordered_map<std::string, Endpoint> callers_by_address_;
  std::set<Endpoint> cut_endpoints_;
  std::deque<DelayedPacket> delayed_;
  double drop_probability_ = 0;
  milliseconds delay_{0};
  UdpSocket callers_socket_;
  UdpSocket answers_socket_;
  UdpSocket control_socket_;
  ReceiveBatch received_;
  ReceiveBatch control_requests_;
  SendBatch outgoing_;
  SendBatch control_replies_;
  uint64_t from_callers_ = 0;
  uint64_t to_callers_ = 0;
  uint64_t dropped_ = 0;
  uint64_t bad_packets_ = 0;
};

}  // namespace
}  // namespace kumquatvalve::standins

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  std::signal(SIGTERM, [](int) { kumquatvalve::standins::stopping = 1; });
  kumquatvalve::standins::Fabric().Run();
  return 0;
}
