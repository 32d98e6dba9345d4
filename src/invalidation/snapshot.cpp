// SPDX-License-Identifier: MIT
#include "invalidation/snapshot.h"

#include <xxhash.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <optional>
#include <vector>

namespace edge_proxy::invalidation {
namespace {

constexpr std::string_view kHeader = "dahliahall-purge-snapshot 1";
constexpr std::array<std::string_view, 4> kKinds{"key", "tag", "prefix", "glob"};

std::string hex_of(std::uint64_t value) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
  return {text.data(), 16};
}

std::uint64_t checksum(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

template <typename Number>
std::optional<Number> number_of(std::string_view text, int base = 10) {
  Number value{};
  const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (text.empty() || problem != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

/// The words of a line split at single spaces; with `most`, the last word is the rest of the line, which may
/// be empty (the text of `prefix:`).
std::vector<std::string_view> words_of(std::string_view line, std::size_t most = 0) {
  std::vector<std::string_view> words;
  for (;;) {
    const auto space = line.find(' ');
    if (space == std::string_view::npos || words.size() + 1 == most) {
      words.push_back(line);
      return words;
    }
    words.push_back(line.substr(0, space));
    line.remove_prefix(space + 1);
  }
}

SnapshotError error(std::size_t line, const std::string& what) {
  return {"purge snapshot, line " + std::to_string(line) + ": " + what};
}

}  // namespace

std::string write_snapshot(const SequencerState& state) {
  std::string text(kHeader);
  text += "\napplied " + std::to_string(state.applied) + "\nseen " + std::to_string(state.highest_seen) +
          "\nheld " + std::to_string(state.out_of_order.size()) + "\n";
  for (const auto& [number, c] : state.out_of_order) {
    text += std::to_string(number) + " " + std::to_string(c.issued_at.count()) + " " +
            std::string(kKinds[static_cast<std::size_t>(c.selector.kind)]) + " " + c.selector.text + "\n";
  }
  return text + "checksum " + hex_of(checksum(text)) + "\n";
}

std::variant<SequencerState, SnapshotError> read_snapshot(std::string_view text,
                                                          std::size_t max_out_of_order) {
  const auto mark = text.rfind("checksum ");
  if (mark == std::string_view::npos || (mark != 0 && text[mark - 1] != '\n'))
    return SnapshotError{"purge snapshot: no checksum line (torn?)"};
  const std::string_view body = text.substr(0, mark);
  const std::string_view tail = text.substr(mark + 9);
  if (tail.size() != 17 || tail.back() != '\n') return SnapshotError{"purge snapshot: checksum line is torn"};
  const auto told = number_of<std::uint64_t>(tail.substr(0, 16), 16);
  if (!told || *told != checksum(body))
    return SnapshotError{"purge snapshot: checksum does not match (torn or changed)"};

  std::vector<std::string_view> lines;
  for (std::string_view rest = body; !rest.empty();) {
    const auto end = rest.find('\n');
    lines.push_back(rest.substr(0, end));
    rest.remove_prefix(end + 1);  // the body ends in a newline: the checksum line starts after one
  }
  if (lines.empty() || lines[0] != kHeader) return error(1, "want '" + std::string(kHeader) + "'");
  SequencerState state;
  state.max_out_of_order = max_out_of_order;
  auto field = [&](std::size_t at, std::string_view name) -> std::optional<std::uint64_t> {
    if (at >= lines.size()) return std::nullopt;
    const auto words = words_of(lines[at]);
    if (words.size() != 2 || words[0] != name) return std::nullopt;
    return number_of<std::uint64_t>(words[1]);
  };
  const auto applied = field(1, "applied"), seen = field(2, "seen"), held = field(3, "held");
  if (!applied) return error(2, "want 'applied N'");
  if (!seen || *seen < *applied) return error(3, "want 'seen N', N at least the applied number");
  if (!held || *held != lines.size() - 4) return error(4, "want 'held N', N the number of lines that follow");
  if (*held > max_out_of_order)
    return error(4, "holds more than the bound of " + std::to_string(max_out_of_order));
  state.applied = *applied;
  state.highest_seen = *seen;
  for (std::size_t i = 4; i < lines.size(); ++i) {
    const auto words = words_of(lines[i], 4);
    const auto number = words.size() == 4 ? number_of<Sequence>(words[0]) : std::nullopt;
    const auto issued = words.size() == 4 ? number_of<long long>(words[1]) : std::nullopt;
    if (!number || !issued) return error(i + 1, "want 'NUMBER ISSUED_MS KIND TEXT'");
    if (*number <= state.applied || *number > state.highest_seen || state.out_of_order.count(*number) != 0)
      return error(i + 1, "number " + std::to_string(*number) + " is applied, unseen or twice");
    auto selector = parse_selector(std::string(words[2]) + ":" + std::string(words[3]));
    if (const auto* bad = std::get_if<SelectorError>(&selector)) return error(i + 1, bad->message);
    state.out_of_order.emplace(*number,
                               InvalidationCommand{*number, std::get<Selector>(selector), UnixMs{*issued}});
  }
  return state;
}

}  // namespace edge_proxy::invalidation
