// SPDX-License-Identifier: MIT
/// @file
/// The leader's part of the protocol: grants leases, collects the reachable members' replies on whether they
/// can apply a proposed policy, and appends the next step of a change to the log. A change is activated only
/// when no member can decide under the previous epoch any more.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "consensus/policy_state_machine.h"
#include "consensus/settings.h"

namespace edge_proxy::consensus {

/// The actions of the leader, performed in this order: all messages, then all entries.
struct LeaderActions {
  std::vector<SendMessage> messages;
  std::vector<Entry> entries;  ///< to append to the log

  void send(const std::string& to, Message message) { messages.push_back({to, std::move(message)}); }
  /// Adds an entry for a step of a change after its proposal.
  void append(Step step, Index change, std::string reason = {}) {
    entries.push_back({step, change, {}, 0, {}, std::move(reason)});
  }
};

class LeaseManager {
 public:
  /// Starts a leadership; all entries committed before it have been applied. `now` is not before the start of
  /// the term. Members requested the leases of earlier leaders before `now`.
  LeaseManager(const Settings& settings, Term term, std::set<std::string> voters, Time now);

  void on_lease_request(const std::string& from, const LeaseRequest& request, Time now);
  void on_leadership_check_reply(const std::string& from, const LeadershipCheckReply& reply,
                                 const PolicyStateMachine& policy_state, Time now, LeaderActions& actions);
  void on_prepare_reply(const std::string& from, const PrepareReply& reply,
                        const PolicyStateMachine& policy_state, LeaderActions& actions);
  void on_revocation_ack(const std::string& from, const LeaseRevocationAck& ack,
                         const PolicyStateMachine& policy_state);
  void on_abort_request(Index change, const std::string& from, const PolicyStateMachine& policy_state,
                        LeaderActions& actions);
  void on_propose_request(const ProposeRequest& request, const PolicyStateMachine& policy_state,
                          LeaderActions& actions);

  /// Performs the actions that are due after the calls above or after the passing of time. `members` holds
  /// the registered members and whether each is reachable.
  void advance(const PolicyStateMachine& policy_state, const std::map<std::string, bool>& members, Time now,
               LeaderActions& actions);
  [[nodiscard]] Time next_due(Time now) const;

  /// Lists the members, and the leases of earlier leaders, that a change waits for, each with the reason.
  [[nodiscard]] std::vector<std::string> blocking_members(const PolicyStateMachine& policy_state,
                                                          const std::map<std::string, bool>& members,
                                                          Time now) const;
  [[nodiscard]] Term term() const { return term_; }
  [[nodiscard]] const std::set<std::string>& ready_members() const { return ready_members_; }
  void set_voters(std::set<std::string> voters) { voters_ = std::move(voters); }
  /// Returns the whole state as text for the model checker. Times are relative to `now`, and request numbers
  /// are relative to the newest request of each member, so that states that behave the same from now on have
  /// equal texts.
  [[nodiscard]] std::string debug_state(Time now,
                                        const std::map<std::string, std::uint64_t>& newest_requests) const;

  /// The time on the leader's clock after which a lease granted now has expired on the holder's clock, if the
  /// rate of each clock is wrong by at most the fraction `drift`.
  static Time lease_expiry_bound(Time lease, double drift);

 private:
  struct Holder {
    [[nodiscard]] bool has_lease(Time now) const { return expires_at > now; }

    Time expires_at{0};    // the latest possible end of its lease, by the leader's clock
    Time requested_at{0};  // when its newest request arrived
  };
  struct PendingGrant {
    std::uint64_t number = 0;  // the number of the request
    std::uint64_t round = 0;   // the first round of leadership checks that starts after the request arrived
  };

  bool track_change(const PolicyStateMachine& policy_state);
  [[nodiscard]] bool awaits_decision(Index change, const PolicyStateMachine& policy_state) const;
  void propose_decision(Step step, std::string reason, LeaderActions& actions);
  void forget_expired_holders(Time now);
  void announce_change(const PolicyStateMachine& policy_state, const std::map<std::string, bool>& members,
                       Time now, LeaderActions& actions);
  void decide_prepared_change(const std::map<std::string, bool>& members, Time now, LeaderActions& actions);
  void advance_activation(const PolicyStateMachine& policy_state, Time now, LeaderActions& actions);
  void start_revocation(const PolicyStateMachine& policy_state, Time now, LeaderActions& actions);
  void send_revocations(const PolicyStateMachine& policy_state, Time now, LeaderActions& actions) const;
  [[nodiscard]] bool has_lease_holder(Time now) const;
  [[nodiscard]] bool has_silent_lease_holder(Time now) const;
  void send_leadership_checks(Time now, LeaderActions& actions);
  void grant_pending(const PolicyStateMachine& policy_state, Time now, LeaderActions& actions);
  [[nodiscard]] bool is_silent(const Holder& holder, Time now) const;
  [[nodiscard]] std::set<std::string> unprepared_members(const std::map<std::string, bool>& members,
                                                         Time now) const;

  Settings settings_;
  Term term_;
  std::set<std::string> voters_;
  Time earlier_leases_expire_at_;  // the latest possible end of leases granted by earlier leaders

  std::map<std::string, Holder> holders_;
  std::map<std::string, PendingGrant> pending_grants_;  // requests that have not been granted yet
  std::uint64_t round_ = 0;
  bool round_in_progress_ = false;
  Time round_sent_at_{0};
  std::set<std::string> round_confirmed_;

  Index change_ = 0;  // the change that the members below refer to; 0: none
  Time change_started_at_{0};
  std::set<std::string> ready_members_;
  bool decision_proposed_ = false;  // a commit or abort entry has been appended or is being appended
  bool revoking_ = false;           // leases are being revoked; none is granted until the change is active
  bool activation_proposed_ = false;
  Time announced_at_{0};
  std::vector<ProposeRequest> pending_proposals_;  // appended in this term and not applied yet
};

}  // namespace edge_proxy::consensus
