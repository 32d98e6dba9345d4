// SPDX-License-Identifier: MIT
/// @file
/// Owners for what GLib hands out.
#pragma once

#include <gio/gio.h>
#include <glib.h>

#include <memory>
#include <utility>

namespace edge_proxy::event_loop {

struct Unref {
  void operator()(gpointer object) const { g_object_unref(object); }
};
template <typename T>
using ObjectPtr = std::unique_ptr<T, Unref>;

struct LoopUnref {
  void operator()(GMainLoop* loop) const { g_main_loop_unref(loop); }
};
using LoopPtr = std::unique_ptr<GMainLoop, LoopUnref>;

/// An attached source; it is taken off its loop when this goes.
class Source {
 public:
  Source() = default;
  explicit Source(GSource* source) : source_(source) {}
  Source(Source&& other) noexcept : source_(std::exchange(other.source_, nullptr)) {}
  Source& operator=(Source&& other) noexcept {
    std::swap(source_, other.source_);
    return *this;
  }
  ~Source() { reset(); }
  void reset() {
    if (source_ == nullptr) return;
    g_source_destroy(source_);
    g_source_unref(std::exchange(source_, nullptr));
  }
  [[nodiscard]] GSource* get() const { return source_; }
  explicit operator bool() const { return source_ != nullptr; }

 private:
  GSource* source_ = nullptr;
};

/// The error of one call.
class Error {
 public:
  Error() = default;
  Error(const Error&) = delete;
  Error& operator=(const Error&) = delete;
  ~Error() { g_clear_error(&error_); }
  GError** out_ptr() {
    g_clear_error(&error_);
    return &error_;
  }
  [[nodiscard]] bool matches(int code) const {
    return error_ != nullptr && g_error_matches(error_, G_IO_ERROR, code);
  }
  [[nodiscard]] const char* text() const { return error_ == nullptr ? "unknown error" : error_->message; }

 private:
  GError* error_ = nullptr;
};

}  // namespace edge_proxy::event_loop
