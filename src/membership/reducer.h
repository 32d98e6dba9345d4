// SPDX-License-Identifier: MIT
/// @file
/// Membership among edge proxies: (state, now, input) -> effects. SWIM with Lifeguard's refinements;
/// docs/membership.md says how and why. No I/O, no clock; random numbers come from the seed it is given.
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

#include "admission/quota_leases.h"
#include "membership/broadcast_queue.h"
#include "membership/codec.h"
#include "membership/settings.h"
#include "membership/types.h"
#include "membership/view.h"

namespace edge_proxy::membership {

// ---- Inputs ----

/// A message that came, decoded and checked. `stream`: where it is to be answered, of a whole exchange.
struct MessageReceived {
  Message message;
  std::uint64_t stream = 0;
};
/// Bytes that were no message for this proxy, and where they came from.
struct MessageRejected {
  DecodeError reason = DecodeError::malformed;
  std::string address;
};
struct TimerExpired {};
struct ShutdownRequested {};
/// An operator's word that this member will never return.
struct ForgetMember {
  std::string name;
};
/// Bytes of another subsystem, for a registered member: by datagram where they fit, else over a stream. They
/// may be lost.
struct SendUserMessage {
  std::string to, payload;
};
using Input = std::variant<MessageReceived, MessageRejected, TimerExpired, ShutdownRequested, ForgetMember,
                           SendUserMessage>;

// ---- Effects ----

struct SendDatagram {
  std::string address;
  Message message;
};
/// Over a stream of its own; what comes back on it is Heard.
struct SendFullSync {
  std::string address;
  Message message;
};
struct FullSyncReply {
  std::uint64_t stream = 0;
  Message message;
};
struct LogLine {
  std::string line;
};
/// What is to outlive the process has changed: see kept().
struct PersistState {};
/// What a registered member had carried here.
struct UserMessageReceived {
  std::string from, payload;
};
using Effect =
    std::variant<SendDatagram, SendFullSync, FullSyncReply, LogLine, PersistState, UserMessageReceived>;

/// Who this process is. The incarnation is greater than any that it has used with this disk.
struct Identity {
  std::uint64_t disk_id = 0;
  std::uint64_t incarnation = 1;
  bool is_new_disk = true;                  ///< nothing was kept: another one may have had the name
  std::vector<MemberUpdate> known_members;  ///< as kept
};

/// Counts from the start.
struct Counters {
  std::array<std::uint64_t, kDecodeErrorCount> decode_errors{};
  std::uint64_t wrong_recipient = 0;  ///< meant for another member: an address that moved
  std::uint64_t table_full = 0;       ///< names that no room was left for
  std::uint64_t pings = 0, unanswered_pings = 0, suspected = 0, declared_dead = 0, refutations = 0,
                full_syncs = 0;
};

class State {
 public:
  State(Settings settings, Identity identity, std::uint64_t seed, Time now);

  std::vector<Effect> handle(Time now, const Input& input);
  /// When Due is wanted; the newest counts.
  [[nodiscard]] Time next_due() const;

  [[nodiscard]] const View& view() const { return view_; }
  [[nodiscard]] const MemberUpdate& self() const { return view_.find(settings_.name)->update; }
  [[nodiscard]] const Settings& settings() const { return settings_; }
  [[nodiscard]] const Counters& counters() const { return counters_; }
  [[nodiscard]] const admission::QuotaLeases& quota() const { return quota_; }
  /// How much it doubts itself: 0, not at all, to Settings::most_doubt.
  [[nodiscard]] int local_health() const { return local_health_; }
  /// Members that told another view than this one's last, and since when the first of them has.
  [[nodiscard]] std::pair<std::size_t, Time> members_with_other_view() const;
  /// For the next process: registered members and itself, marks of those that have gone, and those that may
  /// still use a share though another disk has their name.
  [[nodiscard]] std::vector<MemberUpdate> persistent_state() const;
  /// Entries of all tables: grows with the members, never with what was ever seen.
  [[nodiscard]] std::size_t entries() const;

