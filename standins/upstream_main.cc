// Stand-in for an upstream: serves a line protocol over TCP packets that are
// carried in UDP datagrams.
// Request: "REQ <flow> <number> <work_ms> <size>\n"; answer:
// "ANS <service> <upstream> <flow> <number> <size>\n" and <size> bytes.
// A UDP control socket accepts JSON requests and replies to each with the
// counts:
//   {"mode": "normal"|"refuse"|"silent"}  refuse: resets new flows, silent:
//                                         ignores all packets of the service,
//   {"slow": 3.0}                         multiplies the work time of requests.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <httplib.h>

#include <array>
#include <chrono>
#include <csignal>
#include <deque>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <unordered_map>

#include "kumquatvalve/process/udp_batch.h"
#include "kumquatvalve/request/packet.h"
#include "tcp_session.h"
#include "udp_packet.h"

ABSL_FLAG(std::string, name, "upstream", "Upstream name that answers contain.");
ABSL_FLAG(std::string, service, "", "Service name that answers contain.");
ABSL_FLAG(std::string, address, "", "Address and port of the service.");
ABSL_FLAG(std::string, data, "", "UDP endpoint that receives packets.");
ABSL_FLAG(
    std::string, sidecar, "",
    "UDP endpoint of the sidecar; also its HTTP endpoint for announcements.");
ABSL_FLAG(std::string, control, "",
          "UDP endpoint that receives control requests.");
ABSL_FLAG(uint32_t, slots, 4, "Maximum number of requests in progress.");
ABSL_FLAG(std::string, team, "",
          "Team of the service; when set, the upstream announces itself.");
ABSL_FLAG(uint64_t, seed, 1, "Seed of the initial sequence numbers.");

namespace kumquatvalve::standins {
namespace {

using request::Endpoint;
using request::FlowKey;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kTick{5};

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

// Announces the upstream every second, since a sidecar loses the announcement
// when it restarts.
class Announcer {
 public:
  Announcer() : thread_(Run) {}
  ~Announcer() { thread_.join(); }

 private:
  static void Run() {
    const Endpoint sidecar = ParseEndpointOrExit(absl::GetFlag(FLAGS_sidecar));
    const std::string body =
        nlohmann::json{{"team", absl::GetFlag(FLAGS_team)},
                       {"service", absl::GetFlag(FLAGS_service)},
                       {"slots", absl::GetFlag(FLAGS_slots)}}
            .dump();
    while (stopping == 0 && !absl::GetFlag(FLAGS_team).empty()) {
      httplib::Client client(request::ToString(sidecar.address), sidecar.port);
      client.set_connection_timeout(milliseconds(200));
      client.set_read_timeout(milliseconds(200));
      client.Put("/announcement", body, "application/json");
      std::this_thread::sleep_for(milliseconds(1000));
    }
  }

  std::thread thread_;
};

struct PendingRequest {
  FlowKey flow;
  std::string answer;
  milliseconds work_time;
};

class Upstream {
 public:
  Upstream()
      : address_(ParseEndpointOrExit(absl::GetFlag(FLAGS_address))),
        sidecar_(ParseEndpointOrExit(absl::GetFlag(FLAGS_sidecar))),
        random_(absl::GetFlag(FLAGS_seed)) {
    request::Failure failure;
    if (!data_socket_.Open(ParseEndpointOrExit(absl::GetFlag(FLAGS_data)),
                           false, &failure) ||
        !control_socket_.Open(ParseEndpointOrExit(absl::GetFlag(FLAGS_control)),
                              false, &failure)) {
      std::cerr << ToString(failure) << "\n";
      std::exit(ExitStatus(failure.code));
    }
  }

  void Run() {
    const std::array<int, 2> handles = {data_socket_.handle(),
                                        control_socket_.handle()};
    auto next_tick = steady_clock::now();
    while (stopping == 0) {
      const auto now = steady_clock::now();
      const size_t n = received_.Receive(data_socket_);
      for (size_t i = 0; i < n; ++i) {
        OnPacket(received_.Packet(i), now);
      }
      const size_t requests = AnswerControlRequests();
      if (now >= next_tick) {
        OnTick(now);
        next_tick = now + kTick;
      }
      outgoing_.Flush(data_socket_);
      if (n + requests == 0) {
        process::WaitReadable(handles, kTick);
      }
    }
  }

 private:
  void Send(const std::vector<std::byte>& packet) {
    if (outgoing_.full()) {
      outgoing_.Flush(data_socket_);
    }
    outgoing_.AddCopy({}, packet, sidecar_);
  }

  void OnPacket(std::span<const std::byte> bytes,
                steady_clock::time_point now) {
    request::Failure failure;
    const auto packet = request::ParsePacket(bytes, &failure);
    if (!packet || !HasValidChecksum(*packet)) {
      ++bad_packets_;
      return;
    }
    if (packet->flow.service != address_) {
      ++wrong_service_;
      return;
    }
    if (mode_ == "silent") {
      return;
    }
    auto it = sessions_.find(packet->flow);
    if (it == sessions_.end() || (packet->syn && IsEnded(it->second))) {
      if (!packet->IsFirst() || mode_ == "refuse") {
        SendReset(*packet);
        return;
      }
      ++accepted_;
      sessions_.insert_or_assign(packet->flow,
                                 TcpSession::Accept(
                                     *packet, static_cast<uint32_t>(random_()),
                                     [this](const auto& p) { Send(p); }, now));
      return;
    }
    it->second.OnPacket(*packet, now);
    ReadRequests(packet->flow, &it->second, now);
  }

