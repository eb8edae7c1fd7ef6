#ifndef KUMQUATVALVE_PROCESS_ZONE_SUMMARY_H_
#define KUMQUATVALVE_PROCESS_ZONE_SUMMARY_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "kumquatvalve/process/control.pb.h"
#include "kumquatvalve/process/membership.h"
#include "kumquatvalve/process/table_writer.h"

namespace kumquatvalve::process {

struct ZoneSummarySettings {
  std::chrono::milliseconds min_interval{1000};
  /// Bandwidth limit for summaries, in bytes/s of the 23 KB/s that the writer
  /// may use.
  double bytes_per_second = 2000;
};

/// Writes the status object `/members/<zone>`, which shows operators the
/// members of a zone and the version that each has applied. The zone's first
/// watcher writes it; nothing else depends on it.
class ZoneSummary {
 public:
  using TimePoint = Membership::TimePoint;

  ZoneSummary(const Membership* membership,
              const ZoneSummarySettings& settings);

  /// Takes over the object's version from the watch, whoever wrote it.
  void OnObject(const control::ConfigObject& object);

  /// @return a conditional write when the summary changed and the bandwidth
  ///   limit permits one; at most one write is in progress.
  std::optional<StoreWrite> Tick(
      TimePoint now, bool first_watcher, uint64_t applied_version,
      const std::map<std::string, control::MemberStatus>& statuses);

  void OnWritten(request::TableVersion version);
  /// @param actual the object's current version, which the caller reads after a
  ///   conflict; 0 when it does not exist or is not known.
  void OnWriteFailed(request::TableVersion actual, TimePoint now);

  std::string path() const;

 private:
  std::string SerializeSummary(
      uint64_t applied_version,
      const std::map<std::string, control::MemberStatus>& statuses) const;

  const Membership& membership_;
  const ZoneSummarySettings settings_;
  request::TableVersion stored_version_;
  std::string last_written_body_;
  std::string pending_body_;
  bool write_pending_ = false;
  TimePoint next_write_at_{};
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_ZONE_SUMMARY_H_
