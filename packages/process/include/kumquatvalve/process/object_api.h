#ifndef KUMQUATVALVE_PROCESS_OBJECT_API_H_
#define KUMQUATVALVE_PROCESS_OBJECT_API_H_

#include <chrono>
#include <concepts>
#include <optional>
#include <string>
#include <vector>

#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/request/result_code.h"

namespace kumquatvalve::process {

/// An object of the store. Its version is the store revision of its last
/// change.
struct StoredObject {
  std::string path;
  request::TableVersion version;
  std::string body;

  friend bool operator==(const StoredObject&, const StoredObject&) = default;
};

/// All objects under a prefix as they were at store revision `version`.
struct ObjectList {
  std::vector<StoredObject> items;
  request::TableVersion version;
};

/// One change that a watch reports.
struct ObjectEvent {
  StoredObject object;
  /// The object was deleted at `object.version`; its body is empty.
  bool deleted = false;

  friend bool operator==(const ObjectEvent&, const ObjectEvent&) = default;
};

/// Result of a watch.
struct WatchAnswer {
  /// Empty when nothing changed within the timeout. Events may be duplicated
  /// and reordered; only their versions show which one is newer.
  std::vector<ObjectEvent> events;
  /// Store revision to pass as `since` to the next watch. When its era is later
  /// than that of `since` and this is no snapshot, the store has gone back in
  /// time: there are no events, and the objects have to be listed again.
  request::TableVersion version;
  /// The store had dropped the events after `since`. `events` now holds every
  /// object under the prefix; a path that is not among them does not exist at
  /// `version`.
  bool snapshot = false;
};

/// The platform's object API; docs/interfaces.md has the protocol.
///
/// Every operation returns nothing and a reason on failure:
/// - `kConflict`: the object has another version, or was deleted.
/// - `kNotFound`, `kAlreadyExists`, `kUnauthorized`, `kValueTooLarge`.
/// - `kStoreUnavailable`: a read failed, or a write certainly did not happen.
/// - `kOutcomeUnknown`: a write may or may not have taken effect.
/// - `kBadAnswer`: the answer to a read cannot be understood.
/// - `kCallBudgetSpent`: no call was made.
template <typename A>
concept ObjectApi = requires(A api, const std::string& path,
                             request::TableVersion version,
                             const std::string& body,
                             std::chrono::milliseconds timeout,
                             request::Failure* failure) {
  { api.Read(path, failure) } -> std::same_as<std::optional<StoredObject>>;
  // All objects whose path begins with `path`.
  { api.List(path, failure) } -> std::same_as<std::optional<ObjectList>>;
  // The writes return the object's new version.
  {
    api.Create(path, body, failure)
    } -> std::same_as<std::optional<request::TableVersion>>;
  {
    api.Update(path, version, body, failure)
    } -> std::same_as<std::optional<request::TableVersion>>;
  {
    api.Delete(path, version, failure)
    } -> std::same_as<std::optional<request::TableVersion>>;
  // Waits at most `timeout` for changes after `version` under prefix `path`.
  {
    api.Watch(path, version, timeout, failure)
    } -> std::same_as<std::optional<WatchAnswer>>;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_OBJECT_API_H_
