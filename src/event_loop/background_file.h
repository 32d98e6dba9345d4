// SPDX-License-Identifier: MIT
/// @file
/// Replaces a small file without waiting for the disk.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "event_loop/glib_ptr.h"

namespace edge_proxy::event_loop {

/// A file that only this process writes. GIO writes it on a worker thread, so that the main loop doesn't
/// block on disk I/O.
class BackgroundFile {
 public:
  /// `on_failure` receives the reason of each failed write.
  BackgroundFile(const std::string& path, std::function<void(const char*)> on_failure);
  ~BackgroundFile();
  BackgroundFile(const BackgroundFile&) = delete;
  BackgroundFile& operator=(const BackgroundFile&) = delete;

  /// Replaces the content in the background; only the text of the latest call is guaranteed to be written.
  void write(std::string text);

 private:
  void start_write();
  void on_written(GAsyncResult* result);

  std::function<void(const char*)> on_failure_;
  ObjectPtr<GFile> file_;
  std::optional<std::string> queued_text_;  ///< written when the write in progress completes
  bool write_in_progress_ = false;
  /// Set to null on destruction, so that a write that completes later doesn't access this object.
  std::shared_ptr<BackgroundFile*> owner_;
};

}  // namespace edge_proxy::event_loop
