// SPDX-License-Identifier: MIT
/// @file
/// The operations of a file system that storage needs, so that tests can put a faulty one in its place.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "storage/file_descriptor.h"

namespace edge_proxy::storage {

/// A file that is written at its end. Functions that return an int return an errno, 0 for none.
class File {
 public:
  virtual ~File() = default;
  /// May write fewer bytes than given: `written` is their number.
  virtual int write(std::string_view bytes, std::size_t& written) = 0;
  /// Brings all that was written to the disk. After an error the file's content is unknown for good: guards
  /// against a second call that succeeds over pages which the system has dropped after the first.
  virtual int sync() = 0;
};

/// A folder of such files. Functions that return an int return an errno, 0 for none.
class Folder {
 public:
  virtual ~Folder() = default;
  /// Reads a whole file; no error and no content where there is none.
  virtual int read(const std::string& name, std::optional<std::string>& content) = 0;
  /// Creates an empty file, in place of any of that name.
  virtual int create(const std::string& name, std::unique_ptr<File>& file) = 0;
  /// Opens an existing file, truncated to `size` bytes, to append to it.
  virtual int open_for_append(const std::string& name, std::size_t size, std::unique_ptr<File>& file) = 0;
  /// Renames atomically, in place of any file of the new name.
  virtual int rename(const std::string& old_name, const std::string& new_name) = 0;
  /// Brings names that were created or changed to the disk.
  virtual int sync() = 0;
};

/// A folder of the operating system, locked by one process at a time.
class SystemFolder : public Folder {
 public:
  explicit SystemFolder(std::string path) : path_(std::move(path)) {}
  ~SystemFolder() override = default;
  SystemFolder(const SystemFolder&) = delete;
  SystemFolder& operator=(const SystemFolder&) = delete;

  /// Locks the folder until destruction. EWOULDBLOCK: another process has it.
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
