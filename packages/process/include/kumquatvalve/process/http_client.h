#ifndef KUMQUATVALVE_PROCESS_HTTP_CLIENT_H_
#define KUMQUATVALVE_PROCESS_HTTP_CLIENT_H_

#include <httplib.h>

#include <string>

#include "kumquatvalve/request/endpoint.h"

namespace kumquatvalve::process {

/// Returns a client for an HTTP server. Does not connect.
httplib::Client MakeHttpClient(const request::Endpoint& server);

/// Returns a client for the server of a URL. Does not connect.
/// @param url for example "http://127.0.0.1:9000". A numeric address is parsed
///   here: the library parses URLs with a regular expression, which takes a
///   twentieth of all instructions of a process start.
httplib::Client MakeHttpClient(const std::string& url);

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_HTTP_CLIENT_H_
