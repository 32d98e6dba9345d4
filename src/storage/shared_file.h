// SPDX-License-Identifier: MIT
/// @file
/// A small file that several processes read and replace, as an interface that tests replace to inject faults.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "storage/file_descriptor.h"

namespace edge_proxy::storage {

/// One file with the lock that orders its writers. Functions that return an int return an errno value, 0 for
/// success. A write takes four steps under the lock: prepare(), publish(), take_replaced(), sync_folder().
class SharedFile {
 public:
  virtual ~SharedFile() = default;
  /// Returns EWOULDBLOCK if another process holds the lock. The system releases the lock of a process that
  /// ends.
  virtual int try_lock() = 0;
  virtual void unlock() = 0;
  /// Waits before the next try_lock().
  virtual void pause() = 0;
  /// Reads the whole file, with or without the lock; a missing file gives no error and no content.
  virtual int read(std::optional<std::string>& content) = 0;
  /// Writes the next content beside the file and flushes it to disk. Readers don't see it yet.
  virtual int prepare(std::string_view content) = 0;
  /// Replaces the file by the prepared one in one step.
  virtual int publish() = 0;
  /// Returns the content that publish() has replaced; none if there was no file. It differs from what was
  /// read if a program that does not use the lock has written in between.
  virtual int take_replaced(std::optional<std::string>& content) = 0;
  /// Flushes the replacement to disk.
  virtual int sync_folder() = 0;
};

/// A file of the file system, with the lock in `PATH.lock` and the prepared content in `PATH.new`.
class SystemSharedFile : public SharedFile {
 public:
  /// read() returns EFBIG for a file of more than `max_bytes`.
  SystemSharedFile(std::string path, std::size_t max_bytes);
  ~SystemSharedFile() override = default;
  SystemSharedFile(const SystemSharedFile&) = delete;
  SystemSharedFile& operator=(const SystemSharedFile&) = delete;

  int try_lock() override;
  void unlock() override;
  void pause() override;
  int read(std::optional<std::string>& content) override;
  int prepare(std::string_view content) override;
  int publish() override;
  int take_replaced(std::optional<std::string>& content) override;
  int sync_folder() override;

 private:
  int read_from(const std::string& path, std::optional<std::string>& content) const;

  std::string path_, prepared_path_, lock_path_, folder_path_;
  std::size_t max_bytes_ = 0;
  FileDescriptor lock_;
};

}  // namespace edge_proxy::storage
