// SPDX-License-Identifier: MIT
#include "event_loop/overrides_file.h"

#include <sys/stat.h>

#include <fstream>
#include <iterator>
#include <utility>

namespace edge_proxy::event_loop {

std::optional<OverridesFile::FileVersion> OverridesFile::version_of() const {
  struct stat found {};
  if (path_.empty() || ::stat(path_.c_str(), &found) != 0 || !S_ISREG(found.st_mode)) return std::nullopt;
  return FileVersion{found.st_ino, found.st_size,
                     std::int64_t{found.st_mtim.tv_sec} * 1'000'000'000 + found.st_mtim.tv_nsec};
}

OverridesFile::OverridesFile(const std::string& path, std::function<void(const char*)> failed)
    : path_(path), on_failure_(std::move(failed)), file_(g_file_new_for_path(path.c_str())) {}

std::optional<std::string> OverridesFile::read_if_new() {
  // Guards what this process was told last, and has not written yet, against what the file still holds.
  if (in_progress_) return std::nullopt;
  const auto now = version_of();
  if (!now || now == seen_version_) return std::nullopt;
  std::ifstream file(path_, std::ios::binary);
  if (!file) return std::nullopt;
  seen_version_ = now;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

void OverridesFile::write(std::string text) {
  queued_ = std::move(text);
  if (!in_progress_) start_write();
}

void OverridesFile::start_write() {
  in_progress_ = true;
  GBytes* bytes = g_bytes_new(queued_->data(), queued_->size());
  queued_.reset();
  // Replaced as a whole: guards whoever reads it meanwhile against half a file.
  g_file_replace_contents_bytes_async(
      file_.get(), bytes, nullptr, FALSE, G_FILE_CREATE_REPLACE_DESTINATION, nullptr,
      [](GObject*, GAsyncResult* result, gpointer file) {
        static_cast<OverridesFile*>(file)->on_written(result);
      },
      this);
  g_bytes_unref(bytes);
}

void OverridesFile::on_written(GAsyncResult* result) {
  Error error;
  if (!g_file_replace_contents_finish(file_.get(), result, nullptr, error.out_ptr()))
    on_failure_(error.text());
  in_progress_ = false;
  seen_version_ = version_of();
  if (queued_) start_write();
}

}  // namespace edge_proxy::event_loop
