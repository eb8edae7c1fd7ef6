#ifndef KUMQUATVALVE_APPS_KUMQUATVALVECTL_OUTPUT_H_
#define KUMQUATVALVE_APPS_KUMQUATVALVECTL_OUTPUT_H_

#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatvalve::ctl {

enum class OutputFormat { kTable, kJson, kYaml };

/// Parses "table", "json" or "yaml".
/// @return nothing for any other text.
std::optional<OutputFormat> ParseOutputFormat(std::string_view text);

/// A table of texts with named columns; each row has one text per column.
struct Listing {
  std::vector<std::string> columns;
  std::vector<std::vector<std::string>> rows;
};

/// Writes a listing to `out` as an aligned table, as a JSON array of objects or
/// as a YAML list of maps.
void Print(const Listing& listing, OutputFormat format, std::ostream* out);

}  // namespace kumquatvalve::ctl

#endif  // KUMQUATVALVE_APPS_KUMQUATVALVECTL_OUTPUT_H_
