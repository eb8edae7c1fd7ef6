#include "kumquatvalve/process/http_client.h"

#include <string_view>

namespace kumquatvalve::process {
namespace {

constexpr std::string_view kScheme = "http://";

}  // namespace

httplib::Client MakeHttpClient(const request::Endpoint& server) {
  return httplib::Client(request::ToString(server.address), server.port);
}

httplib::Client MakeHttpClient(const std::string& url) {
  request::Failure failure;
  if (url.starts_with(kScheme)) {
    const auto server =
        request::ParseEndpoint(url.substr(kScheme.size()), &failure);
    if (server) {
      return MakeHttpClient(*server);
    }
  }
  return httplib::Client(url);
}

}  // namespace kumquatvalve::process
