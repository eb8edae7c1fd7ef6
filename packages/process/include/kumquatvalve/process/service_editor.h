#ifndef KUMQUATVALVE_PROCESS_SERVICE_EDITOR_H_
#define KUMQUATVALVE_PROCESS_SERVICE_EDITOR_H_

#include <algorithm>
#include <chrono>
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

/// A change by an operator that the store accepted.
struct AcceptedChange {
  request::TableVersion version;
  /// True when the service already had these settings and nothing was written.
  bool unchanged = false;
};

/// Changes services in the store on behalf of one operator.
///
/// Each change carries an operation id. When the response to a write is lost,
/// the object is read back: if it names the operation, the change is reported
/// as accepted. Otherwise the same conditional write is sent again. A change
/// cannot take effect twice, because the first one changes the version. A
/// creation could, after another operator removed the service, so it is sent
/// again only when the store's history shows that the path has not changed.
///
/// @tparam A an `ObjectApi`.
template <ObjectApi A>
class ServiceEditor {
 public:
  enum class Mode { kCreateOrChange, kCreate, kChange };

  /// Called when the store did not answer or the call budget is spent. Waits
  /// before the next attempt; returns false to give up.
  using Wait = std::function<bool(const request::Failure&)>;

  /// Services with their versions.
  using Services =
      std::map<version::ServicePath,
               std::pair<request::TableVersion, version::StoredService>>;

  /// @param team team whose subtree may be changed.
  ServiceEditor(A* api, request::TeamName team, Wait wait)
      : api_(*api), team_(std::move(team)), wait_(std::move(wait)) {}

  /// Lists all services in the store with their versions; skips those that
  /// cannot be parsed.
  std::optional<Services> List(request::Failure* failure) {
    const auto list = ListObjects(failure);
    if (!list) {
      return std::nullopt;
    }
    return ServicesIn(*list);
  }

