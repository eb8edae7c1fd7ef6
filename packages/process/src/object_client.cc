#include "kumquatvalve/process/object_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <fstream>
#include <memory>
#include <sstream>
#include <string_view>
#include <utility>

#include "kumquatvalve/process/object_answer.h"

namespace kumquatvalve::process {
namespace {

using request::Failure;
using request::ResultCode;
using request::TableVersion;
using std::chrono::milliseconds;

// A list of all tables at the target size is about 16 MB, which base64 and JSON
// extend to less than 32 MB. A longer response is a fault of the store, and is
// rejected before it takes memory that packets need.
constexpr size_t kMaxResponseBytes = size_t{32} << 20;

// Idle connections kept for reuse; more concurrent calls are rare.
constexpr size_t kMaxIdleConnections = 4;

constexpr std::string_view kObjectsPath = "/v1/objects";

constexpr int64_t kStatusOk = 200;
constexpr int64_t kStatusCreated = 201;
constexpr int64_t kStatusUnauthorized = 401;
constexpr int64_t kStatusForbidden = 403;
constexpr int64_t kStatusNotFound = 404;
constexpr int64_t kStatusGone = 410;
constexpr int64_t kStatusPreconditionFailed = 412;
constexpr int64_t kStatusTooLarge = 413;
constexpr int64_t kStatusTooManyRequests = 429;
constexpr int64_t kStatusServerError = 500;
constexpr int64_t kStatusUnavailable = 503;

// Write callback of libcurl; a result that differs from the number of bytes
// ends the transfer.
size_t AppendToResponse(char* data, size_t size, size_t count,
                        void* response_body) {
  auto* body = static_cast<std::string*>(response_body);
  if (body->size() + size * count > kMaxResponseBytes) {
    return 0;
  }
  body->append(data, size * count);
  return size * count;
}

// Progress callback of libcurl; a result other than 0 ends the transfer.
int AbortIfStopped(void* stopped, curl_off_t, curl_off_t, curl_off_t,
                   curl_off_t) {
  return static_cast<std::atomic<bool>*>(stopped)->load() ? 1 : 0;
}

// Escapes everything but unreserved characters and '/'.
std::string EscapePath(std::string_view path) {
  constexpr std::string_view kHex = "0123456789ABCDEF";
  std::string escaped;
  for (const char it : path) {
    const auto byte = static_cast<unsigned char>(it);
    const bool unreserved =
        (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') ||
        (it >= '0' && it <= '9') ||
        std::string_view("/-._~").find(it) != std::string_view::npos;
    if (unreserved) {
      escaped += it;
    } else {
      escaped += '%';
      escaped += kHex[byte >> 4];
      escaped += kHex[byte & 15];
    }
  }
  return escaped;
}

// Reads the token. Called for every request, since operators may replace the
// file at any time.
// @return an empty token when no file is configured.
std::optional<std::string> ReadToken(const std::string& file,
                                     Failure* failure) {
  if (file.empty()) {
    return "";
  }
  std::ifstream stream(file);
  if (!stream) {
    *failure = {ResultCode::kUnauthorized, "cannot read token file " + file};
    return std::nullopt;
  }
  std::stringstream text;
  text << stream.rdbuf();
  std::string token = text.str();
  token.erase(token.find_last_not_of(" \r\n\t") + 1);
  return token;
}

void InitializeCurl() {
  static const CURLcode kInitialized = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)kInitialized;
}

std::string IfMatchHeader(TableVersion version) {
  return "If-Match: " + std::to_string(version.value);
}

CallBudgetSettings CallBudgetFromSettings(
    const version::ObjectApiSettings& settings) {
  CallBudgetSettings budget;
  budget.calls_per_second = settings.calls_per_second;
  return budget;
}

}  // namespace

struct ObjectClient::Call {
  const char* method = "GET";
  /// Path and query.
  std::string target;
  /// Header that makes a write conditional; empty for reads.
  std::string condition;
  std::string body;
  milliseconds timeout{0};

