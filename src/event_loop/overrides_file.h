// SPDX-License-Identifier: MIT
/// @file
/// Admin overrides on disk.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "event_loop/glib_ptr.h"

namespace edge_proxy::event_loop {

/// A small file that survives the process and that another process may write as well. GIO writes it on a
/// worker thread: guards the main loop against waiting for a disk.
class OverridesFile {
 public:
  /// `on_failure` gets the reason of each write that failed. An empty `path` disables the file.
  OverridesFile(const std::string& path, std::function<void(const char*)> on_failure);
  ~OverridesFile();
  OverridesFile(const OverridesFile&) = delete;
  OverridesFile& operator=(const OverridesFile&) = delete;

  /// The content, if another process has written it since it was last read or written here.
  std::optional<std::string> read_if_new();
  /// Replaces the content in the background; the latest call counts.
  void write(std::string text);
  [[nodiscard]] bool is_enabled() const { return !path_.empty(); }

 private:
  /// Tells one content of the file from another.
  struct FileVersion {
    std::uint64_t inode = 0;
    std::int64_t size_bytes = 0;
    std::int64_t modified_ns = 0;
    friend bool operator==(const FileVersion&, const FileVersion&) = default;
  };
  [[nodiscard]] std::optional<FileVersion> current_version() const;
  void start_write();
  void on_written(GAsyncResult* result);

  std::string path_;
  std::function<void(const char*)> on_failure_;
  ObjectPtr<GFile> file_;
  std::optional<FileVersion> seen_version_;
  std::optional<std::string> queued_text_;  ///< to be written next
  bool write_in_progress_ = false;
  /// Null once this object has gone: guards it against a write that completes later.
  std::shared_ptr<OverridesFile*> owner_;
};

}  // namespace edge_proxy::event_loop
