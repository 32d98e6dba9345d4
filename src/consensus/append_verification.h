// SPDX-License-Identifier: MIT
/// @file
/// How much of a follower's log is known to agree with its leader's.
#pragma once

#include <algorithm>

#include "consensus.pb.h"
#include "consensus/types.h"

namespace edge_proxy::consensus {

/// Guards against libraft 0.15: it answers an AppendEntries without entries with the end of its own log, of
/// which the leader may know nothing. Where an entry of an earlier leader stands there, the new one takes its
/// own entry of that number for replicated (found by a drawn schedule), and may commit what no majority has.
class AppendVerification {
 public:
  /// A message is about to be handled. A leader's compares this log with its own up to the message's end.
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
  /// The message in work did not fit the log.
  void reject() { rejected_ = true; }
  void end() {
    if (!rejected_) verified_index_ = std::max(verified_index_, pending_index_);
    pending_index_ = 0;
  }
  /// The highest index that this server may report as in common with the leader of that term.
  [[nodiscard]] Index verified_index(Term term) const {
    return term == term_ ? std::max(verified_index_, pending_index_) : 0;
  }

 private:
  Term term_ = 0;  // the highest one of a leader that sent entries or a snapshot
  Index verified_index_ = 0;
  Index pending_index_ = 0;  // by the message in work
  bool rejected_ = false;
};

}  // namespace edge_proxy::consensus
