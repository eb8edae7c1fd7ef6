#ifndef KUMQUATVALVE_PROCESS_SERVICE_EDITOR_H_
#define KUMQUATVALVE_PROCESS_SERVICE_EDITOR_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "kumquatvalve/process/object_api.h"
#include "kumquatvalve/request/ids.h"
#include "kumquatvalve/request/result_code.h"
#include "kumquatvalve/version/service_spec.h"
#include "kumquatvalve/version/subtree.h"

namespace kumquatvalve::process {

/// An operator's change that the store accepted.
struct AcceptedChange {
  request::TableVersion version;
  /// The service had these settings already and nothing was written.
  bool unchanged = false;
};

/// Changes services in the store for one operator.
///
/// Each change carries an operation id. When the answer to a write is lost,
/// the object is read back: if it names the operation, the change is reported
/// as accepted. Otherwise the same conditional write is sent again, which
/// cannot take effect twice because the first one changes the version.
///
/// @tparam A an `ObjectApi`.
template <ObjectApi A>
class ServiceEditor {
 public:
  enum class Mode { kCreateOrChange, kCreate, kChange };

  /// Called when the store did not answer or the call budget is spent. Waits
  /// before the next attempt; false gives up.
  using Wait = std::function<bool(const request::Failure&)>;

  /// @param team whose subtree may be changed.
  ServiceEditor(A* api, request::TeamName team, Wait wait)
      : api_(*api), team_(std::move(team)), wait_(std::move(wait)) {}

  /// All readable services in the store with their versions.
  std::optional<
      std::map<version::ServicePath,
               std::pair<request::TableVersion, version::StoredService>>>
  List(request::Failure* failure) {
    const auto list = Retry<ObjectList>(
        [&](request::Failure* reason) {
          return api_.List(std::string(version::kTeamsPrefix), reason);
        },
        failure);
    if (!list) {
      return std::nullopt;
    }
    std::map<version::ServicePath,
             std::pair<request::TableVersion, version::StoredService>>
        services;
    for (const StoredObject& it : list->items) {
      request::Failure unreadable;
      auto stored = version::ReadStoredService(it.path, it.body, &unreadable);
      if (stored) {
        const version::ServicePath path = stored->path;
        services.emplace(path, std::pair(it.version, std::move(*stored)));
      }
    }
    return services;
  }

  /// Creates or changes a service.
  /// @param operation its id must be new.
  /// @param expected the version that the operator looked at; without it the
  ///   version in the store at the time of the call.
  /// @return nothing and the reason; `kConflict` and `kAlreadyExists` name
  ///   the version and time of the change that was there first.
  std::optional<AcceptedChange> Write(
      const std::string& path, const version::ServiceSpec& spec,
      const version::Operation& operation, Mode mode,
      std::optional<request::TableVersion> expected,
      request::Failure* failure) {
    const auto parsed = version::CheckSubtree(team_, path, failure);
    if (!parsed) {
      return std::nullopt;
    }
    const auto services = List(failure);
    if (!services) {
      return std::nullopt;
    }
    std::map<version::ServicePath, version::ServiceSpec> specs;
    for (const auto& [other, stored] : *services) {
      specs.emplace(other, stored.second.spec);
    }
    if (!version::CheckAddresses(*parsed, spec, specs, failure)) {
      return std::nullopt;
    }
    version::StoredService next{*parsed, spec, operation, {}, {}};
    const auto found = services->find(*parsed);
    if (found == services->end()) {
      if (mode == Mode::kChange || expected) {
        *failure = {request::ResultCode::kNotFound, path + " does not exist"};
        return std::nullopt;
      }
      return Send(next, std::nullopt, failure);
    }
    const auto& [version, current] = found->second;
    if (mode == Mode::kCreate) {
      *failure =
          Describe(request::ResultCode::kAlreadyExists, version, current);
      return std::nullopt;
    }
    if (expected && *expected != version) {
      *failure = Describe(request::ResultCode::kConflict, version, current);
      return std::nullopt;
    }
    if (current.spec == spec) {
      return AcceptedChange{version, true};
    }
    next.created = current.Id(version);
    next.earlier = current.earlier;
    next.earlier.push_back({current.operation.id, version});
    if (next.earlier.size() > version::kMaxEarlierOperations) {
      next.earlier.erase(next.earlier.begin());
    }
    return Send(next, version, failure);
  }

