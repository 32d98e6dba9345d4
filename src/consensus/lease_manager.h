// SPDX-License-Identifier: MIT
/// @file
/// The leader's side: grants leases, collects from the reached members whether they can run a policy, and
/// appends the next step of a change to the log once nobody is left who may decide under the epoch before.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "consensus/policy_state_machine.h"
#include "consensus/settings.h"

namespace edge_proxy::consensus {

/// What the leader wants done, in this order: all messages, then all entries.
struct LeaderActions {
  std::vector<SendMessage> messages;
  std::vector<Entry> entries;  ///< for the log

  void send(const std::string& to, Message message) { messages.push_back({to, std::move(message)}); }
  /// A step of a change after its proposal.
  void append(Step step, Index change, std::string reason = {}) {
    entries.push_back({step, change, {}, 0, {}, std::move(reason)});
  }
};

class LeaseManager {
 public:
  /// A leadership begins: the log holds all that was ever committed before it. `now`: when it began at the
  /// latest. Leases that earlier leaders granted were asked for before that.
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

  /// Does what the time, or any of the above, has made due. `members`: the registered ones, and whether each
  /// is reached.
  void advance(const PolicyStateMachine& policy_state, const std::map<std::string, bool>& members, Time now,
               LeaderActions& actions);
  [[nodiscard]] Time next_due(Time now) const;

  /// Members, or leases of an earlier leader, that a change waits for, each with the reason.
  [[nodiscard]] std::vector<std::string> blocking_members(const PolicyStateMachine& policy_state,
                                                          const std::map<std::string, bool>& members,
                                                          Time now) const;
  [[nodiscard]] Term term() const { return term_; }
  [[nodiscard]] const std::set<std::string>& ready_members() const { return ready_members_; }
  void set_voters(std::set<std::string> voters) { voters_ = std::move(voters); }
  /// The whole state, with times relative to `now` and numbers of requests relative to each member's newest:
  /// equal for states that behave alike from here on. For the model checker.
  [[nodiscard]] std::string debug_state(Time now,
                                        const std::map<std::string, std::uint64_t>& newest_requests) const;

  /// After this, by the leader's clock, a lease that was granted now has expired by its holder's, if both
  /// clocks are off by `drift` (a fraction) at most.
  static Time lease_expiry_bound(Time lease, double drift);

 private:
  struct Holder {
    [[nodiscard]] bool has_lease(Time now) const { return expires_at > now; }

    Time expires_at{0};    // its lease may last that long, by this clock
    Time requested_at{0};  // its newest request came
  };
  struct PendingGrant {
    std::uint64_t number = 0;  // of the request
    std::uint64_t round = 0;   // of leadership checks: the first one that began after the request came
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
  Time earlier_leases_expire_at_;  // leases of earlier leaders may last that long

  std::map<std::string, Holder> holders_;
  std::map<std::string, PendingGrant> pending_grants_;  // requests for a lease
  std::uint64_t round_ = 0;
  bool round_in_progress_ = false;
  Time round_sent_at_{0};
  std::set<std::string> round_confirmed_;

  Index change_ = 0;  // the one that all below is about
  Time change_started_at_{0};
  std::set<std::string> ready_members_;
  bool decision_proposed_ = false;  // commit or abort is in the log, or on its way
  bool revoking_ = false;           // no lease is granted until the change is active
  bool activation_proposed_ = false;
  Time announced_at_{0};
  std::vector<ProposeRequest> pending_proposals_;  // appended in this leadership and not applied yet
};

}  // namespace edge_proxy::consensus
