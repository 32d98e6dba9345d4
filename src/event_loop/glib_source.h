// SPDX-License-Identifier: MIT
/// @file
/// Event sources of the GLib main loop with typed callbacks. All casts between GLib's callback types are in
/// this header.
///
/// A callback is a template argument: a member function of the owner, or a captureless lambda that takes an
/// `Owner*`. It returns void (the source is kept) or a SourceAction. The owner must outlive the Source.
#pragma once

#include <gio/gio.h>
#include <glib-unix.h>
#include <glib.h>

#include <chrono>
#include <functional>
#include <type_traits>
#include <utility>

namespace edge_proxy::event_loop {

/// Owns an attached source; removes it from its main loop on destruction.
class Source {
 public:
  Source() = default;
  explicit Source(GSource* source) : source_(source) {}
  Source(const Source&) = delete;
  Source& operator=(const Source&) = delete;
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

/// Whether a source is kept after its callback.
enum class SourceAction : gboolean { keep = G_SOURCE_CONTINUE, remove = G_SOURCE_REMOVE };

namespace glib_detail {

template <auto Callback, typename Owner>
gboolean invoke(gpointer data) {
  auto* owner = static_cast<Owner*>(data);
  if constexpr (std::is_void_v<decltype(std::invoke(Callback, owner))>) {
    std::invoke(Callback, owner);
    return G_SOURCE_CONTINUE;
  } else {
    return static_cast<gboolean>(std::invoke(Callback, owner));
  }
}

/// GLib declares one callback type for all sources; each source casts it back to its own callback type.
template <typename Function>
GSourceFunc as_source_func(Function* function) {
  return reinterpret_cast<GSourceFunc>(reinterpret_cast<void (*)()>(function));
}

inline Source attach(GSource* unattached, GSourceFunc callback, gpointer owner) {
  Source source(unattached);
  g_source_set_priority(source.get(), G_PRIORITY_DEFAULT);
  g_source_set_callback(source.get(), callback, owner, nullptr);
  g_source_attach(source.get(), nullptr);
  return source;
}

}  // namespace glib_detail

/// Invokes the callback while the socket meets `condition`.
template <auto Callback, typename Owner>
[[nodiscard]] Source watch_socket(GSocket* socket, GIOCondition condition, Owner* owner) {
  const GSocketSourceFunc dispatch = [](GSocket*, GIOCondition, gpointer data) {
    return glib_detail::invoke<Callback, Owner>(data);
  };
  return glib_detail::attach(g_socket_create_source(socket, condition, nullptr),
                             glib_detail::as_source_func(dispatch), owner);
}

/// Invokes the callback while the descriptor is readable.
template <auto Callback, typename Owner>
[[nodiscard]] Source watch_readable(int descriptor, Owner* owner) {
  const GUnixFDSourceFunc dispatch = [](gint, GIOCondition, gpointer data) {
    return glib_detail::invoke<Callback, Owner>(data);
  };
  return glib_detail::attach(g_unix_fd_source_new(descriptor, G_IO_IN), glib_detail::as_source_func(dispatch),
                             owner);
}

/// Invokes the callback on each delivery of the signal.
template <auto Callback, typename Owner>
[[nodiscard]] Source watch_signal(int signal_number, Owner* owner) {
  return glib_detail::attach(g_unix_signal_source_new(signal_number), glib_detail::invoke<Callback, Owner>,
                             owner);
}

/// Invokes the callback every `interval` until it returns SourceAction::remove.
template <auto Callback, typename Owner>
[[nodiscard]] Source call_every(std::chrono::milliseconds interval, Owner* owner) {
  return glib_detail::attach(g_timeout_source_new(static_cast<guint>(interval.count())),
                             glib_detail::invoke<Callback, Owner>, owner);
}

/// A one-shot timer that can be armed repeatedly.
class Timer {
 public:
  template <auto Callback, typename Owner>
  [[nodiscard]] static Timer create(Owner* owner) {
    Timer timer;
    timer.source_ = glib_detail::attach(g_source_new(&source_functions(), sizeof(GSource)),
                                        glib_detail::invoke<Callback, Owner>, owner);
    return timer;
  }
  /// Sets the expiry to `wait` from now; replaces an earlier expiry.
  void arm(std::chrono::microseconds wait) const {
    g_source_set_ready_time(source_.get(), g_get_monotonic_time() + wait.count());
  }

 private:
  static GSourceFuncs& source_functions() {
    static GSourceFuncs functions{nullptr,
                                  nullptr,
                                  [](GSource* source, GSourceFunc callback, gpointer data) -> gboolean {
                                    g_source_set_ready_time(source, -1);
                                    return callback(data);
                                  },
                                  nullptr,
                                  nullptr,
                                  nullptr};
    return functions;
  }

  Source source_;
};

/// Runs `task` once on the main loop; callable from any thread. It always uses a source, because
/// g_main_context_invoke runs the task on the calling thread if the main loop has not started yet.
template <typename Task>
void post_to_main_loop(Task task) {
  GSource* source = g_idle_source_new();
  g_source_set_priority(source, G_PRIORITY_DEFAULT);
  g_source_set_callback(
      source,
      [](gpointer data) -> gboolean {
        (*static_cast<Task*>(data))();
        return G_SOURCE_REMOVE;
      },
      new Task(std::move(task)), [](gpointer data) { delete static_cast<Task*>(data); });
  g_source_attach(source, nullptr);
  g_source_unref(source);
}

}  // namespace edge_proxy::event_loop
