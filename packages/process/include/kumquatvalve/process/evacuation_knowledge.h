#ifndef KUMQUATVALVE_PROCESS_EVACUATION_KNOWLEDGE_H_
#define KUMQUATVALVE_PROCESS_EVACUATION_KNOWLEDGE_H_

#include <chrono>
#include <functional>
#include <mutex>
#include <string_view>

#include "kumquatvalve/connection/zone_evacuation.h"
#include "kumquatvalve/process/logging.h"
#include "kumquatvalve/process/peer_snapshot.h"

namespace kumquatvalve::process {

/// The evacuated zones that an entry instance knows from the store and from
/// peers. Logs each evacuation and its end. Thread-safe.
class EvacuationKnowledge {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// Receives each set that is applied, also an unchanged one. Called with the
  /// internal mutex locked.
  using Listener = std::function<void(connection::EvacuatedZones,
                                      const connection::EvacuationChange&)>;

  /// `logger` must outlive the object.
  EvacuationKnowledge(Listener listener, const Logger* logger);

  /// Applies a list of the store or of a peer unless it is out of date.
  void OnList(const connection::EvacuationList& list,
              connection::EvacuationSource source, TimePoint now);

  /// Ends evacuations that were held for long enough after the store's era
  /// rose; see `ZoneEvacuation`.
  void OnTick(TimePoint now);

  /// Adds the set in force to what is sent to a peer.
  void AddTo(PeerSnapshot* snapshot) const;

  /// Whether a list has been applied.
  bool known() const;

 private:
  // Logs and passes on a change of the set. `mutex_` must be locked.
  void Report(const connection::EvacuationChange& change,
              std::string_view source);

  Listener listener_;
  const Logger* logger_;
  mutable std::mutex mutex_;
  connection::ZoneEvacuation evacuation_;
};

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_EVACUATION_KNOWLEDGE_H_
