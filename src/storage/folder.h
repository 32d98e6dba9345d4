// SPDX-License-Identifier: MIT
/// @file
/// The little of a file system that storage needs, so that tests can put a faulty one in its place.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace edge_proxy::storage {

/// A file that is written at its end. Errors are those of errno, none is 0.
class File {
 public:
  virtual ~File() = default;
  /// May write less than was asked for: `written` tells how much.
  virtual int write(std::string_view bytes, std::size_t& written) = 0;
  /// All that was written is on the disk. After an error nothing is known of it any more: guards against a
  /// second call that says yes to pages which the system has dropped after the first.
  virtual int sync() = 0;
};

class Folder {
 public:
  virtual ~Folder() = default;
  /// The whole file; no error and no text where there is none.
  virtual int read(const std::string& name, std::optional<std::string>& text) = 0;
  /// An empty file under that name.
  virtual int create(const std::string& name, std::unique_ptr<File>& file) = 0;
  /// An existing one, cut to `size` bytes, to go on at its end.
  virtual int extend(const std::string& name, std::size_t size, std::unique_ptr<File>& file) = 0;
  virtual int rename(const std::string& from, const std::string& to) = 0;
  /// Names that were created or changed are on the disk.
  virtual int sync() = 0;
};

/// A folder of the system's, for one process at a time.
class SystemFolder : public Folder {
 public:
  explicit SystemFolder(std::string path) : path_(std::move(path)) {}
  ~SystemFolder() override;
  SystemFolder(const SystemFolder&) = delete;
  SystemFolder& operator=(const SystemFolder&) = delete;

  /// EWOULDBLOCK: another process has it.
  int lock();
  int read(const std::string& name, std::optional<std::string>& text) override;
  int create(const std::string& name, std::unique_ptr<File>& file) override;
  int extend(const std::string& name, std::size_t size, std::unique_ptr<File>& file) override;
  int rename(const std::string& from, const std::string& to) override;
  int sync() override;

 private:
  std::string path_;
  int locked_ = -1;
};

}  // namespace edge_proxy::storage
