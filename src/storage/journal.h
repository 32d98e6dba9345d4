// SPDX-License-Identifier: MIT
/// @file
/// An append-only file of records. Each record is on the disk before its write is reported as done, and
/// stands there twice with a checksum. docs/consensus.md, "Storage", says which faults it survives and why it
/// is not a library's.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "storage/folder.h"

namespace edge_proxy::storage {

/// One journal; not thread-safe. After a failure nothing more is written: guards against taking a record for
/// durable after a sync that failed.
class Journal {
 public:
  /// `name`: of the file in `folder`. `max_record_bytes`: a longer record fails the journal.
  Journal(Folder& folder, std::string name, std::size_t max_record_bytes)
      : folder_(folder), name_(std::move(name)), max_record_bytes_(max_record_bytes) {}

  /// Reads all records, oldest first; none where there is no file yet: then the first write creates it.
  /// False: error() says what is wrong, and no record may be used. A record at the very end that was being
  /// written when the process or the machine ended is dropped: its write was never reported as done.
  bool open(std::vector<std::string>& records);
  /// True: the records are durable. False: the journal has failed for good.
  bool append(const std::vector<std::string>& records);
  /// Replaces the content atomically. False: the journal has failed for good.
  bool replace(const std::vector<std::string>& records);

  [[nodiscard]] bool failed() const { return failed_; }
  /// Why it failed; empty before.
  [[nodiscard]] const std::string& error() const { return error_; }
  /// Number of records of which open() found one of the two copies damaged.
  [[nodiscard]] std::size_t repaired_record_count() const { return repaired_records_; }

 private:
  std::optional<std::string> encode(const std::vector<std::string>& records);
  bool write_and_sync(File& file, std::string_view bytes);
  bool fail(const std::string& reason, int error = 0);

  Folder& folder_;
  std::string name_;
  std::string error_;
  std::size_t max_record_bytes_;
  std::unique_ptr<File> file_;
  std::uint64_t next_sequence_ = 0;  ///< guards against a record that stands in a wrong place
  std::size_t repaired_records_ = 0;
  bool failed_ = false;
};

}  // namespace edge_proxy::storage
