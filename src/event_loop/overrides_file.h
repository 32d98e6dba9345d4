// SPDX-License-Identifier: MIT
/// @file
/// What outlives the process.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tuple>

#include "event_loop/glib_ptr.h"

namespace edge_proxy::event_loop {

/// A small file that outlives the process, and that another one may write as well. It may lie on a disk:
/// guards all else against waiting for one by having GIO write it beside the loop.
class OverridesFile {
 public:
  /// `failed` is told of a write that failed.
  OverridesFile(const std::string& path, std::function<void(const char*)> failed);
  /// The text, if another process has written it since it was last read or written here.
  std::optional<std::string> read_if_new();
  void write(std::string text);
  [[nodiscard]] bool temporary_path() const { return !path_.empty(); }

 private:
  using FileVersion =
      std::tuple<std::uint64_t, std::int64_t, std::int64_t>;  // which file, its size and its time
  [[nodiscard]] std::optional<FileVersion> version_of() const;
  void start_write();
  void on_written(GAsyncResult* result);

  std::string path_;
  std::function<void(const char*)> on_failure_;
  ObjectPtr<GFile> file_;
  std::optional<FileVersion> seen_version_;
  std::optional<std::string> queued_;  // to be written next
  bool in_progress_ = false;
};

}  // namespace edge_proxy::event_loop
