#include "object_store.h"

#include <algorithm>
#include <utility>

namespace kumquatvalve::standins {
namespace {

// Maximum number of events that a watch repeats with the fault `repeat_events`.
constexpr size_t kRepeatedEvents = 8;

}  // namespace

std::optional<process::StoredObject> ObjectStore::Read(
    const std::string& path) const {
  const auto it = objects_.find(path);
  if (it == objects_.end()) {
    return std::nullopt;
  }
  return it->second;
}

process::ObjectList ObjectStore::List(const std::string& prefix) const {
  process::ObjectList list{{}, {revision_}};
  for (auto it = objects_.lower_bound(prefix);
       it != objects_.end() && it->first.starts_with(prefix); ++it) {
    list.items.push_back(it->second);
  }
  return list;
}

void ObjectStore::AppendToLog(process::ObjectEvent event, TimePoint now) {
  log_.push_back({std::move(event), now});
  while (log_.size() > log_limit_) {
    last_dropped_revision_ = log_.front().event.object.version.value;
    log_.pop_front();
  }
}

ObjectStore::WriteResult ObjectStore::Put(const std::string& path,
                                          uint64_t expected_version,
                                          const std::string& body,
                                          TimePoint now) {
  const auto it = objects_.find(path);
  const uint64_t current = it == objects_.end() ? 0 : it->second.version.value;
  if (current != expected_version) {
    return {Outcome::kPreconditionFailed, current};
  }
  const process::StoredObject object{path, {++revision_}, body};
  objects_[path] = object;
  AppendToLog({object, false}, now);
  return {Outcome::kOk, revision_};
}

ObjectStore::WriteResult ObjectStore::Delete(const std::string& path,
                                             uint64_t expected_version,
                                             TimePoint now) {
  const auto it = objects_.find(path);
  if (it == objects_.end()) {
    return {Outcome::kNotFound, 0};
  }
  if (it->second.version.value != expected_version) {
    return {Outcome::kPreconditionFailed, it->second.version.value};
  }
  objects_.erase(it);
  AppendToLog({{path, {++revision_}, ""}, true}, now);
  return {Outcome::kOk, revision_};
}

std::optional<process::WatchAnswer> ObjectStore::EventsSince(
    const std::string& prefix, uint64_t since, const WatchFaults& faults,
    TimePoint now) {
  if (since < last_dropped_revision_ || since > revision_) {
    return std::nullopt;
  }
  process::WatchAnswer answer;
  answer.version = {since};
  std::deque<process::ObjectEvent> earlier;
  for (const LoggedEvent& it : log_) {
    if (it.logged_at + faults.delay > now) {
      break;
    }
    const uint64_t version = it.event.object.version.value;
    const bool matches = it.event.object.path.starts_with(prefix);
    if (version <= since) {
      if (matches) {
        earlier.push_back(it.event);
      }
      continue;
    }
    answer.version = {version};
    if (matches) {
      answer.events.push_back(it.event);
    }
  }
  if (answer.events.empty()) {
    return answer;
  }
  if (faults.repeat_events) {
    while (earlier.size() > kRepeatedEvents) {
      earlier.pop_front();
    }
    answer.events.insert(answer.events.begin(), earlier.begin(), earlier.end());
  }
  if (faults.shuffle) {
    std::shuffle(answer.events.begin(), answer.events.end(), random_);
  }
  return answer;
}

void ObjectStore::DropLog() {
  log_.clear();
  last_dropped_revision_ = revision_;
}

}  // namespace kumquatvalve::standins
