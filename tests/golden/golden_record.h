// SPDX-License-Identifier: MIT
/// @file
/// Golden records: what a reducer, a codec or a stored file gave at the time of recording, held against what
/// it gives now. They show that a refactoring changed no behaviour.
///
/// A record is a list of text lines. Short records are stored whole; of longer ones a checksum of each block
/// of lines is stored. Two environment variables help to work with them:
///   GOLDEN_UPDATE=1   stores what is given now instead of comparing; for a wanted change of behaviour only.
///   GOLDEN_DUMP=DIR   also writes each whole record to DIR/NAME.txt, so that two builds can be compared by
///   diff.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace golden {

class GoldenRecord {
 public:
  /// `name` is that of the file tests/golden/records/NAME.txt.
  explicit GoldenRecord(std::string name);

  /// Adds one line. It must hold no line feed; use quoted() for bytes.
  void add(std::string line);

  /// Compares all lines so far with the stored record and fails the running test where they differ.
  void check() const;

 private:
  [[nodiscard]] std::vector<std::string> stored_form() const;

  std::string name_;
  std::vector<std::string> lines_;
};

/// Bytes as text: printable ASCII as it is, all else as \xNN.
[[nodiscard]] std::string quoted(std::string_view bytes);

/// A number with all digits that tell it from its neighbours.
[[nodiscard]] std::string exact(double value);

}  // namespace golden
