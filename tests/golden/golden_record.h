// SPDX-License-Identifier: MIT
/// @file
/// Golden records compare the current output of a reducer, a codec or a stored file with the output that was
/// recorded earlier. They show that a refactoring does not change behaviour.
///
/// A record is a list of text lines. A short record is stored whole; a longer record is stored as one
/// checksum per block of lines. Two environment variables control the comparison:
///   GOLDEN_UPDATE=1   stores the current output instead of comparing it. Use it only for an intended change
///                     of behaviour.
///   GOLDEN_DUMP=DIR   also writes each whole record to DIR/NAME.txt, so that `diff` can compare two builds.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace golden {

class GoldenRecord {
 public:
  /// The record is stored in tests/golden/records/NAME.txt, where NAME is `name`.
  explicit GoldenRecord(std::string name);

  /// Appends one line. The line must not contain a line feed; quoted() escapes arbitrary bytes.
  void add(std::string line);

  /// Compares the lines added so far with the stored record and fails the running test at the first
  /// difference.
  void check() const;

 private:
  [[nodiscard]] std::vector<std::string> stored_form() const;

  std::string name_;
  std::vector<std::string> lines_;
};

/// Returns `bytes` as text: printable ASCII except the backslash is unchanged, every other byte becomes \xNN.
[[nodiscard]] std::string quoted(std::string_view bytes);

/// Formats a number with 17 significant digits, which identify every double exactly.
[[nodiscard]] std::string exact(double value);

}  // namespace golden
