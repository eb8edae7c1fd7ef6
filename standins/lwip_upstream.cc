// Stand-in for an upstream with a full TCP stack (lwIP): answers every HTTP
// request with its name.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <lwip/sockets.h>

#include <cstdio>
#include <iostream>
#include <optional>
#include <string>
#include <thread>

#include "lwip_link.h"

ABSL_FLAG(std::string, name, "upstream",
          "Upstream name that responses contain.");
ABSL_FLAG(std::string, data, "", "UDP endpoint that receives packets.");
ABSL_FLAG(std::string, address, "", "IPv4 address of the service.");
ABSL_FLAG(int, port, 80, "TCP port of the service.");

namespace {

void ServeRequest(int connection, const std::string& name) {
  std::string request;
  char buf[2048];
  while (request.find("\r\n\r\n") == std::string::npos) {
    const ssize_t n = lwip_recv(connection, buf, sizeof(buf), 0);
    if (n <= 0) {
      lwip_close(connection);
      return;
    }
    request.append(buf, static_cast<size_t>(n));
  }
  const std::string body = "answer of " + name + "\n";
  const std::string response =
      "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
  lwip_write(connection, response.data(), response.size());
  lwip_close(connection);
}

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  kumquatvalve::request::Failure failure;
  const auto data =
      kumquatvalve::request::ParseEndpoint(absl::GetFlag(FLAGS_data), &failure);
  if (!data) {
    std::cerr << ToString(failure) << "\n";
    return ExitStatus(failure.code);
  }
  kumquatvalve::standins::LwipLink link(absl::GetFlag(FLAGS_address), *data,
                                        std::nullopt);
  const int listener = lwip_socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(absl::GetFlag(FLAGS_port)));
  if (lwip_bind(listener, reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) != 0 ||
      lwip_listen(listener, 16) != 0) {
    std::cerr << "cannot listen on the service port\n";
    return 1;
  }
  const std::string name = absl::GetFlag(FLAGS_name);
  while (true) {
    const int connection = lwip_accept(listener, nullptr, nullptr);
    if (connection >= 0) {
      std::thread(ServeRequest, connection, name).detach();
    }
  }
}
