#include "object_api_server.h"

#include <httplib.h>

#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

#include "kumquatvalve/process/object_answer.h"

namespace kumquatvalve::standins {
namespace {

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr size_t kMaxBodyBytes = size_t{1} << 20;

// Every waiting watch occupies a thread.
constexpr size_t kServerThreads = 128;

// How often a waiting watch checks for events whose delay has expired.
constexpr milliseconds kWatchPollInterval{5};

constexpr milliseconds kMaxWatchTimeout{60000};

constexpr std::string_view kBearerPrefix = "Bearer ";

std::optional<uint64_t> ParseNumber(std::string_view text) {
  uint64_t value = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

void SetJsonResponse(httplib::Response* response, int status,
                     const Json& body) {
  response->status = status;
  response->set_content(body.dump(), "application/json");
}

// Sends the headers and closes the connection before the body: the client gets
// no complete response.
void SetTruncatedResponse(httplib::Response* response) {
  response->set_content_provider(
      size_t{16}, "application/json",
      [](size_t, size_t, httplib::DataSink&) { return false; });
}

std::string BearerToken(const httplib::Request& request) {
  const std::string value = request.get_header_value("Authorization");
  return value.starts_with(kBearerPrefix) ? value.substr(kBearerPrefix.size())
                                          : "";
}

}  // namespace

ObjectApiServer::ObjectApiServer(std::map<std::string, std::string> tokens,
                                 uint64_t seed)
    : tokens_(std::move(tokens)),
      store_(10000, seed),
      random_(seed),
      server_(std::make_unique<httplib::Server>()) {
  server_->new_task_queue = [] {
    return new httplib::ThreadPool(kServerThreads);
  };
  server_->set_payload_max_length(kMaxBodyBytes);
  server_->set_tcp_nodelay(true);
  // In seconds. Stop() waits up to this long for idle connections.
  server_->set_keep_alive_timeout(1);
  RegisterHandlers();
}

ObjectApiServer::~ObjectApiServer() { Stop(); }

uint16_t ObjectApiServer::Start(const std::string& address, uint16_t port) {
  int bound = port;
  if (port == 0) {
    bound = server_->bind_to_any_port(address.c_str());
  } else if (!server_->bind_to_port(address.c_str(), port)) {
    bound = -1;
  }
  if (bound <= 0) {
    return 0;
  }
  thread_ = std::thread([this] { server_->listen_after_bind(); });
  while (!server_->is_running()) {
    std::this_thread::yield();
  }
  return static_cast<uint16_t>(bound);
}

void ObjectApiServer::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  state_changed_.notify_all();
  if (thread_.joinable()) {
    server_->stop();
    thread_.join();
  }
}

void ObjectApiServer::RegisterHandlers() {
  using httplib::Request;
  using httplib::Response;
  server_->Get("/v1/objects", [this](const Request& in, Response& out) {
    HandleList(in, &out);
  });
  server_->Get("/v1/objects(/.+)", [this](const Request& in, Response& out) {
    HandleRead(in, &out);
  });
  server_->Put("/v1/objects(/.+)", [this](const Request& in, Response& out) {
    HandleWrite(in, &out);
  });
  server_->Delete("/v1/objects(/.+)", [this](const Request& in, Response& out) {
    HandleWrite(in, &out);
  });
  server_->Get("/v1/watch", [this](const Request& in, Response& out) {
    HandleWatch(in, &out);
  });
  server_->Get("/control", [this](const Request&, Response& out) {
    SetJsonResponse(&out, 200, Counts());
  });
  server_->Post("/control", [this](const Request& in, Response& out) {
    const Json fields = Json::parse(in.body, nullptr, false);
    SetJsonResponse(&out, Control(fields) ? 200 : 400, Counts());
  });
}

bool ObjectApiServer::Control(const Json& fields) {
  if (!fields.is_object()) {
    return false;
  }
  const std::lock_guard lock(mutex_);
  Faults faults = faults_;
  std::map<std::string, std::string> tokens = tokens_;
  bool drop_log = false;
  try {
    for (const auto& [key, value] : fields.items()) {
      if (key == "down") {
        faults.down = value.get<bool>();
      } else if (key == "slow_ms") {
        faults.call_delay = milliseconds(value.get<uint32_t>());
      } else if (key == "lose_answers") {
        faults.lose_answers = value.get<uint64_t>();
      } else if (key == "lose_answer_share") {
        faults.lose_answer_share = value.get<double>();
      } else if (key == "lose_request_share") {
        faults.lose_request_share = value.get<double>();
      } else if (key == "watch_delay_ms") {
        faults.watch.delay = milliseconds(value.get<uint32_t>());
      } else if (key == "watch_twice") {
        faults.watch.repeat_events = value.get<bool>();
      } else if (key == "watch_shuffle") {
        faults.watch.shuffle = value.get<bool>();
      } else if (key == "drop_log") {
        drop_log = value.get<bool>();
      } else if (key == "tokens") {
        tokens = value.get<std::map<std::string, std::string>>();
      } else {
        return false;
      }
    }
  } catch (const Json::exception&) {
    return false;
  }
  faults_ = faults;
  tokens_ = std::move(tokens);
  if (drop_log) {
    store_.DropLog();
  }
  state_changed_.notify_all();
  return true;
}

Json ObjectApiServer::Counts() const {
  const std::lock_guard lock(mutex_);
  Json calls = Json::object();
  for (const auto& [kind, count] : calls_by_kind_) {
    calls[kind] = count;
  }
  return {{"calls", calls}, {"version", store_.revision()}};
}

bool ObjectApiServer::AcceptCall(const std::string& kind,
                                 const httplib::Request& request,
                                 httplib::Response* response) {
  milliseconds call_delay{0};
  {
    const std::lock_guard lock(mutex_);
    ++calls_by_kind_[kind];
    if (faults_.down || stopping_) {
      SetJsonResponse(response, 503, {{"error", "unavailable"}});
      return false;
    }
    if (!tokens_.empty() && !tokens_.contains(BearerToken(request))) {
      SetJsonResponse(response, 401, {{"error", "unknown token"}});
      return false;
    }
    call_delay = faults_.call_delay;
  }
  std::this_thread::sleep_for(call_delay);
  return true;
}

bool ObjectApiServer::IsWriteAllowed(const httplib::Request& request,
                                     const std::string& path) const {
  if (tokens_.empty()) {
    return true;
  }
  const auto it = tokens_.find(BearerToken(request));
  return it != tokens_.end() && path.starts_with(it->second);
}

void ObjectApiServer::HandleRead(const httplib::Request& request,
                                 httplib::Response* response) {
  if (!AcceptCall("read", request, response)) {
    return;
  }
  const std::lock_guard lock(mutex_);
  const auto object = store_.Read(request.matches[1]);
  if (!object) {
    SetJsonResponse(response, 404, {{"error", "not found"}});
    return;
  }
  SetJsonResponse(response, 200, process::WriteObject(*object));
}

void ObjectApiServer::HandleList(const httplib::Request& request,
                                 httplib::Response* response) {
  if (!AcceptCall("list", request, response)) {
    return;
  }
  const std::lock_guard lock(mutex_);
  const auto list = store_.List(request.get_param_value("prefix"));
  Json items = Json::array();
  for (const auto& it : list.items) {
    items.push_back(process::WriteObject(it));
  }
  SetJsonResponse(response, 200,
                  {{"items", items}, {"version", list.version.value}});
}

void ObjectApiServer::HandleWatch(const httplib::Request& request,
                                  httplib::Response* response) {
  if (!AcceptCall("watch", request, response)) {
    return;
  }
  const auto since = ParseNumber(request.get_param_value("since"));
  const auto timeout = ParseNumber(request.get_param_value("timeout_ms"));
  if (!since || !timeout) {
    SetJsonResponse(response, 400, {{"error", "bad since or timeout_ms"}});
    return;
  }
  const std::string prefix = request.get_param_value("prefix");
  const auto deadline =
      Clock::now() + std::min(kMaxWatchTimeout, milliseconds(*timeout));
  std::unique_lock lock(mutex_);
  while (true) {
    const auto now = Clock::now();
    if (faults_.down || stopping_) {
      SetJsonResponse(response, 503, {{"error", "unavailable"}});
      return;
    }
    const auto answer = store_.EventsSince(prefix, *since, faults_.watch, now);
    if (!answer) {
      SetJsonResponse(response, 410, {{"error", "events dropped"}});
      return;
    }
    if (!answer->events.empty() || now >= deadline) {
      Json events = Json::array();
      for (const auto& it : answer->events) {
        events.push_back(process::WriteObject(it.object));
        if (it.deleted) {
          events.back()["deleted"] = true;
        }
      }
      SetJsonResponse(response, 200,
                      {{"events", events}, {"version", answer->version.value}});
      return;
    }
    if (faults_.watch.delay.count() > 0) {
      state_changed_.wait_for(lock, kWatchPollInterval);
    } else {
      state_changed_.wait_until(lock, deadline);
    }
  }
}

void ObjectApiServer::HandleWrite(const httplib::Request& request,
                                  httplib::Response* response) {
  const bool is_delete = request.method == "DELETE";
  if (!AcceptCall(is_delete ? "delete" : "put", request, response)) {
    return;
  }
  const std::string path = request.matches[1];
  const bool must_not_exist = request.get_header_value("If-None-Match") == "*";
  const auto expected = ParseNumber(request.get_header_value("If-Match"));
  const std::lock_guard lock(mutex_);
  if (must_not_exist == expected.has_value() || (must_not_exist && is_delete)) {
    SetJsonResponse(response, 400, {{"error", "one condition is needed"}});
    return;
  }
  if (!IsWriteAllowed(request, path)) {
    SetJsonResponse(response, 403, {{"error", "outside the token's subtree"}});
    return;
  }
  if (request.body.size() > kMaxBodyBytes) {
    SetJsonResponse(response, 413, {{"error", "too large"}});
    return;
  }
  std::uniform_real_distribution<double> uniform(0, 1);
  if (uniform(random_) < faults_.lose_request_share) {
    SetTruncatedResponse(response);
    return;
  }
  const uint64_t version = expected.value_or(0);
  const auto written =
      is_delete ? store_.Delete(path, version, Clock::now())
                : store_.Put(path, version, request.body, Clock::now());
  state_changed_.notify_all();
  bool lose_response = uniform(random_) < faults_.lose_answer_share;
  if (faults_.lose_answers > 0) {
    --faults_.lose_answers;
    lose_response = true;
  }
  if (lose_response) {
    SetTruncatedResponse(response);
    return;
  }
  const Json body = {{"path", path}, {"version", written.version}};
  switch (written.outcome) {
    case ObjectStore::Outcome::kOk:
      SetJsonResponse(response, 200, body);
      return;
    case ObjectStore::Outcome::kNotFound:
      SetJsonResponse(response, 404, body);
      return;
    case ObjectStore::Outcome::kPreconditionFailed:
      SetJsonResponse(response, 412, body);
      return;
  }
}

}  // namespace kumquatvalve::standins
