/// @file
/// Self-contained HTML report of sweep results: a table and bar charts as inline SVG.
#include <algorithm>
#include <array>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

#include "sim/sweep.h"

namespace cobaltgauge::sim {
namespace {

/// One figure that is shown as a chart.
struct ChartSpec {
  const char* key;
  const char* title;
};

constexpr std::array<ChartSpec, 5> kCharts{
    {{"broken_per_million", "Broken sessions per million"},
     {"imbalance", "Imbalance across back ends (max/mean)"},
     {"queueing_p99_ms", "Queueing delay at back ends, p99 (ms)"},
     {"control_bytes_per_second", "Control traffic per daemon (bytes/s)"},
     {"flow_state_bytes", "Flow state per daemon (bytes)"}}};

constexpr int kBarHeight = 22;
constexpr int kLabelWidth = 130;
constexpr int kChartWidth = 420;

std::string escaped(const std::string& text) {
  std::string result;
  for (const char letter : text) {
    switch (letter) {
      case '<':
        result += "&lt;";
        break;
      case '&':
        result += "&amp;";
        break;
      default:
        result += letter;
    }
  }
  return result;
}

std::string shown(double value) {
  std::ostringstream out;
  out << std::setprecision(4) << value;
  return out.str();
}

std::string barChart(const nlohmann::json& variants, const ChartSpec& chart) {
  double largest = 0;
  for (const nlohmann::json& variant : variants) {
    largest = std::max(largest, variant.at(chart.key).get<double>());
  }
  std::ostringstream out;
  out << "<figure><figcaption>" << chart.title << "</figcaption><svg width=\""
      << kLabelWidth + kChartWidth + 90 << "\" height=\"" << variants.size() * kBarHeight
      << "\" role=\"img\">";
  int y = 0;
  for (const nlohmann::json& variant : variants) {
    const double value = variant.at(chart.key).get<double>();
    const int width = largest == 0 ? 0 : static_cast<int>(value / largest * kChartWidth);
    out << "<text x=\"0\" y=\"" << y + 15 << "\">"
        << escaped(variant.at("variant").get<std::string>()) << "</text><rect x=\"" << kLabelWidth
        << "\" y=\"" << y + 3 << "\" width=\"" << std::max(width, 1) << "\" height=\""
        << kBarHeight - 6 << "\"/><text x=\"" << kLabelWidth + std::max(width, 1) + 6 << "\" y=\""
        << y + 15 << "\">" << shown(value) << "</text>";
    y += kBarHeight;
  }
  out << "</svg></figure>\n";
  return out.str();
}

std::string table(const nlohmann::json& variants) {
  std::ostringstream out;
  out << "<table><tr>";
  for (const auto& [key, value] : variants.front().items()) {
    if (!value.is_array()) {
      out << "<th>" << escaped(key) << "</th>";
    }
  }
  out << "</tr>\n";
  for (const nlohmann::json& variant : variants) {
    out << "<tr>";
    for (const auto& [key, value] : variant.items()) {
      if (!value.is_array()) {
        out << "<td>"
            << (value.is_number_float()
                    ? shown(value.get<double>())
                    : escaped(value.is_string() ? value.get<std::string>() : value.dump()))
            << "</td>";
      }
    }
    out << "</tr>\n";
  }
  out << "</table>\n";
  return out.str();
}

}  // namespace

std::optional<std::string> htmlReport(const std::vector<std::string>& results) {
  std::ostringstream out;
  out << "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>cobaltgauge "
         "simulation report</title><style>body{font:14px sans-serif;margin:2em}table{border-"
         "collapse:collapse;font-size:12px}td,th{border:1px solid #bbb;padding:2px "
         "6px;text-align:right}rect{fill:#27609c}figure{display:inline-block;margin:1em "
         "2em 1em 0}svg text{font-size:12px}</style></head><body>\n<h1>cobaltgauge "
         "simulation report</h1>\n";
  for (const std::string& text : results) {
    const nlohmann::json result = nlohmann::json::parse(text, nullptr, false);
    const bool valid = result.is_object() && result.contains("scenario") &&
                       result.contains("variants") && result["variants"].is_array() &&
                       !result["variants"].empty();
    if (!valid) {
      return std::nullopt;
    }
    out << "<h2>" << escaped(result["scenario"].get<std::string>()) << "</h2>\n"
        << table(result["variants"]);
    for (const ChartSpec& chart : kCharts) {
      out << barChart(result["variants"], chart);
    }
  }
  out << "</body></html>\n";
  return out.str();
}

}  // namespace cobaltgauge::sim