  static bool IsEnded(const TcpSession& session) {
    return session.state() >= TcpSession::State::kClosed;
  }

  void SendReset(const request::ParsedPacket& packet) {
    if (packet.rst) {
      return;
    }
    ++resets_;
    TcpFields fields;
    fields.from = packet.flow.service;
    fields.to = packet.flow.caller;
    fields.rst = true;
    fields.ack = !packet.ack;
    fields.sequence = packet.ack ? packet.acknowledgment : 0;
    fields.acknowledgment = packet.sequence + packet.payload_size +
                            (packet.syn ? 1 : 0) + (packet.fin ? 1 : 0);
    Send(MakeTcpPacket(fields, {}));
  }

  void ReadRequests(const FlowKey& flow, TcpSession* session,
                    steady_clock::time_point now) {
    std::string& text = partial_requests_[flow];
    text += session->Read();
    size_t end = 0;
    while ((end = text.find('\n')) != std::string::npos) {
      std::istringstream line(text.substr(0, end));
      text.erase(0, end + 1);
      std::string verb;
      uint64_t id = 0;
      uint64_t number = 0;
      int64_t work_ms = 0;
      size_t size = 0;
      if (!(line >> verb >> id >> number >> work_ms >> size) || verb != "REQ") {
        ++bad_requests_;
        continue;
      }
      ++requests_;
      std::string answer =
          "ANS " + absl::GetFlag(FLAGS_service) + " " +
          absl::GetFlag(FLAGS_name) + " " + std::to_string(id) + " " +
          std::to_string(number) + " " + std::to_string(size) + "\n" +
          std::string(size, static_cast<char>('a' + (id + number) % 26));
      queue_.push_back(
          {flow, std::move(answer),
           milliseconds(static_cast<int64_t>(static_cast<double>(work_ms) *
                                             work_time_factor_))});
    }
    if (text.empty()) {
      partial_requests_.erase(flow);
    }
    if (session->remote_closed()) {
      session->Close(now);
    }
    StartQueuedRequests(now);
  }

  void StartQueuedRequests(steady_clock::time_point now) {
    while (!queue_.empty() &&
           in_progress_.size() < absl::GetFlag(FLAGS_slots)) {
      const auto done = now + queue_.front().work_time;
      in_progress_.emplace(done, std::move(queue_.front()));
      queue_.pop_front();
    }
  }

  void OnTick(steady_clock::time_point now) {
    while (!in_progress_.empty() && in_progress_.begin()->first <= now) {
      const PendingRequest& work = in_progress_.begin()->second;
      const auto it = sessions_.find(work.flow);
      if (it != sessions_.end()) {
        ++answers_;
        it->second.Write(work.answer, now);
      }
      in_progress_.erase(in_progress_.begin());
      StartQueuedRequests(now);
    }
    if (mode_ == "silent") {
      return;
    }
    for (auto it = sessions_.begin(); it != sessions_.end();) {
      it->second.OnTick(now);
      it = IsEnded(it->second) ? sessions_.erase(it) : std::next(it);
    }
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
        mode_ = request.value("mode", mode_);
        work_time_factor_ = request.value("slow", work_time_factor_);
      }
      const std::string answer =
          nlohmann::json{
              {"accepted", accepted_},       {"open", sessions_.size()},
              {"requests", requests_},       {"answers", answers_},
              {"resets", resets_},           {"wrong_service", wrong_service_},
              {"bad_packets", bad_packets_}, {"bad_requests", bad_requests_}}
              .dump();
      control_replies_.AddCopy(
          {}, std::as_bytes(std::span(answer)),
          request::FromSocketAddress(control_requests_.From(i)));
      control_replies_.Flush(control_socket_);
    }
    return n;
  }

  Endpoint address_;
  Endpoint sidecar_;
  std::mt19937_64 random_;
  process::UdpSocket data_socket_;
  process::UdpSocket control_socket_;
  process::ReceiveBatch received_;
  process::ReceiveBatch control_requests_;
  process::SendBatch outgoing_;
  process::SendBatch control_replies_;
  std::unordered_map<FlowKey, TcpSession, request::FlowKeyHash> sessions_;
  std::unordered_map<FlowKey, std::string, request::FlowKeyHash>
      partial_requests_;
  std::deque<PendingRequest> queue_;
  std::multimap<steady_clock::time_point, PendingRequest> in_progress_;
  std::string mode_ = "normal";
  double work_time_factor_ = 1;
  uint64_t accepted_ = 0;
  uint64_t requests_ = 0;
  uint64_t answers_ = 0;
  uint64_t resets_ = 0;
  uint64_t wrong_service_ = 0;
  uint64_t bad_packets_ = 0;
  uint64_t bad_requests_ = 0;
};

}  // namespace
}  // namespace kumquatvalve::standins

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  std::signal(SIGTERM, [](int) { kumquatvalve::standins::stopping = 1; });
  const kumquatvalve::standins::Announcer announcer;
  kumquatvalve::standins::Upstream().Run();
  return 0;
}
