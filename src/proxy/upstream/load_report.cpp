// SPDX-License-Identifier: MIT
#include "proxy/upstream/load_report.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace edge_proxy::proxy {
namespace {

std::optional<double> read_number(std::string_view digits) {
  double value = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
  if (error != std::errc{}) return std::nullopt;
  return value;
}

void set_field(LoadReport& report, std::string_view name, double value) {
  if (name == "inflight") report.in_flight = value;
  if (name == "queue") report.queued = value;
  if (name == "util") report.busy = value;
  if (name == "x0") report.hit_ratio = value;
  if (name == "x1") report.link_utilization = value;
}

}  // namespace

LoadReport read_load_report(std::string_view text) {
  LoadReport report;
  while (!text.empty()) {
    const std::string_view item = text.substr(0, text.find(';'));
    text.remove_prefix(std::min(item.size() + 1, text.size()));
    const std::size_t colon = item.find(':');
    if (colon == std::string_view::npos) continue;
    if (const auto value = read_number(item.substr(colon + 1))) {
      set_field(report, item.substr(0, colon), *value);
    }
  }
  return report;
}

}  // namespace edge_proxy::proxy