  bool IsWrite() const { return !condition.empty(); }
};

struct ObjectClient::Response {
  /// HTTP status; 0 when there was no complete response.
  int64_t status = 0;
  std::string body;
  /// No byte of the request was sent.
  bool not_sent = false;
  /// Reason given by libcurl when `status` is 0.
  std::string error;

  /// The request did not reach the store, or the store responded that it
  /// did not execute it. A write may then be sent to another address.
  bool CertainlyNotExecuted() const {
    return not_sent || status == kStatusUnavailable ||
           status == kStatusTooManyRequests;
  }
  /// The store did not serve the call; a read goes on to the next address.
  bool IsUnavailable() const {
    return status == 0 || status >= kStatusServerError ||
           status == kStatusTooManyRequests;
  }
};

struct ObjectClient::Connection {
  std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle{curl_easy_init(),
                                                             curl_easy_cleanup};
};

ObjectClient::ObjectClient(version::ObjectApiSettings settings,
                           CallBudgetSettings budget, uint64_t seed)
    : settings_(std::move(settings)), budget_(budget, seed) {
  InitializeCurl();
}

ObjectClient::ObjectClient(const version::ObjectApiSettings& settings,
                           uint64_t seed)
    : ObjectClient(settings, CallBudgetFromSettings(settings), seed) {}

ObjectClient::~ObjectClient() = default;

void ObjectClient::Stop() { stopped_ = true; }

std::chrono::steady_clock::time_point ObjectClient::NextCallAt() const {
  const std::lock_guard lock(mutex_);
  return budget_.NextCallAt(std::chrono::steady_clock::now());
}

uint64_t ObjectClient::calls() const { return calls_; }

std::unique_ptr<ObjectClient::Connection> ObjectClient::TakeConnection() {
  const std::lock_guard lock(mutex_);
  if (idle_connections_.empty()) {
    return std::make_unique<Connection>();
  }
  auto connection = std::move(idle_connections_.back());
  idle_connections_.pop_back();
  return connection;
}

void ObjectClient::ReturnConnection(std::unique_ptr<Connection> connection) {
  const std::lock_guard lock(mutex_);
  if (idle_connections_.size() < kMaxIdleConnections) {
    idle_connections_.push_back(std::move(connection));
  }
}

ObjectClient::Response ObjectClient::SendRequest(const std::string& url,
                                                 const std::string& token,
                                                 const Call& call) {
  Response response;
  curl_slist* header_list = nullptr;
  const auto add_header = [&header_list](const std::string& header) {
    header_list = curl_slist_append(header_list, header.c_str());
  };
  if (!token.empty()) {
    add_header("Authorization: Bearer " + token);
  }
  if (call.IsWrite()) {
    add_header(call.condition);
    add_header("Content-Type: application/octet-stream");
  }
  // Large bodies would otherwise wait for a "100 Continue" response.
  add_header("Expect:");
  const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(
      header_list, curl_slist_free_all);

  auto connection = TakeConnection();
  CURL* curl = connection->handle.get();
  curl_easy_reset(curl);
  const std::string full_url = url + call.target;
  char error[CURL_ERROR_SIZE] = "";
  curl_easy_setopt(curl, CURLOPT_URL, full_url.c_str());
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, call.method);
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(call.timeout.count()));
  curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(settings_.timeout.count()));
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(curl, CURLOPT_ERRORBUFFER, error);
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, AppendToResponse);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &response.body);
  curl_easy_setopt(curl, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(curl, CURLOPT_XFERINFOFUNCTION, AbortIfStopped);
  curl_easy_setopt(curl, CURLOPT_XFERINFODATA, &stopped_);
  if (call.IsWrite()) {
    // libcurl sends a request again when a reused connection turns out to be
    // closed. The first copy may have taken effect, so writes use a new
    // connection, on which libcurl does not do that.
    curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call.body.size()));
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, call.body.c_str());
  }
  const CURLcode ec = curl_easy_perform(curl);
  if (ec == CURLE_OK) {
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &response.status);
  } else {
    curl_off_t sent = 0;
    int64_t request_size = 0;
    curl_easy_getinfo(curl, CURLINFO_SIZE_UPLOAD_T, &sent);
    curl_easy_getinfo(curl, CURLINFO_REQUEST_SIZE, &request_size);
    response.not_sent = sent == 0 && request_size == 0;
    response.error = error[0] != '\0' ? error : curl_easy_strerror(ec);
  }
  // The handle must not keep pointers to this call's data.
  curl_easy_reset(curl);
  ReturnConnection(std::move(connection));
  return response;
}

