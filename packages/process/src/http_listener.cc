#include "kumquatvalve/process/http_listener.h"

#include <exception>
#include <string>
#include <utility>

namespace kumquatvalve::process {
namespace {

constexpr int kUriTooLong = 414;
constexpr int kInternalError = 500;

std::string Describe(const std::exception_ptr& error) {
  try {
    std::rethrow_exception(error);
  } catch (const std::exception& ex) {
    return ex.what();
  } catch (...) {
    return "an exception of an unknown type";
  }
}

}  // namespace

HttpListener::HttpListener(
    std::function<void(const std::string&)> on_exception) {
  http_.new_task_queue = [] { return new httplib::ThreadPool(1); };
  http_.set_keep_alive_max_count(1);
  http_.set_pre_routing_handler(
      [](const httplib::Request& request, httplib::Response& response) {
        if (request.path.size() <= kMaxPathBytes) {
          return httplib::Server::HandlerResponse::Unhandled;
        }
        response.status = kUriTooLong;
        return httplib::Server::HandlerResponse::Handled;
      });
  http_.set_exception_handler([on_exception = std::move(on_exception)](
                                  const httplib::Request&,
                                  httplib::Response& response,
                                  const std::exception_ptr& error) {
    response.status = kInternalError;
    if (on_exception) {
      on_exception(Describe(error));
    }
  });
}

HttpListener::~HttpListener() { Stop(); }

bool HttpListener::Start(const request::Endpoint& endpoint,
                         request::Failure* failure) {
  const std::string host = request::ToString(endpoint.address);
  const int port = endpoint.port == 0 ? http_.bind_to_any_port(host.c_str())
                   : http_.bind_to_port(host.c_str(), endpoint.port)
                       ? endpoint.port
                       : -1;
  if (port <= 0) {
    *failure = {request::ResultCode::kSocketError,
                "cannot serve HTTP on " + request::ToString(endpoint)};
    return false;
  }
  port_ = static_cast<uint16_t>(port);
  thread_ = std::thread([this] { http_.listen_after_bind(); });
  return true;
}

void HttpListener::Stop() {
  if (thread_.joinable()) {
    // `stop` has no effect until the thread listens.
    while (!http_.is_running()) {
      std::this_thread::yield();
    }
    http_.stop();
    thread_.join();
  }
}

}  // namespace kumquatvalve::process