  /// Removes a service.
  std::optional<AcceptedChange> Remove(
      const std::string& path, std::optional<request::TableVersion> expected,
      request::Failure* failure) {
    if (!version::CheckSubtree(team_, path, failure)) {
      return std::nullopt;
    }
    const auto read = [&](request::Failure* reason) {
      return api_.Read(path, reason);
    };
    const auto object = Retry<StoredObject>(read, failure);
    if (!object) {
      return std::nullopt;
    }
    if (expected && *expected != object->version) {
      *failure = DescribeObject(request::ResultCode::kConflict, *object);
      return std::nullopt;
    }
    bool unknown = false;
    while (true) {
      const auto version = api_.Delete(path, object->version, failure);
      if (version) {
        return AcceptedChange{*version};
      }
      if (failure->code == request::ResultCode::kConflict) {
        const auto winner = Retry<StoredObject>(read, failure);
        if (winner) {
          // A service that was created again tells nothing about a deletion
          // whose answer was lost.
          *failure = DescribeObject(unknown && IdOf(*winner) != IdOf(*object)
                                        ? request::ResultCode::kOutcomeUnknown
                                        : request::ResultCode::kConflict,
                                    *winner);
          return std::nullopt;
        }
        if (unknown && failure->code == request::ResultCode::kNotFound) {
          return AcceptedChange{object->version};
        }
        if (unknown) {
          failure->code = request::ResultCode::kOutcomeUnknown;
        }
        return std::nullopt;
      }
      // After a lost answer, "not found" means that this version is gone,
      // which is what was asked for.
      if (failure->code == request::ResultCode::kNotFound && unknown) {
        return AcceptedChange{object->version};
      }
      if (!IsTransient(failure->code)) {
        return std::nullopt;
      }
      unknown =
          unknown || failure->code == request::ResultCode::kOutcomeUnknown;
      if (!wait_(*failure)) {
        if (unknown) {
          failure->code = request::ResultCode::kOutcomeUnknown;
        }
        return std::nullopt;
      }
    }
  }

 private:
  static bool IsTransient(request::ResultCode code) {
    return code == request::ResultCode::kStoreUnavailable ||
           code == request::ResultCode::kOutcomeUnknown ||
           code == request::ResultCode::kCallBudgetSpent ||
           code == request::ResultCode::kBadAnswer;
  }

  template <typename T, typename F>
  std::optional<T> Retry(const F& call, request::Failure* failure) {
    while (true) {
      auto result = call(failure);
      if (result || !IsTransient(failure->code) || !wait_(*failure)) {
        return result;
      }
    }
  }

  static request::Failure Describe(request::ResultCode code,
                                   request::TableVersion version,
                                   const version::StoredService& stored) {
    return {code, ToString(stored.path) + " has version " +
                      std::to_string(version.value) + ", accepted at " +
                      stored.operation.time + " for " + stored.operation.by};
  }

  static request::Failure DescribeObject(request::ResultCode code,
                                         const StoredObject& object) {
    request::Failure unreadable;
    const auto stored =
        version::ReadStoredService(object.path, object.body, &unreadable);
    if (stored) {
      return Describe(code, object.version, *stored);
    }
    return {code, object.path + " has version " +
                      std::to_string(object.version.value)};
  }

  // The service id of a stored object; 0 when it cannot be read.
  static request::ServiceId IdOf(const StoredObject& object) {
    request::Failure unreadable;
    const auto stored =
        version::ReadStoredService(object.path, object.body, &unreadable);
    return stored ? stored->Id(object.version) : request::ServiceId{0};
  }

