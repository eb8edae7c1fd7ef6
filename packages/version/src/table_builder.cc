#include "kumquatvalve/version/table_builder.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <map>
#include <numeric>
#include <optional>
#include <utility>
#include <vector>

namespace kumquatvalve::version {
namespace {

// Rendezvous hashing score of a row at an upstream; independent of other
// upstreams.
uint64_t Score(request::InstanceId instance, uint32_t row) {
  const std::array<uint64_t, 2> buf = {instance.value, row};
  return XXH64(buf.data(), sizeof(buf), 0);
}

bool OwnsRows(const UpstreamEntry& upstream) {
  return !upstream.draining && upstream.weight > 0;
}

// Orders the upstreams: those of the previous table keep their position, and
// new ones fill the positions of those that left.
std::vector<UpstreamEntry> ListUpstreams(
    std::span<const UpstreamEntry> admitted, const ForwardingTable* previous) {
  std::map<request::InstanceId, UpstreamEntry> unplaced;
  for (const UpstreamEntry& it : admitted) {
    unplaced.emplace(it.instance, it);
  }
  std::vector<std::optional<UpstreamEntry>> positions;
  if (previous != nullptr) {
    for (const UpstreamEntry& it : previous->upstreams) {
      const auto node = unplaced.extract(it.instance);
      positions.push_back(node ? std::optional(node.mapped()) : std::nullopt);
    }
  }
  for (auto& position : positions) {
    if (!position && !unplaced.empty()) {
      position = unplaced.extract(unplaced.begin()).mapped();
    }
  }
  std::vector<UpstreamEntry> listed;
  for (auto& position : positions) {
    if (position) {
      listed.push_back(std::move(*position));
    }
  }
  for (auto& [instance, upstream] : unplaced) {
    listed.push_back(std::move(upstream));
  }
  return listed;
}

// Computes the number of rows of each upstream by the largest remainder method:
// the exact shares are rounded down, and the remaining rows go to the largest
// remainders.
std::vector<uint32_t> ShareRows(const std::vector<UpstreamEntry>& upstreams,
                                uint32_t rows) {
  uint64_t total = 0;
  for (const UpstreamEntry& it : upstreams) {
    total += OwnsRows(it) ? it.weight : 0;
  }
  std::vector<uint32_t> quota(upstreams.size(), 0);
  if (total == 0) {
    return quota;
  }
  std::vector<uint64_t> remainder(upstreams.size(), 0);
  uint32_t assigned = 0;
  for (size_t i = 0; i < upstreams.size(); ++i) {
    const uint64_t share =
        OwnsRows(upstreams[i]) ? uint64_t{rows} * upstreams[i].weight : 0;
    quota[i] = static_cast<uint32_t>(share / total);
    remainder[i] = share % total;
    assigned += quota[i];
  }
  std::vector<size_t> order(upstreams.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::sort(order.begin(), order.end(), [&](size_t left, size_t right) {
    return std::pair(remainder[left], upstreams[right].instance) >
           std::pair(remainder[right], upstreams[left].instance);
  });
  for (size_t i = 0; assigned < rows; ++i, ++assigned) {
    ++quota[order[i % order.size()]];
  }
  return quota;
}

// Assigns the owners of one table.
class OwnerAssignment {
 public:
  OwnerAssignment(const std::vector<UpstreamEntry>& upstreams, uint32_t rows)
      : upstreams_(upstreams),
        remaining_quota_(ShareRows(upstreams, rows)),
        owner_(rows, kNoUpstreamIndex) {}

  // Keeps rows at their previous owners up to the quota of each; an owner above
  // its quota loses the rows with its lowest scores.
  void KeepOwners(const std::vector<UpstreamIndex>& previous_owner) {
    std::vector<std::vector<std::pair<uint64_t, uint32_t>>> candidates(
        upstreams_.size());
    for (uint32_t row = 0; row < previous_owner.size(); ++row) {
      if (previous_owner[row] != kNoUpstreamIndex) {
        candidates[previous_owner[row]].emplace_back(
            Score(upstreams_[previous_owner[row]].instance, row), row);
      }
    }
    for (size_t i = 0; i < candidates.size(); ++i) {
      std::sort(candidates[i].rbegin(), candidates[i].rend());
      for (const auto& [score, row] : candidates[i]) {
        if (remaining_quota_[i] == 0) {
          break;
        }
        owner_[row] = static_cast<UpstreamIndex>(i);
        --remaining_quota_[i];
      }
    }
  }

  // Assigns each row without an owner to the upstream with the highest score
  // among those with remaining quota.
  void AssignRemainingRows() {
    for (uint32_t row = 0; row < owner_.size(); ++row) {
      if (owner_[row] != kNoUpstreamIndex) {
        continue;
      }
      uint64_t best = 0;
      for (size_t i = 0; i < upstreams_.size(); ++i) {
        const uint64_t score = Score(upstreams_[i].instance, row);
        if (remaining_quota_[i] > 0 &&
            (owner_[row] == kNoUpstreamIndex || score > best)) {
          owner_[row] = static_cast<UpstreamIndex>(i);
          best = score;
        }
      }
      if (owner_[row] != kNoUpstreamIndex) {
        --remaining_quota_[owner_[row]];
      }
    }
  }

  std::vector<UpstreamIndex> TakeOwners() { return std::move(owner_); }

 private:
  const std::vector<UpstreamEntry>& upstreams_;
  // Number of rows that can still be assigned to each upstream.
  std::vector<uint32_t> remaining_quota_;
  std::vector<UpstreamIndex> owner_;
};

UpstreamIndex ChooseBackup(const std::vector<UpstreamEntry>& upstreams,
                           UpstreamIndex owner, uint32_t row) {
  UpstreamIndex backup = kNoUpstreamIndex;
  std::pair<bool, uint64_t> best;
  for (size_t i = 0; i < upstreams.size(); ++i) {
    if (i == owner || owner == kNoUpstreamIndex || !OwnsRows(upstreams[i])) {
      continue;
    }
    const std::pair rank(upstreams[i].zone != upstreams[owner].zone,
                         Score(upstreams[i].instance, row));
    if (backup == kNoUpstreamIndex || rank > best) {
      backup = static_cast<UpstreamIndex>(i);
      best = rank;
    }
  }
  return backup;
}

// Translates upstream indexes of the previous table to those of the new table.
std::vector<UpstreamIndex> TranslateIndexes(
    const std::vector<UpstreamIndex>& indexes, const ForwardingTable& previous,
    const ForwardingTable& table) {
  std::vector<UpstreamIndex> to_new;
  to_new.reserve(previous.upstreams.size());
  for (const UpstreamEntry& it : previous.upstreams) {
    to_new.push_back(table.IndexOf(it.instance).value_or(kNoUpstreamIndex));
  }
  std::vector<UpstreamIndex> translated;
  translated.reserve(indexes.size());
  for (const UpstreamIndex it : indexes) {
    translated.push_back(it == kNoUpstreamIndex ? it : to_new[it]);
  }
  return translated;
}

}  // namespace

ForwardingTable BuildTable(request::ServiceId service,
                           std::span<const UpstreamEntry> admitted,
                           uint32_t rows, const ForwardingTable* previous,
                           request::TableVersion version) {
  ForwardingTable table;
  table.service = service;
  table.version = version;
  table.upstreams = ListUpstreams(admitted, previous);
  OwnerAssignment assignment(table.upstreams, rows);
  std::vector<UpstreamIndex> previous_owner(rows, kNoUpstreamIndex);
  std::vector<UpstreamIndex> owner_before_previous = previous_owner;
  if (previous != nullptr && previous->owner.size() == rows) {
    previous_owner = TranslateIndexes(previous->owner, *previous, table);
    owner_before_previous =
        TranslateIndexes(previous->previous, *previous, table);
  }
  assignment.KeepOwners(previous_owner);
  assignment.AssignRemainingRows();
  table.owner = assignment.TakeOwners();
  for (uint32_t row = 0; row < rows; ++row) {
    table.backup.push_back(
        ChooseBackup(table.upstreams, table.owner[row], row));
    const bool moved = table.owner[row] != previous_owner[row];
    table.previous.push_back(moved ? previous_owner[row]
                                   : owner_before_previous[row]);
  }
  return table;
}

}  // namespace kumquatvalve::version
