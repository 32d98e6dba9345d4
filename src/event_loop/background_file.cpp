// SPDX-License-Identifier: MIT
#include "event_loop/background_file.h"

#include <utility>

namespace edge_proxy::event_loop {

BackgroundFile::BackgroundFile(const std::string& path, std::function<void(const char*)> on_failure)
    : on_failure_(std::move(on_failure)),
      file_(g_file_new_for_path(path.c_str())),
      owner_(std::make_shared<BackgroundFile*>(this)) {}

BackgroundFile::~BackgroundFile() { *owner_ = nullptr; }

void BackgroundFile::write(std::string text) {
  queued_text_ = std::move(text);
  if (!write_in_progress_) start_write();
}

void BackgroundFile::start_write() {
  using Owner = std::shared_ptr<BackgroundFile*>;
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

void BackgroundFile::on_written(GAsyncResult* result) {
  Error error;
  if (!g_file_replace_contents_finish(file_.get(), result, nullptr, error.out_ptr()))
    on_failure_(error.text());
  write_in_progress_ = false;
  if (queued_text_) start_write();
}

}  // namespace edge_proxy::event_loop
