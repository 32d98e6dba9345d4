// SPDX-License-Identifier: MIT
/// @file
/// Stores admin overrides on disk.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "event_loop/glib_ptr.h"

namespace edge_proxy::event_loop {

/// A small file that outlives the process and may also be written by another process. GIO writes it on a
/// worker thread, so that the main loop doesn't block on disk I/O.
class OverridesFile {
 public:
  /// `on_failure` receives the reason of each failed write. An empty `path` disables the file.
  OverridesFile(const std::string& path, std::function<void(const char*)> on_failure);
  ~OverridesFile();
  OverridesFile(const OverridesFile&) = delete;
  OverridesFile& operator=(const OverridesFile&) = delete;

  /// Returns the content if another process has changed the file since this one last read or wrote it.
  std::optional<std::string> read_if_new();
  /// Replaces the content in the background; only the text of the latest call is guaranteed to be written.
  void write(std::string text);
  [[nodiscard]] bool is_enabled() const { return !path_.empty(); }

 private:
  /// Metadata that identifies one version of the file's content.
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
  std::optional<std::string> queued_text_;  ///< written when the write in progress completes
  bool write_in_progress_ = false;
  /// Set to null on destruction, so that a write that completes later doesn't access this object.
  std::shared_ptr<OverridesFile*> owner_;
};

}  // namespace edge_proxy::event_loop