  // The version at which an operation took effect, if the object tells.
  static std::optional<request::TableVersion> VersionOf(
      const std::string& operation, const StoredObject& object) {
    request::Failure unreadable;
    const auto stored =
        version::ReadStoredService(object.path, object.body, &unreadable);
    if (!stored) {
      return std::nullopt;
    }
    if (stored->operation.id == operation) {
      return object.version;
    }
    for (const version::EarlierOperation& it : stored->earlier) {
      if (it.id == operation) {
        return it.version;
      }
    }
    return std::nullopt;
  }

  std::optional<AcceptedChange> Send(const version::StoredService& next,
                                     std::optional<request::TableVersion> base,
                                     request::Failure* failure) {
    const std::string path = ToString(next.path);
    const std::string body = version::WriteStoredService(next);
    // An earlier attempt may have taken effect.
    bool unknown = false;
    while (true) {
      const auto version = base ? api_.Update(path, *base, body, failure)
                                : api_.Create(path, body, failure);
      if (version) {
        return AcceptedChange{*version};
      }
      const bool refused = failure->code == request::ResultCode::kConflict ||
                           failure->code == request::ResultCode::kAlreadyExists;
      if (!refused && !IsTransient(failure->code)) {
        // "Unauthorized" or "too large" applies to every attempt alike.
        return std::nullopt;
      }
      // An answer that cannot be read may be that of a write that took effect.
      unknown = unknown ||
                failure->code == request::ResultCode::kOutcomeUnknown ||
                failure->code == request::ResultCode::kBadAnswer;
      if (refused || unknown) {
        const request::Failure reason = *failure;
        const auto object = Retry<StoredObject>(
            [&](request::Failure* in) { return api_.Read(path, in); }, failure);
        if (object) {
          if (const auto accepted = VersionOf(next.operation.id, *object)) {
            return AcceptedChange{*accepted};
          }
          // Another version than the base: an attempt still on its way fails.
          if (!base || object->version != *base) {
            return Lost(unknown, next, *object, failure);
          }
        } else if (failure->code != request::ResultCode::kNotFound) {
          failure->code =
              unknown ? request::ResultCode::kOutcomeUnknown : failure->code;
          return std::nullopt;
        } else if (base) {
          // Removed after the base. Whether an attempt took effect before
          // that can no longer be read.
          *failure = {unknown ? request::ResultCode::kOutcomeUnknown
                              : request::ResultCode::kConflict,
                      path + " was removed meanwhile"};
          return std::nullopt;
        } else if (refused) {
          // Created and removed by others between the two calls.
          *failure = {
              unknown ? request::ResultCode::kOutcomeUnknown : reason.code,
              path + " was created and removed meanwhile"};
          return std::nullopt;
        }
        *failure = reason;
      }
      if (!wait_(*failure)) {
        if (unknown) {
          failure->code = request::ResultCode::kOutcomeUnknown;
        }
        return std::nullopt;
      }
    }
  }

  // The failure when the object has a version that does not name the operation.
  std::optional<AcceptedChange> Lost(bool unknown,
                                     const version::StoredService& next,
                                     const StoredObject& object,
                                     request::Failure* failure) {
    request::Failure unreadable;
    const auto stored =
        version::ReadStoredService(object.path, object.body, &unreadable);
    // The object names all operations since the base unless it was created
    // again or had too many changes meanwhile. After an attempt to create it
    // whose answer was lost, it may be a later creation by another operator.
    bool complete = false;
    if (stored && next.created.value != 0) {
      complete =
          stored->created == next.created &&
          (stored->earlier.size() < version::kMaxEarlierOperations ||
           stored->earlier.front().version <= next.earlier.back().version);
    }
    *failure = DescribeObject(unknown && !complete
                                  ? request::ResultCode::kOutcomeUnknown
                                  : request::ResultCode::kConflict,
                              object);
    return std::nullopt;
  }

  A& api_;
  request::TeamName team_;
  Wait wait_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_SERVICE_EDITOR_H_
