// SPDX-License-Identifier: MIT
/// @file
/// Tracks the part of a follower's log that is known to match the leader's log.
#pragma once

#include <algorithm>

#include "consensus.pb.h"
#include "consensus/types.h"

namespace edge_proxy::consensus {

/// Works around a fault of libraft 0.15: a follower answers an AppendEntries without entries with the last
/// index of its own log, although the leader has not compared the log up to there. If that part holds an
/// entry of an earlier leader, the new leader takes its own entry at the same index for replicated and may
/// commit an entry that no majority has. A randomized test found this.
class AppendVerification {
 public:
  /// Must be called before a message is handled. A leader's message compares this log with the leader's log
  /// up to the last entry of the message.
  void begin(const pb::RaftMessage& message) {
    Term term = 0;
    pending_index_ = 0;
    rejected_ = false;
    if (message.has_append_entries()) {
      const pb::AppendEntries& append = message.append_entries();
      term = append.term();
      pending_index_ = append.previous_index() + static_cast<Index>(append.entries_size());
    } else if (message.has_install_snapshot()) {
      term = message.install_snapshot().term();
      pending_index_ = message.install_snapshot().last_index();
    }
    if (term > term_) {
      term_ = term;
      verified_index_ = 0;
    }
    if (term == 0 || term != term_) pending_index_ = 0;
  }
  /// The current message did not match the log.
  void reject() { rejected_ = true; }
  void end() {
    if (!rejected_) verified_index_ = std::max(verified_index_, pending_index_);
    pending_index_ = 0;
  }
  /// The highest index that this server may report as matching the log of the leader of `term`.
  [[nodiscard]] Index verified_index(Term term) const {
    return term == term_ ? std::max(verified_index_, pending_index_) : 0;
  }

 private:
  Term term_ = 0;  // the highest term of a leader that has sent entries or a snapshot
  Index verified_index_ = 0;
  Index pending_index_ = 0;  // the last index that the current message compares; 0: none
  bool rejected_ = false;
};

}  // namespace edge_proxy::consensus
