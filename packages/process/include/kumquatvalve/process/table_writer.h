#ifndef KUMQUATVALVE_PROCESS_TABLE_WRITER_H_
#define KUMQUATVALVE_PROCESS_TABLE_WRITER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "kumquatvalve/process/control.pb.h"
#include "kumquatvalve/process/membership.h"
#include "kumquatvalve/process/table_codec.h"
#include "kumquatvalve/request/result_code.h"
#include "kumquatvalve/version/service_spec.h"

namespace kumquatvalve::process {

struct TableWriterSettings {
  /// Services are divided by hash into this many groups, each with one lease.
  uint32_t groups = 8;
  /// Another process may take a lease that was not renewed for this time.
  std::chrono::milliseconds lease_duration{24000};
  /// Upper bound of the renewal interval. Renewals are rare because each one
  /// wakes the watch of every watcher; a dead holder is replaced through
  /// membership before its lease lapses.
  std::chrono::milliseconds renew_interval{8000};
  /// A dead upstream stays listed in its table for this time; meanwhile its
  /// rows are served by their backups.
  std::chrono::milliseconds dead_upstream_retention{5000};
  /// For this time after a start, upstreams that are listed in a table but not
  /// yet known to membership are kept.
  std::chrono::milliseconds startup_grace{15000};
  /// A table is recomputed after this time even when no input changed.
  std::chrono::milliseconds recompute_interval{30000};
  /// Minimum interval between two writes of one table.
  std::chrono::milliseconds write_interval{500};
  /// Bounds of the randomized delay after a failed write.
  std::chrono::milliseconds min_retry_delay{500};
  std::chrono::milliseconds max_retry_delay{5000};
};

/// A conditional write to the object API.
struct StoreWrite {
  enum class Kind { kCreate, kUpdate, kDelete };

  Kind kind = Kind::kCreate;
  std::string path;
  /// Version that the object must still have for the write to take effect.
  request::TableVersion expected;
  std::string body;
};

/// Computes and writes the tables of the service groups whose lease this
/// process holds. Every write is conditional on the version that it was
/// computed from. A new holder writes each of its tables once with its own
/// fencing version, so that delayed writes of an earlier holder fail. The class
/// does no I/O: objects and results go in, writes to carry out come out.
class TableWriter {
 public:
  using TimePoint = Membership::TimePoint;

  /// @param membership must outlive the writer.
  TableWriter(const Membership* membership, const TableWriterSettings& settings,
              uint64_t seed);

  /// Handles services, tables and leases from the watches; versions older than
  /// the stored one are ignored.
  void OnObject(const control::ConfigObject& object, TimePoint now);

  /// Called when the first list of all objects was delivered; no write is
  /// prepared before.
  void OnSynchronized(TimePoint now);

  /// Prepares the writes that are due. The caller passes on the outcome of each
  /// with one call of `OnWritten` or `OnWriteFailed`.
  /// @param watcher whether this process may hold leases now.
  /// @param candidates names of all watchers that may hold leases.
  std::vector<StoreWrite> Tick(TimePoint now, bool watcher,
                               const std::vector<std::string>& candidates);

  /// A write took effect. Renews the lease when it was the write of a lease.
  /// @param version the object's new version.
  void OnWritten(const StoreWrite& write, request::TableVersion version,
                 TimePoint now);
  /// A write failed, or its outcome is unknown. It is prepared again after a
  /// randomized delay.
  void OnWriteFailed(const StoreWrite& write, request::ResultCode code,
                     TimePoint now);

  /// Called when the store did not respond: the waits before another holder's
  /// lease may be taken start again, since its renewals could not be seen.
  void OnStoreFailure(TimePoint now);

  /// Whether this process holds the lease of a group at `now`; checked right
  /// before a write is sent.
  bool HoldsLease(uint32_t group, TimePoint now) const;
  /// Whether the lease for a write is still valid.
  bool MaySend(const StoreWrite& write, TimePoint now) const {
    return now < LeaseExpiresAt(write);
  }
  /// When the lease lapses that a write of a table depends on:
  /// `TimePoint::min()` while another process holds that lease. Writes of other
  /// objects need no lease: `TimePoint::max()`.
  TimePoint LeaseExpiresAt(const StoreWrite& write) const;
  /// Number of groups whose lease this process holds.
  size_t groups_held(TimePoint now) const;

 private:
  struct Lease {
    request::TableVersion version;
    std::string holder;
    uint64_t incarnation = 0;
    /// Fencing version of the holder, written into each of its tables.
    uint64_t fencing = 0;
    /// When this process received the lease's current version, or when the
    /// store last failed, since renewals could not be seen then.
    TimePoint last_seen_at;
    /// When the lease lapses; meaningful only for the own lease.
    TimePoint valid_until;
    TimePoint next_renewal;
    TimePoint renewal_sent_at;
  };
  struct Service {
    request::TableVersion version;
    bool deleted = false;
    std::optional<version::StoredService> stored;
  };
  struct Table {
    request::TableVersion version;
    bool deleted = false;
    std::optional<PublishedTable> published;
  };

  /// Inputs of a table's last computation; equal inputs give the same table.
  struct ComputationInputs {
    request::TableVersion spec;
    request::TableVersion table;
    uint64_t members = 0;
    uint64_t addresses = 0;
    uint64_t fencing = 0;

    friend bool operator==(const ComputationInputs&,
                           const ComputationInputs&) = default;
  };
  struct Computed {
    ComputationInputs inputs;
    TimePoint recompute_at;
  };

  uint32_t LeaseGroupOfService(request::ServiceId service) const;
  /// The write that acquires or renews a group's lease; nothing when it is not
  /// due or another process holds the lease.
  std::optional<StoreWrite> PrepareLeaseWrite(
      uint32_t group, TimePoint now,
      const std::vector<std::string>& candidates);
  /// The write that brings a service's table up to date; nothing when the
  /// stored table is the same.
  std::optional<StoreWrite> PrepareTableWrite(const std::string& path,
                                              const Service& service,
                                              TimePoint now);
  /// @param unsettled set when the result may change without a new input, after
  ///   a start or a death, so that the table has to be recomputed soon.
  std::vector<version::UpstreamEntry> AdmittedUpstreams(
      const Service& service, const PublishedTable* previous, TimePoint now,
      bool* unsettled);
  ComputationInputs CurrentInputs(const Service& service) const;
  void AssignAddresses();
  std::chrono::milliseconds Jitter(std::chrono::milliseconds min_delay,
                                   std::chrono::milliseconds max_delay);

  const Membership& membership_;
  const TableWriterSettings settings_;
  std::mt19937_64 random_;
  std::map<uint32_t, Lease> leases_;
  /// By path of the service object (`/teams/<team>/services/<name>`).
  std::map<std::string, Service> services_;
  /// By path of the table object (`/tables/<id>`).
  std::map<std::string, Table> tables_;
  std::map<std::string, Computed> last_computed_;
  /// Addresses assigned to each service; recomputed when any service changes.
  std::map<request::ServiceId, std::vector<version::ServiceAddress>> addresses_;
  uint64_t address_changes_ = 0;
  bool addresses_stale_ = true;
  /// Paths of writes whose outcome is not known yet.
  std::set<std::string> pending_;
  std::map<std::string, TimePoint> next_write_at_;
  /// By instance name of a dead upstream's sidecar.
  std::map<std::string, TimePoint> dead_since_;
  std::optional<TimePoint> synchronized_at_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_TABLE_WRITER_H_
