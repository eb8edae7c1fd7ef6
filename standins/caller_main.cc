// Stand-in for callers: opens many flows, sends requests on them at intervals
// and checks that each answer is complete, matches the request of its flow and
// comes from the service that the request was sent to. A UDP control socket
// accepts JSON requests and replies to each with the counts; {"finish": true}
// closes each flow after its next answer. The program exits when all flows have
// ended and prints the counts as JSON. Exit status: 0 when no flow broke, every
// answer was correct and no packet came from another service, 1 otherwise.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <array>
#include <chrono>
#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <unordered_map>
#include <vector>

#include "kumquatvalve/process/udp_batch.h"
#include "kumquatvalve/request/packet.h"
#include "tcp_session.h"
#include "udp_packet.h"

ABSL_FLAG(std::string, address, "10.9.0.1", "IPv4 address of the callers.");
ABSL_FLAG(std::string, fabric, "", "UDP endpoint that packets are sent to.");
ABSL_FLAG(std::string, control, "",
          "UDP endpoint that receives control requests.");
ABSL_FLAG(std::vector<std::string>, services, {},
          "Services as name=address:port; flows use them round-robin.");
ABSL_FLAG(uint32_t, flows, 100, "Flows to open.");
ABSL_FLAG(uint32_t, open_per_second, 1000, "Flows opened per second.");
ABSL_FLAG(uint32_t, requests, 0,
          "Requests of each flow; 0: until finish is requested.");
ABSL_FLAG(uint32_t, interval_ms, 1000, "Mean time between requests of a flow.");
ABSL_FLAG(uint32_t, work_ms, 2,
          "Work time of a request at the upstream, in ms.");
ABSL_FLAG(uint32_t, size, 300, "Size of an answer in bytes.");
ABSL_FLAG(uint64_t, seed, 1, "Seed of ports, sequence numbers and intervals.");

namespace kumquatvalve::standins {
namespace {

using request::Endpoint;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kTick{10};
constexpr uint16_t kFirstPort = 1024;

// A flow with this many retransmissions since the last acknowledgment is listed
// as silent, with its local endpoint.
constexpr uint64_t kSilentRetransmissions = 6;
constexpr size_t kMaxListedSilentFlows = 5;

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

struct Service {
  std::string name;
  Endpoint address;
};

struct Flow {
  uint64_t id = 0;
  const Service* service = nullptr;
  TcpSession session;
  uint64_t number = 0;
  bool waiting = false;
  bool ended = false;
  bool answered_once = false;
  std::string text;
  steady_clock::time_point next_request;
};

class Caller {
 public:
  Caller()
      : fabric_(ParseEndpointOrExit(absl::GetFlag(FLAGS_fabric))),
        random_(absl::GetFlag(FLAGS_seed)) {
    for (const std::string& it : absl::GetFlag(FLAGS_services)) {
      const size_t separator = it.find('=');
      services_.push_back({it.substr(0, separator),
                           ParseEndpointOrExit(it.substr(separator + 1))});
    }
    request::Failure failure;
    const auto address =
        request::ParseAddress(absl::GetFlag(FLAGS_address), &failure);
    if (!address || services_.empty() ||
        !data_socket_.Open(ParseEndpointOrExit("127.0.0.1:0"), false,
                           &failure) ||
        !control_socket_.Open(ParseEndpointOrExit(absl::GetFlag(FLAGS_control)),
                              false, &failure)) {
      std::cerr << ToString(failure) << "\n";
      std::exit(ExitStatus(failure.code));
    }
    address_ = *address;
    flows_.reserve(absl::GetFlag(FLAGS_flows));
  }

  int Run() {
    const std::array<int, 2> handles = {data_socket_.handle(),
                                        control_socket_.handle()};
    started_ = steady_clock::now();
    auto next_tick = started_;
    while (stopping == 0 && !AllFlowsEnded()) {
      const auto now = steady_clock::now();
      const size_t n = received_.Receive(data_socket_);
      for (size_t i = 0; i < n; ++i) {
        OnPacket(received_.Packet(i), now);
      }
      const size_t requests = AnswerControlRequests();
      if (now >= next_tick) {
        OpenFlows(now);
        for (Flow& it : flows_) {
          OnTick(&it, now);
        }
        next_tick = now + kTick;
      }
      outgoing_.Flush(data_socket_);
      if (n + requests == 0) {
        process::WaitReadable(handles, kTick);
      }
    }
    std::cout << CountsAsJson() << std::endl;
    return broken_ == 0 && wrong_service_ == 0 && wrong_answers_ == 0 ? 0 : 1;
  }

