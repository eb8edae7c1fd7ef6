#include "kumquatvalve/version/config_store.h"

#include <xxhash.h>

#include <array>
#include <memory>
#include <utility>

namespace kumquatvalve::version {

ConfigStore::Outcome ConfigStore::StoreIfNewer(const std::string& path,
                                               ConfigEntry entry) {
  const auto [it, added] = entries_.try_emplace(path);
  if (!added && entry.version <= it->second.version) {
    return Outcome::kNotNewer;
  }
  it->second = std::move(entry);
  return Outcome::kApplied;
}

ConfigStore::Outcome ConfigStore::Apply(const std::string& path,
                                        request::TableVersion version,
                                        std::string body) {
  return StoreIfNewer(path, {version, std::move(body), /*deleted=*/false});
}

ConfigStore::Outcome ConfigStore::Delete(const std::string& path,
                                         request::TableVersion version) {
  return StoreIfNewer(path, {version, "", /*deleted=*/true});
}

std::vector<std::string> ConfigStore::ApplySnapshot(
    std::string_view prefix, const std::map<std::string, ConfigEntry>& objects,
    request::TableVersion version) {
  std::map<std::string, ConfigEntry> updates = objects;
  for (auto it = entries_.lower_bound(prefix);
       it != entries_.end() && it->first.starts_with(prefix); ++it) {
    if (!it->second.deleted && !objects.contains(it->first)) {
      updates[it->first] = {version, "", /*deleted=*/true};
    }
  }
  std::vector<std::string> changed;
  for (auto& [path, entry] : updates) {
    if (StoreIfNewer(path, std::move(entry)) == Outcome::kApplied) {
      changed.push_back(path);
    }
  }
  return changed;
}

const ConfigEntry* ConfigStore::Find(std::string_view path) const {
  const auto it = entries_.find(path);
  return it == entries_.end() || it->second.deleted ? nullptr : &it->second;
}

request::TableVersion ConfigStore::VersionOf(std::string_view path) const {
  const auto it = entries_.find(path);
  return it == entries_.end() ? request::TableVersion{0} : it->second.version;
}

uint64_t ConfigStore::Digest() const {
  const std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> state(
      XXH64_createState(), XXH64_freeState);
  XXH64_reset(state.get(), 0);
  for (const auto& [path, entry] : entries_) {
    if (entry.deleted) {
      continue;
    }
    // The length distinguishes "a" + "bc" from "ab" + "c". Numbers are hashed
    // as little-endian bytes, so that hosts of either byte order compute the
    // same digest.
    std::array<uint8_t, 16> numbers;
    const uint64_t size = path.size();
    for (size_t i = 0; i < 8; ++i) {
      numbers[i] = static_cast<uint8_t>(size >> (8 * i));
      numbers[8 + i] = static_cast<uint8_t>(entry.version.value >> (8 * i));
    }
    XXH64_update(state.get(), numbers.data(), numbers.size());
    XXH64_update(state.get(), path.data(), path.size());
  }
  return XXH64_digest(state.get());
}

void ConfigStore::PurgeTombstones(request::TableVersion version) {
  std::erase_if(entries_, [version](const auto& it) {
    return it.second.deleted && it.second.version <= version;
  });
}

}  // namespace kumquatvalve::version
