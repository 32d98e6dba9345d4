// SPDX-License-Identifier: MIT
#include "event_loop/overrides_file.h"

#include <sys/stat.h>

#include <fstream>
#include <iterator>
#include <utility>

namespace edge_proxy::event_loop {

namespace {

constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;

}  // namespace

std::optional<OverridesFile::FileVersion> OverridesFile::current_version() const {
  struct stat status {};
  if (path_.empty() || ::stat(path_.c_str(), &status) != 0 || !S_ISREG(status.st_mode)) return std::nullopt;
  return FileVersion{status.st_ino, status.st_size,
                     std::int64_t{status.st_mtim.tv_sec} * kNanosecondsPerSecond + status.st_mtim.tv_nsec};
}

OverridesFile::OverridesFile(const std::string& path, std::function<void(const char*)> on_failure)
    : path_(path),
      on_failure_(std::move(on_failure)),
      file_(g_file_new_for_path(path.c_str())),
      owner_(std::make_shared<OverridesFile*>(this)) {}

OverridesFile::~OverridesFile() { *owner_ = nullptr; }

std::optional<std::string> OverridesFile::read_if_new() {
  // The file may still hold an older state than the overrides that are being written.
  if (write_in_progress_) return std::nullopt;
  const auto version = current_version();
  if (!version || version == seen_version_) return std::nullopt;
  std::ifstream file(path_, std::ios::binary);
  if (!file) return std::nullopt;
  seen_version_ = version;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

void OverridesFile::write(std::string text) {
  queued_text_ = std::move(text);
  if (!write_in_progress_) start_write();
}

void OverridesFile::start_write() {
  using Owner = std::shared_ptr<OverridesFile*>;
  write_in_progress_ = true;
  const BytesPtr bytes(g_bytes_new(queued_text_->data(), queued_text_->size()));
  queued_text_.reset();
  // GIO replaces the file atomically, so that concurrent readers never see a partial file.
  g_file_replace_contents_bytes_async(
      file_.get(), bytes.get(), nullptr, FALSE, G_FILE_CREATE_REPLACE_DESTINATION, nullptr,
      [](GObject*, GAsyncResult* result, gpointer data) {
        const std::unique_ptr<Owner> owner(static_cast<Owner*>(data));
        if (**owner != nullptr) (**owner)->on_written(result);
      },
      new Owner(owner_));
}

void OverridesFile::on_written(GAsyncResult* result) {
  Error error;
  if (!g_file_replace_contents_finish(file_.get(), result, nullptr, error.out_ptr()))
    on_failure_(error.text());
  write_in_progress_ = false;
  seen_version_ = current_version();
  if (queued_text_) start_write();
}

}  // namespace edge_proxy::event_loop
