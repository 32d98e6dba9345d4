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

constexpr std::size_t kLongestWholeRecord = 400;  // lines
constexpr std::size_t kLinesPerBlock = 50;

std::string checksum_line(std::size_t first, const std::string& text) {
  std::array<char, 64> line{};
  std::snprintf(line.data(), line.size(), "from line %zu: %016llx", first,
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

std::string line_or_end(const std::vector<std::string>& lines, std::size_t at) {
  return at < lines.size() ? lines[at] : "(end of the record)";
}

}  // namespace

GoldenRecord::GoldenRecord(std::string name) : name_(std::move(name)) {}

void GoldenRecord::add(std::string line) { lines_.push_back(std::move(line)); }

std::vector<std::string> GoldenRecord::stored_form() const {
  if (lines_.size() <= kLongestWholeRecord) return lines_;
  std::vector<std::string> form{"lines: " + std::to_string(lines_.size())};
  for (std::size_t first = 0; first < lines_.size(); first += kLinesPerBlock) {
    std::string block;
    for (std::size_t at = first; at < std::min(first + kLinesPerBlock, lines_.size()); ++at) {
      block += lines_[at];
      block += '\n';
    }
    form.push_back(checksum_line(first + 1, block));
  }
  return form;
}

void GoldenRecord::check() const {
  if (const char* folder = std::getenv("GOLDEN_DUMP")) {
    write_lines(std::string(folder) + "/" + name_ + ".txt", lines_);
  }
  const std::string path = std::string(GOLDEN_RECORDS) + "/" + name_ + ".txt";
  const std::vector<std::string> now = stored_form();
  if (std::getenv("GOLDEN_UPDATE") != nullptr) {
    write_lines(path, now);
    return;
  }
  const std::vector<std::string> stored = read_lines(path);
  ASSERT_FALSE(stored.empty()) << "no record at " << path;
  for (std::size_t at = 0; at < std::max(now.size(), stored.size()); ++at) {
    ASSERT_EQ(line_or_end(stored, at), line_or_end(now, at)) << name_ << ", stored line " << at + 1;
  }
}

std::string quoted(std::string_view bytes) {
  std::string text;
  for (const char c : bytes) {
    if (c >= ' ' && c <= '~' && c != '\\') {
      text += c;
      continue;
    }
    std::array<char, 8> escaped{};
    std::snprintf(escaped.data(), escaped.size(), "\\x%02x",
                  static_cast<unsigned>(static_cast<unsigned char>(c)));
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