  /// Creates or changes a service.
  /// @param operation its id must be new.
  /// @param expected the version that the change is based on; without it, the
  ///   version in the store at the time of the call.
  /// @return nothing and the reason; `kConflict` and `kAlreadyExists` name the
  ///   version and time of the change that came first.
  std::optional<AcceptedChange> Write(
      const std::string& path, const version::ServiceSpec& spec,
      const version::Operation& operation, Mode mode,
      std::optional<request::TableVersion> expected,
      request::Failure* failure) {
    const auto parsed = version::CheckSubtree(team_, path, failure);
    if (!parsed) {
      return std::nullopt;
    }
    const auto list = ListObjects(failure);
    if (!list) {
      return std::nullopt;
    }
    const Services services = ServicesIn(*list);
    std::map<version::ServicePath, version::ServiceSpec> specs;
    for (const auto& [other, stored] : services) {
      specs.emplace(other, stored.second.spec);
    }
    if (!version::CheckAddresses(*parsed, spec, specs, failure)) {
      return std::nullopt;
    }
    version::StoredService next{*parsed, spec, operation, {}, {}};
    const auto found = services.find(*parsed);
    if (found == services.end()) {
      if (mode == Mode::kChange || expected) {
        *failure = {request::ResultCode::kNotFound, path + " does not exist"};
        return std::nullopt;
      }
      return WriteConditionally(next, std::nullopt, list->version, failure);
    }
    const auto& [version, current] = found->second;
    if (mode == Mode::kCreate) {
      *failure = ConflictFailure(request::ResultCode::kAlreadyExists, version,
                                 current);
      return std::nullopt;
    }
    if (expected && *expected != version) {
      *failure =
          ConflictFailure(request::ResultCode::kConflict, version, current);
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
    return WriteConditionally(next, version, list->version, failure);
  }

  /// Removes a service; results and failures are those of `Write`.
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
      *failure =
          ConflictFailureOfObject(request::ResultCode::kConflict, *object);
      return std::nullopt;
    }
    bool outcome_unknown = false;
    while (true) {
      const auto version = api_.Delete(path, object->version, failure);
      if (version) {
        return AcceptedChange{*version};
      }
      if (failure->code == request::ResultCode::kConflict) {
        const auto winner = Retry<StoredObject>(read, failure);
        if (winner) {
          // A service that was created again does not show whether a deletion
          // whose response was lost took effect.
          *failure = ConflictFailureOfObject(
              outcome_unknown && ServiceIdIn(*winner) != ServiceIdIn(*object)
                  ? request::ResultCode::kOutcomeUnknown
                  : request::ResultCode::kConflict,
              *winner);
          return std::nullopt;
        }
        if (outcome_unknown &&
            failure->code == request::ResultCode::kNotFound) {
          return AcceptedChange{object->version};
        }
        if (outcome_unknown) {
          failure->code = request::ResultCode::kOutcomeUnknown;
        }
        return std::nullopt;
      }
      // After a lost response, "not found" means that this version was deleted,
      // as requested.
      if (failure->code == request::ResultCode::kNotFound && outcome_unknown) {
        return AcceptedChange{object->version};
      }
      if (!IsTransient(failure->code)) {
        return std::nullopt;
      }
      outcome_unknown = outcome_unknown ||
                        failure->code == request::ResultCode::kOutcomeUnknown;
      if (!wait_(*failure)) {
        if (outcome_unknown) {
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

  std::optional<ObjectList> ListObjects(request::Failure* failure) {
    return Retry<ObjectList>(
        [&](request::Failure* reason) {
          return api_.List(std::string(version::kTeamsPrefix), reason);
        },
        failure);
  }

  static Services ServicesIn(const ObjectList& list) {
    Services services;
    for (const StoredObject& it : list.items) {
      request::Failure unreadable;
      auto stored = version::ReadStoredService(it.path, it.body, &unreadable);
      if (stored) {
        const version::ServicePath path = stored->path;
        services.emplace(path, std::pair(it.version, std::move(*stored)));
      }
    }
    return services;
  }

  // Whether the store shows that nothing was created or removed at the path
  // after its revision `since`, when there was no such object. False also when
  // the store does not respond or has dropped that part of its history.
  bool IsAbsentSince(const std::string& path, request::TableVersion since) {
    request::Failure ignored;
    const auto list = ListObjects(&ignored);
    if (!list) {
      return false;
    }
    if (list->version == since) {
      return true;
    }
    const auto changes = Retry<WatchAnswer>(
        [&](request::Failure* reason) {
          return api_.Watch(std::string(version::kTeamsPrefix), since,
                            std::chrono::milliseconds(0), reason);
        },
        &ignored);
    return changes && !changes->snapshot && changes->version >= list->version &&
           std::none_of(
               changes->events.begin(), changes->events.end(),
               [&](const ObjectEvent& it) { return it.object.path == path; });
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

  static request::Failure ConflictFailure(
      request::ResultCode code, request::TableVersion version,
      const version::StoredService& stored) {
    return {code, ToString(stored.path) + " has version " +
                      std::to_string(version.value) + ", accepted at " +
                      stored.operation.time + " for " + stored.operation.by};
  }

  static request::Failure ConflictFailureOfObject(request::ResultCode code,
                                                  const StoredObject& object) {
    request::Failure unreadable;
    const auto stored =
        version::ReadStoredService(object.path, object.body, &unreadable);
    if (stored) {
      return ConflictFailure(code, object.version, *stored);
    }
    return {code, object.path + " has version " +
                      std::to_string(object.version.value)};
  }

  // The service id in a stored object; 0 when it cannot be parsed.
  static request::ServiceId ServiceIdIn(const StoredObject& object) {
    request::Failure unreadable;
    const auto stored =
        version::ReadStoredService(object.path, object.body, &unreadable);
    return stored ? stored->Id(object.version) : request::ServiceId{0};
  }

  // The version at which an operation took effect, if the object names it.
  static std::optional<request::TableVersion> FindOperationVersion(
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

  // @param base the version to replace; nothing for a creation.
  // @param known_at store revision at which that was the state of the path.
  std::optional<AcceptedChange> WriteConditionally(
      const version::StoredService& next,
      std::optional<request::TableVersion> base, request::TableVersion known_at,
      request::Failure* failure) {
    const std::string path = ToString(next.path);
    const std::string body = version::WriteStoredService(next);
    // True when an earlier attempt may have taken effect.
    bool outcome_unknown = false;
    while (true) {
      const auto version = base ? api_.Update(path, *base, body, failure)
                                : api_.Create(path, body, failure);
      if (version) {
        return AcceptedChange{*version};
      }
      const bool precondition_failed =
          failure->code == request::ResultCode::kConflict ||
          failure->code == request::ResultCode::kAlreadyExists;
      if (!precondition_failed && !IsTransient(failure->code)) {
        // Failures such as "unauthorized" or "too large" apply to every
        // attempt.
        return std::nullopt;
      }
      // A response that cannot be parsed may belong to a write that took
      // effect.
      outcome_unknown = outcome_unknown ||
                        failure->code == request::ResultCode::kOutcomeUnknown ||
                        failure->code == request::ResultCode::kBadAnswer;
      if (precondition_failed || outcome_unknown) {
        const request::Failure reason = *failure;
        const auto object = Retry<StoredObject>(
            [&](request::Failure* in) { return api_.Read(path, in); }, failure);
        if (object) {
          if (const auto accepted =
                  FindOperationVersion(next.operation.id, *object)) {
            return AcceptedChange{*accepted};
          }
          // The version is no longer the base, so an attempt that is still in
          // transit will fail.
          if (!base || object->version != *base) {
            return FailAfterChange(outcome_unknown, next, *object, failure);
          }
        } else if (failure->code != request::ResultCode::kNotFound) {
          failure->code = outcome_unknown ? request::ResultCode::kOutcomeUnknown
                                          : failure->code;
          return std::nullopt;
        } else if (base) {
          // The object was removed after the base version. Whether an attempt
          // took effect before that can no longer be read.
          *failure = {outcome_unknown ? request::ResultCode::kOutcomeUnknown
                                      : request::ResultCode::kConflict,
                      path + " was removed by another operation"};
          return std::nullopt;
        } else if (precondition_failed) {
          // Others created and removed the object between the two calls.
          *failure = {outcome_unknown ? request::ResultCode::kOutcomeUnknown
                                      : reason.code,
                      path + " was created and removed by other operations"};
          return std::nullopt;
        } else if (!IsAbsentSince(path, known_at)) {
          *failure = {request::ResultCode::kOutcomeUnknown,
                      path +
                          " may have been created, and removed by another "
                          "operation"};
          return std::nullopt;
        }
        *failure = reason;
      }
      if (!wait_(*failure)) {
        if (outcome_unknown) {
          failure->code = request::ResultCode::kOutcomeUnknown;
        }
        return std::nullopt;
      }
    }
  }

  // Sets the failure for an object that was changed and does not name the
  // operation.
  std::optional<AcceptedChange> FailAfterChange(
      bool outcome_unknown, const version::StoredService& next,
      const StoredObject& object, request::Failure* failure) {
    request::Failure unreadable;
    const auto stored =
        version::ReadStoredService(object.path, object.body, &unreadable);
    // The object names all operations since the base unless it was created
    // again or had too many changes since then. If the response to an attempt
    // to create it was lost, it may be a later creation by another operator.
    bool complete = false;
    if (stored && next.created.value != 0) {
      complete =
          stored->created == next.created &&
          (stored->earlier.size() < version::kMaxEarlierOperations ||
           stored->earlier.front().version <= next.earlier.back().version);
    }
    *failure = ConflictFailureOfObject(
        outcome_unknown && !complete ? request::ResultCode::kOutcomeUnknown
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
