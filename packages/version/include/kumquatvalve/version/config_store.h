#ifndef KUMQUATVALVE_VERSION_CONFIG_STORE_H_
#define KUMQUATVALVE_VERSION_CONFIG_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kumquatvalve/request/ids.h"

namespace kumquatvalve::version {

/// One version of an object of the store.
struct ConfigEntry {
  request::TableVersion version;
  /// Empty for a tombstone.
  std::string body;
  bool deleted = false;

  friend bool operator==(const ConfigEntry&, const ConfigEntry&) = default;
};

/// A process's replica of the store's objects, by path. The version of a path
/// only increases: late, duplicate and reordered updates have no effect. A
/// deletion leaves a tombstone with its version; without it an older update
/// would restore the object.
///
/// Processes that applied the same set of updates have the same state, whatever
/// the order of the updates.
class ConfigStore {
 public:
  enum class Outcome {
    kApplied,
    /// Ignored: the path already has this version or a newer one.
    kNotNewer,
  };

  /// Stores a version of an object, unless the path already has it or a newer
  /// one.
  Outcome Apply(const std::string& path, request::TableVersion version,
                std::string body);
  /// Replaces an object by a tombstone, unless the path already has this
  /// version or a newer one.
  Outcome Delete(const std::string& path, request::TableVersion version);

  /// Applies a complete list of the objects under `prefix` at store revision
  /// `version`. Known paths under `prefix` that are not in the list had been
  /// deleted by that revision. They get a tombstone with version `version`,
  /// which is at least the version of the deletion itself.
  /// @return the changed paths in lexicographic order.
  std::vector<std::string> ApplySnapshot(
      std::string_view prefix,
      const std::map<std::string, ConfigEntry>& objects,
      request::TableVersion version);

  /// Returns the object, or null when it is unknown or deleted.
  const ConfigEntry* Find(std::string_view path) const;

  /// Returns the version of the object or of its tombstone; 0 for an unknown
  /// path.
  request::TableVersion VersionOf(std::string_view path) const;

  /// All paths with their latest versions, tombstones included.
  const std::map<std::string, ConfigEntry, std::less<>>& entries() const {
    return entries_;
  }

  /// Returns the xxHash over (path, version) of all existing objects, sorted by
  /// path. Equal digests mean that two processes have the same objects.
  /// Tombstones are not part of the digest: a process that joined after a
  /// deletion never receives it.
  uint64_t Digest() const;

  /// Removes tombstones with versions up to `version`. Requires that no update
  /// older than `version` can still arrive; such an update would restore the
  /// deleted object.
  void PurgeTombstones(request::TableVersion version);

 private:
  Outcome StoreIfNewer(const std::string& path, ConfigEntry entry);

  std::map<std::string, ConfigEntry, std::less<>> entries_;
};

}  // namespace kumquatvalve::version

#endif  // KUMQUATVALVE_VERSION_CONFIG_STORE_H_
