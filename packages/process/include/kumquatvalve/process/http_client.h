#ifndef KUMQUATVALVE_PROCESS_HTTP_CLIENT_H_
#define KUMQUATVALVE_PROCESS_HTTP_CLIENT_H_

#include <httplib.h>

#include <string>

#include "kumquatvalve/request/endpoint.h"

namespace kumquatvalve::process {

httplib::Client MakeHttpClient(const request::Endpoint& server);

/// @param url for example "http://127.0.0.1:9000". The library reads a URL with
///   a regular expression, a twentieth of the instructions of a start; an
///   address in numbers is read without it.
httplib::Client MakeHttpClient(const std::string& url);

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_HTTP_CLIENT_H_
