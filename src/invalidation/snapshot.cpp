// SPDX-License-Identifier: MIT
#include "invalidation/snapshot.h"

#include <xxhash.h>

#include <array>
#include <charconv>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <utility>
#include <vector>

namespace edge_proxy::invalidation {
namespace {

constexpr std::string_view kHeader = "dahliahall-purge-snapshot 1";
constexpr std::string_view kChecksumPrefix = "checksum ";
constexpr std::size_t kChecksumDigits = 16;
constexpr std::size_t kHeaderLines = 4;    // header, applied, seen, held; the buffered commands follow
constexpr std::size_t kCommandFields = 4;  // NUMBER ISSUED_MS KIND TEXT
constexpr int kDecimal = 10;
constexpr int kHexadecimal = 16;

std::string to_hex(std::uint64_t value) {
  std::array<char, kChecksumDigits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
  return {text.data(), kChecksumDigits};
}

std::uint64_t compute_checksum(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

/// Parses the whole text as a number.
template <typename Number>
std::optional<Number> parse_number(std::string_view text, int base = kDecimal) {
  const char* const text_end = text.data() + text.size();
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text_end, value, base);
  if (text.empty() || error != std::errc{} || end != text_end) return std::nullopt;
  return value;
}

/// Splits a line at single spaces into at most `max_fields` fields. The last field is the rest of the line,
/// which may be empty: the text of `prefix:` is.
std::vector<std::string_view> split_fields(std::string_view line, std::size_t max_fields) {
  std::vector<std::string_view> fields;
  while (true) {
    const std::size_t space = line.find(' ');
    if (space == std::string_view::npos || fields.size() + 1 == max_fields) {
      fields.push_back(line);
      return fields;
    }
    fields.push_back(line.substr(0, space));
    line.remove_prefix(space + 1);
  }
}

/// Splits a text that ends in a newline into lines.
std::vector<std::string_view> split_lines(std::string_view text) {
  std::vector<std::string_view> lines;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    lines.push_back(text.substr(0, end));
    text.remove_prefix(end + 1);
  }
  return lines;
}

/// Returns an error that names the line. Line numbers start at 1.
SnapshotError make_line_error(std::size_t line, const std::string& problem) {
  return {"purge snapshot, line " + std::to_string(line) + ": " + problem};
}

/// Returns the text before the checksum line if the checksum matches.
std::variant<std::string_view, SnapshotError> verify_checksum(std::string_view text) {
  const std::size_t checksum_offset = text.rfind(kChecksumPrefix);
  if (checksum_offset == std::string_view::npos ||
      (checksum_offset != 0 && text[checksum_offset - 1] != '\n')) {
    return SnapshotError{"purge snapshot: no checksum line (torn?)"};
  }
  const std::string_view body = text.substr(0, checksum_offset);
  const std::string_view digits = text.substr(checksum_offset + kChecksumPrefix.size());
  if (digits.size() != kChecksumDigits + 1 || digits.back() != '\n') {
    return SnapshotError{"purge snapshot: checksum line is torn"};
  }
  const auto stored_checksum = parse_number<std::uint64_t>(digits.substr(0, kChecksumDigits), kHexadecimal);
  if (!stored_checksum || *stored_checksum != compute_checksum(body)) {
    return SnapshotError{"purge snapshot: checksum does not match (torn or changed)"};
  }
  return body;
}

/// Reads the lines of a snapshot into a state. Each read function returns an error, or no value on success.
class SnapshotReader {
 public:
  SnapshotReader(std::vector<std::string_view> lines, SequencerState& state)
      : lines_(std::move(lines)), state_(state) {}

  std::optional<SnapshotError> read() {
    if (auto error = read_header()) return error;
    for (std::size_t index = kHeaderLines; index < lines_.size(); ++index) {
      if (auto error = read_command(index)) return error;
    }
    return std::nullopt;
  }

