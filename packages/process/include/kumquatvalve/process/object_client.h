#ifndef KUMQUATVALVE_PROCESS_OBJECT_CLIENT_H_
#define KUMQUATVALVE_PROCESS_OBJECT_CLIENT_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "kumquatvalve/process/call_budget.h"
#include "kumquatvalve/process/object_api.h"
#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/request/result_code.h"
#include "kumquatvalve/version/process_settings.h"

namespace kumquatvalve::process {

/// HTTP client of the object API. May be used from several threads; a waiting
/// watch does not delay other calls. Models `ObjectApi`, which lists the
/// failures.
///
/// A read that fails at one address is retried at the next one. A write is
/// retried only when it certainly did not reach the store, so that it never
/// takes effect twice.
class ObjectClient {
 public:
  /// @param budget call limits of this process; each HTTP request takes one
  ///   call.
  /// @param seed of the backoff's jitter; must differ between processes.
  ObjectClient(version::ObjectApiSettings settings, CallBudgetSettings budget,
               uint64_t seed);
  /// Uses the call budget given in `settings`.
  ObjectClient(const version::ObjectApiSettings& settings, uint64_t seed);
  ~ObjectClient();
  ObjectClient(const ObjectClient&) = delete;
  ObjectClient& operator=(const ObjectClient&) = delete;

  std::optional<StoredObject> Read(const std::string& path,
                                   request::Failure* failure);
  std::optional<ObjectList> List(const std::string& prefix,
                                 request::Failure* failure);
  std::optional<request::TableVersion> Create(const std::string& path,
                                              const std::string& body,
                                              request::Failure* failure);
  std::optional<request::TableVersion> Update(const std::string& path,
                                              request::TableVersion expected,
                                              const std::string& body,
                                              request::Failure* failure);
  std::optional<request::TableVersion> Delete(const std::string& path,
                                              request::TableVersion expected,
                                              request::Failure* failure);
  std::optional<WatchAnswer> Watch(const std::string& prefix,
                                   request::TableVersion since,
                                   std::chrono::milliseconds timeout,
                                   request::Failure* failure);

  /// Ends waiting calls and rejects further ones with `kStoreUnavailable`
  /// (reads) or `kOutcomeUnknown` (writes in progress).
  void Stop();

  /// Earliest time at which the call budget permits the next call.
  std::chrono::steady_clock::time_point NextCallAt() const;

  /// Number of HTTP requests made so far.
  uint64_t calls() const;

 private:
  struct Call;
  struct Response;
  struct Connection;

  std::optional<Response> TryAddresses(const Call& call,
                                       request::Failure* failure);
  Response SendRequest(const std::string& url, const std::string& token,
                       const Call& call);
  std::optional<request::TableVersion> Write(const Call& call,
                                             request::Failure* failure);
  std::unique_ptr<Connection> TakeConnection();
  void ReturnConnection(std::unique_ptr<Connection> connection);

  const version::ObjectApiSettings settings_;
  std::atomic<bool> stopped_ = false;
  std::atomic<uint64_t> calls_ = 0;
  mutable std::mutex mutex_;
  /// Guarded by `mutex_`.
  CallBudget budget_;
  /// Idle connections, guarded by `mutex_`.
  std::vector<std::unique_ptr<Connection>> idle_connections_;
};

static_assert(ObjectApi<ObjectClient>);

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_OBJECT_CLIENT_H_
