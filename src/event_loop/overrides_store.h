// SPDX-License-Identifier: MIT
/// @file
/// Stores the admin overrides in a file that several processes of one edge proxy share during an upgrade. Its
/// functions wait for the disk and for other processes, so they run on a worker thread.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "proxy/inputs.h"
#include "proxy/overrides/override_table.h"
#include "storage/shared_file.h"

namespace edge_proxy::event_loop {

/// An operator's call that waits to be stored. The worker confirms it and the main loop withdraws it when its
/// time has passed; whichever comes first decides the answer.
class PendingOverride {
 public:
  PendingOverride(proxy::ConnectionId call, proxy::OverrideChange change)
      : call_(call), change_(std::move(change)) {}

  [[nodiscard]] proxy::ConnectionId call() const { return call_; }
  [[nodiscard]] const proxy::OverrideChange& change() const { return change_; }
  [[nodiscard]] bool is_withdrawn() const { return state_ == State::withdrawn; }
  /// Returns false if the call was withdrawn before.
  bool confirm() { return decide(State::confirmed); }
  /// Returns false if the call was decided before.
  bool withdraw() { return decide(State::withdrawn); }

 private:
  enum class State : std::uint8_t { waiting, confirmed, withdrawn };
  bool decide(State state) {
    State expected = State::waiting;
    return state_.compare_exchange_strong(expected, state);
  }

  proxy::ConnectionId call_ = 0;
  proxy::OverrideChange change_;
  std::atomic<State> state_ = State::waiting;
};

using PendingOverrides = std::vector<std::shared_ptr<PendingOverride>>;

/// Returns what an operator is told about a change with that result.
[[nodiscard]] proxy::OverrideOutcome outcome_of(proxy::OverrideTable::ApplyResult result);

/// What load() or update() has done.
struct OverridesUpdate {
  proxy::OverrideTable table;                 ///< all overrides that this process now knows
  std::vector<proxy::OverrideReply> replies;  ///< for each call that was not withdrawn
  std::vector<std::string> log_lines;
};

/// The overrides that this process knows, kept equal to those of the file: it takes over what other processes
/// have stored and writes what the file lacks. Nothing that it knows is lost with the file's content.
///
/// A change is written under a lock, merged with the file, and confirmed only once it is on the disk. Earlier
/// versions of the program write the file without the lock; what they write in between is merged, too.
class OverridesStore {
 public:
  explicit OverridesStore(std::unique_ptr<storage::SharedFile> file) : file_(std::move(file)) {}

  /// Reads the file and writes nothing.
  OverridesUpdate load();
  /// Takes over what `table` knows; the next update() writes it.
  void merge(const proxy::OverrideTable& table) { known_.merge(table); }
  /// Reads the file, takes over what it has, then makes the changes in their order and stores them. Without
  /// changes it writes only if the file lacks something.
  OverridesUpdate update(const PendingOverrides& calls, Time now);

 private:
  enum class WriteResult : std::uint8_t {
    stored,
    unchanged,  ///< the file is as before
    in_doubt    ///< other processes may have seen the new content, but it may be lost
  };
  /// A change as it went into the content that was written.
  struct AppliedChange {
    std::shared_ptr<PendingOverride> call;
    proxy::OverrideTable::ApplyResult result = proxy::OverrideTable::ApplyResult::done;
  };

  [[nodiscard]] bool read_file();
  void take_over(const std::string& text);
  [[nodiscard]] bool is_file_up_to_date() const;
  [[nodiscard]] bool lock_for(const PendingOverrides& calls);
  void update_locked(const PendingOverrides& calls, OverridesUpdate& update);
  [[nodiscard]] WriteResult write(proxy::OverrideTable& table);
  [[nodiscard]] WriteResult flush();
  void confirm(const std::vector<AppliedChange>& changes, proxy::OverrideTable written,
               OverridesUpdate& update);
  void withdraw_written(const proxy::OverrideTable& written);
  void refuse(const PendingOverrides& calls, OverridesUpdate& update) const;
  [[nodiscard]] bool fail(const char* step, int error);
  void log_changed_failure(OverridesUpdate& update);

  std::unique_ptr<storage::SharedFile> file_;
  proxy::OverrideTable known_;
  proxy::StoredOverrides in_file_;        ///< what the file held when it was last read or written
  std::optional<std::string> file_text_;  ///< none: there was no file
  bool has_read_file_ = false;
  bool is_flushed_ = true;  ///< whether what this process last wrote is on the disk
  int rewrites_due_ = 0;    ///< further updates that write the file even if it is up to date
  std::string failure_, logged_failure_;
};

}  // namespace edge_proxy::event_loop
