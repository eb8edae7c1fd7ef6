#ifndef KUMQUATVALVE_PROCESS_HTTP_CLIENT_H_
#define KUMQUATVALVE_PROCESS_HTTP_CLIENT_H_

#include <httplib.h>

#include <string>

#include "kumquatvalve/request/endpoint.h"

namespace kumquatvalve::process {

httplib::Client MakeHttpClient(const request::Endpoint& server);

/// @param url for example "http://127.0.0.1:9000". An address in numbers costs
///   a hundredth of the time of a name: the library reads URLs with a regular
///   expression, which is a twentieth of the start of a process.
httplib::Client MakeHttpClient(const std::string& url);

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_HTTP_CLIENT_H_