 private:
  bool AllFlowsEnded() const {
    return ended_ == absl::GetFlag(FLAGS_flows) ||
           (finish_requested_ && ended_ == flows_.size());
  }

  void Send(const std::vector<std::byte>& packet) {
    if (outgoing_.full()) {
      outgoing_.Flush(data_socket_);
    }
    outgoing_.AddCopy({}, packet, fabric_);
  }

  void OpenFlows(steady_clock::time_point now) {
    const auto flows_due = static_cast<uint64_t>(
        std::chrono::duration<double>(now - started_).count() *
        absl::GetFlag(FLAGS_open_per_second));
    while (!finish_requested_ && flows_.size() < absl::GetFlag(FLAGS_flows) &&
           flows_.size() <= flows_due) {
      const size_t n = flows_.size();
      const Service& service = services_[n % services_.size()];
      const Endpoint local{address_, static_cast<uint16_t>(kFirstPort + n)};
      flows_.push_back(
          {n, &service,
           TcpSession::Connect(
               local, service.address, static_cast<uint32_t>(random_()),
               [this](const auto& p) { Send(p); }, now)});
    }
  }

  void OnPacket(std::span<const std::byte> bytes,
                steady_clock::time_point now) {
    request::Failure failure;
    const auto packet = request::ParsePacket(bytes, &failure);
    if (!packet || !HasValidChecksum(*packet)) {
      ++bad_packets_;
      return;
    }
    const size_t n = packet->flow.service.port - size_t{kFirstPort};
    if (n >= flows_.size()) {
      ++bad_packets_;
      return;
    }
    Flow& flow = flows_[n];
    if (packet->flow.caller != flow.service->address) {
      ++wrong_service_;
      return;
    }
    flow.session.OnPacket(*packet, now);
    ReadAnswer(&flow, now);
  }

  void ReadAnswer(Flow* flow, steady_clock::time_point now) {
    flow->text += flow->session.Read();
    const size_t end = flow->text.find('\n');
    if (end == std::string::npos) {
      return;
    }
    std::istringstream line(flow->text.substr(0, end));
    std::string verb;
    std::string service;
    std::string upstream;
    uint64_t id = 0;
    uint64_t number = 0;
    size_t size = 0;
    line >> verb >> service >> upstream >> id >> number >> size;
    if (flow->text.size() < end + 1 + size) {
      return;
    }
    const std::string body = flow->text.substr(end + 1, size);
    flow->text.erase(0, end + 1 + size);
    if (service != flow->service->name) {
      ++wrong_service_;
    }
    if (verb != "ANS" || !flow->waiting || id != flow->id ||
        number != flow->number || size != absl::GetFlag(FLAGS_size) ||
        body !=
            std::string(size, static_cast<char>('a' + (id + number) % 26))) {
      ++wrong_answers_;
    }
    ++answers_;
    if (!flow->answered_once) {
      flow->answered_once = true;
      ++answered_flows_;
    }
    flow->waiting = false;
    const uint32_t mean = absl::GetFlag(FLAGS_interval_ms);
    flow->next_request = now + milliseconds(mean / 2 + random_() % (mean + 1));
  }

