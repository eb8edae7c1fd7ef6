#include "output.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace kumquatvalve::ctl {
namespace {

void PrintTable(const Listing& listing, std::ostream* out) {
  std::vector<size_t> widths;
  for (const std::string& it : listing.columns) {
    widths.push_back(it.size());
  }
  for (const auto& row : listing.rows) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  const auto print_row = [&](const std::vector<std::string>& row) {
    for (size_t i = 0; i < row.size(); ++i) {
      *out << row[i];
      if (i + 1 < row.size()) {
        *out << std::string(widths[i] - row[i].size() + 2, ' ');
      }
    }
    *out << "\n";
  };
  print_row(listing.columns);
  for (const auto& row : listing.rows) {
    print_row(row);
  }
}

void PrintJson(const Listing& listing, std::ostream* out) {
  auto array = nlohmann::ordered_json::array();
  for (const auto& row : listing.rows) {
    nlohmann::ordered_json object;
    for (size_t i = 0; i < row.size(); ++i) {
      object[listing.columns[i]] = row[i];
    }
    array.push_back(std::move(object));
  }
  *out << array.dump(2, ' ', false,
                     nlohmann::ordered_json::error_handler_t::replace)
       << "\n";
}

void PrintYaml(const Listing& listing, std::ostream* out) {
  YAML::Emitter yaml;
  yaml << YAML::BeginSeq;
  for (const auto& row : listing.rows) {
    yaml << YAML::BeginMap;
    for (size_t i = 0; i < row.size(); ++i) {
      yaml << YAML::Key << listing.columns[i] << YAML::Value << row[i];
    }
    yaml << YAML::EndMap;
  }
  yaml << YAML::EndSeq;
  *out << yaml.c_str() << "\n";
}

}  // namespace

std::optional<OutputFormat> ParseOutputFormat(std::string_view text) {
  if (text == "table") {
    return OutputFormat::kTable;
  }
  if (text == "json") {
    return OutputFormat::kJson;
  }
  if (text == "yaml") {
    return OutputFormat::kYaml;
  }
  return std::nullopt;
}

void Print(const Listing& listing, OutputFormat format, std::ostream* out) {
  switch (format) {
    case OutputFormat::kTable:
      PrintTable(listing, out);
      return;
    case OutputFormat::kJson:
      PrintJson(listing, out);
      return;
    case OutputFormat::kYaml:
      PrintYaml(listing, out);
      return;
  }
}

}  // namespace kumquatvalve::ctl