std::optional<ObjectClient::Response> ObjectClient::TryAddresses(
    const Call& call, Failure* failure) {
  const auto token = ReadToken(settings_.token_file, failure);
  if (!token) {
    return std::nullopt;
  }
  *failure = {ResultCode::kStoreUnavailable,
              "no object API address is configured"};
  for (const std::string& url : settings_.urls) {
    if (stopped_) {
      *failure = {ResultCode::kStoreUnavailable, "the client was stopped"};
      return std::nullopt;
    }
    {
      const std::lock_guard lock(mutex_);
      if (!budget_.TryAcquire(std::chrono::steady_clock::now())) {
        // A failure at an earlier address is more informative than the spent
        // budget.
        if (url == settings_.urls.front()) {
          *failure = {ResultCode::kCallBudgetSpent,
                      budget_.circuit_open()
                          ? "calls are suspended after repeated failures"
                          : "the call budget of this process is spent"};
        }
        return std::nullopt;
      }
    }
    ++calls_;
    Response response = SendRequest(url, *token, call);
    if (!response.IsUnavailable()) {
      const std::lock_guard lock(mutex_);
      budget_.OnResponse();
      return response;
    }
    const std::string reason = response.status != 0
                                   ? "status " + std::to_string(response.status)
                                   : response.error;
    *failure = {ResultCode::kStoreUnavailable, url};
    failure->detail.append(": ").append(reason);
    if (call.IsWrite() && !response.CertainlyNotExecuted()) {
      failure->code = ResultCode::kOutcomeUnknown;
      const std::lock_guard lock(mutex_);
      budget_.OnFailure(std::chrono::steady_clock::now());
      return std::nullopt;
    }
  }
  const std::lock_guard lock(mutex_);
  budget_.OnFailure(std::chrono::steady_clock::now());
  return std::nullopt;
}

namespace {

// @param create Whether the call was a creation, for which a failed
//   precondition means that the object exists.
// @return the failure that an HTTP status stands for; nothing for success.
std::optional<Failure> FailureForStatus(int64_t status, bool create,
                                        const std::string& path_or_prefix) {
  switch (status) {
    case kStatusOk:
    case kStatusCreated:
      return std::nullopt;
    case kStatusUnauthorized:
    case kStatusForbidden:
      return Failure{ResultCode::kUnauthorized,
                     "the store rejected the token for " + path_or_prefix};
    case kStatusNotFound:
      return Failure{ResultCode::kNotFound, path_or_prefix + " does not exist"};
    case kStatusPreconditionFailed:
      return create ? Failure{ResultCode::kAlreadyExists,
                              path_or_prefix + " already exists"}
                    : Failure{
                          ResultCode::kConflict,
                          path_or_prefix + " was changed by another operation"};
    case kStatusTooLarge:
      return Failure{ResultCode::kValueTooLarge,
                     "the value for " + path_or_prefix + " is too large"};
    default:
      return Failure{ResultCode::kBadAnswer, "unexpected status " +
                                                 std::to_string(status) +
                                                 " for " + path_or_prefix};
  }
}

}  // namespace

