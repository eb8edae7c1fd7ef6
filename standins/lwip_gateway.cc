// TCP proxy into the fabric: accepts connections of ordinary programs on a
// loopback port and relays each to a service through its own TCP stack (lwIP)
// and the fabric.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <lwip/sockets.h>
#include <unistd.h>

#include <iostream>
#include <optional>
#include <string>
#include <thread>

#include "lwip_link.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:8080", "TCP address to listen on.");
ABSL_FLAG(std::string, data, "", "UDP endpoint that receives packets.");
ABSL_FLAG(std::string, fabric, "", "UDP endpoint that packets are sent to.");
ABSL_FLAG(std::string, address, "10.9.0.1", "IPv4 address of the caller.");
ABSL_FLAG(std::string, service, "",
          "IPv4 address and TCP port of the service.");

namespace {

using kumquatvalve::request::Endpoint;

sockaddr_in ToIpv4SocketAddress(const Endpoint& endpoint) {
  sockaddr_storage storage;
  kumquatvalve::request::ToSocketAddress(endpoint, &storage);
  sockaddr_in address;
  memcpy(&address, &storage, sizeof(address));
  return address;
}

// Copies bytes until `read` or `write` reports the end or an error.
template <typename Read, typename Write>
void CopyUntilEnd(Read read, Write write) {
  char buf[4096];
  ssize_t n = 0;
  while ((n = read(buf, sizeof(buf))) > 0) {
    for (ssize_t sent = 0; sent < n;) {
      const ssize_t written = write(buf + sent, static_cast<size_t>(n - sent));
      if (written <= 0) {
        return;
      }
      sent += written;
    }
  }
}

// Relays one accepted connection to the service and closes it.
void ServeConnection(int client_socket, Endpoint service) {
  const int service_socket = lwip_socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = ToIpv4SocketAddress(service);
  if (lwip_connect(service_socket, reinterpret_cast<const sockaddr*>(&address),
                   sizeof(address)) == 0) {
    std::thread request_thread([&] {
      CopyUntilEnd(
          [&](char* buf, size_t n) { return read(client_socket, buf, n); },
          [&](const char* buf, size_t n) {
            return lwip_write(service_socket, buf, n);
          });
    });
    CopyUntilEnd(
        [&](char* buf, size_t n) { return lwip_read(service_socket, buf, n); },
        [&](const char* buf, size_t n) {
          return write(client_socket, buf, n);
        });
    shutdown(client_socket, SHUT_RDWR);
    request_thread.join();
  }
  lwip_close(service_socket);
  close(client_socket);
}

// Prints the error to stderr when the flag is not an endpoint.
std::optional<Endpoint> ParseEndpointFlag(const absl::Flag<std::string>& flag) {
  kumquatvalve::request::Failure failure;
  const auto endpoint =
      kumquatvalve::request::ParseEndpoint(absl::GetFlag(flag), &failure);
  if (!endpoint) {
    std::cerr << ToString(failure) << "\n";
  }
  return endpoint;
}

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const auto listen_on = ParseEndpointFlag(FLAGS_listen);
  const auto data = ParseEndpointFlag(FLAGS_data);
  const auto fabric = ParseEndpointFlag(FLAGS_fabric);
  const auto service = ParseEndpointFlag(FLAGS_service);
  if (!listen_on || !data || !fabric || !service) {
    return ExitStatus(kumquatvalve::request::ResultCode::kBadAddress);
  }
  kumquatvalve::standins::LwipLink link(absl::GetFlag(FLAGS_address), *data,
                                        *fabric);
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = ToIpv4SocketAddress(*listen_on);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listener, 16) != 0) {
    std::cerr << "cannot listen on " << ToString(*listen_on) << "\n";
    return 1;
  }
  std::cout << "listening on " << ToString(*listen_on) << std::endl;
  while (true) {
    const int client_socket = accept(listener, nullptr, nullptr);
    if (client_socket >= 0) {
      std::thread(ServeConnection, client_socket, *service).detach();
    }
  }
}
