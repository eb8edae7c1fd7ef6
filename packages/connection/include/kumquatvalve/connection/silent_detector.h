#ifndef KUMQUATVALVE_CONNECTION_SILENT_DETECTOR_H_
#define KUMQUATVALVE_CONNECTION_SILENT_DETECTOR_H_

#include <chrono>
#include <cstdint>

#include "kumquatvalve/connection/flow_table.h"

namespace kumquatvalve::connection {

/// Timing of the probes of idle flows.
struct SilentSettings {
  /// Time without packets after which a flow is probed.
  std::chrono::milliseconds idle{30000};
  /// Interval between two probes.
  std::chrono::milliseconds interval{5000};
  /// Unanswered probes before the flow is ended. At 1% loss on each of the two
  /// paths, six probes in a row fail for one flow in 10^10.
  uint8_t rounds = 6;
};

/// Finds half-open (silent) flows: open flows of which one end, or something
/// between the ends, has lost its state.
class SilentDetector {
 public:
  /// What to do with an idle flow.
  enum class Action { kWait, kProbe, kEnd };

  explicit SilentDetector(SilentSettings settings) : settings_(settings) {}

  /// Records that a new flow of the service completed its handshake, which
  /// shows that the network works.
  void OnNewFlow(TimePoint now) { last_new_flow_ = now; }

  /// Decides on a flow in state `kOpen` or `kProbed`. A flow is ended only if
  /// all probes failed while new flows of the service succeeded.
  Action NextAction(const Flow& flow, TimePoint now) const;

  /// Records a packet from one side of a probed flow.
  /// @return whether both sides have replied, so that the flow is alive.
  static bool OnReply(Flow* flow, bool from_caller);

 private:
  SilentSettings settings_;
  TimePoint last_new_flow_{};
};

}  // namespace kumquatvalve::connection

#endif  // KUMQUATVALVE_CONNECTION_SILENT_DETECTOR_H_
