#ifndef KUMQUATVALVE_STANDINS_OBJECT_API_SERVER_H_
#define KUMQUATVALVE_STANDINS_OBJECT_API_SERVER_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>

#include "object_store.h"

namespace httplib {
struct Request;
struct Response;
class Server;
}  // namespace httplib

namespace kumquatvalve::standins {

/// Stand-in for the platform's object API: an HTTP server with its protocol
/// (docs/interfaces.md) and a path `/control` that switches faults on and off.
/// Thread-safe, except for `Start` and `Stop`.
class ObjectApiServer {
 public:
  /// @param tokens accepted bearer tokens and the subtree that each may write;
  ///   without tokens every call is accepted.
  /// @param seed of the random faults.
  explicit ObjectApiServer(std::map<std::string, std::string> tokens = {},
                           uint64_t seed = 1);
  ~ObjectApiServer();
  ObjectApiServer(const ObjectApiServer&) = delete;
  ObjectApiServer& operator=(const ObjectApiServer&) = delete;

  /// Binds the address and starts serving on a background thread.
  /// @param port 0 chooses a free port.
  /// @return the bound port, or 0 when the address cannot be bound.
  uint16_t Start(const std::string& address, uint16_t port);

  /// Ends waiting watches, closes the port and joins the server's thread.
  void Stop();

  /// Sets the faults in the fields of a `/control` request; see
  /// docs/interfaces.md.
  /// @return false, without any change, when a field is unknown or of the wrong
  ///   type.
  bool Control(const nlohmann::json& fields);

  /// The number of calls by kind and the store's revision: the response to
  /// `GET /control`.
  nlohmann::json Counts() const;

 private:
  struct Faults {
    bool down = false;
    std::chrono::milliseconds call_delay{0};
    /// Writes that are applied, but whose response is lost: the next N, or each
    /// with this probability.
    uint64_t lose_answers = 0;
    double lose_answer_share = 0;
    /// Probability that a write is neither applied nor answered.
    double lose_request_share = 0;
    ObjectStore::WatchFaults watch;
  };

  void RegisterHandlers();
  bool AcceptCall(const std::string& kind, const httplib::Request& request,
                  httplib::Response* response);
  bool IsWriteAllowed(const httplib::Request& request,
                      const std::string& path) const;
  void HandleRead(const httplib::Request& request, httplib::Response* response);
  void HandleList(const httplib::Request& request, httplib::Response* response);
  void HandleWatch(const httplib::Request& request,
                   httplib::Response* response);
  void HandleWrite(const httplib::Request& request,
                   httplib::Response* response);

  mutable std::mutex mutex_;
  std::condition_variable state_changed_;
  std::map<std::string, std::string> tokens_;
  ObjectStore store_;
  Faults faults_;
  std::mt19937_64 random_;
  std::map<std::string, uint64_t> calls_by_kind_;
  bool stopping_ = false;
  std::unique_ptr<httplib::Server> server_;
  std::thread thread_;
};

}  // namespace kumquatvalve::standins

#endif  // KUMQUATVALVE_STANDINS_OBJECT_API_SERVER_H_
