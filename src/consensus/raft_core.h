// SPDX-License-Identifier: MIT
/// @file
/// raft's own state, and the table of functions through which it reaches time, disk and messages. Of raft_log
/// alone.
#pragma once

#include <string>

#include "consensus.pb.h"
#include "consensus/raft_log.h"

extern "C" {
#include <raft.h>
}

namespace edge_proxy::consensus {

/// raft frees what it is given with its own allocator.
raft_buffer buffer_of(const std::string& bytes);
std::string text_of(const raft_buffer& buffer);

/// A server's address in the log is its name and its id: guards against two under one name in one list while
/// one takes the other's place.
std::string address_of(const std::string& name, std::uint64_t id);
std::string name_in_address(const std::string& address);

using Servers = google::protobuf::RepeatedPtrField<pb::Server>;
void write_servers(const raft_configuration& from, Servers& to);
/// False: the list does not hold together; nothing is left to free.
bool read_servers(const Servers& from, raft_configuration& to);

struct RaftLog::Raft {
  explicit Raft(RaftLog& owner);

  static Raft& self(raft_io* i) { return *static_cast<Raft*>(i->impl); }
  static RaftLog& log_of(raft_io* i) { return self(i).log; }

  // Of the table.
  int load(raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* start, raft_entry** entries,
           std::size_t* count);
  int bootstrap(const raft_configuration& first);
  int append(const raft_entry* entries, unsigned count);
  int truncate(raft_index from);
  int store_snapshot(unsigned trailing, const raft_snapshot& from);
  [[nodiscard]] raft_snapshot* make_snapshot() const;
  int apply(const raft_buffer& buffer);
  int restore(const std::string& data);
  void send(const raft_message& message);
  /// None of it is raft's before all of it is checked.
  void receive(const pb::RaftMessage& from);

  RaftLog& log;
  raft_io io{};
  raft_fsm fsm{};
  struct raft raft {};
  raft_io_tick_cb tick_callback = nullptr;
  raft_io_recv_cb receive_callback = nullptr;

 private:
  static raft_entry entry_of(const StoredEntry& kept);
  /// The highest index that this server may say it has in common with the leader of that term.
  [[nodiscard]] raft_index verified_index(raft_term term) const;

  // Of the leader of `checked_term_`: entries up to here were compared with its, by messages that were not
  // rejected.
  raft_term verified_term_ = 0;
  raft_index verified_index_ = 0, verifying_index_ = 0;  // checking_: by the message that is in work
  bool append_rejected_ = false;
};

}  // namespace edge_proxy::consensus
