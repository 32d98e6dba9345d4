// SPDX-License-Identifier: MIT
#include "golden/golden_record.h"

#include <gtest/gtest.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <utility>

namespace golden {
namespace {

constexpr std::size_t kMaxLinesStoredWhole = 400;
constexpr std::size_t kLinesPerBlock = 50;

std::string checksum_line(std::size_t first_line, const std::string& text) {
  std::array<char, 64> line{};
  std::snprintf(line.data(), line.size(), "from line %zu: %016llx", first_line,
                static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
  return line.data();
}

std::vector<std::string> read_lines(const std::string& path) {
  std::ifstream file(path);
  std::vector<std::string> lines;
  for (std::string line; std::getline(file, line);) lines.push_back(line);
  return lines;
}

void write_lines(const std::string& path, const std::vector<std::string>& lines) {
  std::ofstream file(path);
  for (const std::string& line : lines) file << line << '\n';
  ASSERT_TRUE(file.good()) << path;
}

std::string line_or_end(const std::vector<std::string>& lines, std::size_t index) {
  return index < lines.size() ? lines[index] : "(end of the record)";
}

}  // namespace

GoldenRecord::GoldenRecord(std::string name) : name_(std::move(name)) {}

void GoldenRecord::add(std::string line) { lines_.push_back(std::move(line)); }

std::vector<std::string> GoldenRecord::stored_form() const {
  if (lines_.size() <= kMaxLinesStoredWhole) return lines_;
  std::vector<std::string> stored{"lines: " + std::to_string(lines_.size())};
  for (std::size_t first = 0; first < lines_.size(); first += kLinesPerBlock) {
    std::string block;
    for (std::size_t index = first; index < std::min(first + kLinesPerBlock, lines_.size()); ++index) {
      block += lines_[index];
      block += '\n';
    }
    stored.push_back(checksum_line(first + 1, block));
  }
  return stored;
}

void GoldenRecord::check() const {
  if (const char* directory = std::getenv("GOLDEN_DUMP")) {
    write_lines(std::string(directory) + "/" + name_ + ".txt", lines_);
  }
  const std::string path = std::string(GOLDEN_RECORDS) + "/" + name_ + ".txt";
  const std::vector<std::string> current = stored_form();
  if (std::getenv("GOLDEN_UPDATE") != nullptr) {
    write_lines(path, current);
    return;
  }
  const std::vector<std::string> stored = read_lines(path);
  ASSERT_FALSE(stored.empty()) << "no stored record at " << path;
  for (std::size_t index = 0; index < std::max(current.size(), stored.size()); ++index) {
    ASSERT_EQ(line_or_end(stored, index), line_or_end(current, index))
        << name_ << ", stored line " << index + 1;
  }
}

std::string quoted(std::string_view bytes) {
  std::string text;
  for (const char byte : bytes) {
    if (byte >= ' ' && byte <= '~' && byte != '\\') {
      text += byte;
      continue;
    }
    std::array<char, 8> escaped{};
    std::snprintf(escaped.data(), escaped.size(), "\\x%02x",
                  static_cast<unsigned>(static_cast<unsigned char>(byte)));
    text += escaped.data();
  }
  return text;
}

std::string exact(double value) {
  std::array<char, 40> text{};
  std::snprintf(text.data(), text.size(), "%.17g", value);
  return text.data();
}

}  // namespace golden
