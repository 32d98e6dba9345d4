// SPDX-License-Identifier: MIT
/// @file
/// Owners of GLib objects and errors.
#pragma once

#include <gio/gio.h>
#include <glib.h>

#include <memory>

namespace edge_proxy::event_loop {

/// Drops one reference to a GObject.
struct ObjectUnref {
  void operator()(gpointer object) const { g_object_unref(object); }
};
/// Owns one reference to a GObject.
template <typename T>
using ObjectPtr = std::unique_ptr<T, ObjectUnref>;

/// Drops one reference to a main loop.
struct MainLoopUnref {
  void operator()(GMainLoop* loop) const { g_main_loop_unref(loop); }
};
/// Owns one reference to a main loop.
using MainLoopPtr = std::unique_ptr<GMainLoop, MainLoopUnref>;

/// Drops one reference to a GBytes.
struct BytesUnref {
  void operator()(GBytes* bytes) const { g_bytes_unref(bytes); }
};
/// Owns one reference to a GBytes.
using BytesPtr = std::unique_ptr<GBytes, BytesUnref>;

/// Owns the GError of the latest call that it was passed to.
class Error {
 public:
  Error() = default;
  Error(const Error&) = delete;
  Error& operator=(const Error&) = delete;
  ~Error() { g_clear_error(&error_); }
  /// Where the next call puts its error; the earlier one is freed.
  GError** out_ptr() {
    g_clear_error(&error_);
    return &error_;
  }
  /// Whether it is the G_IO_ERROR of that code.
  [[nodiscard]] bool matches(int code) const {
    return error_ != nullptr && g_error_matches(error_, G_IO_ERROR, code);
  }
  /// GLib's message.
  [[nodiscard]] const char* text() const { return error_ == nullptr ? "unknown error" : error_->message; }

 private:
  GError* error_ = nullptr;
};

}  // namespace edge_proxy::event_loop