 private:
  enum class Phase { direct, indirect };
  struct Probe {
    std::string target;
    Phase phase = Phase::direct;
    Time direct_deadline{0}, expires_at{0};
    int expected_nacks = 0;
    bool acked_indirectly = false;  // an ack came by way of another
    Time sent_at{0};
    std::uint64_t announced_version = 0;  // of the shares' marks
  };
  struct RelayedPing {  // a ping sent for another
    std::string target, requester;
    std::uint64_t sequence = 0;
    Time nack_at{0}, expires_at{0};
    bool nack_sent = false;
  };

  void on(const MessageReceived& in);
  void on(const MessageRejected& in);
  void on(const TimerExpired&) {}
  void on(const ShutdownRequested&);
  void on(const ForgetMember& in);
  void on(const SendUserMessage& in);

  void on_ping(const Message& message);
  void on_ack(const Message& message);
  void on_nack(const Message& message);
  void on_ping_req(const Message& message);

  void run_timers();
  void probe_next();
  void send_ping_requests(std::uint64_t number, Probe& probe);
  void on_probe_timeout(const Probe& probe);
  void reconnect();
  void find_lost_members();
  void send_gossip();
  void refresh_reachability();
  void full_sync_with(const std::string& name);

  void merge(const MemberUpdate& news, const std::string& cause);
  void refute(const MemberUpdate& news);
  void raise_incarnation(std::uint64_t above, MemberStatus state);
  void on_status_change(const View::Merged& taken, const Member& member, const std::string& cause);
  void suspect(const std::string& name);
  void set_suspicion_deadline(Member& member);
  void set_reachability(Member& member, Reachability way);
  void compare_digest(const Message& message);
  void update_quota();
  [[nodiscard]] std::vector<MemberUpdate> full_state() const;
  std::uint64_t add_quota_fields(Message& message) const;

  Message make_message(MessageKind kind, const std::string& to, std::uint64_t number);
  void send(const std::string& to, Message message, const std::string& address = {});
  [[nodiscard]] const std::string& resolved_address(const std::string& address) const;
  [[nodiscard]] std::string address_of(const std::string& name) const;
  [[nodiscard]] bool is_participating() const;
  [[nodiscard]] double log_cluster_size() const;  // log10 of the registered members, 1 at least
  [[nodiscard]] int probe_slowdown() const { return local_health_ + 1; }
  void local_health(int steps);
  std::vector<std::string> random_members(std::size_t count, const std::string& but);
  void log(std::string line) { effects_.emplace_back(LogLine{std::move(line)}); }

  Settings settings_;
  View view_;
  BroadcastQueue broadcasts_;
  Counters counters_;
  std::mt19937_64 random_;
  Time now_, started_at_;
  bool is_new_disk_;  // with an empty disk
  bool has_left_ = false;
  int local_health_ = 0;
  std::uint64_t last_sequence_ = 0;
  std::map<std::uint64_t, Probe> probes_;
  std::map<std::uint64_t, RelayedPing> relayed_pings_;
  std::vector<std::string> probe_order_;  // of probes, by turns
  std::size_t probe_index_ = 0;
  std::set<std::pair<Time, std::string>> suspicion_deadlines_;      // by when they count as dead
  std::map<std::string, Time> other_view_since_;                    // since when
  std::vector<std::string> unreachable_members_, one_way_members_;  // see look_for_lost(), as of
  std::uint64_t lost_as_of_revision_ = 0;                           // this revision of the view
  Time next_probe_, next_gossip_, next_reconnect_, next_full_sync_;
  Time last_full_sync_{0};
  Time decode_error_logged_at_{-10'000'000};
  admission::QuotaLeases quota_;
  std::size_t unfenced_persisted_ = 0;
  bool quota_outdated_ = true;  // who is registered has changed
  std::vector<Effect> effects_;
};

}  // namespace edge_proxy::membership
