// SPDX-License-Identifier: MIT
#include "net/kept_file.h"

#include <sys/stat.h>

#include <fstream>
#include <iterator>
#include <utility>

namespace dahliahall::net {

std::optional<KeptFile::Mark> KeptFile::mark() const {
  struct stat found {};
  if (path_.empty() || ::stat(path_.c_str(), &found) != 0 || !S_ISREG(found.st_mode)) return std::nullopt;
  return Mark{found.st_ino, found.st_size,
              std::int64_t{found.st_mtim.tv_sec} * 1'000'000'000 + found.st_mtim.tv_nsec};
}

KeptFile::KeptFile(const std::string& path, std::function<void(const char*)> failed)
    : path_(path), failed_(std::move(failed)), file_(g_file_new_for_path(path.c_str())) {}

std::optional<std::string> KeptFile::read_if_new() {
  // Guards what this process was told last, and has not written yet, against what the file still holds.
  if (writing_) return std::nullopt;
  const auto now = mark();
  if (!now || now == seen_) return std::nullopt;
  std::ifstream file(path_, std::ios::binary);
  if (!file) return std::nullopt;
  seen_ = now;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

void KeptFile::write(std::string text) {
  waiting_ = std::move(text);
  if (!writing_) start_writing();
}

void KeptFile::start_writing() {
  writing_ = true;
  GBytes* bytes = g_bytes_new(waiting_->data(), waiting_->size());
  waiting_.reset();
  // Replaced as a whole: guards whoever reads it meanwhile against half a file.
  g_file_replace_contents_bytes_async(
      file_.get(), bytes, nullptr, FALSE, G_FILE_CREATE_REPLACE_DESTINATION, nullptr,
      [](GObject*, GAsyncResult* result, gpointer file) { static_cast<KeptFile*>(file)->written(result); },
      this);
  g_bytes_unref(bytes);
}

void KeptFile::written(GAsyncResult* result) {
  Error error;
  if (!g_file_replace_contents_finish(file_.get(), result, nullptr, error.out())) failed_(error.text());
  writing_ = false;
  seen_ = mark();
  if (waiting_) start_writing();
}

}  // namespace dahliahall::net
