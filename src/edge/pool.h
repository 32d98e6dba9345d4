// SPDX-License-Identifier: MIT
/// @file
/// The connections to caches, and the attempts and probes on them.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "codec/cache_lines.h"
#include "edge/context.h"

namespace dahliahall::edge {

/// What one attempt asks for. The texts are the bytes that the client sent.
struct Order {
  std::string request;
  int number = 0;
  std::string member, source;
  codec::FieldList fields;  ///< all but the ones that depend on the moment of writing
  std::string body;
  std::size_t request_class = 0;
  std::uint64_t object = 0;
  std::int64_t group = 0;
  Time decided{0};
  Time until{0};    ///< nobody waits for the answer any longer
  Time send_by{0};  ///< it may not be written later; 0: until then
  Time oldest{0};   ///< as decided; 0: the class's fresh time
};

/// How an attempt ended. Each Order that was handed in gives exactly one.
struct Ended {
  std::string request;
  int number = 0;
  std::string member, source;
  AttemptResult ending = AttemptResult::not_sent;
  Time took{0};
  codec::CacheAnswer answer;  ///< of a served one
};

class Pool {
 public:
  /// `owed`: whether an answer is still owed to a request.
  Pool(Context& context, const config::Config& config, std::function<bool(const std::string&)> owed);

  // ---- Members ----
  void apply(const codec::Roster& roster);
  void purged(const codec::Recall& recall);

  // ---- Attempts and probes ----
  void start(Order order);
  void cancel(const std::string& request, int number);
  void timed_out(const std::string& request, int number);
  void probe(const std::string& member);
  /// The next ending, oldest first; the caller tells the module of it.
  bool take_ended(Ended& ended);
  bool take_probed(HealthChecked& probed);
  /// Endings that were held back until now.
  void late_endings();

  // ---- Connections ----
  /// Attempts without an ending so far.
  [[nodiscard]] std::size_t out() const { return attempts_.size() + held_back_.size(); }
  [[nodiscard]] std::size_t members() const { return members_.size(); }
  /// Listed members to which nothing new goes, because they drain or were taken out by hand.
  [[nodiscard]] std::size_t not_running() const;
  /// Attempts written so far, by class.
  [[nodiscard]] const std::vector<std::uint64_t>& written() const { return written_; }
  [[nodiscard]] bool owns(ConnectionId connection) const { return links_.count(connection) != 0; }
  void connected(ConnectionId connection);
  void bytes(ConnectionId connection, std::string_view bytes);
  void drained(ConnectionId connection);
  /// The connection failed or was ended by the other side.
  void lost(ConnectionId connection, CloseReason reason);
  /// This program stood still: what has come meanwhile is still to be read.
  void excuse();
  void connect_overdue(ConnectionId connection);
  void sweep();
  void stop();

 private:
  using Key = std::pair<std::string, int>;
  struct MemberEntry {
    Endpoint member;
    std::string address;
    Time process{0};
    std::set<ConnectionId> links;
  };
  struct Outstanding {
    Order order;
    ConnectionId link = 0;
    bool written = false;
  };
  struct Link {
    std::string member;
    Time opened{0}, active{0}, heard{0};
    bool up = false, writing = false;
    std::optional<Key> in_write;         ///< the attempt in what is being written
    std::optional<CloseReason> retired;  ///< it ends for this once what has come on it is read
    std::uint64_t requests = 0;
    int unanswered = 0;  ///< given up or timed out since anything was heard
    codec::AnswerReader reader;
    std::map<std::string, int> open;                  ///< attempts written, by request
    std::deque<std::pair<std::string, int>> waiting;  ///< attempts not written yet
    std::string commands;                             ///< cancels and probes to be written
    std::map<std::string, Time> probes;
    std::map<std::string, Time> carried;  ///< requests it was asked for, until nobody waits for them
  };

  ConnectionId link_for(MemberEntry& entry, const std::string& request);
  ConnectionId open_link(MemberEntry& entry);
  [[nodiscard]] std::size_t most_links() const;
  [[nodiscard]] bool doubtful(const Link& link) const;
  [[nodiscard]] bool takes_new(const std::string& member) const;
  [[nodiscard]] bool may_go(const Order& order) const;
  bool make_room();
  [[nodiscard]] static bool free(const Link& link);
  [[nodiscard]] std::vector<ConnectionId> ids_of_links() const;
  void end_if_in_write(ConnectionId id, const std::function<bool(const Order&)>& stale);
  void flush(ConnectionId id);
  std::string render(const Order& order) const;
  void finish(const Key& key, AttemptResult ending, codec::CacheAnswer answer = {});
  void finish_later(const Key& key, AttemptResult ending);
  void drop_queued(ConnectionId id);
  void retire(MemberEntry& entry, CloseReason reason);
  void end(ConnectionId id, CloseReason reason, bool close_it);
  void on_answer(ConnectionId id, codec::CacheAnswer answer);
  void abandon(const Key& key, AttemptResult ending);

  Context& context_;
  Time connect_timeout_, idle_;
  std::size_t per_link_;
  ReportVia report_via_;
  bool cancelling_;
  std::function<bool(const std::string&)> owed_;
  std::map<std::string, MemberEntry> members_;
  std::map<ConnectionId, Link> links_;
  std::map<Key, Outstanding> attempts_;
  std::deque<Ended> ended_;
  std::deque<Ended> held_back_;
  std::deque<HealthChecked> probed_;
  std::uint64_t last_probe_ = 0;
  std::vector<std::uint64_t> written_;
};

}  // namespace dahliahall::edge