std::optional<StoredObject> ObjectClient::Read(const std::string& path,
                                               Failure* failure) {
  Call call;
  call.target = std::string(kObjectsPath) + EscapePath(path);
  call.timeout = settings_.timeout;
  const auto response = TryAddresses(call, failure);
  if (!response) {
    return std::nullopt;
  }
  if (const auto status_failure =
          FailureForStatus(response->status, false, path)) {
    *failure = *status_failure;
    return std::nullopt;
  }
  auto object = ParseObjectResponse(response->body, failure);
  if (object && object->path != path) {
    *failure = {ResultCode::kBadAnswer, "the response to a read of " + path +
                                            " contains object " + object->path};
    return std::nullopt;
  }
  return object;
}

std::optional<ObjectList> ObjectClient::List(const std::string& prefix,
                                             Failure* failure) {
  Call call;
  call.target = std::string(kObjectsPath) + "?prefix=" + EscapePath(prefix);
  call.timeout = settings_.timeout;
  const auto response = TryAddresses(call, failure);
  if (!response) {
    return std::nullopt;
  }
  if (const auto status_failure =
          FailureForStatus(response->status, false, prefix)) {
    *failure = *status_failure;
    return std::nullopt;
  }
  return ParseListResponse(response->body, failure);
}

std::optional<TableVersion> ObjectClient::Write(const Call& call,
                                                Failure* failure) {
  const auto response = TryAddresses(call, failure);
  if (!response) {
    return std::nullopt;
  }
  const bool create = call.condition == "If-None-Match: *";
  const std::string path = call.target.substr(kObjectsPath.size());
  if (auto status_failure = FailureForStatus(response->status, create, path)) {
    // A status that is not part of the protocol does not show whether the write
    // took effect.
    if (status_failure->code == ResultCode::kBadAnswer) {
      status_failure->code = ResultCode::kOutcomeUnknown;
    }
    *failure = *status_failure;
    return std::nullopt;
  }
  const auto version = ParseWriteResponse(response->body, failure);
  if (!version) {
    *failure = {ResultCode::kOutcomeUnknown,
                "the response to the write of " + path + " cannot be parsed"};
  }
  return version;
}

std::optional<TableVersion> ObjectClient::Create(const std::string& path,
                                                 const std::string& body,
                                                 Failure* failure) {
  return Write({"PUT", std::string(kObjectsPath) + EscapePath(path),
                "If-None-Match: *", body, settings_.timeout},
               failure);
}

std::optional<TableVersion> ObjectClient::Update(const std::string& path,
                                                 TableVersion expected,
                                                 const std::string& body,
                                                 Failure* failure) {
  return Write({"PUT", std::string(kObjectsPath) + EscapePath(path),
                IfMatchHeader(expected), body, settings_.timeout},
               failure);
}

std::optional<TableVersion> ObjectClient::Delete(const std::string& path,
                                                 TableVersion expected,
                                                 Failure* failure) {
  return Write({"DELETE", std::string(kObjectsPath) + EscapePath(path),
                IfMatchHeader(expected), "", settings_.timeout},
               failure);
}

std::optional<WatchAnswer> ObjectClient::Watch(const std::string& prefix,
                                               TableVersion since,
                                               milliseconds timeout,
                                               Failure* failure) {
  Call call;
  call.target = "/v1/watch?prefix=" + EscapePath(prefix) +
                "&since=" + std::to_string(since.value) +
                "&timeout_ms=" + std::to_string(timeout.count());
  call.timeout = timeout + settings_.timeout;
  const auto response = TryAddresses(call, failure);
  if (!response) {
    return std::nullopt;
  }
  if (response->status == kStatusGone) {
    auto list = List(prefix, failure);
    if (!list) {
      return std::nullopt;
    }
    WatchAnswer snapshot;
    snapshot.version = list->version;
    snapshot.snapshot = true;
    for (StoredObject& it : list->items) {
      snapshot.events.push_back({std::move(it), false});
    }
    return snapshot;
  }
  if (const auto status_failure =
          FailureForStatus(response->status, false, prefix)) {
    *failure = *status_failure;
    return std::nullopt;
  }
  return ParseWatchResponse(response->body, failure);
}

}  // namespace kumquatvalve::process
