// SPDX-License-Identifier: MIT
/// @file
/// Records in the order in which they were written, in one file: each is on the disk before its write is told
/// to be done, each stands there twice with a checksum. docs/consensus.md, "Storage", says what it bears and
/// why it is not a library's.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "storage/folder.h"

namespace edge_proxy::storage {

class Journal {
 public:
  /// `most`: bytes of a record, at most.
  Journal(Folder& folder, std::string name, std::size_t max_bytes)
      : folder_(folder), name_(std::move(name)), max_bytes_(max_bytes) {}

  /// All records, oldest first; none where there is no file yet: then the first write makes it. False: why()
  /// says what is wrong, and nothing of it is to be used. A record at the very end that was being written
  /// when the process or the machine ended is dropped: nobody was told that it is there.
  bool open(std::vector<std::string>& records);
  /// Durable once this is true. False is for good: nothing more is written, guards against taking a record
  /// for durable after a sync that failed.
  bool append(const std::vector<std::string>& records);
  /// In place of all there is, at once or not at all.
  bool replace(const std::vector<std::string>& records);

  [[nodiscard]] bool failed() const { return failed_; }
  [[nodiscard]] const std::string& error() const { return error_; }
  /// Records of which one of the two copies was bad when it was opened.
  [[nodiscard]] std::size_t was_repaired() const { return was_repaired_; }

 private:
  std::optional<std::string> framed(const std::vector<std::string>& records);
  bool write_out(File& file, std::string_view bytes);
  bool fail(const std::string& what, int error);

  Folder& folder_;
  std::string name_, error_;
  std::size_t max_bytes_;
  std::unique_ptr<File> file_;
  std::uint64_t next_sequence_ =
      0;  // number of the next record: guards against one that stands in a wrong place
  std::size_t was_repaired_ = 0;
  bool failed_ = false;
};

}  // namespace edge_proxy::storage
