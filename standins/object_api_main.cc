#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <cstdint>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "object_api_server.h"

ABSL_FLAG(std::string, address, "127.0.0.1", "address to serve on");
ABSL_FLAG(uint16_t, port, 0, "port to serve on, 0 for a free one");
ABSL_FLAG(uint64_t, seed, 1, "seed of the random faults");
ABSL_FLAG(std::vector<std::string>, tokens, {},
          "accepted tokens as TOKEN=SUBTREE; without tokens, all calls are "
          "accepted");

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("stand-in for the platform's object API");
  absl::ParseCommandLine(argc, argv);
  // Blocked before the server's threads start and inherited by them, so that
  // the signals are delivered to sigwait.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  sigprocmask(SIG_BLOCK, &signals, nullptr);

  std::map<std::string, std::string> tokens;
  for (const std::string& it : absl::GetFlag(FLAGS_tokens)) {
    const size_t split = it.find('=');
    tokens[it.substr(0, split)] =
        split == std::string::npos ? "" : it.substr(split + 1);
  }
  kumquatvalve::standins::ObjectApiServer server(tokens,
                                                 absl::GetFlag(FLAGS_seed));
  const uint16_t port =
      server.Start(absl::GetFlag(FLAGS_address), absl::GetFlag(FLAGS_port));
  if (port == 0) {
    std::cerr << "cannot bind the address and port to serve on\n";
    return 1;
  }
  std::cout << "port=" << port << std::endl;
  int signal = 0;
  sigwait(&signals, &signal);
  server.Stop();
  return 0;
}
