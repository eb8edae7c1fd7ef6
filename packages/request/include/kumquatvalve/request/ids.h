#ifndef KUMQUATVALVE_REQUEST_IDS_H_
#define KUMQUATVALVE_REQUEST_IDS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace kumquatvalve::request {

/// A strongly typed name: ids with different tags are different types.
/// @tparam Tag an empty type that identifies the kind of name.
template <typename Tag>
class StringId {
 public:
  StringId() = default;
  explicit StringId(std::string text) : text_(std::move(text)) {}

  const std::string& text() const { return text_; }
  bool empty() const { return text_.empty(); }

  friend auto operator<=>(const StringId&, const StringId&) = default;

 private:
  std::string text_;
};

/// A strongly typed number: ids with different tags are different types.
template <typename Tag, typename Integer>
struct NumberId {
  Integer value = 0;

  friend constexpr auto operator<=>(const NumberId&, const NumberId&) = default;
};

using TeamName = StringId<struct TeamNameTag>;
using ServiceName = StringId<struct ServiceNameTag>;
using InstanceName = StringId<struct InstanceNameTag>;
using AvailabilityZone = StringId<struct AvailabilityZoneTag>;
using Region = StringId<struct RegionTag>;

/// The store revision at which a service was created. Revisions are unique, so
/// a service that is deleted and created again under the same name has another
/// id.
using ServiceId = NumberId<struct ServiceIdTag, uint64_t>;

/// The 64-bit xxHash of an instance name; see `InstanceIdOf`.
using InstanceId = NumberId<struct InstanceIdTag, uint64_t>;

/// Order of the start of a process among those of the same instance, see
/// `StartOrder`: the start time in microseconds since 1970, unless an earlier
/// start had a later time.
using Incarnation = NumberId<struct IncarnationTag, uint64_t>;

/// The store revision of an object. Versions are ordered by era first: a store
/// that was restored from a copy begins a new era and assigns revisions again.
struct TableVersion {
  uint64_t value = 0;
  /// Number of times that the store went back; 0 for a store without eras.
  uint64_t era = 0;

  friend constexpr bool operator==(const TableVersion&,
                                   const TableVersion&) = default;
  friend constexpr std::strong_ordering operator<=>(const TableVersion& a,
                                                    const TableVersion& b) {
    const auto by_era = a.era <=> b.era;
    return by_era != 0 ? by_era : a.value <=> b.value;
  }
};

/// Index of a row of a forwarding table.
using RowIndex = NumberId<struct RowIndexTag, uint32_t>;

/// Hashes an instance name to the id that packets and messages carry.
InstanceId InstanceIdOf(const InstanceName& name);

}  // namespace kumquatvalve::request

template <typename Tag>
struct std::hash<kumquatvalve::request::StringId<Tag>> {
  size_t operator()(const kumquatvalve::request::StringId<Tag>& id) const {
    return std::hash<std::string>()(id.text());
  }
};

template <typename Tag, typename Integer>
struct std::hash<kumquatvalve::request::NumberId<Tag, Integer>> {
  size_t operator()(
      const kumquatvalve::request::NumberId<Tag, Integer>& id) const {
    return std::hash<Integer>()(id.value);
  }
};

template <>
struct std::hash<kumquatvalve::request::TableVersion> {
  size_t operator()(const kumquatvalve::request::TableVersion& version) const {
    // The era is small, and revisions of one era differ in their lower bits.
    return std::hash<uint64_t>()(version.value ^ (version.era << 48));
  }
};

#endif  // KUMQUATVALVE_REQUEST_IDS_H_
