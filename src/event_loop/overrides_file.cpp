// SPDX-License-Identifier: MIT
#include "event_loop/overrides_file.h"

#include <algorithm>
#include <utility>

#include "event_loop/glib_ptr.h"
#include "proxy/resource_limits.h"

namespace edge_proxy::event_loop {

/// One update, from its start on the main loop over the worker thread back to the main loop.
struct OverridesFile::Job {
  std::shared_ptr<OverridesFile*> owner;
  std::shared_ptr<OverridesStore> store;
  proxy::OverrideTable to_merge;
  PendingOverrides calls;
  Time now{0};
  OverridesUpdate update;
};

OverridesFile::OverridesFile(const std::string& path, Callbacks callbacks)
    : callbacks_(std::move(callbacks)), owner_(std::make_shared<OverridesFile*>(this)) {
  if (path.empty()) return;
  store_ = std::make_shared<OverridesStore>(
      std::make_unique<storage::SystemSharedFile>(path, proxy::kMaxOverridesFileBytes));
  poll_source_ = call_every<&OverridesFile::start_job>(
      std::chrono::duration_cast<std::chrono::milliseconds>(proxy::kOverridesPollInterval), this);
  deadline_timer_ = Timer::create<&OverridesFile::on_deadline>(this);
}

OverridesFile::~OverridesFile() {
  *owner_ = nullptr;
  for (const Waiting& waiting : waiting_) waiting.call->withdraw();
}

void OverridesFile::load() {
  if (store_) deliver(store_->load());
}

void OverridesFile::store(proxy::ConnectionId call, proxy::OverrideChange change) {
  if (!store_) {
    store_in_memory(call, change);
    return;
  }
  const auto pending = std::make_shared<PendingOverride>(call, std::move(change));
  queued_.push_back(pending);
  waiting_.push_back({pending, Clock::now() + proxy::kOverrideStoreTimeout});
  if (waiting_.size() == 1) arm_deadline();
  start_job();
}

void OverridesFile::merge(const proxy::OverrideTable& table) {
  if (store_) to_merge_.merge(table);
}

void OverridesFile::store_in_memory(const proxy::ConnectionId& call, const proxy::OverrideChange& change) {
  post_to_main_loop([owner = owner_, call, change] {
    if (*owner == nullptr) return;
    OverridesUpdate update;
    update.table = (*owner)->table_;
    const proxy::OverrideOutcome outcome = outcome_of(update.table.apply(change));
    update.replies.push_back({call, change, outcome, {}});
    (*owner)->deliver(std::move(update));
  });
}

// ---- Jobs ----

void OverridesFile::start_job() {
  if (is_job_in_progress_) return;
  is_job_in_progress_ = true;
  auto job = std::make_unique<Job>();
  job->owner = owner_;
  job->store = store_;
  job->to_merge = std::exchange(to_merge_, {});
  job->calls = std::exchange(queued_, {});
  job->now = callbacks_.now();
  const ObjectPtr<GTask> task(g_task_new(
      nullptr, nullptr,
      [](GObject*, GAsyncResult* result, gpointer) {
        const auto* done = static_cast<Job*>(g_task_get_task_data(G_TASK(result)));
        if (*done->owner != nullptr) (*done->owner)->on_finished(*done);
      },
      nullptr));
  g_task_set_task_data(task.get(), job.release(), [](gpointer data) { delete static_cast<Job*>(data); });
  g_task_run_in_thread(task.get(), [](GTask* running, gpointer, gpointer data, GCancellable*) {
    auto* started = static_cast<Job*>(data);
    started->store->merge(started->to_merge);
    started->update = started->store->update(started->calls, started->now);
    g_task_return_boolean(running, TRUE);
  });
}

void OverridesFile::on_finished(const Job& job) {
  is_job_in_progress_ = false;
  std::erase_if(waiting_, [&job](const Waiting& waiting) {
    return std::find(job.calls.begin(), job.calls.end(), waiting.call) != job.calls.end();
  });
  arm_deadline();
  if (!queued_.empty()) start_job();
  deliver(job.update);
}

// ---- Replies ----

/// Refuses the calls whose time has passed. A call that the worker has confirmed gets its reply from there.
void OverridesFile::on_deadline() {
  OverridesUpdate refused;
  refused.table = table_;
  const Clock::time_point now = Clock::now();
  while (!waiting_.empty() && waiting_.front().deadline <= now) {
    PendingOverride& call = *waiting_.front().call;
    if (call.withdraw()) {
      refused.replies.push_back({call.call(), call.change(), proxy::OverrideOutcome::not_stored,
                                 "the disk or its lock is not free"});
    }
    waiting_.pop_front();
  }
  arm_deadline();
  deliver(std::move(refused));
}

void OverridesFile::arm_deadline() {
  if (waiting_.empty()) return;
  const Clock::duration wait = waiting_.front().deadline - Clock::now();
  deadline_timer_.arm(
      std::max(std::chrono::microseconds(0), std::chrono::duration_cast<std::chrono::microseconds>(wait)));
}

void OverridesFile::deliver(OverridesUpdate update) {
  for (const std::string& line : update.log_lines) callbacks_.log(line);
  if (update.replies.empty() && update.table == table_) return;
  table_ = update.table;
  callbacks_.on_stored({std::move(update.table), std::move(update.replies)});
}

}  // namespace edge_proxy::event_loop
