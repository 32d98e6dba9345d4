// SPDX-License-Identifier: MIT
/// @file
/// Membership among edge proxies: (state, now, input) -> effects. SWIM with Lifeguard's refinements;
/// docs/peers.md says how and why. No I/O, no clock; random numbers come from the seed it is given.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "limits/shares.h"
#include "peers/news_queue.h"
#include "peers/settings.h"
#include "peers/types.h"
#include "peers/view.h"
#include "peers/wire.h"

namespace dahliahall::peers {

// ---- Inputs ----

/// A message that came, decoded and checked. `stream`: where it is to be answered, of a whole exchange.
struct Heard {
  Message message;
  std::uint64_t stream = 0;
};
/// Bytes that were no message for this proxy, and where they came from.
struct Refused {
  Refusal reason = Refusal::malformed;
  std::string address;
};
struct Due {};
struct StopAsked {};
/// An operator's word that this member will never return.
struct Forget {
  std::string name;
};
/// Bytes of another subsystem, for a registered member: by datagram where they fit, else over a stream. They
/// may be lost.
struct Carry {
  std::string to, payload;
};
using Input = std::variant<Heard, Refused, Due, StopAsked, Forget, Carry>;

// ---- Effects ----

struct Send {
  std::string address;
  Message message;
};
/// Over a stream of its own; what comes back on it is Heard.
struct Exchange {
  std::string address;
  Message message;
};
struct Answer {
  std::uint64_t stream = 0;
  Message message;
};
struct Log {
  std::string line;
};
/// What is to outlive the process has changed: see kept().
struct Keep {};
/// What a registered member had carried here.
struct Carried {
  std::string from, payload;
};
using Effect = std::variant<Send, Exchange, Answer, Log, Keep, Carried>;

/// Who this process is. The incarnation is greater than any that it has used with this disk.
struct Identity {
  std::uint64_t disk = 0;
  std::uint64_t incarnation = 1;
  bool empty_disk = true;   ///< nothing was kept: another one may have had the name
  std::vector<News> known;  ///< as kept
};

/// Counts from the start.
struct Counts {
  std::array<std::uint64_t, kRefusals> refused{};
  std::uint64_t not_for_here = 0;  ///< meant for another member: an address that moved
  std::uint64_t turned_away = 0;   ///< names that no room was left for
  std::uint64_t probes = 0, unanswered = 0, suspected = 0, died = 0, refuted = 0, exchanges = 0;
};

class State {
 public:
  State(Settings settings, Identity identity, std::uint64_t seed, Time now);

  std::vector<Effect> take(Time now, const Input& input);
  /// When Due is wanted; the newest counts.
  [[nodiscard]] Time next_due() const;

  [[nodiscard]] const View& view() const { return view_; }
  [[nodiscard]] const News& self() const { return view_.find(settings_.name)->news; }
  [[nodiscard]] const Settings& settings() const { return settings_; }
  [[nodiscard]] const Counts& counts() const { return counts_; }
  [[nodiscard]] const limits::QuotaLeases& shares() const { return shares_; }
  /// How much it doubts itself: 0, not at all, to Settings::most_doubt.
  [[nodiscard]] int doubt() const { return doubt_; }
  /// Members that told another view than this one's last, and since when the first of them has.
  [[nodiscard]] std::pair<std::size_t, Time> differing() const;
  /// For the next process: registered members and itself, marks of those that have gone, and those that may
  /// still use a share though another disk has their name.
  [[nodiscard]] std::vector<News> kept() const;
  /// Entries of all tables: grows with the members, never with what was ever seen.
  [[nodiscard]] std::size_t entries() const;

 private:
  enum class Phase { direct, indirect };
  struct Probe {
    std::string target;
    Phase phase = Phase::direct;
    Time timeout{0}, end{0};
    int nacks_due = 0;
    bool relayed = false;  // an ack came by way of another
    Time sent{0};
    std::uint64_t told = 0;  // of the shares' marks
  };
  struct Favour {  // a ping sent for another
    std::string target, asker;
    std::uint64_t number = 0;
    Time nack_at{0}, end{0};
    bool nacked = false;
  };

  void on(const Heard& in);
  void on(const Refused& in);
  void on(const Due&) {}
  void on(const StopAsked&);
  void on(const Forget& in);
  void on(const Carry& in);

  void on_ping(const Message& message);
  void on_ack(const Message& message);
  void on_nack(const Message& message);
  void on_ask(const Message& message);

  void run_due();
  void probe_next();
  void ask_others(std::uint64_t number, Probe& probe);
  void judge(const Probe& probe);
  void seek();
  void look_for_lost();
  void gossip();
  void look_again();
  void exchange_with(const std::string& name);

  void merge(const News& news, const std::string& cause);
  void merge_self(const News& news);
  void raise(std::uint64_t above, Liveness state);
  void follow_up(const View::Taken& taken, const Member& member, const std::string& cause);
  void suspect(const std::string& name);
  void set_deadline(Member& member);
  void set_way(Member& member, Way way);
  void compare(const Message& message);
  void count_members();
  [[nodiscard]] std::vector<News> all_news() const;
  std::uint64_t add_marks(Message& message) const;

  Message message(Kind kind, const std::string& to, std::uint64_t number);
  void send(const std::string& to, Message message, const std::string& address = {});
  [[nodiscard]] const std::string& route(const std::string& address) const;
  [[nodiscard]] std::string address_of(const std::string& name) const;
  [[nodiscard]] bool takes_part() const;
  [[nodiscard]] double spread() const;  // log10 of the registered members, 1 at least
  [[nodiscard]] int slow() const { return doubt_ + 1; }
  void doubt(int steps);
  std::vector<std::string> some(std::size_t count, const std::string& but);
  void log(std::string line) { effects_.emplace_back(Log{std::move(line)}); }

  Settings settings_;
  View view_;
  NewsQueue queue_;
  Counts counts_;
  std::mt19937_64 random_;
  Time now_, started_;
  bool new_here_;  // with an empty disk
  bool left_ = false;
  int doubt_ = 0;
  std::uint64_t number_ = 0;
  std::map<std::uint64_t, Probe> probes_;
  std::map<std::uint64_t, Favour> favours_;
  std::vector<std::string> order_;  // of probes, by turns
  std::size_t turn_ = 0;
  std::set<std::pair<Time, std::string>> suspects_;  // by when they count as dead
  std::map<std::string, Time> differs_;              // since when
  std::vector<std::string> lost_, strange_;          // see look_for_lost(), as of
  std::uint64_t sought_at_ = 0;                      // this revision of the view
  Time next_probe_, next_gossip_, next_seek_, next_exchange_;
  Time exchanged_{0};
  Time refusal_told_{-10'000'000};
  limits::QuotaLeases shares_;
  std::size_t ghosts_kept_ = 0;
  bool recount_ = true;  // who is registered has changed
  std::vector<Effect> effects_;
};

}  // namespace dahliahall::peers