  void OnTick(Flow* flow, steady_clock::time_point now) {
    if (flow->ended) {
      return;
    }
    flow->session.OnTick(now);
    const bool all_requests_sent =
        absl::GetFlag(FLAGS_requests) != 0 &&
        flow->number >= absl::GetFlag(FLAGS_requests);
    switch (flow->session.state()) {
      case TcpSession::State::kSynSent:
      case TcpSession::State::kSynReceived:
        return;
      case TcpSession::State::kOpen:
        if (flow->waiting) {
          return;
        }
        if (flow->session.remote_closed() &&
            !(finish_requested_ || all_requests_sent)) {
          ++cut_short_;
          EndFlow(flow, true);
        } else if ((finish_requested_ && flow->number > 0) ||
                   all_requests_sent) {
          flow->session.Close(now);
        } else if (now >= flow->next_request) {
          ++flow->number;
          flow->waiting = true;
          ++requests_;
          flow->session.Write(
              "REQ " + std::to_string(flow->id) + " " +
                  std::to_string(flow->number) + " " +
                  std::to_string(absl::GetFlag(FLAGS_work_ms)) + " " +
                  std::to_string(absl::GetFlag(FLAGS_size)) + "\n",
              now);
        }
        return;
      case TcpSession::State::kClosed:
        EndFlow(flow, false);
        return;
      case TcpSession::State::kReset:
        if (flow->number == 0) {
          ++refused_;
          EndFlow(flow, false);
        } else {
          ++reset_;
          EndFlow(flow, true);
        }
        return;
      case TcpSession::State::kTimedOut:
        ++timed_out_;
        EndFlow(flow, true);
        return;
    }
  }

  void EndFlow(Flow* flow, bool broken) {
    flow->ended = true;
    ++ended_;
    broken_ += broken ? 1 : 0;
  }

  std::string CountsAsJson() const {
    uint64_t retransmissions = 0;
    uint64_t waiting = 0;
    uint64_t open = 0;
    std::vector<std::string> silent;
    for (const Flow& it : flows_) {
      if (!it.ended &&
          it.session.retransmissions_since_progress() >=
              kSilentRetransmissions &&
          silent.size() < kMaxListedSilentFlows) {
        silent.push_back(ToString(it.session.local()));
      }
      retransmissions += it.session.retransmissions();
      waiting += it.waiting && !it.ended ? 1 : 0;
      open += it.session.state() == TcpSession::State::kOpen ? 1 : 0;
    }
    return nlohmann::ordered_json{{"flows", flows_.size()},
                                  {"open", open},
                                  {"ended", ended_},
                                  {"answered_flows", answered_flows_},
                                  {"waiting", waiting},
                                  {"requests", requests_},
                                  {"answers", answers_},
                                  {"retransmissions", retransmissions},
                                  {"refused", refused_},
                                  {"broken", broken_},
                                  {"reset", reset_},
                                  {"lost", timed_out_},
                                  {"cut_short", cut_short_},
                                  {"wrong_service", wrong_service_},
                                  {"wrong_answers", wrong_answers_},
                                  {"bad_packets", bad_packets_},
                                  {"silent", silent}}
        .dump();
  }

  size_t AnswerControlRequests() {
    const size_t n = control_requests_.Receive(control_socket_);
    for (size_t i = 0; i < n; ++i) {
      const auto bytes = control_requests_.Packet(i);
      const auto request = nlohmann::json::parse(
          std::string(reinterpret_cast<const char*>(bytes.data()),
                      bytes.size()),
          nullptr, false);
      if (request.is_object() && request.value("finish", false)) {
        finish_requested_ = true;
      }
      const std::string answer = CountsAsJson();
      control_replies_.AddCopy(
          {}, std::as_bytes(std::span(answer)),
          request::FromSocketAddress(control_requests_.From(i)));
      control_replies_.Flush(control_socket_);
    }
    return n;
  }

  Endpoint fabric_;
  std::mt19937_64 random_;
  request::Address address_{};
  std::vector<Service> services_;
  std::vector<Flow> flows_;
  steady_clock::time_point started_;
  process::UdpSocket data_socket_;
  process::UdpSocket control_socket_;
  process::ReceiveBatch received_;
  process::ReceiveBatch control_requests_;
  process::SendBatch outgoing_;
  process::SendBatch control_replies_;
  bool finish_requested_ = false;
  uint64_t ended_ = 0;
  uint64_t requests_ = 0;
  uint64_t answers_ = 0;
  uint64_t answered_flows_ = 0;
  uint64_t refused_ = 0;
  uint64_t broken_ = 0;
  uint64_t reset_ = 0;
  uint64_t timed_out_ = 0;
  uint64_t cut_short_ = 0;
  uint64_t wrong_service_ = 0;
  uint64_t wrong_answers_ = 0;
  uint64_t bad_packets_ = 0;
};

}  // namespace
}  // namespace kumquatvalve::standins

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  std::signal(SIGTERM, [](int) { kumquatvalve::standins::stopping = 1; });
  return kumquatvalve::standins::Caller().Run();
}
