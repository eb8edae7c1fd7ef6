#include "measure.h"

#include <exception>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <vector>

namespace kumquatvalve::bench {
namespace {

constexpr int kPassed = 0;
constexpr int kMissedBound = 1;
constexpr int kCouldNotRun = 2;

std::optional<MeasureOptions> ParseOptions(
    const std::vector<std::string>& arguments) {
  MeasureOptions options;
  std::string deployment = "kalahari";
  for (size_t i = 0; i < arguments.size(); i += 2) {
    if (i + 1 == arguments.size()) {
      return std::nullopt;
    }
    const std::string& value = arguments[i + 1];
    if (arguments[i] == "--deployment") {
      deployment = value;
    } else if (arguments[i] == "--seed") {
      options.seed = std::stoull(value);
    } else if (arguments[i] == "--flows") {
      options.flows = std::stoull(value);
    } else {
      return std::nullopt;
    }
  }
  const std::optional<Deployment> found = FindDeployment(deployment);
  if (!found) {
    return std::nullopt;
  }
  options.deployment = *found;
  return options;
}

int RunMeasure(const std::string& name, const Measure& measure,
               const MeasureOptions& options) {
  const MeasureResult result = measure(options);
  const bool pass = result.lower_is_better ? result.value <= result.bound
                                           : result.value >= result.bound;
  nlohmann::ordered_json line;
  line["measure"] = name;
  line["deployment"] = options.deployment.name;
  line["seed"] = options.seed;
  line["value"] = result.value;
  line["bound"] = result.bound;
  line["unit"] = result.unit;
  line["baselines"] = result.baselines;
  line["pass"] = pass;
  std::cout << line.dump() << std::endl;
  return pass ? kPassed : kMissedBound;
}

}  // namespace

int RunMeasures(const std::map<std::string, Measure>& measures, int argc,
                char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments.size() == 1 && arguments[0] == "--list") {
    for (const auto& [name, measure] : measures) {
      std::cout << name << "\n";
    }
    return kPassed;
  }
  const auto it =
      arguments.empty() ? measures.end() : measures.find(arguments[0]);
  if (it == measures.end()) {
    std::cerr << "unknown measure; --list prints the names\n";
    return kCouldNotRun;
  }
  try {
    const std::optional<MeasureOptions> options =
        ParseOptions({arguments.begin() + 1, arguments.end()});
    if (!options) {
      std::cerr << "usage: MEASURE [--deployment kalahari|tarima] [--seed N] "
                   "[--flows N]\n";
      return kCouldNotRun;
    }
    return RunMeasure(it->first, it->second, *options);
  } catch (const std::exception& ec) {
    std::cerr << it->first << ": " << ec.what() << "\n";
    return kCouldNotRun;
  }
}

}  // namespace kumquatvalve::bench
