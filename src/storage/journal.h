// SPDX-License-Identifier: MIT
/// @file
/// An append-only file of records. Each record is flushed to disk before its write is reported as done, and
/// is stored twice with a checksum. docs/consensus.md, "Storage", describes which faults it tolerates and why
/// no library is used.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "storage/folder.h"

namespace edge_proxy::storage {

/// One journal; not thread-safe. After a failure nothing more is written, so that no record is reported as
/// durable after a failed sync.
class Journal {
 public:
  /// `name` is the file's name in `folder`. A record longer than `max_record_bytes` fails the journal.
  Journal(Folder& folder, std::string name, std::size_t max_record_bytes)
      : folder_(folder), name_(std::move(name)), max_record_bytes_(max_record_bytes) {}

  /// Reads all records, oldest first. A missing file has no records and is created by the first write.
  /// Returns false on failure: error() gives the reason, and no record may be used. An incomplete last
  /// record, left by a crash of the process or the machine during a write, is dropped: its write was never
  /// reported as done.
  bool open(std::vector<std::string>& records);
  /// Returns true once the records are durable, false if the journal has failed permanently.
  bool append(const std::vector<std::string>& records);
  /// Replaces the content atomically. Returns false if the journal has failed permanently.
  bool replace(const std::vector<std::string>& records);

  [[nodiscard]] bool failed() const { return failed_; }
  /// The reason of the failure; empty if the journal has not failed.
  [[nodiscard]] const std::string& error() const { return error_; }
  /// Number of records for which open() found one of the two copies damaged.
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
  std::uint64_t next_sequence_ = 0;  ///< detects records at a wrong position
  std::size_t repaired_records_ = 0;
  bool failed_ = false;
};

}  // namespace edge_proxy::storage