 private:
  std::optional<SnapshotError> read_header() {
    if (lines_.empty() || lines_[0] != kHeader) {
      return make_line_error(1, "want '" + std::string(kHeader) + "'");
    }
    const auto applied = header_number(1, "applied");
    if (!applied) return make_line_error(2, "want 'applied N'");
    const auto seen = header_number(2, "seen");
    if (!seen || *seen < *applied) return make_line_error(3, "want 'seen N', N at least the applied number");
    const auto held = header_number(3, "held");
    if (!held || *held != lines_.size() - kHeaderLines) {
      return make_line_error(4, "want 'held N', N the number of lines that follow");
    }
    if (*held > state_.max_out_of_order) {
      return make_line_error(4, "holds more than the bound of " + std::to_string(state_.max_out_of_order));
    }
    state_.applied = *applied;
    state_.highest_seen = *seen;
    return std::nullopt;
  }

  /// Returns the number in a line of the form `NAME NUMBER`.
  [[nodiscard]] std::optional<std::uint64_t> header_number(std::size_t index, std::string_view name) const {
    if (index >= lines_.size()) return std::nullopt;
    const std::string_view line = lines_[index];
    const std::size_t space = line.find(' ');
    if (space == std::string_view::npos || line.substr(0, space) != name) return std::nullopt;
    return parse_number<std::uint64_t>(line.substr(space + 1));
  }

  std::optional<SnapshotError> read_command(std::size_t index) {
    const std::size_t line = index + 1;
    const std::vector<std::string_view> fields = split_fields(lines_[index], kCommandFields);
    if (fields.size() != kCommandFields) return make_line_error(line, kExpectedCommand);
    const auto number = parse_number<Sequence>(fields[0]);
    const auto issued_ms = parse_number<std::int64_t>(fields[1]);
    if (!number || !issued_ms) return make_line_error(line, kExpectedCommand);
    if (*number <= state_.applied || *number > state_.highest_seen || state_.out_of_order.contains(*number)) {
      return make_line_error(line, "number " + std::to_string(*number) + " is applied, unseen or twice");
    }
    const auto selector = parse_selector(std::string(fields[2]) + ":" + std::string(fields[3]));
    if (const auto* error = std::get_if<SelectorError>(&selector))
      return make_line_error(line, error->message);
    const InvalidationCommand command{*number, std::get<Selector>(selector), UnixMs{*issued_ms}};
    state_.out_of_order.emplace(*number, command);
    return std::nullopt;
  }

  static constexpr const char* kExpectedCommand = "want 'NUMBER ISSUED_MS KIND TEXT'";

  std::vector<std::string_view> lines_;
  SequencerState& state_;
};

}  // namespace

std::string write_snapshot(const SequencerState& state) {
  std::string text(kHeader);
  text += "\napplied " + std::to_string(state.applied);
  text += "\nseen " + std::to_string(state.highest_seen);
  text += "\nheld " + std::to_string(state.out_of_order.size()) + "\n";
  for (const auto& [number, command] : state.out_of_order) {
    text += std::to_string(number) + " " + std::to_string(command.issued_at.count()) + " ";
    text.append(name_of(command.selector.kind)).append(" ").append(command.selector.text).append("\n");
  }
  const std::string digits = to_hex(compute_checksum(text));
  return text.append(kChecksumPrefix).append(digits).append("\n");
}

std::variant<SequencerState, SnapshotError> read_snapshot(std::string_view text,
                                                          std::size_t max_out_of_order) {
  const auto verified = verify_checksum(text);
  if (const auto* error = std::get_if<SnapshotError>(&verified)) return *error;
  SequencerState state;
  state.max_out_of_order = max_out_of_order;
  SnapshotReader reader(split_lines(std::get<std::string_view>(verified)), state);
  if (const auto error = reader.read()) return *error;
  return state;
}

}  // namespace edge_proxy::invalidation
