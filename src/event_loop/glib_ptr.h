// SPDX-License-Identifier: MIT
/// @file
/// Smart pointers for GLib objects and errors.
#pragma once

#include <gio/gio.h>
#include <glib.h>

#include <memory>

namespace edge_proxy::event_loop {

/// Releases one reference to a GObject.
struct ObjectUnref {
  void operator()(gpointer object) const { g_object_unref(object); }
};
/// Owns one reference to a GObject.
template <typename T>
using ObjectPtr = std::unique_ptr<T, ObjectUnref>;

/// Releases one reference to a main loop.
struct MainLoopUnref {
  void operator()(GMainLoop* loop) const { g_main_loop_unref(loop); }
};
/// Owns one reference to a main loop.
using MainLoopPtr = std::unique_ptr<GMainLoop, MainLoopUnref>;

/// Releases one reference to a GBytes.
struct BytesUnref {
  void operator()(GBytes* bytes) const { g_bytes_unref(bytes); }
};
/// Owns one reference to a GBytes.
using BytesPtr = std::unique_ptr<GBytes, BytesUnref>;

/// Owns the GError of the most recent call that it was passed to.
class Error {
 public:
  Error() = default;
  Error(const Error&) = delete;
  Error& operator=(const Error&) = delete;
  ~Error() { g_clear_error(&error_); }
  /// The output parameter for the next call; frees the previous error.
  GError** out_ptr() {
    g_clear_error(&error_);
    return &error_;
  }
  /// Whether the error is in the domain G_IO_ERROR and has this code.
  [[nodiscard]] bool matches(int code) const {
    return error_ != nullptr && g_error_matches(error_, G_IO_ERROR, code);
  }
  /// The error message of GLib.
  [[nodiscard]] const char* text() const { return error_ == nullptr ? "unknown error" : error_->message; }

 private:
  GError* error_ = nullptr;
};

}  // namespace edge_proxy::event_loop
