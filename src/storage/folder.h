// SPDX-License-Identifier: MIT
/// @file
/// The file system operations used by storage, as an interface that tests replace to inject faults.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "storage/file_descriptor.h"

namespace edge_proxy::storage {

/// An append-only file. Functions that return an int return an errno value, 0 for success.
class File {
 public:
  virtual ~File() = default;
  /// Sets `written` to the number of bytes written, which may be fewer than given.
  virtual int write(std::string_view bytes, std::size_t& written) = 0;
  /// Flushes all written bytes to disk. After an error the content of the file is unknown and stays so: a
  /// second call may succeed although the kernel dropped the dirty pages after the first.
  virtual int sync() = 0;
};

/// A folder of such files. Functions that return an int return an errno value, 0 for success.
class Folder {
 public:
  virtual ~Folder() = default;
  /// Reads a whole file; a missing file gives no error and no content.
  virtual int read(const std::string& name, std::optional<std::string>& content) = 0;
  /// Creates an empty file; replaces an existing file of that name.
  virtual int create(const std::string& name, std::unique_ptr<File>& file) = 0;
  /// Truncates an existing file to `size` bytes and opens it for appending.
  virtual int open_for_append(const std::string& name, std::size_t size, std::unique_ptr<File>& file) = 0;
  /// Renames atomically; replaces an existing file of the new name.
  virtual int rename(const std::string& old_name, const std::string& new_name) = 0;
  /// Flushes created and renamed directory entries to disk.
  virtual int sync() = 0;
};

/// A folder of the file system, which one process at a time can lock.
class SystemFolder : public Folder {
 public:
  explicit SystemFolder(std::string path) : path_(std::move(path)) {}
  ~SystemFolder() override = default;
  SystemFolder(const SystemFolder&) = delete;
  SystemFolder& operator=(const SystemFolder&) = delete;

  /// Locks the folder until destruction. Returns EWOULDBLOCK if another process holds the lock.
  int lock();
  int read(const std::string& name, std::optional<std::string>& content) override;
  int create(const std::string& name, std::unique_ptr<File>& file) override;
  int open_for_append(const std::string& name, std::size_t size, std::unique_ptr<File>& file) override;
  int rename(const std::string& old_name, const std::string& new_name) override;
  int sync() override;

 private:
  [[nodiscard]] std::string path_of(const std::string& name) const { return path_ + "/" + name; }

  std::string path_;
  FileDescriptor lock_;
};

}  // namespace edge_proxy::storage
