// SPDX-License-Identifier: MIT
#include "proxy/graceful_shutdown.h"

#include <algorithm>
#include <string>

namespace edge_proxy::proxy {

void GracefulShutdown::begin() {
  if (is_stopping_) return;
  is_stopping_ = true;
  Context& context = dependencies_.context;
  context.log("stopping open=" + std::to_string(dependencies_.pending_requests.open_count()));
  context.effects.emplace_back(StopAccepting{});
  dependencies_.membership.stop();
  // The wait follows the configured deadlines, which differ between sites and over time: a fixed wait could
  // end the process with unanswered requests.
  const Time longest_wait = std::min(longest_deadline(dependencies_.settings), kMaxDeadlineAtShutdown);
  answer_deadline_ = context.now + longest_wait + kAnswerAfterDeadline;
  arm_timers();
}

void GracefulShutdown::arm_timers() {
  Context& context = dependencies_.context;
  const Time close_idle_at = context.now + kCloseIdleAfterShutdown;
  const Time serve_until = std::max(*answer_deadline_ - kServeMarginAtShutdown, close_idle_at);
  const Time listen_until = std::min(context.now + kListenAfterShutdown, serve_until);
  context.timers.add(close_idle_at, Timer::of(TimerKind::close_idle));
  context.timers.add(listen_until, Timer::of(TimerKind::stop_listening));
  context.timers.add(serve_until, Timer::of(TimerKind::stop_serving));
  // This timer only wakes the reducer; advance() checks the time itself.
  context.timers.add(*answer_deadline_ + kFlushAfterShutdown, Timer::of(TimerKind::stop_flushing));
}

void GracefulShutdown::on_timer(TimerKind kind) {
  switch (kind) {
    case TimerKind::close_idle:
      closes_idle_clients_ = true;
      break;
    case TimerKind::stop_listening:
      // Clients that have connected by now are accepted while it closes. They are served like all others, so
      // the end is decided only after on_listener_closed().
      dependencies_.context.close(kListener);
      break;
    case TimerKind::stop_serving:
      accepts_requests_ = false;
      break;
    default:
      break;
  }
}

void GracefulShutdown::advance() {
  if (!closes_idle_clients_ || is_finished_) return;
  dependencies_.clients.drain_quiet();
  // Clients that never read their answers must not keep the process from exiting.
  const bool is_flush_over = dependencies_.context.now >= *answer_deadline_ + kFlushAfterShutdown;
  if (is_flush_over) dependencies_.clients.disconnect_idle();
  const bool is_drained = dependencies_.clients.empty() && dependencies_.pending_requests.open_count() == 0;
  if (!is_listening_ && is_drained) finish();
}

void GracefulShutdown::finish() {
  is_finished_ = true;
  dependencies_.upstream.stop();
  dependencies_.admin.stop();
  if (admin_listener_ == AdminListener::open) dependencies_.context.close(kAdminListener);
  dependencies_.discovery.stop();
  dependencies_.context.log("stopped");
}

}  // namespace edge_proxy::proxy
