// SPDX-License-Identifier: MIT
#include "event_loop/overrides_store.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace edge_proxy::event_loop {
namespace {

using proxy::OverrideOutcome;
using proxy::OverrideTable;
using proxy::StoredOverrides;

/// Programs without the lock that write all the time must not keep an update from ending.
constexpr int kMaxWriteAttempts = 8;
/// An earlier version of the program may mark a file as read that it has not, if the file is replaced at the
/// moment in which its own write ends. It reads each later file, so the file is written again.
constexpr int kRewritesForEarlierVersions = 2;

}  // namespace

OverrideOutcome outcome_of(OverrideTable::ApplyResult result) {
  switch (result) {
    case OverrideTable::ApplyResult::done:
      return OverrideOutcome::stored;
    case OverrideTable::ApplyResult::full:
      return OverrideOutcome::table_full;
    case OverrideTable::ApplyResult::not_stored:
      break;
  }
  return OverrideOutcome::not_stored;
}

OverridesUpdate OverridesStore::load() {
  OverridesUpdate update;
  failure_.clear();
  static_cast<void>(read_file());
  log_changed_failure(update);
  update.table = known_;
  return update;
}

OverridesUpdate OverridesStore::update(const PendingOverrides& calls, Time now) {
  OverridesUpdate update;
  failure_.clear();
  known_.drop_expired(now);
  const bool is_read = read_file();
  const bool needs_write = !calls.empty() || rewrites_due_ > 0 || !is_file_up_to_date();
  if (is_read && needs_write && lock_for(calls)) {
    update_locked(calls, update);
    file_->unlock();
  } else {
    refuse(calls, update);
  }
  log_changed_failure(update);
  update.table = known_;
  return update;
}

// ---- Reading ----

/// Returns false if the file can't be read; then it is unknown what other processes have stored.
bool OverridesStore::read_file() {
  std::optional<std::string> text;
  if (const int error = file_->read(text)) return fail("can't be read", error);
  if (has_read_file_ && text == file_text_) return true;
  file_text_ = text;
  in_file_ = StoredOverrides{};
  if (text) take_over(*text);
  has_read_file_ = true;
  return true;
}

void OverridesStore::take_over(const std::string& text) {
  in_file_ = StoredOverrides::parse(text);
  if (in_file_.form == StoredOverrides::Form::unchecked) rewrites_due_ = kRewritesForEarlierVersions;
  if (in_file_.form == StoredOverrides::Form::damaged) {
    static_cast<void>(fail("is damaged", 0));
    // What this process knows is better; only one that has just started knows nothing.
    if (has_read_file_) return;
  }
  known_.merge(in_file_.table);
}

bool OverridesStore::is_file_up_to_date() const {
  return is_flushed_ && in_file_.form == StoredOverrides::Form::intact && in_file_.table == known_;
}

// ---- Writing ----

/// Waits for the lock as long as a call waits for its answer; without calls it only tries.
bool OverridesStore::lock_for(const PendingOverrides& calls) {
  int error = 0;
  while ((error = file_->try_lock()) == EWOULDBLOCK) {
    const bool is_awaited =
        std::any_of(calls.begin(), calls.end(), [](const auto& call) { return !call->is_withdrawn(); });
    if (!is_awaited) return false;
    file_->pause();
  }
  return error == 0 || fail("can't be locked", error);
}

void OverridesStore::update_locked(const PendingOverrides& calls, OverridesUpdate& update) {
  rewrites_due_ = std::max(rewrites_due_ - 1, 0);
  if (!read_file()) return refuse(calls, update);
  OverrideTable wanted = known_;
  std::vector<AppliedChange> changes;
  for (const auto& call : calls) {
    if (!call->is_withdrawn()) changes.push_back({call, wanted.apply(call->change())});
  }
  switch (write(wanted)) {
    case WriteResult::stored:
      return confirm(changes, std::move(wanted), update);
    case WriteResult::in_doubt:
      withdraw_written(wanted);
      break;
    case WriteResult::unchanged:
      break;
  }
  refuse(calls, update);
}

/// Replaces the file by `table`, merged with what programs without the lock write meanwhile.
OverridesStore::WriteResult OverridesStore::write(OverrideTable& table) {
  WriteResult result_of_failure = WriteResult::unchanged;
  for (int attempt = 0; attempt < kMaxWriteAttempts; ++attempt) {
    const std::string text = table.serialize();
    int error = file_->prepare(text);
    if (error == 0) error = file_->publish();
    if (error != 0) {
      static_cast<void>(fail("can't be written", error));
      return result_of_failure;
    }
    result_of_failure = WriteResult::in_doubt;
    is_flushed_ = false;
    const std::optional<std::string> expected = std::exchange(file_text_, text);
    std::optional<std::string> replaced;
    error = file_->take_replaced(replaced);
    if (error != 0) static_cast<void>(fail("can't be compared", error));
    if (replaced && replaced != expected) take_over(*replaced);
    in_file_ = StoredOverrides::parse(text);
    table.merge(known_);
    if (error != 0) return WriteResult::in_doubt;
    if (table == in_file_.table) return flush();
  }
  static_cast<void>(fail("is written by other programs", EBUSY));
  return WriteResult::in_doubt;
}

OverridesStore::WriteResult OverridesStore::flush() {
  if (const int error = file_->sync_folder()) {
    static_cast<void>(fail("can't be flushed", error));
    return WriteResult::in_doubt;
  }
  is_flushed_ = true;
  return WriteResult::stored;
}

/// The changes are on the disk: confirms those that still wait, and takes back the others.
void OverridesStore::confirm(const std::vector<AppliedChange>& changes, OverrideTable written,
                             OverridesUpdate& update) {
  OverrideTable confirmed = known_;
  bool has_withdrawn = false;
  for (const AppliedChange& change : changes) {
    if (!change.call->confirm()) {
      has_withdrawn = true;
      continue;
    }
    static_cast<void>(confirmed.apply(change.call->change()));
    update.replies.push_back({change.call->call(), change.call->change(), outcome_of(change.result), {}});
  }
  if (!has_withdrawn) {
    known_ = std::move(written);
    return;
  }
  known_ = std::move(confirmed);
  withdraw_written(written);
}

/// Other processes may have taken over what was written. The state before it gets a later time, so that all
/// of them return to it; if that can't be written now, a later update() does it.
void OverridesStore::withdraw_written(const OverrideTable& written) {
  OverrideTable restored = written;
  restored.restore(known_);
  known_ = restored;
  static_cast<void>(write(restored));
  known_.merge(restored);
}

void OverridesStore::refuse(const PendingOverrides& calls, OverridesUpdate& update) const {
  for (const auto& call : calls) {
    if (!call->withdraw()) continue;
    update.replies.push_back({call->call(), call->change(), OverrideOutcome::not_stored, failure_});
  }
}

/// Notes the reason and returns false. `error`: an errno value, 0 for none.
bool OverridesStore::fail(const char* step, int error) {
  failure_ = std::string("the overrides file ") + step;
  if (error != 0) failure_ += std::string(": ") + std::strerror(error);
  return false;
}

/// Logs a failure once and not at every update while it lasts.
void OverridesStore::log_changed_failure(OverridesUpdate& update) {
  if (failure_ != logged_failure_ && !failure_.empty()) update.log_lines.push_back(failure_);
  logged_failure_ = failure_;
}

}  // namespace edge_proxy::event_loop
