#ifndef KUMQUATVALVE_BENCH_MEASURE_H_
#define KUMQUATVALVE_BENCH_MEASURE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "deployments.h"

namespace kumquatvalve::bench {

/// The arguments of a measure.
struct MeasureOptions {
  Deployment deployment;
  uint64_t seed = 1;
  /// Flows, or other units of work, that the measure runs.
  uint64_t flows = 200000;
};

/// The measured figure and the baselines from the same run.
struct MeasureResult {
  double value = 0;
  /// Pass limit, from the targets in docs/design.md, section 1.
  double bound = 0;
  std::string unit;
  std::map<std::string, double> baselines;
  /// False when the value must be at least the bound.
  bool lower_is_better = true;
};

/// Throws when it cannot run.
using Measure = std::function<MeasureResult(const MeasureOptions&)>;

/// Main function of the prove_* programs. Arguments: `--list` prints the names
/// of the measures; `MEASURE [--deployment NAME] [--seed N] [--flows N]` runs
/// one and prints its result as a JSON line.
/// @return exit status: 0 when the measure passes, 1 when it misses its bound,
///   2 when it cannot run.
int RunMeasures(const std::map<std::string, Measure>& measures, int argc,
                char** argv);

}  // namespace kumquatvalve::bench

#endif  // KUMQUATVALVE_BENCH_MEASURE_H_
